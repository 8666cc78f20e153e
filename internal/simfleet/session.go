package simfleet

import (
	"context"
	"strings"
	"time"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/experiment"
	"github.com/celerystep/celerystep/internal/instance"
)

// queueDeadline is how long a statement waits for its token, a slot or a primary.
const queueDeadline = 5 * time.Second

// session is a caller's session with its open transaction.
type session struct {
	fleet    *Fleet
	database *database
	owner    instance.ID
	customer string
	key      string
	// limited is false at the groups' own listeners, which know no customers.
	limited bool

	tx *transaction
}

// transaction is an open transaction.
type transaction struct {
	member     *member
	connection uint64
	readOnly   bool
	writing    bool
	changes    []change
	// last is the log entry of the last statement, which gets the position of the commit.
	last *check.Statement
	// tokens is what is left of transactionTokens.
	tokens int
}

// statement is what the simulated database understands of an SQL text.
type statement struct {
	text   string
	params []string
	kind   check.Kind
	table  string
	ids    []string
	marker check.StatementID
}

// parse recognises the load tool's statements. In the simple protocol the values are literals in the text.
func parse(text string, params []string) statement {
	s := statement{text: text, params: params}
	word, _, _ := strings.Cut(text, " ")
	switch word {
	case "BEGIN":
		s.kind = check.KindBegin
	case "COMMIT":
		s.kind = check.KindCommit
	case "ROLLBACK":
		s.kind = check.KindRollback
	case "INSERT":
		s.kind = check.KindInsert
	case "UPDATE":
		s.kind = check.KindUpdate
	case "SELECT":
		s.kind = check.KindRead
	}
	if strings.Contains(text, "id >=") {
		s.kind = check.KindScan
	}
	if m := tablePattern.FindStringSubmatch(text); m != nil {
		s.table = m[1]
	}
	for _, v := range values(text, params) {
		if id, ok := check.ParseMarker(v); ok {
			s.marker = id
		} else if v != "" {
			s.ids = append(s.ids, v)
		}
	}
	if s.kind == check.KindInsert {
		s.ids = []string{s.marker.String()}
	}
	return s
}

// values returns the parameters, or the literals when there are none.
func values(text string, params []string) []string {
	if len(params) > 0 {
		return params
	}
	var list []string
	for i, part := range strings.Split(text, "'") {
		if i%2 == 1 {
			list = append(list, part)
		}
	}
	return list
}

// result is a successful answer.
type result struct {
	tag  string
	rows []check.Value
}

// status returns the transaction status byte.
func (s *session) status() byte {
	if s.tx != nil {
		return 'T'
	}
	return 'I'
}

// run runs one statement.
func (s *session) run(ctx context.Context, st statement) (result, *sqlError) {
	ctx, cancel := context.WithTimeout(ctx, queueDeadline)
	defer cancel()
	if err := s.fleet.admit(ctx, s, st); err != nil {
		s.abort()
		return result{}, err
	}
	switch st.kind {
	case 0:
		// Session statements such as DISCARD ALL.
		return result{tag: st.text}, nil
	case check.KindBegin:
		return s.begin(ctx, st)
	case check.KindCommit:
		return s.commit()
	case check.KindRollback:
		s.abort()
		return result{tag: "ROLLBACK"}, nil
	}
	if s.tx != nil {
		return s.inTransaction(ctx, st)
	}
	if st.kind.IsRead() {
		return s.read(ctx, st)
	}
	return s.write(ctx, st)
}

// logged is the log entry of a statement.
func (s *session) logged(st statement, connection uint64) check.Statement {
	entry := check.Statement{
		Connection: connection, Transaction: connection, Text: st.text, Params: st.params, Customer: s.customer, Owner: s.owner,
	}
	if s.fleet.faults.Hit(WrongCustomer) {
		entry.Customer = "somebody else"
	}
	return entry
}

// slot waits for a slot of the member and returns how to free it.
func slot(ctx context.Context, m *member) (func(), *sqlError) {
	if m == nil {
		return nil, &sqlError{codeNotRun, "no member can serve the statement: not run"}
	}
	select {
	case m.slots <- struct{}{}:
		return func() { <-m.slots }, nil
	case <-ctx.Done():
		return nil, &sqlError{codeNotRun, "queue deadline passed: not run"}
	}
}

// reader returns the member for a read outside a read-write transaction.
func (s *session) reader(ctx context.Context) *member {
	if s.limited {
		if m := s.database.replica(s.fleet.memberIn); m != nil {
			return m
		}
	}
	return s.database.waitPrimary(ctx)
}

func (s *session) read(ctx context.Context, st statement) (result, *sqlError) {
	m := s.reader(ctx)
	free, err := slot(ctx, m)
	if err != nil {
		return result{}, err
	}
	defer free()
	connection := s.database.newConnection()
	if open := s.openTransaction(); open != 0 && s.fleet.faults.Has(MixTransactions) {
		connection, m = open, s.database.waitPrimary(ctx)
	}
	entry := s.database.begin(m, s.logged(st, connection))
	time.Sleep(s.database.spec.ServiceTime.D())
	rows := s.database.read(st.table, first(st.ids), second(st.ids), s.fleet.faults.Hit(StaleReads))
	s.database.finish(entry)
	if s.fleet.faults.Hit(FalseNotRun) {
		return result{}, &sqlError{codeNotRun, "queue deadline passed: not run"}
	}
	return result{"SELECT", rows}, nil
}

// write runs a single write.
func (s *session) write(ctx context.Context, st statement) (result, *sqlError) {
	s.database.moves.RLock()
	defer s.database.moves.RUnlock()
	m := s.database.waitPrimary(ctx)
	if err := s.lockWrites(ctx); err != nil {
		return result{}, err
	}
	defer s.unlockWrites()
	free, err := slot(ctx, m)
	if err != nil {
		return result{}, err
	}
	defer free()
	runs := 1
	if s.fleet.faults.Hit(DoubleWrites) {
		runs = 2
	}
	var changed check.Value
	for range runs {
		entry := s.database.begin(m, s.logged(st, s.database.newConnection()))
		time.Sleep(s.database.spec.ServiceTime.D())
		changed = s.next(st)
		changes := []change{{changed}}
		if s.fleet.faults.Hit(LoseWrites) {
			changes = nil
		}
		if err := s.database.commit(m, entry, changes); err != nil {
			return result{}, err
		}
	}
	return result{"UPDATE 1", []check.Value{changed}}, nil
}

// next returns the row's state after the write, on top of the session's own uncommitted changes.
func (s *session) next(st statement) check.Value {
	k := check.RowKey{Table: st.table, ID: first(st.ids)}
	v := check.Value{Row: k, Version: 1, Writer: st.marker}
	for _, current := range s.visible(st.table, k.ID, "") {
		v.Version = current.Version + 1
	}
	return v
}

// visible returns rows with the session's own changes.
func (s *session) visible(table, from, to string) []check.Value {
	rows := s.database.read(table, from, to, false)
	if s.tx == nil {
		return rows
	}
	for i := range rows {
		for _, c := range s.tx.changes {
			if c.value.Row == rows[i].Row {
				rows[i] = c.value
			}
		}
	}
	return rows
}

func (s *session) lockWrites(ctx context.Context) *sqlError {
	select {
	case s.database.writes <- struct{}{}:
		return nil
	case <-ctx.Done():
		return &sqlError{codeNotRun, "queue deadline passed: not run"}
	}
}

func (s *session) unlockWrites() { <-s.database.writes }

// openTransaction returns the connection of a transaction that is open on the primary.
func (s *session) openTransaction() uint64 {
	s.database.mu.Lock()
	defer s.database.mu.Unlock()
	return s.database.open
}

func (s *session) setOpen(connection uint64) {
	s.database.mu.Lock()
	defer s.database.mu.Unlock()
	s.database.open = connection
}

func (s *session) begin(ctx context.Context, st statement) (result, *sqlError) {
	t := &transaction{readOnly: strings.HasSuffix(st.text, "READ ONLY"), connection: s.database.newConnection(), tokens: transactionTokens - 1}
	if t.readOnly {
		t.member = s.reader(ctx)
	} else {
		s.database.moves.RLock()
		t.member = s.database.waitPrimary(ctx)
	}
	if t.member == nil {
		if !t.readOnly {
			s.database.moves.RUnlock()
		}
		return result{}, &sqlError{codeNotRun, "no primary: not run"}
	}
	s.tx = t
	if !t.readOnly {
		s.setOpen(t.connection)
	}
	return result{tag: "BEGIN"}, nil
}

func (s *session) inTransaction(ctx context.Context, st statement) (result, *sqlError) {
	t := s.tx
	if st.kind.IsWrite() && !t.writing {
		if err := s.lockWrites(ctx); err != nil {
			s.abort()
			return result{}, err
		}
		t.writing = true
	}
	free, err := slot(ctx, t.member)
	if err != nil {
		s.abort()
		return result{}, err
	}
	defer free()
	entry := s.database.begin(t.member, s.logged(st, t.connection))
	time.Sleep(s.database.spec.ServiceTime.D())
	t.last = entry
	defer s.database.finish(entry)
	if st.kind.IsRead() {
		return result{"SELECT", s.visible(st.table, first(st.ids), second(st.ids))}, nil
	}
	v := s.next(st)
	t.changes = append(t.changes, change{v})
	return result{"UPDATE 1", []check.Value{v}}, nil
}

func (s *session) commit() (result, *sqlError) {
	if s.tx == nil {
		return result{tag: "ROLLBACK"}, nil
	}
	t := s.tx
	defer s.abort()
	if t.readOnly {
		return result{tag: "COMMIT"}, nil
	}
	if err := s.database.commit(t.member, t.last, t.changes); err != nil {
		return result{}, err
	}
	return result{tag: "COMMIT"}, nil
}

// abort ends the transaction without its changes.
func (s *session) abort() {
	if s.tx == nil {
		return
	}
	if s.tx.writing {
		s.unlockWrites()
	}
	if !s.tx.readOnly {
		s.setOpen(0)
		s.database.moves.RUnlock()
	}
	if s.limited {
		s.fleet.giveBack(s.customer, s.tx.tokens)
	}
	s.tx = nil
}

func first(ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}

func second(ids []string) string {
	if len(ids) < 2 {
		return ""
	}
	return ids[1]
}

// memberIn reports whether the member's failure domain is in.
func (f *Fleet) memberIn(m experiment.Member) bool { return !f.domainOut(m.FailureDomain) }
