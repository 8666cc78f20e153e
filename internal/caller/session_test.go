package caller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

// scriptedRunner returns its answers in order and records the requests.
type scriptedRunner struct {
	answers  []operation.Response
	requests []operation.Request
	ended    chan operation.SessionID
}

func (s *scriptedRunner) Run(_ context.Context, r *operation.Request) operation.Response {
	s.requests = append(s.requests, *r)
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a
}

func (s *scriptedRunner) End(_ context.Context, _ upstream.GroupID, id operation.SessionID) {
	s.ended <- id
}

func ok(state statement.TxState, lsn int) operation.Response {
	p := position.Position{}
	if lsn > 0 {
		p = position.Position{Term: 1, LSN: position.LSN(lsn)}
	}
	return operation.Response{Answer: statement.Answer{Receipt: "m", State: state, Position: p}}
}

func failed(code statement.Code) operation.Response {
	return operation.Response{Answer: statement.Answer{Code: code}}
}

func newSession(answers ...operation.Response) (*Session, *scriptedRunner, *catalog.Catalog) {
	c := catalog.New(1, 1)
	c.Routes["db"] = &catalog.Route{Name: "r", Database: "db", Group: "g"}
	c.AddCustomer(&catalog.Customer{Name: "t"}, []string{"k"})
	run := &scriptedRunner{answers: answers, ended: make(chan operation.SessionID, 10)}
	number := uint64(0)
	newID := func() operation.SessionID {
		number++
		return operation.SessionID{Instance: "i", Number: number}
	}
	s := &Session{id: newID(), newID: newID, database: "db", key: "k", catalog: func() *catalog.Catalog { return c }, runner: run, clock: time.Now}
	return s, run, c
}

func do(s *Session, k statement.Kind) operation.Response {
	return s.Do(context.Background(), statement.Statement{ID: "1", Kind: k, Text: "x"})
}

func TestBeginIsSentWithFirstStatement(t *testing.T) {
	is := is.New(t)
	s, run, _ := newSession(ok(statement.TxOpen, 0), ok(statement.TxOpen, 0), ok(statement.TxIdle, 5))
	is.Equal(do(s, statement.KindBegin).State, statement.TxOpen)
	is.Equal(len(run.requests), 0)
	do(s, statement.KindRead)
	is.Equal(run.requests[0].Begin, statement.KindBegin)
	is.True(!run.requests[0].InTransaction)
	do(s, statement.KindWrite)
	is.Equal(run.requests[1].Begin, statement.KindInvalid)
	is.True(run.requests[1].InTransaction)
	is.Equal(do(s, statement.KindCommit).State, statement.TxIdle)
	is.Equal(s.floor, position.Position{Term: 1, LSN: 5}) // later reads must observe the session's own commit
}

func TestEmptyTransactionIsCommittedByMember(t *testing.T) {
	is := is.New(t)
	s, run, _ := newSession(ok(statement.TxIdle, 0))
	do(s, statement.KindBeginRead)
	is.Equal(do(s, statement.KindCommit).Receipt, "m")
	is.Equal(run.requests[0].Begin, statement.KindBeginRead)
}

func TestFailedTransactionAcceptsOnlyCommitOrRollback(t *testing.T) {
	is := is.New(t)
	s, _, _ := newSession(failed(statement.CodeBusy))
	do(s, statement.KindBegin)
	r := do(s, statement.KindRead)
	is.Equal(r.Code, statement.CodeBusy)
	is.Equal(r.State, statement.TxFailed)
	is.Equal(do(s, statement.KindSet).Code, statement.CodeMalformed)
	is.Equal(do(s, statement.KindCommit).Code, statement.CodeAborted) // committing a failed transaction aborts it
	is.Equal(s.State(), statement.TxIdle)
}

func TestRollbackReachesMemberHoldingTransaction(t *testing.T) {
	is := is.New(t)
	s, run, _ := newSession(ok(statement.TxOpen, 0))
	do(s, statement.KindBegin)
	do(s, statement.KindRollback)
	is.Equal(len(run.ended), 0) // no request was sent
	do(s, statement.KindBegin)
	do(s, statement.KindRead)
	is.Equal(do(s, statement.KindRollback).State, statement.TxIdle)
	<-run.ended
}

func TestCommitInDoubtEndsTransaction(t *testing.T) {
	is := is.New(t)
	s, _, _ := newSession(ok(statement.TxOpen, 0), failed(statement.CodeInDoubt))
	do(s, statement.KindBegin)
	do(s, statement.KindWrite)
	r := do(s, statement.KindCommit)
	is.Equal(r.Code, statement.CodeInDoubt)
	is.Equal(r.State, statement.TxIdle)
	is.True(s.floor.IsZero())
}

func TestRouteChangeAppliesToNextTransaction(t *testing.T) {
	is := is.New(t)
	s, run, c := newSession(ok(statement.TxOpen, 0), ok(statement.TxIdle, 0), ok(statement.TxIdle, 0))
	do(s, statement.KindBegin)
	do(s, statement.KindRead)
	c.Routes["db"] = &catalog.Route{Name: "r", Database: "db", Group: "h"}
	do(s, statement.KindCommit)
	is.Equal(run.requests[1].Group, upstream.GroupID("g"))
	do(s, statement.KindRead)
	is.Equal(run.requests[2].Group, upstream.GroupID("h"))
	delete(c.Routes, "db")
	is.Equal(do(s, statement.KindRead).Code, statement.CodeUnknownDatabase)
}

// Guards against an end that arrives late and rolls back the session's next transaction.
func TestEachTransactionHasItsOwnID(t *testing.T) {
	is := is.New(t)
	s, run, _ := newSession(ok(statement.TxOpen, 0), ok(statement.TxOpen, 0), ok(statement.TxOpen, 0))
	do(s, statement.KindBeginRead)
	do(s, statement.KindRead)
	do(s, statement.KindRollback)
	do(s, statement.KindBegin)
	do(s, statement.KindWrite)
	do(s, statement.KindWrite)
	first, next := run.requests[0].Session, run.requests[1].Session
	is.True(first != next)
	is.Equal(run.requests[2].Session, next)
	is.Equal(<-run.ended, first)
}
