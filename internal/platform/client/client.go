// Package client reaches the platform's key-value service and instance list over the connect protocol.
package client

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	platformv1 "github.com/celerystep/celerystep/gen/celerystep/platform/v1"
	"github.com/celerystep/celerystep/gen/celerystep/platform/v1/platformv1connect"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/platform"
)

const (
	// defaultTimeout bounds a call. The service answers in milliseconds, so a second means that it is down or slow.
	defaultTimeout = time.Second
	// defaultWatchWait is the time that one waiting watch lasts; design section 10 renews it each 30 s.
	defaultWatchWait = 30 * time.Second
	// maxIdleConnections keeps few connections open, so that few have to time out after they went silent.
	maxIdleConnections = 2
	// idleTimeout closes connections that the client does not need any more.
	idleTimeout = 10 * time.Second
)

// Options configure a Client.
type Options struct {
	// Address is the host:port of the service.
	Address string
	// Timeout bounds each call but Watch; 0 means one second.
	Timeout time.Duration
	// WatchWait is the time after which a waiting watch is renewed; 0 means 30 seconds.
	WatchWait time.Duration
}

// Client implements platform.Store and platform.Directory. It is safe for concurrent use. Calls use HTTP/1.1: a call
// that times out takes only its own connection down, and the next one gets another.
type Client struct {
	rpc       platformv1connect.PlatformServiceClient
	transport *http.Transport
	timeout   time.Duration
	watchWait time.Duration
}

var (
	_ platform.Store     = (*Client)(nil)
	_ platform.Directory = (*Client)(nil)
)

// New returns a client. It connects on the first call.
func New(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.WatchWait == 0 {
		o.WatchWait = defaultWatchWait
	}
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: o.Timeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{
		rpc:       platformv1connect.NewPlatformServiceClient(&http.Client{Transport: t}, "http://"+o.Address),
		transport: t,
		timeout:   o.Timeout,
		watchWait: o.WatchWait,
	}
}

// Close closes idle connections. Running calls go on.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// call runs one unary call with the timeout and maps its error.
func call[Q, R any](
	ctx context.Context, timeout time.Duration, step string,
	f func(context.Context, *connect.Request[Q]) (*connect.Response[R], error), q *Q,
) (*R, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := f(bounded, connect.NewRequest(q))
	if err != nil {
		return nil, portError(step, err)
	}
	return r.Msg, nil
}

// portError maps a code that the service itself sent to the port's error. Every other error leaves open whether a
// write took effect.
func portError(step string, err error) error {
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		// The service learns the deadline from the call and may report its end before the context here has ended.
		return errors.Wrap(context.DeadlineExceeded, "platform "+step)
	}
	if !connect.IsWireError(err) {
		return errors.Wrap(err, "platform "+step)
	}
	switch connect.CodeOf(err) {
	case connect.CodeNotFound:
		return errors.Wrap(platform.ErrNotFound, step)
	case connect.CodeAborted:
		return errors.Wrap(platform.ErrConflict, step)
	case connect.CodeOutOfRange:
		return errors.Wrap(platform.ErrTooLarge, step)
	case connect.CodeFailedPrecondition:
		return errors.Wrap(platform.ErrLeaseExpired, step)
	default:
		return errors.Wrap(err, "platform "+step)
	}
}

func entryOf(e *platformv1.Entry) platform.Entry {
	return platform.Entry{Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision()}
}

// Get returns the entry or platform.ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (platform.Entry, error) {
	r, err := call(ctx, c.timeout, "get", c.rpc.Get, &platformv1.GetRequest{Key: key})
	if err != nil {
		return platform.Entry{}, err
	}
	return entryOf(r.GetEntry()), nil
}

// List returns at most limit entries whose key has the prefix.
func (c *Client) List(ctx context.Context, prefix string, limit int) ([]platform.Entry, error) {
	q := &platformv1.ListRequest{Prefix: prefix, Limit: uint32(max(limit, 0))}
	r, err := call(ctx, c.timeout, "list", c.rpc.List, q)
	if err != nil {
		return nil, err
	}
	out := make([]platform.Entry, 0, len(r.GetEntries()))
	for _, e := range r.GetEntries() {
		out = append(out, entryOf(e))
	}
	return out, nil
}

// CompareAndSwap stores the value when the revision matches. A value above platform.MaxValueBytes is refused here.
func (c *Client) CompareAndSwap(
	ctx context.Context, key string, expected uint64, value []byte, lease platform.LeaseID,
) (platform.Entry, error) {
	if len(value) > platform.MaxValueBytes {
		return platform.Entry{}, errors.Wrap(platform.ErrTooLarge, "compare and swap")
	}
	q := &platformv1.CompareAndSwapRequest{
		Key: key, ExpectedRevision: expected, Value: value, LeaseId: uint64(lease),
	}
	r, err := call(ctx, c.timeout, "compare and swap", c.rpc.CompareAndSwap, q)
	if err != nil {
		return platform.Entry{}, err
	}
	return entryOf(r.GetEntry()), nil
}

// Delete removes the key when the revision matches.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) error {
	q := &platformv1.DeleteRequest{Key: key, ExpectedRevision: expected}
	_, err := call(ctx, c.timeout, "delete", c.rpc.Delete, q)
	return err
}

// Watch waits until the key's revision exceeds after, renewing the waiting call as needed.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (platform.Entry, error) {
	q := &platformv1.WatchRequest{
		Key: key, AfterRevision: after, WaitMs: uint32(c.watchWait.Milliseconds()),
	}
	for {
		r, err := call(ctx, c.watchWait+c.timeout, "watch", c.rpc.Watch, q)
		switch {
		case ctx.Err() != nil:
			return platform.Entry{}, ctx.Err()
		case err != nil:
			return platform.Entry{}, err
		case r.GetDeleted():
			return platform.Entry{}, errors.Wrap(platform.ErrNotFound, "watch")
		case r.GetChanged():
			return entryOf(r.GetEntry()), nil
		}
	}
}

// GrantLease creates a lease that lapses after ttl, in steps of a millisecond.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	q := &platformv1.GrantLeaseRequest{TtlMs: uint32(ttl.Milliseconds())}
	r, err := call(ctx, c.timeout, "grant lease", c.rpc.GrantLease, q)
	if err != nil {
		return 0, err
	}
	return platform.LeaseID(r.GetLeaseId()), nil
}

// KeepAlive extends the lease or returns platform.ErrLeaseExpired.
func (c *Client) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	q := &platformv1.KeepAliveRequest{LeaseId: uint64(id)}
	_, err := call(ctx, c.timeout, "keep alive", c.rpc.KeepAlive, q)
	return err
}

// Instances returns the list as the platform sees it now.
func (c *Client) Instances(ctx context.Context) ([]platform.InstanceEntry, error) {
	r, err := call(ctx, c.timeout, "instances", c.rpc.Instances, new(platformv1.InstancesRequest))
	if err != nil {
		return nil, err
	}
	out := make([]platform.InstanceEntry, 0, len(r.GetInstances()))
	for _, i := range r.GetInstances() {
		out = append(out, platform.InstanceEntry{
			Info: instance.Info{
				ID:            instance.ID(i.GetId()),
				FailureDomain: instance.FailureDomain(i.GetFailureDomain()),
				PeerAddress:   i.GetPeerAddress(),
				CallerAddress: i.GetCallerAddress(),
			},
			Leaving: i.GetLeaving(),
		})
	}
	return out, nil
}
