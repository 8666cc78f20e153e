package connstate

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/statement"
)

// server is a member's side of a connection. A failed command has, or has not, had its effect.
type server struct {
	tx       statement.TxState
	values   map[string]string
	prepared map[string]statement.Prepared
}

func (s *server) apply(c member.Command) {
	switch c.Kind {
	case statement.KindSet:
		s.values[c.Name] = c.Value
	case statement.KindReset:
		s.values, s.prepared = map[string]string{}, map[string]statement.Prepared{}
	case statement.KindPrepare:
		s.prepared[c.Name] = c.Prepared
	case statement.KindBegin:
		s.tx = statement.TxOpen
	case statement.KindCommit, statement.KindRollback:
		s.tx = statement.TxIdle
	default:
	}
}

// answer carries the command out, refuses it, or fails with or without an effect.
func (s *server) answer(t *rapid.T, c member.Command) statement.Answer {
	code := rapid.SampledFrom([]statement.Code{statement.CodeOK, statement.CodeOK, statement.CodeBusy, statement.CodeFailed, statement.CodeTimeout}).Draw(t, "code")
	if code == statement.CodeOK || !code.NotRun() && rapid.Bool().Draw(t, "effect") {
		s.apply(c)
	}
	return statement.Answer{Code: code, State: s.tx}
}

// Guards against records that say more than the member's answers prove: a connection that needs no setup for a session has its values
// and its prepared statement, and one of proven state is in the recorded transaction state.
func TestAReadyConnectionHoldsWhatItsSessionNeeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &server{values: map[string]string{}, prepared: map[string]statement.Prepared{}}
		var state State
		send := func(commands []member.Command) {
			var answers []statement.Answer
			for _, c := range commands {
				answers = append(answers, s.answer(t, c))
			}
			state.Record(commands, answers)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			values := rapid.MapOf(rapid.SampledFrom([]string{"a", "b"}), rapid.SampledFrom([]string{"1", "2"})).Draw(t, "values")
			st := statement.Statement{Kind: rapid.SampledFrom([]statement.Kind{
				statement.KindWrite, statement.KindExecute, statement.KindBegin, statement.KindRollback,
			}).Draw(t, "kind")}
			st.Prepared.Definition = rapid.SampledFrom([]string{"p", "q"}).Draw(t, "definition")
			commands := state.Setup(values, st)
			if len(commands) > 0 {
				send(commands)
				continue
			}
			checkReady(t, s, values, st)
			send([]member.Command{{Statement: st}})
			if state.Transaction() != s.tx {
				t.Fatalf("recorded %v, the member has %v", state.Transaction(), s.tx)
			}
		}
	})
}

func checkReady(t *rapid.T, s *server, values map[string]string, st statement.Statement) {
	if len(values) != len(s.values) {
		t.Fatalf("ready with the values %v, the session has %v", s.values, values)
	}
	for name, v := range values {
		if s.values[name] != v {
			t.Fatalf("ready with the values %v, the session has %v", s.values, values)
		}
	}
	if held, ok := s.prepared[PreparedName(st.Prepared)]; st.Kind == statement.KindExecute && (!ok || held != st.Prepared) {
		t.Fatalf("ready for %v with %v", st.Prepared, s.prepared)
	}
}

// Guards against a connection that is used on although a command on it was not answered, or a SET has failed and no RESET has
// succeeded since.
func TestUnprovenStates(t *testing.T) {
	is := is.New(t)
	set, reset := member.OwnCommand(statement.KindSet), member.OwnCommand(statement.KindReset)
	failed := statement.Answer{Code: statement.CodeFailed}
	var s State
	s.Record([]member.Command{set}, []statement.Answer{failed})
	is.Equal(s.Unproven(), ErrValuesUnknown)
	s.Record([]member.Command{reset}, []statement.Answer{{Code: statement.CodeBusy}})
	is.Equal(s.Unproven(), ErrValuesUnknown)
	s.Record([]member.Command{reset}, []statement.Answer{{}})
	is.NoErr(s.Unproven())
	s.Record([]member.Command{reset, set}, []statement.Answer{{}})
	is.Equal(s.Unproven(), ErrUnanswered)
}

// Guards against a member that has lost a prepared statement, and with it perhaps the session values.
func TestAForgottenStatementMakesTheStateUnproven(t *testing.T) {
	is := is.New(t)
	var s State
	st := statement.Statement{Kind: statement.KindExecute, Prepared: statement.Prepared{Definition: "p"}}
	prepare := s.Setup(nil, st)
	s.Record(prepare, []statement.Answer{{}})
	is.Equal(len(s.Setup(nil, st)), 0)
	st.Name = PreparedName(st.Prepared)
	s.Record([]member.Command{{Statement: st}}, []statement.Answer{{Code: statement.CodeUnknownStatement}})
	is.Equal(s.Unproven(), ErrContradicted)
}

// Guards against a transaction that is aborted, and its COMMIT left in doubt, because one of its statements is the hundredth that is
// prepared on the connection: a reset is not possible before the transaction ends.
func TestTheLimitOfPreparedStatementsResetsNoTransaction(t *testing.T) {
	is := is.New(t)
	var s State
	run := func(i int, answer statement.Answer) []member.Command {
		st := statement.Statement{Kind: statement.KindExecute, Prepared: statement.Prepared{Definition: fmt.Sprint(i)}}
		commands := s.Setup(nil, st)
		s.Record(commands, []statement.Answer{answer, answer}[:len(commands)])
		return commands
	}
	open, idle := statement.Answer{State: statement.TxOpen}, statement.Answer{}
	for i := range maxPrepared + 12 {
		is.Equal(len(run(i, open)), 1)
	}
	s.Record([]member.Command{member.OwnCommand(statement.KindCommit)}, []statement.Answer{idle})
	is.Equal(run(0, idle)[0].Kind, statement.KindReset)
	for i := 1; i < maxPrepared; i++ {
		is.Equal(len(run(i, idle)), 1)
	}
	is.Equal(run(maxPrepared, idle)[0].Kind, statement.KindReset)
}
