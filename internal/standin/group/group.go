package group

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/standin/group/sqldb"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Group is a running database group. Methods that name a member panic when the group does not have it.
type Group struct {
	options Options
	logger  hclog.Logger
	members map[upstream.MemberID]*member
	order   []*member
	wg      sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	lastPID  uint32
	counted  int
	captured []byte
}

// maxCapturedBytes bounds the captured input of clients.
const maxCapturedBytes = 64 << 20

// Start opens the members' databases, runs the schema and listens.
func Start(o Options) (*Group, error) {
	o.setDefaults()
	if len(o.Members) == 0 {
		return nil, errors.New("group has no members")
	}
	g := &Group{options: o, logger: o.Logger, members: make(map[upstream.MemberID]*member)}
	for _, mo := range o.Members {
		if g.members[mo.ID] != nil {
			return nil, errors.Errorf("member %q is listed twice", mo.ID)
		}
		m, err := newMember(g, mo, o.Members[0].ID)
		if err != nil {
			return nil, err
		}
		g.members[mo.ID] = m
		g.order = append(g.order, m)
	}
	if err := g.writeSchema(); err != nil {
		_ = g.Close()
		return nil, err
	}
	for _, m := range g.order {
		if err := m.start(m.options.Address); err != nil {
			_ = g.Close()
			return nil, err
		}
	}
	return g, nil
}

// Close stops all members and frees their databases.
func (g *Group) Close() error {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	for _, m := range g.order {
		m.kill()
	}
	g.wg.Wait()
	var err error
	for _, m := range g.order {
		m.mu.Lock()
		m.writer.retire()
		if e := m.db.Close(); e != nil {
			err = e
		}
		m.mu.Unlock()
	}
	return err
}

// writeSchema writes the start of term 1 and the schema to every member's log.
func (g *Group) writeSchema() error {
	records := []*record{{term: 1}}
	if len(g.options.Schema) > 0 {
		statements, err := parseSchema(g.options.Schema)
		if err != nil {
			return err
		}
		records = append(records, &record{term: 1, statements: statements})
	}
	for _, m := range g.order {
		m.mu.Lock()
		for _, r := range records {
			m.log.append(r, r.committed)
		}
		m.mu.Unlock()
		m.applyAll()
		if m.fault != nil {
			return errors.Wrap(m.fault, "run the schema")
		}
	}
	return nil
}

func parseSchema(texts []string) ([]sqldb.Statement, error) {
	var out []sqldb.Statement
	for _, text := range texts {
		statements, err := parseAll(text)
		if err != nil {
			return nil, errors.Wrapf(err, "schema %q", text)
		}
		for _, s := range statements {
			out = append(out, replayed(s, s.SQLite, nil))
		}
	}
	return out, nil
}

// Upstream describes the group as the operators' configuration does, with the addresses that members listen on.
func (g *Group) Upstream() upstream.Group {
	out := upstream.Group{ID: g.options.ID, Slots: g.options.Slots, Connections: g.options.Connections}
	for _, m := range g.order {
		out.Members = append(out.Members, upstream.Member{
			ID: m.id, Address: m.address, FailureDomain: m.options.FailureDomain, State: upstream.MemberActive,
		})
	}
	return out
}

// Address returns the host:port of a member, or an empty string for an unknown one.
func (g *Group) Address(id upstream.MemberID) string {
	if m := g.members[id]; m != nil {
		return m.address
	}
	return ""
}

// Status returns what a member would report about itself, whatever faults it has.
func (g *Group) Status(id upstream.MemberID) upstream.MemberStatus { return g.members[id].status() }

// Position returns the end of a member's log.
func (g *Group) Position(id upstream.MemberID) position.Position { return g.Status(id).LogEnd() }

// Read runs a query on a member's committed state, whatever faults it has.
func (g *Group) Read(id upstream.MemberID, sql string) ([][]any, error) {
	return g.members[id].read(sql)
}

// StatementLog returns the statements that a member started to execute, and how many more were not kept.
func (g *Group) StatementLog(id upstream.MemberID) (log []LoggedStatement, dropped uint64) {
	return g.members[id].statements.copy()
}

// Connections returns the number of open connections to all members.
func (g *Group) Connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counted
}

// Err returns the first error at which a member stopped applying its log: a fault of the stand-in.
func (g *Group) Err() error {
	for _, m := range g.order {
		m.mu.Lock()
		err := m.fault
		m.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// Captured returns the bytes that clients have sent since the start, in the order of arrival, up to 64 MB.
func (g *Group) Captured() []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]byte(nil), g.captured...)
}

// captureFrom returns a reader that keeps what it reads when the group captures.
func (g *Group) captureFrom(r io.Reader) io.Reader {
	if !g.options.Capture {
		return r
	}
	return io.TeeReader(r, captureWriter{g})
}

type captureWriter struct{ g *Group }

func (w captureWriter) Write(p []byte) (int, error) {
	w.g.mu.Lock()
	defer w.g.mu.Unlock()
	room := maxCapturedBytes - len(w.g.captured)
	w.g.captured = append(w.g.captured, p[:min(len(p), room)]...)
	return len(p), nil
}

// register gives the session its process id and returns false when the member does not accept connections.
func (g *Group) register(s *session) bool {
	g.mu.Lock()
	g.lastPID++
	s.pid = g.lastPID
	g.mu.Unlock()
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	if !s.m.alive {
		return false
	}
	s.m.sessions[s.pid] = s
	return true
}

// countConnection counts a connection against the limit of the group.
func (g *Group) countConnection(s *session) error {
	reserved := 0
	if s.status {
		reserved = reservedStatusConnections * len(g.order)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.counted >= g.options.Connections+reserved {
		return fatalf(stateTooManyConnections, "sorry, too many clients already")
	}
	g.counted++
	s.counted = true
	return nil
}

func (g *Group) unregister(s *session) {
	s.m.mu.Lock()
	delete(s.m.sessions, s.pid)
	s.m.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.counted {
		g.counted--
	}
}

// start listens on the address and runs the member's goroutines.
func (m *member) start(address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen for member %s", m.id)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.mu.Lock()
	if m.address == "" {
		m.address = l.Addr().String()
	}
	m.alive, m.listener, m.stop = true, l, cancel
	m.resetStreamLocked()
	m.mu.Unlock()
	m.notifyControl()
	m.group.wg.Go(func() { m.accept(l) })
	m.group.wg.Go(func() { m.receiveLoop(ctx) })
	m.group.wg.Go(func() { m.applyLoop(ctx) })
	return nil
}
