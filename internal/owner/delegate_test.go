package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/promotion"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

// delegateWorld is an instance that is the delegate of group "g" and owns group "own", with a replica, an owner of "g" and a
// coordinator as its surroundings. It implements member.Port, Lender and TokenSource.
type delegateWorld struct {
	fakeAuthority
	m *Manager

	mu      sync.Mutex
	now     time.Time
	catalog *catalog.Catalog
	// offer and refusal are the owner's response; tokens are what the coordinator has left.
	offer   delegation.Offer
	refusal delegation.Refusal
	tokens  int
	// onBorrow runs while a loan is requested, onDial while a connection is opened, onSend when statements have been sent; answer
	// is the replica's answer or failure its error.
	onBorrow, onDial func()
	onSend           func(ctx context.Context)

	answer  statement.Answer
	failure error
	sent    []member.Command
	// loans counts the requests for a loan, dials the connections, closed those that were closed.
	loans, dials, closed int
	// sentOn holds, for each command sent, the number of its connection.
	sentOn []int
}

// replicaConn is a connection to the replica, with its transaction state. It implements member.Conn.
type replicaConn struct {
	w      *delegateWorld
	number int
	state  statement.TxState
}

var replica = member.Member{ID: "m2", Group: "g", Address: "a2", Domain: "near", Slots: 5, Born: 1}

func newDelegateWorld(t *testing.T) *delegateWorld {
	w := &delegateWorld{now: epoch, tokens: 1000, catalog: delegatedCatalog(5, "k1")}
	w.offer = delegation.Offer{
		Member: replica.ID, Address: replica.Address, Born: replica.Born, Share: delegation.Share{Connections: 30, Slots: 3},
		TTL: delegation.TTL, Revision: 7, Position: position.Position{Term: 1, LSN: 9},
	}
	w.answer.Position = w.offer.Position
	w.m = NewManager(Options{
		Domain: "near", Members: w, Authority: w, Tokens: w, Lender: w, DelegateReads: true, Log: hclog.NewNullLogger(),
		Catalog: w.configuration, Clock: w.clock, Metrics: NewMetrics(prometheus.NewRegistry()),
		CatchUp: func(context.Context, uint64) {},
	})
	w.m.SetMembers("g", []member.Member{replica})
	w.m.groups["own"] = newGroup(w.m.o, ownership.Claim{Group: "own"}, false)
	t.Cleanup(w.m.Close)
	return w
}

func delegatedCatalog(revision uint64, key string) *catalog.Catalog {
	c := catalog.New(revision, revision)
	for _, id := range []upstream.GroupID{"g", "own"} {
		c.Groups[id] = &catalog.Group{ID: id, MaxConnections: 64}
	}
	c.Routes["views"] = &catalog.Route{
		Name: "views", Database: "views", Group: "g", Consistency: catalog.ReadYourWrites, MaxStaleness: time.Second,
		Timeout: 10 * time.Second, TargetLatency: 2 * time.Second,
	}
	c.AddCustomer(&catalog.Customer{Name: "mill", Rate: 1000, Burst: 1}, []string{key})
	return c
}

func (w *delegateWorld) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *delegateWorld) clock() (now time.Time) {
	w.locked(func() { now = w.now })
	return now
}

func (w *delegateWorld) configuration() (c *catalog.Catalog) {
	w.locked(func() { c = w.catalog })
	return c
}

func (w *delegateWorld) advance(d time.Duration) { w.locked(func() { w.now = w.now.Add(d) }) }

func (w *delegateWorld) statements() (n int) {
	w.locked(func() { n = len(w.sent) })
	return n
}

func (w *delegateWorld) BorrowReplica(context.Context, upstream.GroupID, BorrowRequest) (o delegation.Offer, r delegation.Refusal) {
	if w.onBorrow != nil {
		w.onBorrow()
	}
	w.locked(func() {
		w.loans++
		o, r = w.offer, w.refusal
	})
	return o, r
}

func (w *delegateWorld) TakeTokens(_ context.Context, _ upstream.GroupID, wants []TokenRequest) (grants []TokenRequest) {
	w.locked(func() {
		for _, r := range wants {
			n := min(r.Tokens, w.tokens)
			w.tokens -= n
			grants = append(grants, TokenRequest{Customer: r.Customer, Tokens: n})
		}
	})
	return grants
}

func (w *delegateWorld) Dial(context.Context, member.Member, string, func()) (member.Conn, error) {
	if w.onDial != nil {
		w.onDial()
	}
	c := &replicaConn{w: w}
	w.locked(func() {
		w.dials++
		c.number = w.dials
	})
	return c, nil
}

func (c *replicaConn) Do(ctx context.Context, commands ...member.Command) (answers []statement.Answer, err error) {
	w := c.w
	if w.onSend != nil {
		w.onSend(ctx)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, command := range commands {
		w.sent, w.sentOn = append(w.sent, command), append(w.sentOn, c.number)
		answer := w.answer
		switch command.Kind {
		case statement.KindBeginRead:
			if answer.Code == statement.CodeOK {
				c.state = statement.TxOpen
			}
		case statement.KindCommit, statement.KindRollback:
			c.state = statement.TxIdle
		default:
		}
		answer.State = c.state
		answers = append(answers, answer)
	}
	if w.failure != nil {
		return nil, w.failure
	}
	return answers, nil
}

func (c *replicaConn) Status(context.Context) (promotion.Status, error) {
	return promotion.Status{}, member.ErrBusy
}

func (c *replicaConn) Close() { c.w.locked(func() { c.w.closed++ }) }

func (w *delegateWorld) read() operation.ReadResult {
	return w.m.RunRead(context.Background(), &operation.Request{
		Group: "g", Database: "views", Key: "k1", CatalogRevision: 5, Customer: "mill", Statement: statement.Statement{ID: "1", Kind: statement.KindRead},
	})
}

// borrow reads until the delegate has a loan.
func (w *delegateWorld) borrow(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		w.read()
		_, d := w.m.delegate("g")
		d.g.mu.Lock()
		active := d.active
		d.g.mu.Unlock()
		if active {
			w.locked(func() { w.sent, w.sentOn = nil, nil })
			return
		}
		if time.Now().After(end) {
			t.Fatal("the delegate got no loan")
		}
	}
}

func TestADelegateServesReads(t *testing.T) {
	is := is.New(t)
	w := newDelegateWorld(t)
	is.Equal(w.read().Decline, delegation.DeclineNoGrant) // the first read requests the loan
	w.borrow(t)
	result := w.read()
	is.Equal(result.Decline, delegation.DeclineNone)
	is.Equal(result.Response.Code, statement.CodeOK)
	is.Equal(w.sent[0].After, position.Position{Term: 1, LSN: 9})
}

// Guards against reads that a delegate runs although an owner in its place would not: without a valid loan, for a withdrawn key,
// without a proof of the keys, without a floor, above the customer's rate, on a member that is leaving or has a new process, or
// without a view of members and keys.
func TestWhatADelegateDeclines(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(w *delegateWorld)
		want   delegation.Decline
	}{
		{"the loan has lapsed", func(w *delegateWorld) {
			w.locked(func() { w.refusal = delegation.RefusalHeld })
			w.advance(delegation.TTL)
		}, delegation.DeclineNoGrant},
		{"the key was withdrawn", func(w *delegateWorld) { w.locked(func() { w.catalog = delegatedCatalog(6, "k2") }) }, delegation.DeclineNotAdmitted},
		{"the keys are not proven", func(w *delegateWorld) { w.keysStale = true }, delegation.DeclineNotAdmitted},
		{"the known position is too old", func(w *delegateWorld) {
			w.locked(func() { w.offer.Age = time.Minute })
			w.advance(950 * time.Millisecond)
		}, delegation.DeclineFloorUnknown},
		{"the member is leaving", func(w *delegateWorld) {
			m := replica
			m.Leaving = true
			w.m.SetMembers("g", []member.Member{m})
		}, delegation.DeclineNoGrant},
		{"the domain is out of service", func(w *delegateWorld) { w.domainOut = true }, delegation.DeclineNoGrant},
		{"the member has a new process", func(w *delegateWorld) {
			m := replica
			m.Born++
			w.m.SetMembers("g", []member.Member{m})
		}, delegation.DeclineNoGrant},
		{"the member is gone", func(w *delegateWorld) { w.m.SetMembers("g", nil) }, delegation.DeclineNoGrant},
		{"this instance owns nothing", func(w *delegateWorld) { w.m.Release("own", "test") }, delegation.DeclineNoGrant},
		{"the customer has no tokens", func(w *delegateWorld) {
			w.locked(func() { w.tokens = 0 })
			w.m.groups["own"].limiter = newGroup(w.m.o, ownership.Claim{Group: "own"}, false).limiter
		}, delegation.DeclineOverRate},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newDelegateWorld(t)
			w.borrow(t)
			c.change(w)
			is.Equal(w.read().Decline, c.want)
			is.Equal(w.statements(), 0)
		})
	}
}

// changeRoute puts a configuration into force in which the route differs.
func (w *delegateWorld) changeRoute(change func(r *catalog.Route)) {
	w.locked(func() {
		w.catalog = delegatedCatalog(6, "k1")
		change(w.catalog.Routes["views"])
	})
}

// Guards against a read that is sent although the loan has lapsed, the key was withdrawn, or the route has come to need commits
// that the floor does not cover, while the process was frozen or the read was queued.
func TestAFrozenDelegateSendsNothing(t *testing.T) {
	for name, change := range map[string]func(w *delegateWorld){
		"the loan lapses":      func(w *delegateWorld) { w.advance(delegation.TTL) },
		"the key is withdrawn": func(w *delegateWorld) { w.locked(func() { w.catalog = delegatedCatalog(6, "k2") }) },
		"the route reads at the primary": func(w *delegateWorld) {
			w.changeRoute(func(r *catalog.Route) { r.Consistency = catalog.Primary })
		},
		"the route permits less staleness": func(w *delegateWorld) {
			w.changeRoute(func(r *catalog.Route) { r.MaxStaleness = stalenessMargin / 2 })
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newDelegateWorld(t)
			w.borrow(t)
			_, d := w.m.delegate("g")
			w.locked(func() { w.refusal = delegation.RefusalHeld })
			d.g.mu.Lock()
			for id := range d.g.conns { // the next read opens a connection
				d.g.scheduler.Closed(id)
				delete(d.g.conns, id)
			}
			w.onDial = func() { change(w) }
			d.g.mu.Unlock()
			result := w.read()
			is.True(result.Decline != delegation.DeclineNone)
			is.True(!result.Charged)
			is.Equal(w.statements(), 0)
		})
	}
}

// Guards against a connection on which a read runs after the loan has lapsed, when the owner may use it, and against a pause of
// the next loan because of that.
func TestALapsedLoanEndsItsReads(t *testing.T) {
	for _, givenUp := range []bool{false, true} {
		t.Run(fmt.Sprintf("given up before: %v", givenUp), func(t *testing.T) {
			is := is.New(t)
			w := newDelegateWorld(t)
			w.borrow(t)
			w.changeRoute(func(r *catalog.Route) { r.Timeout, r.TargetLatency = time.Hour, time.Hour })
			_, d := w.m.delegate("g")
			var cause error
			w.onSend = func(ctx context.Context) {
				w.locked(func() { w.refusal, w.failure = delegation.RefusalHeld, member.ErrLost })
				if givenUp {
					d.g.mu.Lock()
					d.borrower.Drop(w.clock())
					d.g.mu.Unlock()
					d.step()
				}
				w.advance(delegation.TTL)
				d.step()
				select {
				case <-ctx.Done():
				case <-time.After(10 * time.Second):
				}
				cause = context.Cause(ctx)
			}
			result := w.read()
			is.Equal(cause, errLoanLapsed)
			is.Equal(result.Decline, delegation.DeclineFailed)
			is.True(result.Charged)
			d.g.mu.Lock()
			defer d.g.mu.Unlock()
			is.Equal(len(d.g.conns), 0)
			// Three failures in succession give a loan up; the read that ended with its loan is not one of them.
			is.True(!d.borrower.Record(true, w.clock()))
			is.True(!d.borrower.Record(true, w.clock()))
		})
	}
}

// Guards against a position that counts as known for a later time than it is, when the owner's response takes long.
func TestThePositionOfALoanCountsFromItsRequest(t *testing.T) {
	is := is.New(t)
	w := newDelegateWorld(t)
	w.offer.Age = 20 * time.Millisecond
	w.onBorrow = func() { w.advance(300 * time.Millisecond) }
	w.borrow(t)
	_, d := w.m.delegate("g")
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	_, known := d.g.history.Known()
	grant, _ := d.borrower.Grant(w.clock())
	is.Equal(known, grant.Until.Add(-delegation.TTL-20*time.Millisecond))
}

// Guards against operations that are charged twice, or not at all, when a read falls back to the owner.
func TestAFallbackIsChargedOnce(t *testing.T) {
	for _, c := range []struct {
		name    string
		answer  statement.Answer
		failure error
		charged bool
	}{
		{"the replica lags", statement.Answer{Code: statement.CodeLagging}, nil, false},
		{"the replica's answer is lost", statement.Answer{}, member.ErrLost, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newDelegateWorld(t)
			w.borrow(t)
			limiter := newGroup(w.m.o, ownership.Claim{Group: "own"}, false).limiter
			w.m.groups["own"].mu.Lock()
			w.m.groups["own"].limiter = limiter
			w.m.groups["own"].mu.Unlock()
			w.locked(func() { w.answer, w.failure, w.tokens = c.answer, c.failure, 1 })
			result := w.read()
			is.Equal(result.Decline, delegation.DeclineFailed)
			is.Equal(result.Charged, c.charged)
			is.Equal(w.statements(), 1)
			customer := w.catalog.Customer("mill")
			is.Equal(limiter.Take(customer, 2, w.clock()), !c.charged) // the token is back unless the read may have run
		})
	}
	t.Run("the owner does not charge again", func(t *testing.T) {
		is := is.New(t)
		w := newDelegateWorld(t)
		w.locked(func() { w.tokens = 1 })
		g := newGroup(w.m.o, ownership.Claim{Group: "g"}, false)
		r := &operation.Request{Group: "g", Database: "views", Key: "k1", CatalogRevision: 5, Statement: statement.Statement{Kind: statement.KindRead}}
		for _, charged := range []bool{false, true} { // the group has no member
			r.Charged = charged
			resp := g.runFirst(context.Background(), r)
			is.True(!resp.OverRate && resp.Code.NotRun())
		}
		customer := w.catalog.Customer("mill")
		is.True(g.limiter.Take(customer, 2, w.clock()))
		is.True(!g.limiter.Take(customer, 2, w.clock())) // it returns no token that it did not take
		is.True(g.runFirst(context.Background(), &operation.Request{
			Group: "g", Database: "views", Key: "k1", CatalogRevision: 5, Statement: r.Statement,
		}).OverRate)
		is.True(!g.runFirst(context.Background(), r).OverRate)
	})
}
