package usage

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

const (
	// checkpointInterval is the time between two checkpoints while counts change.
	checkpointInterval = 2 * time.Second
	// saveRetryDelay is the pause after a failed call to the store, which doubles up to maxSaveDelay.
	saveRetryDelay = 500 * time.Millisecond
	maxSaveDelay   = 2 * time.Second
	// maxStateBytes bounds the stored state. The limit of the store is 1 MiB.
	maxStateBytes = 1000 << 10
)

// updateLedger loads the state, fixes the windows that are due, and saves a checkpoint when counts have changed.
func (r *Reporter) updateLedger(ctx context.Context) {
	r.mu.Lock()
	h, token := r.currentHolding()
	now := r.o.Boot()
	if h == nil || now.Before(h.retryAt) || token == h.claimLost {
		r.mu.Unlock()
		return
	}
	if !h.loaded {
		r.mu.Unlock()
		r.load(ctx, h)
		return
	}
	var fix []Window
	if agreed := r.agreeOnTime(h, now); agreed && now.Sub(h.since) >= r.fixDelay(h) {
		fix = h.ledger.Due(r.clock.Time(now))
	}
	// Large fleets have large states, which are stored less often.
	gap := max(checkpointInterval, r.o.Settings.interval(h.ledger.Sources()))
	changed := h.ledger.Changes() != h.saved && now.Sub(h.savedAt) >= gap
	if h.established && len(fix) == 0 && !changed {
		r.mu.Unlock()
		return
	}
	r.logSkipped(h, fix)
	c, err := r.newCheckpoint(h, fix, token)
	r.mu.Unlock()
	if err == nil {
		c.stored, err = r.o.Store.Save(ctx, c.value, c.revision, token)
	}
	r.applySave(h, c, err)
}

// checkpoint is a state on its way to the store.
type checkpoint struct {
	// fix holds the windows that it fixes, progress what holds once it is stored.
	fix      []Window
	progress Progress
	value    []byte
	// changes is the number of changes of the ledger that it contains.
	changes uint64
	// revision is the expected revision of the store's state, stored the new one, token that of the claim.
	revision, stored, token uint64
}

// newCheckpoint encodes the state. The caller holds r.mu.
func (r *Reporter) newCheckpoint(h *holding, fix []Window, token uint64) (checkpoint, error) {
	state := h.ledger.Snapshot(r.o.Self, fix)
	c := checkpoint{fix: fix, changes: h.ledger.Changes(), revision: h.revision, token: token}
	var err error
	c.value, err = EncodeState(state)
	if err == nil && len(c.value) > maxStateBytes {
		r.o.Log.Error("the usage state is too large; counts of open windows are not stored", "bytes", len(c.value), "sources", len(state.Sources))
		state.Sources = nil
		c.value, err = EncodeState(state)
	}
	for err == nil && len(c.value) > maxStateBytes && len(state.Fixed) > 0 {
		state.Fixed = state.Fixed[(len(state.Fixed)+1)/2:]
		c.value, err = EncodeState(state)
	}
	c.progress = state.Progress
	r.logDropped(h, fix, len(state.Fixed))
	return c, err
}

// logDropped logs the oldest windows that are fixed and not reported if the checkpoint keeps only the given number of windows.
func (r *Reporter) logDropped(h *holding, fix []Window, kept int) {
	fixed := append(h.ledger.Progress().Fixed, fix...)
	if dropped := fixed[:len(fixed)-kept]; len(dropped) > 0 {
		r.o.Log.Error("windows are too old to be reported", "first", dropped[0].ID, "last", dropped[len(dropped)-1].ID)
	}
}

// logSkipped logs windows that are too old to be reported.
func (r *Reporter) logSkipped(h *holding, fix []Window) {
	if before := h.ledger.Progress().FixedThrough; len(fix) > 0 && before > 0 && fix[0].ID != before+1 {
		r.o.Log.Error("windows are too old to be reported", "first", before+1, "last", fix[0].ID-1)
	}
}

// load merges the stored state into the ledger of a new holder.
func (r *Reporter) load(ctx context.Context, h *holding) {
	value, revision, err := r.o.Store.Load(ctx)
	var state State
	if err == nil {
		state, err = DecodeState(value)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		h.retryLater(r.o.Boot())
		r.o.Log.Warn("could not read the stored usage", "error", err)
		return
	}
	h.loaded, h.since, h.retryDelay = true, r.o.Boot(), 0
	r.takeOver(h, state, revision)
}

// takeOver merges a state that another holder, or an earlier process of this instance, has stored. A holder that acted before the
// other one waits for the lease before it acts again. The caller holds r.mu.
func (r *Reporter) takeOver(h *holding, state State, revision uint64) {
	h.revision = revision
	r.countLate(h.ledger.Merge(state), state.Holder)
	h.established = false
	previous := state.Holder.Instance
	if previous != "" && state.Holder != r.o.Self {
		// An earlier process of this instance may have reported until this one started, and another holder before that.
		last := r.started
		if r.lastReport.After(last) {
			last = r.lastReport
		}
		r.turnAt = last.Add(r.o.Settings.Lease)
	}
	p := h.ledger.Progress()
	r.o.Metrics.Unreported.Set(float64(len(p.Fixed)))
	r.o.Log.Info("read the stored usage", "revision", revision, "previous", previous, "fixed_through", p.FixedThrough,
		"unreported", len(p.Fixed), "sources", h.ledger.Sources())
}

// applySave records whether a state has been stored.
func (r *Reporter) applySave(h *holding, c checkpoint, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Boot()
	conflict := (*ConflictError)(nil)
	switch {
	case err == nil:
		h.revision, h.saved, h.savedAt, h.retryDelay = c.stored, c.changes, now, 0
		h.established = c.token == h.token
		r.countLate(h.ledger.Merge(State{Holder: r.o.Self, Progress: c.progress}), r.o.Self)
		r.o.Metrics.CheckpointLen.Set(float64(len(c.value)))
		r.logFixed(h, c.fix, c.stored)
	case errors.As(err, &conflict):
		// Also after a write of this process whose answer was lost.
		r.applyConflict(h, conflict, c.revision)
	default:
		h.retryLater(now)
		if errors.Is(err, ErrClaimLost) {
			h.claimLost = c.token
		}
		r.o.Log.Warn("could not store the usage", "windows", len(c.fix), "revision", c.revision, "claim", c.token, "error", err)
	}
}

// applyConflict merges the state that the store holds in place of the expected one. The caller holds r.mu.
func (r *Reporter) applyConflict(h *holding, conflict *ConflictError, expected uint64) {
	current, err := DecodeState(conflict.Value)
	r.o.Log.Info("the stored usage has changed", "expected", expected, "revision", conflict.Revision, "holder", current.Holder.Instance,
		"process", current.Holder.Process, "error", err)
	if err != nil {
		h.retryLater(r.o.Boot())
		return
	}
	r.takeOver(h, current, conflict.Revision)
}

// retryLater sets the time of the next call to the store after a failure.
func (h *holding) retryLater(now time.Time) {
	h.retryDelay = min(max(2*h.retryDelay, saveRetryDelay), maxSaveDelay)
	h.retryAt = now.Add(h.retryDelay)
}

// logFixed counts and logs the windows that were fixed. The caller holds r.mu.
func (r *Reporter) logFixed(h *holding, fix []Window, revision uint64) {
	r.o.Metrics.Unreported.Set(float64(len(h.ledger.Progress().Fixed)))
	now := r.clock.Time(r.o.Boot())
	for _, w := range fix {
		r.o.Metrics.Fixed.Inc()
		r.o.Log.Info("fixed the usage of a window", "window", w.ID, "customers", len(w.Counts), "operations", w.Total(),
			"sources", h.ledger.Sources(), "incomplete", len(h.ledger.Missing(w.ID)), "after_end", now.Sub(r.o.Settings.End(w.ID)), "revision", revision)
	}
}
