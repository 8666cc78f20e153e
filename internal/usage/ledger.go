package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

const (
	// maxBacklog bounds the windows that are reported after an outage of the whole fleet, the store or the service.
	maxBacklog = 120
	// keptFixed is the number of fixed windows for which late counts are recognised.
	keptFixed = 4
	// maxCells bounds the windows whose counts are kept while none can be fixed. It leaves room for windows in the future, from an
	// instance whose clock is ahead until it is corrected.
	maxCells = maxBacklog + 2*keptFixed
	// sourceLifetime is the number of windows after which a process that delivers nothing is not waited for.
	sourceLifetime = 3
)

// Ledger aggregates the counts of all processes until they are reported. Counts are cumulative, so that duplicates, stale
// deliveries and a merge with a stored state change nothing that is known already. It is not safe for concurrent use.
type Ledger struct {
	settings Settings
	cells    map[WindowID]map[Source]Counts
	// through is the time until which the counts of a source are complete.
	through map[Source]time.Time
	state   Progress
	// reported holds windows of state.Fixed whose reports were accepted since the state was stored.
	reported map[WindowID]bool
	// attempts is the number of reports of the windows of state.Fixed that were sent.
	attempts map[WindowID]int
	// changes is the number of changes that a checkpoint would save.
	changes uint64
}

// Progress is how far windows are fixed and reported.
type Progress struct {
	// FixedThrough is the last window whose counts are fixed; 0 if there is none.
	FixedThrough WindowID
	// Fixed holds the windows up to FixedThrough that are not known to be reported, in order.
	Fixed []Window
}

// SourceCounts holds what one process has counted.
type SourceCounts struct {
	Source  Source
	Through time.Time
	Windows []Window
}

// State is the content of a ledger as it is stored.
type State struct {
	// Holder is the process that stored it.
	Holder Source
	Progress
	Sources []SourceCounts
}

// NewLedger returns a ledger without counts.
func NewLedger(s Settings) *Ledger {
	return &Ledger{
		settings: s, cells: make(map[WindowID]map[Source]Counts), through: make(map[Source]time.Time),
		reported: make(map[WindowID]bool), attempts: make(map[WindowID]int),
	}
}

// Add adds cumulative counts of a process that are complete until the given time. It returns the number of operations that are
// in none of the reports, because the counts of their windows were fixed before.
func (l *Ledger) Add(from Source, through time.Time, windows []Window) (late uint64) {
	if through.After(l.through[from]) {
		l.through[from] = through
	}
	for _, w := range windows {
		fixed := w.ID <= l.state.FixedThrough
		if fixed && l.cells[w.ID] == nil {
			continue // fixed by an earlier holder, which may have had the counts
		}
		n := l.raise(from, w)
		if fixed {
			late += n
		} else {
			l.changes += n
		}
	}
	return late
}

// raise raises the counts of a source to those of the window, and returns by how much in total.
func (l *Ledger) raise(from Source, w Window) (increase uint64) {
	sources := l.cells[w.ID]
	if sources == nil {
		sources = make(map[Source]Counts)
		l.cells[w.ID] = sources
		if len(l.cells) > maxCells {
			delete(l.cells, slices.Min(slices.Collect(maps.Keys(l.cells))))
		}
	}
	known := sources[from]
	if known == nil {
		known = make(Counts, len(w.Counts))
		sources[from] = known
	}
	for customer, n := range w.Counts {
		if n > known[customer] {
			increase += n - known[customer]
			known[customer] = n
		}
	}
	return increase
}

// Drop removes the counts of a process in windows that are not fixed.
func (l *Ledger) Drop(from Source) {
	for id, sources := range l.cells {
		if id > l.state.FixedThrough {
			delete(sources, from)
		}
	}
	delete(l.through, from)
}

// Sources returns the number of processes that are known to count.
func (l *Ledger) Sources() int { return len(l.through) }

// Changes returns a number that grows with every change that a checkpoint would save.
func (l *Ledger) Changes() uint64 { return l.changes }

// Progress returns how far windows are fixed and reported.
func (l *Ledger) Progress() Progress {
	p := l.state
	p.Fixed = slices.DeleteFunc(slices.Clone(p.Fixed), func(w Window) bool { return l.reported[w.ID] })
	return p
}

// Due returns the windows whose counts should be fixed now, in order. A window waits for known processes that have not delivered
// all of their counts, but not longer than its report allows.
func (l *Ledger) Due(now time.Time) []Window {
	l.forgetSources(now)
	var due []Window
	for id := l.nextWindow(now); id > 0; id++ {
		end := l.settings.End(id)
		if end.Add(l.settings.settle(l.Sources())).After(now) {
			break
		}
		if len(l.Missing(id)) > 0 && end.Add(l.settings.Late/100*patiencePercent).After(now) {
			break
		}
		due = append(due, Window{id, l.sum(id)})
	}
	return due
}

// nextWindow returns the first window that is not fixed, or 0 if nothing has been counted so far.
func (l *Ledger) nextWindow(now time.Time) WindowID {
	next := l.state.FixedThrough + 1
	if l.state.FixedThrough == 0 {
		next = 0
		for id := range l.cells {
			if next == 0 || id < next {
				next = id
			}
		}
	}
	if oldest := l.settings.At(now) - maxBacklog; next > 0 && next < oldest {
		return oldest
	}
	return next
}

// Missing returns the processes whose counts of the window are not complete. Of each instance only the last process is waited for.
func (l *Ledger) Missing(id WindowID) []Source {
	last := make(map[instance.ID]time.Time, len(l.through))
	for source, at := range l.through {
		if at.After(last[source.Instance]) {
			last[source.Instance] = at
		}
	}
	var missing []Source
	for source, at := range l.through {
		if at.Before(l.settings.End(id)) && !at.Before(last[source.Instance]) {
			missing = append(missing, source)
		}
	}
	return missing
}

// forgetSources removes processes that have delivered nothing for long.
func (l *Ledger) forgetSources(now time.Time) {
	maps.DeleteFunc(l.through, func(_ Source, at time.Time) bool { return now.Sub(at) > sourceLifetime*l.settings.Window })
}

func (l *Ledger) sum(id WindowID) Counts {
	total := make(Counts)
	for _, counts := range l.cells[id] {
		for customer, n := range counts {
			total[customer] += n
		}
	}
	return total
}

// Snapshot returns the state to store in order to fix the windows, which Due returned. Of the windows that are not reported it keeps
// the last maxBacklog. The ledger does not change until the
// progress is merged. The sources are valid until the ledger changes.
func (l *Ledger) Snapshot(holder Source, fix []Window) State {
	s := State{Holder: holder, Progress: l.Progress()}
	s.Fixed = append(s.Fixed, fix...)
	s.Fixed = s.Fixed[max(0, len(s.Fixed)-maxBacklog):]
	if n := len(fix); n > 0 {
		s.FixedThrough = fix[n-1].ID
	}
	open := make(map[Source][]Window)
	for id, sources := range l.cells {
		for source, counts := range sources {
			if id > s.FixedThrough {
				open[source] = append(open[source], Window{id, counts})
			}
		}
	}
	for source, at := range l.through {
		s.Sources = append(s.Sources, SourceCounts{source, at, open[source]})
		delete(open, source)
	}
	for source, windows := range open {
		s.Sources = append(s.Sources, SourceCounts{Source: source, Windows: windows})
	}
	return s
}

// Merge adds a state that is in the store. What it says of fixed windows is final. It returns the number of known operations that
// the windows fixed by it lack.
func (l *Ledger) Merge(s State) (late uint64) {
	if s.FixedThrough >= l.state.FixedThrough {
		for _, w := range s.Fixed {
			if w.ID > l.state.FixedThrough {
				late += l.excess(w)
			}
		}
		l.state = s.Progress
	}
	maps.DeleteFunc(l.reported, func(id WindowID, _ bool) bool { return !l.isFixed(id) })
	maps.DeleteFunc(l.attempts, func(id WindowID, _ int) bool { return !l.isFixed(id) })
	for _, source := range s.Sources {
		if source.Through.After(l.through[source.Source]) {
			l.through[source.Source] = source.Through
		}
		for _, w := range source.Windows {
			if w.ID > l.state.FixedThrough {
				l.raise(source.Source, w)
			}
		}
	}
	maps.DeleteFunc(l.cells, func(id WindowID, _ map[Source]Counts) bool { return id+keptFixed <= l.state.FixedThrough })
	return late
}

// isFixed reports whether the window is in state.Fixed.
func (l *Ledger) isFixed(id WindowID) bool {
	return slices.ContainsFunc(l.state.Fixed, func(w Window) bool { return w.ID == id })
}

// excess returns the number of known operations that the window lacks.
func (l *Ledger) excess(w Window) (n uint64) {
	for customer, known := range l.sum(w.ID) {
		n += known - min(known, w.Counts[customer])
	}
	return n
}

// NextReport returns the window that is fixed, not known to be reported, and was attempted the fewest times. So a window whose report
// gets no answer does not delay the others.
func (l *Ledger) NextReport() (Window, bool) {
	fixed := l.Progress().Fixed
	if len(fixed) == 0 {
		return Window{}, false
	}
	return slices.MinFunc(fixed, func(a, b Window) int { return cmp.Compare(l.attempts[a.ID], l.attempts[b.ID]) }), true
}

// Attempted records that the report of a window is sent.
func (l *Ledger) Attempted(id WindowID) { l.attempts[id]++ }

// Reported records that the report of a window was accepted.
func (l *Ledger) Reported(id WindowID) { l.reported[id] = true }
