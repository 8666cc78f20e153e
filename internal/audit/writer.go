package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/platform"
)

const (
	// batchPrefix starts the keys audit/<instance>/<sequence>.
	batchPrefix = "audit/"
	// maxBatchBytes bounds a stored batch.
	maxBatchBytes = 64 << 10
	// batchOverheadBytes is left for what surrounds the records of a batch.
	batchOverheadBytes = 512
	// storeCallTimeout bounds one call to the key-value service.
	storeCallTimeout = 2 * time.Second
	// maxConflicts bounds the tries of one write against other writers.
	maxConflicts = 16
)

// batch is one value under audit/<instance>/<sequence>.
type batch struct {
	// OperationID tells a batch whose answer was lost from one of another process with the same instance id.
	OperationID string            `json:"operation_id"`
	Records     []json.RawMessage `json:"records"`
}

// pendingBatch is a batch whose storing has not been confirmed. It keeps key and content over all tries.
type pendingBatch struct {
	ref     batchRef
	batch   batch
	indexed bool
}

// writer stores batches. It is used by one goroutine at a time.
type writer struct {
	store   platform.Store
	self    instance.ID
	boot    string
	pending *pendingBatch
}

func newWriter(store platform.Store, self instance.ID, start time.Time) *writer {
	return &writer{store: store, self: self, boot: fmt.Sprintf("%s-%x", self, start.UnixNano())}
}

// flush stores records until the queue is empty. After an error the batch at hand is kept for the next call.
func (w *writer) flush(ctx context.Context, q *queue) error {
	for {
		if w.pending == nil {
			w.pending = w.next(q)
		}
		if w.pending == nil {
			return nil
		}
		if err := w.write(ctx, w.pending); err != nil {
			return err
		}
		w.pending = nil
	}
}

// next makes a batch of the first records of the queue.
func (w *writer) next(q *queue) *pendingBatch {
	records := q.takeBytes(maxBatchBytes-batchOverheadBytes, encodedSize)
	if len(records) == 0 {
		return nil
	}
	first, last := records[0], records[len(records)-1]
	p := &pendingBatch{ref: batchRef{
		Key:     batchKey(w.self, first.Sequence),
		FirstMS: first.Time.UnixMilli(),
		LastMS:  last.Time.UnixMilli(),
	}}
	p.batch.OperationID = fmt.Sprintf("%s-%d", w.boot, first.Sequence)
	for i := range records {
		p.ref.FirstMS = min(p.ref.FirstMS, records[i].Time.UnixMilli())
		p.ref.LastMS = max(p.ref.LastMS, records[i].Time.UnixMilli())
		p.batch.Records = append(p.batch.Records, encode(&records[i]))
	}
	return p
}

func batchKey(id instance.ID, sequence uint64) string {
	return fmt.Sprintf("%s%s/%020d", batchPrefix, id, sequence)
}

func encode(r *Record) json.RawMessage {
	p, err := json.Marshal(r)
	if err != nil {
		// A time outside the years 0 to 9999 is the only value of a record that cannot be encoded.
		p, _ = json.Marshal(Record{Instance: r.Instance, Sequence: r.Sequence, Kind: KindLost, Cause: err.Error()})
	}
	return p
}

func encodedSize(r *Record) int { return len(encode(r)) + 1 }

// write enters the batch into the index and stores it. Both steps may be repeated after a lost answer.
func (w *writer) write(ctx context.Context, p *pendingBatch) error {
	if !p.indexed {
		if err := w.enter(ctx, p.ref); err != nil {
			return errors.Wrap(err, "update index")
		}
		p.indexed = true
	}
	value, err := json.Marshal(p.batch)
	if err != nil {
		return errors.Wrap(err, "encode batch")
	}
	_, err = w.swap(ctx, p.ref.Key, 0, value)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrConflict):
		return w.resolve(ctx, p)
	}
	return errors.Wrap(err, "write batch")
}

// resolve decides after a conflict whether the key holds this batch, stored by a try whose answer was lost, or that of
// another process with the same instance id. In that case the batch gets the next free key.
func (w *writer) resolve(ctx context.Context, p *pendingBatch) error {
	found, err := w.get(ctx, p.ref.Key)
	if err != nil {
		return errors.Wrap(err, "read batch back")
	}
	var stored batch
	if json.Unmarshal(found.Value, &stored) == nil && stored.OperationID == p.batch.OperationID {
		return nil
	}
	p.ref.Key += "-" + w.boot
	p.indexed = false
	return w.write(ctx, p)
}

func (w *writer) get(ctx context.Context, key string) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return w.store.Get(ctx, key)
}

func (w *writer) swap(ctx context.Context, key string, expected uint64, value []byte) (platform.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return w.store.CompareAndSwap(ctx, key, expected, value, 0)
}
