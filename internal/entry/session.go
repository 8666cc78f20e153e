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

// sessionState tells whether a session may be ended from outside. A session that waits for its caller outside a
// transaction can be ended at any time; a busy one ends itself after the exchange.
type sessionState int32

const (
	// stateBusy is a session that reads, runs or answers an exchange.
	stateBusy sessionState = iota
	// stateIdle waits for the caller outside a transaction; stateIdleInTransaction inside one.
	stateIdle
	stateIdleInTransaction
	// stateEnding was taken from an idle session by Drain.
	stateEnding
)

const (
	// lastLook is how long a session that is ended while it is idle waits for a request that is already on its way.
	lastLook = 5 * time.Millisecond
	// endGrace is the time that an ended session gets to tell its caller. It keeps the end of the connection within the 4 s
	// that a withdrawn key may still be used.
	endGrace = time.Second
	// lingerTime bounds the wait for a caller to read the last error before the connection is closed.
	lingerTime = 2 * time.Second
	// lingerBytes bounds what is dropped of a message that is too large while the caller still sends.
	lingerBytes = 64 << 20
	// releaseTimeout bounds the rollback of the transaction of a caller who has gone.
	releaseTimeout = 5 * time.Second
)

var (
	// errTerminate ends a session at the caller's request.
	errTerminate = errors.New("caller ended the session")
	// errCut ends a session whose caller cannot be told, because an answer broke off inside a message.
	errCut = errors.New("answer broke off")
)

// session is one caller. Its fields are used by its own goroutine, but for the atomic ones. It is kept small, because an
// instance holds thousands of idle ones.
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
	// reason is set when the session is ended from outside.
	reason atomic.Pointer[pgwire.Error]

	// tx is the status that the caller sees. lost is true when it stands for a transaction that no upstream holds any
	// more: the caller must end it before anything else runs.
	tx    byte
	lost  bool
	group upstream.GroupID
	// savepoint is true when the open transaction has savepoints.
	savepoint bool
	floors    floors

	// variables are those in force, initial those of the start-up, and saved those before the open transaction, or nil.
	variables, initial, saved *variables

	statements map[string]*statement
	// portals holds the statements of the portals of the open transaction.
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
		variables: noVariables,
	}
	s.id = request.SessionID(string(v.settings.Instance) + "/" + string(h.trace))
	s.ctx, s.cancel = context.WithCancelCause(v.ctx)
	s.reader.SetLimit(v.settings.MaxMessageBytes)
	return s
}

// secret returns the second part of the cancel key as it is sent to the caller.
func (s *session) secret() []byte { return binary.BigEndian.AppendUint32(nil, s.cancelKey.secret) }

// serve handles exchanges until the session ends.
func (s *session) serve() {
	err := s.await()
	for err == nil {
		err = s.exchange()
		if err == nil {
			err = s.await()
		}
	}
	s.close(err)
}

// await waits for the next exchange. It returns an error when the session is to end.
func (s *session) await() error {
	s.reader.Release()
	if err := s.flush(); err != nil {
		return err
	}
	s.discardOutput()
	idle := stateIdle
	if s.tx != txIdle {
		idle = stateIdleInTransaction
	}
	s.state.Store(int32(idle))
	s.checkDraining(idle)
	err := s.reader.Await()
	if !s.state.CompareAndSwap(int32(idle), int32(stateBusy)) {
		return s.endIdle(err)
	}
	if ended := s.ended(); ended != nil {
		return ended
	}
	return err
}

// ended returns why the session was ended at once, or nil.
func (s *session) ended() error {
	if s.ctx.Err() == nil {
		return nil
	}
	if reason := s.reason.Load(); reason != nil {
		return reason
	}
	return context.Cause(s.ctx)
}

// endIdle ends a session that Drain took while it was idle. A request that the caller had sent by then is still served.
func (s *session) endIdle(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = s.conn.SetReadDeadline(time.Now().Add(lastLook))
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
	return s.ended()
}

// checkDraining ends the session when it became idle after Drain had looked at it.
func (s *session) checkDraining(idle sessionState) {
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

// drain ends the session if it is idle outside a transaction. Otherwise it ends itself when it becomes so.
func (s *session) drain() {
	reason := errDraining
	if !s.server.draining.Load() {
		reason = errEvicted
	}
	s.endFrom(stateIdle, reason)
}

// drainTransaction ends the session if it is idle inside a transaction, which is rolled back.
func (s *session) drainTransaction() {
	s.endFrom(stateIdleInTransaction, &pgwire.Error{
		Code:    pgwire.CodeShutdown,
		Message: "terminating connection: the instance is stopping and rolled the open transaction back",
	})
}

func (s *session) endFrom(state sessionState, reason *pgwire.Error) {
	if !s.state.CompareAndSwap(int32(state), int32(stateEnding)) {
		return
	}
	if s.ctx.Err() == nil {
		s.reason.Store(reason)
	}
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
}

// end ends the session at once. A running request is cancelled. A session that does not end by itself, because its
// caller takes nothing or its request does not return, loses its connection after a while.
func (s *session) end(reason *pgwire.Error) {
	s.reason.Store(reason)
	s.cancel(reason)
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	time.AfterFunc(endGrace, func() { _ = s.conn.Close() })
}

// close tells the caller why the session ends, rolls an open transaction back and closes the connection.
func (s *session) close(err error) {
	s.server.index.remove(s)
	s.cancel(err)
	s.farewell(err)
	_ = s.conn.Close()
	s.reader.Release()
	s.discardOutput()
	s.endTransaction()
}

// farewell sends a last error when the caller can still read it.
func (s *session) farewell(err error) {
	var last *pgwire.Error
	switch {
	case errors.Is(err, errTerminate), errors.Is(err, io.EOF), errors.Is(err, errCut):
	case errors.As(err, &last):
	case errors.Is(err, pgwire.ErrTooLarge):
		last = s.tooLarge()
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
	s.write(final.Append(nil))
	if s.flush() == nil && errors.Is(err, pgwire.ErrTooLarge) {
		s.linger()
	}
}

func (s *session) tooLarge() *pgwire.Error {
	return &pgwire.Error{
		Code:    pgwire.CodeLimitExceeded,
		Message: "messages exceed the limit of " + strconv.Itoa(s.server.settings.MaxMessageBytes) + " bytes; not run",
		Step:    "read",
	}
}

// linger lets a caller who still sends a message that is too large read the error. Closing at once would reset the
// connection, and the error would be lost.
func (s *session) linger() {
	_ = s.conn.SetReadDeadline(time.Now().Add(lingerTime))
	if c, ok := s.conn.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	}
	s.reader.Discard(lingerBytes)
}

// endTransaction gives up what the session holds at the home of its group.
func (s *session) endTransaction() {
	if s.tx == txIdle || s.lost {
		return
	}
	s.release()
}

// release tells the home to roll back and forget the session.
func (s *session) release() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), releaseTimeout)
	defer cancel()
	s.server.deps.Runner.End(ctx, s.group, s.id)
}
