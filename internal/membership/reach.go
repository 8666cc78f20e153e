package membership

import (
	"maps"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
)

// contact is the latest result of calling a peer.
type contact struct {
	// at is when the result arrived.
	at time.Time
	ok bool
	// failedSince is when the first call was sent that failed after the last one that succeeded.
	failedSince time.Time
}

// reach judges from the results of this instance's own calls whether it is cut off from most peers. While it is, its
// failed calls say more about itself than about its peers: it keeps its verdicts to itself instead of spreading
// them, so that the larger side of a healed partition does not take over the smaller side's suspicions.
type reach struct {
	contacts map[instance.ID]contact
	failing  int
	cut      bool
	cutSince time.Time
	// unreachable holds the peers whose latest call failed while cut off. It is replaced on change, never modified,
	// because views share it.
	unreachable map[instance.ID]struct{}
	// lostSince is when the time began in which the store was not reachable either.
	lostSince time.Time
}

func newReach() *reach { return &reach{contacts: make(map[instance.ID]contact)} }

// record notes the result of a call that was sent to a known peer. It reports whether the set of unreachable peers
// changed.
func (r *reach) record(id instance.ID, sent, now time.Time, ok bool) bool {
	c, had := r.contacts[id]
	if had && !c.ok {
		r.failing--
	}
	if !ok {
		r.failing++
		if !had || c.ok {
			c.failedSince = sent
		}
	}
	c.at, c.ok = now, ok
	r.contacts[id] = c
	_, was := r.unreachable[id]
	if !r.cut || was == !ok {
		return false
	}
	r.setUnreachable(id, !ok)
	return true
}

func (r *reach) setUnreachable(id instance.ID, value bool) {
	set := maps.Clone(r.unreachable)
	if value {
		set[id] = struct{}{}
	} else {
		delete(set, id)
	}
	r.unreachable = set
}

// remove forgets a peer that is dead or gone. It reports whether the set of unreachable peers changed.
func (r *reach) remove(id instance.ID) bool {
	if c, ok := r.contacts[id]; ok && !c.ok {
		r.failing--
	}
	delete(r.contacts, id)
	if _, ok := r.unreachable[id]; !ok {
		return false
	}
	r.setUnreachable(id, false)
	return true
}

// clear drops all results, after a pause of this process.
func (r *reach) clear() {
	clear(r.contacts)
	r.failing = 0
	r.end()
}

// end leaves the cut-off condition.
func (r *reach) end() {
	r.cut = false
	r.unreachable = nil
}

// evaluate decides whether this instance is cut off from more than half of the known peers. It reports whether the
// decision changed.
func (r *reach) evaluate(now time.Time, known int) bool {
	r.prune(now)
	cut := r.mostFail(known)
	if cut == r.cut {
		return false
	}
	if !cut {
		r.end()
		return true
	}
	r.cut = true
	r.cutSince = r.firstFailure()
	r.unreachable = make(map[instance.ID]struct{}, r.failing)
	for id, c := range r.contacts {
		if !c.ok {
			r.unreachable[id] = struct{}{}
		}
	}
	r.lostSince = r.cutSince
	return true
}

// mostFail counts all peers of a small fleet and relies on a random sample in a large one. Successes from before the
// first failure say nothing about the present, so the sample leaves them out.
func (r *reach) mostFail(known int) bool {
	if known <= ExactPeers || r.failing == 0 {
		return 2*r.failing > known
	}
	start := r.firstFailure()
	sample := 0
	for _, c := range r.contacts {
		if !c.at.Before(start) {
			sample++
		}
	}
	return sample >= SampleSize && 2*r.failing > sample
}

// firstFailure returns when the oldest call that counts as failed was sent.
func (r *reach) firstFailure() time.Time {
	var first time.Time
	for _, c := range r.contacts {
		if !c.ok && (first.IsZero() || c.failedSince.Before(first)) {
			first = c.failedSince
		}
	}
	return first
}

// prune drops results older than EvidenceWindow. Nothing depends on them while no call fails, so a quiet instance
// only keeps their number bounded.
func (r *reach) prune(now time.Time) {
	const quietLimit = 256
	if r.failing == 0 && !r.cut && len(r.contacts) < quietLimit {
		return
	}
	for id, c := range r.contacts {
		if now.Sub(c.at) <= EvidenceWindow {
			continue
		}
		if !c.ok {
			r.failing--
		}
		delete(r.contacts, id)
	}
}

// isolated reports whether both conditions of isolation have held for IsolationDelay.
func (r *reach) isolated(now time.Time, storeReachable bool) bool {
	if !r.cut {
		return false
	}
	if storeReachable {
		r.lostSince = now
	}
	return now.Sub(r.lostSince) >= IsolationDelay
}
