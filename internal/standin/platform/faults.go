package platform

import (
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/platform"
)

// Faults are the switches of the stand-in. The zero value means no fault.
type Faults struct {
	// Down makes every call fail without effect and ends waiting watches.
	Down bool
	// Delay is added before every call takes effect.
	Delay time.Duration
	// LoseAnswers makes this many next successful writes take effect and fail.
	LoseAnswers int
	// ListLag is the age of the instance list that is served.
	ListLag time.Duration
}

// SetFaults replaces all fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		s.breakWatchesLocked()
	}
}

// Faults returns the present switches; LoseAnswers counts down as answers are lost.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetDown switches the outage of the service and leaves the other switches alone.
func (s *Server) SetDown(on bool) { s.changeFaults(func(f *Faults) { f.Down = on }) }

// SetDelay sets the time added before every call and leaves the other switches alone.
func (s *Server) SetDelay(d time.Duration) { s.changeFaults(func(f *Faults) { f.Delay = d }) }

// LoseAnswers makes the next n successful writes take effect and fail, and leaves the other switches alone.
func (s *Server) LoseAnswers(n int) { s.changeFaults(func(f *Faults) { f.LoseAnswers = n }) }

// SetListLag sets the age of the instance list and leaves the other switches alone.
func (s *Server) SetListLag(d time.Duration) { s.changeFaults(func(f *Faults) { f.ListLag = d }) }

func (s *Server) changeFaults(change func(*Faults)) {
	f := s.Faults()
	change(&f)
	s.SetFaults(f)
}

// LapseLeases expires all leases once and deletes the keys bound to them.
func (s *Server) LapseLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.dropAllLeases()
	s.notifyLocked()
}

// Snapshot is a copy of the stored keys, revisions and leases.
type Snapshot struct{ state *store }

// Snapshot returns a copy of the present state.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{state: s.store.clone()}
}

// Restore replaces the state by an older one, as a service does that restarts from a backup: revisions go back too.
// Waiting watches fail, because a restart ends their connections. The instance list stays.
func (s *Server) Restore(x Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store = x.state.clone()
	s.breakWatchesLocked()
}

// Register adds or updates a row of the instance list.
func (s *Server) Register(row platform.InstanceEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.record(row, false, s.clock.Now())
}

// Unregister removes an instance from the list.
func (s *Server) Unregister(id instance.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directory.record(platform.InstanceEntry{Info: instance.Info{ID: id}}, true, s.clock.Now())
}

// Calls returns the calls counted since the start, by method name, and the watches that wait now.
func (s *Server) Calls() (calls map[string]uint64, waitingWatches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls = make(map[string]uint64, len(s.calls))
	for k, n := range s.calls {
		calls[k] = n
	}
	return calls, s.waiting
}
