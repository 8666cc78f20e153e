package load

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/celerystep/celerystep/internal/instance"
)

// Endpoint is an address that callers may connect to.
type Endpoint struct {
	Instance      instance.ID
	FailureDomain instance.FailureDomain
	// Address is host:port.
	Address string
}

// Credential is what a caller authenticates with. User is "customer.keyname", Password the key.
type Credential struct {
	User     string
	Password string
}

// Names of celerystep's session parameters (design page, section 5).
const (
	parameterToken  = "celerystep.token"
	parameterMaxAge = "celerystep.max_age_ms"
)

// scramMechanism is the only mechanism that the client offers.
const scramMechanism = "SCRAM-SHA-256"

// dialTimeout bounds the opening of a connection, from the TCP connection to the first ReadyForQuery.
const dialTimeout = 5 * time.Second

// serverError is an ErrorResponse.
type serverError struct {
	code    string
	message string
	fatal   bool
}

// Error formats the SQLSTATE and the message.
func (e *serverError) Error() string { return "sqlstate=" + e.code + ": " + e.message }

func newServerError(m *pgproto3.ErrorResponse) *serverError {
	return &serverError{
		code:    m.Code,
		message: m.Message,
		fatal:   m.SeverityUnlocalized == "FATAL" || m.Severity == "FATAL",
	}
}

// conn is a caller's connection. It is used by one goroutine at a time.
type conn struct {
	net      net.Conn
	front    *pgproto3.Frontend
	endpoint Endpoint
	key      string
	number   uint64
	// token is the last position token that the fleet reported.
	token string
	// prepared maps texts to the names of prepared statements; lastName numbers the names.
	prepared map[string]string
	lastName int
	txStatus byte
}

// scramClients caches derived keys, so that reconnecting sessions do not spend the generator's processor time on key
// derivation.
type scramClients struct{ byCredential sync.Map }

func (c *scramClients) get(cred Credential) (*scram.Client, error) {
	if v, ok := c.byCredential.Load(cred); ok {
		return v.(*scram.Client), nil
	}
	// The server takes the user from the start-up message and ignores the name in the exchange.
	client, err := scram.SHA256.NewClientUnprepped("", cred.Password, "")
	if err != nil {
		return nil, errors.Wrap(err, "step=scram")
	}
	v, _ := c.byCredential.LoadOrStore(cred, client)
	return v.(*scram.Client), nil
}

// dial connects and authenticates. The error is a *serverError when the server refused.
func dial(ctx context.Context, clients *scramClients, e Endpoint, cred Credential, parameters map[string]string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", e.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "step=dial peer=%s", e.Address)
	}
	deadline, _ := ctx.Deadline()
	if err := nc.SetDeadline(deadline); err != nil {
		_ = nc.Close()
		return nil, errors.Wrapf(err, "step=dial peer=%s", e.Address)
	}
	c := &conn{net: nc, front: pgproto3.NewFrontend(nc, nc), endpoint: e, prepared: make(map[string]string)}
	if err := c.startup(clients, cred, parameters); err != nil {
		_ = nc.Close()
		return nil, errors.Wrapf(err, "step=startup peer=%s", e.Address)
	}
	return c, nil
}

func (c *conn) startup(clients *scramClients, cred Credential, parameters map[string]string) error {
	all := map[string]string{"user": cred.User, "application_name": "celerystep-load"}
	for k, v := range parameters {
		all[k] = v
	}
	c.front.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: all})
	if err := c.front.Flush(); err != nil {
		return err
	}
	var conversation *scram.ClientConversation
	for {
		m, err := c.front.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.AuthenticationSASL:
			client, err := clients.get(cred)
			if err != nil {
				return err
			}
			conversation = client.NewConversation()
			first, err := conversation.Step("")
			if err != nil {
				return err
			}
			err = c.send(&pgproto3.SASLInitialResponse{AuthMechanism: scramMechanism, Data: []byte(first)})
			if err != nil {
				return err
			}
		case *pgproto3.AuthenticationSASLContinue:
			if err := c.continueScram(conversation, m.Data); err != nil {
				return err
			}
		case *pgproto3.AuthenticationSASLFinal:
			if _, err := conversation.Step(string(m.Data)); err != nil {
				return err
			}
		case *pgproto3.ReadyForQuery:
			c.txStatus = m.TxStatus
			return nil
		default:
			if err := c.note(m); err != nil {
				return err
			}
		}
	}
}

func (c *conn) continueScram(conversation *scram.ClientConversation, challenge []byte) error {
	if conversation == nil {
		return errors.New("SASL continuation before its start")
	}
	answer, err := conversation.Step(string(challenge))
	if err != nil {
		return err
	}
	return c.send(&pgproto3.SASLResponse{Data: []byte(answer)})
}

func (c *conn) send(m pgproto3.FrontendMessage) error {
	c.front.Send(m)
	return c.front.Flush()
}

// note handles the messages that may come at any time. It returns a *serverError for an ErrorResponse.
func (c *conn) note(m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ParameterStatus:
		if m.Name == parameterToken {
			c.token = m.Value
		}
	case *pgproto3.ErrorResponse:
		return newServerError(m)
	}
	return nil
}

// endedWhileIdle reads what the server sent between requests and reports whether it ended the connection. It never
// waits when nothing has arrived.
func (c *conn) endedWhileIdle() bool {
	for {
		ready, err := readable(c.net)
		if err != nil {
			return true
		}
		if !ready && c.front.ReadBufferLen() == 0 {
			return false
		}
		if err := c.net.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
			return true
		}
		m, err := c.front.Receive()
		if err != nil || c.note(m) != nil {
			return true
		}
	}
}

// readable reports whether input waits on the connection, without reading it. The end of the stream is io.EOF.
func readable(nc net.Conn) (bool, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false, nil
	}
	// A deadline of the last statement that has passed would make the check fail.
	if err := nc.SetReadDeadline(time.Time{}); err != nil {
		return false, err
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, err
	}
	var n int
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	switch {
	case err != nil:
		return false, err
	case peekErr == syscall.EAGAIN || peekErr == syscall.EINTR:
		return false, nil
	case peekErr != nil:
		return false, peekErr
	case n == 0:
		return false, io.EOF
	}
	return true, nil
}

// close ends the connection politely.
func (c *conn) close() {
	_ = c.net.SetDeadline(time.Now().Add(time.Second))
	_ = c.send(&pgproto3.Terminate{})
	_ = c.net.Close()
}

// drop ends the connection at once.
func (c *conn) drop() { _ = c.net.Close() }
