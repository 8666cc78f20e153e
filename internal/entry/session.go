package entry

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/pgwire"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Transaction status bytes of ReadyForQuery.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// sessionState determines whether Drain may terminate a session. An idle session outside a transaction can be
// terminated at any time; a busy one terminates itself after its exchange.
type sessionState int32

const (
	// stateBusy means that the session reads, runs or answers an exchange.
	stateBusy sessionState = iota
	// stateIdle means that the session waits for its caller outside a transaction, stateIdleInTransaction inside one.
	stateIdle
	stateIdleInTransaction
	// stateEnding means that Drain is terminating an idle session.
	stateEnding
)

const (
	// finalReadWait is how long an idle session that is being drained still waits for a request in flight.
	finalReadWait = 5 * time.Millisecond
	// forceCloseDelay is how long a terminated session may take to notify its caller before the connection is closed.
	// It keeps the total within the 4 s for which a withdrawn key may remain usable.
	forceCloseDelay = time.Second
	// lingerTimeout bounds the wait for a caller to read the final error before the connection is closed.
	lingerTimeout = 2 * time.Second
	// lingerBytes bounds how much of an oversized message is discarded while the caller is still sending.
	lingerBytes = 64 << 20
	// rollbackTimeout bounds the rollback of an open transaction when its session ends.
	rollbackTimeout = 5 * time.Second
)

var (
	// errTerminate ends a session at the caller's request.
	errTerminate = errors.New("caller ended the session")
	// errTruncatedAnswer ends a session whose answer stopped inside a message, after which no error can be sent.
	errTruncatedAnswer = errors.New("answer broke off")
)

// session is the state of one caller's connection. Non-atomic fields are used only by the session's goroutine. It is
// kept small because an instance holds thousands of idle sessions.
type session struct {
	server   *Server
	conn     net.Conn
	reader   *pgwire.Reader
	identity *identity
	id       request.SessionID
	ctx      context.Context
	cancel   context.CancelCauseFunc

	cancelKey cancelKey
	state     atomic.Int32
	// reason is set when the session is terminated by another goroutine.
	reason atomic.Pointer[pgwire.Error]

	// tx is the transaction status reported to the caller. transactionLost is true when no upstream holds that
	// transaction any more: the caller must end it before anything else runs.
	tx              byte
	transactionLost bool
	group           upstream.GroupID
	// savepoint is true when the open transaction has savepoints.
	savepoint bool
	floors    floors

	// variables are the current parameter values and initialVariables those of the start-up. savedVariables are those
	// before the open transaction changed them, or nil.
	variables, initialVariables, savedVariables *variables

	statements map[string]*statement
	// portals maps the portals of the open transaction to their statements.
	portals map[string]*statement

	output
}

// newSession returns a session for an authenticated caller.
func newSession(h *handshake, id *identity) *session {
	v := h.server
	s := &session{
		server:    v,
		conn:      h.conn,
		reader:    h.reader,
		identity:  id,
		cancelKey: v.newCancelKey(),
		tx:        txIdle,
		variables: emptyVariables,
	}
	s.id = request.SessionID(string(v.settings.Instance) + "/" + string(h.trace))
	s.ctx, s.cancel = context.WithCancelCause(v.ctx)
	s.reader.SetLimit(v.settings.MaxMessageBytes)
	return s
}

// secret returns the secret of the cancel key as sent in BackendKeyData.
func (s *session) secret() []byte {
	return binary.BigEndian.AppendUint32(nil, s.cancelKey.secret)
}

// serve handles exchanges until the session ends.
func (s *session) serve() {
	err := s.awaitExchange()
	for err == nil {
		err = s.serveExchange()
		if err == nil {
			err = s.awaitExchange()
		}
	}
	s.close(err)
}

// awaitExchange waits for the next exchange. It returns an error when the session must end.
func (s *session) awaitExchange() error {
	s.reader.Release()
	if err := s.flush(); err != nil {
		return err
	}
	s.releaseOutput()
	idle := stateIdle
	if s.tx != txIdle {
		idle = stateIdleInTransaction
	}
	s.state.Store(int32(idle))
	s.drainIfStopping(idle)
	err := s.reader.Await()
	if !s.state.CompareAndSwap(int32(idle), int32(stateBusy)) {
		return s.endDrained(err)
	}
	if endReason := s.endReason(); endReason != nil {
		return endReason
	}
	return err
}

// endReason returns why the session was terminated, or nil. It does not cover Drain, which leaves ctx alone.
func (s *session) endReason() error {
	if s.ctx.Err() == nil {
		return nil
	}
	if reason := s.reason.Load(); reason != nil {
		return reason
	}
	return context.Cause(s.ctx)
}

// endDrained ends a session that Drain stopped while it was idle. A request that is already in flight is still served.
func (s *session) endDrained(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = s.conn.SetReadDeadline(time.Now().Add(finalReadWait))
		err = s.reader.Await()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return s.reason.Load()
	}
	if err != nil {
		return err
	}
	s.state.Store(int32(stateBusy))
	_ = s.conn.SetReadDeadline(time.Time{})
	return s.endReason()
}

// drainIfStopping ends the session if it became idle after Drain or Evict had visited it.
func (s *session) drainIfStopping(idle sessionState) {
	if idle == stateIdle && (s.server.draining.Load() || s.server.evicting.Load()) {
		s.drain()
	}
}

var errDraining = &pgwire.Error{
	Code: pgwire.CodeShutdown,
	Message: "terminating connection: the instance is stopping; no request was cut, and one that crosses this message " +
		"was not run",
}

var errEvicted = &pgwire.Error{
	Code: pgwire.CodeShutdown,
	Message: "terminating connection: the failure domain of the instance was taken out; no request was cut, and one " +
		"that crosses this message was not run",
}

// drain ends the session if it is idle outside a transaction. Otherwise the session ends itself as soon as it is.
func (s *session) drain() {
	reason := errDraining
	if !s.server.draining.Load() {
		reason = errEvicted
	}
	s.endInState(stateIdle, reason)
}

// drainTransaction ends the session if it is idle inside a transaction, and rolls the transaction back.
func (s *session) drainTransaction() {
	s.endInState(stateIdleInTransaction, &pgwire.Error{
		Code:    pgwire.CodeShutdown,
		Message: "terminating connection: the instance is stopping and rolled the open transaction back",
	})
}

func (s *session) endInState(state sessionState, reason *pgwire.Error) {
	if !s.state.CompareAndSwap(int32(state), int32(stateEnding)) {
		return
	}
	if s.ctx.Err() == nil {
		s.reason.Store(reason)
	}
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
}

// end terminates the session immediately and cancels a running request. If the caller does not read or the request does
// not return, the connection is closed after forceCloseDelay.
func (s *session) end(reason *pgwire.Error) {
	s.reason.Store(reason)
	s.cancel(reason)
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	time.AfterFunc(forceCloseDelay, func() { _ = s.conn.Close() })
}

// close sends the caller the reason for the end of the session, closes the connection, and rolls back an open
// transaction.
func (s *session) close(err error) {
	s.server.sessionIndex.remove(s)
	s.cancel(err)
	s.sendFinalError(err)
	_ = s.conn.Close()
	s.reader.Release()
	s.releaseOutput()
	s.endTransaction()
}

// sendFinalError sends a fatal error if there is one to report and the last answer ended on a message boundary.
func (s *session) sendFinalError(err error) {
	var last *pgwire.Error
	switch {
	case errors.Is(err, errTerminate), errors.Is(err, io.EOF), errors.Is(err, errTruncatedAnswer):
	case errors.As(err, &last):
	case errors.Is(err, pgwire.ErrTooLarge):
		last = s.tooLargeError()
	case errors.Is(err, pgwire.ErrMalformed):
		last = &pgwire.Error{Code: pgwire.CodeProtocolViolation, Message: err.Error()}
	default:
		last = s.reason.Load()
	}
	log := s.server.log.Debug
	if last == nil || !s.scanner.Whole() {
		log("session ended", "session", s.id, "customer", s.identity.customer, "reason", err)
		return
	}
	final := *last
	final.Fatal = true
	final.Trace = string(newTrace())
	if final.Step == "" {
		final.Step = "session"
	}
	final.Peer = string(s.server.settings.Instance)
	s.server.metrics.refusals.WithLabelValues(final.Code).Inc()
	s.server.log.Info("session ended", "session", s.id, "trace", final.Trace, "customer", s.identity.customer,
		"key", s.identity.key, "code", final.Code, "reason", final.Message)
	s.enqueue(final.Append(nil))
	if s.flush() == nil && errors.Is(err, pgwire.ErrTooLarge) {
		s.linger()
	}
}

func (s *session) tooLargeError() *pgwire.Error {
	return &pgwire.Error{
		Code:    pgwire.CodeLimitExceeded,
		Message: "messages exceed the limit of " + strconv.Itoa(s.server.settings.MaxMessageBytes) + " bytes; not run",
		Step:    "read",
	}
}

// linger discards the rest of an oversized message so that the caller can read the error. Closing with unread input
// would reset the connection and lose the error.
func (s *session) linger() {
	_ = s.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	if c, ok := s.conn.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	}
	s.reader.Discard(lingerBytes)
}

// endTransaction rolls back the transaction that the home holds for the session, if any.
func (s *session) endTransaction() {
	if s.tx == txIdle || s.transactionLost {
		return
	}
	s.rollBackAtHome()
}

// rollBackAtHome makes the home roll back the session's transaction and drop its state.
func (s *session) rollBackAtHome() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), rollbackTimeout)
	defer cancel()
	s.server.deps.Runner.End(ctx, s.group, s.id)
}
