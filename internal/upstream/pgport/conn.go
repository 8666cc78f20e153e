package pgport

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Conn is a connection to a member after its start. It implements upstream.Conn.
type Conn struct {
	net     net.Conn
	address string
	reader  *messageReader
	// pid and secret identify the connection in a cancel request.
	pid    uint32
	secret []byte
	// parameters are the values that the member reported at the start.
	parameters map[string]string
}

func newConn(n net.Conn, address string) *Conn {
	return &Conn{net: n, address: address, reader: newMessageReader(n), parameters: make(map[string]string)}
}

// Send writes encoded frontend messages.
func (c *Conn) Send(p []byte) error {
	_, err := c.net.Write(p)
	return err
}

// Receive returns the next encoded backend message, valid until the next call.
func (c *Conn) Receive() ([]byte, error) { return c.reader.next() }

// Buffered returns the number of received bytes that Receive can hand out without waiting.
func (c *Conn) Buffered() int { return c.reader.buffered() }

// SetDeadline bounds both directions; the zero time removes the bound.
func (c *Conn) SetDeadline(t time.Time) error { return c.net.SetDeadline(t) }

// Close ends the connection at once.
func (c *Conn) Close() error { return c.net.Close() }

// ProcessID returns the id of the connection at the member.
func (c *Conn) ProcessID() uint32 { return c.pid }

// Parameters returns what the member reported at the start of the connection; the caller must not change it.
func (c *Conn) Parameters() map[string]string { return c.parameters }

// Cancel asks the member to cancel the running statement. The request takes a connection of its own; that it was sent
// does not mean that it has an effect. Cancel may run while another goroutine uses the connection.
func (c *Conn) Cancel(ctx context.Context) error {
	var d net.Dialer
	n, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return errors.Wrap(err, "cancel dial")
	}
	defer func() { _ = n.Close() }()
	stop := interruptOnDone(ctx, n)
	defer stop()
	b, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return errors.Wrap(err, "cancel encode")
	}
	if _, err := n.Write(b); err != nil {
		return errors.Wrap(err, "cancel send")
	}
	// The member closes the connection once it has handled the request.
	_, _ = n.Read(make([]byte, 1))
	return ctx.Err()
}

// interruptOnDone makes the end of ctx interrupt reads and writes. The returned function ends this and reports false
// when ctx has interrupted or is about to.
func interruptOnDone(ctx context.Context, n net.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = n.SetDeadline(time.Unix(1, 0)) })
}

// start performs the start of the connection, bounded by ctx.
func (c *Conn) start(ctx context.Context, parameters map[string]string) error {
	stop := interruptOnDone(ctx, c.net)
	err := c.exchangeStart(parameters)
	if !stop() {
		return errors.Wrap(ctx.Err(), "start connection")
	}
	return err
}

// exchangeStart sends the start-up packet and reads up to the first ReadyForQuery.
func (c *Conn) exchangeStart(parameters map[string]string) error {
	m := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters}
	b, err := m.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode start-up packet")
	}
	if err := c.Send(b); err != nil {
		return errors.Wrap(err, "send start-up packet")
	}
	for {
		p, err := c.Receive()
		if err != nil {
			return errors.Wrap(err, "receive start-up answer")
		}
		ready, err := c.handleStart(p)
		if err != nil || ready {
			return err
		}
	}
}

// handleStart handles a message of the start and reports whether the connection is ready.
func (c *Conn) handleStart(p []byte) (ready bool, err error) {
	body := p[headerBytes:]
	switch p[0] {
	case 'R':
		return false, checkAuthentication(body)
	case 'S':
		var m pgproto3.ParameterStatus
		if err := m.Decode(body); err != nil {
			return false, err
		}
		c.parameters[m.Name] = m.Value
	case 'K':
		var m pgproto3.BackendKeyData
		if err := m.Decode(body); err != nil {
			return false, err
		}
		c.pid = m.ProcessID
		c.secret = append([]byte(nil), m.SecretKey...)
	case 'E':
		return false, serverError(body)
	case 'Z':
		return true, nil
	}
	return false, nil
}

func checkAuthentication(body []byte) error {
	var ok pgproto3.AuthenticationOk
	if err := ok.Decode(body); err != nil {
		return errors.New("member asks for an authentication that is not supported")
	}
	return nil
}

func serverError(body []byte) error {
	var m pgproto3.ErrorResponse
	if err := m.Decode(body); err != nil {
		return errors.Wrap(err, "decode error")
	}
	return &ServerError{Severity: m.Severity, Code: m.Code, Message: m.Message}
}
