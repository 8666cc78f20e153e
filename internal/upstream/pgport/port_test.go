package pgport_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/celerystep/celerystep/internal/netfault"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/standin/group"
	"github.com/celerystep/celerystep/internal/upstream"
	"github.com/celerystep/celerystep/internal/upstream/pgport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	generous = 20 * time.Second
	// short bounds a call that is expected to get no answer.
	short = 200 * time.Millisecond
	// connections is the limit of the group.
	connections = 12
)

type fixture struct {
	group   *group.Group
	port    *pgport.Port
	relay   *netfault.Relay
	members []upstream.Member
	// relayed is the first member as reached through the relay.
	relayed upstream.Member
}

func start(t *testing.T, o pgport.Options) fixture {
	t.Helper()
	g, err := group.Start(group.Options{
		ID:          "g1",
		Members:     []group.MemberOptions{{ID: "m1"}, {ID: "m2"}, {ID: "m3"}},
		Connections: connections,
		Schema:      []string{"CREATE TABLE t (id bigint PRIMARY KEY)"},
	})
	if err != nil {
		t.Fatal(err)
	}
	r, err := netfault.Start(g.Address("m1"))
	if err != nil {
		t.Fatal(err)
	}
	f := fixture{group: g, port: pgport.New(o), relay: r, members: g.Upstream().Members}
	f.relayed = f.members[0]
	f.relayed.Address = r.Addr()
	t.Cleanup(func() {
		f.port.Close()
		_ = r.Close()
		_ = g.Close()
	})
	return f
}

func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func kindOf(err error) upstream.ErrorKind {
	var m *upstream.MemberError
	if errors.As(err, &m) {
		return m.Kind
	}
	return 0
}

func waitFor(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(generous); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

// Guards against operations that do something else than their name says on a real group.
func TestFailover(t *testing.T) {
	is := is.New(t)
	f := start(t, pgport.Options{})
	ctx := within(t, generous)
	m := f.members
	s, err := f.port.Status(ctx, m[0])
	is.NoErr(err)
	is.Equal(s.Role, upstream.RolePrimary)
	for i := range m {
		s, err = f.port.Claim(ctx, m[i], upstream.Claim{Generation: 1, Owner: "i'1"})
		is.NoErr(err)
		is.Equal(s.Owner, "i'1")
	}
	for _, x := range m[1:] {
		s, err = f.port.Fence(ctx, x, 2, "i1")
		is.NoErr(err)
		is.Equal(s.Role, upstream.RoleFenced)
	}
	s, err = f.port.Promote(ctx, m[1], 2, "i1")
	is.NoErr(err)
	is.Equal(s.LogEnd().Term, position.Term(2))
	for _, x := range []upstream.Member{m[0], m[2]} {
		s, err = f.port.Follow(ctx, x, 2, "i1", m[1])
		is.NoErr(err)
		is.Equal(s.Role, upstream.RoleReplica)
	}
	waitFor(t, "replication", func() bool { return f.group.Position("m1") == f.group.Position("m2") })
}

// Guards against wrong kinds: ErrRefused for something that may have taken effect makes a caller believe that it has
// not.
func TestErrorKinds(t *testing.T) {
	is := is.New(t)
	f := start(t, pgport.Options{})
	ctx := within(t, generous)
	one, two := upstream.Claim{Generation: 1, Owner: "i1"}, upstream.Claim{Generation: 2, Owner: "i2"}
	_, err := f.port.Dial(ctx, f.relayed, one)
	is.Equal(kindOf(err), upstream.ErrRefused) // not claimed yet
	_, err = f.port.Claim(ctx, f.relayed, two)
	is.NoErr(err)
	_, err = f.port.Claim(ctx, f.relayed, one)
	is.Equal(kindOf(err), upstream.ErrStale)
	_, err = f.port.Dial(ctx, f.relayed, one)
	is.Equal(kindOf(err), upstream.ErrStale)
	_, err = f.port.Promote(ctx, f.relayed, 7, "i2")
	is.Equal(kindOf(err), upstream.ErrRefused) // the member answered that it is not fenced
	var conns []upstream.Conn
	for range connections - 1 {
		c, err := f.port.Dial(ctx, f.relayed, two)
		is.NoErr(err)
		conns = append(conns, c)
	}
	_, err = f.port.Dial(ctx, f.relayed, two)
	is.Equal(kindOf(err), upstream.ErrLimit) // the status connection counts
	for _, c := range conns {
		is.NoErr(c.Close())
	}

	f.group.Freeze("m1") // the effect comes after the caller has given up
	three := upstream.Claim{Generation: 3, Owner: "i3"}
	_, err = f.port.Claim(within(t, short), f.relayed, three)
	is.Equal(kindOf(err), upstream.ErrUnreachable)
	_, err = f.port.Dial(within(t, short), f.relayed, two)
	is.Equal(kindOf(err), upstream.ErrUnreachable)
	f.group.Unfreeze("m1")
	waitFor(t, "late effect", func() bool { return f.group.Status("m1").Generation == 3 })

	f.group.Kill("m1")
	_, err = f.port.Fence(ctx, f.members[0], 9, "i3")
	is.Equal(kindOf(err), upstream.ErrRefused)
	_, err = f.port.Status(ctx, f.members[0])
	is.Equal(kindOf(err), upstream.ErrRefused)
	is.NoErr(f.group.Restart("m1"))
	s, err := f.port.Status(ctx, f.members[0])
	is.NoErr(err)
	is.Equal(s.Generation, uint64(3))
}

// Guards against an operation whose answer is lost being reported as refused, and against a late answer that is taken
// for the next operation's.
func TestLostAnswer(t *testing.T) {
	is := is.New(t)
	f := start(t, pgport.Options{})
	ctx := within(t, generous)
	_, err := f.port.Status(ctx, f.relayed)
	is.NoErr(err)
	f.relay.SetMode(netfault.ToClient, netfault.Drop)
	_, err = f.port.Fence(within(t, short), f.relayed, 5, "i1")
	is.Equal(kindOf(err), upstream.ErrUnreachable)
	waitFor(t, "effect", func() bool { return f.group.Status("m1").Term == 5 })
	f.relay.SetMode(netfault.ToClient, netfault.Forward)
	s, err := f.port.Fence(ctx, f.relayed, 5, "i1") // repeated
	is.NoErr(err)
	is.Equal(s.Term, position.Term(5))

	f.relay.SetMode(netfault.ToTarget, netfault.Hold)
	reset := make(chan error, 1)
	go func() {
		_, err := f.port.Fence(ctx, f.relayed, 6, "i1")
		reset <- err
	}()
	waitFor(t, "connection", func() bool { return f.relay.Connections() > 0 })
	f.relay.Reset()
	is.Equal(kindOf(<-reset), upstream.ErrUnreachable)
}

// Guards against streams that miss changes, that take a connection each, or that keep one for good.
func TestWatch(t *testing.T) {
	is := is.New(t)
	f := start(t, pgport.Options{IdleTimeout: 10 * time.Millisecond})
	ctx, cancel := context.WithCancel(within(t, generous))
	seen := make(chan upstream.MemberStatus, 1)
	ended := make(chan error, 2)
	for range 2 {
		go func() {
			ended <- f.port.Watch(ctx, f.members[1], func(s upstream.MemberStatus) {
				if s.Term == 2 {
					select {
					case seen <- s:
					default:
					}
				}
			})
		}()
	}
	_, err := f.port.Fence(ctx, f.members[1], 2, "i1")
	is.NoErr(err)
	is.Equal((<-seen).Role, upstream.RoleFenced)
	is.Equal(f.group.Connections(), 1)
	cancel()
	is.True(errors.Is(<-ended, context.Canceled))
	is.True(errors.Is(<-ended, context.Canceled))
	waitFor(t, "idle close", func() bool { return f.group.Connections() == 0 })
}

// Guards against a stream that waits for good on a connection that went silent, and against one that tells a crash
// from silence wrongly.
func TestWatchBreaks(t *testing.T) {
	is := is.New(t)
	f := start(t, pgport.Options{})
	ctx := within(t, generous)
	ended := make(chan error, 1)
	watch := func() {
		heard := make(chan struct{}, 1)
		go func() {
			ended <- f.port.Watch(ctx, f.relayed, func(upstream.MemberStatus) {
				select {
				case heard <- struct{}{}:
				default:
				}
			})
		}()
		<-heard
	}
	watch()
	f.relay.BlackholeExisting()
	is.Equal(kindOf(<-ended), upstream.ErrUnreachable)
	_, err := f.port.Status(ctx, f.relayed) // on a new connection
	is.NoErr(err)
	watch()
	f.group.Kill("m1")
	is.Equal(kindOf(<-ended), upstream.ErrRefused)
	is.Equal(kindOf(f.port.Watch(ctx, f.members[0], nil)), upstream.ErrRefused)
}

// Guards against statement connections that lose or mix pipelined answers, or ignore their deadline, and against cancel
// requests that go nowhere.
func TestConn(t *testing.T) {
	is := is.New(t)
	f := start(t, pgport.Options{})
	ctx := within(t, generous)
	claim := upstream.Claim{Generation: 1, Owner: "i1"}
	_, err := f.port.Claim(ctx, f.members[0], claim)
	is.NoErr(err)
	c, err := f.port.Dial(ctx, f.members[0], claim)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.NoErr(c.SetDeadline(time.Now().Add(generous)))
	is.NoErr(c.Send(query(t, "SET celerystep.customer = 'a'", "INSERT INTO t (id) VALUES (1)", "SELECT id FROM t")))
	kinds := receiveUntil(t, c, 'Z') + receiveUntil(t, c, 'Z') + receiveUntil(t, c, 'Z')
	is.Equal(kinds, "CZSCZTDCZ")

	is.NoErr(c.Send(query(t, "SELECT pg_sleep(3600)")))
	waitFor(t, "sleep", func() bool { log, _ := f.group.StatementLog("m1"); return len(log) == 3 })
	is.NoErr(c.(*pgport.Conn).Cancel(ctx))
	is.Equal(receiveUntil(t, c, 'Z'), "TEZ")

	is.NoErr(c.SetDeadline(time.Now().Add(short)))
	is.NoErr(c.Send(query(t, "SELECT pg_sleep(3600)")))
	for err == nil {
		_, err = c.Receive()
	}
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.Equal(f.group.Connections(), 2)
	is.NoErr(f.port.Terminate(ctx, f.members[0], c.(*pgport.Conn).ProcessID()))
	waitFor(t, "terminated", func() bool { return f.group.Connections() == 1 })
	log, _ := f.group.StatementLog("m1")
	is.Equal(log[0].Owner, claim.Owner)
	is.Equal(log[0].Customer, "a")
}

// Guards against an implicit transaction of the extended protocol that commits on a member fenced before its Sync.
func TestFencedBeforeSync(t *testing.T) {
	is := is.New(t)
	f := start(t, pgport.Options{})
	ctx := within(t, generous)
	claim := upstream.Claim{Generation: 1, Owner: "i1"}
	_, err := f.port.Claim(ctx, f.members[0], claim)
	is.NoErr(err)
	c, err := f.port.Dial(ctx, f.members[0], claim)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	is.NoErr(c.SetDeadline(time.Now().Add(generous)))
	is.NoErr(c.Send(encode(t, &pgproto3.Parse{Query: "INSERT INTO t (id) VALUES (1)"}, &pgproto3.Bind{},
		&pgproto3.Execute{}, &pgproto3.Flush{})))
	is.Equal(receiveUntil(t, c, 'C'), "12C")
	_, err = f.port.Fence(ctx, f.members[0], 2, "i1")
	is.NoErr(err)
	is.NoErr(c.Send(encode(t, &pgproto3.Sync{})))
	is.Equal(receiveUntil(t, c, 'Z'), "EZ")
	rows, err := f.group.Read("m1", "SELECT * FROM t")
	is.NoErr(err)
	is.Equal(len(rows), 0)
}

// receiveUntil returns the types of the messages up to the first one of the given type.
func receiveUntil(t *testing.T, c upstream.Conn, last byte) string {
	t.Helper()
	var kinds []byte
	for {
		p, err := c.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if kinds = append(kinds, p[0]); p[0] == last {
			return string(kinds)
		}
	}
}

func query(t *testing.T, statements ...string) []byte {
	t.Helper()
	messages := make([]pgproto3.FrontendMessage, len(statements))
	for i, s := range statements {
		messages[i] = &pgproto3.Query{String: s}
	}
	return encode(t, messages...)
}

func encode(t *testing.T, messages ...pgproto3.FrontendMessage) []byte {
	t.Helper()
	var out []byte
	for _, m := range messages {
		var err error
		if out, err = m.Encode(out); err != nil {
			t.Fatal(err)
		}
	}
	return out
}
