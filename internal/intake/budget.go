package intake

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
)

var (
	// ErrExhausted reports that the budget has no room for the bytes of a client.
	ErrExhausted = errors.New("the memory for clients is exhausted")
	// ErrEvicted reports that the connection was closed to free memory.
	ErrEvicted = errors.New("the connection was closed because of a limit")
)

const (
	// watchInterval is the interval between two checks of the progress of all connections.
	watchInterval = time.Second
	// stalledTicks is the number of checks without progress after which a connection counts as stalled under pressure.
	stalledTicks = 2
	// pressureWait is how long a client waits for memory before the heaviest connection is closed, chargeTimeout how long it waits in all.
	pressureWait, chargeTimeout = time.Second, 5 * time.Second
	// retryInterval bounds the wait for released bytes.
	retryInterval = 50 * time.Millisecond
	// ordinaryBytes is what a session may hold without ever being closed under pressure.
	ordinaryBytes = 32 << 10
	// blockedWriteBytes is the kernel memory of a connection whose client does not read.
	blockedWriteBytes = 4 * SocketBufferBytes
)

// phase is what a connection does.
type phase = int32

const (
	phaseIdle phase = iota
	phaseReading
	phaseRunning
	phaseWriting
)

// Budget accounts for the bytes that the process holds for its clients. Small messages are not charged: the limits on sessions and
// calls cover them.
type Budget struct {
	reporter *reporter

	mu    sync.Mutex
	limit int64
	used  int64
	// leaving is the part of used that is held by connections which have been closed.
	leaving  int64
	accounts map[*Account]struct{}
	// freed is closed and replaced when bytes are released.
	freed chan struct{}
}

// NewBudget returns an empty budget.
func NewBudget(limit int64, log hclog.Logger, r prometheus.Registerer) *Budget {
	b := &Budget{reporter: newReporter(log, r), limit: limit, accounts: make(map[*Account]struct{}), freed: make(chan struct{})}
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "celerystep_intake_bytes", Help: "Memory held for large messages and responses."},
			func() float64 { return float64(b.Used()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "celerystep_intake_limit_bytes", Help: "Limit of celerystep_intake_bytes."},
			func() float64 { return float64(limit) }),
	)
	return b
}

// Used returns the number of bytes held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Account is the part of a budget that one connection or call holds. A nil account charges nothing. Its methods, other than
// Close, are used by one goroutine at a time.
type Account struct {
	budget *Budget
	name   string
	// evict closes the connection; nil for those that are never closed under pressure.
	evict func()
	// socketBytes is charged while the client takes nothing of a response. It is 0 for calls, which share connections.
	socketBytes int64
	phase       atomic.Int32
	// moved counts the bytes that were received or taken, messages the messages that were completed.
	moved    atomic.Int64
	messages atomic.Uint32
	// temporary is the part of held that Reset releases.
	temporary int64

	// The rest is guarded by the budget's lock.
	held    int64
	closed  bool
	evicted bool
	waiting bool
	watched progress
}

// Open returns an account; evict closes the connection and must not block.
func (b *Budget) Open(name string, evict func()) *Account {
	return b.open(name, evict, 0)
}

// OpenConn returns the account of a connection, whose socket buffers are charged while its client takes nothing.
func (b *Budget) OpenConn(name string, evict func()) *Account {
	return b.open(name, evict, blockedWriteBytes)
}

func (b *Budget) open(name string, evict func(), socketBytes int64) *Account {
	a := &Account{budget: b, name: name, evict: evict, socketBytes: socketBytes}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[a] = struct{}{}
	return a
}

// Close releases what the account holds.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	delete(b.accounts, a)
	b.release(a, a.held)
}

// release returns bytes to the budget, which is locked.
func (b *Budget) release(a *Account, n int64) {
	if n == 0 {
		return
	}
	a.held -= n
	b.used -= n
	if a.evicted {
		b.leaving -= n
	}
	close(b.freed)
	b.freed = make(chan struct{})
}

// Charge reserves bytes until Reset. While the budget is exhausted it closes other connections and waits, so that the client is not
// read meanwhile.
func (a *Account) Charge(n int64) error {
	if a == nil || n <= 0 {
		return nil
	}
	if err := a.budget.charge(a, n); err != nil {
		return err
	}
	a.temporary += n
	return nil
}

// ChargeResponse records a response that already exists, until Reset. While the budget is exceeded it closes connections at once,
// possibly this one, because waiting would hold the response.
func (a *Account) ChargeResponse(n int64) error {
	if a == nil || n <= 0 {
		return nil
	}
	b := a.budget
	a.phase.Store(phaseWriting)
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed || a.evicted {
		return ErrEvicted
	}
	b.take(a, n)
	a.temporary += n
	for b.relieve(0, true) {
	}
	if a.evicted {
		return ErrEvicted
	}
	return nil
}

// Keep reserves bytes until Close.
func (a *Account) Keep(n int64) error {
	if a == nil {
		return nil
	}
	return a.budget.charge(a, n)
}

// Force records bytes that are already held and cannot be refused, until Release.
func (a *Account) Force(n int64) {
	if a == nil || n == 0 {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.closed {
		b.take(a, n)
		b.relieve(0, false)
	}
}

// Release returns bytes that were recorded by Force.
func (a *Account) Release(n int64) {
	if a == nil || n == 0 {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(a, min(n, a.held))
}

// Refund returns a part of what was charged.
func (a *Account) Refund(n int64) {
	if a == nil {
		return
	}
	n = min(n, a.temporary)
	a.temporary -= n
	a.Release(n)
}

// Reset returns everything that was charged.
func (a *Account) Reset() {
	if a != nil && a.temporary > 0 {
		a.Refund(a.temporary)
	}
}

// take adds bytes to the account. The budget is locked.
func (b *Budget) take(a *Account, n int64) {
	a.held += n
	b.used += n
	if a.evicted {
		b.leaving += n
	}
}

func (b *Budget) charge(a *Account, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.waiting = true
	defer func() { a.waiting = false }()
	var started time.Time
	for b.used+n > b.limit {
		if started.IsZero() {
			started = time.Now()
		}
		waited := time.Since(started)
		// Closing others cannot make room for more than the limit.
		if n <= b.limit {
			b.relieve(n, waited >= pressureWait)
		}
		if a.evicted || a.closed {
			return ErrEvicted
		}
		if n > b.limit || waited >= chargeTimeout {
			b.reporter.limited(CauseExhausted, a.name, a.held)
			return ErrExhausted
		}
		b.await()
	}
	// A closed account would never return the bytes.
	if a.evicted || a.closed {
		return ErrEvicted
	}
	b.take(a, n)
	return nil
}

// await releases the lock until bytes are released, at most for retryInterval.
func (b *Budget) await() {
	freed := b.freed
	b.mu.Unlock()
	defer b.mu.Lock()
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-freed:
	case <-timer.C:
	}
}

// relieve closes connections until n more bytes will fit: those without progress, longest first, and then, if asked to, the
// heaviest. It reports whether it closed the heaviest. The budget is locked.
func (b *Budget) relieve(n int64, heaviest bool) bool {
	for b.used-b.leaving+n > b.limit {
		victim, cause := b.longestStalled(), CauseStalled
		if victim == nil && heaviest {
			victim, cause = b.heaviest(), CauseHeaviest
		}
		if victim == nil {
			return false
		}
		b.evict(victim, cause)
		if cause == CauseHeaviest {
			return true
		}
	}
	return false
}

// evict closes a connection. The budget is locked.
func (b *Budget) evict(a *Account, cause Cause) {
	a.evicted = true
	b.leaving += a.held
	b.reporter.limited(cause, a.name, a.held)
	go a.evict()
}

// evictable reports whether the connection may be closed to free memory. The outcome of a running statement is not given up.
func (a *Account) evictable() bool {
	return a.evict != nil && !a.evicted && a.held > ordinaryBytes && a.phase.Load() != phaseRunning
}

func (b *Budget) longestStalled() *Account {
	var found *Account
	for a := range b.accounts {
		if a.evictable() && !a.waiting && a.watched.still >= stalledTicks && (found == nil || a.watched.still > found.watched.still) {
			found = a
		}
	}
	return found
}

func (b *Budget) heaviest() *Account {
	var found *Account
	for a := range b.accounts {
		if a.evictable() && (found == nil || a.held > found.held) {
			found = a
		}
	}
	return found
}

// progress is what the watch knows of a connection.
type progress struct {
	phase    phase
	moved    int64
	messages uint32
	// still is the number of checks without progress, ticks the number since the message began, from the bytes moved before it.
	still, ticks int
	from         int64
	// blocked is true while socketBytes is charged.
	blocked bool
}

// Watch checks the progress of all connections until ctx ends. No statement sets a timer or reads a clock for it.
func (b *Budget) Watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.tick()
		}
	}
}

func (b *Budget) tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for a := range b.accounts {
		if a.evict == nil || a.evicted {
			continue
		}
		a.observe()
		if cause := a.watched.overdue(); cause != "" {
			b.evict(a, cause)
		}
	}
	b.relieve(0, false)
}

// observe updates the progress of the connection. The budget is locked.
func (a *Account) observe() {
	w := &a.watched
	now, moved, messages := a.phase.Load(), a.moved.Load(), a.messages.Load()
	active := now == phaseReading || now == phaseWriting
	switch {
	case !active || a.waiting || now != w.phase || messages != w.messages:
		w.still, w.ticks, w.from = 0, 0, moved
	default:
		w.ticks++
		w.still++
		if moved != w.moved {
			w.still = 0
		}
	}
	w.phase, w.moved, w.messages = now, moved, messages
	if blocked := now == phaseWriting && w.still > 0; blocked != w.blocked {
		w.blocked = blocked
		if blocked {
			a.budget.take(a, a.socketBytes)
		} else {
			a.budget.release(a, a.socketBytes)
		}
	}
}

// overdue returns the limit that the connection has passed, or "".
func (w *progress) overdue() Cause {
	elapsed := time.Duration(w.ticks) * watchInterval
	switch {
	case w.phase == phaseReading && elapsed > messageGrace && w.moved-w.from < int64(w.ticks)*minMessageRate:
		return CauseMessage
	case w.phase == phaseWriting && time.Duration(w.still)*watchInterval > responseTimeout:
		return CauseResponse
	default:
		return ""
	}
}
