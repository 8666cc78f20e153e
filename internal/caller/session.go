// Package caller serves callers' sessions: it keeps their session values, prepared statements and transaction state,
// answers the statements that need no member, and forwards the rest to the owner of the group. It is independent of the
// wire protocol, which a Codec implements. Package entry serves the PostgreSQL protocol instead and forwards requests
// to the homes of the groups.
package caller

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/celerystep/celerystep/internal/boottime"
	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/intake"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// maxValues and maxPrepared bound the session values and prepared statements of one session.
	maxValues   = 200
	maxPrepared = 500
	// maxStateBytes bounds the bytes of all values and prepared statements of one session. They accompany its requests.
	maxStateBytes = 1 << 20
	// freeStateBytes is the part of them that is not charged.
	freeStateBytes = 4 << 10
)

// Session is the state of one caller's session. It is used by one goroutine.
type Session struct {
	// id is replaced with each transaction, as the end of the previous one may still be under way.
	id operation.SessionID
	// newID returns an id that was not used before.
	newID    func() operation.SessionID
	database string
	key      string
	catalog  func() *catalog.Catalog
	runner   operation.Runner
	clock    boottime.Clock
	// account is charged for the values and the prepared statements; nil without limits.
	account *intake.Account

	values   map[string]string
	prepared map[string]statement.Prepared
	state    statement.TxState
	// pendingBegin is the kind of transaction to open with the next statement, while none has been sent to a member.
	pendingBegin statement.Kind
	// heldByMember is true while a member holds the session's transaction in group.
	heldByMember bool
	group        upstream.GroupID
	// stateBytes is the number of bytes of values and prepared statements that were set, and not deleted, so far.
	stateBytes int
	// charged is the largest number of them for which the account was charged.
	charged int64
	// floor is the position of the session's last commit, which its later reads must observe.
	floor position.Position
}

// State returns the transaction state.
func (s *Session) State() statement.TxState { return s.state }

// Check returns CodeOK if the session may be opened, and otherwise the reason.
func (s *Session) Check() statement.Code {
	_, code := s.route()
	return code
}

// route returns the session's route under the configuration in force.
func (s *Session) route() (*catalog.Route, statement.Code) {
	c := s.catalog()
	r := c.Routes[s.database]
	switch {
	case r == nil:
		return nil, statement.CodeUnknownDatabase
	case !r.Public && c.CustomerByKey(s.key) == nil:
		return nil, statement.CodeUnauthenticated
	default:
		return r, statement.CodeOK
	}
}

// Do runs one statement, locally or at the owner of the group.
func (s *Session) Do(ctx context.Context, st statement.Statement) operation.Response {
	arrived := s.clock()
	if s.state == statement.TxFailed {
		return s.doFailed(ctx, st)
	}
	switch st.Kind {
	case statement.KindBegin, statement.KindBeginRead:
		return s.doBegin(st)
	case statement.KindRollback:
		return s.doRollback(ctx)
	case statement.KindSet:
		return s.doSet(st)
	case statement.KindPrepare:
		return s.doPrepare(st)
	case statement.KindDeallocate:
		return s.doDeallocate(st)
	case statement.KindExecute:
		p, ok := s.prepared[st.Name]
		if !ok {
			return s.fail(statement.CodeUnknownStatement, "no statement is prepared under the name")
		}
		st.Prepared = p
		return s.forward(ctx, st, arrived)
	case statement.KindRead, statement.KindWrite:
		return s.forward(ctx, st, arrived)
	case statement.KindCommit:
		if s.state == statement.TxIdle {
			return s.fail(statement.CodeMalformed, "no transaction is open")
		}
		return s.forward(ctx, st, arrived)
	default:
		return s.fail(statement.CodeMalformed, "the statement cannot be read, nothing ran; a text must not contain line breaks")
	}
}

// doFailed handles a statement in a failed transaction, which accepts only commit and rollback.
func (s *Session) doFailed(ctx context.Context, st statement.Statement) operation.Response {
	switch st.Kind {
	case statement.KindRollback:
		return s.doRollback(ctx)
	case statement.KindCommit:
		s.endTransaction(ctx)
		return s.answer(statement.Answer{Code: statement.CodeAborted, Detail: "the transaction had failed and was rolled back"})
	default:
		return s.answer(statement.Answer{Code: statement.CodeMalformed, Detail: "the transaction has failed; only its end is accepted"})
	}
}

func (s *Session) doBegin(st statement.Statement) operation.Response {
	if s.state != statement.TxIdle {
		return s.fail(statement.CodeMalformed, "a transaction is open")
	}
	if _, code := s.route(); code != statement.CodeOK {
		return s.answer(statement.Answer{Code: code, Detail: "the route or the key is not in force any more"})
	}
	s.id = s.newID()
	s.state, s.pendingBegin = statement.TxOpen, st.Kind
	return s.answerOK()
}

func (s *Session) doRollback(ctx context.Context) operation.Response {
	s.endTransaction(ctx)
	return s.answerOK()
}

// endTransaction resets the transaction state. If a member holds the transaction, it is rolled back there in the
// background.
func (s *Session) endTransaction(ctx context.Context) {
	if s.heldByMember {
		group := s.group
		go s.runner.End(context.WithoutCancel(ctx), group, s.id)
	}
	s.state, s.pendingBegin, s.heldByMember = statement.TxIdle, statement.KindInvalid, false
}

func (s *Session) doSet(st statement.Statement) operation.Response {
	if _, known := s.values[st.Name]; !known && len(s.values) >= maxValues {
		return s.fail(statement.CodeFailed, "too many session values")
	}
	if !s.keep(len(st.Name) + len(st.Value) - len(s.values[st.Name])) {
		return s.fail(statement.CodeFailed, "the session values are too large")
	}
	// Requests in flight share the old map.
	next := maps.Clone(s.values)
	if next == nil {
		next = make(map[string]string)
	}
	// A copy, so that the value does not retain a larger message.
	next[st.Name] = strings.Clone(st.Value)
	s.values = next
	return s.answerOK()
}

// keep reserves memory for n more bytes of values and prepared statements. It returns false if the session may not hold them.
// Bytes are not returned to the budget before the session ends, as requests in flight may share them.
func (s *Session) keep(n int) bool {
	next := s.stateBytes + n
	if next > maxStateBytes {
		return false
	}
	if charge := int64(next) - max(s.charged, freeStateBytes); charge > 0 {
		if s.account.Keep(charge) != nil {
			return false
		}
		s.charged = int64(next)
	}
	s.stateBytes = next
	return true
}

func (s *Session) doPrepare(st statement.Statement) operation.Response {
	if len(s.prepared) >= maxPrepared {
		return s.fail(statement.CodeFailed, "too many prepared statements")
	}
	if !s.keep(len(st.Name) + len(st.Prepared.Definition) - len(s.prepared[st.Name].Definition)) {
		return s.fail(statement.CodeFailed, "the prepared statements are too large")
	}
	if s.prepared == nil {
		s.prepared = make(map[string]statement.Prepared)
	}
	st.Prepared.Definition = strings.Clone(st.Prepared.Definition)
	s.prepared[st.Name] = st.Prepared
	return s.answerOK()
}

func (s *Session) doDeallocate(st statement.Statement) operation.Response {
	if _, ok := s.prepared[st.Name]; !ok {
		return s.fail(statement.CodeUnknownStatement, "no statement is prepared under the name")
	}
	s.stateBytes -= len(st.Name) + len(s.prepared[st.Name].Definition)
	delete(s.prepared, st.Name)
	return s.answerOK()
}

// answerOK answers a successful statement that needed no member.
func (s *Session) answerOK() operation.Response { return s.answer(statement.Answer{}) }

func (s *Session) answer(a statement.Answer) operation.Response {
	a.State = s.state
	return operation.Response{Answer: a}
}

// fail answers a failed statement and marks an open transaction as failed.
func (s *Session) fail(code statement.Code, detail string) operation.Response {
	if s.state == statement.TxOpen {
		s.state = statement.TxFailed
	}
	return s.answer(statement.Answer{Code: code, Detail: detail})
}

// forward sends the statement to the owner of the group.
func (s *Session) forward(ctx context.Context, st statement.Statement, arrived time.Time) operation.Response {
	if !s.heldByMember {
		route, code := s.route()
		if code != statement.CodeOK {
			return s.fail(code, "the route or the key is not in force any more")
		}
		s.group = route.Group
	}
	c := s.catalog()
	r := &operation.Request{
		Session:         s.id,
		Group:           s.group,
		Database:        s.database,
		Key:             s.key,
		CatalogRevision: c.Revision,
		Customer:        c.CustomerNameByKey(s.key),
		Statement:       st,
		Begin:           s.pendingBegin,
		InTransaction:   s.heldByMember,
		Values:          s.values,
		Floor:           s.floor,
		Elapsed:         s.clock().Sub(arrived),
	}
	resp := s.runner.Run(ctx, r)
	s.applyResponse(st, &resp)
	return resp
}

// applyResponse updates the transaction state and the floor from a response.
func (s *Session) applyResponse(st statement.Statement, resp *operation.Response) {
	if resp.Code == statement.CodeOK {
		commits := st.Kind == statement.KindCommit || s.state == statement.TxIdle && st.Writes()
		if commits && !resp.Position.IsZero() {
			s.floor = position.Max(s.floor, resp.Position)
		}
		if s.state == statement.TxOpen {
			s.heldByMember = resp.State == statement.TxOpen
			s.pendingBegin = statement.KindInvalid
		}
		if st.Kind == statement.KindCommit {
			s.state, s.heldByMember = statement.TxIdle, false
		}
		resp.State = s.state
		return
	}
	s.heldByMember, s.pendingBegin = false, statement.KindInvalid
	switch {
	case st.Kind == statement.KindCommit:
		s.state = statement.TxIdle
	case s.state == statement.TxOpen:
		s.state = statement.TxFailed
	}
	resp.State = s.state
}

// Close ends the session and rolls back an open transaction.
func (s *Session) Close(ctx context.Context) { s.endTransaction(ctx) }
