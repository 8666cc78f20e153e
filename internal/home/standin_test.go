package home

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/standin/group"
	"github.com/celerystep/celerystep/internal/upstream"
	"github.com/celerystep/celerystep/internal/upstream/pgport"
)

// socketTimeout bounds the waits of tests that use real sockets.
const socketTimeout = 30 * time.Second

// startStandIn starts a stand-in group on real sockets and a manager that owns it.
func startStandIn(t testing.TB, service time.Duration) (*group.Group, *Manager) {
	g, err := group.Start(group.Options{
		ID:           "g1",
		Members:      []group.MemberOptions{{ID: "a", FailureDomain: "d1"}, {ID: "b", FailureDomain: "d2"}, {ID: "c", FailureDomain: "d3"}},
		ConnectDelay: 10 * time.Millisecond,
		ServiceTime:  service,
		Schema:       []string{"CREATE TABLE t (id bigint PRIMARY KEY, s text)"},
	})
	if err != nil {
		t.Fatal(err)
	}
	c := testCluster()
	c.Groups = []upstream.Group{g.Upstream()}
	c.Routes = c.Routes[:1]
	snapshot := config.NewSnapshot(c)
	m := NewManager(Options{
		Info:     instance.Info{ID: "h1"},
		Port:     func(upstream.Group) upstream.Port { return pgport.New(pgport.Options{}) },
		Snapshot: func() *config.Snapshot { return snapshot },
		Seed:     1,
	})
	t.Cleanup(func() { m.Close(); g.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), socketTimeout)
	defer cancel()
	if _, err := m.Acquire(ctx, "g1", nil); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { // until the buckets have tokens and a primary is announced
		res, _ := run(m, query("start", "SELECT 1"))
		return res.Outcome == request.OutcomeDone && m.Owned()[0].Primary != ""
	})
	return g, m
}

func waitFor(t testing.TB, f func() bool) {
	t.Helper()
	for end := time.Now().Add(socketTimeout); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not reached")
		}
	}
}

// writeLoad runs writes and reads and records the outcome of each write.
type writeLoad struct {
	m    *Manager
	next atomic.Int64
	stop atomic.Bool

	mu       sync.Mutex
	outcomes map[string]request.Outcome
	stale    []string
}

// write inserts a new row and reads it in another session, which has no floor.
func (l *writeLoad) write(session string) {
	id := l.next.Add(1)
	text := fmt.Sprintf("INSERT INTO t (id) VALUES (%d)", id)
	res, answer := run(l.m, query(session, text))
	if answer == "E" {
		return // rejected by the member: a replaced primary reports SQLSTATE 25006
	}
	l.mu.Lock()
	l.outcomes[text] = res.Outcome
	l.mu.Unlock()
	if res.Outcome != request.OutcomeDone {
		return
	}
	r := query(fmt.Sprintf("reader-%d", id), fmt.Sprintf("SELECT id FROM t WHERE id = %d", id))
	r.Kind = request.KindRead
	if res, answer := run(l.m, r); res.Outcome == request.OutcomeDone && answer != "TDC" {
		l.mu.Lock()
		l.stale = append(l.stale, fmt.Sprintf("%s: %s from %s", text, answer, res.Member))
		l.mu.Unlock()
	}
}

func (l *writeLoad) acknowledged() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, o := range l.outcomes {
		if o == request.OutcomeDone {
			n++
		}
	}
	return n
}

// Guards against lost or duplicated writes, stale reads of acknowledged writes and false not-run outcomes while
// primaries crash, are partitioned and freeze under load.
func TestFailoversUnderLoad(t *testing.T) {
	is := is.New(t)
	g, m := startStandIn(t, time.Millisecond)
	l := &writeLoad{m: m, outcomes: make(map[string]request.Outcome)}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			for !l.stop.Load() {
				l.write(sessionName(i))
			}
		})
	}
	faults := []struct{ begin, end func(upstream.MemberID) }{
		{g.Kill, func(id upstream.MemberID) { g.Restart(id) }},
		{g.Isolate, g.Heal},
		{g.Freeze, g.Unfreeze},
	}
	for _, f := range faults {
		old := m.Owned()[0]
		before := l.acknowledged()
		waitFor(t, func() bool { return l.acknowledged() > before+50 })
		begun := time.Now()
		f.begin(old.Primary)
		waitFor(t, func() bool { o := m.Owned()[0]; return o.Primary != old.Primary && o.Term > old.Term })
		is.True(time.Since(begun) < 5*time.Second) // the target for a partition
		before = l.acknowledged()
		waitFor(t, func() bool { return l.acknowledged() > before+50 })
		f.end(old.Primary)
		waitFor(t, func() bool { return g.Status(old.Primary).Role == upstream.RoleReplica })
	}
	l.stop.Store(true)
	wg.Wait()
	is.NoErr(g.Err())
	is.Equal(l.stale, nil)
	l.verify(t, g, m.Owned()[0].Primary)
}

// verify compares the outcomes with the primary's rows and the members' statement logs.
func (l *writeLoad) verify(t *testing.T, g *group.Group, primary upstream.MemberID) {
	rows, err := g.Read(primary, "SELECT id FROM t")
	if err != nil {
		t.Fatal(err)
	}
	present := make(map[string]bool)
	for _, r := range rows {
		present[fmt.Sprintf("INSERT INTO t (id) VALUES (%v)", r[0])] = true
	}
	ran := make(map[string]int)
	for _, id := range []upstream.MemberID{"a", "b", "c"} {
		log, _ := g.StatementLog(id)
		for _, s := range log {
			ran[s.SQL]++
		}
	}
	count := make(map[request.Outcome]int)
	for text, o := range l.outcomes {
		count[o]++
		if o == request.OutcomeDone && !present[text] {
			t.Errorf("acknowledged write is lost: %s", text)
		}
		if o == request.OutcomeNotRun && ran[text] > 0 {
			t.Errorf("refused as not run, but ran: %s", text)
		}
		if ran[text] > 1 {
			t.Errorf("ran %d times: %s", ran[text], text)
		}
	}
	t.Logf("done %d, unknown %d, not run %d", count[request.OutcomeDone], count[request.OutcomeUnknown], count[request.OutcomeNotRun])
	if count[request.OutcomeNotRun] > 0 {
		t.Errorf("%d writes refused", count[request.OutcomeNotRun])
	}
}

func encode(messages ...pgproto3.FrontendMessage) []byte {
	var out []byte
	for _, m := range messages {
		out, _ = m.Encode(out)
	}
	return out
}

// Guards against a prepared statement that is missing, or is another session's, after the session's connection changed.
func TestPreparedStatementAfterConnectionChange(t *testing.T) {
	is := is.New(t)
	_, m := startStandIn(t, 0)
	prepared := []request.Prepared{{Name: "s", Query: "SELECT 7 + $1::int8", ParamOIDs: []uint32{20}}}
	runConcurrently(9, func(i int) { // more concurrent sessions than any member has connections
		for n := range 20 {
			r := query(sessionName(i), "")
			r.Kind = request.KindRead
			r.Prepared = prepared
			r.Messages = encode(&pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{fmt.Append(nil, n)}}, &pgproto3.Execute{}, &pgproto3.Sync{})
			var a recorder
			res := m.Run(context.Background(), r, &a)
			if res.Outcome != request.OutcomeDone || a.messageTypes() != "2DC" || !bytes.Contains(a.Bytes(), fmt.Append(nil, 7+n)) {
				t.Errorf("%+v %s", res, a.messageTypes())
			}
		}
	})
	r := query("other", "")
	r.Messages = encode(&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	_, answer := run(m, r)
	is.Equal(answer, "E") // another session does not have the statement
	r.Messages = encode(&pgproto3.Parse{Name: "s", Query: "SELECT 1"}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}, &pgproto3.Sync{})
	_, answer = run(m, r)
	is.Equal(answer, "1tT")
}
