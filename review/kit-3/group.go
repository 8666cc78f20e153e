package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/celerystep/celerystep/platform/platformtest"
)

const (

	// receiveDelay is the time after which a replica has received a commit, applyDelay the time after which it has applied it.
	receiveDelay = 3 * time.Millisecond
	applyDelay   = 60 * time.Millisecond
	// promoteDelay is the time from an accepted order until the member leads.
	promoteDelay = 600 * time.Millisecond
)

// work is how long a read, a write or a commit takes a member.
var work = 4 * time.Millisecond

// commit is a transaction in the log.
type commit struct {
	id    string
	at    time.Time
	items map[string]string
}

// group is a stand-in of a database group: a primary and two replicas with one log.
type group struct {
	b       *bed
	mu      sync.Mutex
	term    int
	log     []commit
	members []*member
	token   uint64
	cloud   *httptest.Server
	// sync is the number of replicas that must have received a commit before it is acknowledged.
	sync int
	// findings are the rules that the members saw broken.
	findings []string
	// lost holds the ids of the commits that a promotion has rolled back.
	lost map[string]bool
	// sequence counts the entries that were written.
	sequence int
}

// member is one database server.
type member struct {
	id, zone, address, state string
	g                        *group
	primary                  bool
	// deafSince is when the member stopped to receive; zero while it receives.
	deafSince time.Time
	// refuse decides before a statement runs whether the member refuses it with a code; nil for never.
	refuse func(word string) string
	conns  int
}

func newGroup(b *bed, sync int) *group {
	g := &group{b: b, term: 1, sync: sync, lost: make(map[string]bool)}
	for i, zone := range zones {
		l, err := net.Listen("tcp4", platformtest.LoopbackIP()+":0")
		b.must(err)
		m := &member{id: fmt.Sprintf("i-%d", i), zone: zone, address: l.Addr().String(), state: "ready", g: g, primary: i == 0}
		g.members = append(g.members, m)
		go m.accept(l)
	}
	g.cloud = httptest.NewServer(http.HandlerFunc(g.promote))
	for _, m := range g.members {
		g.register(m)
	}
	return g
}

// misbehave makes the member refuse statements, or with nil stop to.
func (g *group) misbehave(i int, refuse func(word string) string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[i].refuse = refuse
	g.b.record("%s refuses a part of the statements: %t", g.members[i].id, refuse != nil)
}

// replicaNear returns the replica in the zone of the instance, or the first one.
func (g *group) replicaNear(n *node) *member {
	for i, m := range g.members {
		if i > 0 && g.b.nodes[i] == n {
			return m
		}
	}
	return g.members[1]
}

// deafen stops the member from receiving.
func (g *group) deafen(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.deafSince = time.Now()
	g.b.record("%s receives nothing any more", m.id)
}

// leave makes the member announce that it is shutting down.
func (g *group) leave(i int) {
	g.mu.Lock()
	g.members[i].state = "draining"
	g.b.record("%s is draining", g.members[i].id)
	g.mu.Unlock()
	g.register(g.members[i])
}

// register writes the member's entry.
func (g *group) register(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	role := "replica"
	if m.primary {
		role = "primary"
	}
	g.sequence++
	g.b.store.Put(g.b.words.ServerPrefix+m.id, fill(g.b.words.Entry, map[string]any{
		"$ADDRESS": m.address, "$ZONE": m.zone, "$STATE": m.state, "$ROLE": role, "$SEQUENCE": g.sequence,
	}))
}

func (g *group) find(text string) {
	g.findings = append(g.findings, text)
	g.b.record("FINDING %s", text)
}

// promote is the platform's call.
func (g *group) promote(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID string `json:"id"`
	}
	_ = json.NewDecoder(r.Body).Decode(&order)
	token, _ := strconv.ParseUint(r.Header.Get(g.b.words.Token), 10, 64)
	g.mu.Lock()
	defer g.mu.Unlock()
	var target *member
	for _, m := range g.members {
		if m.id == order.ID {
			target = m
		}
	}
	if target == nil || token < g.token {
		g.b.record("platform: order for %s under %d refused", order.ID, token)
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.token = token
	g.b.record("platform: order for %s under %d accepted; it leads: %t", order.ID, token, target.primary)
	if !target.primary {
		time.AfterFunc(promoteDelay, func() { g.lead(target) })
	}
}

// lead makes the member the primary of the next term, with what it has received.
func (g *group) lead(target *member) {
	g.mu.Lock()
	if target.primary {
		g.mu.Unlock()
		return
	}
	received := g.received(target, time.Now())
	for _, c := range g.log[received:] {
		g.lost[c.id] = true
		g.b.record("promotion of %s rolls back the commit %s", target.id, c.id)
	}
	g.log = g.log[:received]
	g.term++
	for _, m := range g.members {
		m.primary = m == target
	}
	g.b.record("%s leads in term %d at %d", target.id, g.term, received)
	g.mu.Unlock()
	for _, m := range g.members {
		g.register(m)
	}
}

// received returns how many commits the member has received, applied how many it has applied.
func (g *group) received(m *member, now time.Time) int { return g.reached(m, now, receiveDelay) }
func (g *group) applied(m *member, now time.Time) int  { return g.reached(m, now, applyDelay) }

func (g *group) reached(m *member, now time.Time, delay time.Duration) int {
	if m.primary {
		return len(g.log)
	}
	n := 0
	for n < len(g.log) && now.Sub(g.log[n].at) >= delay && (m.deafSince.IsZero() || g.log[n].at.Add(receiveDelay).Before(m.deafSince)) {
		n++
	}
	return n
}

// append adds a commit to the log and waits until it may be acknowledged.
func (g *group) append(id string, items map[string]string) {
	g.log = append(g.log, commit{id: id, at: time.Now(), items: items})
	number, term := len(g.log), g.term
	for g.sync > 0 && g.term == term {
		holders := 0
		for _, m := range g.members {
			if !m.primary && g.received(m, time.Now()) >= number {
				holders++
			}
		}
		if holders >= g.sync {
			return
		}
		g.mu.Unlock()
		time.Sleep(500 * time.Microsecond)
		g.mu.Lock()
	}
}

// holds reports whether the log holds the commit.
func (g *group) holds(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.log {
		if c.id == id {
			return true
		}
	}
	return false
}

func (m *member) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go m.serve(c)
	}
}

// session is the state of one connection to a member.
type session struct {
	m        *member
	values   map[string]string
	prepared map[string]string
	// state is I, T or E.
	state    string
	readOnly bool
	items    map[string]string
	// ids are the callers' statements that ran in the open transaction.
	ids []string
}

func (m *member) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	g := m.g
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(line)
	if len(f) < 3 || f[0] != "START" || f[1] != "ledger" || len(f) > 3 && f[3] != m.id {
		_, _ = fmt.Fprintf(c, "ERROR WRONGNODE %s\r\n", m.id)
		return
	}
	g.mu.Lock()
	m.conns++
	full := m.conns > 21
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		m.conns--
		g.mu.Unlock()
	}()
	if full {
		_, _ = fmt.Fprintf(c, "ERROR %s %s\r\n", g.b.words.Limit, m.id)
		return
	}
	_, _ = fmt.Fprintf(c, "READY I -\r\n")
	s := &session{m: m, state: "I"}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		parts := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if len(parts) != 3 || parts[0] != "QUERY" {
			return
		}
		if _, err := io.WriteString(c, s.answer(parts[1], parts[2])); err != nil {
			return
		}
	}
}

// answer runs a statement and returns the messages of its answer.
func (s *session) answer(id, text string) string {
	g := s.m.g
	word, _, _ := strings.Cut(text, " ")
	if word == "READ" || word == "WRITE" || word == "EXECUTE" || word == "COMMIT" || word == "AFTER" {
		time.Sleep(work)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	before := s.state
	body, code := s.run(id, text)
	position := fmt.Sprintf("%d.%d", g.term, g.applied(s.m, time.Now()))
	if code != "" {
		body = "ERROR " + code + " " + s.m.id + "\r\n"
	}
	if s.m.refuse != nil || code != "" || id != "-" || before != s.state {
		g.b.record("%s %p %s %q -> %s state %s at %s", s.m.id, s, id, shorten(text), strings.TrimSpace(strings.ReplaceAll(shorten(body), "\r\n", "; ")), s.state, position)
	}
	return body + "READY " + s.state + " " + position + "\r\n"
}

// shorten cuts a long text for the record.
func shorten(text string) string { return text[:min(len(text), 100)] }

// fail ends a statement that failed: a transaction is in the state E afterwards.
func (s *session) fail(code string) (string, string) {
	if s.state == "T" {
		s.state = "E"
	}
	return "", code
}

func (s *session) run(id, text string) (body, code string) {
	g, now := s.m.g, time.Now()
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		p, rest, _ := strings.Cut(rest, " ")
		term, number, _ := strings.Cut(p, ".")
		t, _ := strconv.Atoi(term)
		n, _ := strconv.Atoi(number)
		if t > g.term || n > g.applied(s.m, now) {
			return s.fail("LAGGING")
		}
		text = rest
	}
	word, rest, _ := strings.Cut(text, " ")
	if s.m.refuse != nil && word != "STATUS" {
		switch c := s.m.refuse(word); c {
		case "":
		case "BUSY":
			// The statement did not run, so the state is as before.
			return "", c
		default:
			if word == "ROLLBACK" || word == "COMMIT" {
				s.end()
				return "", c
			}
			return s.fail(c)
		}
	}
	if s.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return "", "MALFORMED"
	}
	if s.state == "T" && !s.readOnly && !s.m.primary && word != "ROLLBACK" && (word != "COMMIT" || len(s.items) > 0) {
		return s.fail("READONLY")
	}
	switch word {
	case "STATUS":
		role := "replica"
		if s.m.primary {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %d.%d %d %d 0 %d\r\nCOMPLETE -\r\n", role, g.term, g.term, g.received(s.m, now), g.term, applyDelay.Milliseconds(), s.m.conns), ""
	case "BEGIN":
		if s.state != "I" {
			return "", "MALFORMED"
		}
		s.readOnly = rest == "READ"
		if !s.readOnly && !s.m.primary {
			return "", "READONLY"
		}
		s.state, s.items, s.ids = "T", make(map[string]string), nil
		return "COMPLETE -\r\n", ""
	case "ROLLBACK":
		s.end()
		return "COMPLETE -\r\n", ""
	case "COMMIT":
		return s.commit(id)
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		if s.values == nil {
			s.values = make(map[string]string)
		}
		s.values[name] = value
		return "COMPLETE -\r\n", ""
	case "RESET":
		s.values, s.prepared = nil, nil
		return "COMPLETE -\r\n", ""
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		if s.prepared == nil {
			s.prepared = make(map[string]string)
		}
		mode, _, _ := strings.Cut(shape, " ")
		s.prepared[name] = mode
		return "COMPLETE -\r\n", ""
	case "EXECUTE":
		name, args, _ := strings.Cut(rest, " ")
		mode, ok := s.prepared[name]
		if !ok {
			return s.fail("NOSUCHSTMT")
		}
		return s.access(id, mode, args, now)
	default:
		return s.access(id, word, rest, now)
	}
}

func (s *session) end() { s.state, s.items, s.ids = "I", nil, nil }

// access runs a read or a write.
func (s *session) access(id, word, args string, now time.Time) (body, code string) {
	g := s.m.g
	if word != "READ" && word != "WRITE" {
		return s.fail("MALFORMED")
	}
	s.checkTransaction(id)
	g.b.checkValues(g, id, s.values)
	item, data, _ := strings.Cut(args, " ")
	if word == "READ" {
		value := "none"
		for _, c := range g.log[:g.applied(s.m, now)] {
			if v, ok := c.items[item]; ok {
				value = v
			}
		}
		if v, ok := s.items[item]; ok {
			value = v
		}
		return "ROW " + value + "\r\nCOMPLETE mac." + id + "\r\n", ""
	}
	if !s.m.primary || s.state == "T" && s.readOnly {
		return s.fail("READONLY")
	}
	if s.state == "T" {
		s.items[item] = data
	} else {
		g.append(id, map[string]string{item: data})
	}
	return "COMPLETE mac." + id + "\r\n", ""
}

func (s *session) commit(id string) (body, code string) {
	failed := s.state != "T"
	items := s.items
	if s.state == "I" {
		return "", "MALFORMED"
	}
	s.checkTransaction(id)
	s.end()
	if failed {
		return "", "ABORTED"
	}
	if len(items) > 0 {
		s.m.g.append(id, items)
	}
	return "COMPLETE mac." + id + "\r\n", ""
}

// checkTransaction finds a statement that runs in the transaction of another consumer. Ids begin with the consumer and its attempt.
func (s *session) checkTransaction(id string) {
	if s.state != "T" {
		return
	}
	for _, other := range s.ids {
		if attempt(other) != attempt(id) {
			s.m.g.find(fmt.Sprintf("%s runs in the transaction of %s on a connection to %s", id, other, s.m.id))
		}
	}
	s.ids = append(s.ids, id)
}

// attempt returns the part of an id that names the consumer and its attempt.
func attempt(id string) string {
	a, _, _ := strings.Cut(id, ".")
	return a
}

// share returns a function that refuses a share of the statements with the words, or of all without words, with the code.
func share(x float64, code string, words ...string) func(string) string {
	r := rand.New(rand.NewPCG(1, 1))
	return func(word string) string {
		if r.Float64() >= x {
			return ""
		}
		for _, w := range words {
			if w == word {
				return code
			}
		}
		if len(words) == 0 {
			return code
		}
		return ""
	}
}
