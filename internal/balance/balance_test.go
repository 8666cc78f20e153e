package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/upstream"
)

var epoch = time.Unix(1000, 0)

const cost = 14 * time.Millisecond

// simulation lets members answer statements, each in turn, at the interval.
type simulation struct {
	b        *Balancer
	now      time.Time
	interval time.Duration
	random   *rand.Rand
	slowdown map[upstream.MemberID]float64
	failing  map[upstream.MemberID]float64
}

func newSimulation(interval time.Duration) *simulation {
	return &simulation{
		b: New(1), now: epoch, interval: interval, random: rand.New(rand.NewPCG(7, 7)),
		slowdown: make(map[upstream.MemberID]float64), failing: make(map[upstream.MemberID]float64),
	}
}

// answers lets each of the members answer n statements, with log-normal times of sigma 0.7 and a tail of 1 % at five times.
func (s *simulation) answers(n int, members ...upstream.MemberID) {
	for range n {
		for _, id := range members {
			s.now = s.now.Add(s.interval / time.Duration(len(members)))
			t := max(s.slowdown[id], 1) * math.Exp(0.7*s.random.NormFloat64()-0.7*0.7/2)
			if s.random.Float64() < 0.01 {
				t *= 5
			}
			if s.random.Float64() < s.failing[id] {
				s.b.Failed(id, s.now)
			} else {
				s.b.Answered(id, cost, time.Duration(t*float64(cost)), s.now)
			}
			s.b.State(id, s.now)
		}
	}
}

func (s *simulation) state(id upstream.MemberID) State { return s.b.State(id, s.now) }

// Guards against a slow member that is noticed late, or that gets its share back late.
func TestASlowMemberIsJudgedWithinAFewAnswers(t *testing.T) {
	is := is.New(t)
	s := newSimulation(10 * time.Millisecond)
	s.answers(100, "r1", "r2")
	s.slowdown["r1"] = 5
	s.answers(10, "r1", "r2")
	is.True(s.state("r1").Slow)
	is.True(s.state("r2").Normal())
	s.answers(100, "r1", "r2")
	is.True(s.state("r1").Slowdown >= 5/2 && s.state("r1").Slowdown <= 5*2)
	s.slowdown["r1"] = 1
	s.interval = probeInterval // only probes test it from now on
	s.answers(4, "r1", "r2")
	is.True(s.state("r1").Normal()) // within two seconds
}

// Guards against the spread of service times being mistaken for a slow member.
func TestASpreadOfServiceTimesIsNoSlowMember(t *testing.T) {
	is := is.New(t)
	s := newSimulation(10 * time.Millisecond)
	s.answers(60_000, "p", "r1", "r2")  // ten minutes
	is.True(len(s.b.Changes()) <= 2*10) // less than one judgement a minute, and its end
	q := newSimulation(10 * time.Millisecond)
	q.answers(10, "r2")
	q.b.Answered("r1", cost, 100*cost, q.now)
	is.True(q.state("r1").Normal()) // one long statement
}

// Guards against members that are judged because of what they have in common: a short supply of processor time here, or a
// customer whose statements fail everywhere.
func TestMembersAreComparedWithEachOther(t *testing.T) {
	is := is.New(t)
	s := newSimulation(10 * time.Millisecond)
	s.answers(100, "p", "r1", "r2")
	for _, id := range []upstream.MemberID{"p", "r1", "r2"} {
		s.slowdown[id], s.failing[id] = 5, 0.45
	}
	s.answers(100, "p", "r1", "r2")
	is.True(s.state("p").Normal() && s.state("r1").Normal() && s.state("r2").Normal())
}

// Guards against replicas that are judged slow because the expected cost of reads, which only they run, is too low.
func TestReplicasAreComparedWithReplicas(t *testing.T) {
	is := is.New(t)
	s := newSimulation(10 * time.Millisecond)
	s.b.SetMembers([]upstream.MemberID{"p", "r1", "r2"}, "p")
	s.slowdown["r1"], s.slowdown["r2"] = 5, 5
	s.answers(100, "p", "r1", "r2")
	is.True(s.state("r1").Normal() && s.state("r2").Normal())
	s.now = s.now.Add(referenceAge + time.Millisecond)
	s.answers(20, "p", "r1") // no other replica to compare with
	is.True(s.state("r1").Normal())
}

// Guards against a member that fails 45 % of its statements and keeps its share, and against one failure that is taken
// for a failing member.
func TestAFailingMemberIsJudged(t *testing.T) {
	is := is.New(t)
	s := newSimulation(10 * time.Millisecond)
	s.answers(50, "r1", "r2")
	s.b.Failed("r1", s.now)
	is.True(s.state("r1").Normal())
	s.answers(50, "r1", "r2")
	s.failing["r1"] = 0.45
	s.answers(20, "r1", "r2")
	is.True(s.state("r1").Failing)
	is.Equal(s.state("r1").Limit(4, 1), 0)
	is.True(s.b.ProbeDue("r1", s.now))
	s.b.Probed("r1", s.now)
	is.True(!s.b.ProbeDue("r1", s.now.Add(probeInterval-1)))
	s.failing["r1"] = 0
	s.interval = probeInterval
	s.answers(8, "r1", "r2")
	is.True(s.state("r1").Normal())
}

// Guards against rare failures being mistaken for a failing member, which would move its statements to the others.
func TestRareFailuresAreNoFailingMember(t *testing.T) {
	is := is.New(t)
	s := newSimulation(10 * time.Millisecond)
	s.failing["r1"], s.failing["r2"] = 0.01, 0.01
	s.answers(60_000, "p", "r1", "r2") // ten minutes
	failing := 0
	for _, c := range s.b.Changes() {
		if c.After.Failing {
			failing++
		}
	}
	is.True(failing < 10) // less than one judgement a minute
}

// Guards against observations that outlive their cause: without new ones a member counts as normal again.
func TestOldObservationsDecay(t *testing.T) {
	is := is.New(t)
	s := newSimulation(10 * time.Millisecond)
	s.slowdown["r1"] = 5
	s.answers(50, "r1", "r2")
	s.now = s.now.Add(4 * time.Second)
	is.Equal(s.state("r1").Slowdown, 1.0)
	s.b.SetMembers([]upstream.MemberID{"r2"}, "")
	is.Equal(s.state("r1"), State{Slowdown: 1}) // a member that has left
}

func TestASlowMemberKeepsAStatement(t *testing.T) {
	is := is.New(t)
	is.Equal(State{Slowdown: 1}.Limit(4, 1), 5)
	is.Equal(State{Slowdown: 5}.Limit(4, 1), 3)
	is.Equal(State{Slowdown: 100}.Limit(1, 1), 1)
}

// Guards against ties that always go to the same candidate, and against choices that ignore capacity.
func TestTiesAreBrokenInProportionToCapacity(t *testing.T) {
	equal := []Candidate{{Capacity: 4}, {Capacity: 4}, {Capacity: 8}, {Capacity: 4, Expected: time.Millisecond}}
	for _, shared := range []bool{false, true} {
		is := is.New(t)
		b := New(1)
		var taken [4]int
		for range 4000 {
			taken[b.Choose(equal, shared)]++
		}
		is.Equal(taken[3], 0)                         // a longer expected time
		is.True(taken[0] >= 900 && taken[0] <= 1100)  // a quarter
		is.True(taken[2] >= 1900 && taken[2] <= 2100) // half
	}
}

func TestTheLeastLoadedOfEqualCandidatesIsTaken(t *testing.T) {
	is := is.New(t)
	b := New(1)
	is.Equal(b.Choose(nil, true), -1)
	is.Equal(b.Choose([]Candidate{{InFlight: 2, Capacity: 4}, {InFlight: 3, Capacity: 8}}, false), 1)
	opens := []Candidate{{Capacity: 4, Opens: true, Connections: 3}, {Capacity: 4, Opens: true, Connections: 2}}
	is.Equal(b.Choose(opens, false), 1)
	// Of two candidates drawn at random, an idle one is taken unless it is not drawn.
	list := []Candidate{{InFlight: 1, Capacity: 4}, {InFlight: 1, Capacity: 4}, {InFlight: 1, Capacity: 4}, {Capacity: 4}}
	idle := 0
	for range 1000 {
		if b.Choose(list, true) == 3 {
			idle++
		}
	}
	is.True(idle >= 450 && idle <= 550) // three of six pairs
}
