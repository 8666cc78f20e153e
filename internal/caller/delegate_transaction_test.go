package caller

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/boottime"
	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/fleetlink"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

var delegatedSession = operation.SessionID{Instance: "i", Number: 3}

// transactionRequest returns the first statement of a read-only transaction, or a later one.
func transactionRequest(first bool, kind statement.Kind) *operation.Request {
	q := request("k1")
	q.Session, q.Statement.Kind, q.InTransaction = delegatedSession, kind, !first
	if first {
		q.Begin = statement.KindBeginRead
	}
	return q
}

func openResult(state statement.TxState) operation.ReadResult {
	return operation.ReadResult{Response: operation.Response{Answer: statement.Answer{State: state}}}
}

// Guards against statements of one transaction at two places: the delegate changes, the configuration changes, or the delegate is
// backed off from, while the transaction is open.
func TestATransactionStaysAtItsDelegate(t *testing.T) {
	for _, end := range []string{"commit", "rollback", "failure"} {
		t.Run(end, func(t *testing.T) {
			is := is.New(t)
			r, d, o, _, now := newDelegatingRouter()
			ctx := context.Background()
			d.result = openResult(statement.TxOpen)
			is.Equal(r.Run(ctx, transactionRequest(true, statement.KindRead)).Code, statement.CodeOK)
			d.claim = ownership.Claim{Owner: "next", Process: "p", Address: "127.0.0.1:1"}
			r.Delegates = nil
			r.path("g").backoff.Record(delegation.DeclineUnreachable, *now)
			is.Equal(r.Run(ctx, transactionRequest(false, statement.KindRead)).Code, statement.CodeOK)
			is.Equal(d.calls, 2)
			switch end {
			case "commit":
				d.result = openResult(statement.TxIdle)
				is.Equal(r.Run(ctx, transactionRequest(false, statement.KindCommit)).Code, statement.CodeOK)
			case "rollback":
				r.End(ctx, "g", delegatedSession)
				is.Equal(<-d.ended, delegatedSession)
			case "failure":
				d.result = operation.ReadResult{Response: failed(statement.CodeAborted)}
				is.Equal(r.Run(ctx, transactionRequest(false, statement.KindRead)).Code, statement.CodeAborted)
			}
			is.Equal(o.calls, 0)
			_, held := r.holder(delegatedSession)
			is.True(!held)
		})
	}
}

// Guards against a transaction whose first statement was declined and whose later ones go to the delegate.
func TestADeclinedTransactionRunsAtTheOwner(t *testing.T) {
	is := is.New(t)
	r, d, o, last, _ := newDelegatingRouter()
	d.result = operation.ReadResult{Decline: delegation.DeclineBusy}
	is.Equal(r.Run(context.Background(), transactionRequest(true, statement.KindRead)).Code, statement.CodeOK)
	is.Equal(last.Begin, statement.KindBeginRead)
	is.Equal(r.Run(context.Background(), transactionRequest(false, statement.KindRead)).Code, statement.CodeOK)
	is.Equal(d.calls, 1)
	is.Equal(o.calls, 2)
	r.End(context.Background(), "g", delegatedSession)
	is.Equal(len(d.ended), 0)
}

// peerDelegate is a delegate in another process. It opens a transaction with each first statement.
type peerDelegate struct {
	leavingOwner
	silent atomic.Bool
	// over is closed at the end of the test.
	over  chan struct{}
	ended chan operation.SessionID
}

func (p *peerDelegate) RunRead(context.Context, *operation.Request) operation.ReadResult {
	if p.silent.Load() {
		<-p.over
	}
	return openResult(statement.TxOpen)
}

func (p *peerDelegate) EndRead(_ context.Context, _ upstream.GroupID, s operation.SessionID) {
	p.ended <- s
}

// newPeerDelegate starts a delegate in another process of which the router knows. stop ends it.
func newPeerDelegate(t *testing.T, r *Router, d *fakeDelegate) (p *peerDelegate, stop func()) {
	p = &peerDelegate{over: make(chan struct{}), ended: make(chan operation.SessionID, 10)}
	t.Cleanup(func() { close(p.over) })
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := fleetlink.NewServer(p, p, nil, "d", "p")
	go func() { _ = server.Serve(l) }()
	stop = func() { _ = server.Close() }
	t.Cleanup(stop)
	d.claim.Address = l.Addr().String()
	r.Clock, r.Peers = boottime.Now, fleetlink.NewPeers(boottime.Now)
	return p, stop
}

// Guards against a transaction that goes on at the owner after the process of its delegate has ended, and against an outcome in
// doubt of a commit that had nothing to keep.
func TestATransactionOfADeadDelegateIsAborted(t *testing.T) {
	for _, kind := range []statement.Kind{statement.KindRead, statement.KindCommit} {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			r, d, o, _, _ := newDelegatingRouter()
			_, stop := newPeerDelegate(t, r, d)
			is.Equal(r.Run(context.Background(), transactionRequest(true, statement.KindRead)).State, statement.TxOpen)
			is.Equal(r.Run(context.Background(), transactionRequest(false, statement.KindRead)).State, statement.TxOpen)
			stop()
			is.Equal(r.Run(context.Background(), transactionRequest(false, kind)).Code, statement.CodeAborted)
			is.Equal(o.calls, 0)
			_, held := r.holder(delegatedSession)
			is.True(!held)
			is.True(!r.path("g").backoff.Over(r.Clock()))
			is.Equal(r.Run(context.Background(), transactionRequest(true, statement.KindRead)).Code, statement.CodeOK) // the next one
			is.Equal(o.calls, 1)
		})
	}
}

// Guards against a transaction that holds a connection at a delegate whose response was given up, while its session goes on at
// the owner, and against an end that does not reach a delegate in another process.
func TestTheEndReachesADelegateInAnotherProcess(t *testing.T) {
	for _, silent := range []bool{false, true} {
		is := is.New(t)
		r, d, o, _, _ := newDelegatingRouter()
		p, _ := newPeerDelegate(t, r, d)
		r.Catalog().Routes["orders"].TargetLatency = 200 * time.Millisecond
		p.silent.Store(silent)
		is.Equal(r.Run(context.Background(), transactionRequest(true, statement.KindRead)).Code, statement.CodeOK)
		if silent {
			is.Equal(o.calls, 1)
		} else {
			go r.End(context.Background(), "g", delegatedSession)
		}
		select {
		case s := <-p.ended:
			is.Equal(s, delegatedSession)
		case <-time.After(10 * time.Second):
			t.Fatal("the delegate was not told")
		}
	}
}

// delayedEnd holds the ends of transactions back until it is released.
type delayedEnd struct {
	*Router
	release chan struct{}
	done    chan struct{}
}

func (d *delayedEnd) End(ctx context.Context, g upstream.GroupID, s operation.SessionID) {
	<-d.release
	d.Router.End(ctx, g, s)
	close(d.done)
}

// Guards against a statement, or a commit, of a transaction at the owner that runs in an earlier transaction at a delegate whose
// end is still under way.
func TestALateEndDoesNotAffectTheNextTransaction(t *testing.T) {
	is := is.New(t)
	r, d, o, _, _ := newDelegatingRouter()
	runner := &delayedEnd{Router: r, release: make(chan struct{}), done: make(chan struct{})}
	server := &Server{Instance: "i"}
	s := &Session{
		id: server.newSessionID(), newID: server.newSessionID, database: "orders", key: "k1", catalog: r.Catalog, runner: runner, clock: r.Clock,
	}
	d.result = openResult(statement.TxOpen)
	do(s, statement.KindBeginRead)
	is.Equal(do(s, statement.KindRead).Code, statement.CodeOK)
	ended := s.id
	do(s, statement.KindRollback)
	state := statement.TxOpen
	o.run = func(*operation.Request) operation.Response {
		return operation.Response{Answer: statement.Answer{State: state}}
	}
	do(s, statement.KindBegin)
	is.Equal(do(s, statement.KindWrite).State, statement.TxOpen)
	state = statement.TxIdle
	is.Equal(do(s, statement.KindCommit).State, statement.TxIdle)
	is.Equal(d.calls, 1)
	is.Equal(o.calls, 2)
	close(runner.release)
	<-runner.done
	is.Equal(<-d.ended, ended)
	_, held := r.holder(ended)
	is.True(!held)
}
