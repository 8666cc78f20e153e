package group

import (
	"bufio"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// readBufferBytes holds several pipelined statements, so that one system call may read them all.
	readBufferBytes = 8 << 10
	// maxMessageBytes bounds a message of a client.
	maxMessageBytes = 64 << 20
	// keepBufferBytes is the largest output buffer that a session keeps between answers.
	keepBufferBytes = 64 << 10
)

// session is one client connection.
type session struct {
	m      *member
	conn   net.Conn
	in     *bufio.Reader
	body   []byte
	out    []byte
	pid    uint32
	secret uint32
	// done is closed when the connection must end.
	done chan struct{}
	// canceled receives a cancel request.
	canceled chan struct{}

	// status is true for a status connection, claim is the claim of a statement connection. Both are written once, under
	// the member's mu.
	status bool
	// counted is true once the connection counts against the limit; it is guarded by the group's mu.
	counted bool
	claim   upstream.Claim
	// claimed and terminated are guarded by the member's mu.
	claimed    uint64
	terminated bool

	// writeMu keeps reports of the status stream out of the middle of answers.
	writeMu sync.Mutex
	stream  *statusStream

	settings   map[string]string
	tx         *transaction
	prepared   map[string]*prepared
	portals    map[string]*portal
	skipToSync bool
}

func newSession(m *member, c net.Conn) *session {
	s := &session{
		m:        m,
		conn:     c,
		done:     make(chan struct{}),
		canceled: make(chan struct{}, 1),
		secret:   rand.Uint32(),
		settings: make(map[string]string),
		prepared: make(map[string]*prepared),
		portals:  make(map[string]*portal),
	}
	s.in = bufio.NewReaderSize(m.group.captureFrom(c), readBufferBytes)
	return s
}

// generationLocked returns the generation of the home that opened the connection, or 0.
func (s *session) generationLocked() uint64 {
	if s.claim.Generation != 0 {
		return s.claim.Generation
	}
	return s.claimed
}

// terminateLocked ends the connection. The caller holds the member's mu.
func (s *session) terminateLocked() {
	if s.terminated {
		return
	}
	s.terminated = true
	close(s.done)
	_ = s.conn.Close()
}

// serve handles the connection until it ends.
func (s *session) serve() {
	defer s.close()
	if !s.m.frozen.pass(s.done) || !s.startUp() {
		return
	}
	for {
		if err := s.flushBeforeRead(); err != nil {
			return
		}
		kind, body, err := s.readMessage()
		if err != nil {
			s.reportTimeout(err)
			return
		}
		if !s.m.frozen.pass(s.done) || !s.handle(kind, body) {
			_ = s.flush()
			return
		}
	}
}

func (s *session) close() {
	if s.stream != nil {
		s.stream.stop()
	}
	if s.tx != nil {
		s.tx.rollback(s)
	}
	_ = s.conn.Close()
	s.m.group.unregister(s)
}

// flushBeforeRead sends the collected answers when no further message has arrived, and bounds the wait for one.
func (s *session) flushBeforeRead() error {
	if s.in.Buffered() > 0 {
		return nil
	}
	if err := s.flush(); err != nil {
		return err
	}
	timeout := s.idleTimeout()
	if timeout <= 0 {
		return s.conn.SetReadDeadline(time.Time{})
	}
	return s.conn.SetReadDeadline(time.Now().Add(timeout))
}

// idleTimeout returns the time that the client may stay silent now, or 0 for no limit.
func (s *session) idleTimeout() time.Duration {
	switch {
	case s.tx != nil:
		return s.m.group.options.IdleInTransactionTimeout
	case s.status:
		return 0
	default:
		return s.m.group.options.IdleSessionTimeout
	}
}

func (s *session) reportTimeout(err error) {
	var n net.Error
	if !errors.As(err, &n) || !n.Timeout() {
		return
	}
	e := fatalf(stateIdleSession, "terminating connection due to idle-session timeout")
	if s.tx != nil {
		e = fatalf(stateIdleInTransaction, "terminating connection due to idle-in-transaction timeout")
	}
	s.sendError(e)
	_ = s.flush()
}

// readMessage returns the next message, whose body is valid until the next call.
func (s *session) readMessage() (byte, []byte, error) {
	var header [5]byte
	if _, err := io.ReadFull(s.in, header[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(header[1:])) - 4
	if n < 0 || n > maxMessageBytes {
		return 0, nil, errors.Errorf("message of %d bytes", n)
	}
	if cap(s.body) < n || cap(s.body) > keepBufferBytes && n < keepBufferBytes {
		s.body = make([]byte, n)
	}
	s.body = s.body[:n]
	_, err := io.ReadFull(s.in, s.body)
	return header[0], s.body, err
}

// send appends a message to the output.
func (s *session) send(m pgproto3.BackendMessage) {
	out, err := m.Encode(s.out)
	if err != nil {
		// Only messages above the protocol's size limit cannot be encoded.
		s.m.group.logger.Error("cannot encode a message", "member", s.m.id, "error", err)
		return
	}
	s.out = out
}

func (s *session) sendError(err error) {
	e := asSQLError(err)
	severity := severityError
	if e.Fatal {
		severity = severityFatal
	}
	s.send(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: e.State, Message: e.Message,
	})
}

// flush writes the output.
func (s *session) flush() error {
	if len(s.out) == 0 {
		return nil
	}
	err := s.write(s.out)
	if cap(s.out) > keepBufferBytes {
		s.out = nil
	}
	s.out = s.out[:0]
	return err
}

// write sends whole messages.
func (s *session) write(p []byte) error {
	if !s.m.frozen.pass(s.done) {
		return net.ErrClosed
	}
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	_, err := s.conn.Write(p)
	return err
}

// handle answers one message and returns false when the connection must end.
func (s *session) handle(kind byte, body []byte) bool {
	if s.skipToSync && kind != 'S' && kind != 'X' {
		return true
	}
	var err error
	switch kind {
	case 'Q':
		err = s.handleQuery(body)
	case 'P':
		err = s.handleParse(body)
	case 'B':
		err = s.handleBind(body)
	case 'D':
		err = s.handleDescribe(body)
	case 'E':
		err = s.handleExecute(body)
	case 'C':
		err = s.handleClose(body)
	case 'S':
		err = s.handleSync()
	case 'H':
		return s.flush() == nil
	case 'X':
		return false
	default:
		err = fatalf(stateProtocol, "message type %q is not supported", kind)
	}
	if err == nil {
		return true
	}
	return s.fail(err, kind != 'Q' && kind != 'S')
}

// fail reports an error, rolls back what it must and returns false when the connection must end.
func (s *session) fail(err error, extended bool) bool {
	s.sendError(err)
	if asSQLError(err).Fatal {
		return false
	}
	if s.tx != nil {
		s.tx.fail(s)
	}
	if extended {
		s.skipToSync = true
		return true
	}
	s.ready()
	return true
}

// ready sends ReadyForQuery.
func (s *session) ready() {
	status := byte('I')
	if s.tx != nil {
		status = 'T'
		if s.tx.failed {
			status = 'E'
		}
	}
	s.send(&pgproto3.ReadyForQuery{TxStatus: status})
}

// customer returns the customer that the home has set for the connection.
func (s *session) customer() string { return s.settings["celerystep.customer"] }
