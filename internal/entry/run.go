package entry

import (
	"strings"

	"github.com/celerystep/celerystep/internal/classify"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/exchange"
	"github.com/celerystep/celerystep/internal/pgwire"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

// effect combines the properties of the statements of a request.
type effect struct {
	kind       request.Kind
	statements int
	begins     bool
	ends       bool
	rollback   bool
	savepoint  bool
}

// add adds one statement. The kind is that of the first statement, unless any statement is a write.
func (e *effect) add(s *classify.Statement) {
	if s.Kind == request.KindWrite || e.statements == 0 {
		e.kind = s.Kind
	}
	e.statements += s.Count
	e.begins = e.begins || s.Begins
	e.savepoint = e.savepoint || s.Savepoint
	if s.Ends {
		e.ends = true
		e.rollback = s.Rollback
	}
}

// runRequest runs messages at the home of the session's group and relays the answer. It returns false when the answer
// contains an error message. A returned error ends the session.
func (s *session) runRequest(messages []byte, e effect, prepared []request.Prepared) (bool, error) {
	snapshot := s.server.snapshot.Load()
	if err := s.selectGroup(snapshot); err != nil {
		return false, err
	}
	r := s.newRequest(snapshot, e)
	r.Messages = messages
	r.Prepared = prepared
	s.scanner.Reset()
	result := s.server.deps.Runner.Run(s.ctx, r, s)
	s.recordMetrics(e, len(messages), result.Outcome)
	s.dropPartial()
	if s.writeErr != nil || !s.scanner.Whole() {
		s.applyResult(e, &result, r)
		return false, errTruncatedAnswer
	}
	if result.Outcome != request.OutcomeDone && s.scanner.Errors == 0 && !s.answerLostRollback(e, &result, r) {
		s.reportFailure(e, &result, r.Trace)
	}
	s.applyResult(e, &result, r)
	if err := s.endReason(); err != nil {
		return false, err
	}
	return result.Outcome == request.OutcomeDone && s.scanner.Errors == 0, nil
}

// selectGroup selects the group of the next request: that of the open transaction, or else that of the route.
func (s *session) selectGroup(snapshot *config.Snapshot) error {
	if s.tx != txIdle {
		return nil
	}
	route, ok := snapshot.Route(s.identity.database)
	if !ok {
		return s.identity.rejection(snapshot)
	}
	s.group = route.Group
	return nil
}

func (s *session) newRequest(snapshot *config.Snapshot, e effect) *request.Request {
	r := &request.Request{
		Session:       s.id,
		Trace:         newTrace(),
		Customer:      s.identity.customer,
		Key:           s.identity.key,
		Route:         s.identity.database,
		Group:         s.group,
		ConfigVersion: snapshot.Version(),
		Kind:          e.kind,
		Idempotent:    s.variables.idempotent,
		Begins:        e.begins,
		InTransaction: s.tx != txIdle,
		MaxAge:        s.variables.maxAge,
		Timeout:       s.server.settings.RequestTimeout,
		Parameters:    s.variables.replayed,
	}
	if s.variables.timeout > 0 {
		r.Timeout = s.variables.timeout
	}
	if f := s.floors.find(s.group); f != nil {
		r.Floor = f.position
		r.HasFloor = true
		r.FloorFromToken = f.fromToken
	}
	return r
}

func (s *session) recordMetrics(e effect, received int, o request.Outcome) {
	m := s.server.metrics
	m.requests[e.kind][o].Inc()
	m.statements[e.kind].Add(float64(e.statements))
	m.received.Add(float64(received))
}

// applyResult updates the session's transaction status, parameters and floor from the result of a request.
func (s *session) applyResult(e effect, result *request.Result, r *request.Request) {
	before := s.tx
	s.updateTransactionStatus(e, result)
	s.savepoint = s.tx != txIdle && (s.savepoint || e.savepoint)
	if s.tx == txIdle {
		failed := before == txFailed || e.rollback || s.scanner.Errors > 0 || result.Outcome != request.OutcomeDone
		s.finishVariables(failed)
		s.portals = nil
	}
	s.updateFloor(e, result, r)
}

// updateTransactionStatus derives the transaction status from the result. If the home no longer holds the caller's
// transaction, the status becomes failed, which keeps the remaining statements of the transaction from running outside
// it.
func (s *session) updateTransactionStatus(e effect, result *request.Result) {
	inside := s.tx != txIdle
	switch {
	case s.homeLostTransaction(result):
		s.rollBackAtHome()
		s.transactionLost = !e.ends
		s.tx = txFailed
		if e.ends {
			s.tx = txIdle
		}
	case result.TxStatus != 0:
		s.tx = result.TxStatus
	default:
		if result.HoldsTransaction(inside, e.begins) {
			s.rollBackAtHome()
		}
		s.tx = txIdle
	}
}

// homeLostTransaction reports whether the home may no longer hold the caller's transaction. A home that still holds it,
// or that has reported its loss to the caller, sets the transaction status in the result.
func (s *session) homeLostTransaction(result *request.Result) bool {
	if s.tx == txIdle || result.Outcome == request.OutcomeDone && result.TxStatus != 0 {
		return false
	}
	held := result.TxStatus == txOpen || result.TxStatus == txFailed
	notHome := result.Outcome == request.OutcomeNotRun && result.Code == pgwire.CodeUnavailable
	return !held || notHome
}

// answerLostRollback answers a ROLLBACK of a lost transaction as successful, because the transaction has been rolled
// back.
func (s *session) answerLostRollback(e effect, result *request.Result, r *request.Request) bool {
	if !e.rollback || s.scanner.Bytes > 0 || !s.homeLostTransaction(result) {
		return false
	}
	answer, ended := exchange.EndLostTransaction(r)
	if ended {
		_, _ = s.Write(answer)
	}
	return ended
}

// finishVariables commits the parameter changes of a transaction, or restores the former values after a failure.
func (s *session) finishVariables(failed bool) {
	if failed && s.savedVariables != nil {
		s.variables = s.savedVariables
	}
	s.savedVariables = nil
}

// updateFloor raises the session's floor and reports a new token after an acknowledged write.
func (s *session) updateFloor(e effect, result *request.Result, r *request.Request) {
	if !result.HasFloor {
		return
	}
	wrote := e.kind == request.KindWrite && result.Outcome == request.OutcomeDone && s.tx == txIdle
	rose := s.floors.raise(floor{group: r.Group, position: result.Floor, acknowledged: wrote})
	if rose && wrote {
		s.reportToken(r, result.Floor)
	}
}

func (s *session) reportToken(r *request.Request, p position.Position) {
	if s.server.deps.Tokens == nil || s.writeErr != nil {
		return
	}
	b := s.buffer()
	*b = pgwire.AppendParameter(*b, parameterToken, s.server.deps.Tokens.Encode(r.Customer, r.Group, p))
}

// acceptToken raises the floor to that of a token from the caller. It reports whether the token is valid for the
// session.
func (s *session) acceptToken(token string) bool {
	tokens := s.server.deps.Tokens
	if token == "" {
		return true
	}
	route, ok := s.server.snapshot.Load().Route(s.identity.database)
	if tokens == nil || !ok {
		return false
	}
	p, err := tokens.Decode(s.identity.customer, route.Group, token)
	if err != nil {
		return false
	}
	s.floors.raise(floor{group: route.Group, position: p, fromToken: true, acknowledged: true})
	return true
}

// reportFailure sends the error for a result that is not OutcomeDone. A statement that was lost with its link inside a
// transaction block has a known outcome unless it ends the block: it is rolled back with the block.
func (s *session) reportFailure(e effect, result *request.Result, trace request.TraceID) {
	reported := resultError(result, trace)
	if !e.ends && s.homeLostTransaction(result) && connectionLossCodes[reported.Code] {
		reported.Code = pgwire.CodeRolledBack
		reported.Message = "transaction was rolled back: " + result.Message
	}
	s.queueError(reported)
}

// connectionLossCodes are the codes of results that were lost because the link or the home failed.
var connectionLossCodes = map[string]bool{
	pgwire.CodeUnavailable: true, pgwire.CodeConnectionFailure: true, pgwire.CodeUnknownOutcome: true,
}

// resultError builds the error for a result that is not OutcomeDone. The message states whether the request was not run
// or its outcome is unknown.
func resultError(result *request.Result, trace request.TraceID) *pgwire.Error {
	e := &pgwire.Error{
		Code:    result.Code,
		Message: result.Message,
		Trace:   string(trace),
		Step:    result.Step,
		Peer:    result.Peer,
	}
	marker, code := "not run", pgwire.CodeUnavailable
	if result.Outcome == request.OutcomeUnknown {
		marker, code = "outcome unknown", pgwire.CodeUnknownOutcome
	}
	if e.Code == "" {
		e.Code = code
	}
	if e.Code == pgwire.CodeConnectionFailure {
		// A read whose answer was lost had no effect, so its outcome is not unknown to the caller.
		marker = "read failed"
	}
	if !strings.Contains(e.Message, marker) {
		e.Message = strings.TrimSuffix(marker+": "+e.Message, ": ")
	}
	return e
}

// currentGroup returns the group of the open transaction, or else that of the route.
func (s *session) currentGroup() upstream.GroupID {
	if s.tx == txIdle {
		if route, ok := s.server.snapshot.Load().Route(s.identity.database); ok {
			return route.Group
		}
	}
	return s.group
}
