package entry

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/goleak"

	"github.com/celerystep/celerystep/internal/classify"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/keys"
	"github.com/celerystep/celerystep/internal/pgwire"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

func TestMain(m *testing.M) {
	<-classifier.Ready()
	goleak.VerifyTestMain(m)
}

// testTimeout bounds all waits of the tests; no result depends on it.
const testTimeout = 30 * time.Second

// classifier is shared by the tests because its parser takes seconds to start.
var classifier = classify.New()

// fakeHome answers every statement with one row that contains its text, and tracks BEGIN, COMMIT and ROLLBACK. A
// statement whose text contains "fail" fails.
type fakeHome struct {
	// hook, if set, may handle a request itself by returning true.
	hook func(ctx context.Context, r *request.Request, a request.Answer) (request.Result, bool)

	// discard disables the recording of requests.
	discard bool

	mu        sync.Mutex
	status    map[request.SessionID]byte
	requests  []*request.Request
	ended     []request.SessionID
	cancelled chan request.SessionID
	lsn       position.LSN
}

func newFakeHome() *fakeHome {
	return &fakeHome{status: make(map[request.SessionID]byte), cancelled: make(chan request.SessionID, 16)}
}

func (f *fakeHome) Run(ctx context.Context, r *request.Request, a request.Answer) request.Result {
	copied := *r
	copied.Messages = append([]byte(nil), r.Messages...)
	f.mu.Lock()
	if !f.discard {
		f.requests = append(f.requests, &copied)
	}
	f.mu.Unlock()
	if f.hook != nil {
		if result, ok := f.hook(ctx, r, a); ok {
			return result
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	e := &execution{home: f, status: f.status[r.Session], texts: make(map[string]string)}
	for _, p := range r.Prepared {
		e.texts[p.Name] = p.Query
	}
	e.run(r.Messages)
	f.status[r.Session] = e.status
	_, _ = a.Write(e.out)
	result := request.Result{Outcome: request.OutcomeDone, TxStatus: e.status}
	if result.TxStatus == 0 {
		result.TxStatus = txIdle
	}
	if r.Kind == request.KindWrite && result.TxStatus == txIdle {
		f.lsn++
		result.Floor, result.HasFloor = position.Position{Term: 1, LSN: f.lsn}, true
	}
	return result
}

func (f *fakeHome) End(_ context.Context, _ upstream.GroupID, s request.SessionID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.status, s)
	f.ended = append(f.ended, s)
}

func (f *fakeHome) Cancel(_ context.Context, _ upstream.GroupID, s request.SessionID) {
	f.cancelled <- s
}

func (f *fakeHome) last() *request.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.requests) == 0 {
		return nil
	}
	return f.requests[len(f.requests)-1]
}

func (f *fakeHome) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

func (f *fakeHome) endedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ended)
}

// execution is the state of one request at the fake home.
type execution struct {
	home   *fakeHome
	out    []byte
	status byte
	failed bool
	texts  map[string]string
	portal string
}

func (e *execution) run(messages []byte) {
	backend := pgproto3.NewBackend(strings.NewReader(string(messages)), nil)
	for {
		m, err := backend.Receive()
		if err != nil {
			return
		}
		if !e.failed {
			e.message(m)
		}
	}
}

func (e *execution) message(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Query:
		e.describe()
		e.statement(m.String)
	case *pgproto3.Parse:
		e.texts[m.Name] = m.Query
		e.add(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		text, ok := e.texts[m.PreparedStatement]
		if !ok {
			e.fail("26000")
			return
		}
		e.portal = text
		e.add(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			e.add(&pgproto3.ParameterDescription{ParameterOIDs: slices.Repeat([]uint32{textOID}, e.parameters(m.Name))})
		}
		e.describe()
	case *pgproto3.Execute:
		e.statement(e.portal)
	}
}

// parameters counts the parameters of a statement, of which the fake knows at most one.
func (e *execution) parameters(name string) int { return min(strings.Count(e.texts[name], "$1"), 1) }

func (e *execution) add(m pgproto3.BackendMessage) { e.out = pgwire.Append(e.out, m) }

func (e *execution) fail(code string) {
	e.failed = true
	if e.status == txOpen {
		e.status = txFailed
	}
	e.out = (&pgwire.Error{Code: code, Message: "failed as asked", Trace: "fake", Step: "run"}).Append(e.out)
}

func (e *execution) describe() {
	e.add(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte("text"), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}})
}

func (e *execution) statement(text string) {
	word, _, _ := strings.Cut(strings.ToLower(text), " ")
	word = strings.TrimSuffix(word, ";")
	switch {
	case strings.Contains(text, "fail"):
		e.fail("22012")
		return
	case word == "begin":
		e.status = txOpen
	case word == "commit" || word == "rollback":
		e.status = txIdle
	}
	e.add(&pgproto3.DataRow{Values: [][]byte{[]byte(text)}})
	e.add(&pgproto3.CommandComplete{CommandTag: []byte(strings.ToUpper(word))})
}

// plainTokens is a TokenCodec with unsigned, readable tokens.
type plainTokens struct{}

func (plainTokens) Encode(customer string, g upstream.GroupID, p position.Position) string {
	return customer + "@" + string(g) + "@" + p.String()
}

func (plainTokens) Decode(customer string, g upstream.GroupID, token string) (position.Position, error) {
	text, ok := strings.CutPrefix(token, customer+"@"+string(g)+"@")
	if !ok {
		return position.Position{}, errors.New("token of another customer or group")
	}
	return position.Parse(text)
}

// fixture is a server on loopback with one customer, kestrel, that has the key "dispatch".
type fixture struct {
	t       testing.TB
	home    *fakeHome
	server  *Server
	address string
	secret  string
	cluster *config.Cluster
	log     *syncBuffer
}

func newFixture(t testing.TB, s Settings) *fixture {
	t.Helper()
	secret, key, err := keys.Issue("dispatch")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, home: newFakeHome(), secret: secret.Reveal(), log: &syncBuffer{}}
	f.cluster = &config.Cluster{
		Version:   1,
		Customers: []config.Customer{{Name: "kestrel", Keys: []config.Key{key}}, {Name: "public"}},
		Routes: []config.Route{
			{Database: "orders", Group: "g1", Customers: []string{"kestrel"}},
			{Database: "fixtures", Group: "g2", OpenCustomer: "public"},
			{Database: "closed", Group: "g2"},
		},
	}
	s.Instance = "i1"
	f.server = NewServer(s, Dependencies{
		Runner: f.home, Classifier: classifier, Tokens: plainTokens{},
		Log: hclog.New(&hclog.LoggerOptions{Level: hclog.Trace, Output: f.log}),
	})
	f.server.Apply(config.NewSnapshot(f.cluster))
	f.address = f.serve()
	return f
}

func (f *fixture) serve() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.server.Serve(ln)
	}()
	f.t.Cleanup(func() {
		f.server.Close()
		<-done
	})
	return ln.Addr().String()
}

// syncBuffer collects log output from concurrent writers.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !f() {
		if time.Now().After(deadline) {
			t.Fatal("not reached: " + what)
		}
		time.Sleep(time.Millisecond)
	}
}
