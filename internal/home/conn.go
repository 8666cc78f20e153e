package home

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/exchange"
	"github.com/celerystep/celerystep/internal/pool"
	"github.com/celerystep/celerystep/internal/upstream"
)

// conn is one pooled connection. Its fields belong to the goroutine that holds it: the one that runs a statement on it,
// or the one that resets or probes it.
type conn struct {
	id     pool.ConnID
	member upstream.MemberID
	port   upstream.Conn
	state  exchange.State
	// tx is the transaction status after the last exchange.
	tx byte
	// out is scratch space for what is sent.
	out []byte
	// writing is true while a write runs or a write transaction is open; guarded by the group's lock.
	writing bool
	// session is the session whose transaction is open on the connection, since the time of its last statement; guarded
	// by the group's lock.
	session *sessionState
	since   time.Time
	once    sync.Once
}

// close ends the connection at once, also while another goroutine waits for an answer on it.
func (c *conn) close() { c.once.Do(func() { c.port.Close() }) }

// planPool carries out what the pool asks for. The group must be locked.
func (g *Group) planPool(now time.Time) {
	if g.phase != phaseServing && g.phase != phaseDraining {
		return
	}
	for _, a := range g.pool.Plan(now) {
		switch a.Kind {
		case pool.ActionOpen:
			g.open(a)
		case pool.ActionProbe:
			if cn := g.conns[a.Conn]; cn != nil {
				g.task(func() { g.check(cn, g.probeConn) })
			}
		case pool.ActionClose:
			g.forget(a.Conn)
		}
	}
}

// open dials in its own goroutine.
func (g *Group) open(a pool.Action) {
	m := g.member(a.Member)
	if m == nil {
		g.pool.Remove(a.Conn)
		return
	}
	spec, claim := m.spec, g.claim
	g.task(func() {
		ctx, cancel := context.WithTimeout(g.ctx, dialTimeout)
		defer cancel()
		port, err := g.port.Dial(ctx, spec, claim)
		g.mu.Lock()
		defer g.mu.Unlock()
		now := g.now()
		if err != nil {
			g.pool.OpenFailed(a.Conn, now)
			g.log.Warn("connection not opened", "member", spec.ID, "reason", a.Reason, "error", err)
			return
		}
		cn := &conn{id: a.Conn, member: spec.ID, port: port, tx: 'I'}
		if g.phase == phaseClosed || !g.pool.Opened(a.Conn, now) {
			cn.close()
			g.pool.Remove(a.Conn)
			return
		}
		g.conns[cn.id] = cn
		g.dispatch(now)
	})
}

// forget closes a connection and removes it from the books. The group must be locked.
func (g *Group) forget(id pool.ConnID) {
	cn := g.conns[id]
	g.pool.Remove(id)
	if cn == nil {
		return
	}
	g.stopWriting(cn)
	g.unpin(cn)
	delete(g.conns, id)
	cn.close()
}

// stopWriting records that no write of a caller is left on the connection.
func (g *Group) stopWriting(cn *conn) {
	if cn.writing {
		cn.writing = false
		g.writers--
	}
}

// broken removes a connection that failed. Others to the member may have failed with it, so idle ones are probed before
// they are used again.
func (g *Group) broken(cn *conn, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.Warn("connection failed", "member", cn.member, "error", err)
	if isTimeout(err) {
		g.record(Event{Kind: EventSilentConnection, Cause: "no_answer", Member: cn.member,
			Text: "A connection was closed because its answer did not come in time."})
	}
	g.forget(cn.id)
	if g.phase == phaseClosed {
		return
	}
	now := g.now()
	g.pool.ProbeMember(cn.member, now)
	g.planPool(now)
	g.dispatch(now)
}

// isTimeout reports whether an answer did not come before the deadline.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// check verifies a connection that the pool has in state resetting, and returns it to the pool or closes it.
func (g *Group) check(cn *conn, verify func(*conn) error) {
	if err := verify(cn); err != nil {
		g.broken(cn, err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.stopWriting(cn)
	if g.phase == phaseClosed || !g.pool.Release(cn.id, now) {
		g.forget(cn.id)
		return
	}
	g.dispatch(now)
}

// probeConn makes sure that an idle connection still answers.
func (g *Group) probeConn(cn *conn) error {
	if err := g.verify(cn, &pgproto3.Sync{}, ""); err != nil {
		return errors.Wrap(err, "keep-alive probe")
	}
	return nil
}

// resetConn ends the transaction and removes what sessions left on the connection.
func (g *Group) resetConn(cn *conn) error {
	if cn.tx != 'I' {
		if err := g.verify(cn, &pgproto3.Query{String: "ROLLBACK"}, "ROLLBACK"); err != nil {
			return errors.Wrap(err, "roll back")
		}
		cn.tx = 'I'
	}
	if !cn.state.Dirty() {
		return nil
	}
	if err := g.verify(cn, &pgproto3.Query{String: "DISCARD ALL"}, "DISCARD ALL"); err != nil {
		return errors.Wrap(err, "discard session state")
	}
	cn.state.Discarded()
	return nil
}

// verify sends one message and accepts only the expected command tag (none for a Sync), followed by ReadyForQuery with
// an idle transaction status.
func (g *Group) verify(cn *conn, m pgproto3.FrontendMessage, tag string) error {
	out, err := m.Encode(cn.out[:0])
	if err != nil {
		return err
	}
	cn.out = out
	if err := cn.port.SetDeadline(time.Now().Add(resetTimeout)); err != nil {
		return err
	}
	if err := cn.port.Send(out); err != nil {
		return err
	}
	return expectTag(cn.port, tag)
}

// expectTag reads an answer that consists of the command tag and ReadyForQuery.
func expectTag(port upstream.Conn, tag string) error {
	seen := ""
	for {
		m, err := port.Receive()
		if err != nil {
			return err
		}
		switch m[0] {
		case 'C':
			seen = string(m[5 : len(m)-1])
		case 'Z':
			if m[5] != 'I' || seen != tag {
				return errors.Errorf("expected tag %q and an idle transaction, got %q and status %q", tag, seen, m[5])
			}
			return nil
		case 'S', 'N', 'A':
		default:
			return errors.Errorf("unexpected message %q", m[0])
		}
	}
}
