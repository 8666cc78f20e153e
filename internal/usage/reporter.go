package usage

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/celerystep/celerystep/internal/boottime"
	"github.com/celerystep/celerystep/internal/ctxtime"
)

// Store keeps the state of the ledger under one key.
type Store interface {
	// Load returns the stored state and its revision; revision 0 if there is none.
	Load(ctx context.Context) (value []byte, revision uint64, err error)
	// Save replaces the state of the given revision while the claim with the token is in force, and returns the new revision. It
	// returns a *ConflictError or ErrClaimLost if it wrote nothing for one of these reasons. After another error the write may
	// take effect later.
	Save(ctx context.Context, value []byte, revision, token uint64) (uint64, error)
}

// ConflictError reports that the store holds another state than expected.
type ConflictError struct {
	Value    []byte
	Revision uint64
}

// Error implements error.
func (e *ConflictError) Error() string { return "the stored usage has changed" }

// ErrClaimLost reports that the claim which the duty belongs to is not in force any more.
var ErrClaimLost = errors.New("the claim of the duty has changed")

// Holder is the process that holds the duty to report, the owner of a certain group.
type Holder struct {
	// Address is empty if no process holds the duty.
	Address string
	// Mine is true if it is this process.
	Mine bool
	// Token is the revision of the claim, which serves as the fencing token.
	Token uint64
}

// Duty tells who holds the duty to report.
type Duty interface {
	Holder() Holder
	// Renew requests a higher token for this process. It does not wait for it.
	Renew()
}

// Peers delivers counts to other instances.
type Peers interface {
	ReportUsage(ctx context.Context, address string, d Delivery) (Receipt, error)
}

// Result is the outcome of a report.
type Result uint8

// Results of a report.
const (
	// ResultUnknown: the report may take effect later.
	ResultUnknown Result = iota
	// ResultAccepted: the report has been accepted.
	ResultAccepted
	// ResultRejected: a higher fencing token was seen.
	ResultRejected
)

// String returns the name that logs and metrics use.
func (r Result) String() string { return [...]string{"unknown", "accepted", "rejected"}[r] }

// Sender sends reports to the service that takes them.
type Sender interface {
	// Report reports the counts of a window under the fencing token. The result is ResultUnknown if there is an error.
	Report(ctx context.Context, id WindowID, counts Counts, token uint64) (Result, error)
}

// Options holds the settings and dependencies of a Reporter.
type Options struct {
	Settings Settings
	Self     Source
	Store    Store
	Duty     Duty
	Peers    Peers
	Sender   Sender
	Boot     boottime.Clock
	// Wall reads the wall clock. It is followed only when the process starts.
	Wall    func() time.Time
	Log     hclog.Logger
	Metrics *Metrics
}

// Reporter counts the operations of this process, delivers the counts to the holder of the duty, and reports the windows of the fleet
// while this process is the holder.
type Reporter struct {
	o       Options
	clock   *Clock
	counter *Counter
	started time.Time

	mu sync.Mutex
	// holding is the state of the duty while this process holds it.
	holding *holding
	// lastReport is when this process last called the service; zero if it never has.
	lastReport time.Time
	// turnAt is the earliest time of the next report after another holder may have acted.
	turnAt time.Time
	// rejected is the highest token with which a report was rejected, renewAt the earliest time of the next request for a higher one.
	rejected uint64
	renewAt  time.Time

	delivery deliveryState
	// wallStepped is true while the wall clock differs from the clock. It is used by one goroutine.
	wallStepped bool
}

// deliveryState is the sender's side of deliveries.
type deliveryState struct {
	// ledger and sequence are the ledger that has accepted this process's counts and the counter's sequence up to which it has.
	ledger   string
	sequence uint64
	// through is the time up to which the accepted counts are complete.
	through  time.Time
	interval time.Duration
	failing  bool
}

const (
	// ledgerInterval is the time between two checks for windows to fix, reportInterval between two checks for windows to report.
	ledgerInterval = 250 * time.Millisecond
	reportInterval = 100 * time.Millisecond
	// deliveryTimeout bounds one delivery.
	deliveryTimeout = time.Second
	// maxShiftRoundTrip is the longest round trip after which a correction of the clock is applied.
	maxShiftRoundTrip = 400 * time.Millisecond
	// noticedStep is the difference between the wall clock and the boot clock that is logged.
	noticedStep = 500 * time.Millisecond
)

// NewReporter returns a reporter whose clock agrees with the wall clock at present.
func NewReporter(o Options) *Reporter {
	boot := o.Boot()
	return &Reporter{o: o, clock: NewClock(o.Wall(), boot), counter: NewCounter(o.Settings), started: boot, delivery: deliveryState{interval: minInterval}}
}

// Arrived implements caller.UsageCounter.
func (r *Reporter) Arrived(at time.Time) { r.counter.Arrived(at) }

// Answered implements caller.UsageCounter.
func (r *Reporter) Answered(arrived time.Time, customer string, n uint32, after time.Duration) {
	if n > 0 {
		r.counter.Began(customer, uint64(n), r.clock.Time(arrived.Add(after)))
		r.o.Metrics.Operations.Add(float64(n))
	}
	r.counter.Answered(arrived)
}

// Run delivers and reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	var loops errgroup.Group
	loops.Go(func() error { r.runDeliveries(ctx); return nil })
	loops.Go(func() error { r.repeat(ctx, ledgerInterval, r.updateLedger); return nil })
	loops.Go(func() error { r.repeat(ctx, reportInterval, r.report); return nil })
	return loops.Wait()
}

func (r *Reporter) repeat(ctx context.Context, gap time.Duration, step func(context.Context)) {
	for ctxtime.Sleep(ctx, gap) {
		step(ctx)
	}
}

// runDeliveries delivers counts regularly. Random gaps keep the instances from delivering at the same time.
func (r *Reporter) runDeliveries(ctx context.Context) {
	gap := time.Duration(0)
	for ctxtime.Sleep(ctx, gap) {
		r.checkWallClock()
		r.Deliver(ctx)
		interval := r.deliveryState().interval
		gap = interval*9/10 + rand.N(interval/5)
	}
}

func (r *Reporter) deliveryState() deliveryState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delivery
}

// Close delivers the last counts of this process and, at the holder, stores them.
func (r *Reporter) Close(ctx context.Context) {
	r.Deliver(ctx)
	r.mu.Lock()
	h, _ := r.currentHolding()
	if h != nil {
		h.savedAt = time.Time{}
	}
	r.mu.Unlock()
	r.updateLedger(ctx)
}
