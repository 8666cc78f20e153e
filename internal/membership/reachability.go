package membership

import (
	"maps"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

// contact is the latest result of calls to a peer.
type contact struct {
	// updatedAt is the time of the latest result.
	updatedAt time.Time
	ok        bool
	// failedSince is the send time of the first call that failed since the last success.
	failedSince time.Time
}

// reachability decides from the results of this instance's own calls whether it is cut off from most peers. While it
// is, failed calls indicate a fault of this instance rather than of its peers, so it does not disseminate suspicions.
// Otherwise the larger side of a healed partition would adopt those of the smaller side.
type reachability struct {
	contacts     map[instance.ID]contact
	failingCount int
	cutOff       bool
	cutOffSince  time.Time
	// unreachable holds the peers whose latest call failed while cut off. Views share it, so it is copied on every
	// change.
	unreachable map[instance.ID]struct{}
	// isolatingSince is the later of the time of the cut-off and the last time the store was reachable.
	isolatingSince time.Time
}

func newReachability() *reachability { return &reachability{contacts: make(map[instance.ID]contact)} }

// recordResult records the result of a call to a known peer. It reports whether the set of unreachable peers changed.
func (r *reachability) recordResult(id instance.ID, sent, now time.Time, ok bool) bool {
	c, known := r.contacts[id]
	if known && !c.ok {
		r.failingCount--
	}
	if !ok {
		r.failingCount++
		if !known || c.ok {
			c.failedSince = sent
		}
	}
	c.updatedAt, c.ok = now, ok
	r.contacts[id] = c
	_, wasUnreachable := r.unreachable[id]
	if !r.cutOff || wasUnreachable == !ok {
		return false
	}
	r.setUnreachable(id, !ok)
	return true
}

func (r *reachability) setUnreachable(id instance.ID, value bool) {
	set := maps.Clone(r.unreachable)
	if value {
		set[id] = struct{}{}
	} else {
		delete(set, id)
	}
	r.unreachable = set
}

// remove drops a dead peer. It reports whether the set of unreachable peers changed.
func (r *reachability) remove(id instance.ID) bool {
	if c, ok := r.contacts[id]; ok && !c.ok {
		r.failingCount--
	}
	delete(r.contacts, id)
	if _, ok := r.unreachable[id]; !ok {
		return false
	}
	r.setUnreachable(id, false)
	return true
}

// clear drops all results. It is called after a pause of this process.
func (r *reachability) clear() {
	clear(r.contacts)
	r.failingCount = 0
	r.clearCutOff()
}

// clearCutOff ends the cut-off state.
func (r *reachability) clearCutOff() {
	r.cutOff = false
	r.unreachable = nil
}

// evaluate decides whether this instance is cut off from more than half of its known peers. It reports whether the
// decision changed.
func (r *reachability) evaluate(now time.Time, known int) bool {
	r.prune(now)
	cutOff := r.majorityUnreachable(known)
	if cutOff == r.cutOff {
		return false
	}
	if !cutOff {
		r.clearCutOff()
		return true
	}
	r.cutOff = true
	r.cutOffSince = r.firstFailure()
	r.unreachable = make(map[instance.ID]struct{}, r.failingCount)
	for id, c := range r.contacts {
		if !c.ok {
			r.unreachable[id] = struct{}{}
		}
	}
	r.isolatingSince = r.cutOffSince
	return true
}

// majorityUnreachable counts all peers of a small fleet and a random sample in a large one. The sample excludes
// successes older than the first failure, because they do not reflect the current state.
func (r *reachability) majorityUnreachable(known int) bool {
	if known <= MaxExactPeers || r.failingCount == 0 {
		return 2*r.failingCount > known
	}
	start := r.firstFailure()
	sample := 0
	for _, c := range r.contacts {
		if !c.updatedAt.Before(start) {
			sample++
		}
	}
	return sample >= SampleSize && 2*r.failingCount > sample
}

// firstFailure returns the send time of the oldest failed call that still counts.
func (r *reachability) firstFailure() time.Time {
	var first time.Time
	for _, c := range r.contacts {
		if !c.ok && (first.IsZero() || c.failedSince.Before(first)) {
			first = c.failedSince
		}
	}
	return first
}

// prune drops results older than ContactWindow. While no call fails the results are not used, so they are only kept
// bounded.
func (r *reachability) prune(now time.Time) {
	const quietLimit = 256
	if r.failingCount == 0 && !r.cutOff && len(r.contacts) < quietLimit {
		return
	}
	for id, c := range r.contacts {
		if now.Sub(c.updatedAt) <= ContactWindow {
			continue
		}
		if !c.ok {
			r.failingCount--
		}
		delete(r.contacts, id)
	}
}

// isolated reports whether this instance has been cut off from most peers and from the store for IsolationDelay.
func (r *reachability) isolated(now time.Time, storeReachable bool) bool {
	if !r.cutOff {
		return false
	}
	if storeReachable {
		r.isolatingSince = now
	}
	return now.Sub(r.isolatingSince) >= IsolationDelay
}
