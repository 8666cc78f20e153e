// Package netfault provides a TCP relay whose faults are switched by tests: delay, resets, refused connections, and
// silence in either direction.
package netfault

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Direction selects the bytes that a fault applies to.
type Direction uint8

// Directions of the relayed bytes.
const (
	// ToTarget is the direction from the dialing side to the target.
	ToTarget Direction = iota
	// ToClient is the direction from the target to the dialing side.
	ToClient
	directions
)

// Mode says what the relay does with the bytes of one direction.
type Mode uint8

// Modes of a direction.
const (
	// Forward passes bytes on.
	Forward Mode = iota
	// Hold keeps bytes and delivers them when the mode returns to Forward, as TCP does after a short partition.
	Hold
	// Drop accepts bytes and discards them. A connection that lost bytes stays silent in that direction for good,
	// because a stream with a gap must not continue.
	Drop
)

// dialTimeout bounds the connection to the target, which is on the same machine.
const dialTimeout = 5 * time.Second

// Relay forwards TCP connections from its own address to a target.
type Relay struct {
	target string
	addr   string

	mu       sync.Mutex
	listener net.Listener
	refusing bool
	closed   bool
	delay    time.Duration
	modes    [directions]Mode
	pairs    map[*pair]struct{}
	wg       sync.WaitGroup
}

// Start listens on a free port of 127.0.0.1 and relays each connection to target.
func Start(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for relay")
	}
	r := &Relay{target: target, addr: l.Addr().String(), listener: l, pairs: make(map[*pair]struct{})}
	r.wg.Add(1)
	go r.accept(l)
	return r, nil
}

// Addr returns the host:port that the relay listens on. It stays the same over SetRefuse.
func (r *Relay) Addr() string { return r.addr }

// Close stops the relay, resets its connections and waits for its goroutines.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	err := r.closeListenerLocked()
	r.mu.Unlock()
	r.Reset()
	r.wg.Wait()
	return err
}

// SetDelay adds d to each direction of all connections without lowering their throughput.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
	for p := range r.pairs {
		p.setDelay(d)
	}
}

// SetMode switches one direction of all connections, present and future ones.
func (r *Relay) SetMode(d Direction, m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.modes[d] = m
	for p := range r.pairs {
		p.pipes[d].setMode(m)
	}
}

// BlackholeExisting silences the present connections in both directions for good, closings included. New connections
// work.
func (r *Relay) BlackholeExisting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.blackhole()
	}
}

// Reset ends all present connections with a TCP reset on both sides.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.reset()
	}
}

// SetRefuse switches whether new connections are refused. Present connections go on.
func (r *Relay) SetRefuse(on bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on == r.refusing || r.closed {
		return nil
	}
	r.refusing = on
	if on {
		return r.closeListenerLocked()
	}
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		return errors.Wrap(err, "listen again for relay")
	}
	r.listener = l
	r.wg.Add(1)
	go r.accept(l)
	return nil
}

// Connections returns the number of connections that are relayed now.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pairs)
}

func (r *Relay) closeListenerLocked() error {
	if r.listener == nil {
		return nil
	}
	l := r.listener
	r.listener = nil
	return l.Close()
}

func (r *Relay) accept(l net.Listener) {
	defer r.wg.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go r.connect(c.(*net.TCPConn))
	}
}

// connect dials the target for one client. The client sees a reset when the target refuses.
func (r *Relay) connect(client *net.TCPConn) {
	defer r.wg.Done()
	t, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		resetConn(client)
		return
	}
	p := newPair(client, t.(*net.TCPConn))
	if !r.register(p) {
		p.reset()
		return
	}
	p.run()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

func (r *Relay) register(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	for d, m := range r.modes {
		p.pipes[d].setMode(m)
	}
	p.setDelay(r.delay)
	r.pairs[p] = struct{}{}
	return true
}
