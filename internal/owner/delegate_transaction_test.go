package owner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/statement"
)

// run runs a statement of the session. The first one of a transaction has its begin.
func (w *delegateWorld) run(session uint64, begin, kind statement.Kind, inTransaction bool) operation.ReadResult {
	return w.m.RunRead(context.Background(), &operation.Request{
		Group: "g", Database: "views", Key: "k1", CatalogRevision: 5, Customer: "mill", Statement: statement.Statement{ID: "1", Kind: kind},
		Session: operation.SessionID{Instance: "i", Number: session}, Begin: begin, InTransaction: inTransaction,
	})
}

func (w *delegateWorld) begin(session uint64) operation.ReadResult {
	return w.run(session, statement.KindBeginRead, statement.KindRead, false)
}

func (w *delegateWorld) inside(session uint64, kind statement.Kind) operation.Response {
	return w.run(session, statement.KindInvalid, kind, true).Response
}

func (w *delegateWorld) kinds() (kinds []statement.Kind) {
	w.locked(func() {
		for _, c := range w.sent {
			kinds = append(kinds, c.Kind)
		}
	})
	return kinds
}

// eventually waits for the steps of the delegate.
func (w *delegateWorld) eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		done := false
		w.locked(func() { done = ok() })
		if done {
			return
		}
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// advanceWithRenewals advances the time in steps that are shorter than a loan, and waits for a renewal after each.
func (w *delegateWorld) advanceWithRenewals(t *testing.T, d time.Duration) {
	t.Helper()
	const step = 200 * time.Millisecond
	for ; d > 0; d -= step {
		before := 0
		w.locked(func() { before = w.loans })
		w.advance(step)
		w.eventually(t, "the loan was not renewed", func() bool { return w.loans > before })
	}
}

// Guards against statements of a transaction on another connection than its first, against a transaction without the floor of its
// session, and against one that holds its connection after its commit.
func TestADelegateRunsReadOnlyTransactions(t *testing.T) {
	is := is.New(t)
	w := newDelegateWorld(t)
	w.borrow(t)
	first := w.begin(1)
	is.Equal(first.Decline, delegation.DeclineNone)
	is.Equal(first.Response.State, statement.TxOpen)
	is.Equal(w.sent[0].After, position.Position{Term: 1, LSN: 9})
	is.Equal(w.begin(2).Response.State, statement.TxOpen)
	is.Equal(w.inside(1, statement.KindRead).State, statement.TxOpen)
	is.Equal(w.m.OpenTransactions(), 2)
	is.Equal(w.inside(1, statement.KindCommit).Code, statement.CodeOK)
	is.Equal(w.m.OpenTransactions(), 1)
	begin, read, commit := statement.KindBeginRead, statement.KindRead, statement.KindCommit
	is.Equal(w.kinds(), []statement.Kind{begin, read, begin, read, read, commit})
	is.True(w.sentOn[0] != w.sentOn[2])
	for _, i := range []int{1, 4, 5} {
		is.Equal(w.sentOn[i], w.sentOn[0])
	}
	is.Equal(w.inside(1, statement.KindRead).Code, statement.CodeAborted) // it has ended
}

// Guards against transactions at a delegate that may write, and against a write on a replica that its caller believes was done.
func TestADelegateRunsNoWrites(t *testing.T) {
	is := is.New(t)
	w := newDelegateWorld(t)
	w.borrow(t)
	is.Equal(w.run(1, statement.KindBegin, statement.KindRead, false).Decline, delegation.DeclineNotAdmitted)
	is.Equal(w.run(1, statement.KindBeginRead, statement.KindWrite, false).Decline, delegation.DeclineNotAdmitted)
	is.Equal(w.statements(), 0)
	is.Equal(w.begin(1).Decline, delegation.DeclineNone)
	w.locked(func() { w.answer.Code = statement.CodeReadOnly }) // the replica refuses the write
	resp := w.inside(1, statement.KindWrite)
	is.Equal(resp.Code, statement.CodeReadOnly)
	is.Equal(resp.State, statement.TxFailed)
	is.Equal(w.m.OpenTransactions(), 0)
}

// Guards against a transaction that goes on although the delegate may not use its connection any more, on this connection or on
// another, and against a connection that stays open while the owner counts it as free.
func TestATransactionEndsWithTheLoan(t *testing.T) {
	moved := replica
	moved.Born++
	for _, c := range []struct {
		name   string
		change func(w *delegateWorld)
	}{
		{"the loan lapses", func(w *delegateWorld) { w.advance(delegation.TTL) }},
		{"the member is gone", func(w *delegateWorld) { w.m.SetMembers("g", nil) }},
		{"the member has a new process", func(w *delegateWorld) { w.m.SetMembers("g", []member.Member{moved}) }},
		{"the loan is given up", func(w *delegateWorld) {
			d := w.m.knownDelegate("g")
			d.g.mu.Lock()
			d.borrower.Drop(w.clock())
			d.g.mu.Unlock()
		}},
	} {
		for _, waits := range []bool{false, true} { // the next statement comes before or after the delegate's next step
			t.Run(c.name, func(t *testing.T) {
				is := is.New(t)
				w := newDelegateWorld(t)
				w.borrow(t)
				is.Equal(w.begin(1).Response.State, statement.TxOpen)
				w.locked(func() { w.refusal = delegation.RefusalHeld })
				before := w.statements()
				c.change(w)
				if waits {
					w.eventually(t, "the connection stays open", func() bool { return w.closed == w.dials })
				}
				resp := w.inside(1, statement.KindRead)
				is.Equal(resp.Code, statement.CodeAborted)
				is.Equal(resp.State, statement.TxFailed)
				is.Equal(w.statements(), before)
				is.Equal(w.m.OpenTransactions(), 0)
				w.eventually(t, "the connection stays open", func() bool { return w.closed == w.dials })
			})
		}
	}
}

// Guards against a statement that goes on, on a connection that the owner counts as free, when the loan lapses while it runs.
func TestARunningStatementEndsWithTheLoan(t *testing.T) {
	is := is.New(t)
	w := newDelegateWorld(t)
	w.borrow(t)
	is.Equal(w.begin(1).Response.State, statement.TxOpen)
	d := w.m.knownDelegate("g")
	session := operation.SessionID{Instance: "i", Number: 1}
	d.g.mu.Lock()
	l := d.g.txs[session].memberConn
	d.g.txs[session].busy = true
	l.markSent(w.clock())
	ctx, cancel := l.context(context.Background())
	d.g.mu.Unlock()
	defer cancel(nil)
	w.locked(func() { w.refusal = delegation.RefusalHeld })
	w.advance(delegation.TTL)
	select {
	case <-ctx.Done():
		is.Equal(context.Cause(ctx), errLoanEnded)
	case <-time.After(10 * time.Second):
		t.Fatal("the statement was not cancelled")
	}
}

// Guards against a transaction of a member that announces its end, which is aborted although the loan still holds.
func TestATransactionOnALeavingMemberMayEnd(t *testing.T) {
	is := is.New(t)
	w := newDelegateWorld(t)
	w.borrow(t)
	is.Equal(w.begin(1).Response.State, statement.TxOpen)
	leaving := replica
	leaving.Leaving = true
	w.m.SetMembers("g", []member.Member{leaving})
	is.Equal(w.begin(2).Decline, delegation.DeclineNoGrant)
	is.Equal(w.inside(1, statement.KindRead).Code, statement.CodeOK)
	is.Equal(w.inside(1, statement.KindCommit).Code, statement.CodeOK)
}

// Guards against a loan that lapses because the reads of an open transaction pause, and against a transaction that holds its
// connection without a limit.
func TestALoanIsRenewedForOpenTransactionsUntilTheyAreIdle(t *testing.T) {
	is := is.New(t)
	w := newDelegateWorld(t)
	w.borrow(t)
	is.Equal(w.begin(1).Response.State, statement.TxOpen)
	w.advanceWithRenewals(t, 2400*time.Millisecond)
	is.Equal(w.inside(1, statement.KindRead).Code, statement.CodeOK)
	w.advanceWithRenewals(t, defaultIdleInTransaction)
	w.advance(housekeepingInterval)
	w.eventually(t, "the idle transaction was not rolled back", func() bool {
		return w.sent[len(w.sent)-1].Kind == statement.KindRollback
	})
	is.Equal(w.inside(1, statement.KindRead).Code, statement.CodeAborted)
}

// Guards against a transaction that its session has ended and that holds a connection until its idle limit.
func TestTheEndOfATransactionReachesTheDelegate(t *testing.T) {
	is := is.New(t)
	w := newDelegateWorld(t)
	w.borrow(t)
	is.Equal(w.begin(1).Response.State, statement.TxOpen)
	session := operation.SessionID{Instance: "i", Number: 1}
	w.m.End(context.Background(), "g", session) // that of an owner
	is.Equal(w.m.OpenTransactions(), 1)
	w.m.EndRead(context.Background(), "g", session)
	is.Equal(w.m.OpenTransactions(), 0)
	w.eventually(t, "nothing was rolled back", func() bool { return w.sent[len(w.sent)-1].Kind == statement.KindRollback })
}

// Guards against a transaction that holds its connection until its idle limit, because its sender gave the first statement up and
// sent the end before the transaction was open.
func TestATransactionWhoseSenderHasGivenUpEnds(t *testing.T) {
	is := is.New(t)
	w := newDelegateWorld(t)
	w.borrow(t)
	ctx, cancel := context.WithCancel(context.Background())
	session := operation.SessionID{Instance: "i", Number: 1}
	w.onSend = func(context.Context) {
		cancel()
		w.m.EndRead(context.Background(), "g", session)
	}
	w.m.RunRead(ctx, &operation.Request{
		Group: "g", Database: "views", Key: "k1", CatalogRevision: 5, Customer: "mill", Session: session,
		Statement: statement.Statement{ID: "1", Kind: statement.KindRead}, Begin: statement.KindBeginRead,
	})
	is.Equal(w.m.OpenTransactions(), 0)
	w.eventually(t, "nothing was rolled back", func() bool { return w.sent[len(w.sent)-1].Kind == statement.KindRollback })
}

// Guards against a session that makes a delegate give its loan up, with the transactions of all others, because it changes its
// session values in transactions or its key is taken away.
func TestWhatTheReplicaDoesNotCauseKeepsTheLoan(t *testing.T) {
	for _, cause := range []string{"session values", "key"} {
		t.Run(cause, func(t *testing.T) {
			is := is.New(t)
			w := newDelegateWorld(t)
			w.borrow(t)
			const sessions = 8 // three failures in succession give a loan up
			request := operation.Request{
				Group: "g", Database: "views", Key: "k1", CatalogRevision: 5, Customer: "mill", Statement: statement.Statement{ID: "1", Kind: statement.KindRead},
			}
			for session := range uint64(sessions) {
				first := request
				first.Session, first.Begin = operation.SessionID{Instance: "i", Number: session}, statement.KindBeginRead
				first.Values = map[string]string{"a": "1"}
				is.Equal(w.m.RunRead(context.Background(), &first).Response.State, statement.TxOpen)
			}
			for session := range uint64(sessions) {
				later := request
				later.Session, later.InTransaction = operation.SessionID{Instance: "i", Number: session}, true
				later.Values = map[string]string{"a": "1"}
				if cause == "key" {
					later.Key = "k2"
				} else {
					later.Values = map[string]string{"b": "1"}
				}
				is.Equal(w.m.RunRead(context.Background(), &later).Response.Code, statement.CodeAborted)
			}
			_, d := w.m.delegate("g")
			is.True(d.borrowed())
		})
	}
}

// Guards against transactions that are charged for each statement, or charged although they fall back to the owner before anything
// ran, and against a connection that a declined transaction holds.
func TestATransactionIsChargedOnce(t *testing.T) {
	for _, c := range []struct {
		name    string
		answer  statement.Answer
		failure error
		decline delegation.Decline
		charged bool // the token has been used
	}{
		{"served", statement.Answer{}, nil, delegation.DeclineNone, true},
		{"the replica lags", statement.Answer{Code: statement.CodeLagging}, nil, delegation.DeclineFailed, false},
		{"the replica's answer is lost", statement.Answer{}, member.ErrLost, delegation.DeclineFailed, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newDelegateWorld(t)
			w.borrow(t)
			limiter := newGroup(w.m.o, ownership.Claim{Group: "own"}, false).limiter
			w.m.groups["own"].mu.Lock()
			w.m.groups["own"].limiter = limiter
			w.m.groups["own"].mu.Unlock()
			w.locked(func() { w.answer, w.failure, w.tokens = c.answer, c.failure, 1 })
			result := w.begin(1)
			is.Equal(result.Decline, c.decline)
			is.Equal(result.Charged, c.charged && c.decline != delegation.DeclineNone)
			if c.decline == delegation.DeclineNone {
				is.Equal(w.inside(1, statement.KindRead).Code, statement.CodeOK)
				is.Equal(w.inside(1, statement.KindCommit).Code, statement.CodeOK)
			}
			is.Equal(w.m.OpenTransactions(), 0)
			is.Equal(limiter.Take(w.catalog.Customer("mill"), 2, w.clock()), !c.charged)
		})
	}
}

// Guards against a transaction that is answered as aborted, although it has time left at the owner, because the replica does not
// answer its first read.
func TestATransactionOnASilentReplicaFallsBack(t *testing.T) {
	is := is.New(t)
	w := newDelegateWorld(t)
	w.borrow(t)
	w.onSend = func(ctx context.Context) { <-ctx.Done() }
	w.locked(func() {
		w.failure = member.ErrLost
		w.catalog.Routes["views"].TargetLatency = 200 * time.Millisecond
	})
	result := w.begin(1)
	is.Equal(result.Decline, delegation.DeclineFailed)
	is.True(result.Charged) // the replica may have run it
	is.Equal(w.m.OpenTransactions(), 0)
}

// Guards against open transactions that hold the whole share, so that no read finds a connection, against one that waits for the
// end of another although the owner may have room, and against more than the owner lends after a renewal.
func TestTransactionsHoldAPartOfTheShare(t *testing.T) {
	is := is.New(t)
	w := newDelegateWorld(t)
	w.borrow(t)
	w.locked(func() { w.offer.Share.Connections = 10 })
	w.advance(200 * time.Millisecond)
	w.read() // requests a renewal
	w.awaitShare(t, 10)
	const most = 7 // TransactionPercent of 10
	for session := range uint64(most) {
		is.Equal(w.begin(session).Decline, delegation.DeclineNone)
	}
	started := time.Now()
	is.Equal(w.begin(most).Decline, delegation.DeclineBusy)
	is.True(time.Since(started) < time.Second) // half of the target of the route
	is.Equal(w.read().Decline, delegation.DeclineNone)
	w.locked(func() { w.offer.Share.Connections = 4 }) // the owner now lends less
	w.advance(200 * time.Millisecond)
	w.awaitShare(t, 4)
	is.Equal(w.m.OpenTransactions(), 4)
}

// awaitShare waits until the loan in use has the given number of connections.
func (w *delegateWorld) awaitShare(t *testing.T, connections int) {
	t.Helper()
	d := w.m.knownDelegate("g")
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		d.g.mu.Lock()
		grant, _ := d.borrower.Grant(w.clock())
		d.g.mu.Unlock()
		if grant.Share.Connections == connections {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the loan was not renewed")
		}
	}
}

// Guards against transactions that end at once when their delegate begins to stop, and against a shutdown that does not wait for
// them.
func TestOpenTransactionsOutliveTheStartOfAShutdown(t *testing.T) {
	is := is.New(t)
	w := newDelegateWorld(t)
	w.borrow(t)
	is.Equal(w.begin(1).Response.State, statement.TxOpen)
	w.m.Release("own", "shutdown")
	is.Equal(w.begin(2).Decline, delegation.DeclineNoGrant)
	w.advanceWithRenewals(t, 2*delegation.TTL)
	is.Equal(w.inside(1, statement.KindRead).Code, statement.CodeOK)
	is.Equal(w.m.OpenTransactions(), 1)
	w.m.Close()
	is.Equal(w.inside(1, statement.KindRead).Code, statement.CodeAborted)
	w.eventually(t, "the connection stays open", func() bool { return w.closed == w.dials })
}
