package fleetlink

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
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

// health tracks whether a peer is responsive. A call that takes long triggers a health probe. While the probes fail, calls in
// flight are cancelled and new calls fail immediately.
type health struct {
	identify func(context.Context) error

	mu sync.Mutex
	// unavailable is the error of new calls while the peer is unresponsive: ErrUnresponsive or ErrConnectionRefused.
	unavailable error
	probing     bool
	// lost is closed when the peer becomes unresponsive. It is replaced by the first call after its recovery.
	lost chan struct{}
}

// startCall starts to monitor a call. The returned context is cancelled when the peer becomes unresponsive. The caller must call
// the returned function at the end of the call.
func (h *health) startCall(ctx context.Context) (context.Context, func(), error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unavailable != nil {
		return nil, nil, h.unavailable
	}
	if h.lost == nil {
		h.lost = make(chan struct{})
	}
	ctx, cancel := context.WithCancelCause(ctx)
	lost := h.lost
	timer := time.AfterFunc(probeAfter, func() {
		h.startProbe()
		select {
		case <-lost:
			cancel(errPeerUnresponsive)
		case <-ctx.Done():
		}
	})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}, nil
}

// startProbe starts probing the peer unless a probe is in progress.
func (h *health) startProbe() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.probing {
		return
	}
	h.probing = true
	go h.probe()
}

// probe probes the peer until it answers or maxProbeTime has passed, and then allows calls again.
func (h *health) probe() {
	started := time.Now()
	for time.Since(started) < maxProbeTime {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		err := h.identify(ctx)
		cancel()
		if err == nil {
			break
		}
		h.markUnavailable(err)
		time.Sleep(probeRetryDelay)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probing, h.unavailable = false, nil
}

// markUnavailable cancels the calls in flight and makes new calls fail.
func (h *health) markUnavailable(cause error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unavailable == nil {
		close(h.lost)
		h.lost = nil
	}
	h.unavailable = ErrUnresponsive
	if errors.Is(cause, ErrConnectionRefused) {
		h.unavailable = ErrConnectionRefused
	}
}
