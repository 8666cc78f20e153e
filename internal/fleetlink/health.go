package fleetlink

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// errSilent ends the calls that a peer left unanswered. They may have been carried out, so it is none of the errors that
// say the opposite.
var errSilent = errors.New("peer went silent")

const (
	// suspectAfter is how long a call may be unanswered before the peer is asked for a sign of life.
	suspectAfter = 250 * time.Millisecond
	// identifyTimeout bounds that question.
	identifyTimeout = 250 * time.Millisecond
	// downGap is the time between two questions to a peer that does not answer.
	downGap = 100 * time.Millisecond
	// maxDown is how long a peer without callers is asked.
	maxDown = 20 * time.Second
)

// health finds out whether a peer answers, from its calls and, when one takes long, from a question. Calls to a peer that
// does not answer end at once.
type health struct {
	identify func(context.Context) error

	mu sync.Mutex
	// down is the error of new calls while the peer does not answer: ErrDown or ErrRefused.
	down     error
	checking bool
	// lost is closed when the peer is found not to answer; it is replaced when it answers again.
	lost chan struct{}
}

// begin notes a call. The returned context ends when the peer is found not to answer; done must be called.
func (h *health) begin(ctx context.Context) (context.Context, func(), error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down != nil {
		return nil, nil, h.down
	}
	if h.lost == nil {
		h.lost = make(chan struct{})
	}
	ctx, cancel := context.WithCancelCause(ctx)
	lost := h.lost
	timer := time.AfterFunc(suspectAfter, func() {
		h.check()
		select {
		case <-lost:
			cancel(errSilent)
		case <-ctx.Done():
		}
	})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}, nil
}

// check asks the peer for a sign of life, unless that is under way.
func (h *health) check() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.checking {
		return
	}
	h.checking = true
	go h.ask()
}

// ask asks until the peer answers.
func (h *health) ask() {
	started := time.Now()
	for time.Since(started) < maxDown {
		ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
		err := h.identify(ctx)
		cancel()
		if err == nil {
			break
		}
		h.setDown(err)
		time.Sleep(downGap)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checking, h.down = false, nil
}

func (h *health) setDown(cause error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down == nil {
		close(h.lost)
		h.lost = nil
	}
	h.down = ErrUnresponsive
	if errors.Is(cause, ErrConnectionRefused) {
		h.down = ErrConnectionRefused
	}
}
