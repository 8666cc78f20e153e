package check

import (
	"strings"

	"github.com/celerystep/celerystep/internal/upstream"
)

// checkMixing finds statements of different transactions in one transaction of a member, transactions of a caller that
// were split over several, and transactions that took turns on one connection.
func checkMixing(x *index, r *Result) {
	home := make(map[TransactionID]*block)
	for _, b := range x.blocks {
		if len(b.marked) == 0 {
			continue
		}
		r.Cases++
		checkBlock(b, r)
		t := b.marked[0].Transaction
		if t == 0 {
			continue
		}
		if home[t] != nil {
			r.violate(b.statements[0].Start, b.marked[:1], "one transaction ran as two")
		}
		home[t] = b
	}
	checkTurns(x, r)
}

// checkBlock judges one transaction of a member.
func checkBlock(b *block, r *Result) {
	first := b.marked[0]
	for _, op := range b.marked[1:] {
		if op.Transaction != first.Transaction || op.Session != first.Session || op.Transaction == 0 {
			r.violate(b.statements[0].Start, []*Operation{first, op}, "two callers' statements in one transaction")
		}
	}
	for _, s := range b.statements {
		if s.Connection != b.statements[0].Connection {
			r.violate(s.Start, b.marked[:1], "one transaction on two connections of member %s", s.Member)
		}
	}
}

// connectionKey names a member's connection.
type connectionKey struct {
	group      upstream.GroupID
	member     upstream.MemberID
	connection uint64
}

// checkTurns finds a transaction that goes on after another one has begun on the same connection.
func checkTurns(x *index, r *Result) {
	last := make(map[connectionKey]*Statement)
	for _, b := range x.blocks {
		s := b.statements[0]
		k := connectionKey{s.Group, s.Member, s.Connection}
		if before := last[k]; before != nil && before.Start.After(s.Start) {
			r.violate(s.Start, b.marked, "transaction %d began inside transaction %d on connection %d of member %s",
				s.Transaction, before.Transaction, s.Connection, s.Member)
		}
		end := b.statements[len(b.statements)-1]
		if last[k] == nil || end.Start.After(last[k].Start) {
			last[k] = end
		}
	}
}

// checkCustomers finds statements that ran as another customer's, or in another group, than their caller asked for.
func checkCustomers(x *index, r *Result) {
	for i := range x.in.Statements {
		s := &x.in.Statements[i]
		id, ok := s.Marker()
		if !ok {
			continue
		}
		op := x.byID[id]
		if op == nil {
			r.Undecided++
			continue
		}
		checkStatementCustomer(x, op, s, r)
	}
}

func checkStatementCustomer(x *index, op *Operation, s *Statement, r *Result) {
	if s.Group != op.Group {
		r.violate(s.Start, []*Operation{op}, "ran in group %s", s.Group)
	}
	if s.Customer == "" {
		if x.in.Tagged {
			r.Undecided++
		}
		return
	}
	r.Cases++
	if s.Customer != op.Customer {
		r.violate(s.Start, []*Operation{op}, "ran for customer %s on member %s", s.Customer, s.Member)
	}
}

// minSecretBytes keeps the search for keys from matching by chance.
const minSecretBytes = 8

// checkSecrets finds customers' keys in what the groups logged. It covers statements only; a search of all bytes sent
// to upstreams belongs to the tests of the fleet.
func checkSecrets(x *index, r *Result) {
	for _, secret := range x.in.Secrets {
		if len(secret) < minSecretBytes {
			r.Undecided++
			continue
		}
		r.Cases++
		for i := range x.in.Statements {
			if s := &x.in.Statements[i]; s.contains(secret) {
				r.violate(s.Start, nil, "key in a statement on member %s of group %s", s.Member, s.Group)
			}
		}
	}
}

func (s *Statement) contains(text string) bool {
	if strings.Contains(s.Text, text) || strings.Contains(s.Customer, text) {
		return true
	}
	for _, p := range s.Params {
		if strings.Contains(p, text) {
			return true
		}
	}
	return false
}

// checkAnswers finds answers that belong to another request: a read that returned another row, or a write whose answer
// does not carry its own marker.
func checkAnswers(x *index, r *Result) {
	for i := range x.in.Operations {
		op := &x.in.Operations[i]
		if op.Outcome != OutcomeOK {
			continue
		}
		for _, v := range op.Values {
			r.Cases++
			if op.Kind != KindScan && v.Row != op.Row {
				r.violate(op.Return, []*Operation{op}, "asked for row %s, got row %s", op.Row.ID, v.Row.ID)
			}
			if op.Kind.IsWrite() && v.Writer != op.Statement {
				r.violate(op.Return, []*Operation{op}, "the answer carries the marker %s", v.Writer)
			}
		}
		if op.Kind.IsWrite() && len(op.Values) == 0 {
			r.violate(op.Return, []*Operation{op}, "a write was answered without its row")
		}
	}
}
