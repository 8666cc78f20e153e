package exchange

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/request"
)

func encode(messages ...pgproto3.Message) []byte {
	var out []byte
	for _, m := range messages {
		out, _ = m.Encode(out)
	}
	return out
}

// naiveServer answers encoded frontend messages like a PostgreSQL session that tracks prepared statements by name only.
type naiveServer struct {
	prepared map[string]string
	skipping bool
	log      []string
}

func (s *naiveServer) answer(p []byte) []pgproto3.Message {
	var out []pgproto3.Message
	for len(p) > 0 {
		m, rest, _ := nextMessage(p)
		p = rest
		if s.skipping && m[0] != typeSync {
			continue
		}
		out = append(out, s.one(m)...)
	}
	return out
}

func (s *naiveServer) fail(code string) []pgproto3.Message {
	s.skipping = true
	return []pgproto3.Message{&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "refused"}}
}

func (s *naiveServer) one(m []byte) []pgproto3.Message {
	body := m[headerBytes:]
	switch m[0] {
	case typeQuery:
		text := string(body[:len(body)-1])
		s.log = append(s.log, text)
		verb, _, _ := strings.Cut(text, " ")
		return []pgproto3.Message{&pgproto3.CommandComplete{CommandTag: []byte(verb)}, &pgproto3.ReadyForQuery{TxStatus: 'I'}}
	case typeParse:
		var parse pgproto3.Parse
		parse.Decode(body)
		if _, ok := s.prepared[parse.Name]; ok && parse.Name != "" {
			return s.fail("42P05")
		}
		if parse.Query == "bad" {
			return s.fail("42601")
		}
		s.prepared[parse.Name] = parse.Query
		return []pgproto3.Message{&pgproto3.ParseComplete{}}
	case typeBind:
		var bind pgproto3.Bind
		bind.Decode(body)
		query, ok := s.prepared[bind.PreparedStatement]
		if !ok {
			return s.fail("26000")
		}
		s.log = append(s.log, query)
		return []pgproto3.Message{&pgproto3.BindComplete{}}
	case typeDescribe:
		var describe pgproto3.Describe
		describe.Decode(body)
		if _, ok := s.prepared[describe.Name]; !ok {
			return s.fail("26000")
		}
		return []pgproto3.Message{&pgproto3.ParameterDescription{}, &pgproto3.NoData{}}
	case typeExecute:
		return []pgproto3.Message{&pgproto3.DataRow{}, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}}
	case typeClose:
		var c pgproto3.Close
		c.Decode(body)
		delete(s.prepared, c.Name)
		return []pgproto3.Message{&pgproto3.CloseComplete{}}
	default:
		s.skipping = false
		return []pgproto3.Message{&pgproto3.ReadyForQuery{TxStatus: 'I'}}
	}
}

// run translates the request, sends it to the server and returns the types of the messages that the caller receives.
func run(t interface{ Fatalf(string, ...any) }, s *State, server *naiveServer, r *request.Request) string {
	x, err := Build(s, r, 'I')
	if err != nil {
		t.Fatalf("build: %v", err)
	}
	a := NewAnswer(s, x, 'I', r.Kind == request.KindWrite, nil)
	for _, m := range server.answer(append(append([]byte(nil), x.Settings...), x.Statement...)) {
		if err := a.Process(encode(m)); err != nil {
			t.Fatalf("next: %v", err)
		}
	}
	if !a.Done() {
		t.Fatalf("answer not done")
	}
	a.Acknowledged()
	return types(a.Ready())
}

func types(p []byte) string {
	var out []byte
	for len(p) > 0 {
		m, rest, _ := nextMessage(p)
		out = append(out, m[0])
		p = rest
	}
	return string(out)
}

func server() *naiveServer { return &naiveServer{prepared: make(map[string]string)} }

// Guards against a session that loses its prepared statements, or uses those of another session, when its connection
// changes. Two sessions use the same statement names over two connections; each must execute its own texts.
func TestPreparedStatementsFollowTheSession(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := [2]*State{{}, {}}
		servers := [2]*naiveServer{server(), server()}
		sessions := [2]map[string]string{{}, {}}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			session := sessions[rapid.IntRange(0, 1).Draw(t, "session")]
			conn := rapid.IntRange(0, 1).Draw(t, "conn")
			name := rapid.SampledFrom([]string{"s1", "s2", ""}).Draw(t, "name")
			query := fmt.Sprintf("select %d", rapid.IntRange(0, 3).Draw(t, "query"))
			r := &request.Request{Customer: "c", Kind: request.KindRead}
			known, ok := session[name]
			var want string
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				r.Messages = encode(&pgproto3.Parse{Name: name, Query: query}, &pgproto3.Describe{ObjectType: 'S', Name: name}, &pgproto3.Sync{})
				session[name], want = query, "1tn"
			case 1:
				r.Messages = encode(&pgproto3.Close{ObjectType: 'S', Name: name}, &pgproto3.Sync{})
				delete(session, name)
				want = "3"
			default:
				r.Messages = encode(&pgproto3.Bind{PreparedStatement: name}, &pgproto3.Execute{}, &pgproto3.Sync{})
				if ok {
					r.Prepared = []request.Prepared{{Name: name, Query: known}}
					want = "2DC"
				}
			}
			server := servers[conn]
			server.log = nil
			got := run(t, states[conn], server, r)
			if want != "" && got != want {
				t.Fatalf("answer %q, want %q", got, want)
			}
			if want == "2DC" && server.log[len(server.log)-1] != known {
				t.Fatalf("ran %v, want %q", server.log, known)
			}
		}
	})
}

// Guards against forwarding the answer to an added message to the caller, and against recording a failed Parse as
// prepared.
func TestAddedMessagesStayInvisible(t *testing.T) {
	is := is.New(t)
	s, srv := &State{}, server()
	bad := &request.Request{Customer: "c1", Messages: encode(&pgproto3.Parse{Name: "s", Query: "bad"}, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Sync{})}
	is.Equal(run(t, s, srv, bad), "E")
	is.Equal(run(t, s, srv, bad), "E") // parsed again, not taken from the cache
	is.Equal(srv.log, []string{"SET celerystep.customer = 'c1'"})
	r := &request.Request{Customer: "it's", Parameters: map[string]string{"TimeZone": `a\b`}, Messages: encode(&pgproto3.Query{String: "x"})}
	srv.log = nil
	is.Equal(run(t, s, srv, r), "C")
	is.Equal(srv.log, []string{`SET TimeZone = E'a\\b'`, "SET celerystep.customer = 'it''s'", "x"})
	srv.log = nil
	r.Parameters = nil
	is.Equal(run(t, s, srv, r), "C")
	is.Equal(srv.log, []string{"RESET TimeZone", "x"})
	r.Parameters = map[string]string{"a = b; DROP": "1"}
	_, err := Build(s, r, 'I')
	is.True(err != nil)
}

// Guards against unbounded growth of the prepared statements on a connection.
func TestOldStatementsAreClosed(t *testing.T) {
	is := is.New(t)
	s, srv := &State{}, server()
	for i := range maxStatements + 20 {
		r := &request.Request{Customer: "c", Messages: encode(&pgproto3.Parse{Name: "s", Query: fmt.Sprint(i)}, &pgproto3.Sync{})}
		is.Equal(run(t, s, srv, r), "1")
	}
	is.Equal(len(srv.prepared), maxStatements)
	is.Equal(s.statements.order.Len(), maxStatements)
}

// Guards against messages that would desynchronize the connection from its answers.
func TestMalformedExchangesAreRefused(t *testing.T) {
	is := is.New(t)
	for _, p := range [][]byte{
		nil, {'Q', 0}, encode(&pgproto3.Bind{}), {'S', 0, 0, 0, 99},
		encode(&pgproto3.Sync{}, &pgproto3.Sync{}), encode(&pgproto3.Bind{}, &pgproto3.Query{String: "x"}), encode(&pgproto3.CopyDone{}, &pgproto3.Sync{}),
	} {
		_, err := Build(&State{}, &request.Request{Messages: p}, 'I')
		is.True(err != nil)
	}
}

func complete(tag string) pgproto3.Message {
	return &pgproto3.CommandComplete{CommandTag: []byte(tag)}
}

var (
	row     = &pgproto3.DataRow{}
	commit  = &pgproto3.ParameterStatus{Name: positionParameter, Value: "2/7"}
	ready   = &pgproto3.ReadyForQuery{TxStatus: 'I'}
	inBlock = &pgproto3.ReadyForQuery{TxStatus: 'T'}
)

// Guards against forwarding the answer to a commit, or a later answer that reveals it, before its position is
// acknowledged, and against withholding the rows before it.
func TestCommitIsHeldBack(t *testing.T) {
	cases := []struct {
		name     string
		tx       byte
		kind     request.Kind
		messages []pgproto3.Message
		free     string
		all      string
	}{
		{"single write", 'I', request.KindWrite, []pgproto3.Message{row, complete("INSERT 0 1"), commit, ready}, "D", "DC"},
		{"statement in a block", 'T', request.KindWrite, []pgproto3.Message{row, complete("INSERT 0 1"), inBlock}, "DC", "DC"},
		{"commit then more", 'T', request.KindWrite, []pgproto3.Message{complete("INSERT 0 1"), complete("COMMIT"), row, commit, ready}, "C", "CCD"},
		{"read", 'I', request.KindRead, []pgproto3.Message{row, complete("SELECT 1"), ready}, "DC", "DC"},
		{"read that wrote", 'I', request.KindRead, []pgproto3.Message{row, complete("SELECT 1"), commit, ready}, "", "DC"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &State{settings: map[string]string{CustomerSetting: "c"}}
			x, err := Build(s, &request.Request{Customer: "c", Messages: encode(&pgproto3.Query{String: "x"})}, c.tx)
			is.NoErr(err)
			a := NewAnswer(s, x, c.tx, c.kind == request.KindWrite, nil)
			for _, m := range c.messages {
				is.NoErr(a.Process(encode(m)))
			}
			is.Equal(types(a.Ready()), c.free)
			a.DropReady()
			a.Acknowledged()
			is.Equal(c.free+types(a.Ready()), c.all)
			if p, ok := a.Position(); ok {
				is.Equal(p, position.Position{Term: 2, LSN: 7})
			}
		})
	}
}

// Guards against unbounded memory for the answer after a commit, and against forwarding the end of a pooled connection or
// a COPY to the caller.
func TestAnswersThatEndTheConnection(t *testing.T) {
	is := is.New(t)
	start := func() *Answer {
		x, _ := Build(&State{}, &request.Request{Messages: encode(&pgproto3.Query{String: "x"})}, 'E')
		return NewAnswer(&State{}, x, 'I', true, nil)
	}
	a := start()
	is.NoErr(a.Process(encode(complete("COMMIT"))))
	is.Equal(a.Process(encode(&pgproto3.DataRow{Values: [][]byte{make([]byte, MaxHeldBytes)}})), ErrHeldTooLarge)
	err := start().Process(encode(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "57P01"}))
	is.True(err != nil && strings.Contains(err.Error(), "57P01"))
	is.Equal(start().Process(encode(&pgproto3.CopyInResponse{})), ErrCopy)
	is.True(start().Process(encode(ready)) == nil)
	is.True(start().Process([]byte{'Z'}) != nil)
}

// Guards against a customer that evades its rate limit with uncounted statements, and against counting text as statements.
func TestCountStatements(t *testing.T) {
	is := is.New(t)
	for q, want := range map[string]int{
		"": 1, "select 1": 1, "a;b;c": 3, "a;;b;": 2, "select ';'": 1, `select "a;b"; c`: 2, "a -- ;\n; b": 2,
		"/* ; /* ; */ ; */ a": 1, "$$;$$": 1, "$x$ ; $$ ; $x$; b": 2, "select $1; b": 2, "a$b$; c$b$": 2,
		`select E'\'; b': c`: 1, `select 'a\'; b`: 2, `select name'\'; b`: 2,
	} {
		is.Equal(CountStatements(encode(&pgproto3.Query{String: q})), want) // text: q
	}
	is.Equal(CountStatements(encode(&pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Execute{}, &pgproto3.Sync{})), 2)
}

// Guards against setting a search path of several schemas as one identifier, and against a value that injects SQL.
func TestSettingStatement(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct{ name, value, want string }{
		{"search_path", `"$user", public`, `SET search_path TO "$user", public`},
		{"search_path", `public; DROP TABLE t`, `SET search_path = 'public; DROP TABLE t'`},
		{"search_path", `"a"b", c`, `SET search_path = '"a"b", c'`},
		{"timezone", "Indian/Mauritius", "SET timezone = 'Indian/Mauritius'"},
	} {
		got, err := Setting{Name: c.name, Value: c.value}.statement()
		is.NoErr(err)
		is.Equal(got, c.want)
	}
}

// TestCountStatementsOfMalformedMessages guards against a peer's malformed message that ends the process.
func TestCountStatementsOfMalformedMessages(t *testing.T) {
	is := is.New(t)
	is.Equal(CountStatements([]byte{'Q', 0, 0, 0, 4}), 1) // no body: costs as much as an empty query
	is.Equal(CountStatements([]byte{'Q', 0, 0, 0, 3}), 0)
	is.Equal(CountStatements([]byte{'Q', 0, 0}), 0)
	is.Equal(CountStatements([]byte{'Q', 0, 0, 0, 5, 0}), 1)
}

func FuzzCountStatements(f *testing.F) {
	f.Add([]byte{'Q', 0, 0, 0, 4})
	f.Add([]byte{'Q', 0, 0, 0, 8, ';', '$', '$', 0})
	f.Add([]byte{'E', 0, 0, 0, 4, 'Q', 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, messages []byte) {
		if n := CountStatements(messages); n < 0 || n > len(messages) {
			t.Fatalf("%d statements in %d bytes", n, len(messages))
		}
	})
}
