package classify

import (
	"strings"

	pganalyze "github.com/pganalyze/pg_query_go/v6"

	"github.com/celerystep/celerystep/internal/request"
)

// analyze builds the description of a parsed text.
func analyze(tree *pganalyze.ParseResult) *Statement {
	if len(tree.Stmts) == 0 {
		return emptyText
	}
	s := &Statement{Kind: request.KindRead, Count: len(tree.Stmts)}
	readOnlyBlock := false
	for _, raw := range tree.Stmts {
		s.add(raw.Stmt, &readOnlyBlock)
	}
	if s.Local != nil && s.Count > 1 {
		s.Local = nil
		s.Refusal = refuse("statements on the session itself must be sent on their own")
	}
	return s
}

// add takes in one statement of the text. readOnlyBlock is true while the text itself has opened a read-only block.
func (s *Statement) add(node *pganalyze.Node, readOnlyBlock *bool) {
	switch n := node.Node.(type) {
	case *pganalyze.Node_TransactionStmt:
		s.transaction(n.TransactionStmt, readOnlyBlock)
		return
	case *pganalyze.Node_SelectStmt, *pganalyze.Node_ExplainStmt:
	case *pganalyze.Node_VariableSetStmt:
		s.variableSet(n.VariableSetStmt)
	case *pganalyze.Node_VariableShowStmt:
		s.show(strings.ToLower(n.VariableShowStmt.Name))
	case *pganalyze.Node_DiscardStmt:
		s.discard(n.DiscardStmt)
	case *pganalyze.Node_DeallocateStmt:
		s.deallocate(n.DeallocateStmt)
	case *pganalyze.Node_UnlistenStmt:
		s.Local = &Local{Op: LocalUnlisten, Tag: "UNLISTEN"}
	}
	s.query(node, *readOnlyBlock)
}

// query decides whether the statement is a read.
func (s *Statement) query(node *pganalyze.Node, readOnlyBlock bool) {
	target := node
	if e := node.GetExplainStmt(); e != nil {
		target = e.Query
	}
	s.pinned(target)
	f := examine(target)
	if f.pins != "" && s.Refusal == nil {
		s.Refusal = refuse(f.pins + " needs a connection of its own, which a pooled session does not have")
	}
	if !f.read && !readOnlyBlock {
		s.Kind = request.KindWrite
	}
}

// show takes in SHOW. Among several statements only parameters that an upstream does not have need the session.
func (s *Statement) show(name string) {
	if s.Count == 1 || strings.HasPrefix(name, parameterPrefix) {
		s.Local = &Local{Op: LocalShow, Name: name, Tag: "SHOW"}
	}
}

func (s *Statement) transaction(n *pganalyze.TransactionStmt, readOnlyBlock *bool) {
	switch n.Kind {
	case pganalyze.TransactionStmtKind_TRANS_STMT_BEGIN, pganalyze.TransactionStmtKind_TRANS_STMT_START:
		s.Begins = true
		*readOnlyBlock = s.Kind == request.KindRead && replicaBlock(n.Options)
		if !*readOnlyBlock {
			s.Kind = request.KindWrite
		}
	case pganalyze.TransactionStmtKind_TRANS_STMT_COMMIT, pganalyze.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		s.Ends = true
		s.Rollback = n.Kind == pganalyze.TransactionStmtKind_TRANS_STMT_ROLLBACK
		s.Begins = s.Begins || n.Chain
		if !*readOnlyBlock || n.Chain {
			s.Kind = request.KindWrite
		}
		*readOnlyBlock = false
	case pganalyze.TransactionStmtKind_TRANS_STMT_SAVEPOINT, pganalyze.TransactionStmtKind_TRANS_STMT_RELEASE,
		pganalyze.TransactionStmtKind_TRANS_STMT_ROLLBACK_TO:
		s.Savepoint = true
		if !*readOnlyBlock {
			s.Kind = request.KindWrite
		}
	default:
		s.Kind = request.KindWrite
		s.Refusal = refuse("two-phase commit is not supported")
	}
}

// replicaBlock reports whether BEGIN declares a block that a replica can run: read only and not serializable, which
// replicas do not offer.
func replicaBlock(options []*pganalyze.Node) bool {
	readOnly := false
	for _, o := range options {
		d := o.GetDefElem()
		switch d.GetDefname() {
		case "transaction_read_only":
			readOnly = d.Arg.GetAConst().GetIval().GetIval() == 1
		case "transaction_isolation":
			if d.Arg.GetAConst().GetSval().GetSval() == "serializable" {
				return false
			}
		}
	}
	return readOnly
}

// pinned refuses the statements that leave state on the connection after their transaction.
func (s *Statement) pinned(node *pganalyze.Node) {
	what := ""
	switch n := node.Node.(type) {
	case *pganalyze.Node_CopyStmt:
		what = "COPY"
	case *pganalyze.Node_ListenStmt:
		what = "LISTEN"
	case *pganalyze.Node_PrepareStmt:
		what = "PREPARE in SQL; use prepared statements of the protocol"
	case *pganalyze.Node_ExecuteStmt:
		what = "EXECUTE in SQL; use prepared statements of the protocol"
	case *pganalyze.Node_LoadStmt:
		what = "LOAD"
	case *pganalyze.Node_DeclareCursorStmt:
		if n.DeclareCursorStmt.Options&cursorOptionHold != 0 {
			what = "DECLARE ... WITH HOLD"
		}
	}
	if what != "" {
		s.Refusal = refuse("not supported over pooled connections: " + what)
	}
}

// cursorOptionHold is CURSOR_OPT_HOLD of PostgreSQL's parsenodes.h.
const cursorOptionHold = 0x0020

func (s *Statement) discard(n *pganalyze.DiscardStmt) {
	if n.Target == pganalyze.DiscardMode_DISCARD_ALL {
		s.Local = &Local{Op: LocalDiscardAll, Tag: "DISCARD ALL"}
		return
	}
	target := strings.TrimPrefix(n.Target.String(), "DISCARD_")
	s.Local = &Local{Op: LocalDiscard, Tag: "DISCARD " + target}
}

func (s *Statement) deallocate(n *pganalyze.DeallocateStmt) {
	if n.Isall || n.Name == "" {
		s.Local = &Local{Op: LocalDeallocateAll, Tag: "DEALLOCATE ALL"}
		return
	}
	s.Local = &Local{Op: LocalDeallocate, Name: n.Name, Tag: "DEALLOCATE"}
}
