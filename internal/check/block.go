package check

import (
	"slices"
	"strings"
	"time"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// block is a transaction as one connection of a member ran it: either one statement by itself, or everything from
// BEGIN to COMMIT or ROLLBACK.
type block struct {
	explicit  bool
	committed bool
	// ended is false when the log stops inside the block.
	ended bool
	// position is that of the commit, zero when unknown.
	position   position.Position
	statements []*Statement
	marked     []*Operation
}

// first returns the start of the block.
func (b *block) first() time.Time { return b.statements[0].Start }

// failed reports whether a statement of the block failed, after which a COMMIT rolls back.
func (b *block) failed() bool {
	return slices.ContainsFunc(b.statements, func(s *Statement) bool { return s.Code != "" })
}

// execution is one run of a marked statement at a member.
type execution struct {
	statement *Statement
	block     *block
}

// completed reports whether the statement ran without an error or may have.
func (e execution) completed() bool { return e.statement.Code == "" }

// connectionKey names a member's connection.
type connectionKey struct {
	group      upstream.GroupID
	member     upstream.MemberID
	connection uint64
}

// keyword is the leading word of a statement that controls transactions.
type keyword uint8

const (
	keywordOther keyword = iota
	keywordBegin
	keywordCommit
	keywordRollback
)

// keywordOf classifies a statement by its first word.
func keywordOf(text string) keyword {
	word, _, _ := strings.Cut(strings.TrimSpace(text), " ")
	switch strings.ToUpper(strings.TrimRight(word, ";")) {
	case "BEGIN", "START":
		return keywordBegin
	case "COMMIT", "END":
		return keywordCommit
	case "ROLLBACK", "ABORT":
		return keywordRollback
	default:
		return keywordOther
	}
}

// indexStatements groups each connection's log into blocks and maps markers to their executions.
func (x *index) indexStatements() {
	connections := make(map[connectionKey][]*Statement)
	var order []connectionKey
	for i := range x.in.Statements {
		s := &x.in.Statements[i]
		k := connectionKey{s.Group, s.Member, s.Connection}
		if connections[k] == nil {
			order = append(order, k)
		}
		connections[k] = append(connections[k], s)
	}
	for _, k := range order {
		log := connections[k]
		slices.SortStableFunc(log, func(a, b *Statement) int { return a.Start.Compare(b.Start) })
		x.blocks = append(x.blocks, splitBlocks(log)...)
	}
	for _, b := range x.blocks {
		x.indexBlock(b)
	}
}

func (x *index) indexBlock(b *block) {
	for _, s := range b.statements {
		id, ok := s.Marker()
		if !ok {
			continue
		}
		x.executions[id] = append(x.executions[id], execution{statement: s, block: b})
		if op := x.byID[id]; op != nil {
			b.marked = append(b.marked, op)
		}
	}
}

// splitBlocks cuts the log of one connection, in order of start, into blocks.
func splitBlocks(log []*Statement) []*block {
	var blocks []*block
	var open *block
	for _, s := range log {
		word := keywordOf(s.Text)
		if open == nil {
			b := &block{statements: []*Statement{s}}
			blocks = append(blocks, b)
			if word == keywordBegin {
				b.explicit = true
				open = b
				continue
			}
			b.committed = s.Code == "" && !s.End.IsZero()
			b.ended = !s.End.IsZero()
			b.position = s.Position
			continue
		}
		open.statements = append(open.statements, s)
		if word != keywordCommit && word != keywordRollback {
			continue
		}
		open.ended = !s.End.IsZero()
		open.committed = word == keywordCommit && open.ended && !open.failed()
		open.position = s.Position
		open = nil
	}
	return blocks
}
