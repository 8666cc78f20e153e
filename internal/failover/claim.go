package failover

import (
	"fmt"
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// claimState is the state of the home's claim on the members.
type claimState struct {
	claim upstream.Claim
	// sentAt was read before the first claim request of this generation was sent.
	sentAt time.Time
	// retryAt is when a claim that no majority has accepted is retried with a higher generation.
	retryAt time.Time
	// accepted is true once a majority has accepted the claim.
	accepted bool
}

// owner returns the fencing token's owner name for this home. It includes the generation of the claim, which a majority
// accepted only from this process, so no two processes of an instance share an owner name.
func (m *Machine) owner() instance.ID {
	if m.attempt.term > 0 {
		return m.attempt.owner
	}
	return instance.ID(fmt.Sprintf("%s/%d", m.instance, m.claim.claim.Generation))
}

// evaluateClaim claims the group and renews the claim on members that become reachable again. It returns false after
// releasing the home role.
func (m *Machine) evaluateClaim(now time.Time) bool {
	c := &m.claim
	if c.claim.Generation == 0 && !m.awaitMajorityStatus(now) {
		return m.checkReachable(now)
	}
	if m.refusingClaim() >= m.majority() {
		m.releaseHome(CauseClaimLost, now, "a majority of members accepted the claim of another home")
		return false
	}
	if !c.accepted && m.withClaim() >= m.majority() {
		m.acceptClaim(now)
	}
	if !c.accepted && !now.Before(c.retryAt) {
		m.newClaim(CauseStepTimeout, now)
	}
	m.claimMembers(now)
	return m.checkReachable(now)
}

// awaitMajorityStatus probes the members until a majority has reported a status, and then starts a claim.
func (m *Machine) awaitMajorityStatus(now time.Time) bool {
	if m.countWithStatus() >= m.majority() {
		m.newClaim(CauseStart, now)
		return true
	}
	for _, member := range m.members {
		if member.status == nil {
			m.probeEvery(member, m.timing.RetryInterval, now)
		}
	}
	return false
}

// newClaim starts a claim one generation above every generation seen at a member or used before.
func (m *Machine) newClaim(cause Cause, now time.Time) {
	for _, member := range m.members {
		if member.status != nil {
			m.highestGeneration = max(m.highestGeneration, member.status.Generation)
		}
		member.otherClaimSince = time.Time{}
	}
	m.highestGeneration++
	m.claim = claimState{
		claim:   upstream.Claim{Generation: m.highestGeneration, Owner: m.instance},
		sentAt:  now,
		retryAt: now.Add(m.timing.StepTimeout + m.jitter(m.timing.StepTimeout)),
	}
	m.record(StepClaim, cause, nil, now, "claiming the group with generation %d", m.highestGeneration)
}

func (m *Machine) acceptClaim(now time.Time) {
	m.claim.accepted = true
	m.hasAuthority = true
	m.emit(Claimed{Claim: m.claim.claim, SentAt: m.claim.sentAt})
	m.record(StepClaim, CauseStart, nil, now, "a majority accepted generation %d", m.claim.claim.Generation)
	if m.phase == PhaseClaiming {
		m.enterPhase(PhaseLearning, CauseStart, now)
	}
}

// claimMembers sends the claim to members that have not accepted it. A minority that accepted another home's claim is
// left alone for PartitionTimeout, because that home may be about to win a majority; after that, a claim with a higher
// generation takes the members back.
func (m *Machine) claimMembers(now time.Time) {
	c := m.claim.claim
	for _, member := range m.members {
		switch {
		case member.withClaim(c):
			member.otherClaimSince = time.Time{}
		case member.refusingClaim(c):
			if member.otherClaimSince.IsZero() {
				member.otherClaimSince = now
			}
			if m.claim.accepted && now.Sub(member.otherClaimSince) >= m.timing.PartitionTimeout && m.hasAuthority {
				m.newClaim(CauseMemberClaimed, now)
				return
			}
		case !m.claim.accepted || m.hasRecentStatus(member, now):
			m.sendClaim(member, now)
		}
	}
}

// checkReachable releases the home role and returns false if no majority accepted the claim in time, or if no majority
// has been reachable for PartitionTimeout.
func (m *Machine) checkReachable(now time.Time) bool {
	switch {
	case m.phase == PhaseClaiming && now.Sub(m.enteredAt) >= claimTimeoutFactor*m.timing.PartitionTimeout:
		m.releaseHome(CauseNoMajority, now, "no majority of members accepted the claim in time")
	case m.phase != PhaseClaiming && m.countReachable(now) < m.majority():
		m.releaseHome(CauseNoMajority, now, "no majority of members was reachable for the cut-off time")
	default:
		return true
	}
	return false
}

func (m *Machine) withClaim() int {
	n := 0
	for _, member := range m.members {
		if member.withClaim(m.claim.claim) {
			n++
		}
	}
	return n
}

func (m *Machine) refusingClaim() int {
	n := 0
	for _, member := range m.members {
		if member.refusingClaim(m.claim.claim) {
			n++
		}
	}
	return n
}

// jitter returns a random duration below d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(max(d, 1))))
}
