package group

import (
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Start-up parameters of the group's own.
const (
	// homeParameter carries owner/generation of the claim that a statement connection is opened under.
	homeParameter = "celerystep.home"
	// statusParameter marks a status connection.
	statusParameter = "celerystep.status"
)

const (
	sslRequestCode    = 80877103
	gssEncRequestCode = 80877104
	cancelRequestCode = 80877102
	maxStartupBytes   = 10_000
	// startupTimeout bounds the wait for the start-up packet of a client.
	startupTimeout = 30 * time.Second
)

// accept serves the listener until it is closed.
func (m *member) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s := newSession(m, c)
		if !m.group.register(s) {
			_ = c.Close()
			continue
		}
		m.group.wg.Go(s.serve)
	}
}

// startUp performs the start of a connection and returns false when it must end.
func (s *session) startUp() bool {
	_ = s.conn.SetReadDeadline(time.Now().Add(startupTimeout))
	for {
		code, body, err := s.readStartup()
		if err != nil {
			return false
		}
		switch code {
		case sslRequestCode, gssEncRequestCode:
			if s.write([]byte{'N'}) != nil {
				return false
			}
		case cancelRequestCode:
			if len(body) == 8 {
				s.m.cancel(binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:]))
			}
			return false
		case pgproto3.ProtocolVersion30:
			return s.begin(body)
		default:
			s.sendError(fatalf(stateProtocol, "protocol version %d is not supported", code))
			_ = s.flush()
			return false
		}
	}
}

func (s *session) readStartup() (code uint32, body []byte, err error) {
	var header [8]byte
	if _, err := io.ReadFull(s.in, header[:]); err != nil {
		return 0, nil, err
	}
	n := int(binary.BigEndian.Uint32(header[:])) - len(header)
	if n < 0 || n > maxStartupBytes {
		return 0, nil, errors.Errorf("start-up packet of %d bytes", n)
	}
	body = make([]byte, n)
	_, err = io.ReadFull(s.in, body)
	return binary.BigEndian.Uint32(header[4:]), body, err
}

// begin admits the connection and greets the client.
func (s *session) begin(body []byte) bool {
	parameters := startupParameters(body)
	if err := s.admit(parameters); err != nil {
		s.sendError(err)
		_ = s.flush()
		return false
	}
	if !s.sleep(s.m.group.options.ConnectDelay) {
		return false
	}
	for k, v := range parameters {
		if k != "user" && k != "database" && k != homeParameter && k != statusParameter {
			s.settings[k] = v
		}
	}
	s.send(&pgproto3.AuthenticationOk{})
	for _, p := range reportedParameters {
		s.send(&pgproto3.ParameterStatus{Name: p.name, Value: s.setting(p.key)})
	}
	s.send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: binary.BigEndian.AppendUint32(nil, s.secret)})
	s.ready()
	return true
}

func startupParameters(body []byte) map[string]string {
	out := make(map[string]string)
	fields := strings.Split(string(body), "\x00")
	for i := 0; i+1 < len(fields) && fields[i] != ""; i += 2 {
		out[strings.ToLower(fields[i])] = fields[i+1]
	}
	return out
}

// admit checks the claim and the connection limits.
func (s *session) admit(parameters map[string]string) error {
	var c upstream.Claim
	if home := parameters[homeParameter]; home != "" {
		var err error
		if c, err = parseClaim(home); err != nil {
			return fatalf(stateInvalidParameter, "%s: %s", homeParameter, err)
		}
	}
	if err := s.m.admit(s, c, parameters[statusParameter] != ""); err != nil {
		return err
	}
	return s.m.group.countConnection(s)
}

func parseClaim(home string) (upstream.Claim, error) {
	i := strings.LastIndexByte(home, '/')
	if i < 0 {
		return upstream.Claim{}, errors.Errorf("%q has no generation", home)
	}
	g, err := strconv.ParseUint(home[i+1:], 10, 64)
	if err != nil || g == 0 {
		return upstream.Claim{}, errors.Errorf("%q has no valid generation", home)
	}
	return upstream.Claim{Generation: g, Owner: instance.ID(home[:i])}, nil
}

// admit checks the claim of a new connection against the state of the member and sets the kind of the session.
func (m *member) admit(s *session, c upstream.Claim, status bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case c.Generation != 0 && c.Generation < m.generation,
		c.Generation == m.generation && c.Generation != 0 && string(c.Owner) != m.owner:
		return fatalf(StateStale, "generation %d of %q is claimed", m.generation, m.owner)
	case c.Generation > m.generation:
		return fatalf(statePrerequisite, "generation %d is not claimed on this member", c.Generation)
	case m.applied < m.rebuilt && !status:
		return fatalf(stateCannotConnect, "the member is rebuilding its database")
	}
	s.claim, s.status = c, status
	return nil
}

// cancel interrupts the running statement of a connection.
func (m *member) cancel(pid, secret uint32) {
	m.mu.Lock()
	s := m.sessions[pid]
	m.mu.Unlock()
	if s == nil || s.secret != secret {
		return
	}
	select {
	case s.canceled <- struct{}{}:
	default:
	}
}

// sleep waits and returns false when the connection ends first.
func (s *session) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.done:
		return false
	}
}
