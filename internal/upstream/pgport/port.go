// Package pgport implements the port to a database group over the PostgreSQL protocol, as design section 12 lays it
// down. It keeps at most one status connection to each member, which carries the operations and the status stream.
package pgport

import (
	"context"
	"fmt"
	"maps"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// defaultConnectTimeout bounds the set-up of a connection when the context does not.
	defaultConnectTimeout = 5 * time.Second
	// defaultSilenceLimit is three status intervals: a stream that misses three reports is taken for silent, before
	// the 400 ms after which design section 6 suspects the member itself.
	defaultSilenceLimit = 300 * time.Millisecond
	// defaultIdleTimeout closes a status connection that carries neither a stream nor operations, because connections
	// are scarce.
	defaultIdleTimeout = time.Second
)

// Options configure a Port. The zero value is usable.
type Options struct {
	// User and Database are sent when a connection starts; empty User means celerystep.
	User, Database string
	// Parameters are further start-up parameters of statement connections.
	Parameters map[string]string
	// ConnectTimeout bounds the set-up of a connection; 0 means 5 seconds.
	ConnectTimeout time.Duration
	// SilenceLimit is the time without a report after which a status stream counts as broken; 0 means 300 ms.
	SilenceLimit time.Duration
	// IdleTimeout is the time after which an unused status connection is closed; 0 means one second.
	IdleTimeout time.Duration
}

// Port implements upstream.Port. It is safe for concurrent use.
type Port struct {
	options Options

	mu     sync.Mutex
	closed bool
	links  map[string]*link
}

var _ upstream.Port = (*Port)(nil)

// New returns a port. It connects when it is first used.
func New(o Options) *Port {
	if o.User == "" {
		o.User = "celerystep"
	}
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.SilenceLimit == 0 {
		o.SilenceLimit = defaultSilenceLimit
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	return &Port{options: o, links: make(map[string]*link)}
}

// Close ends all status connections and streams. Statement connections go on.
func (p *Port) Close() {
	p.mu.Lock()
	p.closed = true
	links := maps.Clone(p.links)
	p.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

// link returns the member's link.
func (p *Port) link(m upstream.Member) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[m.Address]
	if l == nil {
		l = newLink(p, m)
		p.links[m.Address] = l
		if p.closed {
			l.close()
		}
	}
	return l
}

// Status asks the member for its present status. Because it changes nothing, a refused or reset connection is
// reported as upstream.ErrRefused.
func (p *Port) Status(ctx context.Context, m upstream.Member) (upstream.MemberStatus, error) {
	return p.link(m).operate(ctx, "status", true, "SELECT group_status()")
}

// Claim makes the member accept the home and drop the connections of lower generations.
func (p *Port) Claim(ctx context.Context, m upstream.Member, c upstream.Claim) (upstream.MemberStatus, error) {
	return p.link(m).operate(ctx, "claim", false,
		fmt.Sprintf("SELECT group_claim(%d, %s)", c.Generation, quote(string(c.Owner))))
}

// Fence makes the member accept the term and stop leading or following in any lower one.
func (p *Port) Fence(
	ctx context.Context, m upstream.Member, t position.Term, owner instance.ID,
) (upstream.MemberStatus, error) {
	return p.link(m).operate(ctx, "fence", false, fmt.Sprintf("SELECT group_fence(%d, %s)", t, quote(string(owner))))
}

// Promote makes the member primary of exactly the term it was fenced with by the same owner.
func (p *Port) Promote(
	ctx context.Context, m upstream.Member, t position.Term, owner instance.ID,
) (upstream.MemberStatus, error) {
	return p.link(m).operate(ctx, "promote", false,
		fmt.Sprintf("SELECT group_promote(%d, %s)", t, quote(string(owner))))
}

// Follow makes the member a replica of primary in the term, dropping log records that primary does not have.
func (p *Port) Follow(
	ctx context.Context, m upstream.Member, t position.Term, owner instance.ID, primary upstream.Member,
) (upstream.MemberStatus, error) {
	return p.link(m).operate(ctx, "follow", false,
		fmt.Sprintf("SELECT group_follow(%d, %s, %s)", t, quote(string(primary.ID)), quote(string(owner))))
}

// Watch calls f with each status of the member until ctx ends or the stream breaks. Reports that arrive while f runs
// are merged into the latest. A stream that was refused, reset or closed by the member gives upstream.ErrRefused, a
// silent one upstream.ErrUnreachable.
func (p *Port) Watch(ctx context.Context, m upstream.Member, f func(upstream.MemberStatus)) error {
	return p.link(m).watch(ctx, f)
}

// Dial opens a connection for statements under the claim. The result is a *Conn.
func (p *Port) Dial(ctx context.Context, m upstream.Member, c upstream.Claim) (upstream.Conn, error) {
	parameters := map[string]string{"celerystep.home": string(c.Owner) + "/" + strconv.FormatUint(c.Generation, 10)}
	maps.Copy(parameters, p.options.Parameters)
	conn, err := p.connect(ctx, m, "dial", parameters)
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// Terminate makes the member close a statement connection by its process id, so that one that went silent gives back its
// place and can commit nothing any more. It is no error when the connection has ended before.
func (p *Port) Terminate(ctx context.Context, m upstream.Member, pid uint32) error {
	_, err := p.link(m).query(ctx, "terminate", false, fmt.Sprintf("SELECT pg_terminate_backend(%d)", pid))
	return err
}

// connect opens a connection and performs its start. Nothing but the start has been sent when it fails.
func (p *Port) connect(
	ctx context.Context, m upstream.Member, step string, parameters map[string]string,
) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.ConnectTimeout)
	defer cancel()
	all := map[string]string{"user": p.options.User}
	if p.options.Database != "" {
		all["database"] = p.options.Database
	}
	maps.Copy(all, parameters)
	var d net.Dialer
	n, err := d.DialContext(ctx, "tcp", m.Address)
	if err != nil {
		return nil, memberError(startKind(err), step, m, err)
	}
	c := newConn(n, m.Address)
	if err := c.start(ctx, all); err != nil {
		_ = n.Close()
		return nil, memberError(startKind(err), step, m, err)
	}
	return c, nil
}

// quote returns an SQL string literal.
func quote(s string) string {
	out := []byte{'\''}
	for i := range len(s) {
		if s[i] == '\'' {
			out = append(out, '\'')
		}
		out = append(out, s[i])
	}
	return string(append(out, '\''))
}
