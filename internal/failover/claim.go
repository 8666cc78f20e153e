package failover

import (
	"fmt"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// claimState is the home's claim on the members.
type claimState struct {
	claim upstream.Claim
	// sentAt is the time before the first claim of this generation was sent.
	sentAt time.Time
	// retryAt is when a claim without majority is repeated in a higher generation.
	retryAt time.Time
	// accepted is true once a majority has accepted the claim.
	accepted bool
}

// owner returns the name under which this home fences members. It contains the generation of the claim, which a majority
// accepted from this instance only, so that no two processes of an instance share it.
func (m *Machine) owner() instance.ID {
	if m.attempt.term > 0 {
		return m.attempt.owner
	}
	return instance.ID(fmt.Sprintf("%s/%d", m.instance, m.claim.claim.Generation))
}

// evaluateClaim claims the group and keeps the claim on members that return. It returns false after the role was
// released.
func (m *Machine) evaluateClaim(now time.Time) bool {
	c := &m.claim
	if c.claim.Generation == 0 && !m.readMajority(now) {
		return m.checkReachable(now)
	}
	if m.claimedOver() >= m.majority() {
		m.release(CauseClaimLost, now, "a majority of members accepted the claim of another home")
		return false
	}
	if !c.accepted && m.claimedBy() >= m.majority() {
		m.acceptClaim(now)
	}
	if !c.accepted && !now.Before(c.retryAt) {
		m.newClaim(CauseStepTimeout, now)
	}
	m.claimMembers(now)
	return m.checkReachable(now)
}

// readMajority asks the members for their status until a majority has answered, and then chooses the generation.
func (m *Machine) readMajority(now time.Time) bool {
	if m.known() >= m.majority() {
		m.newClaim(CauseStart, now)
		return true
	}
	for _, k := range m.members {
		if k.status == nil {
			m.probeEvery(k, m.timing.RetryInterval, now)
		}
	}
	return false
}

// newClaim starts a claim one generation above all that were seen or used.
func (m *Machine) newClaim(cause Cause, now time.Time) {
	for _, k := range m.members {
		if k.status != nil {
			m.generation = max(m.generation, k.status.Generation)
		}
		k.foreignSince = time.Time{}
	}
	m.generation++
	m.claim = claimState{
		claim:   upstream.Claim{Generation: m.generation, Owner: m.instance},
		sentAt:  now,
		retryAt: now.Add(m.timing.StepTimeout + m.jitter(m.timing.StepTimeout)),
	}
	m.record(StepClaim, cause, nil, now, "claiming the group with generation %d", m.generation)
}

func (m *Machine) acceptClaim(now time.Time) {
	m.claim.accepted = true
	m.authority = true
	m.act(Claimed{Claim: m.claim.claim, SentAt: m.claim.sentAt})
	m.record(StepClaim, CauseStart, nil, now, "a majority accepted generation %d", m.claim.claim.Generation)
	if m.phase == PhaseClaiming {
		m.enter(PhaseLearning, CauseStart, now)
	}
}

// claimMembers sends the claim to members that do not have it. A minority that has another home's claim is left alone
// for CutOff, because that home may be about to win; afterwards a higher generation takes the members back.
func (m *Machine) claimMembers(now time.Time) {
	c := m.claim.claim
	for _, k := range m.members {
		switch {
		case k.claimedBy(c):
			k.foreignSince = time.Time{}
		case k.claimedOver(c):
			if k.foreignSince.IsZero() {
				k.foreignSince = now
			}
			if m.claim.accepted && now.Sub(k.foreignSince) >= m.timing.PartitionTimeout && m.authority {
				m.newClaim(CauseMemberClaimed, now)
				return
			}
		case !m.claim.accepted || m.current(k, now):
			m.sendClaim(k, now)
		}
	}
}

// checkReachable releases the role when no majority was reachable for too long, and returns false then.
func (m *Machine) checkReachable(now time.Time) bool {
	switch {
	case m.phase == PhaseClaiming && now.Sub(m.since) >= claimLimit*m.timing.PartitionTimeout:
		m.release(CauseNoMajority, now, "no majority of members accepted the claim in time")
	case m.phase != PhaseClaiming && m.reachable(now) < m.majority():
		m.release(CauseNoMajority, now, "no majority of members was reachable for the cut-off time")
	default:
		return true
	}
	return false
}

func (m *Machine) claimedBy() int {
	n := 0
	for _, k := range m.members {
		if k.claimedBy(m.claim.claim) {
			n++
		}
	}
	return n
}

func (m *Machine) claimedOver() int {
	n := 0
	for _, k := range m.members {
		if k.claimedOver(m.claim.claim) {
			n++
		}
	}
	return n
}

// jitter returns a random time below d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(max(d, 1))))
}
