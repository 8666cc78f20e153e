package load

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/pgauth"
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

// KeyName returns the name of the key, empty when the user has no such part.
func (c Credential) KeyName() string {
	_, key, _ := strings.Cut(c.User, ".")
	return key
}

// Names of celerystep's session parameters (design page, section 5).
const (
	parameterToken  = "celerystep.token"
	parameterMaxAge = "celerystep.max_age_ms"
)

// dialTimeout bounds the opening of a connection, from the TCP connection to the first ReadyForQuery.
const dialTimeout = 5 * time.Second

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

// dial connects and authenticates. The error is a *pgauth.ServerError when the server refused.
func dial(ctx context.Context, clients *pgauth.Clients, e Endpoint, cred Credential, parameters map[string]string) (*conn, error) {
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
	c := &conn{net: nc, front: pgproto3.NewFrontend(nc, nc), endpoint: e, txStatus: 'I', prepared: make(map[string]string)}
	login := pgauth.Login{User: cred.User, Password: cred.Password, Parameters: parameters}
	if err := clients.Connect(c.front, login, c.setParameter); err != nil {
		_ = nc.Close()
		return nil, errors.Wrapf(err, "step=startup peer=%s", e.Address)
	}
	return c, nil
}

func (c *conn) send(m pgproto3.FrontendMessage) error {
	c.front.Send(m)
	return c.front.Flush()
}

func (c *conn) setParameter(name, value string) {
	if name == parameterToken {
		c.token = value
	}
}

// note handles the messages that may come at any time. It returns a *pgauth.ServerError for an ErrorResponse.
func (c *conn) note(m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ParameterStatus:
		c.setParameter(m.Name, m.Value)
	case *pgproto3.ErrorResponse:
		return pgauth.NewServerError(m)
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
