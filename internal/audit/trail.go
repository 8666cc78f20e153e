package audit

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/platform"
)

const (
	// copyQueueRecords bounds the records that wait for a peer to take a copy.
	copyQueueRecords = 1_024
	// copyBatchRecords bounds the records of one call to a peer.
	copyBatchRecords = 64
	// copyTimeout bounds one call to a peer.
	copyTimeout = time.Second
	// storeQueueRecords bounds the records that wait while the key-value service is down.
	storeQueueRecords = RingRecords
	// flushInterval is the time between writes to the key-value service while records arrive.
	flushInterval = 5 * time.Second
	// collectInterval is the time between looks at the counters of refusals.
	collectInterval = time.Second
)

// Peers takes copies of records on other instances.
type Peers interface {
	// Live returns the instances that are neither leaving nor dead.
	Live() []instance.Info
	// StoreAudit hands records to an instance. Repeating it is harmless.
	StoreAudit(ctx context.Context, to instance.ID, records []Record) error
}

// Options configures a trail. All fields are required.
type Options struct {
	Self  instance.Info
	Peers Peers
	Store platform.Store
	Log   hclog.Logger
	// Start is the start time of the process; record sequences begin at it.
	Start time.Time
}

// Trail records what an instance does, and delivers the records to a peer and to the key-value service. It is safe for
// concurrent use.
type Trail struct {
	self     instance.Info
	peers    Peers
	log      hclog.Logger
	refusals *Refusals
	traces   *Traces
	// own holds this instance's records and copies those of others.
	own    *Ring
	copies *Ring

	// recordMu keeps the order of sequences in the ring and the queues.
	recordMu sync.Mutex
	sequence uint64

	toPeer  *queue
	toStore *queue
	wake    chan struct{}
	writer  *writer
	// dropped counts all records that never reached the store.
	dropped atomic.Uint64
}

// NewTrail returns a trail. Deliveries begin with Run.
func NewTrail(o Options) *Trail {
	return &Trail{
		self:     o.Self,
		peers:    o.Peers,
		log:      o.Log,
		refusals: NewRefusals(),
		traces:   NewTraces(DefaultTraces),
		own:      NewRing(RingRecords),
		copies:   NewRing(RingRecords),
		sequence: uint64(o.Start.UnixMicro()),
		toPeer:   &queue{limit: copyQueueRecords},
		toStore:  &queue{limit: storeQueueRecords},
		wake:     make(chan struct{}, 1),
		writer:   newWriter(o.Store, o.Self.ID, o.Start),
	}
}

// Refusals returns the counters of refused requests.
func (t *Trail) Refusals() *Refusals { return t.refusals }

// Traces returns the index of recent outcomes.
func (t *Trail) Traces() *Traces { return t.traces }

// Dropped returns the number of records that never reached the key-value service.
func (t *Trail) Dropped() uint64 { return t.dropped.Load() }

// Waiting returns the number of records that wait for the key-value service.
func (t *Trail) Waiting() int { return t.toStore.len() }

// Record adds a record. It fills in the instance, the sequence and, if empty, the time. It does not block on I/O.
func (t *Trail) Record(r Record) {
	r.clip()
	r.Instance = t.self.ID
	if r.Time.IsZero() {
		r.Time = time.Now()
	}
	t.recordMu.Lock()
	defer t.recordMu.Unlock()
	t.sequence++
	r.Sequence = t.sequence
	t.own.Add(r)
	if r.Local {
		return
	}
	t.toPeer.add(r)
	t.toStore.add(r)
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// StoreCopies keeps records of another instance, as the receiver of Peers.StoreAudit.
func (t *Trail) StoreCopies(records []Record) {
	for _, r := range records {
		r.clip()
		t.copies.Add(r)
	}
}

// Adopt queues the copies of a dead instance's records for the key-value service, because that instance may not have
// written them. Those that it had written are dropped when the trail is read.
func (t *Trail) Adopt(owner instance.ID) {
	for _, r := range t.copies.All() {
		if r.Instance == owner {
			t.toStore.add(r)
		}
	}
}

// Records returns the records that this instance holds and the query selects. The outcome of the query's trace is
// included.
func (t *Trail) Records(q Query) []Record {
	all := append(t.own.All(), t.copies.All()...)
	if r, ok := t.traces.Find(q.Trace); ok {
		r.Instance = t.self.ID
		all = append(all, r)
	}
	return Select(all, q)
}

// Run delivers records until ctx ends. Flush delivers what is left.
func (t *Trail) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return t.runCopies(ctx) })
	g.Go(func() error { return t.runStore(ctx) })
	g.Go(func() error { return t.runCollect(ctx) })
	return g.Wait()
}

// Flush writes all waiting records to the key-value service at a graceful shutdown, after Run has ended. The error
// tells that records remain.
func (t *Trail) Flush(ctx context.Context) error {
	t.collect(true)
	t.copyAll(ctx)
	return t.flush(ctx)
}

func (t *Trail) runCollect(ctx context.Context) error {
	return every(ctx, collectInterval, func() { t.collect(false) })
}

func (t *Trail) collect(all bool) {
	for _, r := range t.refusals.Collect(time.Now(), all) {
		t.Record(r)
	}
}

func (t *Trail) runCopies(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.wake:
			t.copyAll(ctx)
		}
	}
}

// copyAll hands the waiting records to a peer. After a failure they go to the next peer; when none takes them they
// are left to the store alone.
func (t *Trail) copyAll(ctx context.Context) {
	if n := t.toPeer.takeDropped(); n > 0 {
		t.log.Warn("audit copies dropped", "records", n, "cause", "no peer took them in time")
	}
	for {
		batch := t.toPeer.take(copyBatchRecords)
		if len(batch) == 0 {
			return
		}
		t.copyBatch(ctx, batch)
	}
}

func (t *Trail) copyBatch(ctx context.Context, batch []Record) {
	targets := copyTargets(t.peers.Live(), t.self)
	for _, to := range targets[:min(len(targets), maxCopyTargets)] {
		err := t.copyTo(ctx, to, batch)
		if err == nil {
			return
		}
		t.log.Warn("audit copy failed", "step", "store-audit", "peer", to, "records", len(batch), "error", err)
	}
}

func (t *Trail) copyTo(ctx context.Context, to instance.ID, batch []Record) error {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return t.peers.StoreAudit(ctx, to, batch)
}

func (t *Trail) runStore(ctx context.Context) error {
	return every(ctx, flushInterval, func() {
		if err := t.flush(ctx); err != nil {
			t.log.Warn("audit write failed", "step", "write-audit", "peer", "key-value service",
				"waiting", t.toStore.len(), "error", err)
		}
	})
}

// flush writes all waiting records. Losses are reported once the service takes records again: a report during the
// outage would itself drop a record.
func (t *Trail) flush(ctx context.Context) error {
	if err := t.writer.flush(ctx, t.toStore); err != nil {
		return err
	}
	if !t.reportDropped() {
		return nil
	}
	return t.writer.flush(ctx, t.toStore)
}

// reportDropped makes a record of the number of dropped records and returns false when there are none.
func (t *Trail) reportDropped() bool {
	n := t.toStore.takeDropped()
	if n == 0 {
		return false
	}
	t.dropped.Add(uint64(n))
	t.Record(Record{
		Kind:  KindLost,
		Cause: "the key-value service did not take records for too long",
		Inputs: []Input{
			{Key: "count", Value: strconv.Itoa(n)},
			{Key: "where", Value: "waiting for the key-value service"},
		},
	})
	return true
}

// every calls f at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f()
		}
	}
}
