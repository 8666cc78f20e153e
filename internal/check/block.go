package check

import (
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// block is a transaction as a member ran it; a single statement is a transaction of its own.
type block struct {
	// position is that of the commit, zero when the transaction wrote nothing or did not commit.
	position   position.Position
	statements []*Statement
	marked     []*Operation
}

// began returns the moment at which the work of the block was new: the sending of the caller's BEGIN, which members
// need not log, or the start of its first statement.
func (x *index) began(b *block) time.Time {
	if begin := x.begin[b.marked[0].Transaction]; begin != nil {
		return begin.Invoke
	}
	return b.statements[0].Start
}

// execution is one run of a marked statement at a member.
type execution struct {
	statement *Statement
	block     *block
}

// completed reports whether the statement ran without an error or may have.
func (e execution) completed() bool { return e.statement.Code == "" }

// blockKey names a transaction of a member.
type blockKey struct {
	group       upstream.GroupID
	member      upstream.MemberID
	transaction uint64
}

// indexStatements groups the logs into blocks, in order of their first statements, and maps markers to executions.
func (x *index) indexStatements() {
	order := make([]*Statement, len(x.in.Statements))
	for i := range x.in.Statements {
		order[i] = &x.in.Statements[i]
	}
	slices.SortStableFunc(order, func(a, b *Statement) int { return a.Start.Compare(b.Start) })
	blocks := make(map[blockKey]*block)
	for _, s := range order {
		k := blockKey{s.Group, s.Member, s.Transaction}
		b := blocks[k]
		if b == nil {
			b = &block{}
			blocks[k] = b
			x.blocks = append(x.blocks, b)
		}
		x.addStatement(b, s)
	}
}

func (x *index) addStatement(b *block, s *Statement) {
	b.statements = append(b.statements, s)
	if !s.Position.IsZero() {
		b.position = s.Position
	}
	id, ok := s.Marker()
	if !ok {
		return
	}
	x.executions[id] = append(x.executions[id], execution{statement: s, block: b})
	if op := x.byID[id]; op != nil {
		b.marked = append(b.marked, op)
	}
}
