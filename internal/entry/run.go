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

// effect is what a request does, taken together from its statements.
type effect struct {
	kind       request.Kind
	statements int
	begins     bool
	ends       bool
	rollback   bool
	savepoint  bool
}

// add takes in one statement. The first one decides the kind, and a write makes the whole a write.
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

// transact runs messages at the home of the session's group and passes the answer on. It returns false when the answer
// holds an error. The error ends the session.
func (s *session) transact(messages []byte, e effect, prepared []request.Prepared) (bool, error) {
	snapshot := s.server.snapshot.Load()
	if err := s.chooseGroup(snapshot); err != nil {
		return false, err
	}
	r := s.newRequest(snapshot, e)
	r.Messages = messages
	r.Prepared = prepared
	s.scanner.Reset()
	result := s.server.parts.Runner.Run(s.ctx, r, s)
	s.count(e, len(messages), result.Outcome)
	s.dropPartial()
	if s.broken != nil || !s.scanner.Whole() {
		s.settle(e, &result, r)
		return false, errCut
	}
	if result.Outcome != request.OutcomeDone && s.scanner.Errors == 0 && !s.rolledBack(e, &result, r) {
		s.failed(e, &result, r.Trace)
	}
	s.settle(e, &result, r)
	if err := s.ended(); err != nil {
		return false, err
	}
	return result.Outcome == request.OutcomeDone && s.scanner.Errors == 0, nil
}

// chooseGroup selects the group of the next request: that of the open transaction, or the one that the route leads to.
func (s *session) chooseGroup(snapshot *config.Snapshot) error {
	if s.tx != txIdle {
		return nil
	}
	route, ok := snapshot.Route(s.identity.database)
	if !ok {
		return s.identity.check(snapshot)
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

func (s *session) count(e effect, received int, o request.Outcome) {
	m := s.server.metrics
	m.requests[e.kind][o].Inc()
	m.statements[e.kind].Add(float64(e.statements))
	m.received.Add(float64(received))
}

// settle takes in the end of a request: transaction status, parameters and floor.
func (s *session) settle(e effect, result *request.Result, r *request.Request) {
	before := s.tx
	s.settleStatus(e, result)
	s.savepoint = s.tx != txIdle && (s.savepoint || e.savepoint)
	if s.tx == txIdle {
		failed := before == txFailed || e.rollback || s.scanner.Errors > 0 || result.Outcome != request.OutcomeDone
		s.settleVariables(failed)
		s.portals = nil
	}
	s.settleFloor(e, result, r)
}

// settleStatus follows the transaction. When the home does not hold the caller's transaction any more, the caller gets
// the status of a failed one, so that the statements that were meant for it do not run outside it.
func (s *session) settleStatus(e effect, result *request.Result) {
	inside := s.tx != txIdle
	switch {
	case s.abandoned(result):
		s.release()
		s.lost = !e.ends
		s.tx = txFailed
		if e.ends {
			s.tx = txIdle
		}
	case result.TxStatus != 0:
		s.tx = result.TxStatus
	default:
		if result.HoldsTransaction(inside, e.begins) {
			s.release()
		}
		s.tx = txIdle
	}
}

// abandoned reports whether the caller's transaction is not held by a home any more, or may not be. A home that still
// holds it, or answers for its loss, says so with the status.
func (s *session) abandoned(result *request.Result) bool {
	if s.tx == txIdle || result.Outcome == request.OutcomeDone && result.TxStatus != 0 {
		return false
	}
	held := result.TxStatus == txOpen || result.TxStatus == txFailed
	notHome := result.Outcome == request.OutcomeNotRun && result.Code == pgwire.CodeUnavailable
	return !held || notHome
}

// rolledBack answers a ROLLBACK whose transaction was already gone, which is what the caller asked for.
func (s *session) rolledBack(e effect, result *request.Result, r *request.Request) bool {
	if !e.rollback || s.scanner.Bytes > 0 || !s.abandoned(result) {
		return false
	}
	answer, ended := exchange.EndLostTransaction(r)
	if ended {
		_, _ = s.Write(answer)
	}
	return ended
}

// settleVariables ends the effect of a transaction on the parameters: a rollback restores them.
func (s *session) settleVariables(failed bool) {
	if failed && s.saved != nil {
		s.variables = s.saved
	}
	s.saved = nil
}

// settleFloor raises the session's floor, and reports a new token after an acknowledged write.
func (s *session) settleFloor(e effect, result *request.Result, r *request.Request) {
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
	if s.server.parts.Tokens == nil || s.broken != nil {
		return
	}
	b := s.buffer()
	*b = pgwire.AppendParameter(*b, parameterToken, s.server.parts.Tokens.Encode(r.Customer, r.Group, p))
}

// acceptToken takes in a token that the caller presents. It reports whether the token is valid for the session.
func (s *session) acceptToken(token string) bool {
	tokens := s.server.parts.Tokens
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

// failed reports a result that is not done. The outcome of a statement inside a transaction block is known even when its
// link was lost: it did not end the block, so it is rolled back with it.
func (s *session) failed(e effect, result *request.Result, trace request.TraceID) {
	reported := resultError(result, trace)
	if !e.ends && s.abandoned(result) && linkCodes[reported.Code] {
		reported.Code = pgwire.CodeRolledBack
		reported.Message = "transaction was rolled back: " + result.Message
	}
	s.fail(reported)
}

// linkCodes are the codes of results that were lost with their link or home.
var linkCodes = map[string]bool{
	pgwire.CodeUnavailable: true, pgwire.CodeConnectionFailure: true, pgwire.CodeUnknownOutcome: true,
}

// resultError describes a result that is not done. The text of a refusal says that nothing was run.
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

// currentGroup returns the group of the open transaction, or the one that the route leads to.
func (s *session) currentGroup() upstream.GroupID {
	if s.tx == txIdle {
		if route, ok := s.server.snapshot.Load().Route(s.identity.database); ok {
			return route.Group
		}
	}
	return s.group
}
