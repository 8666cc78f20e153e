package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/celerystep/celerystep/platform/platformtest"
)

const (
	// heartbeat is the time between two registrations of a member.
	heartbeat = 1200 * time.Millisecond
	// promoteTime is the time from an accepted order until the member leads.
	promoteTime = 600 * time.Millisecond
	// handshakeTime is how long a new connection takes a slot.
	handshakeTime = 12 * time.Millisecond
	// networkTime is the time after which a replica has received a commit.
	networkTime = 1400 * time.Microsecond
	// meanLag is the mean time after which a replica has applied a commit.
	meanLag = 60 * time.Millisecond
	slots   = 3
)

// commit is an entry of a group's log. Its number is its index plus one.
type commit struct {
	id         string
	term       int
	items      map[string]string
	at         time.Time
	rolledBack bool
	number     int
	// appliedAt holds when each member applies the commit.
	appliedAt []time.Time
}

// run is a statement of a consumer that a member ran.
type run struct {
	id, text, member string
	at               time.Time
	term, position   int
	primary          bool
}

// database is a stand-in of one service: a primary and replicas.
type database struct {
	name        string
	wire        *wireNames
	store       *platformtest.Store
	record      *record
	connections int
	work        time.Duration

	mu      sync.Mutex
	term    int
	fence   uint64
	log     []*commit
	all     []*commit
	members []*member
	runs    map[string][]run
}

// member is one server of a database.
type member struct {
	db       *database
	index    int
	id, zone string
	address  string
	listener net.Listener
	slots    chan struct{}
	born     int64

	// The fields below are guarded by the database's lock.
	primary  bool
	draining bool
	silent   bool
	sequence int
	conns    map[net.Conn]bool
}

func newDatabase(name string, wire *wireNames, store *platformtest.Store, rec *record, zones []string) (*database, error) {
	db := &database{name: name, wire: wire, store: store, record: rec, connections: 21, work: 15 * time.Millisecond, term: 1, runs: make(map[string][]run)}
	for i, zone := range zones {
		l, err := net.Listen("tcp4", platformtest.LoopbackIP()+":0")
		if err != nil {
			return nil, err
		}
		m := &member{
			db: db, index: i, id: fmt.Sprintf("i-%s-%s", name, zone), zone: zone, address: l.Addr().String(), listener: l,
			slots: make(chan struct{}, slots), born: time.Now().UnixMilli(), primary: i == 0, conns: make(map[net.Conn]bool),
		}
		db.members = append(db.members, m)
		go m.accept()
		go m.beat()
	}
	return db, nil
}

// beat registers the member at once and with each heartbeat.
func (m *member) beat() {
	time.Sleep(time.Duration(m.index) * heartbeat / 3)
	for {
		m.register()
		time.Sleep(heartbeat)
	}
}

// register writes the member's entry of the service discovery.
func (m *member) register() {
	m.db.mu.Lock()
	if m.silent {
		m.db.mu.Unlock()
		return
	}
	m.sequence++
	role, state := "replica", "ready"
	if m.primary {
		role = "primary"
	}
	if m.draining {
		state = "draining"
	}
	entry := with(m.db.wire.Member, map[string]any{
		"service": m.db.name, "address": m.address, "zone": m.zone, "state": state, "dbRole": role, "sequence": m.sequence, "born": m.born,
	})
	m.db.mu.Unlock()
	m.db.store.Put(m.db.wire.MemberKey+m.id, entry)
}

// drain reports that the member is going to leave. It goes on serving.
func (m *member) drain() {
	m.db.mu.Lock()
	m.draining = true
	m.db.mu.Unlock()
	m.register()
	m.db.record.say("%s reports draining", m.id)
}

func (m *member) accept() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			return
		}
		go m.serve(c)
	}
}

// applied returns how many commits of the log the member has applied. The caller holds the lock.
func (m *member) applied(now time.Time) int {
	if m.primary {
		return len(m.db.log)
	}
	n := 0
	for n < len(m.db.log) && !m.db.log[n].appliedAt[m.index].After(now) {
		n++
	}
	return n
}

// received returns how many commits of the log the member has received. The caller holds the lock.
func (m *member) received(now time.Time) int {
	n := len(m.db.log)
	for !m.primary && n > 0 && now.Sub(m.db.log[n-1].at) < networkTime {
		n--
	}
	return n
}

// lag draws the time after which a replica has applied a commit.
func lag() time.Duration {
	return time.Duration(float64(meanLag) * (0.4 + 1.2*rand.Float64()))
}

// append adds a commit to the log. The caller holds the lock.
func (db *database) append(id string, items map[string]string) *commit {
	now := time.Now()
	c := &commit{id: id, term: db.term, items: items, at: now, number: len(db.log) + 1, appliedAt: make([]time.Time, len(db.members))}
	for i, m := range db.members {
		if m.primary {
			continue
		}
		at := now.Add(lag())
		if n := len(db.log); n > 0 && db.log[n-1].appliedAt[i].After(at) {
			at = db.log[n-1].appliedAt[i]
		}
		c.appliedAt[i] = at
	}
	db.log = append(db.log, c)
	db.all = append(db.all, c)
	return c
}

// promote is the platform's interface for promotions.
func (db *database) promote(w http.ResponseWriter, r *http.Request, id string) {
	token, _ := strconv.ParseUint(r.Header.Get(db.wire.FenceHeader), 10, 64)
	db.mu.Lock()
	defer db.mu.Unlock()
	var target *member
	for _, m := range db.members {
		if m.id == id {
			target = m
		}
	}
	if target == nil || token < db.fence {
		db.record.add("promotion of %s under %d refused", id, token)
		w.WriteHeader(http.StatusConflict)
		return
	}
	db.fence = token
	if target.primary {
		return
	}
	db.record.say("promotion of %s ordered under %d", id, token)
	time.AfterFunc(promoteTime, func() { db.lead(target) })
}

// lead makes the member the primary of the next term, with the commits that it has received.
func (db *database) lead(target *member) {
	db.mu.Lock()
	if target.primary {
		db.mu.Unlock()
		return
	}
	n := target.received(time.Now())
	for _, c := range db.log[n:] {
		c.rolledBack = true
	}
	lost := len(db.log) - n
	db.log = db.log[:n]
	for _, m := range db.members {
		m.primary = m == target
	}
	for _, c := range db.log {
		c.appliedAt = make([]time.Time, len(db.members))
	}
	db.term++
	db.record.say("%s leads in term %d at %d, %d commits rolled back", target.id, db.term, n, lost)
	db.mu.Unlock()
	for _, m := range db.members {
		m.register()
	}
}

// orders starts the platform's interface for promotions of all databases.
func orders(list []*database) (string, error) {
	l, err := net.Listen("tcp4", platformtest.LoopbackIP()+":0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", func(w http.ResponseWriter, r *http.Request) {
		var order struct {
			Service string `json:"service"`
			ID      string `json:"id"`
		}
		if json.NewDecoder(r.Body).Decode(&order) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, db := range list {
			if db.name == order.Service {
				db.promote(w, r, order.ID)
				return
			}
		}
		w.WriteHeader(http.StatusConflict)
	})
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String(), nil
}

// session is one connection to a member.
type session struct {
	m        *member
	values   map[string]string
	prepared map[string]string
	// state is I, T or E; readOnly tells a transaction of BEGIN READ.
	state    string
	readOnly bool
	items    map[string]string
}

func (m *member) serve(c net.Conn) {
	db := m.db
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	line, err := readMessage(in)
	if err != nil {
		return
	}
	f := strings.Fields(line)
	db.mu.Lock()
	refusal := ""
	switch {
	case len(f) < 3 || f[0] != "START" || f[1] != db.name || len(f) > 3 && f[3] != m.id:
		refusal = "WRONGNODE"
	case len(m.conns) >= db.connections:
		refusal = db.wire.ConnectionLimit
	default:
		m.conns[c] = true
	}
	db.mu.Unlock()
	if refusal != "" {
		_, _ = fmt.Fprintf(c, "ERROR %s %s\r\n", refusal, m.id)
		return
	}
	defer func() {
		db.mu.Lock()
		delete(m.conns, c)
		db.mu.Unlock()
	}()
	m.occupy(handshakeTime)
	s := &session{m: m, state: "I"}
	_, _ = fmt.Fprintf(c, "READY I %s\r\n", m.position())
	for {
		line, err := readMessage(in)
		if err != nil {
			return
		}
		parts := strings.SplitN(line, " ", 3)
		if len(parts) != 3 || parts[0] != "QUERY" {
			return
		}
		if _, err := c.Write([]byte(s.answer(parts[1], parts[2]))); err != nil {
			return
		}
	}
}

// readMessage reads a message, which ends with CR LF, and returns it without these.
func readMessage(in *bufio.Reader) (string, error) {
	var message strings.Builder
	for {
		part, err := in.ReadString('\n')
		if err != nil {
			return "", err
		}
		message.WriteString(part)
		if strings.HasSuffix(part, "\r\n") {
			return strings.TrimSuffix(message.String(), "\r\n"), nil
		}
	}
}

// occupy takes a slot for a time.
func (m *member) occupy(d time.Duration) {
	m.slots <- struct{}{}
	time.Sleep(d)
	<-m.slots
}

func (m *member) position() string {
	m.db.mu.Lock()
	defer m.db.mu.Unlock()
	return fmt.Sprintf("%d.%d", m.db.term, m.applied(time.Now()))
}

// answer runs a statement and returns the answer.
func (s *session) answer(id, text string) string {
	word, _, _ := strings.Cut(text, " ")
	switch word {
	case "READ", "WRITE", "COMMIT", "EXECUTE", "AFTER":
		s.m.occupy(time.Duration(float64(s.m.db.work) * (0.3 + 1.4*rand.Float64())))
	}
	s.m.db.mu.Lock()
	defer s.m.db.mu.Unlock()
	body, code := s.run(id, text)
	ready := fmt.Sprintf("READY %s %d.%d\r\n", s.state, s.m.db.term, s.m.applied(time.Now()))
	if code != "" {
		return "ERROR " + code + " " + s.m.id + "\r\n" + ready
	}
	return body + ready
}

const done = "COMPLETE -\r\n"

// run runs a statement. The caller holds the database's lock.
func (s *session) run(id, text string) (body, code string) {
	if s.state == "E" && text != "ROLLBACK" && text != "COMMIT" {
		return "", "MALFORMED"
	}
	body, code = s.execute(id, text)
	if code != "" && s.state == "T" {
		s.state = "E"
	}
	return body, code
}

func (s *session) execute(id, text string) (body, code string) {
	db, m := s.m.db, s.m
	now := time.Now()
	n := m.applied(now)
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, rest, _ := strings.Cut(rest, " ")
		term, number, _ := strings.Cut(position, ".")
		t, _ := strconv.Atoi(term)
		k, _ := strconv.Atoi(number)
		if t > db.term || k > n {
			return "", "LAGGING"
		}
		text = rest
	}
	word, rest, _ := strings.Cut(text, " ")
	if lost := s.state == "T" && !s.readOnly && !m.primary; lost && word != "ROLLBACK" && (word != "COMMIT" || len(s.items) > 0) {
		return "", "READONLY"
	}
	switch word {
	case "STATUS":
		role := "replica"
		if m.primary {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %d.%d %d 0 0 %d\r\n", role, db.term, db.term, m.received(now), db.term, len(m.conns)) + done, ""
	case "BEGIN":
		if s.state != "I" {
			return "", "MALFORMED"
		}
		if rest != "READ" && !m.primary {
			return "", "READONLY"
		}
		s.state, s.readOnly, s.items = "T", rest == "READ", make(map[string]string)
		return done, ""
	case "ROLLBACK":
		s.state = "I"
		return done, ""
	case "COMMIT":
		return s.commit(id)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		if s.values == nil {
			s.values = make(map[string]string)
		}
		s.values[name] = value
		return done, ""
	case "RESET":
		s.values, s.prepared = nil, nil
		return done, ""
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		if s.prepared == nil {
			s.prepared = make(map[string]string)
		}
		s.prepared[name] = shape
		return done, ""
	case "EXECUTE":
		name, args, _ := strings.Cut(rest, " ")
		shape, ok := s.prepared[name]
		if !ok {
			return "", "NOSUCHSTMT"
		}
		mode, _, _ := strings.Cut(shape, " ")
		return s.access(id, mode, args, n)
	default:
		return s.access(id, word, rest, n)
	}
}

// access runs a READ or WRITE. The caller holds the database's lock.
func (s *session) access(id, word, args string, n int) (body, code string) {
	db, m := s.m.db, s.m
	item, data, _ := strings.Cut(args, " ")
	switch {
	case word == "READ":
		db.noteRun(s, id, word+" "+args, n)
		value := "-"
		for _, c := range db.log[:n] {
			if v, ok := c.items[item]; ok {
				value = v
			}
		}
		if v, ok := s.items[item]; ok && s.state == "T" {
			value = v
		}
		return fmt.Sprintf("ROW %s\r\nCOMPLETE mac.%s.%s\r\n", value, m.id, id), ""
	case word != "WRITE":
		return "", "MALFORMED"
	case !m.primary || s.state == "T" && s.readOnly:
		return "", "READONLY"
	case s.state == "T":
		db.noteRun(s, id, word+" "+args, n)
		s.items[item] = data
	default:
		db.append(id, map[string]string{item: data})
		db.noteRun(s, id, word+" "+args, n+1)
	}
	return fmt.Sprintf("COMPLETE mac.%s.%s\r\n", m.id, id), ""
}

func (s *session) commit(id string) (body, code string) {
	if s.state == "I" {
		return "", "MALFORMED"
	}
	failed := s.state == "E"
	s.state = "I"
	if failed {
		return "", "ABORTED"
	}
	if len(s.items) > 0 {
		s.m.db.append(id, s.items)
	}
	s.m.db.noteRun(s, id, "COMMIT", s.m.applied(time.Now()))
	return fmt.Sprintf("COMPLETE mac.%s.%s\r\n", s.m.id, id), ""
}

// noteRun records a statement that ran on a log of n commits. The caller holds the lock.
func (db *database) noteRun(s *session, id, text string, n int) {
	r := run{id: id, text: text, member: s.m.id, at: time.Now(), term: db.term, position: n, primary: s.m.primary}
	db.runs[id] = append(db.runs[id], r)
	db.record.add("run %s at %s (primary %t) on log %d.%d: %s", id, s.m.id, s.m.primary, db.term, n, text)
}

// runsOf returns the runs of a statement.
func (db *database) runsOf(id string) []run {
	db.mu.Lock()
	defer db.mu.Unlock()
	return append([]run(nil), db.runs[id]...)
}

// committed returns the commit that a statement made, or nil.
func (db *database) committed(id string) *commit {
	db.mu.Lock()
	defer db.mu.Unlock()
	for _, c := range db.all {
		if c.id == id {
			return c
		}
	}
	return nil
}
