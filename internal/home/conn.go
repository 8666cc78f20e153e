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

// conn is a pooled connection. Unless noted otherwise, its fields are owned by the goroutine that runs a statement on
// it, resets it or probes it.
type conn struct {
	id     pool.ConnID
	member upstream.MemberID
	port   upstream.Conn
	state  exchange.State
	// txStatus is the transaction status after the last exchange.
	txStatus byte
	// sendBuffer is reused to encode outgoing messages.
	sendBuffer []byte
	// writing is true while a write is running or a write transaction is open. It is guarded by the group's lock.
	writing bool
	// session is the session whose transaction is open on the connection, and idleSince the end of its last statement.
	// Both are guarded by the group's lock.
	session   *sessionState
	idleSince time.Time
	closeOnce sync.Once
}

// close closes the connection immediately, also while another goroutine reads from it.
func (c *conn) close() { c.closeOnce.Do(func() { c.port.Close() }) }

// planPool opens, probes and closes connections as the pool requests. The group must be locked.
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
				g.spawn(func() { g.checkConn(cn, g.probeConn) })
			}
		case pool.ActionClose:
			g.removeConn(a.Conn)
		}
	}
}

// open dials a connection in a separate goroutine.
func (g *Group) open(a pool.Action) {
	m := g.member(a.Member)
	if m == nil {
		g.pool.Remove(a.Conn)
		return
	}
	spec, claim := m.spec, g.claim
	g.spawn(func() {
		ctx, cancel := context.WithTimeout(g.ctx, dialTimeout)
		defer cancel()
		port, err := g.port.Dial(ctx, spec, claim)
		g.mu.Lock()
		defer g.mu.Unlock()
		now := g.now()
		if err != nil {
			g.pool.OpenFailed(a.Conn, now)
			g.log.Warn("could not open connection", "member", spec.ID, "reason", a.Reason, "error", err)
			return
		}
		cn := &conn{id: a.Conn, member: spec.ID, port: port, txStatus: 'I'}
		if g.phase == phaseClosed || !g.pool.Opened(a.Conn, now) {
			cn.close()
			g.pool.Remove(a.Conn)
			return
		}
		g.conns[cn.id] = cn
		g.dispatch(now)
	})
}

// removeConn closes a connection and removes it from the pool. The group must be locked.
func (g *Group) removeConn(id pool.ConnID) {
	cn := g.conns[id]
	g.pool.Remove(id)
	if cn == nil {
		return
	}
	g.clearWriting(cn)
	g.unpin(cn)
	delete(g.conns, id)
	cn.close()
}

// clearWriting records that the connection no longer runs a write or write transaction.
func (g *Group) clearWriting(cn *conn) {
	if cn.writing {
		cn.writing = false
		g.activeWrites--
	}
}

// handleConnFailure removes a failed connection. Other connections to the member may have failed too, so idle ones are
// probed before they are reused.
func (g *Group) handleConnFailure(cn *conn, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log.Warn("connection failed", "member", cn.member, "error", err)
	if isTimeout(err) {
		g.record(Event{Kind: EventSilentConnection, Cause: "no_answer", Member: cn.member,
			Text: "A connection was closed because its answer did not come in time."})
	}
	g.removeConn(cn.id)
	if g.phase == phaseClosed {
		return
	}
	now := g.now()
	g.pool.ProbeMember(cn.member, now)
	g.planPool(now)
	g.dispatch(now)
}

// isTimeout reports whether err is a timeout.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// checkConn runs verify on a connection that the pool has in state resetting, and returns the connection to the pool or
// closes it.
func (g *Group) checkConn(cn *conn, verify func(*conn) error) {
	if err := verify(cn); err != nil {
		g.handleConnFailure(cn, err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.clearWriting(cn)
	if g.phase == phaseClosed || !g.pool.Release(cn.id, now) {
		g.removeConn(cn.id)
		return
	}
	g.dispatch(now)
}

// probeConn verifies that an idle connection still responds.
func (g *Group) probeConn(cn *conn) error {
	if err := g.roundTrip(cn, &pgproto3.Sync{}, ""); err != nil {
		return errors.Wrap(err, "keep-alive probe")
	}
	return nil
}

// resetConn rolls back an open transaction and discards the session state on the connection.
func (g *Group) resetConn(cn *conn) error {
	if cn.txStatus != 'I' {
		if err := g.roundTrip(cn, &pgproto3.Query{String: "ROLLBACK"}, "ROLLBACK"); err != nil {
			return errors.Wrap(err, "roll back")
		}
		cn.txStatus = 'I'
	}
	if !cn.state.Dirty() {
		return nil
	}
	if err := g.roundTrip(cn, &pgproto3.Query{String: "DISCARD ALL"}, "DISCARD ALL"); err != nil {
		return errors.Wrap(err, "discard session state")
	}
	cn.state.Discarded()
	return nil
}

// roundTrip sends one message and expects the command tag (empty for a Sync), followed by ReadyForQuery with an idle
// transaction status.
func (g *Group) roundTrip(cn *conn, m pgproto3.FrontendMessage, tag string) error {
	sendBuffer, err := m.Encode(cn.sendBuffer[:0])
	if err != nil {
		return err
	}
	cn.sendBuffer = sendBuffer
	if err := cn.port.SetDeadline(time.Now().Add(resetTimeout)); err != nil {
		return err
	}
	if err := cn.port.Send(sendBuffer); err != nil {
		return err
	}
	return expectTag(cn.port, tag)
}

// expectTag reads a response that consists of the command tag, unless it is empty, and ReadyForQuery.
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
