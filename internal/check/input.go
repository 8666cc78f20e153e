package check

import (
	"time"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// SpreadBound is the time within which a change by operators must be in force everywhere (G6, G8, G12, G14).
const SpreadBound = 4 * time.Second

// Contract is what a customer is entitled to from a moment on.
type Contract struct {
	Customer string
	// From is the first moment at which an instance may apply it, By the moment at which all must; a zero By means
	// SpreadBound after From.
	From time.Time
	By   time.Time
	// Rate is in statements a second.
	Rate  float64
	Burst int
}

// by returns the moment at which all instances must apply the contract.
func (c *Contract) by() time.Time {
	if c.By.IsZero() {
		return c.From.Add(SpreadBound)
	}
	return c.By
}

// Withdrawal is the moment at which the withdrawal of a key was accepted.
type Withdrawal struct {
	Customer string
	Key      string
	At       time.Time
}

// Outage is a span during which operators had taken a failure domain or a member out. Empty Member means the domain.
type Outage struct {
	FailureDomain instance.FailureDomain
	Group         upstream.GroupID
	Member        upstream.MemberID
	// From is when the change was accepted; To is when its reversal was ordered, zero when it never was.
	From time.Time
	To   time.Time
}

// Window is a span of time with a name.
type Window struct {
	Name string
	From time.Time
	To   time.Time
}

// Overlaps reports whether the span from..to touches the window.
func (w Window) Overlaps(from, to time.Time) bool { return !to.Before(w.From) && !from.After(w.To) }

// MemberKey names a member across groups.
type MemberKey struct {
	Group  upstream.GroupID
	Member upstream.MemberID
}

// Input is everything that the checkers judge. All times come from one clock.
type Input struct {
	Start      time.Time
	End        time.Time
	Operations []Operation
	Requests   []Request
	Statements []Statement
	Finals     []Final
	Contracts  []Contract
	// Withdrawals, Outages and Planned come from operators; Faults are unplanned and include the time to recover.
	Withdrawals []Withdrawal
	Outages     []Outage
	Planned     []Window
	Faults      []Window
	// MemberDomains and InstanceDomains locate members and instances.
	MemberDomains   map[MemberKey]instance.FailureDomain
	InstanceDomains map[instance.ID]instance.FailureDomain
	// Secrets are the customers' keys, which no upstream may see.
	Secrets []string
	// Tagged is true when statements in the groups' logs must carry the customer.
	Tagged bool
}

// KeyWithdrawn reports whether the request used a key that was withdrawn before the request ended, so that its refusal
// is what operators asked for.
func (in *Input) KeyWithdrawn(q *Request) bool {
	for _, w := range in.Withdrawals {
		if w.Customer == q.Customer && w.Key == q.Key && !w.At.After(q.Done) {
			return true
		}
	}
	return false
}

// index holds what several checkers look up.
type index struct {
	in         *Input
	byID       map[StatementID]*Operation
	commit     map[TransactionID]*Operation
	begin      map[TransactionID]*Operation
	executions map[StatementID][]execution
	blocks     []*block
	effects    []effect
	finals     map[upstream.GroupID]*Final
	rows       map[groupRow]Value
}

// groupRow names a row across groups.
type groupRow struct {
	group upstream.GroupID
	row   RowKey
}

func newIndex(in *Input) *index {
	x := &index{
		in:         in,
		byID:       make(map[StatementID]*Operation, len(in.Operations)),
		commit:     make(map[TransactionID]*Operation),
		begin:      make(map[TransactionID]*Operation),
		executions: make(map[StatementID][]execution),
		finals:     make(map[upstream.GroupID]*Final),
		rows:       make(map[groupRow]Value),
	}
	x.indexOperations()
	x.indexFinals()
	x.indexStatements()
	x.effects = resolveEffects(x)
	return x
}

func (x *index) indexOperations() {
	for i := range x.in.Operations {
		op := &x.in.Operations[i]
		switch op.Kind {
		case KindBegin:
			x.begin[op.Transaction] = op
		case KindCommit:
			x.commit[op.Transaction] = op
		case KindConnect, KindRollback:
		default:
			x.byID[op.Statement] = op
		}
	}
}

func (x *index) indexFinals() {
	for i := range x.in.Finals {
		f := &x.in.Finals[i]
		x.finals[f.Group] = f
		for _, v := range f.Rows {
			x.rows[groupRow{f.Group, v.Row}] = v
		}
	}
}
