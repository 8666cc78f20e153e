package simfleet

import (
	"context"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// promotionDelay is the time from the loss of a primary to the choice of the next one.
const promotionDelay = 300 * time.Millisecond

// pollInterval is the time between two looks for a primary.
const pollInterval = 2 * time.Millisecond

// forgottenRecords is the part of the log that ForgetTail drops at a change of primary.
const forgottenRecords = 50

// SQLSTATE codes of the answers.
const (
	codeNotRun      = "57P05"
	codeRate        = "53400"
	codeShutdown    = "57P01"
	codeUnavailable = "57P03"
	codeUnknown     = "08007"
	codeSyntax      = "42601"
)

// sqlError is an error answer.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string { return e.code + " " + e.message }

// member is a database server of a group.
type member struct {
	info  experiment.Member
	up    bool
	slots chan struct{}
}

// database is one group: all members share its rows, so replicas never lag.
type database struct {
	spec   *experiment.Group
	faults *Breakages
	// writes is held by the transaction that writes, moves for reading by each one that may write. A planned move of
	// the primary holds moves for writing, so that it meets no open transaction.
	writes chan struct{}
	moves  sync.RWMutex

	mu          sync.Mutex
	members     []*member
	primary     *member
	term        position.Term
	history     position.History
	lsn         position.LSN
	rows        map[check.RowKey]check.Value
	log         []*check.Statement
	connections uint64
	// open is the connection of the last transaction that is still open, 0 when there is none.
	open uint64
}

func newDatabase(spec *experiment.Group, faults *Breakages) *database {
	d := &database{
		spec: spec, faults: faults, writes: make(chan struct{}, 1), term: 1,
		history: position.History{{Term: 1}}, rows: make(map[check.RowKey]check.Value),
	}
	for _, m := range spec.Members {
		d.members = append(d.members, &member{info: m, up: true, slots: make(chan struct{}, spec.Slots)})
	}
	d.primary = d.members[0]
	return d
}

func (d *database) member(id upstream.MemberID) *member {
	i := slices.IndexFunc(d.members, func(m *member) bool { return m.info.ID == id })
	if i < 0 {
		return nil
	}
	return d.members[i]
}

// setUp changes whether the member can be reached, and promotes another one after promotionDelay.
func (d *database) setUp(m *member, up bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m.up = up
	if up || d.primary != m {
		return
	}
	d.primary = nil
	time.AfterFunc(promotionDelay, d.promote)
}

// promote makes the first reachable member primary.
func (d *database) promote() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.members {
		if m.up && d.primary == nil {
			d.switchTo(m)
		}
	}
}

// switchTo begins a new term. The caller holds mu.
func (d *database) switchTo(m *member) {
	start := d.lsn
	if d.faults.Has(ForgetTail) && start > forgottenRecords {
		start -= forgottenRecords
	}
	d.primary = m
	d.term++
	d.lsn++
	d.history = append(d.history, position.TermStart{Term: d.term, Start: start})
}

// moveAway moves the primary to a member for which ok holds, if it is not on one, between transactions.
func (d *database) moveAway(ok func(*member) bool) {
	d.moves.Lock()
	defer d.moves.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.primary != nil && ok(d.primary) {
		return
	}
	for _, m := range d.members {
		if m.up && ok(m) {
			d.switchTo(m)
			return
		}
	}
}

// waitPrimary returns the primary, waiting until ctx ends.
func (d *database) waitPrimary(ctx context.Context) *member {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		d.mu.Lock()
		m := d.primary
		d.mu.Unlock()
		if m != nil {
			return m
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// replica returns a reachable member other than the primary in a failure domain that is in, or nil.
func (d *database) replica(in func(experiment.Member) bool) *member {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.members {
		if m.up && m != d.primary && in(m.info) {
			return m
		}
	}
	return nil
}

// newConnection numbers a statement connection.
func (d *database) newConnection() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.connections++
	return d.connections
}

// begin logs the start of a statement in a slot of the member.
func (d *database) begin(m *member, s check.Statement) *check.Statement {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.Group, s.Member, s.Role = d.spec.ID, m.info.ID, upstream.RoleReplica
	if m == d.primary {
		s.Role = upstream.RolePrimary
	}
	s.Start = time.Now()
	d.log = append(d.log, &s)
	return &s
}

// statements returns a copy of the log.
func (d *database) statements() []check.Statement {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]check.Statement, len(d.log))
	for i, s := range d.log {
		list[i] = *s
	}
	return list
}

// change is a write that waits for its transaction's commit.
type change struct{ value check.Value }

// commit applies the changes and notes their position at the transaction's last statement, which is nil when there was
// none. It fails when the member is no longer primary.
func (d *database) commit(m *member, s *check.Statement, changes []change) *sqlError {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s != nil {
		s.End = time.Now()
	}
	if d.primary != m {
		return &sqlError{codeUnknown, "outcome unknown: the primary was lost"}
	}
	for _, c := range changes {
		d.lsn++
		d.rows[c.value.Row] = c.value
	}
	if len(changes) > 0 {
		s.Position = position.Position{Term: d.term, LSN: d.lsn}
	}
	return nil
}

// finish ends a statement that commits nothing.
func (d *database) finish(s *check.Statement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.End = time.Now()
}

// read returns the rows with from <= id < to, or the row with id from when to is empty. A stale read shows them as they
// were before the run.
func (d *database) read(table, from, to string, stale bool) []check.Value {
	d.mu.Lock()
	defer d.mu.Unlock()
	var values []check.Value
	for k, v := range d.rows {
		match := k.ID == from
		if to != "" {
			match = k.ID >= from && k.ID < to
		}
		if k.Table != table || !match {
			continue
		}
		if stale {
			v = check.Value{Row: k}
		}
		values = append(values, v)
	}
	slices.SortFunc(values, func(a, b check.Value) int { return strings.Compare(a.Row.ID, b.Row.ID) })
	return values
}

var (
	createPattern = regexp.MustCompile(`^CREATE TABLE`)
	valuesPattern = regexp.MustCompile(`\('([^']*)', 0, '[^']*'\)`)
	tablePattern  = regexp.MustCompile(`(?:INTO|UPDATE|FROM) ([a-z]+)`)
)

// query runs the load tool's setup statements and its reads of all rows.
func (d *database) query(sql string) ([][]string, error) {
	if createPattern.MatchString(sql) {
		return nil, nil
	}
	table := tablePattern.FindStringSubmatch(sql)
	if table == nil {
		return nil, &sqlError{codeSyntax, "cannot read the statement"}
	}
	if strings.HasPrefix(sql, "INSERT") {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, m := range valuesPattern.FindAllStringSubmatch(sql, -1) {
			k := check.RowKey{Table: table[1], ID: m[1]}
			d.rows[k] = check.Value{Row: k}
		}
		return nil, nil
	}
	var rows [][]string
	for _, v := range d.read(table[1], "", "\xff", false) {
		rows = append(rows, fields(v))
	}
	return rows, nil
}

// fields formats a row as id, version and writer.
func fields(v check.Value) []string {
	return []string{v.Row.ID, strconv.FormatInt(v.Version, 10), v.Writer.String()}
}

// end returns the end of the log.
func (d *database) end() (experiment.LogEnd, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.primary == nil {
		return experiment.LogEnd{}, &sqlError{codeUnavailable, "no primary"}
	}
	return experiment.LogEnd{Primary: d.primary.info.ID, History: slices.Clone(d.history), End: d.lsn}, nil
}
