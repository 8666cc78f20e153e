package group

import (
	"net"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/upstream"
)

// errClosed reports the use of a group after Close.
var errClosed = errors.New("group is closed")

// Kill stops a member as a crash of its machine's process does: connections are reset and new ones refused. Its log,
// term and claim are durable. Open transactions are lost.
func (g *Group) Kill(id upstream.MemberID) { g.members[id].kill() }

// Restart starts a killed member on its old address. It takes up its old role and term. A frozen one is not frozen any
// more.
func (g *Group) Restart(id upstream.MemberID) error {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed {
		return errClosed
	}
	m := g.members[id]
	if m.isAlive() {
		return nil
	}
	m.frozen.open()
	return m.start(m.address)
}

// Isolate cuts a member off from the other members without a sign. Clients still reach it; a primary goes on believing
// that it leads and accepts writes.
func (g *Group) Isolate(id upstream.MemberID) { g.members[id].setIsolated(true) }

// Heal ends Isolate.
func (g *Group) Heal(id upstream.MemberID) { g.members[id].setIsolated(false) }

// Freeze stops a member as a paused process: connections are accepted and nothing is sent, replication included.
func (g *Group) Freeze(id upstream.MemberID) { g.members[id].frozen.shut() }

// Unfreeze ends Freeze. What arrived in between is handled then.
func (g *Group) Unfreeze(id upstream.MemberID) { g.members[id].frozen.open() }

// SetLag delays the receipt of records by a member after their commit, and the applying after their receipt. A
// promotion applies what was received without delay.
func (g *Group) SetLag(id upstream.MemberID, receive, apply time.Duration) {
	m := g.members[id]
	m.mu.Lock()
	m.receiveLag, m.applyLag = receive, apply
	m.mu.Unlock()
	m.notifyControl()
}

// SetServiceTime sets the time that each statement on a member holds a slot besides its execution.
func (g *Group) SetServiceTime(id upstream.MemberID, d time.Duration) {
	g.members[id].serviceTime.Store(int64(d))
}

func (m *member) setIsolated(on bool) {
	m.isolated.Store(on)
	for _, other := range m.group.order {
		other.control.send()
	}
}

// kill closes the listener, resets connections and stops the member's goroutines.
func (m *member) kill() {
	m.mu.Lock()
	if m.alive {
		m.alive = false
		_ = m.listener.Close()
		m.stop()
		for _, s := range m.sessions {
			s.resetLocked()
		}
		m.retireWriterLocked()
	}
	m.mu.Unlock()
	m.notifyControl()
}

// resetLocked ends the connection with a TCP reset.
func (s *session) resetLocked() {
	if t, ok := s.conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	s.terminateLocked()
}

// resetStreamLocked forgets the state of the replication stream, as a start of the process does.
func (m *member) resetStreamLocked() {
	m.lastHeard = time.Now()
	m.streamBroken = false
}
