// Package naive is the baseline that celerystep is compared with: a plain session-pooling proxy. Each instance has its
// fixed share of every group's connections and of every customer's limits, sends everything to the primary, binds a
// connection to a caller until the caller leaves, and knows nothing about failover: it connects to whichever member
// says that it is primary. It is simple on purpose.
package naive

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/celerystep/celerystep/internal/pgauth"
)

const (
	// queueDeadline is how long a request waits for a connection or a token. It equals celerystep's.
	queueDeadline = 5 * time.Second
	// queryTimeout frees the connection of a member that has gone silent.
	queryTimeout = 10 * time.Second
)

// SQLSTATE codes of the proxy's own errors.
const (
	codeNoDatabase     = "3D000"
	codeTooMany        = "53300"
	codeRate           = "53400"
	codeConnectionLost = "08006"
)

// Config is the share of one instance.
type Config struct {
	Groups []Group
	// User and Password are the groups' own credential.
	User     string
	Password string
	// Lookup returns the verifiers of the callers' keys.
	Lookup pgauth.Lookup
	// Limits holds the instance's share of each customer's contract.
	Limits map[string]Limit
}

// Group is a database group as this instance may use it.
type Group struct {
	// Database is the name that callers ask for.
	Database string
	// Members are the addresses of the members.
	Members []string
	// Connections is the instance's share of the group's connections.
	Connections int
}

// Limit is a share of a customer's contract, in statements a second.
type Limit struct {
	Rate  float64
	Burst int
}

// Share returns an instance's part of a number that is split over all instances, at least 1.
func Share(total, instances int) int { return max(1, total/instances) }

// Proxy is a running instance.
type Proxy struct {
	config   Config
	listener net.Listener
	pools    map[string]*pool
	buckets  map[string]*bucket
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu      sync.Mutex
	callers map[net.Conn]bool
}

// Start serves callers on the listener until Close.
func Start(l net.Listener, c Config) *Proxy {
	p := &Proxy{
		config: c, listener: l, pools: make(map[string]*pool), buckets: make(map[string]*bucket),
		callers: make(map[net.Conn]bool),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	login := pgauth.Login{User: c.User, Password: c.Password}
	clients := &pgauth.Clients{}
	for _, g := range c.Groups {
		l := login
		l.Parameters = map[string]string{"database": g.Database}
		p.pools[g.Database] = newPool(g, l, clients)
	}
	for name, limit := range c.Limits {
		p.buckets[name] = &bucket{limit: limit, level: float64(limit.Burst), at: time.Now()}
	}
	p.wg.Go(p.accept)
	return p
}

// Close ends the proxy with all its connections.
func (p *Proxy) Close() {
	p.cancel()
	_ = p.listener.Close()
	p.mu.Lock()
	for nc := range p.callers {
		_ = nc.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
	for _, pool := range p.pools {
		pool.closeIdle()
	}
}

func (p *Proxy) accept() {
	for {
		nc, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.serve(nc) })
	}
}

// serve runs one caller's connection to its end.
func (p *Proxy) serve(nc net.Conn) {
	p.track(nc, true)
	defer p.track(nc, false)
	login, err := pgauth.Accept(nc, p.config.Lookup)
	if err != nil {
		return
	}
	pool := p.pools[login.Parameters["database"]]
	if pool == nil {
		pgauth.Refuse(login.Backend, codeNoDatabase, "no such database")
		return
	}
	customer, _, _ := strings.Cut(login.User, ".")
	c := &caller{proxy: p, back: login.Backend, pool: pool, bucket: p.buckets[customer]}
	login.Backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if login.Backend.Flush() != nil {
		return
	}
	c.loop()
}

func (p *Proxy) track(nc net.Conn, present bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !present {
		_ = nc.Close()
		delete(p.callers, nc)
		return
	}
	p.callers[nc] = true
	if p.ctx.Err() != nil {
		_ = nc.Close()
	}
}

// caller is a caller's session. It holds a connection from its first request until it leaves.
type caller struct {
	proxy  *Proxy
	back   *pgproto3.Backend
	pool   *pool
	bucket *bucket
	server *serverConn
	broken bool
}

// request is what a caller sent up to Query or Sync.
type request struct {
	messages   []byte
	statements int
}

func (c *caller) loop() {
	defer func() {
		if c.server != nil {
			c.pool.release(c.server, c.broken)
		}
	}()
	for {
		r, err := c.receive()
		if err != nil {
			return
		}
		if err := c.handle(r); err != nil {
			return
		}
	}
}

// receive reads one request. The error is io.EOF or alike when the caller has left.
func (c *caller) receive() (request, error) {
	var r request
	for {
		m, err := c.back.Receive()
		if err != nil {
			return r, err
		}
		if _, ok := m.(*pgproto3.Terminate); ok {
			return r, errors.New("caller left")
		}
		r.messages, err = m.Encode(r.messages)
		if err != nil {
			return r, err
		}
		switch m.(type) {
		case *pgproto3.Execute:
			r.statements++
		case *pgproto3.Query:
			r.statements++
			return r, nil
		case *pgproto3.Sync:
			return r, nil
		}
	}
}

// handle runs one request. An error ends the caller's connection.
func (c *caller) handle(r request) error {
	ctx, cancel := context.WithTimeout(c.proxy.ctx, queueDeadline)
	defer cancel()
	if c.bucket != nil && !c.bucket.take(ctx, r.statements) {
		return c.refuse(codeRate, "rate exceeded: not run")
	}
	if c.server == nil {
		server, err := c.pool.acquire(ctx)
		if err != nil {
			pgauth.Refuse(c.back, codeTooMany, "no connection to the primary: not run")
			return err
		}
		c.server = server
	}
	if err := c.exchange(r); err != nil {
		c.broken = true
		pgauth.Refuse(c.back, codeConnectionLost, "connection to the primary lost")
		return err
	}
	return c.back.Flush()
}

// refuse answers a request with an error and keeps the connection.
func (c *caller) refuse(code, message string) error {
	status := byte('I')
	if c.server != nil {
		status = c.server.txStatus
	}
	c.back.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message})
	c.back.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return c.back.Flush()
}

// exchange sends the request to the member and queues the answer for the caller.
func (c *caller) exchange(r request) error {
	if err := c.server.net.SetDeadline(time.Now().Add(queryTimeout)); err != nil {
		return err
	}
	if _, err := c.server.net.Write(r.messages); err != nil {
		return err
	}
	for {
		m, err := c.server.front.Receive()
		if err != nil {
			return err
		}
		c.back.Send(m)
		if ready, ok := m.(*pgproto3.ReadyForQuery); ok {
			c.server.txStatus = ready.TxStatus
			return nil
		}
	}
}
