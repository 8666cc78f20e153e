package netfault

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// chunkBytes is the read size of the relay.
	chunkBytes = 32 << 10
	// queueChunks bounds the chunks that wait for their delay in one direction; a full queue pushes back on the sender.
	queueChunks = 1024
)

// pair is one relayed connection.
type pair struct {
	client, target *net.TCPConn
	pipes          [directions]*pipe
	done           chan struct{}
	once           sync.Once
}

func newPair(client, target *net.TCPConn) *pair {
	p := &pair{client: client, target: target, done: make(chan struct{})}
	p.pipes[ToTarget] = newPipe(client, target, p.done)
	p.pipes[ToClient] = newPipe(target, client, p.done)
	return p
}

// run relays both directions and returns when the connection has ended.
func (p *pair) run() {
	var wg sync.WaitGroup
	for _, x := range p.pipes {
		wg.Go(x.read)
		wg.Go(x.write)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		<-p.pipes[ToTarget].ended
		<-p.pipes[ToClient].ended
	}()
	select {
	case <-ended:
		p.stop()
	case <-p.done:
	}
	_ = p.client.Close()
	_ = p.target.Close()
	wg.Wait()
	<-ended
}

func (p *pair) stop() { p.once.Do(func() { close(p.done) }) }

func (p *pair) reset() {
	resetConn(p.client)
	resetConn(p.target)
	p.stop()
}

func (p *pair) setDelay(d time.Duration) {
	for _, x := range p.pipes {
		x.setDelay(d)
	}
}

func (p *pair) blackhole() {
	for _, x := range p.pipes {
		x.blackhole()
	}
}

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// chunk is a piece of the stream with the time at which it may be delivered. One with err set marks its end: io.EOF for
// an orderly closing, any other error for a reset.
type chunk struct {
	data []byte
	err  error
	due  time.Time
}

// pipe relays one direction.
type pipe struct {
	from, to *net.TCPConn
	queue    chan chunk
	done     chan struct{}
	ended    chan struct{}

	mu      sync.Mutex
	mode    Mode
	silent  bool
	delay   time.Duration
	changed chan struct{}
}

func newPipe(from, to *net.TCPConn, done chan struct{}) *pipe {
	return &pipe{
		from: from, to: to, done: done,
		queue:   make(chan chunk, queueChunks),
		ended:   make(chan struct{}),
		changed: make(chan struct{}),
	}
}

func (x *pipe) setMode(m Mode) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.mode = m
	close(x.changed)
	x.changed = make(chan struct{})
}

func (x *pipe) setDelay(d time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.delay = d
}

// blackhole silences the pipe for good.
func (x *pipe) blackhole() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.silent = true
	close(x.changed)
	x.changed = make(chan struct{})
}

// read takes bytes from the source and queues them with their delivery time.
func (x *pipe) read() {
	defer close(x.queue)
	for {
		buf := make([]byte, chunkBytes)
		n, err := x.from.Read(buf)
		if n > 0 && !x.enqueue(chunk{data: buf[:n]}) {
			return
		}
		if err != nil {
			x.enqueue(chunk{err: err})
			return
		}
	}
}

func (x *pipe) enqueue(c chunk) bool {
	x.mu.Lock()
	c.due = time.Now().Add(x.delay)
	x.mu.Unlock()
	select {
	case x.queue <- c:
		return true
	case <-x.done:
		return false
	}
}

// write delivers queued chunks until the source has ended, and passes the end on.
func (x *pipe) write() {
	defer close(x.ended)
	for c := range x.queue {
		if !x.sleepUntil(c.due) {
			return
		}
		deliver, ok := x.admit()
		if !ok {
			return
		}
		if !deliver {
			if c.err != nil {
				// The end of a silent connection is not passed on: the other side must notice by itself.
				<-x.done
				return
			}
			continue
		}
		if c.err != nil {
			x.end(c.err)
			return
		}
		if _, err := x.to.Write(c.data); err != nil {
			return
		}
	}
}

func (x *pipe) end(err error) {
	if errors.Is(err, io.EOF) {
		_ = x.to.CloseWrite()
		return
	}
	resetConn(x.to)
}

func (x *pipe) sleepUntil(due time.Time) bool {
	d := time.Until(due)
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-x.done:
		return false
	}
}

// admit waits while the pipe holds and reports whether the next chunk is delivered, and false at the end of the pair.
func (x *pipe) admit() (deliver, ok bool) {
	for {
		x.mu.Lock()
		if x.silent || x.mode == Drop {
			x.silent = true
			x.mu.Unlock()
			return false, true
		}
		mode, changed := x.mode, x.changed
		x.mu.Unlock()
		if mode == Forward {
			return true, true
		}
		select {
		case <-changed:
		case <-x.done:
			return false, false
		}
	}
}
