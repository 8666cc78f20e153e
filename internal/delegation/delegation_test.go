package delegation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/freshness"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// Guards against delegation where a share holds too few connections for the customers, or a member warms up under a limit that
// two instances would have to share.
func TestEligibility(t *testing.T) {
	for _, c := range []struct {
		connections, customers int
		warmup                 float64
		want                   bool
	}{{114, 74, 0, true}, {114, 200, 0, true}, {114, 201, 0, false}, {56, 81, 0, true}, {56, 99, 0, false}, {56, 20, 0, true}, {53, 20, 0, false}, {114, 74, 40, false}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			k := catalog.New(1, 1)
			k.Groups["g"] = &catalog.Group{ID: "g", MaxConnections: c.connections, WarmupPerSecond: c.warmup}
			for i := range c.customers {
				k.AddCustomer(&catalog.Customer{Name: fmt.Sprint(i)}, nil)
			}
			is.New(t).Equal(Eligible(k, "g"), c.want)
		})
	}
}

func claim(i int, domain instance.FailureDomain, cores float64) ownership.Claim {
	id := instance.ID(fmt.Sprintf("%s-%d", domain, i))
	return ownership.Claim{Owner: id, Process: "p", Address: string(id), Domain: domain, Cores: cores, Revision: uint64(i + 1)}
}

// Guards against a delegate that its domain's groups overload because of its weak machine, or that all groups choose.
func TestDelegatesAreSpreadByTheirCores(t *testing.T) {
	is := is.New(t)
	owners := Owners{"a": {claim(0, "a", 0.8), claim(1, "a", 0.4), claim(2, "a", 0.2)}}
	chosen := make(map[instance.ID]int)
	const groups = 2300
	for i := range groups {
		c, ok := owners.Choose(upstream.GroupID(fmt.Sprint("g", i)), claim(9, "b", 1), "a")
		is.True(ok)
		chosen[c.Owner]++
	}
	for i, share := range []float64{0.8 / 1.4, 0.4 / 1.4, 0.2 / 1.4} {
		got := float64(chosen[claim(i, "a", 0).Owner]) / groups
		is.True(got > share*0.85 && got < share*1.15)
	}
}

// Guards against delegates that move although the change of claims does not concern them, delegates where the owner is near,
// and the choice of a process that has been replaced.
func TestAChangeOfClaimsMovesOnlyItsOwnDelegations(t *testing.T) {
	is := is.New(t)
	owner := claim(9, "b", 1)
	claims := map[upstream.GroupID]ownership.Claim{"x": claim(0, "a", 0.5), "y": claim(1, "a", 0.5), "z": claim(2, "a", 0.5), "g": owner}
	before := OwnersOf(claims)
	gone := claims["y"]
	delete(claims, "y")
	after := OwnersOf(claims)
	for i := range 200 {
		id := upstream.GroupID(fmt.Sprint("g", i))
		was, _ := before.Choose(id, owner, "a")
		now, ok := after.Choose(id, owner, "a")
		is.True(ok)
		is.True(was == now || was.Owner == gone.Owner)
	}
	_, ok := after.Choose("g", owner, "b") // the owner's own domain
	is.True(!ok)
	_, ok = after.Choose("g", owner, "c") // no owner there
	is.True(!ok)
	_, ok = after.Choose("g", ownership.Claim{}, "a") // the group has no owner
	is.True(!ok)
	restarted := claims["x"]
	restarted.Process, restarted.Revision = "p2", 50
	claims["other"] = restarted
	for _, c := range OwnersOf(claims)["a"] {
		is.True(c.Owner != restarted.Owner || c.Process == "p2")
	}
}

// Guards against a loan of connections that the owner uses, or of a replica's last slot.
func TestOnlyWhatIsFreeIsLent(t *testing.T) {
	for _, c := range []struct {
		whole Share
		inUse int
		want  Share
		ok    bool
	}{
		{Share{100, 5}, 0, Share{66, 3}, true},
		{Share{100, 5}, 50, Share{50, 3}, true},
		{Share{100, 5}, 80, Share{20, 3}, false},
		{Share{100, 2}, 0, Share{66, 1}, true},
		{Share{100, 1}, 0, Share{66, 0}, false},
		{Share{0, 5}, 0, Share{0, 3}, false},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			s, ok := Lendable(c.whole, c.inUse)
			is.Equal(s, c.want)
			is.Equal(ok, c.ok)
		})
	}
}

var holder, other = ownership.Process{Instance: "i", ID: "p1"}, ownership.Process{Instance: "i", ID: "p2"}

// Guards against an owner that uses a lent share while the delegate may use it too: after a renewal whose response is lost, and
// when another process of the delegate asks.
func TestTheLedgerCountsAShareUntilItHasLapsed(t *testing.T) {
	is := is.New(t)
	var l Ledger
	large, small := Share{60, 3}, Share{20, 2}
	first, ok := l.Lend("m", holder, large, at(0))
	is.True(first && ok)
	first, ok = l.Lend("m", holder, small, at(400)) // the delegate may not learn of this renewal
	is.True(!first && ok)
	is.Equal(l.Lent("m", at(999)), large)
	is.Equal(l.Lent("m", at(1000)), small)
	_, ok = l.Lend("m", other, small, at(1399))
	is.True(!ok)
	is.Equal(len(l.Expire(at(1399))), 0)
	is.Equal(l.Expire(at(1400)), []Lapsed{{"m", holder}})
	is.Equal(l.Lent("m", at(1400)), Share{})
	first, ok = l.Lend("m", other, small, at(1400))
	is.True(first && ok)
	for ms := 1500; ms < 5000; ms += 150 {
		_, ok = l.Lend("m", other, large, at(ms))
		is.True(ok)
	}
	is.True(len(l.loans["m"].parts) <= 2) // renewals do not accumulate
}

// Guards against a delegate that uses a share after the owner has it back, whatever the delays between both are: the response
// may be late, and the delegate may be frozen.
func TestTheDelegateStopsBeforeTheOwnerLendsAgain(t *testing.T) {
	for _, delays := range [][2]int{{0, 0}, {1, 1}, {300, 0}, {0, 300}, {400, 500}, {0, 999}, {999, 0}, {600, 600}} {
		t.Run(fmt.Sprint(delays), func(t *testing.T) {
			is := is.New(t)
			var l Ledger
			var b Borrower
			is.True(b.Ask(at(0)))
			composed := delays[0]
			_, ok := l.Lend("m", holder, Share{60, 3}, at(composed))
			is.True(ok)
			arrived := composed + delays[1]
			adopted := b.Granted(Offer{Member: "m", TTL: TTL, Revision: 1}, at(0), at(arrived))
			is.Equal(adopted, arrived < 1000)
			for ms := arrived; ms < 3000; ms++ { // any time at which a frozen delegate may wake up
				if _, usable := b.Grant(at(ms)); usable {
					is.True(l.Lent("m", at(ms)) != Share{})
				}
			}
		})
	}
}

// Guards against two owners at once: a delegate follows the newer claim, and an offer of the earlier owner that arrives later
// does not replace it.
func TestTheLoanOfAnEarlierOwnerIsNotTaken(t *testing.T) {
	is := is.New(t)
	var b Borrower
	is.True(b.Granted(Offer{Member: "m", TTL: TTL, Revision: 7}, at(0), at(1)))
	is.True(b.Granted(Offer{Member: "n", TTL: TTL, Revision: 8}, at(100), at(101)))
	is.True(!b.Granted(Offer{Member: "m", TTL: TTL, Revision: 7}, at(120), at(130)))
	g, ok := b.Grant(at(140))
	is.True(ok)
	is.Equal(g.Member, upstream.MemberID("n"))
	is.True(b.Granted(Offer{Member: "m", TTL: TTL, Revision: 7}, at(1200), at(1201))) // the newer loan has lapsed
}

// Guards against requests that pile up at a slow owner, and against a delegate that gives up its loan because one renewal was
// refused.
func TestRequestsForLoansArePaced(t *testing.T) {
	is := is.New(t)
	var b Borrower
	is.True(b.Ask(at(0)))
	is.True(!b.Ask(at(500))) // one at a time
	is.True(b.Granted(Offer{TTL: TTL}, at(500), at(501)))
	is.True(b.Ask(at(501)))
	b.Refused(at(502))
	_, ok := b.Grant(at(503))
	is.True(ok)
	is.True(!b.Ask(at(901)))
	is.True(b.Ask(at(902)))
}

// Guards against reads that go on at a replica which leaves many of them unanswered, under the same loan or under the next one,
// and against a loan that is given up because of a few.
func TestALoanOfAFailingReplicaIsGivenUp(t *testing.T) {
	is := is.New(t)
	var b Borrower
	reads := func(n, failEvery int) (dropped bool) {
		for i := 1; i <= n && !dropped; i++ {
			dropped = b.Record(i%failEvery == 0, at(10))
		}
		return dropped
	}
	is.True(b.Granted(Offer{TTL: TTL}, at(0), at(1)))
	is.True(!reads(200, 10))
	is.True(b.Ask(at(9)))
	is.True(reads(20, 2))
	_, ok := b.Grant(at(11))
	is.True(!ok)
	is.True(!b.Granted(Offer{TTL: TTL}, at(9), at(12))) // the response to an earlier request
	is.True(!b.Ask(at(2009)))
	is.True(b.Ask(at(2010)))
	is.True(b.Granted(Offer{TTL: TTL}, at(2010), at(2011)))
}

// Guards against a floor at the delegate that lacks an acknowledged commit, for any delays between the primary, the owner and
// the delegate. Commits count as acknowledged at once, which is the strictest case.
func TestFloorsAtTheDelegateCoverEveryAcknowledgedCommit(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		const horizon = 3000 // ms
		logAt := make([]position.Position, horizon)
		log := position.Position{Term: 1, LSN: 1}
		promotion := random.IntN(2 * horizon) // half of the runs have none
		for ms := range logAt {
			if ms == promotion {
				log.Term++
			}
			if random.IntN(20) == 0 {
				log.LSN++
			}
			logAt[ms] = log
		}
		var atOwner, atDelegate freshness.History
		events := make([][]func(ms int), 3*horizon)
		schedule := func(ms int, f func(ms int)) { events[ms] = append(events[ms], f) }
		for sent := 0; sent < horizon-400; sent += 1 + random.IntN(60) {
			processed := sent + random.IntN(150)
			schedule(processed+random.IntN(150), func(int) { atOwner.Observe(logAt[processed], at(sent)) })
		}
		for sent := 0; sent < horizon-700; sent += 1 + random.IntN(200) {
			composed := sent + random.IntN(300)
			arrived := composed + random.IntN(300)
			schedule(composed, func(ms int) {
				p, known := atOwner.Known()
				age := at(ms).Sub(known)
				schedule(arrived+1, func(int) { atDelegate.Observe(p, at(sent).Add(-age)) })
			})
		}
		covered := 0
		for ms := range horizon {
			for _, f := range events[ms] {
				f(ms)
			}
			for _, staleness := range []int{0, 50, 300, 900} {
				if floor, ok := atDelegate.FloorAt(at(ms - staleness)); ok && ms > staleness {
					covered++
					if floor.Less(logAt[ms-staleness-1]) {
						t.Fatalf("seed %d: at %d ms the floor for %d ms of staleness is %v, but %v was acknowledged", seed, ms, staleness, floor, logAt[ms-staleness-1])
					}
				}
			}
		}
		if covered < horizon/2 {
			t.Fatalf("seed %d: only %d floors were known", seed, covered)
		}
	}
}

// Guards against a call to a delegate without a loan for each read, and against a backoff for what concerns one read or customer.
func TestBackoffFromADelegate(t *testing.T) {
	is := is.New(t)
	var b Backoff
	tries, ms := 0, 0
	for ; ms < 10_000; ms++ {
		if b.Over(at(ms)) {
			tries++
			b.Record(DeclineNoGrant, at(ms))
		}
	}
	is.True(tries < 16)
	b.Record(DeclineNone, at(ms))
	for _, d := range []Decline{DeclineOverRate, DeclineBusy, DeclineFloorUnknown, DeclineNotAdmitted, DeclineFailed} {
		b.Record(d, at(ms))
		is.True(b.Over(at(ms)))
	}
}
