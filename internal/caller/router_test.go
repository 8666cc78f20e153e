package caller

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/boottime"
	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/fanout"
	"github.com/celerystep/celerystep/internal/fleetlink"
	"github.com/celerystep/celerystep/internal/operation"
	"github.com/celerystep/celerystep/internal/owner"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/statement"
	"github.com/celerystep/celerystep/internal/upstream"
)

// fakeOwner is an owner in this process. It counts its calls.
type fakeOwner struct {
	calls int
	run   func(*operation.Request) operation.Response
}

func (o *fakeOwner) Run(_ context.Context, r *operation.Request) operation.Response {
	o.calls++
	return o.run(r)
}

func (o *fakeOwner) End(context.Context, upstream.GroupID, operation.SessionID) {}

// selfClaims reports this process as the owner of every group.
type selfClaims struct{}

func (selfClaims) Current(g upstream.GroupID) (ownership.Claim, bool, <-chan struct{}) {
	return ownership.Claim{Group: g, Owner: "self"}, true, nil
}

func (selfClaims) ClaimLearned(ownership.Claim) {}

func (selfClaims) ClaimDoubted(context.Context, ownership.Claim) {}

func (selfClaims) OwnerRefused(ownership.Claim, time.Time) {}

func newRouter(o *fakeOwner, clock func() time.Time) *Router {
	c := catalog.New(1, 1)
	c.Routes["orders"] = &catalog.Route{Name: "orders", Database: "orders", Group: "g", Timeout: time.Second, TargetLatency: time.Second}
	c.AddCustomer(&catalog.Customer{Name: "mill", Rate: 100, Burst: 100}, []string{"k1"})
	c.AddCustomer(&catalog.Customer{Name: "quiet", Rate: 100, Burst: 100}, []string{"k2"})
	return &Router{
		Local: o, Claims: selfClaims{}, Catalog: func() *catalog.Catalog { return c }, Clock: clock, Log: hclog.NewNullLogger(),
	}
}

func request(key string) *operation.Request {
	return &operation.Request{Group: "g", Database: "orders", Key: key, Statement: statement.Statement{Kind: statement.KindRead}}
}

// Guards against a call to the owner for every refusal of a customer that is far above its rate.
func TestRouterRefusesOverRateCustomerWithoutCall(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tokens := 0
	owner := &fakeOwner{run: func(r *operation.Request) operation.Response {
		if r.Key == "k1" && tokens == 0 {
			resp := operation.Refuse(statement.CodeBusy, operation.DetailOverRate, time.Millisecond)
			resp.OverRate = true
			return resp
		}
		return operation.Response{}
	}}
	r := newRouter(owner, func() time.Time { return now })
	ctx := context.Background()
	for range 1000 {
		resp := r.Run(ctx, request("k1"))
		is.Equal(resp.Code, statement.CodeBusy)
		is.True(resp.RetryAfter > 0)
		now = now.Add(time.Millisecond)
	}
	is.True(owner.calls <= 15)                                 // the backoff is 20, 40, 80 and then 100 ms
	is.Equal(r.Run(ctx, request("k2")).Code, statement.CodeOK) // other customers are not affected
	inside := request("k1")
	inside.InTransaction = true
	before := owner.calls
	r.Run(ctx, inside)
	is.Equal(owner.calls, before+1) // an open transaction has already taken its token
	tokens = 1
	now = now.Add(100 * time.Millisecond)
	is.Equal(r.Run(ctx, request("k1")).Code, statement.CodeOK)
	is.Equal(r.Run(ctx, request("k1")).Code, statement.CodeOK)
}

// movingClaims names a peer as the owner until it learns of a claim of this process.
type movingClaims struct {
	selfClaims
	claim   ownership.Claim
	doubted bool
}

func (m *movingClaims) Current(upstream.GroupID) (ownership.Claim, bool, <-chan struct{}) {
	return m.claim, m.claim.Owner == "self", nil
}

func (m *movingClaims) ClaimLearned(c ownership.Claim) { m.claim = c }

func (m *movingClaims) ClaimDoubted(context.Context, ownership.Claim) { m.doubted = true }

// leavingOwner answers as an owner that has handed the group over.
type leavingOwner struct {
	scriptedRunner
	next ownership.Claim
}

func (l *leavingOwner) Run(context.Context, *operation.Request) operation.Response {
	return operation.Response{Answer: statement.Answer{Code: statement.CodeBusy}, NotOwner: true, Owner: l.next, Began: 1}
}

func (l *leavingOwner) Grant(upstream.GroupID, []owner.TokenRequest) ([]owner.TokenRequest, bool) {
	return nil, false
}

func (l *leavingOwner) RunRead(context.Context, *operation.Request) operation.ReadResult {
	return operation.ReadResult{Decline: delegation.DeclineNoGrant}
}

func (l *leavingOwner) EndRead(context.Context, upstream.GroupID, operation.SessionID) {}

func (*leavingOwner) ClaimAnnounced(ownership.Claim) bool { return true }

func (l *leavingOwner) Lend(upstream.GroupID, owner.BorrowRequest) (delegation.Offer, delegation.Refusal) {
	return delegation.Offer{}, delegation.RefusalNotOwner
}

func (l *leavingOwner) Follow(context.Context, fanout.Request) (fanout.Answer, error) {
	return fanout.Answer{}, fanout.ErrNotReader
}

// TestThePreviousOwnerNamesTheNextOne guards against refusals after a planned move while the store is slow: the instance that
// serves the caller need not wait until its own watch shows the new claim.
func TestThePreviousOwnerNamesTheNextOne(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	previous := &leavingOwner{next: ownership.Claim{Owner: "self", Revision: 8}}
	server := fleetlink.NewServer(previous, previous, nil, "previous", "p")
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	claims := &movingClaims{claim: ownership.Claim{Group: "g", Owner: "previous", Address: l.Addr().String(), Revision: 7}}
	self := &fakeOwner{run: func(*operation.Request) operation.Response { return operation.Response{} }}
	r := newRouter(self, time.Now)
	r.Claims, r.Peers = claims, fleetlink.NewPeers(boottime.Now)
	resp := r.Run(context.Background(), request("k1"))
	is.Equal(resp.Code, statement.CodeOK)
	is.Equal(resp.Began, uint32(1)) // a read whose first attempt the previous owner lost
	is.Equal(self.calls, 1)
	is.Equal(claims.claim.Group, upstream.GroupID("g"))
	is.True(!claims.doubted) // no call to the store
	// A claim that is not newer changes nothing.
	claims.claim = ownership.Claim{Group: "g", Owner: "previous", Address: l.Addr().String(), Revision: 9}
	is.Equal(r.Run(context.Background(), request("k1")).Code, statement.CodeBusy)
	is.True(claims.doubted)
}

// fakeUsage records the counted statements.
type fakeUsage struct {
	inFlight int
	counted  map[string]uint32
	at       time.Time
}

func (u *fakeUsage) Arrived(time.Time) { u.inFlight++ }

func (u *fakeUsage) Answered(arrived time.Time, customer string, n uint32, after time.Duration) {
	u.inFlight--
	u.counted[customer] += n
	u.at = arrived.Add(after)
}

// Guards against usage that depends on the owner's survival: an answer that is lost with it counts as one statement, a connection
// that it refuses as none.
func TestStatementsOfALostOwnerAreCounted(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		// Ends each connection with the first bytes of a call.
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	now := time.Unix(1000, 0)
	u := &fakeUsage{counted: make(map[string]uint32)}
	local := &fakeOwner{run: func(*operation.Request) operation.Response {
		return operation.Response{Began: 2, BeganAfter: time.Second}
	}}
	r := newRouter(local, func() time.Time { return now })
	r.Peers, r.Usage = fleetlink.NewPeers(boottime.Now), u
	run := func(claims Claims) {
		r.Claims = claims
		q := request("k1")
		q.Customer, q.Elapsed = "mill", 100*time.Millisecond
		r.Run(context.Background(), q)
	}
	run(selfClaims{})
	is.Equal(u.counted["mill"], uint32(2))
	is.Equal(u.at, now.Add(900*time.Millisecond))
	run(&movingClaims{claim: ownership.Claim{Group: "g", Owner: "lost", Address: l.Addr().String(), Revision: 7}})
	is.Equal(u.counted["mill"], uint32(3))
	_ = l.Close()
	r.Peers = fleetlink.NewPeers(boottime.Now)
	run(&movingClaims{claim: ownership.Claim{Group: "g", Owner: "dead", Address: l.Addr().String(), Revision: 8}})
	is.Equal(u.counted["mill"], uint32(3))
	is.Equal(u.inFlight, 0)
}

// Guards against usage that counts the statements of a transaction: it counts once for each attempt at its first statement, and
// neither its other statements nor the loss of their answers count. Statements without a customer count nothing.
func TestATransactionCountsOnce(t *testing.T) {
	is := is.New(t)
	u := &fakeUsage{counted: make(map[string]uint32)}
	local := &fakeOwner{run: func(*operation.Request) operation.Response { return operation.Response{Began: 1} }}
	r := newRouter(local, time.Now)
	r.Peers, r.Usage = fleetlink.NewPeers(boottime.Now), u
	run := func(customer string, begin statement.Kind, inTransaction bool) {
		q := request("k1")
		q.Customer, q.Begin, q.InTransaction = customer, begin, inTransaction
		r.Run(context.Background(), q)
	}
	run("mill", statement.KindBegin, false)
	is.Equal(u.counted["mill"], uint32(1))
	run("mill", statement.KindInvalid, true)
	run("mill", statement.KindInvalid, true)
	is.Equal(u.counted["mill"], uint32(1))
	run("mill", statement.KindInvalid, false)
	is.Equal(u.counted["mill"], uint32(2))
	run("", statement.KindInvalid, false)
	is.Equal(len(u.counted), 1)
	is.Equal(u.inFlight, 0)
}
