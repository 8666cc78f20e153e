package router

import "time"

// fullWeight is the weight in percent of a member whose ramp is complete.
const fullWeight = 100

// chooseReplica picks one of the eligible replicas. It compares all of them instead of two random ones (power of two
// choices): groups are small, and herding on stale counts cannot occur because the home is the only sender to the
// members and its counts are exact. See docs/decisions/0002-session-consistency.md for the comparison.
func (r *Router) chooseReplica(x *choice) Decision {
	if x.eligible == 1 {
		return r.onlyReplica(x)
	}
	r.applyRamp(x)
	if x.eligible > 1 && r.random.IntN(100) < r.policy.ExplorePercent {
		return x.toReplica(r.pickRandom(x, func(*Candidate) bool { return true }), ReasonExplore)
	}
	lowest := x.lowestScore()
	limit := lowest + lowest*similarPercent/100
	i := r.pickRandom(x, func(c *Candidate) bool { return x.score(c) <= limit })
	return x.toReplica(i, ReasonLeastLoaded)
}

// onlyReplica routes to the only eligible replica. While it ramps up, the primary takes the remaining share if it has
// slots to spare.
func (r *Router) onlyReplica(x *choice) Decision {
	i := x.firstWith(VerdictEligible)
	if i == x.primary {
		i = x.nextEligible(i)
	}
	if r.skipRamping(&x.c[i]) && x.primaryServes() {
		p := &x.c[x.primary]
		if p.Slots == 0 || p.Running+r.policy.PrimaryReserve < p.Slots {
			return x.toPrimary(ReasonRamp)
		}
	}
	return x.toReplica(i, ReasonOnlyReplica)
}

func (x *choice) nextEligible(after int) int {
	for i := after + 1; i < len(x.c); i++ {
		if x.decision.Verdicts[i] == VerdictEligible {
			return i
		}
	}
	return -1
}

// skipRamping reports, at random in proportion to its weight, whether a ramping member is excluded from this decision.
func (r *Router) skipRamping(c *Candidate) bool {
	if c.Ramp <= 0 || c.Ramp >= fullWeight {
		return false
	}
	return r.random.IntN(fullWeight) >= c.Ramp
}

// applyRamp excludes ramping replicas from this decision at random in proportion to their weight, but never the last
// eligible replica.
func (r *Router) applyRamp(x *choice) {
	for i := range x.c {
		if !x.isEligibleReplica(i) || x.eligible == 1 || !r.skipRamping(&x.c[i]) {
			continue
		}
		x.decision.Verdicts[i] = VerdictRamping
		x.eligible--
	}
}

// isEligibleReplica reports whether candidate i is an eligible replica.
func (x *choice) isEligibleReplica(i int) bool {
	return i != x.primary && x.decision.Verdicts[i] == VerdictEligible
}

// pickRandom returns a random eligible replica that passes the test. At least one must pass.
func (r *Router) pickRandom(x *choice, pass func(*Candidate) bool) int {
	chosen, seen := -1, 0
	for i := range x.c {
		if !x.isEligibleReplica(i) || !pass(&x.c[i]) {
			continue
		}
		seen++
		if seen == 1 || r.random.IntN(seen) == 0 {
			chosen = i
		}
	}
	return chosen
}

func (x *choice) lowestScore() time.Duration {
	lowest := time.Duration(-1)
	for i := range x.c {
		if !x.isEligibleReplica(i) {
			continue
		}
		if s := x.score(&x.c[i]); lowest < 0 || s < lowest {
			lowest = s
		}
	}
	return lowest
}

// score estimates the completion time of a new statement on the member: its latency times the number of statements that
// would run there. A member without an idle connection costs one latency more, because the statement must first open a
// connection or wait for one.
func (x *choice) score(c *Candidate) time.Duration {
	l := min(latency(c), latencySpread*x.fastest)
	n := c.Running + 1
	if c.Idle == 0 {
		n++
	}
	return l * time.Duration(n)
}

func latency(c *Candidate) time.Duration {
	if c.Latency <= 0 {
		return defaultLatency
	}
	return c.Latency
}
