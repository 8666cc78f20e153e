package matrix

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/retry"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	table = "rows"
	// requestTimeout bounds a request, so that a silent connection costs a cell little.
	requestTimeout = 400 * time.Millisecond
	// followPause is the wait before a request that found no home is sent again.
	followPause = 2 * time.Millisecond
	// statedAge is the age that some reads accept.
	statedAge = 100 * time.Millisecond
)

// client is one caller with a logical session that lives on over reconnects. It is used by one goroutine.
type client struct {
	w        *world
	number   int
	customer string
	group    upstream.GroupID
	row      string
	// connection numbers the connections; each is a session of its own for the homes.
	connection int
	floor      position.Position
	hasFloor   bool
	// transaction is the caller's open transaction, 0 outside of one.
	transaction check.TransactionID
	status      byte
	sequence    uint64
	// member served the last request.
	member upstream.MemberID
	log    []check.Operation
}

// schema creates the rows that the clients update.
func schema() []string {
	list := []string{"CREATE TABLE " + table + " (id TEXT PRIMARY KEY, version BIGINT NOT NULL, writer TEXT NOT NULL)"}
	for i := range clientCount + 1 {
		list = append(list, fmt.Sprintf("INSERT INTO %s (id, version, writer) VALUES ('%s', 0, '')", table, rowOf(i)))
	}
	return list
}

func rowOf(i int) string { return fmt.Sprintf("row-%d", i) }

// sharedRow is written by all clients.
var sharedRow = rowOf(clientCount)

func newClient(w *world, number int, customer string, group upstream.GroupID) *client {
	return &client{w: w, number: number, customer: customer, group: group, row: rowOf(number), status: 'I'}
}

// marker returns a statement id that is unique in the cell.
func (c *client) marker() check.StatementID {
	c.sequence++
	return check.StatementID(uint64(c.number+1)<<32 | c.sequence)
}

func (c *client) session() request.SessionID {
	return request.SessionID(fmt.Sprintf("client-%d-%d", c.number, c.connection))
}

// reconnect ends the session as the end of its connection does, and forgets the floor as a plain client does.
func (c *client) reconnect() {
	if h := c.w.homeOf(c.group); h != nil {
		h.manager.End(context.Background(), c.group, c.session())
	}
	c.connection++
	c.hasFloor = false
	c.floor = position.Position{}
	c.status = 'I'
	c.transaction = 0
}

// statement is what a client sends.
type statement struct {
	kind   check.Kind
	row    string
	sql    string
	params []string
	maxAge time.Duration
	// prepared sends it by the extended protocol under this name.
	prepared string
	marker   check.StatementID
}

func (c *client) update(row string) statement {
	m := c.marker()
	return statement{kind: check.KindUpdate, row: row, marker: m, params: []string{row, m.String()},
		sql: "UPDATE " + table + " SET version = version + 1, writer = $2 WHERE id = $1 RETURNING id, version, writer"}
}

func (c *client) insert() statement {
	m := c.marker()
	return statement{kind: check.KindInsert, row: m.String(), marker: m, params: []string{m.String()},
		sql: "INSERT INTO " + table + " (id, version, writer) VALUES ($1, 1, $1) RETURNING id, version, writer"}
}

func (c *client) read(row string) statement {
	m := c.marker()
	return statement{kind: check.KindRead, row: row, marker: m, params: []string{row, m.String()},
		sql: "SELECT id, version, writer FROM " + table + " WHERE id = $1 AND $2 <> ''"}
}

func control(kind check.Kind, sql string) statement { return statement{kind: kind, sql: sql} }

// text returns the statement with its values in place.
func (s statement) text() string {
	out := s.sql
	for i := len(s.params); i > 0; i-- {
		out = strings.ReplaceAll(out, "$"+strconv.Itoa(i), "'"+s.params[i-1]+"'")
	}
	return out
}

// encode returns the messages of the statement and the prepared statements that they refer to.
func (s statement) encode() ([]byte, []request.Prepared) {
	if s.prepared == "" {
		p, _ := (&pgproto3.Query{String: s.text()}).Encode(nil)
		return p, nil
	}
	var values [][]byte
	for _, v := range s.params {
		values = append(values, []byte(v))
	}
	var out []byte
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Bind{PreparedStatement: s.prepared, Parameters: values}, &pgproto3.Execute{}, &pgproto3.Sync{},
	} {
		out, _ = m.Encode(out)
	}
	return out, []request.Prepared{{Name: s.prepared, Query: s.sql}}
}

// run sends the statement to the group's home, notes the operation and returns its outcome.
func (c *client) run(s statement) check.Outcome {
	op, res := c.send(s)
	c.log = append(c.log, op)
	c.status = res.TxStatus
	if res.HasFloor && (!c.hasFloor || c.floor.Less(res.Floor)) {
		c.floor, c.hasFloor = res.Floor, true
	}
	return op.Outcome
}

func (c *client) send(s statement) (check.Operation, request.Result) {
	messages, prepared := s.encode()
	r := &request.Request{
		Session: c.session(), Trace: request.TraceID(s.marker.String()), Customer: c.customer, Key: keyOf(c.customer),
		Route: routeOf(c.group), Group: c.group, ConfigVersion: c.w.snapshot.Load().Version(),
		Begins: s.kind == check.KindBegin, InTransaction: c.status != 'I', Floor: c.floor, HasFloor: c.hasFloor,
		MaxAge: s.maxAge, Timeout: requestTimeout, Messages: messages, Prepared: prepared,
	}
	if s.kind == check.KindRead {
		r.Kind = request.KindRead
	}
	op := check.Operation{
		Statement: s.marker, Session: check.SessionID(c.number + 1), Transaction: c.transaction,
		Connection: uint64(c.number)<<32 | uint64(c.connection), Customer: c.customer, Key: r.Key, Group: c.group,
		Kind: s.kind, Row: check.RowKey{Table: table, ID: s.row}, MaxAge: s.maxAge, Invoke: time.Now(),
	}
	res, answer := c.runAtHome(r, &op)
	op.Return = time.Now()
	readAnswer(&op, s, res, answer)
	c.member = res.Member
	return op, res
}

// runAtHome sends the request to the group's home as an entry instance does: a request that was not run because the home
// is elsewhere follows it until its time is over.
func (c *client) runAtHome(r *request.Request, op *check.Operation) (request.Result, []byte) {
	for {
		h := c.w.homeOf(c.group)
		op.Instance = h.id
		var answer bytes.Buffer
		res := h.manager.Run(context.Background(), r, &answer)
		elsewhere := res.Outcome == request.OutcomeNotRun && res.Code == retry.CodeUnavailable && res.Step == "home"
		r.Timeout = requestTimeout - time.Since(op.Invoke)
		if !elsewhere || r.InTransaction || r.Timeout <= 0 {
			return res, answer.Bytes()
		}
		ctxtime.Sleep(c.w.ctx, followPause)
	}
}

// readAnswer concludes the outcome from the result and, when it is done, from the answer.
func readAnswer(op *check.Operation, s statement, res request.Result, answer []byte) {
	op.Code = res.Code
	switch res.Outcome {
	case request.OutcomeNotRun:
		op.Outcome = check.OutcomeNotRun
		return
	case request.OutcomeUnknown:
		op.Outcome = check.OutcomeUnknown
		return
	}
	op.Outcome = check.OutcomeOK
	messages(answer, func(typ byte, body []byte) {
		switch typ {
		case 'D':
			op.Values = append(op.Values, readRow(body))
		case 'E':
			var e pgproto3.ErrorResponse
			if err := e.Decode(body); err == nil {
				op.Code = e.Code
				op.Outcome = check.OutcomeFailed
				if e.Severity == "FATAL" {
					op.Outcome = check.OutcomeUnknown
				}
			}
		case 'C':
			// A COMMIT of a transaction that failed or was lost is answered as a rollback.
			if s.kind == check.KindCommit && strings.HasPrefix(string(body), "ROLLBACK") {
				op.Outcome = check.OutcomeFailed
			}
		}
	})
}

func readRow(body []byte) check.Value {
	var m pgproto3.DataRow
	if err := m.Decode(body); err != nil || len(m.Values) != 3 {
		return check.Value{}
	}
	return rowValue(string(m.Values[0]), string(m.Values[1]), string(m.Values[2]))
}

func rowValue(id, version, writer string) check.Value {
	v := check.Value{Row: check.RowKey{Table: table, ID: id}}
	v.Version, _ = strconv.ParseInt(version, 10, 64)
	v.Writer, _ = check.ParseMarker(writer)
	return v
}
