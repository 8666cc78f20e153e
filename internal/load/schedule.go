package load

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// arrival is one request of the plan, fixed before the run.
type arrival struct {
	at       time.Duration
	stream   int
	session  int
	work     *work
	rows     [minRows]int
	roam     bool
	entitled bool
}

// Schedule is the whole load of a run, in order of arrival.
type Schedule struct {
	plan     *Plan
	seed     uint64
	duration time.Duration
	arrivals []arrival
	sessions int
}

// NewSchedule fixes all arrivals of the plan. The same arguments give the same schedule.
func NewSchedule(p *Plan, changes []ContractChange, duration time.Duration, seed uint64) (*Schedule, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	s := &Schedule{plan: p, seed: seed, duration: duration}
	for i := range p.Streams {
		s.addStream(i)
	}
	slices.SortStableFunc(s.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return s, s.markEntitled(changes)
}

// Len returns the number of arrivals.
func (s *Schedule) Len() int { return len(s.arrivals) }

// Sessions returns the number of sessions.
func (s *Schedule) Sessions() int { return s.sessions }

// addStream draws a stream's arrivals: a Poisson process whose rate follows the surges, and the bursts.
func (s *Schedule) addStream(i int) {
	stream := &s.plan.Streams[i]
	rng := rand.New(rand.NewPCG(s.seed, uint64(i)))
	first := s.sessions
	s.sessions += stream.Sessions
	add := func(at time.Duration) {
		s.arrivals = append(s.arrivals, drawArrival(rng, stream, i, first, at))
	}
	at := time.Duration(0)
	for {
		rate := stream.Rate * s.plan.factor(stream.Customer, at)
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= s.duration {
			break
		}
		add(at)
	}
	if stream.Burst == nil {
		return
	}
	for at := stream.Burst.Every.D() / 2; at < s.duration; at += stream.Burst.Every.D() {
		for range stream.Burst.Size {
			add(at)
		}
	}
}

func drawArrival(rng *rand.Rand, stream *Stream, index, firstSession int, at time.Duration) arrival {
	m := mixes[stream.Mix]
	a := arrival{
		at:      at,
		stream:  index,
		session: firstSession + rng.IntN(stream.Sessions),
		work:    m.pick(rng.IntN(m.total())),
	}
	a.rows[0] = rng.IntN(stream.Rows)
	a.rows[1] = rng.IntN(stream.Rows - 1)
	if a.rows[1] >= a.rows[0] {
		a.rows[1]++
	}
	if a.work.transaction {
		// Transactions lock rows in one order, so that two swaps never wait for each other.
		slices.Sort(a.rows[:])
	}
	if stream.RoamEvery > 0 {
		a.roam = rng.IntN(stream.RoamEvery) == 0
	}
	return a
}

// markEntitled decides which requests are within their customer's contract.
func (s *Schedule) markEntitled(changes []ContractChange) error {
	byCustomer := make(map[string][]ContractChange)
	for _, c := range changes {
		byCustomer[c.Customer] = append(byCustomer[c.Customer], c)
	}
	buckets := make(map[string]*reference)
	for i := range s.arrivals {
		a := &s.arrivals[i]
		customer := s.plan.Streams[a.stream].Customer
		b := buckets[customer]
		if b == nil {
			if len(byCustomer[customer]) == 0 {
				return errors.Errorf("customer %s: no contract", customer)
			}
			b = newReference(byCustomer[customer], s.plan.RequestTimeout.D())
			buckets[customer] = b
		}
		a.entitled = b.take(a.at, a.work.cost())
	}
	return nil
}
