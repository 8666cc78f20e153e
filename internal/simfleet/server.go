package simfleet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/pgauth"
)

// textOID is the type of all columns.
const textOID = 25

// shutdownText follows a request that crossed the end of its session.
const shutdownText = "the session has ended; a statement sent after its last answer was not run"

// server is a listener for callers: an instance, or a member of a group.
type server struct {
	fleet    *Fleet
	endpoint load.Endpoint
	listener net.Listener
	// database is set at a member's own listener, which serves only its group and knows no customers.
	database *database
	wg       sync.WaitGroup

	mu      sync.Mutex
	callers map[*caller]bool
	closed  bool
	// cut makes CutOnReplace drop the next answer; it is reset by that.
	cut atomic.Bool
	// gate is held for writing while the instance is paused.
	gate sync.RWMutex
}

// caller is one connection.
type caller struct {
	server  *server
	net     net.Conn
	back    *pgproto3.Backend
	session *session

	mu sync.Mutex
	// ending asks the connection to end at the next transaction boundary.
	ending bool
	// busy is true while a request runs or a transaction is open.
	busy bool

	prepared map[string]string
	// failed skips extended messages until Sync after an error; open is true between such messages and their Sync.
	failed  bool
	open    bool
	pending statement
}

func (f *Fleet) listen(e load.Endpoint, d *database) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.Address = l.Addr().String()
	s := &server{fleet: f, endpoint: e, listener: l, database: d, callers: make(map[*caller]bool)}
	s.wg.Go(s.accept)
	return s, nil
}

func (s *server) accept() {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.wg.Go(func() { s.serve(nc) })
	}
}

// serve runs one connection to its end.
func (s *server) serve(nc net.Conn) {
	c := &caller{server: s, net: nc, prepared: make(map[string]string)}
	if !s.add(c) {
		_ = nc.Close()
		return
	}
	defer s.remove(c)
	login, err := pgauth.Accept(nc, s.fleet.lookup)
	if err != nil {
		return
	}
	c.back = login.Backend
	d := s.database
	if d == nil {
		d = s.fleet.byDatabase(login.Parameters["database"])
	}
	if d == nil {
		pgauth.Refuse(c.back, "3D000", "no such database")
		return
	}
	cred := load.Credential{User: login.User}
	session := &session{fleet: s.fleet, database: d, key: cred.KeyName()}
	if s.database == nil {
		session.owner, session.customer, session.limited = s.endpoint.Instance, customerOf(login.User), true
	}
	c.setSession(session)
	c.ready()
	c.loop()
	c.session.abort()
}

func (c *caller) setSession(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = s
}

func (s *server) add(c *caller) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.callers[c] = true
	return true
}

func (s *server) remove(c *caller) {
	_ = c.net.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.callers, c)
}

// kill ends the listener and all connections at once.
func (s *server) kill() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.callers {
		_ = c.net.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// drain ends the connections for which match holds at their next transaction boundary.
func (s *server) drain(match func(*session) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.callers {
		c.end(match)
	}
}

// end asks the connection to end, at once when it is idle.
func (c *caller) end(match func(*session) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == nil || !match(c.session) {
		return
	}
	c.ending = true
	if !c.busy {
		// Wakes the connection up from its read.
		_ = c.net.SetReadDeadline(time.Now())
	}
}

// setBusy notes whether the connection is between requests and reports whether it is to end there.
func (c *caller) setBusy(busy bool) (ending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy
	return c.ending && !busy
}

func (c *caller) ready() {
	c.back.Send(&pgproto3.ReadyForQuery{TxStatus: c.session.status()})
	_ = c.back.Flush()
}

// answer ends the answer to a request, or drops it when the instance is to cut one.
func (c *caller) answer() {
	if c.server.cut.CompareAndSwap(true, false) {
		_ = c.net.Close()
		return
	}
	c.ready()
}

// loop serves requests until the connection ends.
func (c *caller) loop() {
	for {
		if c.setBusy(c.open || c.session.tx != nil) {
			pgauth.Refuse(c.back, codeShutdown, shutdownText)
			return
		}
		m, err := c.back.Receive()
		c.server.waitUnpaused()
		if err != nil {
			c.mu.Lock()
			ending := c.ending
			c.mu.Unlock()
			if ending {
				pgauth.Refuse(c.back, codeShutdown, shutdownText)
			}
			return
		}
		c.setBusy(true)
		if !c.handle(m) {
			return
		}
	}
}

// waitUnpaused returns when the instance is not paused.
func (s *server) waitUnpaused() {
	s.gate.RLock()
	defer s.gate.RUnlock()
}

// handle serves one message and reports whether the connection goes on.
func (c *caller) handle(m pgproto3.FrontendMessage) bool {
	c.open = true
	switch m := m.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		c.open = false
		c.execute(parse(m.String, nil), true)
		c.answer()
	case *pgproto3.Sync:
		c.failed = false
		c.open = false
		c.answer()
	case *pgproto3.Parse:
		c.prepared[m.Name] = m.Query
		c.reply(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		c.pending = parse(c.prepared[m.PreparedStatement], texts(m.Parameters))
		c.reply(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		c.reply(description())
	case *pgproto3.Execute:
		if !c.failed {
			c.execute(c.pending, false)
		}
	}
	return true
}

func (c *caller) reply(m pgproto3.BackendMessage) {
	if !c.failed {
		c.back.Send(m)
	}
}

func texts(values [][]byte) []string {
	list := make([]string, len(values))
	for i, v := range values {
		list[i] = string(v)
	}
	return list
}

func description() *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for _, name := range []string{"id", "version", "writer"} {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1})
	}
	return d
}

// execute runs a statement and sends its answer without ReadyForQuery.
func (c *caller) execute(st statement, describe bool) {
	if c.server.database != nil && st.text == statusQuery {
		c.sendStatus()
		return
	}
	r, err := c.session.run(context.Background(), st)
	if err != nil {
		c.failed = c.open
		c.back.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: err.code, Message: err.message})
		return
	}
	if describe && st.kind != check.KindBegin && st.kind != check.KindCommit && st.kind != check.KindRollback {
		c.back.Send(description())
	}
	for _, v := range r.rows {
		row := &pgproto3.DataRow{}
		for _, field := range fields(v) {
			row.Values = append(row.Values, []byte(field))
		}
		c.back.Send(row)
	}
	c.back.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
}

// instanceID names the instance in a place; each replacement gets a new generation.
func instanceID(place, generation int) instance.ID {
	return instance.ID("sim-" + string(rune('a'+place)) + "-" + string(rune('0'+generation%10)))
}
