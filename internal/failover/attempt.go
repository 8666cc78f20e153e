package failover

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/mutation"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// attempt is one try to fence a majority in a term and to promote a member in it. A term is used for one attempt only.
type attempt struct {
	term  position.Term
	owner instance.ID
	cause Cause
	// preferred is promoted when its log is not behind; nil for no preference.
	preferred *memberState
	// excluded is passed over while a majority without it is fenced; nil for none.
	excluded *memberState
	// chosen is the only member that is ever promoted in the term.
	chosen *memberState
	// applied and progressAt tell how far the chosen member has applied its log, and since when.
	applied    position.LSN
	progressAt time.Time
}

// workTerm returns the term in which members are fenced now.
func (m *Machine) workTerm() position.Term {
	if m.attempt.term > 0 {
		return m.attempt.term
	}
	return m.term
}

// startFailover starts an attempt because the primary is gone. Without confirmed authority it does nothing and returns
// false.
func (m *Machine) startFailover(cause Cause, now time.Time, text string) bool {
	if !m.authority {
		return false
	}
	m.failMove(CauseSuperseded, now)
	if !m.held {
		m.hold(HoldWrites{})
	}
	m.startAttempt(cause, text, now)
	return true
}

// startAttempt begins to fence the members in a term above all that were seen or used.
func (m *Machine) startAttempt(cause Cause, text string, now time.Time) {
	preferred, excluded := m.attempt.preferred, m.attempt.excluded
	m.attempt = attempt{}
	m.highest++
	m.attempt = attempt{term: m.highest, owner: m.owner(), cause: cause, preferred: preferred, excluded: excluded}
	m.enter(PhaseFencing, cause, now)
	m.record(StepFence, cause, m.primary, now, "fencing all members in term %d: %s", m.attempt.term, text)
}

// fenceMembers fences the members that have not accepted the term yet, the old primary included.
func (m *Machine) fenceMembers(now time.Time) {
	for _, k := range m.members {
		if k.status == nil || k.status.Term < m.attempt.term {
			m.sendFence(k, now)
		}
	}
}

// stepFencing chooses a member once a majority is fenced. A majority is enough even when another member has a higher
// term; without one, a higher term means that another promoter is at work.
func (m *Machine) stepFencing(now time.Time) {
	var fenced, candidates []*memberState
	for _, k := range m.members {
		if !k.fencedBy(m.attempt.term, m.attempt.owner) {
			continue
		}
		fenced = append(fenced, k)
		if k != m.attempt.excluded {
			candidates = append(candidates, k)
		}
	}
	// Any fenced majority has every acknowledged record.
	if len(candidates) >= m.majority() || mutation.On(mutation.PromoteWithoutMajority) && len(candidates) > 0 {
		m.choose(candidates, now)
		return
	}
	if len(fenced) >= m.majority() {
		if now.Sub(m.since) >= m.timing.StepTimeout {
			m.choose(fenced, now)
		}
		return
	}
	for _, k := range m.members {
		if m.refusesAttempt(k) {
			m.backOff(CauseStaleTerm, now)
			return
		}
	}
}

// refusesAttempt reports whether the member accepted a term that rules out this attempt on it.
func (m *Machine) refusesAttempt(k *memberState) bool {
	if k.status == nil || k.status.Term < m.attempt.term {
		return false
	}
	return !k.ownedBy(m.attempt.term, m.attempt.owner)
}

// choose picks the member to promote among a fenced majority: the one with the latest log end, so that it has every
// acknowledged record.
func (m *Machine) choose(fenced []*memberState, now time.Time) {
	best := slices.MinFunc(fenced, m.compareCandidates)
	m.attempt.chosen = best
	m.attempt.applied = best.status.Applied
	m.attempt.progressAt = now
	m.enter(PhasePromoting, m.attempt.cause, now)
	m.record(StepChoose, m.attempt.cause, best, now, "promoting %s, whose log ends at %s, among the fenced members %s",
		best.ID, best.status.LogEnd(), names(fenced))
}

// compareCandidates orders members by preference for promotion: latest log end, then members that operators are not
// emptying, then the preferred one, then the smallest apply lag, then the name.
func (m *Machine) compareCandidates(a, b *memberState) int {
	endA, endB := a.status.LogEnd(), b.status.LogEnd()
	if endA != endB {
		if endB.Less(endA) {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(rank(a.mustLeave()), rank(b.mustLeave())),
		cmp.Compare(rank(a != m.attempt.preferred), rank(b != m.attempt.preferred)),
		cmp.Compare(applyLag(a.status), applyLag(b.status)),
		cmp.Compare(a.ID, b.ID),
	)
}

func applyLag(s *upstream.MemberStatus) position.LSN {
	if s.Applied > s.Received {
		return 0
	}
	return s.Received - s.Applied
}

func rank(last bool) int {
	if last {
		return 1
	}
	return 0
}

func names(members []*memberState) string {
	list := make([]string, 0, len(members))
	for _, k := range members {
		list = append(list, string(k.ID))
	}
	return strings.Join(list, ",")
}

// stepPromoting waits for the chosen member to lead. No other member is promoted in the same term: after a timeout a
// higher term is fenced first. The timeout counts from the last progress, because a member applies its whole log before
// it leads, and a new term would make it begin again.
func (m *Machine) stepPromoting(now time.Time) {
	c := m.attempt.chosen
	if c.status.Applied > m.attempt.applied {
		m.attempt.applied = c.status.Applied
		m.attempt.progressAt = now
	}
	switch {
	case m.refusesAttempt(c):
		m.backOff(CauseStaleTerm, now)
	case c.status.Role == upstream.RolePrimary && c.status.Term == m.attempt.term:
		m.promoted(now)
	case now.Sub(m.attempt.progressAt) >= m.timing.StepTimeout:
		m.startAttempt(CauseStepTimeout, "the chosen member did not answer in time", now)
	case c.broken || c.refused:
		m.probeEvery(c, m.timing.ProbeTimeout, now)
		if m.lost(c, now) {
			m.startAttempt(CauseStepTimeout, "the chosen member was lost", now)
		}
	}
}

// promoted ends an attempt that succeeded.
func (m *Machine) promoted(now time.Time) {
	c := m.attempt.chosen
	m.primary = c
	m.term = m.attempt.term
	m.backoffs = 0
	m.act(Announce{Primary: c.ID, Term: m.term})
	m.record(StepAnnounce, m.attempt.cause, c, now, "%s leads in term %d", c.ID, m.term)
	m.attempt = attempt{}
	if m.continueMove(now) {
		return
	}
	m.releaseWrites()
	m.enter(PhaseSteady, m.cause, now)
}

// backOff waits for the result of another promoter, for a random time that grows with each attempt in a row.
func (m *Machine) backOff(cause Cause, now time.Time) {
	if !m.held {
		m.hold(HoldWrites{})
	}
	m.record(StepBackoff, cause, m.primary, now, "another promoter has a higher term; reading the members again")
	m.attempt = attempt{}
	m.primary = nil
	limit := min(m.timing.BackoffMin<<min(m.backoffs, maxBackoffs), m.timing.BackoffMax)
	m.backoffs++
	m.retryAt = now.Add(limit/2 + m.jitter(limit/2))
	m.enter(PhaseBackoff, cause, now)
	for _, k := range m.members {
		m.sendProbe(k, now)
	}
}

// maxBackoffs bounds the exponent of the backoff time.
const maxBackoffs = 10

// stepBackoff adopts the other promoter's result, or tries again with a higher term.
func (m *Machine) stepBackoff(now time.Time) {
	p := m.present()
	if p != nil && !p.broken && !m.silent(p, now) {
		m.adopt(p, CauseOtherPromoter, now)
		return
	}
	if now.Before(m.retryAt) {
		return
	}
	if p == nil {
		m.searchPrimary(CauseStaleTerm, now)
		return
	}
	// The old primary was not replaced after all, and it is not heard: decide anew whether it is lost. Writes repromote held.
	m.primary = p
	m.term = p.status.Term
	m.suspect(now)
}
