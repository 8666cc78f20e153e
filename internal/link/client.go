// Package link carries requests to another instance over a few long-lived streams, each with a TCP connection of its
// own.
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

// SQLSTATE codes of results that the link itself makes.
const (
	codeUnavailable    = "57P03"
	codeUnknownOutcome = "08007"
	codeRolledBack     = "40000"
	codeQueryCanceled  = "57014"
)

const (
	// DefaultStreams is the number of streams to one instance. More than one keeps the large answer of a session from
	// delaying all others; each takes about 80 KB at either end.
	DefaultStreams = 2
	// DefaultIdle is the time after which a stream without requests and transactions is closed.
	DefaultIdle = time.Minute
	// setupTimeout bounds the time until the first answer on a new stream.
	setupTimeout = 2 * time.Second
)

// NextHop returns the instance that a request for the home at to is sent to first.
type NextHop func(from, to instance.ID) instance.ID

// Direct is the NextHop that goes straight to the home.
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

// Client runs requests on one other instance. It implements request.Runner. Streams are opened on demand. The requests
// of a session go over one stream, and a transaction never continues on another one.
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

// Run implements request.Runner. A request whose frame was not written whole is not run. One that was written and has no
// result when the link ends has an unknown outcome.
func (c *Client) Run(ctx context.Context, r *request.Request, a request.Answer) request.Result {
	k, err := c.slot(r.Session).begin(ctx, r)
	if err != nil {
		return c.notRun(err)
	}
	if err := k.stream.sendRun(k, r); err != nil {
		k.stream.forget(k, false)
		if k.held {
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

// Close ends all streams and waits until they have ended.
func (c *Client) Close() {
	for _, s := range c.slots {
		s.close()
	}
}

// notRun describes a request that did not leave this instance.
func (c *Client) notRun(err error) request.Result {
	r := request.Result{
		Outcome: request.OutcomeNotRun,
		Code:    codeUnavailable,
		Message: "not run: " + err.Error(),
		Step:    "link",
		Peer:    string(c.id),
	}
	if err == errTransactionLost {
		r.Code = codeRolledBack
	}
	return r
}
