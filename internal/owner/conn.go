package owner

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/connstate"
	"github.com/celerystep/celerystep/internal/contain"
	"github.com/celerystep/celerystep/internal/dispatch"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/promotion"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Causes for which this process closes a connection.
var (
	errGroupStopped      = errors.New("the group was stopped")
	errIdleClosed        = errors.New("the idle connection was closed")
	errUnanswered        = errors.New("a member that is judged failing left the read unanswered")
	errSessionState      = errors.Wrap(member.ErrLost, "the connection is not in the state that the session needs")
	errWrongTransaction  = errors.Wrap(errSessionState, "the statement ran outside the transaction of its session")
	errPrimaryReplaced   = errors.New("the primary was being replaced while it committed")
	errNotRolledBack     = errors.New("the member did not roll the transaction back")
	errMemberUnavailable = errors.New("the member does not answer or was replaced")
	errLoanEnded         = errors.New("the delegate may not use the member any more")
)

const (
	dialTimeout     = 400 * time.Millisecond
	rollBackTimeout = 500 * time.Millisecond
	// maxRollBacks limits how often a member is asked to roll back a transaction before its connection is closed.
	maxRollBacks = 3
	// maxSetupRounds limits how often the setup of a session on a connection is tried before the connection is closed.
	maxSetupRounds = 3
)

// memberConn is a pooled connection to a member.
type memberConn struct {
	id       dispatch.ConnID
	member   member.Member
	customer string
	conn     member.Conn
	// state is used by the goroutine that runs a statement on the connection, and under the group's lock while none does.
	state connstate.State

	mu            sync.Mutex
	started       time.Time
	silenceNoted  time.Time
	running       bool
	closeCause    error
	cancelRunning context.CancelCauseFunc
}

// do sends the commands and records what their answers prove about the connection.
func (l *memberConn) do(ctx context.Context, commands ...member.Command) ([]statement.Answer, error) {
	answers, err := l.conn.Do(ctx, commands...)
	l.state.Record(commands, answers)
	return answers, err
}

// markSent records that a statement is being sent.
func (l *memberConn) markSent(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running, l.started, l.silenceNoted = true, now, now
}

// context returns a context that is cancelled when this process closes the connection.
func (l *memberConn) context(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	c, cancel := context.WithCancelCause(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelRunning = cancel
	if l.closeCause != nil {
		cancel(l.closeCause)
	}
	return c, cancel
}

func (l *memberConn) markAnswered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running, l.cancelRunning = false, nil
}

func (l *memberConn) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}

// close closes the connection and cancels a running statement with the cause.
func (l *memberConn) close(cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeCause != nil {
		return
	}
	l.closeCause = cause
	if l.cancelRunning != nil {
		l.cancelRunning(cause)
	}
	go l.conn.Close()
}

func (l *memberConn) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closeCause != nil
}

// unansweredFor returns how long the running statement has been unanswered since it was sent or last reported as
// silent.
func (l *memberConn) unansweredFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.running {
		return 0
	}
	return now.Sub(l.silenceNoted)
}

func (l *memberConn) sentAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started
}

func (l *memberConn) noteSilence(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silenceNoted = now
}

// openConn dials a connection that the scheduler requested.
func (g *Group) openConn(o dispatch.Open) {
	m, ok := g.members[o.Member]
	if !ok || g.stopped {
		g.scheduler.OpenFailed(o.Conn, g.o.Clock())
		return
	}
	go g.dial(o, m)
}

func (g *Group) dial(o dispatch.Open, m member.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	l := &memberConn{id: o.Conn, member: m, customer: o.Customer}
	var conn member.Conn
	err := contain.Err(func() (err error) {
		conn, err = g.o.Members.Dial(ctx, m, o.Customer, func() { g.connLost(l) })
		return err
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock()
	if err != nil {
		g.o.Metrics.Dials.WithLabelValues("failed").Inc()
		g.log.Warn("could not connect to a member", "member", m.ID, "customer", o.Customer, "error", err)
		if errors.Is(err, member.ErrLimit) {
			g.scheduler.OpenRejected(o.Conn, now)
		} else {
			g.scheduler.OpenFailed(o.Conn, now)
		}
		if f := member.FailureOf(err); f != promotion.FailureBusy {
			g.machine.Failed(m.ID, f, now)
			g.signal()
		}
		g.applyPlan(now)
		return
	}
	g.o.Metrics.Dials.WithLabelValues("opened").Inc()
	g.machine.AnswerReceived(m.ID, now)
	l.conn = conn
	if g.stopped || g.members[m.ID].Born != m.Born {
		g.scheduler.Closed(o.Conn)
		conn.Close()
		return
	}
	g.conns[o.Conn] = l
	g.scheduler.Opened(o.Conn, now)
	g.applyPlan(now)
}

// connLost handles a connection that broke while no statement was running on it.
func (g *Group) connLost(l *memberConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns[l.id] != l || l.busy() {
		// A running statement reports the loss itself.
		return
	}
	now := g.o.Clock()
	g.log.Info("connection to a member broke", "member", l.member.ID, "customer", l.customer)
	delete(g.conns, l.id)
	l.close(member.ErrLost)
	g.scheduler.Closed(l.id)
	g.dropTransaction(l)
	if !l.memberReplaced(g) {
		g.machine.Failed(l.member.ID, promotion.FailureConnectionLost, now)
	}
	g.signal()
}

// isTo reports whether the connection leads to this process of the member.
func (l *memberConn) isTo(m member.Member) bool {
	return l.member.ID == m.ID && l.member.Born == m.Born && l.member.Address == m.Address
}

// memberReplaced reports whether the connection's member has left or has a new process.
func (l *memberConn) memberReplaced(g *Group) bool {
	m, ok := g.members[l.member.ID]
	return !ok || m.Born != l.member.Born
}

// releaseConn ends the use of a connection by a statement or transaction. Only a connection that is proven to be outside any
// transaction returns to the scheduler: an open one is rolled back first, and after a failure or in an unproven state the
// connection is closed, which ends its transaction at the member. The group is locked.
func (g *Group) releaseConn(l *memberConn, err error) {
	now := g.o.Clock()
	if err == nil {
		err = l.state.Unproven()
	}
	switch {
	case err != nil || l.isClosed():
		l.markAnswered()
		if g.conns[l.id] == l {
			delete(g.conns, l.id)
		}
		g.scheduler.Closed(l.id)
		l.close(member.ErrLost)
	case l.state.Transaction() != statement.TxIdle:
		g.rollBackConn(l)
		return
	default:
		l.markAnswered()
		g.scheduler.Done(l.id, false, now)
	}
	g.applyPlan(now)
}

// rollBackConn rolls back the transaction on a connection in the background and then releases the connection.
func (g *Group) rollBackConn(l *memberConn) {
	l.markSent(g.o.Clock())
	go func() {
		err := l.rollBack()
		g.mu.Lock()
		defer g.mu.Unlock()
		if err != nil {
			g.log.Warn("closing a connection whose transaction was not rolled back", "member", l.member.ID, "customer", l.customer, "error", err)
		}
		g.releaseConn(l, err)
	}()
}

// rollBack asks the member to roll back the transaction until it reports that none is open.
func (l *memberConn) rollBack() error {
	ctx, cancel := context.WithTimeout(context.Background(), rollBackTimeout)
	defer cancel()
	var last statement.Answer
	for range maxRollBacks {
		answers, err := l.do(ctx, member.OwnCommand(statement.KindRollback))
		if err != nil {
			return err
		}
		if l.state.Transaction() == statement.TxIdle {
			return nil
		}
		last = answers[0]
	}
	return errors.Wrapf(errNotRolledBack, "answered %s %s", last.Code, last.Detail)
}

func sortedMembers(set map[upstream.MemberID]member.Member) []member.Member {
	list := make([]member.Member, 0, len(set))
	for _, m := range set {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
