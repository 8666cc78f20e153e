package fleetlink

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/contain"
)

// errPeerUnresponsive is the cancellation cause of unanswered calls to an unresponsive peer. The peer may have executed them, so
// it is distinct from ErrUnresponsive.
var errPeerUnresponsive = errors.New("peer went silent")

const (
	// probeAfter is how long a call may be unanswered before the peer is probed.
	probeAfter = 250 * time.Millisecond
	// probeTimeout bounds one health probe.
	probeTimeout = 250 * time.Millisecond
	// probeRetryDelay is the pause between two probes of an unresponsive peer.
	probeRetryDelay = 100 * time.Millisecond
	// maxProbeTime bounds the probing of an unresponsive peer. Afterwards calls are allowed again, and a slow one restarts the
	// probing.
	maxProbeTime = 20 * time.Second
)

// health monitors the calls to a peer. A call that takes long triggers a health probe. While the probes fail, calls in flight
// are cancelled and new calls fail immediately.
type health struct {
	identify func(context.Context) error

	mu    sync.Mutex
	state availability
}

// newHealth returns the health of an available peer; identify sends a probe.
func newHealth(identify func(context.Context) error) *health {
	return &health{identify: identify, state: newAvailability()}
}

// startCall starts to monitor a call. The returned context is cancelled when the peer becomes unresponsive. The caller must call
// the returned function at the end of the call.
func (h *health) startCall(ctx context.Context) (context.Context, func(), error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	lost, err := h.state.begin()
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(probeAfter, func() { h.watchSlowCall(ctx, cancel, lost) })
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}, nil
}

// watchSlowCall has the peer probed and cancels the call when the peer is unresponsive, or has been since the call began.
func (h *health) watchSlowCall(ctx context.Context, cancel context.CancelCauseFunc, lost <-chan struct{}) {
	select {
	case <-lost:
		cancel(errPeerUnresponsive)
		return
	default:
	}
	h.suspect()
	select {
	case <-lost:
		cancel(errPeerUnresponsive)
	case <-ctx.Done():
	}
}

// suspect starts probing the peer unless a probe is in progress.
func (h *health) suspect() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.state.suspect() {
		go h.probe()
	}
}

// probe probes the peer until it answers or maxProbeTime has passed, and then allows calls again.
func (h *health) probe() {
	started := time.Now()
	for time.Since(started) < maxProbeTime {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		err := contain.Err(func() error { return h.identify(ctx) })
		cancel()
		if err == nil {
			break
		}
		h.probeFailed(err)
		time.Sleep(probeRetryDelay)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.probingEnded()
}

func (h *health) probeFailed(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.probeFailed(err)
}
