package entry

import (
	"crypto/tls"
	"io"
	"net"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/classify"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/keys"
	"github.com/celerystep/celerystep/internal/pgwire"
	"github.com/celerystep/celerystep/internal/request"
)

// maxPreStartupPackets bounds the packets up to and including the start-up packet, which one request each for GSS
// encryption and TLS may precede.
const maxPreStartupPackets = 3

// handshake is a connection during start-up, before it becomes a session.
type handshake struct {
	server    *Server
	conn      net.Conn
	encrypted bool
	trace     request.TraceID
	packet    *pgwire.Packet
	reader    *pgwire.Reader
}

// errNoSession ends a connection that needs no session, such as one with a cancel request.
var errNoSession = errors.New("connection is done")

// openSession performs the start-up of a connection. If there is no session, it closes the connection and returns nil.
func (v *Server) openSession(conn net.Conn) *session {
	h := &handshake{server: v, conn: conn, trace: newTrace()}
	_ = conn.SetDeadline(time.Now().Add(v.settings.StartupTimeout))
	s, err := h.run()
	v.removeStarting(conn)
	if err == nil {
		_ = conn.SetDeadline(time.Time{})
		v.metrics.starts.WithLabelValues("00000").Inc()
		v.log.Debug("session started", "session", s.id, "customer", s.identity.customer, "key", s.identity.key,
			"database", s.identity.database, "remote", conn.RemoteAddr(), "tls", h.encrypted)
		return s
	}
	h.refuse(err)
	_ = h.conn.Close()
	return nil
}

// refuse sends the caller the reason for the refusal, unless the connection is closed or has failed.
func (h *handshake) refuse(err error) {
	var refusal *pgwire.Error
	switch {
	case errors.Is(err, errNoSession), errors.Is(err, io.EOF):
		return
	case errors.As(err, &refusal):
	case errors.Is(err, pgwire.ErrMalformed), errors.Is(err, pgwire.ErrTooLarge), errors.Is(err, io.ErrUnexpectedEOF):
		refusal = &pgwire.Error{Code: pgwire.CodeProtocolViolation, Message: "start-up: " + err.Error()}
	default:
		h.server.metrics.starts.WithLabelValues(pgwire.CodeConnectionFailure).Inc()
		h.server.log.Debug("start-up failed", "trace", h.trace, "step", "startup", "error", err)
		return
	}
	refusal.Fatal = true
	refusal.Trace = string(h.trace)
	if refusal.Step == "" {
		refusal.Step = "startup"
	}
	refusal.Peer = string(h.server.settings.Instance)
	h.server.metrics.starts.WithLabelValues(refusal.Code).Inc()
	h.server.log.Info("start-up refused", "trace", h.trace, "step", refusal.Step, "code", refusal.Code,
		"remote", h.conn.RemoteAddr(), "reason", refusal.Message)
	_ = h.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = h.conn.Write(refusal.Append(nil))
}

func (h *handshake) run() (*session, error) {
	if err := h.readStartup(); err != nil {
		return nil, err
	}
	v := h.server
	switch {
	case v.draining.Load():
		return nil, &pgwire.Error{Code: pgwire.CodeShutdown, Message: "the instance is stopping"}
	case v.evicting.Load():
		return nil, &pgwire.Error{Code: pgwire.CodeUnavailable, Message: "the failure domain of the instance was taken out"}
	case v.callers.Load() > int64(v.settings.MaxCallers):
		return nil, &pgwire.Error{Code: pgwire.CodeTooManyConnections, Message: "too many callers on this instance"}
	case v.settings.RequireTLS && !h.encrypted:
		return nil, &pgwire.Error{Code: pgwire.CodeInvalidAuth, Message: "connections without TLS are not accepted"}
	}
	snapshot := v.snapshot.Load()
	if snapshot == nil {
		return nil, &pgwire.Error{Code: pgwire.CodeUnavailable, Message: "no configuration is in force yet"}
	}
	if err := h.negotiateProtocol(); err != nil {
		return nil, err
	}
	h.reader = pgwire.NewReader(h.conn, v.settings.MaxMessageBytes)
	id, err := h.authenticate(snapshot)
	if err != nil {
		return nil, err
	}
	s := newSession(h, id)
	notices, err := s.applyStartupParameters(h.packet.Parameters)
	if err != nil {
		return nil, err
	}
	return s, h.register(s, notices)
}

// readStartup reads packets up to the start-up packet and handles encryption and cancel requests.
func (h *handshake) readStartup() error {
	for range maxPreStartupPackets {
		p, err := pgwire.ReadPacket(h.conn)
		if err != nil {
			return err
		}
		switch p.Kind {
		case pgwire.PacketStartup:
			h.packet = p
			return nil
		case pgwire.PacketCancel:
			h.server.cancelRequest(p.ProcessID, p.Secret)
			return errNoSession
		case pgwire.PacketSSL:
			err = h.startTLS()
		default:
			_, err = h.conn.Write([]byte{'N'})
		}
		if err != nil {
			return err
		}
	}
	return errors.Wrap(pgwire.ErrMalformed, "too many packets before start-up")
}

func (h *handshake) startTLS() error {
	store := h.server.deps.Certificates
	if store == nil || h.encrypted {
		_, err := h.conn.Write([]byte{'N'})
		return err
	}
	if _, err := h.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	encrypted := tls.Server(h.conn, &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: store.GetCertificate})
	if err := encrypted.Handshake(); err != nil {
		return errors.Wrap(err, "TLS handshake")
	}
	h.conn = encrypted
	h.encrypted = true
	return nil
}

func (h *handshake) negotiateProtocol() error {
	m := h.packet.Negotiation()
	if m == nil {
		return nil
	}
	_, err := h.conn.Write(pgwire.Append(nil, m))
	return err
}

// authenticate determines the caller's identity. The key is verified before an unknown database is reported, so that
// the existence of databases is not disclosed.
func (h *handshake) authenticate(snapshot *config.Snapshot) (*identity, error) {
	user := h.packet.Parameters["user"]
	if user == "" {
		return nil, &pgwire.Error{Code: pgwire.CodeInvalidAuth, Message: "start-up names no user"}
	}
	database := h.packet.Parameters["database"]
	if database == "" {
		database = user
	}
	route, found := snapshot.Route(database)
	customer, key, known := keys.Find(snapshot, user)
	if found && route.OpenCustomer != "" && !(known && route.Allows(customer.Name)) {
		return &identity{customer: route.OpenCustomer, database: database}, nil
	}
	credentials := h.server.decoy.Credentials(user)
	if known {
		credentials = keys.Credentials(key)
	}
	err := pgwire.Authenticate(h.reader, h.conn, credentials)
	if errors.Is(err, pgwire.ErrWrongKey) {
		message := "key authentication failed for user \"" + user + "\""
		return nil, &pgwire.Error{Code: pgwire.CodeInvalidPassword, Message: message, Step: "authenticate"}
	}
	if err != nil {
		return nil, err
	}
	switch {
	case !found:
		return nil, &pgwire.Error{Code: pgwire.CodeUnknownDatabase, Message: "no route for database \"" + database + "\""}
	case !route.Allows(customer.Name):
		message := "customer may not use database \"" + database + "\""
		return nil, &pgwire.Error{Code: pgwire.CodeInvalidAuth, Message: message, Step: "authorize"}
	}
	id := &identity{customer: customer.Name, key: key.Name, verifier: string(key.StoredKey), database: database}
	return id, nil
}

// applyStartupParameters sets the parameters of the start-up packet. It returns encoded notices for the caller.
func (s *session) applyStartupParameters(parameters map[string]string) (notices []byte, err error) {
	for name, value := range parameters {
		switch name {
		case "user", "database":
		case "options":
			err = s.applyOptions(value)
		case parameterToken:
			if !s.acceptToken(value) {
				notices = pgwire.Notice(notices, pgwire.CodeInvalidValue, "celerystep.token is not valid here; ignored")
			}
		default:
			err = s.applyStartup(name, value)
		}
		if err != nil {
			return nil, err
		}
	}
	s.initialVariables = s.variables
	return notices, nil
}

// startupMessages returns the encoded messages from AuthenticationOk to ReadyForQuery.
func (s *session) startupMessages(notices []byte) []byte {
	out := pgwire.Append(nil, &pgproto3.AuthenticationOk{})
	out = append(out, notices...)
	for _, p := range s.reportedParameters() {
		out = pgwire.AppendParameter(out, p[0], p[1])
	}
	out = pgwire.Append(out, &pgproto3.BackendKeyData{ProcessID: s.cancelKey.processID, SecretKey: s.secret()})
	return pgwire.AppendReady(out, txIdle)
}

// applyStartup sets a parameter from the start-up packet.
func (s *session) applyStartup(name, value string) error {
	setting := classify.Setting{Name: strings.ToLower(name), Values: []string{value}}
	if p := parameters[setting.Name]; p.quoted {
		setting.Values = splitList(value)
	}
	next, err := s.variables.withSetting(&setting)
	if err != nil {
		return err
	}
	s.variables = next
	return nil
}

// splitList splits a list value at commas, removes quotes and lowercases unquoted elements.
func splitList(value string) []string {
	var values []string
	for part := range strings.SplitSeq(value, ",") {
		part = strings.TrimSpace(part)
		if quoted := strings.TrimPrefix(part, `"`); quoted != part {
			part = strings.ReplaceAll(strings.TrimSuffix(quoted, `"`), `""`, `"`)
		} else {
			part = strings.ToLower(part)
		}
		values = append(values, part)
	}
	return values
}

// applyOptions sets the parameters of the "options" start-up parameter, which has the forms "-c name=value" and
// "--name=value".
func (s *session) applyOptions(options string) error {
	fields := strings.Fields(options)
	for i := 0; i < len(fields); i++ {
		assignment, ok := strings.CutPrefix(fields[i], "--")
		if !ok {
			assignment, ok = strings.CutPrefix(fields[i], "-c")
		}
		if ok && assignment == "" && i+1 < len(fields) {
			i++
			assignment = fields[i]
		}
		name, value, set := strings.Cut(assignment, "=")
		if !ok || !set {
			return &pgwire.Error{Code: pgwire.CodeFeatureNotSupported, Message: "unsupported start-up option"}
		}
		if err := s.applyStartup(name, value); err != nil {
			return err
		}
	}
	return nil
}

// register adds the session to the index and sends the start-up messages. The configuration may have changed since
// authentication, so the identity is checked again once Apply can find the session.
func (h *handshake) register(s *session, notices []byte) error {
	v := h.server
	for !v.sessionIndex.add(s) {
		s.cancelKey = v.newCancelKey()
	}
	var err error
	if reason := s.identity.rejection(v.snapshot.Load()); reason != nil {
		err = reason
	} else {
		_, err = h.conn.Write(s.startupMessages(notices))
	}
	if err != nil {
		v.sessionIndex.remove(s)
		s.cancel(err)
	}
	return err
}
