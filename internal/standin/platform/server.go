// Package platform is a stand-in for the platform's key-value service and instance list. It keeps its state in memory,
// counts calls, and fails as told.
package platform

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	platformv1 "github.com/celerystep/celerystep/gen/celerystep/platform/v1"
	"github.com/celerystep/celerystep/gen/celerystep/platform/v1/platformv1connect"
	"github.com/celerystep/celerystep/internal/platform"
)

// maxRequestBytes is above the value limit, so that a value that is too large gets the service's own error.
const maxRequestBytes = 4 * platform.MaxValueBytes

// Options configure a Server. The zero value is usable.
type Options struct {
	// Address is the host:port to listen on; empty means a free port of 127.0.0.1.
	Address string
	// Clock gives the time; nil means the system clock.
	Clock Clock
	// Instances is the initial instance list.
	Instances []platform.InstanceEntry
}

// Server serves PlatformService over HTTP/1.1 and cleartext HTTP/2.
type Server struct {
	addr  string
	clock Clock
	http  *http.Server
	ended chan struct{}

	mu        sync.Mutex
	store     *store
	directory *directory
	faults    Faults
	calls     map[string]uint64
	waiting   int
	// changed is closed and replaced at each change of the store.
	changed chan struct{}
	// broken is closed and replaced when all waiting watches must fail.
	broken chan struct{}
}

// Start listens and serves until Close.
func Start(o Options) (*Server, error) {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.Clock == nil {
		o.Clock = systemClock{}
	}
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for platform stand-in")
	}
	s := &Server{
		addr:      l.Addr().String(),
		clock:     o.Clock,
		ended:     make(chan struct{}),
		store:     newStore(),
		directory: newDirectory(),
		calls:     make(map[string]uint64),
		changed:   make(chan struct{}),
		broken:    make(chan struct{}),
	}
	for _, row := range o.Instances {
		s.Register(row)
	}
	s.http = &http.Server{Handler: s.handler(), Protocols: protocols()}
	go func() {
		defer close(s.ended)
		_ = s.http.Serve(l)
	}()
	return s, nil
}

func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformv1connect.NewPlatformServiceHandler(&service{s}, connect.WithReadMaxBytes(maxRequestBytes)))
	return mux
}

// Addr returns the host:port that the server listens on.
func (s *Server) Addr() string { return s.addr }

// Close ends all connections and waits for the server.
func (s *Server) Close() error {
	err := s.http.Close()
	<-s.ended
	return err
}

func (s *Server) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) breakWatchesLocked() {
	close(s.broken)
	s.broken = make(chan struct{})
}

// begin counts a call and applies the delay and the outage. After a nil error the caller holds s.mu.
func (s *Server) begin(ctx context.Context, method string) error {
	s.mu.Lock()
	s.calls[method]++
	f := s.faults
	s.mu.Unlock()
	if f.Down {
		return errDown
	}
	if f.Delay > 0 {
		select {
		case <-s.clock.After(f.Delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	s.mu.Lock()
	if s.faults.Down {
		s.mu.Unlock()
		return errDown
	}
	if s.store.expire(s.clock.Now()) {
		s.notifyLocked()
	}
	return nil
}

// finishWriteLocked wakes watches after a write and loses the answer when told to.
func (s *Server) finishWriteLocked() error {
	s.notifyLocked()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return errLost
	}
	return nil
}

// watch waits until the key's revision exceeds after, or until wait has passed. The caller holds s.mu, which is held
// again on return.
func (s *Server) watchLocked(ctx context.Context, key string, after uint64, wait time.Duration) (watchResult, error) {
	s.waiting++
	defer func() { s.waiting-- }()
	broken := s.broken
	timeout := s.clock.After(wait)
	for {
		s.store.expire(s.clock.Now())
		if r := s.look(key, after); r.changed {
			return r, nil
		}
		changed, lapse := s.changed, s.lapse()
		s.mu.Unlock()
		var err error
		ended := false
		select {
		case <-changed:
		case <-lapse:
		case <-timeout:
			ended = true
		case <-broken:
			err = errDown
		case <-ctx.Done():
			err = ctx.Err()
		}
		s.mu.Lock()
		if ended || err != nil {
			return watchResult{}, err
		}
	}
}

type watchResult struct {
	changed, deleted bool
	entry            platform.Entry
}

// look compares the key with the caller's revision. A missing key counts as deleted only for a caller that knew it.
func (s *Server) look(key string, after uint64) watchResult {
	e, err := s.store.get(key)
	if err != nil {
		return watchResult{changed: after > 0, deleted: after > 0}
	}
	return watchResult{changed: e.Revision > after, entry: e}
}

// lapse returns a channel that receives when the first lease lapses; it is nil without leases.
func (s *Server) lapse() <-chan time.Time {
	at := s.store.nextExpiry()
	if at.IsZero() {
		return nil
	}
	return s.clock.After(at.Sub(s.clock.Now()))
}

var (
	errDown       = connect.NewError(connect.CodeUnavailable, errors.New("service is down"))
	errLost       = connect.NewError(connect.CodeUnavailable, errors.New("answer lost"))
	errNoInstance = errors.New("instance id is missing")
)

// wireError maps the port's errors to codes of the connect protocol.
func wireError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrNotFound):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.Is(err, platform.ErrConflict):
		return connect.NewError(connect.CodeAborted, err)
	case errors.Is(err, platform.ErrTooLarge):
		return connect.NewError(connect.CodeOutOfRange, err)
	case errors.Is(err, platform.ErrLeaseExpired):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	default:
		return err
	}
}

func wireEntry(e platform.Entry) *platformv1.Entry {
	return &platformv1.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision}
}
