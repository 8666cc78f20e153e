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

// attempt is one try to fence a majority in a term and promote a member in that term. Each attempt uses a new term.
type attempt struct {
	term  position.Term
	owner instance.ID
	cause Cause
	// preferred is promoted if no fenced member has a later log end; nil for no preference.
	preferred *memberState
	// excluded is not promoted if a majority can be fenced without it; nil for none.
	excluded *memberState
	// chosen is the only member that may be promoted in the term.
	chosen *memberState
	// applied is how far the chosen member has applied its log, and lastProgress when it last advanced.
	applied      position.LSN
	lastProgress time.Time
}

// fencingTerm returns the term in which members are fenced: the term of the running attempt or the primary's term.
func (m *Machine) fencingTerm() position.Term {
	if m.attempt.term > 0 {
		return m.attempt.term
	}
	return m.term
}

// startFailover holds writes and starts an attempt to replace an unavailable primary. Without confirmed authority it
// does nothing and returns false.
func (m *Machine) startFailover(cause Cause, now time.Time, text string) bool {
	if !m.hasAuthority {
		return false
	}
	m.failSwitchover(CauseSuperseded, now)
	if !m.writesHeld {
		m.holdWrites(HoldWrites{})
	}
	m.startAttempt(cause, text, now)
	return true
}

// startAttempt begins fencing the members in a new term, above every term seen at a member or used before.
func (m *Machine) startAttempt(cause Cause, text string, now time.Time) {
	preferred, excluded := m.attempt.preferred, m.attempt.excluded
	m.attempt = attempt{}
	m.highestTerm++
	m.attempt = attempt{term: m.highestTerm, owner: m.owner(), cause: cause, preferred: preferred, excluded: excluded}
	m.enterPhase(PhaseFencing, cause, now)
	m.record(StepFence, cause, m.primary, now, "fencing all members in term %d: %s", m.attempt.term, text)
}

// fenceMembers fences the members that have not accepted the term yet, including the old primary.
func (m *Machine) fenceMembers(now time.Time) {
	for _, member := range m.members {
		if member.status == nil || member.status.Term < m.attempt.term {
			m.sendFence(member, now)
		}
	}
}

// stepFencing chooses the member to promote once a majority is fenced. A fenced majority suffices even if another
// member has a higher term. Without one, a higher term means that another promoter is active, so the attempt backs off.
func (m *Machine) stepFencing(now time.Time) {
	var fenced, candidates []*memberState
	for _, member := range m.members {
		if !member.fencedBy(m.attempt.term, m.attempt.owner) {
			continue
		}
		fenced = append(fenced, member)
		if member != m.attempt.excluded {
			candidates = append(candidates, member)
		}
	}
	// Any fenced majority holds every acknowledged record.
	if len(candidates) >= m.majority() || mutation.On(mutation.PromoteWithoutMajority) && len(candidates) > 0 {
		m.chooseCandidate(candidates, now)
		return
	}
	if len(fenced) >= m.majority() {
		if now.Sub(m.enteredAt) >= m.timing.StepTimeout {
			m.chooseCandidate(fenced, now)
		}
		return
	}
	for _, member := range m.members {
		if m.refusesAttempt(member) {
			m.backOff(CauseStaleTerm, now)
			return
		}
	}
}

// refusesAttempt reports whether the member has accepted a higher term, or the same term from another owner, and so
// rejects this attempt.
func (m *Machine) refusesAttempt(member *memberState) bool {
	if member.status == nil || member.status.Term < m.attempt.term {
		return false
	}
	return !member.ownedBy(m.attempt.term, m.attempt.owner)
}

// chooseCandidate picks the member to promote from a fenced majority. The latest log end wins because it includes every
// acknowledged record.
func (m *Machine) chooseCandidate(fenced []*memberState, now time.Time) {
	best := slices.MinFunc(fenced, m.compareCandidates)
	m.attempt.chosen = best
	m.attempt.applied = best.status.Applied
	m.attempt.lastProgress = now
	m.enterPhase(PhasePromoting, m.attempt.cause, now)
	m.record(StepChoose, m.attempt.cause, best, now, "promoting %s, whose log ends at %s, among the fenced members %s",
		best.ID, best.status.LogEnd(), names(fenced))
}

// compareCandidates orders members by preference for promotion: latest log end, then members that are not being
// evacuated, then the preferred one, then the smallest apply lag, then the name.
func (m *Machine) compareCandidates(a, b *memberState) int {
	endA, endB := a.status.LogEnd(), b.status.LogEnd()
	if endA != endB {
		if endB.Less(endA) {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(rank(a.mustEvacuate()), rank(b.mustEvacuate())),
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
	for _, member := range members {
		list = append(list, string(member.ID))
	}
	return strings.Join(list, ",")
}

// stepPromoting waits for the chosen member to become primary. No other member is promoted in the same term: after a
// timeout, a new attempt first fences a higher term. The timeout counts from the last progress, because a member applies
// its whole log before it becomes primary and a new term would make it start over.
func (m *Machine) stepPromoting(now time.Time) {
	c := m.attempt.chosen
	if c.status.Applied > m.attempt.applied {
		m.attempt.applied = c.status.Applied
		m.attempt.lastProgress = now
	}
	switch {
	case m.refusesAttempt(c):
		m.backOff(CauseStaleTerm, now)
	case c.status.Role == upstream.RolePrimary && c.status.Term == m.attempt.term:
		m.finishPromotion(now)
	case now.Sub(m.attempt.lastProgress) >= m.timing.StepTimeout:
		m.startAttempt(CauseStepTimeout, "the chosen member did not answer in time", now)
	case c.streamBroken || c.refused:
		m.probeEvery(c, m.timing.ProbeTimeout, now)
		if m.unreachable(c, now) {
			m.startAttempt(CauseStepTimeout, "the chosen member was lost", now)
		}
	}
}

// finishPromotion announces the new primary and ends the attempt.
func (m *Machine) finishPromotion(now time.Time) {
	c := m.attempt.chosen
	m.primary = c
	m.term = m.attempt.term
	m.backoffs = 0
	m.emit(Announce{Primary: c.ID, Term: m.term})
	m.record(StepAnnounce, m.attempt.cause, c, now, "%s leads in term %d", c.ID, m.term)
	m.attempt = attempt{}
	if m.continueSwitchover(now) {
		return
	}
	m.releaseWrites()
	m.enterPhase(PhaseSteady, m.cause, now)
}

// backOff waits for the result of another promoter. The delay is jittered and doubles with each consecutive backoff.
func (m *Machine) backOff(cause Cause, now time.Time) {
	if !m.writesHeld {
		m.holdWrites(HoldWrites{})
	}
	m.record(StepBackoff, cause, m.primary, now, "another promoter has a higher term; reading the members again")
	m.attempt = attempt{}
	m.primary = nil
	limit := min(m.timing.BackoffMin<<min(m.backoffs, maxBackoffExponent), m.timing.BackoffMax)
	m.backoffs++
	m.retryAt = now.Add(limit/2 + m.jitter(limit/2))
	m.enterPhase(PhaseBackoff, cause, now)
	for _, member := range m.members {
		m.sendProbe(member, now)
	}
}

// maxBackoffExponent bounds the exponent of the backoff delay.
const maxBackoffExponent = 10

// stepBackoff adopts the primary that the other promoter chose, or retries in a higher term when the backoff expires.
func (m *Machine) stepBackoff(now time.Time) {
	p := m.currentPrimary()
	if p != nil && !p.streamBroken && !m.timedOut(p, now) {
		m.adoptPrimary(p, CauseOtherPromoter, now)
		return
	}
	if now.Before(m.retryAt) {
		return
	}
	if p == nil {
		m.resolveMissingPrimary(CauseStaleTerm, now)
		return
	}
	// The old primary was not replaced after all, and it is not responding: suspect it again. Writes remain held.
	m.primary = p
	m.term = p.status.Term
	m.suspectPrimary(now)
}
