package balance

import "time"

// tieTolerance is the difference of expected times below which members count as equal.
const tieTolerance = 100 * time.Microsecond

// Candidate is a member that may run a statement.
type Candidate struct {
	// Expected is the expected time until the member has run the statement.
	Expected time.Duration
	// InFlight is the number of this chooser's statements at the member.
	InFlight int
	// Capacity is the number of statements that the member runs concurrently for this chooser.
	Capacity float64
	// Opens is true when a connection has to be opened, Connections the number of those open to the member.
	Opens       bool
	Connections int
}

func (c Candidate) load() float64 { return float64(c.InFlight) / c.weight() }

// weight is the capacity, at least that of a slow slot.
func (c Candidate) weight() float64 { return max(c.Capacity, 0.1) }

// Choose returns the index of the candidate to take, -1 if there are none: the one that is expected to be done first.
// Among equal ones, the least loaded is taken, then the one with the fewest connections if one has to be opened, then one
// drawn at random in proportion to capacity. If the members also get statements from other choosers, only two of the equal
// ones, drawn in the same way, are compared: choosers with the same knowledge would otherwise all take the same member.
func (b *Balancer) Choose(list []Candidate, shared bool) int {
	equal := fastest(list)
	if shared && len(equal) > 2 {
		first := b.draw(list, equal, -1)
		second := b.draw(list, equal, first)
		if compare(list[second], list[first]) < 0 {
			return second
		}
		return first
	}
	best, total := -1, 0.0
	for _, i := range equal {
		order := -1
		if best >= 0 {
			order = compare(list[i], list[best])
		}
		switch {
		case order < 0:
			best, total = i, list[i].weight()
		case order == 0:
			total += list[i].weight()
			if b.random.Float64()*total < list[i].weight() {
				best = i
			}
		}
	}
	return best
}

// fastest returns the indices of the candidates with the shortest expected time.
func fastest(list []Candidate) []int {
	var equal []int
	for i, c := range list {
		switch {
		case len(equal) == 0 || c.Expected < list[equal[0]].Expected-tieTolerance:
			equal = append(equal[:0], i)
		case c.Expected <= list[equal[0]].Expected+tieTolerance:
			equal = append(equal, i)
		}
	}
	return equal
}

// compare returns a negative number if x is preferred to y, and 0 if they are equal.
func compare(x, y Candidate) int {
	switch lx, ly := x.load(), y.load(); {
	case lx < ly:
		return -1
	case lx > ly:
		return 1
	case x.Opens && y.Opens:
		return x.Connections - y.Connections
	default:
		return 0
	}
}

// draw returns one of the indices other than except, drawn in proportion to capacity.
func (b *Balancer) draw(list []Candidate, from []int, except int) int {
	chosen, total := except, 0.0
	for _, i := range from {
		if i == except {
			continue
		}
		total += list[i].weight()
		if b.random.Float64()*total < list[i].weight() {
			chosen = i
		}
	}
	return chosen
}
