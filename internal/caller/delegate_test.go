package caller

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/celerystep/celerystep/internal/boottime"
	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/fleetlink"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

// fakeDelegate is the delegate of every group, in this process or at an address. It counts its calls.
type fakeDelegate struct {
	claim  ownership.Claim
	calls  int
	result operation.ReadResult
	delay  func()
	// ended receives the sessions whose transactions were ended.
	ended chan operation.SessionID
}

func (d *fakeDelegate) Delegate(upstream.GroupID) (ownership.Claim, bool, bool) {
	return d.claim, d.claim.Address == "", d.claim.Owner != ""
}

func (d *fakeDelegate) RunRead(context.Context, *operation.Request) operation.ReadResult {
	d.calls++
	if d.delay != nil {
		d.delay()
	}
	return d.result
}

func (d *fakeDelegate) EndRead(_ context.Context, _ upstream.GroupID, s operation.SessionID) {
	d.ended <- s
}

// newDelegatingRouter returns a router with a delegate, an owner that records its last request, and a settable time.
func newDelegatingRouter() (r *Router, d *fakeDelegate, o *fakeOwner, last *operation.Request, now *time.Time) {
	last, now = &operation.Request{}, new(time.Time)
	*now = time.Unix(1000, 0)
	o = &fakeOwner{run: func(q *operation.Request) operation.Response {
		*last = *q
		return operation.Response{}
	}}
	r = newRouter(o, func() time.Time { return *now })
	r.Catalog().Routes["orders"].Consistency = catalog.BoundedStaleness
	d = &fakeDelegate{claim: ownership.Claim{Owner: "d", Process: "p"}, ended: make(chan operation.SessionID, 10)}
	r.Delegates, r.LocalReads, r.Metrics = d, d, NewMetrics(prometheus.NewRegistry())
	return r, d, o, last, now
}

// Guards against statements at a delegate that only an owner may run.
func TestOnlyReadsGoToTheDelegate(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(r *Router, q *operation.Request)
		want   int
	}{
		{"read", func(*Router, *operation.Request) {}, 1},
		{"reading prepared statement", func(_ *Router, q *operation.Request) { q.Statement.Kind = statement.KindExecute }, 1},
		{"writing prepared statement", func(_ *Router, q *operation.Request) {
			q.Statement = statement.Statement{Kind: statement.KindExecute, Prepared: statement.Prepared{Writes: true}}
		}, 0},
		{"write", func(_ *Router, q *operation.Request) { q.Statement.Kind = statement.KindWrite }, 0},
		{"commit", func(_ *Router, q *operation.Request) { q.Statement.Kind = statement.KindCommit }, 0},
		{"first read of a read-only transaction", func(_ *Router, q *operation.Request) { q.Begin = statement.KindBeginRead }, 1},
		{"first write of a read-only transaction", func(_ *Router, q *operation.Request) {
			q.Begin, q.Statement.Kind = statement.KindBeginRead, statement.KindWrite
		}, 0},
		{"commit of an empty read-only transaction", func(_ *Router, q *operation.Request) {
			q.Begin, q.Statement.Kind = statement.KindBeginRead, statement.KindCommit
		}, 0},
		{"first read of a transaction that may write", func(_ *Router, q *operation.Request) { q.Begin = statement.KindBegin }, 0},
		{"read in a transaction at the owner", func(_ *Router, q *operation.Request) { q.InTransaction = true }, 0},
		{"read-only transaction that must see every commit", func(r *Router, q *operation.Request) {
			r.Catalog().Routes["orders"].Consistency = catalog.Primary
			q.Begin = statement.KindBeginRead
		}, 0},
		{"read that must see every commit", func(r *Router, _ *operation.Request) {
			r.Catalog().Routes["orders"].Consistency = catalog.Primary
		}, 0},
		{"domains are evacuated", func(r *Router, _ *operation.Request) { r.Delegates = nil }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, d, o, _, _ := newDelegatingRouter()
			q := request("k1")
			c.change(r, q)
			is.Equal(r.Run(context.Background(), q).Code, statement.CodeOK)
			is.Equal(d.calls, c.want)
			is.Equal(o.calls, 1-c.want)
		})
	}
}

// Guards against a declined read that the owner charges again, or that gets its whole time again.
func TestADeclinedReadFallsBackWithItsTimeAndCharge(t *testing.T) {
	for _, charged := range []bool{false, true} {
		is := is.New(t)
		r, d, o, last, now := newDelegatingRouter()
		d.result = operation.ReadResult{Decline: delegation.DeclineFailed, Charged: charged}
		d.delay = func() { *now = now.Add(70 * time.Millisecond) }
		q := request("k1")
		q.Elapsed = 5 * time.Millisecond
		is.Equal(r.Run(context.Background(), q).Code, statement.CodeOK)
		is.Equal(o.calls, 1)
		is.Equal(last.Elapsed, 75*time.Millisecond)
		is.Equal(last.Charged, charged)
	}
}

// Guards against a call for each read to a delegate that is dead, and against reads that fail because of it.
func TestADeadDelegateCostsNoReads(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	r, d, o, _, now := newDelegatingRouter()
	d.claim.Address = l.Addr().String()
	r.Peers = fleetlink.NewPeers(boottime.Now)
	for range 20 {
		is.Equal(r.Run(context.Background(), request("k1")).Code, statement.CodeOK)
	}
	is.Equal(o.calls, 20)
	is.True(!r.path("g").backoff.Over(*now))
	d.claim = ownership.Claim{Owner: "d", Process: "p2"} // its successor, in this process, is tried at once
	is.Equal(r.Run(context.Background(), request("k1")).Code, statement.CodeOK)
	is.Equal(o.calls, 20)
	is.Equal(d.calls, 1)
}

// Guards against a read that waits for a delegate which has accepted it and does not answer: the owner gets it in time.
func TestASilentDelegateLeavesTimeForTheOwner(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0") // accepts, and never answers
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	r, d, o, last, _ := newDelegatingRouter()
	r.Clock = boottime.Now
	d.claim.Address = l.Addr().String()
	r.Peers = fleetlink.NewPeers(boottime.Now)
	is.Equal(r.Run(context.Background(), request("k1")).Code, statement.CodeOK)
	is.Equal(o.calls, 1)
	is.True(last.Elapsed < time.Second) // the target of the route
}

// Guards against state and a lock on the path of requests where no reads are delegated.
func TestRequestsOfGroupsWithoutADelegateLeaveNoState(t *testing.T) {
	is := is.New(t)
	r, d, o, _, _ := newDelegatingRouter()
	d.claim = ownership.Claim{}
	is.Equal(r.Run(context.Background(), request("k1")).Code, statement.CodeOK)
	is.Equal(d.calls, 0)
	is.Equal(o.calls, 1)
	r.paths.Range(func(group, _ any) bool {
		t.Errorf("the router keeps state of group %v", group)
		return false
	})
}
