package group_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/standin/group"
	"github.com/celerystep/celerystep/internal/upstream"
)

// operate runs an operation on a status connection of the member and returns the status and the SQLSTATE.
func operate(t *testing.T, g *group.Group, id upstream.MemberID, call string, args ...any) (upstream.MemberStatus, string) {
	t.Helper()
	c := connect(t, g, id, "celerystep.status", "on")
	defer closeConn(c)
	var text string
	err := c.QueryRow(t.Context(), "SELECT "+fmt.Sprintf(call, args...)).Scan(&text)
	var s upstream.MemberStatus
	if err == nil {
		err = json.Unmarshal([]byte(text), &s)
	}
	if err != nil && state(err) == "" {
		t.Fatal(err)
	}
	return s, state(err)
}

// failOver fences m2 and m3, promotes m2 in the term and lets m3 follow.
func failOver(t *testing.T, g *group.Group, term position.Term) {
	t.Helper()
	is := is.New(t)
	for _, id := range []upstream.MemberID{"m2", "m3"} {
		_, code := operate(t, g, id, "group_fence(%d, 'i1')", term)
		is.Equal(code, "")
	}
	_, code := operate(t, g, "m2", "group_promote(%d, 'i1')", term)
	is.Equal(code, "")
	_, code = operate(t, g, "m3", "group_follow(%d, 'm2', 'i1')", term)
	is.Equal(code, "")
}

// Guards against a promoted member without the acknowledged positions, and against histories that hide the change.
func TestPromotedMemberHasPositions(t *testing.T) {
	is := is.New(t)
	g := start(t)
	exec(t, connect(t, g, "m1"), "INSERT INTO t (id) VALUES (1)")
	acknowledged := g.Position("m1")
	g.SetLag("m2", 0, time.Hour) // received, but not applied
	waitFor(t, "receipt", func() bool { return g.Status("m2").Received == acknowledged.LSN })
	g.Kill("m1")
	failOver(t, g, 2)
	s := g.Status("m2")
	is.Equal(s.Role, upstream.RolePrimary)
	is.True(s.History.Contains(s.Applied, acknowledged))
	is.Equal(s.History, position.History{{Term: 1, Start: 0}, {Term: 2, Start: acknowledged.LSN}})
	is.Equal(s.LogEnd(), position.Position{Term: 2, LSN: acknowledged.LSN + 1})
	c := connect(t, g, "m2")
	exec(t, c, "INSERT INTO t (id) VALUES (2)")
	is.Equal(c.PgConn().ParameterStatus("group_position"), position.Position{Term: 2, LSN: acknowledged.LSN + 2}.String())
	waitApplied(t, g, "m3", acknowledged.LSN+2)
	is.Equal(one(t, g, "m3", "SELECT group_concat(id) FROM t"), "1,2")
}

// Guards against a fenced primary that commits, be it an open transaction or a new one.
func TestFencedPrimaryCannotCommit(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	g := start(t)
	open, next := connect(t, g, "m1"), connect(t, g, "m1")
	tx, err := open.Begin(ctx)
	is.NoErr(err)
	_, err = tx.Exec(ctx, "INSERT INTO t (id) VALUES (1)")
	is.NoErr(err)
	before := g.Position("m1")
	s, code := operate(t, g, "m1", "group_fence(2, 'i1')")
	is.Equal(code, "")
	is.Equal(s.Role, upstream.RoleFenced)
	is.Equal(s.LogEnd(), before)
	is.Equal(state(tx.Commit(ctx)), "25006")
	_, err = next.Exec(ctx, "INSERT INTO t (id) VALUES (2)")
	is.Equal(state(err), "25006")
	is.Equal(g.Position("m1"), before)
	log, _ := g.StatementLog("m1")
	is.Equal(log[0].Outcome, group.OutcomeRolledBack)

	// The same member may lead again, without what the old transaction wrote.
	_, code = operate(t, g, "m1", "group_promote(2, 'i1')")
	is.Equal(code, "")
	exec(t, next, "INSERT INTO t (id) VALUES (3)")
	is.Equal(one(t, g, "m1", "SELECT group_concat(id) FROM t"), "3")
}

// Guards against terms that go back, are shared by two owners, or are promoted without a fence; and against repeated
// steps that do harm.
func TestTermRules(t *testing.T) {
	g := start(t)
	for _, step := range []struct {
		call, code string
		role       upstream.Role
	}{
		{"group_promote(2, 'i1')", "55000", upstream.RoleReplica},
		{"group_fence(3, 'i1')", "", upstream.RoleFenced},
		{"group_fence(3, 'i1')", "", upstream.RoleFenced},
		{"group_fence(3, 'i2')", "CS001", upstream.RoleFenced},
		{"group_fence(2, 'i1')", "CS001", upstream.RoleFenced},
		{"group_promote(3, 'i2')", "CS001", upstream.RoleFenced},
		{"group_promote(4, 'i1')", "55000", upstream.RoleFenced},
		{"group_promote(3, 'i1')", "", upstream.RolePrimary},
		{"group_promote(3, 'i1')", "", upstream.RolePrimary},
		{"group_fence(3, 'i1')", "", upstream.RolePrimary},
		{"group_follow(3, 'm3', 'i1')", "55000", upstream.RolePrimary},
		{"group_follow(4, 'm2', 'i1')", "22023", upstream.RolePrimary},
		{"group_follow(4, 'm3', 'i1')", "", upstream.RoleReplica},
		{"group_follow(4, 'm3', 'i2')", "", upstream.RoleReplica}, // the same as it does already
		{"group_follow(4, 'm1', 'i2')", "CS001", upstream.RoleReplica},
		{"group_promote(4, 'i1')", "55000", upstream.RoleReplica},
		{"group_fence(5, 'i2')", "", upstream.RoleFenced},
	} {
		is := is.New(t)
		_, code := operate(t, g, "m2", "%s", step.call)
		is.Equal(code, step.code)                // step.call
		is.Equal(g.Status("m2").Role, step.role) // step.call
	}
	is.New(t).Equal(g.Status("m2").History.LastTerm(), position.Term(3)) // one record for one promotion
}

// Guards against divergent records that survive, and against a member that serves them after it has followed.
func TestTruncatedDivergence(t *testing.T) {
	is := is.New(t)
	g := start(t)
	c := connect(t, g, "m1")
	exec(t, c, "INSERT INTO t (id) VALUES (1)")
	common := g.Position("m1").LSN
	waitApplied(t, g, "m2", common)
	waitApplied(t, g, "m3", common)
	g.Isolate("m1")
	exec(t, c, "INSERT INTO t (id) VALUES (10), (11)") // it still believes that it leads
	exec(t, c, "CREATE TABLE only_here (id int)")
	is.Equal(g.Position("m1").LSN, common+2)
	failOver(t, g, 2)
	exec(t, connect(t, g, "m2"), "INSERT INTO t (id) VALUES (2)")
	is.Equal(g.Status("m2").Received, common+2) // same length, other term
	is.Equal(g.Status("m1").Role, upstream.RolePrimary)

	g.Heal("m1")
	s, code := operate(t, g, "m1", "group_follow(2, 'm2', 'i1')")
	is.Equal(code, "")
	is.Equal(s.History.LastTerm(), position.Term(2)) // nothing divergent is left when Follow returns
	waitApplied(t, g, "m1", common+2)
	is.Equal(one(t, g, "m1", "SELECT group_concat(id) FROM t"), "1,2")
	_, err := c.Exec(t.Context(), "SELECT 1")
	is.True(err != nil) // connections that saw the dropped state are closed
	_, err = g.Read("m1", "SELECT * FROM only_here")
	is.True(err != nil)
}

// Guards against a claim that leaves an older home able to run or commit anything.
func TestClaimClosesOlderGenerations(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	g := start(t)
	_, code := operate(t, g, "m1", "group_claim(5, 'i1')")
	is.Equal(code, "")
	old := connect(t, g, "m1", "celerystep.home", "i1/5")
	tx, err := old.Begin(ctx)
	is.NoErr(err)
	_, err = tx.Exec(ctx, "INSERT INTO t (id) VALUES (1)")
	is.NoErr(err)
	plain := connect(t, g, "m1")

	_, code = operate(t, g, "m1", "group_claim(5, 'i2')")
	is.Equal(code, "CS001")
	s, code := operate(t, g, "m1", "group_claim(6, 'i2')")
	is.Equal(code, "")
	is.Equal(s.Generation, uint64(6))
	is.Equal(s.Owner, "i2")
	is.True(tx.Commit(ctx) != nil)
	_, code = operate(t, g, "m1", "group_claim(6, 'i2')") // repeated after a lost answer
	is.Equal(code, "")
	_, code = operate(t, g, "m1", "group_claim(5, 'i1')")
	is.Equal(code, "CS001")
	for home, want := range map[string]string{"i1/5": "CS001", "i1/6": "CS001", "i2/7": "55000", "i2/x": "22023"} {
		_, err = connectTo(t, g, "m1", "celerystep.home", home)
		is.Equal(state(err), want)
	}
	exec(t, connect(t, g, "m1", "celerystep.home", "i2/6"), "INSERT INTO t (id) VALUES (2)")
	exec(t, plain, "SELECT 1") // a connection without a home is not concerned
	is.Equal(one(t, g, "m1", "SELECT group_concat(id) FROM t"), "2")
	log, _ := g.StatementLog("m1")
	is.Equal(log[0].Outcome, group.OutcomeRolledBack)
	is.Equal(log[1].Generation, uint64(6))
}

// Guards against replicas that hide a dead primary, or that report a living one as silent.
func TestPrimarySilence(t *testing.T) {
	is := is.New(t)
	g := start(t)
	const limit = 400 * time.Millisecond
	is.True(g.Status("m2").PrimarySilence < limit)
	g.Kill("m1")
	waitFor(t, "reset stream", func() bool { return g.Status("m2").PrimarySilence >= limit })
	is.NoErr(g.Restart("m1"))
	waitFor(t, "stream", func() bool { return g.Status("m2").PrimarySilence < limit })
	g.Isolate("m1")
	is.True(g.Status("m2").PrimarySilence < limit) // silence only grows with time
	waitFor(t, "silence", func() bool { return g.Status("m3").PrimarySilence >= limit })
	g.Heal("m1")
	waitFor(t, "stream", func() bool { return g.Status("m3").PrimarySilence < limit })
	g.Freeze("m1")
	waitFor(t, "silence", func() bool { return g.Status("m3").PrimarySilence >= limit })
	g.Unfreeze("m1")
	waitFor(t, "stream", func() bool { return g.Status("m3").PrimarySilence < limit })
	is.Equal(g.Status("m1").PrimarySilence, time.Duration(0))
}

// Guards against committed transactions that a crash loses, and against open ones that it keeps.
func TestKillAndRestart(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	g := start(t)
	c := connect(t, g, "m1")
	exec(t, c, "INSERT INTO t (id) VALUES (1)")
	tx, err := c.Begin(ctx)
	is.NoErr(err)
	_, err = tx.Exec(ctx, "INSERT INTO t (id) VALUES (2)")
	is.NoErr(err)
	g.Kill("m1")
	is.True(tx.Commit(ctx) != nil)
	_, err = connectTo(t, g, "m1")
	is.True(err != nil)
	is.NoErr(g.Restart("m1"))
	exec(t, connect(t, g, "m1"), "INSERT INTO t (id) VALUES (3)") // it leads its old term
	is.Equal(one(t, g, "m1", "SELECT group_concat(id) FROM t"), "1,3")
	waitApplied(t, g, "m2", g.Status("m1").Received)
	is.Equal(one(t, g, "m2", "SELECT group_concat(id) FROM t"), "1,3")
}

// Guards against lags that delay the wrong step.
func TestLag(t *testing.T) {
	is := is.New(t)
	g := start(t)
	g.SetLag("m2", time.Hour, 0)
	g.SetLag("m3", 0, time.Hour)
	exec(t, connect(t, g, "m1"), "INSERT INTO t (id) VALUES (1)")
	end := g.Status("m1").Received
	waitFor(t, "receipt", func() bool { return g.Status("m3").Received == end })
	is.Equal(g.Status("m3").Applied, end-1)
	is.Equal(g.Status("m2").Received, end-1)
	is.True(g.Status("m2").PrimarySilence < 400*time.Millisecond) // it lags, but hears its primary
	g.SetLag("m2", 0, 0)
	g.SetLag("m3", 0, 0)
	waitApplied(t, g, "m2", end)
	waitApplied(t, g, "m3", end)
}

// Guards against a frozen member that answers, or that loses what arrived meanwhile.
func TestFreeze(t *testing.T) {
	is := is.New(t)
	g := start(t)
	c := connect(t, g, "m2")
	g.Freeze("m2")
	answered := make(chan error, 1)
	go func() {
		_, err := c.Exec(t.Context(), "SELECT 1")
		answered <- err
	}()
	exec(t, connect(t, g, "m1"), "INSERT INTO t (id) VALUES (1)")
	end := g.Status("m1").Received
	waitApplied(t, g, "m3", end)
	is.Equal(g.Status("m2").Received, end-1)
	is.Equal(len(answered), 0)
	g.Unfreeze("m2")
	is.NoErr(<-answered)
	waitApplied(t, g, "m2", end)
}

// Guards against a status stream that misses changes, or that is silent while nothing changes.
func TestStatusStream(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	g := start(t)
	c := connect(t, g, "m2", "celerystep.status", "on")
	exec(t, c, "LISTEN group_status")
	next := func() upstream.MemberStatus {
		n, err := c.WaitForNotification(ctx)
		is.NoErr(err)
		is.Equal(n.Channel, "group_status")
		var s upstream.MemberStatus
		is.NoErr(json.Unmarshal([]byte(n.Payload), &s))
		return s
	}
	exec(t, connect(t, g, "m1"), "INSERT INTO t (id) VALUES (1)")
	end := g.Status("m1").Received
	for s := next(); s.Applied < end; s = next() {
		is.Equal(s.Member, upstream.MemberID("m2"))
	}
	begin := time.Now()
	for range 3 {
		next()
	}
	is.True(time.Since(begin) < 5*time.Second) // heartbeats come each 100 ms
	exec(t, c, "UNLISTEN group_status")
}

// Guards against fault functions that work where they are not allowed, or do nothing where they are.
func TestFaultFunctions(t *testing.T) {
	is := is.New(t)
	_, err := connect(t, start(t), "m1").Exec(t.Context(), "SELECT group_fault('kill', 'm2')")
	is.Equal(state(err), "42501")
	g := start(t, func(o *group.Options) { o.FaultFunctions = true })
	c := connect(t, g, "m1")
	exec(t, c, "SELECT group_fault('lag', 'm2', 3600000, 0)")
	exec(t, c, "INSERT INTO t (id) VALUES (1)")
	exec(t, c, "SELECT group_fault('kill', 'm3')")
	_, err = connectTo(t, g, "m3")
	is.True(err != nil)
	is.Equal(g.Status("m2").Received, g.Status("m1").Received-1)
}

// Guards against members that diverge under concurrent transactions with failures, and against lost updates.
func TestReplicasConverge(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	g := start(t)
	exec(t, connect(t, g, "m1"), "INSERT INTO t (id, n) VALUES (0, 0)")
	const workers, rounds = 4, 50
	done := make(chan error, workers)
	for w := range workers {
		c := connect(t, g, "m1")
		go func() {
			for i := range rounds {
				err := pgx.BeginFunc(ctx, c, func(tx pgx.Tx) error {
					var n int
					if err := tx.QueryRow(ctx, "SELECT n FROM t WHERE id = 0 FOR UPDATE").Scan(&n); err != nil {
						return err
					}
					_, err := tx.Exec(ctx, "UPDATE t SET n = $1 WHERE id = 0", n+1)
					return err
				})
				if err == nil {
					_, err = c.Exec(ctx, "INSERT INTO t (id, n) VALUES ($1, 1)", 1+i) // all but the first fail
					if state(err) == "23505" {
						err = nil
					}
				}
				if err != nil {
					done <- fmt.Errorf("worker %d: %w", w, err)
					return
				}
			}
			done <- nil
		}()
	}
	for range workers {
		is.NoErr(<-done)
	}
	const query = "SELECT count(*) || ' ' || sum(n) FROM t"
	is.Equal(one(t, g, "m1", query), fmt.Sprintf("%d %d", 1+rounds, workers*rounds+rounds))
	for _, id := range []upstream.MemberID{"m2", "m3"} {
		waitApplied(t, g, id, g.Status("m1").Received)
		is.Equal(one(t, g, id, query), one(t, g, "m1", query))
	}
}
