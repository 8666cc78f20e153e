package router

import "time"

// fullWeight is the weight in percent of a member that has finished its ramp.
const fullWeight = 100

// chooseReplica picks one of the free replicas. All of them are compared, not two drawn at random: the home is the only
// sender to the members and its counts are exact, so the usual reason for two choices, herding on stale counts, does not
// hold, and groups are small. See docs/decisions/0002-session-consistency.md for the comparison.
func (r *Router) chooseReplica(x *choice) Decision {
	if x.free == 1 {
		return r.onlyReplica(x)
	}
	r.applyRamp(x)
	if x.free > 1 && r.random.IntN(100) < r.policy.ExplorePercent {
		return x.toReplica(r.pick(x, func(*Candidate) bool { return true }), ReasonExplore)
	}
	lowest := x.lowestScore()
	limit := lowest + lowest*similarPercent/100
	i := r.pick(x, func(c *Candidate) bool { return x.score(c) <= limit })
	return x.toReplica(i, ReasonLeastLoaded)
}

// onlyReplica serves from the only free replica. While it ramps, the primary takes the rest if it has slots to spare.
func (r *Router) onlyReplica(x *choice) Decision {
	i := x.first(VerdictEligible)
	if i == x.primary {
		i = x.nextEligible(i)
	}
	if r.skipped(&x.c[i]) && x.primaryServes() {
		p := &x.c[x.primary]
		if p.Slots == 0 || p.Running+r.policy.PrimaryReserve < p.Slots {
			return x.toPrimary(ReasonRamp)
		}
	}
	return x.toReplica(i, ReasonOnlyReplica)
}

func (x *choice) nextEligible(after int) int {
	for i := after + 1; i < len(x.c); i++ {
		if x.d.Verdicts[i] == VerdictEligible {
			return i
		}
	}
	return -1
}

// skipped draws whether a ramping member takes no part in this choice.
func (r *Router) skipped(c *Candidate) bool {
	if c.Ramp <= 0 || c.Ramp >= fullWeight {
		return false
	}
	return r.random.IntN(fullWeight) >= c.Ramp
}

// applyRamp takes ramping replicas out of this choice in proportion to their weight, but never the last one.
func (r *Router) applyRamp(x *choice) {
	for i := range x.c {
		if !x.serves(i) || x.free == 1 || !r.skipped(&x.c[i]) {
			continue
		}
		x.d.Verdicts[i] = VerdictRamping
		x.free--
	}
}

// serves reports whether candidate i is a free replica.
func (x *choice) serves(i int) bool {
	return i != x.primary && x.d.Verdicts[i] == VerdictEligible
}

// pick returns a random free replica that passes the test. At least one must pass.
func (r *Router) pick(x *choice, pass func(*Candidate) bool) int {
	chosen, seen := -1, 0
	for i := range x.c {
		if !x.serves(i) || !pass(&x.c[i]) {
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
		if !x.serves(i) {
			continue
		}
		if s := x.score(&x.c[i]); lowest < 0 || s < lowest {
			lowest = s
		}
	}
	return lowest
}

// score estimates the time until a new statement ends at the member: its latency times the statements that share it.
// A member without a free connection costs one latency more, because a connection must be opened or awaited first.
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
