package usage

import (
	"strconv"
	"time"
)

// skewTime is how long the clocks of the fleet must differ from the holder's before the holder corrects its own. After a pause of its
// process the first deliveries are old, and seem to come from clocks that are behind.
const skewTime = 6 * time.Second

// holding is the state of the duty at its holder.
type holding struct {
	// id identifies the ledger in deliveries.
	id     string
	since  time.Time
	ledger *Ledger
	votes  Votes
	// median is how far the clock of the fleet is ahead of this process's, clocks the number of clocks that were compared.
	median time.Duration
	clocks int
	// skewedSince is the time since which the clocks of the fleet differ from this process's; zero if they agree.
	skewedSince time.Time
	// token is the present fencing token.
	token uint64
	// loaded is true once the stored state has been merged, established once this process has stored under the present token that it
	// holds the duty.
	loaded      bool
	established bool
	revision    uint64
	// saved is the number of changes of the ledger at the last checkpoint, savedAt its time.
	saved   uint64
	savedAt time.Time
	// retryAt is the earliest time of the next call to the store, retryDelay the pause after the last failure.
	retryAt    time.Time
	retryDelay time.Duration
	// claimLost is the token of a claim that the store no longer holds.
	claimLost uint64
	// reportAt is the earliest time of the next report after one without an answer.
	reportAt time.Time
}

// currentHolding returns the state of the duty if this process holds it, and the present token. The caller holds r.mu.
func (r *Reporter) currentHolding() (*holding, uint64) {
	holder := r.o.Duty.Holder()
	if !holder.Mine {
		if r.holding != nil {
			r.o.Log.Info("lost the duty to report usage", "holder", holder.Address, "claim", holder.Token)
			r.holding = nil
			r.o.Metrics.Holder.Set(0)
			r.o.Metrics.Unreported.Set(0)
		}
		return nil, 0
	}
	if r.holding == nil {
		now := r.o.Boot()
		id := r.o.Self.Process + "/" + strconv.FormatInt(now.UnixNano(), 36)
		r.holding = &holding{id: id, since: now, ledger: NewLedger(r.o.Settings)}
		r.o.Metrics.Holder.Set(1)
		r.o.Log.Info("holds the duty to report usage", "claim", holder.Token)
	}
	if h := r.holding; h.token != holder.Token {
		// Another process may have held the duty since the last call.
		h.token, h.established = holder.Token, false
	}
	return r.holding, holder.Token
}

// Receive adds the counts of a process to the ledger if this process holds the duty.
func (r *Reporter) Receive(d Delivery) Receipt {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, _ := r.currentHolding()
	if h == nil || !h.loaded {
		return Receipt{NotHolder: true}
	}
	boot := r.o.Boot()
	now := r.clock.Time(boot)
	receipt := Receipt{Interval: r.o.Settings.interval(h.ledger.Sources()), FixedThrough: h.ledger.Progress().FixedThrough}
	ahead := d.At.Sub(now)
	if d.From != r.o.Self {
		h.votes.Add(d.From.Instance, ahead, boot)
	}
	if ahead.Abs() > maxSkew && (h.median-ahead).Abs() > maxSkew {
		if h.clocks >= minVotes || boot.Sub(h.since) > r.fixDelay(h) {
			receipt.Shift = h.median - ahead
		}
		return receipt
	}
	receipt.Ledger = h.id
	r.countLate(h.ledger.Add(d.From, d.Through, d.Windows), d.From)
	return receipt
}

// countLate records operations that are in no report.
func (r *Reporter) countLate(n uint64, from Source) {
	if n == 0 {
		return
	}
	r.o.Metrics.Late.Add(float64(n))
	r.o.Log.Warn("usage counts came after their window was fixed", "operations", n, "instance", from.Instance, "process", from.Process)
}

// fixDelay is the time after which all instances have delivered their counts to a new holder.
func (r *Reporter) fixDelay(h *holding) time.Duration {
	return r.o.Settings.interval(h.ledger.Sources()) + settleMargin
}

// agreeOnTime reports whether this process's clock agrees with the fleet's, and corrects it when they have differed for some time. The
// caller holds r.mu.
func (r *Reporter) agreeOnTime(h *holding, now time.Time) bool {
	h.median, h.clocks = h.votes.Median(now)
	switch {
	case h.median.Abs() <= maxSkew:
		h.skewedSince = time.Time{}
		return true
	case h.skewedSince.IsZero():
		h.skewedSince = now
		r.o.Log.Warn("the clocks of the fleet differ from this one", "median", h.median, "clocks", h.clocks)
	case now.Sub(h.skewedSince) >= skewTime:
		r.shiftClock(h.median)
		h.ledger.Drop(r.o.Self)
		h.votes, h.median, h.clocks, h.skewedSince = Votes{}, 0, 1, time.Time{}
	}
	return false
}
