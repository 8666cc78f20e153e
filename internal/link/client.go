// Package link forwards requests to other instances over a few long-lived streams per instance, each with its own TCP
// connection. The server side of the streams is in package peer.
package link

import (
	"context"
	"hash/maphash"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/certs"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/peer"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

// SQLSTATE codes of results that the link itself creates.
const (
	codeUnavailable    = "57P03"
	codeUnknownOutcome = "08007"
	// codeReadFailed is the code of a read whose answer was lost. A read has no effect, so it is safe to retry.
	codeReadFailed    = "08006"
	codeRolledBack    = "40000"
	codeQueryCanceled = "57014"
	codeLimitExceeded = "54000"
)

// frameOverhead is an upper bound of the size of a frame without messages and statement texts.
const frameOverhead = 1 << 20

const (
	// DefaultStreams is the number of streams to one instance. With more than one, a large answer of one session does
	// not delay all other sessions; each stream takes about 80 KB at either end.
	DefaultStreams = 2
	// DefaultIdle is the time after which a stream without requests and transactions is closed.
	DefaultIdle = time.Minute
	// setupTimeout is the timeout for the first response on a new stream.
	setupTimeout = 2 * time.Second
)

// NextHop returns the instance to which a request from instance from for a home at instance to is sent first.
type NextHop func(from, to instance.ID) instance.ID

// Direct is the NextHop that sends requests directly to the home.
func Direct(_, to instance.ID) instance.ID { return to }

// Options configure links. The zero values of Streams, Idle and Timing select the defaults.
type Options struct {
	// Store holds the certificates for mutual TLS; nil selects plaintext HTTP/2.
	Store   *certs.Store
	Streams int
	Idle    time.Duration
	Timing  peer.Timing
	Log     hclog.Logger
	Metrics *Metrics
}

func (o Options) withDefaults() Options {
	if o.Streams == 0 {
		o.Streams = DefaultStreams
	}
	if o.Idle == 0 {
		o.Idle = DefaultIdle
	}
	if o.Timing == (peer.Timing{}) {
		o.Timing = peer.DefaultTiming()
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	return o
}

// Client runs requests on one other instance. It implements request.Runner. Streams are opened on demand. All requests
// of a session use one stream, and a transaction never continues on another one.
type Client struct {
	id      instance.ID
	address string
	options Options
	seed    maphash.Seed
	slots   []*slot
}

// NewClient returns a client for the instance with the id, whose peer service listens at the address.
func NewClient(id instance.ID, address string, o Options) *Client {
	c := &Client{id: id, address: address, options: o.withDefaults(), seed: maphash.MakeSeed()}
	for range c.options.Streams {
		c.slots = append(c.slots, newSlot(c))
	}
	return c
}

func (c *Client) slot(s request.SessionID) *slot {
	return c.slots[maphash.String(c.seed, string(s))%uint64(len(c.slots))]
}

// Run implements request.Runner. A request whose frame was not completely written has not run. A request that was
// written but has no result when the link ends has an unknown outcome.
func (c *Client) Run(ctx context.Context, r *request.Request, a request.Answer) request.Result {
	if tooLarge(r) {
		return c.notRun(errTooLarge)
	}
	k, err := c.slot(r.Session).begin(ctx, r)
	if err != nil {
		return c.notRun(err)
	}
	if err := k.stream.sendRun(k, r); err != nil {
		k.stream.removeCall(k, false)
		if k.inTransaction {
			err = errTransactionLost
		}
		return c.notRun(err)
	}
	return k.wait(ctx, r, a)
}

// End implements request.Runner.
func (c *Client) End(_ context.Context, g upstream.GroupID, s request.SessionID) {
	if st := c.slot(s).end(s); st != nil {
		st.sendEnd(g, s)
	}
}

// Cancel implements request.Runner.
func (c *Client) Cancel(_ context.Context, g upstream.GroupID, s request.SessionID) {
	if st := c.slot(s).find(s); st != nil {
		st.sendCancel(0, g, s)
	}
}

// Close closes all streams and waits until they have ended.
func (c *Client) Close() {
	for _, s := range c.slots {
		s.close()
	}
}

// notRun returns the result of a request that was not sent.
func (c *Client) notRun(err error) request.Result {
	r := request.Result{
		Outcome: request.OutcomeNotRun,
		Code:    codeUnavailable,
		Message: "not run: " + err.Error(),
		Step:    "link",
		Peer:    string(c.id),
	}
	switch err {
	case errTransactionLost:
		r.Code = codeRolledBack
	case errTooLarge:
		r.Code = codeLimitExceeded
	}
	return r
}

// tooLarge reports whether a request does not fit in a frame. Sending it would end the stream and with it the requests
// of other sessions.
func tooLarge(r *request.Request) bool {
	size := len(r.Messages) + frameOverhead
	for i := range r.Prepared {
		size += len(r.Prepared[i].Query)
	}
	return size > peer.MaxMessageBytes
}
