package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/link"
	"github.com/celerystep/celerystep/internal/peer"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// linkSessions is the number of sessions that use a link, enough that each of its streams carries some.
	linkSessions = 32
	// linkRequestTimeout bounds a request over a measured link.
	linkRequestTimeout = 5 * time.Second
)

// echo answers each request with its own messages.
type echo struct{}

func (echo) Run(_ context.Context, r *request.Request, a request.Answer) request.Result {
	if _, err := a.Write(r.Messages); err != nil {
		return request.Result{Outcome: request.OutcomeUnknown}
	}
	return request.Result{Outcome: request.OutcomeDone, TxStatus: 'I'}
}

func (echo) End(context.Context, upstream.GroupID, request.SessionID)    {}
func (echo) Cancel(context.Context, upstream.GroupID, request.SessionID) {}

// discard is the answer of a caller that reads nothing.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// linkSlopes measures open links that carry nothing but heartbeats.
func linkSlopes(ctx context.Context, s *Suite) error {
	note := fmt.Sprintf("both ends, %d streams, plaintext HTTP/2", link.DefaultStreams)
	cpu := &series{name: "idle link: processor time", unit: "us/s", per: "link", note: note}
	bytes := &series{name: "idle link: written bytes", unit: "B/s", per: "link", note: note}
	heap := &series{name: "idle link: memory", unit: "B", per: "link", note: note + "; heap and stacks"}
	for _, n := range []int{10, 50, 150} {
		s.Log.Info("links", "links", n)
		err := withLinks(ctx, n, func() error {
			c, b, err := watch(ctx, idleTime)
			cpu.add(n, c)
			bytes.add(n, b)
			heap.add(n, memory())
			return err
		})
		if err != nil {
			return err
		}
	}
	return s.keep(cpu, bytes, heap)
}

// withLinks runs f while n links to one peer service are open on all their streams.
func withLinks(ctx context.Context, n int, f func() error) error {
	h := peer.NewHandler(peer.Services{Runner: echo{}}, peer.DefaultTiming())
	mux := http.NewServeMux()
	h.Mount(mux)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for links")
	}
	server := peer.NewServer(mux, nil, hclog.NewNullLogger())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(ln)
	}()
	defer func() {
		_ = server.Close()
		<-served
		ended, cancel := context.WithCancel(context.WithoutCancel(ctx))
		cancel()
		_ = h.Drain(ended)
	}()
	for i := range n {
		c := link.NewClient(instance.ID(fmt.Sprint("peer-", i)), ln.Addr().String(), link.Options{})
		defer c.Close()
		if err := useLink(ctx, c); err != nil {
			return err
		}
	}
	return f()
}

// useLink sends one request for each of linkSessions sessions.
func useLink(ctx context.Context, c *link.Client) error {
	for i := range linkSessions {
		r := c.Run(ctx, &request.Request{
			Session: request.SessionID(fmt.Sprint("session-", i)), Trace: "0123456789abcdef", Customer: liveCustomer,
			Route: database(0), Group: groupID(0), Kind: request.KindRead, Timeout: linkRequestTimeout,
			Messages: []byte("Q\x00\x00\x00\x0dSELECT 1\x00"),
		}, discard{})
		if r.Outcome != request.OutcomeDone {
			return errors.Errorf("request over a link: %s", r.Message)
		}
	}
	return nil
}
