package usage

import (
	"context"
	"time"
)

const (
	// reportRetryDelay is the pause after a report without an answer.
	reportRetryDelay = 700 * time.Millisecond
	// renewDelay is the time between two requests for a higher token.
	renewDelay = time.Second
	// reportTimeout bounds one report. After it there is time for the report of a window that was fixed late.
	reportTimeout = 2 * time.Second
)

// report reports the next fixed window.
func (r *Reporter) report(ctx context.Context) {
	r.mu.Lock()
	h, token := r.currentHolding()
	now := r.o.Boot()
	if h == nil || !h.established || now.Before(h.reportAt) || now.Before(r.turnAt) {
		r.mu.Unlock()
		return
	}
	w, ok := h.ledger.NextReport()
	if !ok {
		r.mu.Unlock()
		return
	}
	if token <= r.rejected {
		r.renewToken(now)
		r.mu.Unlock()
		return
	}
	r.lastReport = now
	h.ledger.Attempted(w.ID)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	result, err := r.o.Sender.Report(ctx, w.ID, w.Counts, token)
	r.recordReport(h, w, token, result, err)
}

// renewToken requests a higher token after a report was rejected. The caller holds r.mu.
func (r *Reporter) renewToken(now time.Time) {
	if now.Before(r.renewAt) {
		return
	}
	r.renewAt = now.Add(renewDelay)
	r.o.Duty.Renew()
}

// recordReport records the outcome of a report.
func (r *Reporter) recordReport(h *holding, w Window, token uint64, result Result, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Boot()
	r.lastReport = now
	r.o.Metrics.Reports.WithLabelValues(result.String()).Inc()
	r.o.Log.Info("reported the usage of a window", "window", w.ID, "customers", len(w.Counts), "operations", w.Total(), "token", token,
		"result", result, "after_end", r.clock.Time(now).Sub(r.o.Settings.End(w.ID)), "error", err)
	switch result {
	case ResultAccepted:
		h.ledger.Reported(w.ID)
		r.o.Metrics.Unreported.Set(float64(len(h.ledger.Progress().Fixed)))
	case ResultRejected:
		r.rejected = max(r.rejected, token)
	default:
		h.reportAt = now.Add(reportRetryDelay)
	}
}
