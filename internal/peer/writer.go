package peer

// writerQueue is the number of frames that wait for the writer of a stream before senders block.
const writerQueue = 256

// writer sends the frames of a stream from one goroutine, so that frames that wait together are flushed together.
type writer[T any] struct {
	queue chan T
	// done is closed when no frame is sent any more; closing asks the writer to stop after the queued frames.
	done    chan struct{}
	closing chan struct{}
	send    func(frame T, more bool) error
}

func newWriter[T any](send func(frame T, more bool) error) *writer[T] {
	return &writer[T]{
		queue:   make(chan T, writerQueue),
		done:    make(chan struct{}),
		closing: make(chan struct{}),
		send:    send,
	}
}

// put queues a frame. It is dropped when the stream has failed.
func (w *writer[T]) put(frame T) {
	select {
	case w.queue <- frame:
	case <-w.done:
	}
}

// close makes run return after the queued frames. No frame may be put afterwards.
func (w *writer[T]) close() { close(w.closing) }

// run sends frames until close or the first error.
func (w *writer[T]) run() {
	defer close(w.done)
	for {
		select {
		case f := <-w.queue:
			if w.send(f, len(w.queue) > 0) != nil {
				return
			}
		case <-w.closing:
			w.drain()
			return
		}
	}
}

func (w *writer[T]) drain() {
	for len(w.queue) > 0 {
		if w.send(<-w.queue, len(w.queue) > 0) != nil {
			return
		}
	}
}
