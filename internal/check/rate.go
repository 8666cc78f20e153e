package check

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// rateSlack absorbs the rounding of floating-point numbers; it is far below one statement.
const rateSlack = 1e-6

// admission is one statement of a customer that the fleet admitted. No history shows the moment, but it came after the
// caller sent the statement and before a member began it.
type admission struct {
	sent    time.Time
	started time.Time
	op      *Operation
}

// checkRates finds windows in which a customer got more than its rate and burst over the whole fleet.
//
// A statement counts in the window from a to b only when its caller sent it at or after a and a member began it at or
// before b. Its admission then lies inside the window for certain. Start times at the groups alone would not be sound:
// statements that were admitted one after the other may wait for a slot and then begin together. Sending times alone
// would not be sound either: statements sent together may be admitted over several seconds. With both bounds the
// tolerance on counts is zero.
func checkRates(x *index, r *Result) {
	contracts := make(map[string][]Contract)
	for _, c := range x.in.Contracts {
		contracts[c.Customer] = append(contracts[c.Customer], c)
	}
	byCustomer := x.admissions()
	for _, customer := range slices.Sorted(maps.Keys(byCustomer)) {
		admissions := byCustomer[customer]
		steps := newAllowance(contracts[customer])
		if len(steps) == 0 {
			r.Undecided += len(admissions)
			continue
		}
		r.Cases += len(admissions)
		if excess, ok := worstWindow(admissions, steps); ok {
			r.violate(excess.to, []*Operation{excess.op}, "%d statements within %s, %.1f allowed",
				excess.count, excess.to.Sub(excess.from), excess.allowed)
		}
	}
}

// admissions returns each customer's admitted statements. A statement that the fleet retried counts once, at its first
// start. BEGIN and COMMIT cost a token too (design page, section 8), but members need not log them: those that
// succeeded were admitted before their answer came.
func (x *index) admissions() map[string][]admission {
	list := make(map[string][]admission)
	for i := range x.in.Operations {
		op := &x.in.Operations[i]
		switch {
		case op.Kind == KindBegin || op.Kind == KindCommit:
			if op.Outcome == OutcomeOK {
				list[op.Customer] = append(list[op.Customer], admission{op.Invoke, op.Return, op})
			}
		case x.byID[op.Statement] == op && len(x.executions[op.Statement]) > 0:
			first := firstRun(x.executions[op.Statement])
			list[op.Customer] = append(list[op.Customer], admission{op.Invoke, first.statement.Start, op})
		}
	}
	return list
}

func firstRun(runs []execution) execution {
	return slices.MinFunc(runs, func(a, b execution) int { return a.statement.Start.Compare(b.statement.Start) })
}

// allowance gives what a customer may get as a step function of time.
type allowance []allowanceStep

// allowanceStep is a span with constant rate and burst; refilled is what came in from the first step to its start.
type allowanceStep struct {
	from     time.Time
	rate     float64
	burst    float64
	refilled float64
}

// newAllowance returns the most that the customer may get. A change of contract takes a while to be in force everywhere,
// so until then the higher of the old and the new values applies.
func newAllowance(contracts []Contract) allowance {
	slices.SortFunc(contracts, func(a, b Contract) int { return a.From.Compare(b.From) })
	var points []time.Time
	for i, c := range contracts {
		points = append(points, c.From)
		if i > 0 {
			points = append(points, c.by())
		}
	}
	slices.SortFunc(points, time.Time.Compare)
	steps := make(allowance, len(points))
	for i, p := range points {
		steps[i] = highestInForce(contracts, p)
		if i > 0 {
			before := steps[i-1]
			steps[i].refilled = before.refilled + before.rate*p.Sub(before.from).Seconds()
		}
	}
	return steps
}

// highestInForce returns the highest rate and burst of the contracts that an instance may hold at the moment.
func highestInForce(contracts []Contract, moment time.Time) allowanceStep {
	step := allowanceStep{from: moment}
	for i, c := range contracts {
		replaced := i+1 < len(contracts) && !contracts[i+1].by().After(moment)
		if replaced || c.From.After(moment) {
			continue
		}
		step.rate = max(step.rate, c.Rate)
		step.burst = max(step.burst, float64(c.Burst))
	}
	return step
}

// at returns the step in force.
func (a allowance) at(moment time.Time) allowanceStep {
	i, _ := slices.BinarySearchFunc(a, moment, func(s allowanceStep, m time.Time) int {
		if s.from.After(m) {
			return 1
		}
		return -1
	})
	return a[max(i-1, 0)]
}

// refilled returns the tokens that came in from the first step to the moment.
func (a allowance) refilled(moment time.Time) float64 {
	s := a.at(moment)
	return s.refilled + s.rate*moment.Sub(s.from).Seconds()
}

// excess is a window that holds more statements than allowed.
type excess struct {
	from    time.Time
	to      time.Time
	count   int
	allowed float64
	op      *Operation
}

// worstWindow returns a window that exceeds the allowance by most, if any does. A bucket that never holds more than
// burst tokens lets at most burst + refill through in any window, so count - refill <= burst must hold for each window
// that starts at a sending and ends at a start of a statement.
func worstWindow(admissions []admission, steps allowance) (excess, bool) {
	bySent := slices.Clone(admissions)
	slices.SortFunc(bySent, func(a, b admission) int { return a.sent.Compare(b.sent) })
	byStart := slices.Clone(admissions)
	slices.SortFunc(byStart, func(a, b admission) int { return a.started.Compare(b.started) })

	tree := newMaxTree(len(bySent))
	worst := excess{}
	over := rateSlack
	opened := 0
	for _, a := range byStart {
		for opened < len(bySent) && !bySent[opened].sent.After(a.started) {
			from := bySent[opened].sent
			tree.set(opened, steps.refilled(from)-steps.at(from).burst)
			opened++
		}
		// The statement counts in every window that starts at or before its sending.
		last, _ := slices.BinarySearchFunc(bySent, a.sent, func(b admission, m time.Time) int {
			if b.sent.After(m) {
				return 1
			}
			return -1
		})
		tree.addPrefix(last, 1)
		top, at := tree.max()
		if beyond := top - steps.refilled(a.started); beyond > over {
			over = beyond
			worst = describeWindow(bySent, byStart, at, a, steps)
		}
	}
	return worst, over > rateSlack
}

// describeWindow describes the window from the sending at index first to the start of last.
func describeWindow(bySent, byStart []admission, first int, last admission, steps allowance) excess {
	e := excess{from: bySent[first].sent, to: last.started, op: last.op}
	for _, a := range byStart {
		if !a.sent.Before(e.from) && !a.started.After(e.to) {
			e.count++
		}
	}
	e.allowed = steps.at(e.from).burst + steps.refilled(e.to) - steps.refilled(e.from)
	return e
}

// maxTree keeps an array of numbers under additions to a prefix and finds its maximum, each in O(log n). All numbers
// start as minus infinity and are set in order of index; a prefix may only cover numbers that are set.
type maxTree struct {
	size int
	// top[i] is the maximum of node i's range, without what is pending at its ancestors.
	top     []float64
	pending []float64
}

func newMaxTree(n int) *maxTree {
	size := 1
	for size < n {
		size *= 2
	}
	t := &maxTree{size: size, top: make([]float64, 2*size), pending: make([]float64, 2*size)}
	for i := range t.top {
		t.top[i] = math.Inf(-1)
	}
	return t
}

// set gives number i its value. No addition has covered i before, so none is pending above it.
func (t *maxTree) set(i int, v float64) {
	node := t.size + i
	t.top[node] = v
	for node /= 2; node > 0; node /= 2 {
		t.top[node] = max(t.top[2*node], t.top[2*node+1]) + t.pending[node]
	}
}

// addPrefix adds v to the first n numbers.
func (t *maxTree) addPrefix(n int, v float64) { t.add(1, t.size, n, v) }

func (t *maxTree) add(node, size, n int, v float64) {
	if n <= 0 {
		return
	}
	if n >= size {
		t.top[node] += v
		t.pending[node] += v
		return
	}
	half := size / 2
	t.add(2*node, half, min(n, half), v)
	t.add(2*node+1, half, n-half, v)
	t.top[node] = max(t.top[2*node], t.top[2*node+1]) + t.pending[node]
}

// max returns the largest number and its index.
func (t *maxTree) max() (float64, int) {
	node := 1
	for node < t.size {
		node *= 2
		if cmp.Compare(t.top[node], t.top[node+1]) < 0 {
			node++
		}
	}
	return t.top[1], node - t.size
}
