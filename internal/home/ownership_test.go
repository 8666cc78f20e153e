package home

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/retry"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Guards against a paused home that runs or acknowledges requests after another instance has taken over.
func TestPausedHomeRunsNothing(t *testing.T) {
	simulate(t, nil, func(w *simulatedCluster) {
		old := w.home("h1")
		defer old.Close()
		old1, _ := run(old, query("s", "INSERT"))
		w.is.Equal(old1.Outcome, request.OutcomeDone)
		run(old, query("tx", "BEGIN"))
		w.ports["h1"].pause()
		paused := make(chan request.Result, 2)
		go func() { res, _ := run(old, query("p", "INSERT")); paused <- res }()
		go func() { res, _ := run(old, query("tx", "INSERT")); paused <- res }()
		time.Sleep(time.Second)
		next := w.manager("h2", nil)
		defer next.Close()
		w.acquire(next, "g1")
		before := w.g.count("INSERT")
		w.ports["h1"].resume()
		for range 2 {
			res := <-paused
			w.is.True(res.Outcome != request.OutcomeDone)
		}
		w.is.Equal(w.g.count("INSERT"), before)
		loss := <-w.lost
		w.is.Equal(loss.Generation, uint64(1))
		refused, _ := run(old, query("s", "INSERT"))
		w.is.Equal(refused.Outcome, request.OutcomeNotRun)
		res, _ := run(next, query("s", "INSERT"))
		w.is.Equal(res.Outcome, request.OutcomeDone)
		w.is.Equal(next.Owned()[0].Generation, uint64(2))
	})
}

// Guards against a home that admits work although no majority has confirmed its claim for 500 ms.
func TestNoWorkWithoutConfirmedAuthority(t *testing.T) {
	simulate(t, nil, func(w *simulatedCluster) {
		m := w.home("h1")
		defer m.Close()
		w.g.update(func() { w.ports["h1"].unreachable["b"], w.ports["h1"].unreachable["c"] = true, true })
		time.Sleep(600 * time.Millisecond)
		r := query("s", "INSERT")
		r.Timeout = 300 * time.Millisecond
		res, _ := run(m, r)
		w.is.Equal(res.Outcome, request.OutcomeNotRun)
		w.is.Equal(m.Admit(context.Background(), "g1", []AdmitItem{{"c1", 1}}).Authoritative, false)
		w.is.True(m.Owned()[0].Lost)
	})
}

// Guards against requests interrupted by a planned move, and against buckets that a move refills or empties (G13, G7).
func TestPlannedMoveCutsNothing(t *testing.T) {
	slow := func(c *config.Cluster) {
		c.Customers[0].Contracts = map[config.Preset]config.Contract{config.PresetOrdinary: {RatePerSecond: 1, Burst: 100, Share: 1}}
		c.Routes = c.Routes[:1]
		c.Groups = c.Groups[:1]
	}
	simulate(t, slow, func(w *simulatedCluster) {
		next := w.manager("h2", nil)
		defer next.Close()
		m := w.manager("h1", func(o *Options) {
			o.Locate = func(upstream.GroupID) (instance.ID, bool) { return "h2", true }
		})
		defer m.Close()
		w.acquire(m, "g1")
		time.Sleep(60 * time.Second) // about 60 tokens
		run(m, query("tx", "BEGIN"))
		released := make(chan Handover, 1)
		go func() {
			h, err := m.Release(context.Background(), "g1")
			w.is.NoErr(err)
			released <- h
		}()
		time.Sleep(100 * time.Millisecond)
		moved, _ := run(m, query("s", "INSERT"))
		w.is.Equal(moved.Outcome, request.OutcomeNotRun)
		w.is.Equal(moved.Home, instance.ID("h2"))
		for _, text := range []string{"INSERT", "COMMIT"} {
			res, _ := run(m, query("tx", text))
			w.is.Equal(res.Outcome, request.OutcomeDone)
		}
		h := <-released
		level := h.Buckets[0].MicroTokens / 1e6
		w.is.True(level > 50 && level < 65)
		w.is.True(h.Floor.LSN > 0)
		w.is.True(next.Handover(context.Background(), h))
		w.is.True(next.Handover(context.Background(), h)) // repeated after a lost response
		w.is.Equal(len(m.Owned()), 0)
		time.Sleep(10 * time.Millisecond) // the first status round confirms the claim
		answer := next.Admit(context.Background(), "g1", []AdmitItem{{"c1", 1000}})
		w.is.True(answer.Granted[0].Tokens >= int(level) && answer.Granted[0].Tokens <= int(level)+1)
	})
}

// Guards against an open transaction that blocks a release indefinitely.
func TestReleaseRollsBackAfterItsLimit(t *testing.T) {
	simulate(t, nil, func(w *simulatedCluster) {
		m := w.home("h1")
		defer m.Close()
		run(m, query("tx", "BEGIN"))
		run(m, query("tx", "INSERT"))
		start := time.Now()
		_, err := m.Release(context.Background(), "g1")
		w.is.NoErr(err)
		w.is.Equal(time.Since(start).Round(time.Second), drainTimeout)
		w.is.Equal(w.audit.count(EventTransactionEnd), 1)
		_, err = m.Release(context.Background(), "g1")
		w.is.True(errors.Is(err, ErrNotOwned))
	})
}

// Guards against tokens granted twice. After an unplanned takeover, buckets start empty and refill only once the old
// home's authority and its grants to other homes have expired.
func TestUnplannedHomeStartsEmpty(t *testing.T) {
	simulate(t, nil, func(w *simulatedCluster) {
		old := w.home("h1")
		defer old.Close()
		next := w.manager("h2", nil)
		defer next.Close()
		_, err := next.Acquire(context.Background(), "g1", &Handover{Group: "g1", Generation: 7, Buckets: []BucketLevel{{"c1", 5e6}}})
		w.is.NoErr(err)
		ask := func() int {
			a := next.Admit(context.Background(), "g1", []AdmitItem{{"c1", 5}})
			w.is.True(a.Authoritative)
			return a.Granted[0].Tokens
		}
		time.Sleep(50 * time.Millisecond)
		w.is.Equal(ask(), 0) // the handover is from another generation
		time.Sleep(600 * time.Millisecond)
		w.is.Equal(ask(), 0) // the customer has two groups: 200 ms more
		time.Sleep(100 * time.Millisecond)
		w.is.Equal(ask(), 5)
	})
}

// Guards against a home of another group that admits work without tokens from the customer's main group, keeps unused
// tokens, or uses tokens that were granted too late.
func TestAdmissionAtTheMainGroup(t *testing.T) {
	simulate(t, func(c *config.Cluster) {
		c.Customers[0].Contracts = map[config.Preset]config.Contract{config.PresetOrdinary: {RatePerSecond: 10, Burst: 10, Share: 1}}
	}, func(w *simulatedCluster) {
		m := w.home("h1")
		defer m.Close()
		w.acquire(m, "g2")
		for range 2 { // both groups together stay within burst and rate
			start := time.Now()
			ran := func() int { return w.groups["g1"].count("INSERT") + w.groups["g2"].count("INSERT") }
			before := ran()
			runConcurrently(40, func(i int) {
				r := query(sessionName(i), "INSERT")
				if i%2 == 1 {
					r.Group, r.Route = "g2", "db-g2"
				}
				r.Timeout = 2 * time.Second
				run(m, r)
			})
			n := ran() - before
			limit := 10 + int(10*time.Since(start).Seconds())
			w.is.True(n <= limit)
			w.is.True(n >= limit-3)
			time.Sleep(time.Second)
		}
		late := lateAdmitter{}
		other := w.manager("h3", func(o *Options) { o.Admitter = late })
		defer other.Close()
		_, err := m.Release(context.Background(), "g2")
		w.is.NoErr(err)
		w.acquire(other, "g2")
		r := query("s", "INSERT")
		r.Group, r.Route = "g2", "db-g2"
		res, _ := run(other, r)
		w.is.Equal(res.Outcome, request.OutcomeNotRun)
		w.is.Equal(res.Code, retry.CodeRateLimited)
	})
}

// lateAdmitter responds after admitValidity.
type lateAdmitter struct{}

func (lateAdmitter) Admit(_ context.Context, _ upstream.GroupID, _ string, n int) (int, time.Duration, error) {
	time.Sleep(admitValidity + time.Millisecond)
	return n, 0, nil
}
