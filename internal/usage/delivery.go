package usage

import (
	"context"
	"time"
)

// checkWallClock logs and measures steps of the wall clock, which are not followed.
func (r *Reporter) checkWallClock() {
	step := r.clock.WallStep(r.o.Wall(), r.o.Boot())
	r.o.Metrics.WallStep.Set(step.Seconds())
	if stepped := step.Abs() >= noticedStep; stepped != r.wallStepped {
		r.wallStepped = stepped
		r.o.Log.Warn("wall clock", "stepped", stepped, "ahead", step, "followed", false)
	}
}

// Deliver sends the counts that the holder does not have to it. It does nothing if there are none and the holder knows that those of
// the past windows are complete.
func (r *Reporter) Deliver(ctx context.Context) {
	for range 2 { // a ledger that lacks earlier counts gets all of them at once
		if again := r.deliverOnce(ctx); !again {
			return
		}
	}
}

// deliverOnce sends one delivery. It returns true if the ledger lacks counts that were left out.
func (r *Reporter) deliverOnce(ctx context.Context) (again bool) {
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	sent := r.deliveryState()
	holder := r.o.Duty.Holder()
	started := r.o.Boot()
	through := r.clock.Time(r.counter.Through(started))
	windows, sequence := r.counter.Since(sent.sequence)
	unchanged := len(windows) == 0 && r.o.Settings.At(through) == r.o.Settings.At(sent.through)
	if unchanged || !holder.Mine && holder.Address == "" {
		return false
	}
	d := Delivery{From: r.o.Self, At: r.clock.Time(started), Through: through, Ledger: sent.ledger, Windows: windows}
	var receipt Receipt
	var err error
	if holder.Mine {
		receipt = r.Receive(d)
	} else {
		receipt, err = r.o.Peers.ReportUsage(ctx, holder.Address, d)
	}
	r.logDelivery(holder, receipt, err)
	if err != nil || receipt.NotHolder {
		return false
	}
	return r.applyReceipt(d, sequence, receipt, r.o.Boot().Sub(started))
}

// applyReceipt records what the holder has accepted.
func (r *Reporter) applyReceipt(d Delivery, sequence uint64, receipt Receipt, roundTrip time.Duration) (again bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if receipt.Shift != 0 {
		if roundTrip <= maxShiftRoundTrip {
			r.shiftClock(receipt.Shift)
		}
		return false
	}
	r.counter.Forget(receipt.FixedThrough)
	s := &r.delivery
	s.interval = max(receipt.Interval, minInterval)
	if d.Ledger != "" && receipt.Ledger != d.Ledger {
		s.ledger, s.sequence = "", 0
		return receipt.Ledger != ""
	}
	if receipt.Ledger != "" {
		s.ledger, s.sequence, s.through = receipt.Ledger, sequence, d.Through
	}
	return false
}

// shiftClock corrects the clock and moves the counts accordingly. The caller holds r.mu.
func (r *Reporter) shiftClock(d time.Duration) {
	r.o.Log.Warn("the clock of this instance differs from the fleet's; it is corrected", "shift", d, "uptime", r.o.Boot().Sub(r.started))
	r.clock.Shift(d)
	r.counter.Shift(d)
	r.delivery.ledger, r.delivery.sequence = "", 0
}

// logDelivery counts a delivery, and logs when deliveries begin to fail or succeed again.
func (r *Reporter) logDelivery(holder Holder, receipt Receipt, err error) {
	result := "accepted"
	switch {
	case err != nil:
		result = "error"
	case receipt.NotHolder:
		result = "not holder"
	case receipt.Ledger == "":
		result = "clock differs"
	}
	r.o.Metrics.Deliveries.WithLabelValues(result).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	if failing := result != "accepted"; failing != r.delivery.failing {
		r.delivery.failing = failing
		r.o.Log.Info("delivery of usage counts", "holder", holder.Address, "mine", holder.Mine, "token", holder.Token, "result", result,
			"fixed_through", receipt.FixedThrough, "error", err)
	}
}
