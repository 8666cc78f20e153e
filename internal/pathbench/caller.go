package pathbench

import (
	"context"
	"encoding/binary"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/pgauth"
)

const (
	// dialTimeout bounds the TCP connection and the start-up.
	dialTimeout = 10 * time.Second
	// headerBytes is the size of the type and length of a message.
	headerBytes = 5
	// answerBytes is the size of a caller's read buffer. The answers of the workloads are far smaller.
	answerBytes = 4 << 10
	// preparedName is the statement that callers of WorkPrepared prepare once.
	preparedName = "s"
)

// target is where callers of a mode connect.
type target struct {
	address    string
	database   string
	credential load.Credential
}

// caller sends encoded requests on a plain TCP connection. It does as little as possible beside the system calls, so
// that its own cost does not hide the differences between modes.
type caller struct {
	conn    net.Conn
	request []byte
	buffer  []byte
}

// dial connects a caller.
func dial(ctx context.Context, clients *pgauth.Clients, t target) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", t.address)
	if err != nil {
		return nil, errors.Wrapf(err, "step=dial peer=%s", t.address)
	}
	login := pgauth.Login{
		User:       t.credential.User,
		Password:   t.credential.Password,
		Parameters: map[string]string{"database": t.database},
	}
	if err := clients.Connect(pgproto3.NewFrontend(conn, conn), login, nil); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "step=startup peer=%s", t.address)
	}
	return conn, nil
}

// newCaller connects caller i and prepares its request.
func newCaller(ctx context.Context, clients *pgauth.Clients, t target, w Work, i int) (*caller, error) {
	conn, err := dial(ctx, clients, t)
	if err != nil {
		return nil, err
	}
	c := &caller{conn: conn, buffer: make([]byte, answerBytes)}
	if err := c.prepare(w, i); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *caller) prepare(w Work, i int) error {
	if w != WorkPrepared {
		request, err := encode(&pgproto3.Query{String: w.text(i)})
		c.request = request
		return err
	}
	parse, err := encode(&pgproto3.Parse{Name: preparedName, Query: w.text(i)}, &pgproto3.Sync{})
	if err != nil {
		return err
	}
	c.request = parse
	if err := c.run(); err != nil {
		return err
	}
	c.request, err = encode(&pgproto3.Bind{PreparedStatement: preparedName}, &pgproto3.Execute{}, &pgproto3.Sync{})
	return err
}

func encode(messages ...pgproto3.FrontendMessage) ([]byte, error) {
	var out []byte
	for _, m := range messages {
		var err error
		if out, err = m.Encode(out); err != nil {
			return nil, errors.Wrap(err, "step=encode")
		}
	}
	return out, nil
}

// run sends the request and reads the answer up to ReadyForQuery.
func (c *caller) run() error {
	if _, err := c.conn.Write(c.request); err != nil {
		return errors.Wrap(err, "step=send")
	}
	have := 0
	for {
		n, err := c.conn.Read(c.buffer[have:])
		if err != nil {
			return errors.Wrap(err, "step=receive")
		}
		have += n
		used, done, err := scan(c.buffer[:have])
		if err != nil || done {
			return err
		}
		have = copy(c.buffer, c.buffer[used:have])
	}
}

// scan passes over the whole messages in p. An ErrorResponse is an error, because no workload expects one.
func scan(p []byte) (used int, done bool, err error) {
	for len(p)-used >= headerBytes {
		m := p[used:]
		size := 1 + int(binary.BigEndian.Uint32(m[1:headerBytes]))
		if len(m) < size {
			return used, false, nil
		}
		switch m[0] {
		case 'E':
			return used, false, errors.Errorf("step=receive: server answered with an error: %q", m[headerBytes:size])
		case 'Z':
			return used + size, true, nil
		}
		used += size
	}
	return used, false, nil
}
