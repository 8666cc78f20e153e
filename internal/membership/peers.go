package membership

import (
	"math/rand/v2"
	"slices"

	"github.com/celerystep/celerystep/internal/instance"
)

// pickAttempts bounds the draws per random peer, so the cost does not depend on the size of the fleet.
const pickAttempts = 8

// peerSet is a set of ids with constant-time insertion, removal and random choice.
type peerSet struct {
	ids   []instance.ID
	index map[instance.ID]int
	// cursor is the index of the id that nextRoundRobin returned last.
	cursor int
}

func newPeerSet() *peerSet { return &peerSet{index: make(map[instance.ID]int)} }

func (s *peerSet) len() int { return len(s.ids) }

func (s *peerSet) has(id instance.ID) bool {
	_, ok := s.index[id]
	return ok
}

func (s *peerSet) add(id instance.ID) {
	if s.has(id) {
		return
	}
	s.index[id] = len(s.ids)
	s.ids = append(s.ids, id)
}

func (s *peerSet) remove(id instance.ID) {
	i, ok := s.index[id]
	if !ok {
		return
	}
	last := len(s.ids) - 1
	s.ids[i] = s.ids[last]
	s.index[s.ids[i]] = i
	s.ids = s.ids[:last]
	delete(s.index, id)
}

// nextRoundRobin returns the next n ids in round-robin order.
func (s *peerSet) nextRoundRobin(n int) []instance.ID {
	ids := make([]instance.ID, 0, n)
	for range min(n, len(s.ids)) {
		s.cursor = (s.cursor + 1) % len(s.ids)
		ids = append(ids, s.ids[s.cursor])
	}
	return ids
}

// pick returns up to n distinct random ids that exclude does not reject. It may return fewer than exist, because the
// number of draws is bounded.
func (s *peerSet) pick(rng *rand.Rand, n int, exclude func(instance.ID) bool) []instance.ID {
	if len(s.ids) <= n+pickAttempts {
		return s.pickFew(rng, n, exclude)
	}
	picked := make([]instance.ID, 0, n)
	for range n * pickAttempts {
		if len(picked) == n {
			break
		}
		id := s.ids[rng.IntN(len(s.ids))]
		if !slices.Contains(picked, id) && !exclude(id) {
			picked = append(picked, id)
		}
	}
	return picked
}

// pickFew picks from a small set by shuffling all of it.
func (s *peerSet) pickFew(rng *rand.Rand, n int, exclude func(instance.ID) bool) []instance.ID {
	picked := make([]instance.ID, 0, n)
	for _, i := range rng.Perm(len(s.ids)) {
		if len(picked) == n {
			break
		}
		if !exclude(s.ids[i]) {
			picked = append(picked, s.ids[i])
		}
	}
	return picked
}
