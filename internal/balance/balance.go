// Package balance decides how the statements of one group are spread over its members. It learns how fast each member
// is and how often it fails from the answers to statements, without requests of its own. It addresses members that are
// slow, that fail or hang a part of their statements, and several choosers that do not see each other's statements. It
// starts no goroutines, opens no sockets and reads no clock; none of its types is safe for concurrent use.
package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// observationWeight is the weight of a new observation that directly follows the previous one. After a pause it is up to
	// maxObservationWeight.
	observationWeight    = 0.2
	maxObservationWeight = 0.4
	// speedHalfLife and failureHalfLife are the times after which an observation counts half. An answer tells more about
	// speed than about failures, which need a longer memory.
	speedHalfLife   = time.Second
	failureHalfLife = 4 * time.Second
	// referenceAge is the maximum age of observations with which other members are compared.
	referenceAge = 5 * time.Second
	// normalLogRatio is the mean logarithm of the ratio of service time to expected cost at a normal member: the
	// expected cost is a mean, which exceeds the median of log-normal service times of sigma 0.7.
	normalLogRatio = -0.7 * 0.7 / 2
	// maxLogRatio limits the effect of a single statement.
	maxLogRatio = 2
	// ratioOffset is added to both times of a ratio: the times of very short statements are mostly delays of the network.
	ratioOffset = 2 * time.Millisecond
	// minSlowdown is the slowdown below which a member counts as normal: the spread of service times alone causes more
	// than that in one of 40 estimates.
	minSlowdown = 1.6
	// speedNoise is the logarithm of the slowdown that the spread of service times alone may cause.
	speedNoise = 0.45
	// slowFrom and slowUntil are the slowdowns at which a member is judged slow and normal again.
	slowFrom  = 2.7
	slowUntil = minSlowdown
	// failingFrom and failingUntil are the shares of failures at which a member is judged failing and normal again. Two
	// failures in succession are below failingFrom: rare random failures alone cause as much.
	failingFrom  = 0.4
	failingUntil = 0.1
	// probeInterval is the time between two statements that test whether a member that is slow or failing has recovered.
	probeInterval = 400 * time.Millisecond
)

// State is what is known about a member.
type State struct {
	// Slowdown is the factor by which the member is slower than the others, 1 unless the difference is clear.
	Slowdown float64
	// FailureShare is the share of statements that failed or were not answered, beyond that of the other members.
	FailureShare float64
	// Slow and Failing are the judgement.
	Slow, Failing bool
	// Answers and Failures count the observations since the last change of the judgement.
	Answers, Failures int
	// Age is the time since the last observation.
	Age time.Duration
}

// Normal reports whether the member is neither slow nor failing.
func (s State) Normal() bool { return !s.Slow && !s.Failing }

// Judgement returns the name used in logs.
func (s State) Judgement() string {
	switch {
	case s.Failing:
		return "failing"
	case s.Slow:
		return "slow"
	default:
		return "normal"
	}
}

// Limit returns how many statements may be in flight at a member with the given number of slots. A failing member gets
// none besides probes.
func (s State) Limit(slots, extra int) int {
	switch {
	case s.Failing:
		return 0
	case s.Slowdown > 1:
		// The fourth root leaves a slow member three of four slots at a factor of 3 to 6. With fewer, more customers would
		// need connections to the other members.
		return max(1, int(math.Round(float64(slots)/math.Sqrt(math.Sqrt(s.Slowdown)))))
	default:
		return slots + extra
	}
}

// Capacity returns the number of slots of a normal member that do the same work.
func (s State) Capacity(slots int) float64 { return float64(slots) / max(s.Slowdown, 1) }

// Change is a change of the judgement of a member.
type Change struct {
	Member        upstream.MemberID
	Before, After State
}

// record holds the observations of one member.
type record struct {
	primary               bool
	logSlowdown, failures float64
	// answeredAt is the time of the last answer, observedAt that of the last answer or failure.
	answeredAt, observedAt time.Time
	probedAt               time.Time
	// answers and failed count the observations since the last change of the judgement.
	answers, failed int
	// speed and share are logSlowdown and failures, decayed to the time of the last evaluation.
	speed, share float64
	state        State
}

// Balancer holds the observations of a group's members.
type Balancer struct {
	random  *rand.Rand
	members map[upstream.MemberID]*record
	changes []Change
	// evaluatedAt is the time for which the states hold; zero after an observation.
	evaluatedAt time.Time
}

// New returns a balancer that knows nothing about the members.
func New(seed uint64) *Balancer {
	return &Balancer{random: rand.New(rand.NewPCG(seed, 0)), members: make(map[upstream.MemberID]*record)}
}

// SetMembers forgets all members but the given ones. primary is empty if there is none.
func (b *Balancer) SetMembers(ids []upstream.MemberID, primary upstream.MemberID) {
	kept := make(map[upstream.MemberID]*record, len(ids))
	for _, id := range ids {
		kept[id] = b.record(id)
		kept[id].primary = id == primary
	}
	b.members, b.evaluatedAt = kept, time.Time{}
}

// Answered records that the member took the time for a statement that was expected to take another.
func (b *Balancer) Answered(id upstream.MemberID, expected, took time.Duration, now time.Time) {
	r := b.record(id)
	ratio := math.Log(float64(took+ratioOffset)/float64(expected+ratioOffset)) - normalLogRatio
	ratio = max(-maxLogRatio, min(ratio, maxLogRatio))
	r.logSlowdown += r.speedWeight(now) * (ratio - r.logSlowdown)
	r.answeredAt = now
	r.answers++
	b.observe(r, 0, now)
}

// Failed records that the member failed a statement or left it unanswered.
func (b *Balancer) Failed(id upstream.MemberID, now time.Time) {
	r := b.record(id)
	r.failed++
	b.observe(r, 1, now)
}

func (b *Balancer) observe(r *record, failed float64, now time.Time) {
	r.failures = (1-observationWeight)*r.failureShare(now) + observationWeight*failed
	r.observedAt = now
	b.evaluatedAt = time.Time{}
}

func (b *Balancer) record(id upstream.MemberID) *record {
	r := b.members[id]
	if r == nil {
		r = &record{state: State{Slowdown: 1}}
		b.members[id] = r
	}
	return r
}

// speedWeight returns the weight of an answer.
func (r *record) speedWeight(now time.Time) float64 {
	if r.answeredAt.IsZero() {
		return observationWeight
	}
	return min(maxObservationWeight, 1-(1-observationWeight)*decay(now.Sub(r.answeredAt), speedHalfLife))
}

// failureShare returns the decayed share of failures.
func (r *record) failureShare(now time.Time) float64 {
	return r.failures * decay(now.Sub(r.observedAt), failureHalfLife)
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
}

// State returns what is known about the member.
func (b *Balancer) State(id upstream.MemberID, now time.Time) State {
	if !b.evaluatedAt.Equal(now) {
		b.evaluate(now)
	}
	if r := b.members[id]; r != nil {
		return r.state
	}
	return State{Slowdown: 1}
}

// Changes returns the changes of judgements since the last call.
func (b *Balancer) Changes() []Change {
	c := b.changes
	b.changes = nil
	return c
}

// evaluate determines the states of all members.
func (b *Balancer) evaluate(now time.Time) {
	for _, r := range b.members {
		r.speed, r.share = r.logSlowdown*decay(now.Sub(r.answeredAt), speedHalfLife), r.failureShare(now)
	}
	for id, r := range b.members {
		before := r.state
		slowdown := math.Exp(r.speed - b.speedReference(id, now))
		share := max(0, r.share-b.failureReference(id, now))
		r.state = State{
			Slowdown:     1,
			FailureShare: share,
			Slow:         slowdown >= slowFrom || before.Slow && slowdown >= slowUntil,
			Failing:      share >= failingFrom || before.Failing && share >= failingUntil,
			Answers:      r.answers,
			Failures:     r.failed,
			Age:          now.Sub(r.observedAt),
		}
		if slowdown >= minSlowdown {
			r.state.Slowdown = slowdown
		}
		if r.state.Judgement() != before.Judgement() {
			b.changes = append(b.changes, Change{Member: id, Before: before, After: r.state})
			r.answers, r.failed = 0, 0
		}
	}
	b.evaluatedAt = now
}

// speedReference returns the logarithm of the slowdown that a member has in common with others, which is no reason to
// prefer one: this instance may be short of processor time, or the expected cost wrong. Replicas run the same statements
// and are compared with replicas; one that cannot be compared counts as normal.
func (b *Balancer) speedReference(id upstream.MemberID, now time.Time) float64 {
	lowest := math.Inf(1)
	for other, r := range b.members {
		if other != id && !r.primary && now.Sub(r.answeredAt) <= referenceAge {
			lowest = min(lowest, r.speed)
		}
	}
	own := b.members[id]
	switch alone := math.IsInf(lowest, 1); {
	case alone && own.primary:
		return 0
	case alone:
		return own.speed
	case lowest > 0 || own.primary:
		return max(0, lowest)
	default:
		return min(0, lowest+speedNoise)
	}
}

// failureReference returns the lowest share of failures among the other members: a customer's statements may fail
// everywhere.
func (b *Balancer) failureReference(id upstream.MemberID, now time.Time) float64 {
	lowest := math.Inf(1)
	for other, r := range b.members {
		if other != id && now.Sub(r.observedAt) <= referenceAge {
			lowest = min(lowest, r.share)
		}
	}
	if math.IsInf(lowest, 1) {
		return 0
	}
	return lowest
}

// ProbeDue reports whether a statement should test whether a member that is slow or failing has recovered.
func (b *Balancer) ProbeDue(id upstream.MemberID, now time.Time) bool {
	return !b.State(id, now).Normal() && now.Sub(b.members[id].probedAt) >= probeInterval
}

// Probed records that such a statement is sent.
func (b *Balancer) Probed(id upstream.MemberID, now time.Time) { b.record(id).probedAt = now }
