package peer

import (
	"sync"
	"sync/atomic"
)

// writer lets many goroutines send frames on one stream, one at a time. A goroutine of its own that drains a channel was
// measured as no faster alone or under load (docs/decisions/0007).
type writer[T any] struct {
	waiting atomic.Int32
	mu      sync.Mutex
	stopped bool
	// send writes a frame. more is true when another sender waits, so that the flush can be left to it.
	send func(frame T, more bool) error
}

// put sends a frame. It is dropped when the stream has failed or was stopped.
func (w *writer[T]) put(frame T) {
	w.waiting.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	more := w.waiting.Add(-1) > 0
	if !w.stopped {
		w.stopped = w.send(frame, more) != nil
	}
}

// stop waits for a sender and makes put drop all further frames. The stream's handler must not return before.
func (w *writer[T]) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
}
