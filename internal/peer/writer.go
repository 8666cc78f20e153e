package peer

import (
	"sync"
	"sync/atomic"
)

// writer serializes the frames that several goroutines send on one stream. A dedicated goroutine that drains a channel
// is not faster, alone or under load (docs/decisions/0007).
type writer[T any] struct {
	waiting atomic.Int32
	mu      sync.Mutex
	stopped bool
	// send writes a frame. more is true if another sender is waiting, so the flush can be left to it.
	send func(frame T, more bool) error
}

// put sends a frame. The frame is dropped if the stream has failed or was stopped.
func (w *writer[T]) put(frame T) {
	w.waiting.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	more := w.waiting.Add(-1) > 0
	if !w.stopped {
		w.stopped = w.send(frame, more) != nil
	}
}

// stop waits for the current sender and makes put drop all further frames. The handler of the stream must not return
// before.
func (w *writer[T]) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
}
