package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/celerystep/celerystep/internal/certs"
)

const (
	// dialTimeout is the timeout of a TCP connection attempt to a peer in the same region.
	dialTimeout = 500 * time.Millisecond
	// handshakeTimeout is the timeout of the TLS handshake.
	handshakeTimeout = time.Second
	// idleTimeout is the time without calls after which a connection is closed.
	idleTimeout = time.Minute
)

// Transport is an HTTP/2 connection to a peer, dialled on first use. Abort closes it even while it is in use, which
// http.Transport does not support.
type Transport struct {
	http.RoundTripper
	inner   *http.Transport
	store   *certs.Store
	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	aborted bool
}

// NewTransport returns a transport with mutual TLS, or with plaintext HTTP/2 when store is nil.
func NewTransport(store *certs.Store) *Transport {
	t := &Transport{store: store, conns: make(map[net.Conn]struct{})}
	t.inner = &http.Transport{
		Protocols:          new(http.Protocols),
		DialContext:        t.dial,
		DialTLSContext:     t.dialTLS,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
	}
	t.inner.Protocols.SetHTTP2(store != nil)
	t.inner.Protocols.SetUnencryptedHTTP2(store == nil)
	t.RoundTripper = t.inner
	return t
}

// Scheme returns the URL scheme of the transport.
func (t *Transport) Scheme() string {
	if t.store == nil {
		return "http://"
	}
	return "https://"
}

func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return t.track(c)
}

func (t *Transport) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := t.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secure := tls.Client(c, t.store.ClientConfig("h2"))
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return secure, nil
}

// track registers a connection for Abort to close.
func (t *Transport) track(c net.Conn) (net.Conn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.aborted {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	tracked := &trackedConn{Conn: c, transport: t}
	t.conns[tracked] = struct{}{}
	return tracked, nil
}

// Abort closes all connections immediately. The transport cannot be used afterwards.
func (t *Transport) Abort() {
	t.mu.Lock()
	t.aborted = true
	open := make([]net.Conn, 0, len(t.conns))
	for c := range t.conns {
		open = append(open, c)
	}
	t.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
	t.inner.CloseIdleConnections()
}

// Retire closes the connections once the calls on them have ended.
func (t *Transport) Retire() { t.inner.CloseIdleConnections() }

type trackedConn struct {
	net.Conn
	transport *Transport
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.transport.mu.Lock()
	delete(c.transport.conns, c)
	c.transport.mu.Unlock()
	return c.Conn.Close()
}
