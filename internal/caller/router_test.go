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
	return operation.Response{Answer: statement.Answer{Code: statement.CodeBusy}, NotOwner: true, Owner: l.next}
}

func (l *leavingOwner) Grant(upstream.GroupID, []owner.TokenRequest) ([]owner.TokenRequest, bool) {
	return nil, false
}

func (l *leavingOwner) RunRead(context.Context, *operation.Request) operation.ReadResult {
	return operation.ReadResult{Decline: delegation.DeclineNoGrant}
}

func (l *leavingOwner) EndRead(context.Context, upstream.GroupID, operation.SessionID) {}

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
	server := fleetlink.NewServer(previous, previous, "previous", "p")
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	claims := &movingClaims{claim: ownership.Claim{Group: "g", Owner: "previous", Address: l.Addr().String(), Revision: 7}}
	self := &fakeOwner{run: func(*operation.Request) operation.Response { return operation.Response{} }}
	r := newRouter(self, time.Now)
	r.Claims, r.Peers = claims, fleetlink.NewPeers(boottime.Now)
	is.Equal(r.Run(context.Background(), request("k1")).Code, statement.CodeOK)
	is.Equal(self.calls, 1)
	is.Equal(claims.claim.Group, upstream.GroupID("g"))
	is.True(!claims.doubted) // no call to the store
	// A claim that is not newer changes nothing.
	claims.claim = ownership.Claim{Group: "g", Owner: "previous", Address: l.Addr().String(), Revision: 9}
	is.Equal(r.Run(context.Background(), request("k1")).Code, statement.CodeBusy)
	is.True(claims.doubted)
}
