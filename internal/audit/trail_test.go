package audit

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/platform/platformtest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errLost = errors.New("answer lost")

// peerSet delivers copies to trails directly. Instances in down refuse them.
type peerSet struct {
	mu     sync.Mutex
	live   []instance.Info
	trails map[instance.ID]*Trail
	down   map[instance.ID]bool
}

func (p *peerSet) Live() []instance.Info { return p.live }

func (p *peerSet) StoreAudit(_ context.Context, to instance.ID, records []Record) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down[to] {
		return errLost
	}
	p.trails[to].StoreCopies(records)
	return nil
}

func newPeerSet(store *platformtest.Store, domains ...string) *peerSet {
	p := &peerSet{trails: make(map[instance.ID]*Trail), down: make(map[instance.ID]bool)}
	for i, d := range domains {
		info := instance.Info{ID: instance.ID(fmt.Sprintf("p%d", i)), FailureDomain: instance.FailureDomain(d)}
		p.live = append(p.live, info)
		p.trails[info.ID] = NewTrail(Options{
			Self: info, Peers: p, Store: store, Start: time.Now(),
			Log: hclog.New(&hclog.LoggerOptions{Output: io.Discard}),
		})
	}
	return p
}

// inBubble runs a test with trails on simulated time, so that waits take no real time.
func inBubble(t *testing.T, run func(is *is.I, p *peerSet, store *platformtest.Store)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := platformtest.NewStore()
		p := newPeerSet(store, "a", "a", "b")
		var wg sync.WaitGroup
		for _, x := range p.trails {
			wg.Go(func() { _ = x.Run(ctx) })
		}
		run(is.New(t), p, store)
		cancel()
		wg.Wait()
	})
}

func stored(t testing.TB, store *platformtest.Store) []Record {
	records, err := ReadStored(context.Background(), store, Query{Limit: 1_000_000})
	if err != nil {
		t.Fatal(err)
	}
	return records
}

// Guards against records that die with their instance.
func TestCopyInOtherDomain(t *testing.T) {
	inBubble(t, func(is *is.I, p *peerSet, store *platformtest.Store) {
		store.SetHook(platformtest.Hook{Before: func(context.Context, platformtest.Call) error { return errLost }})
		p.trails["p0"].Record(Record{Kind: KindHomeClaimed, Group: "g"})
		p.trails["p0"].Record(Record{Kind: KindConfigInForce, Local: true})
		synctest.Wait()
		is.Equal(len(p.trails["p2"].Records(Query{})), 1) // p2 is the only instance in the other domain
		is.Equal(len(p.trails["p1"].Records(Query{})), 0)
		p.down["p2"] = true
		p.trails["p0"].Record(Record{Kind: KindHomeLost, Group: "g"})
		synctest.Wait()
		is.Equal(len(p.trails["p1"].Records(Query{})), 1) // the next best peer

		store.SetHook(platformtest.Hook{})
		p.trails["p2"].Adopt("p0")
		time.Sleep(2 * flushInterval)
		is.Equal(len(stored(t, store)), 2) // the adopted record is written twice and read once
	})
}

// Guards against records that are doubled or dropped when answers are lost, at each call of a write.
func TestLostAnswers(t *testing.T) {
	for lost := range 8 {
		inBubble(t, func(is *is.I, p *peerSet, store *platformtest.Store) {
			calls := 0
			fail := func(context.Context, platformtest.Call) error {
				calls++
				if calls == lost+1 {
					return errLost
				}
				return nil
			}
			store.SetHook(platformtest.Hook{After: fail})
			for i := range 3 {
				p.trails["p0"].Record(Record{Kind: KindHomeClaimed, Generation: uint64(i)})
			}
			time.Sleep(4 * flushInterval)
			store.SetHook(platformtest.Hook{})
			is.Equal(len(stored(t, store)), 3)
			is.Equal(len(store.Keys(batchPrefix)), 1)
		})
	}
}

// Guards against two processes with one instance id that overwrite each other's batches.
func TestSameInstanceTwice(t *testing.T) {
	inBubble(t, func(is *is.I, p *peerSet, store *platformtest.Store) {
		twin := newPeerSet(store, "a").trails["p0"]
		p.trails["p0"].Record(Record{Kind: KindHomeClaimed, Cause: "one"})
		twin.Record(Record{Kind: KindHomeClaimed, Cause: "two"})
		twin.writer.boot = "other"
		is.NoErr(twin.Flush(context.Background()))
		time.Sleep(2 * flushInterval)
		is.Equal(len(store.Keys(batchPrefix)), 2)
	})
}

// Guards against unbounded memory during an outage, and against a loss that nobody can see afterwards.
func TestOutageIsBoundedAndLossRecorded(t *testing.T) {
	inBubble(t, func(is *is.I, p *peerSet, store *platformtest.Store) {
		store.SetHook(platformtest.Hook{Before: func(context.Context, platformtest.Call) error { return errLost }})
		x := p.trails["p0"]
		for i := range storeQueueRecords + 500 {
			x.Record(Record{Kind: KindHomeClaimed, Generation: uint64(i)})
		}
		is.Equal(x.Waiting(), storeQueueRecords)
		time.Sleep(2 * flushInterval)
		store.SetHook(platformtest.Hook{})
		time.Sleep(2 * flushInterval)
		is.Equal(x.Waiting(), 0)
		records := stored(t, store)
		last := records[len(records)-1]
		is.Equal(last.Kind, KindLost)
		is.Equal(last.Input("count"), "500")
		is.Equal(x.Dropped(), uint64(500))
		is.Equal(len(records), storeQueueRecords+1)
		is.Equal(records[0].Generation, uint64(500)) // the newest were kept
	})
}

// Guards against batches above the limit, and against a total that grows for ever.
func TestStoredTotalIsBounded(t *testing.T) {
	inBubble(t, func(is *is.I, p *peerSet, store *platformtest.Store) {
		x := p.trails["p0"]
		text := strings.Repeat("x", maxCauseBytes)
		for i := range shardBatches + 20 {
			for j := range 5 {
				x.Record(Record{Kind: KindHomeClaimed, Cause: text, Generation: uint64(10*i + j)})
			}
			is.NoErr(x.flush(context.Background()))
		}
		is.Equal(len(store.Keys(batchPrefix)), shardBatches)
		records := stored(t, store)
		is.Equal(records[0].Generation, uint64(200)) // the oldest were deleted
		for range 300 {
			x.Record(Record{Kind: KindHomeClaimed, Cause: text})
		}
		is.NoErr(x.flush(context.Background()))
		for _, key := range store.Keys(batchPrefix) {
			e, err := store.Get(context.Background(), key)
			is.NoErr(err)
			is.True(len(e.Value) <= maxBatchBytes)
		}
	})
}

// Guards against refusals and records that are lost at a graceful shutdown.
func TestFlushAtShutdown(t *testing.T) {
	inBubble(t, func(is *is.I, p *peerSet, store *platformtest.Store) {
		x := p.trails["p1"]
		x.Refusals().Note(time.Now(), "c", "g", RefusalRate, "t")
		x.Record(Record{Kind: KindInstanceDraining})
		is.NoErr(x.Flush(context.Background()))
		is.Equal(len(stored(t, store)), 2)
	})
}
