package naive

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/pgauth"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// dialTimeout bounds the opening of a connection to a member.
	dialTimeout = 2 * time.Second
	// resetTimeout bounds the reset of a connection between two callers.
	resetTimeout = time.Second
)

// statusQuery asks a member what it believes of itself (design page, section 12).
const statusQuery = "SELECT group_status()"

// resetQuery clears what a caller left on its connection.
const resetQuery = "DISCARD ALL"

var errNoPrimary = errors.New("no member says that it is primary")

// pool holds the connections of one instance to one group.
type pool struct {
	group   Group
	login   pgauth.Login
	clients *pgauth.Clients
	// inUse has one entry for each connection that a caller holds.
	inUse chan struct{}

	mu   sync.Mutex
	idle []*serverConn
}

// serverConn is a connection to a member.
type serverConn struct {
	net      net.Conn
	front    *pgproto3.Frontend
	txStatus byte
}

func newPool(g Group, l pgauth.Login, c *pgauth.Clients) *pool {
	return &pool{group: g, login: l, clients: c, inUse: make(chan struct{}, g.Connections)}
}

// acquire returns a connection to the primary, waiting for a free one until ctx ends.
func (p *pool) acquire(ctx context.Context) (*serverConn, error) {
	select {
	case p.inUse <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "step=acquire group=%s", p.group.Database)
	}
	if c := p.popIdle(); c != nil {
		return c, nil
	}
	c, err := p.dialPrimary(ctx)
	if err != nil {
		<-p.inUse
		return nil, err
	}
	return c, nil
}

func (p *pool) popIdle() *serverConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// release takes a connection back. A broken one takes all idle ones with it, because they lead to the same member.
func (p *pool) release(c *serverConn, broken bool) {
	defer func() { <-p.inUse }()
	if broken || c.reset() != nil {
		_ = c.net.Close()
		p.closeIdle()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.net.Close()
	}
	p.idle = nil
}

// dialPrimary connects to the first member that says that it is primary.
func (p *pool) dialPrimary(ctx context.Context) (*serverConn, error) {
	for _, address := range p.group.Members {
		c, err := p.dial(ctx, address)
		if err != nil {
			continue
		}
		if c.isPrimary() {
			return c, nil
		}
		_ = c.net.Close()
	}
	return nil, errors.Wrapf(errNoPrimary, "step=dial group=%s", p.group.Database)
}

func (p *pool) dial(ctx context.Context, address string) (*serverConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	c := &serverConn{net: nc, front: pgproto3.NewFrontend(nc, nc), txStatus: 'I'}
	if err := nc.SetDeadline(deadline); err != nil {
		_ = nc.Close()
		return nil, err
	}
	if err := p.clients.Connect(c.front, p.login, nil); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

// isPrimary asks the member for its role.
func (c *serverConn) isPrimary() bool {
	rows, err := c.query(statusQuery)
	if err != nil || len(rows) == 0 {
		return false
	}
	var status upstream.MemberStatus
	return json.Unmarshal(rows[0], &status) == nil && status.Role == upstream.RolePrimary
}

// reset makes the connection ready for another caller.
func (c *serverConn) reset() error {
	if err := c.net.SetDeadline(time.Now().Add(resetTimeout)); err != nil {
		return err
	}
	if c.txStatus != 'I' {
		if _, err := c.query("ROLLBACK"); err != nil {
			return err
		}
	}
	_, err := c.query(resetQuery)
	return err
}

// query runs a simple query and returns the first column of its rows.
func (c *serverConn) query(sql string) ([][]byte, error) {
	c.front.Send(&pgproto3.Query{String: sql})
	if err := c.front.Flush(); err != nil {
		return nil, err
	}
	var rows [][]byte
	var failure error
	for {
		m, err := c.front.Receive()
		if err != nil {
			return nil, err
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			if len(m.Values) > 0 {
				rows = append(rows, append([]byte(nil), m.Values[0]...))
			}
		case *pgproto3.ErrorResponse:
			failure = pgauth.NewServerError(m)
		case *pgproto3.ReadyForQuery:
			c.txStatus = m.TxStatus
			return rows, failure
		}
	}
}
