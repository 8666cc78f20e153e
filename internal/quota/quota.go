// Package quota enforces the customers' rates and bursts over the whole fleet. It starts no goroutines, opens no
// sockets and reads no clock; none of its types is safe for concurrent use.
//
// A customer's contract is split: the owner of each group has a fixed share that it spends without coordination, and
// one owner, the customer's coordinator, grants the rest in small amounts that expire soon. The shares add up to the
// contract, also while a predecessor of an owner may still act (Succession), so no fault can admit more than it. The
// buckets of a new process start empty, except those of a restarted coordinator. Package admission has the token buckets
// themselves.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/celerystep/celerystep/internal/admission"
	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/config"
)

const (
	// localShare is the part of a contract that the groups' owners hold without asking the coordinator.
	localShare = 0.2
	// GrantLifetime is how long granted tokens may be spent, counted from when the request was sent.
	GrantLifetime = 2 * time.Second
	// prefetchTime is the span of consumption for which tokens are requested ahead.
	prefetchTime = 250 * time.Millisecond
	// minPrefetchRate is in tokens per second. Below it tokens are requested one by one, because prefetched ones would
	// expire unused at many owners.
	minPrefetchRate = 4
	// restartTokens and restartYieldTime set the initial level of a coordinator's buckets when it succeeds an earlier
	// process of the same instance, which is known to have ended: a number of tokens, plus the contract's yield over a
	// time. Several restarts within one window of the contract stay within its tolerance, as nothing is granted while
	// the process is down.
	restartTokens    = 6
	restartYieldTime = 250 * time.Millisecond
	// maxGrant is the maximum number of tokens in one grant.
	maxGrant = 1000
	// consumptionWindow is the time constant of the consumption average.
	consumptionWindow = time.Second
)

// CoordinatorIndex returns the index, in the sorted list of groups, of the group whose owner is the customer's
// coordinator.
func CoordinatorIndex(customer string, groups int) int {
	if groups <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(customer) % uint64(groups))
}

func contract(c *catalog.Customer, share float64) config.Contract {
	return config.Contract{RatePerSecond: c.Rate * share, Burst: int(c.Burst * share)}
}

// localPart returns the part of the contract that each group's owner holds locally: nothing when its burst would be
// less than one token.
func localPart(c *catalog.Customer, groups int) float64 {
	part := localShare / float64(max(groups, 1))
	if c.Burst*part < 1 {
		return 0
	}
	return part
}

// coordinatorPart returns the part of the contract that the coordinator grants.
func coordinatorPart(c *catalog.Customer, groups int) float64 {
	return 1 - localPart(c, groups)*float64(max(groups, 1))
}

// Coordinator grants tokens of the customers that this owner coordinates.
type Coordinator struct {
	portion
	buckets   map[string]*grantBucket
	restarted bool
}

// grantBucket holds the coordinator's part of one contract.
type grantBucket struct {
	bucket   *admission.Bucket
	contract config.Contract
	share    float64
}

// NewCoordinator returns a coordinator of the whole contracts whose buckets are empty at start.
// restarted is true when the previous coordinator was an earlier process of this instance; the buckets then start with
// a few tokens.
func NewCoordinator(start time.Time, restarted bool) *Coordinator {
	return &Coordinator{portion: newPortion(start), buckets: make(map[string]*grantBucket), restarted: restarted}
}

// initialTokens returns the level of a customer's bucket at the start.
func (p *Coordinator) initialTokens(c *catalog.Customer) int {
	if !p.restarted {
		return 0
	}
	return min(restartTokens+int(c.Rate*restartYieldTime.Seconds()), int(c.Burst))
}

// Grant takes up to n tokens of the customer, whose contract is split over the given number of groups, and returns how
// many were granted.
func (p *Coordinator) Grant(c *catalog.Customer, groups, n int, now time.Time) int {
	want := contract(c, coordinatorPart(c, groups)*p.share)
	b := p.buckets[c.Name]
	if b == nil {
		b = &grantBucket{
			bucket:   admission.NewBucket(want, admission.MicroTokens(p.initialTokens(c))*admission.Token, p.start),
			contract: want, share: p.share,
		}
		p.buckets[c.Name] = b
	}
	if b.contract != want {
		b.bucket.SetContract(want, p.changeTime(b.share, now))
		b.contract, b.share = want, p.share
	}
	n = min(n, maxGrant, int(b.bucket.Level(now)/admission.Token))
	if n <= 0 || !b.bucket.Take(n, now) {
		return 0
	}
	return n
}

// account is the limiter's state of one customer.
type account struct {
	customer   catalog.Customer
	groupCount int
	share      float64
	local      *admission.Bucket
	granted    int
	expires    time.Time
	// consumption is in tokens per second, as of time at.
	consumption float64
	at          time.Time
	backoff     Backoff
}

// LocalLimiter holds the tokens that the owner of one group may spend: its local part of each contract and the tokens
// granted by coordinators.
type LocalLimiter struct {
	portion
	accounts map[string]*account
}

// NewLocalLimiter returns a limiter whose local buckets are empty at start.
func NewLocalLimiter(start time.Time) *LocalLimiter {
	return &LocalLimiter{portion: newPortion(start), accounts: make(map[string]*account)}
}

// RecordDemand records that an operation of the customer needs a token. The contract is split over the given number of
// groups.
func (s *LocalLimiter) RecordDemand(c *catalog.Customer, groups int, now time.Time) {
	s.account(c, groups, now).count(1, now)
}

// Take spends one token of the customer, whose contract is split over the given number of groups.
func (s *LocalLimiter) Take(c *catalog.Customer, groups int, now time.Time) bool {
	a := s.account(c, groups, now)
	if a.local.Take(1, now) {
		return true
	}
	if a.granted > 0 && now.Before(a.expires) {
		a.granted--
		return true
	}
	return false
}

// Return returns the token of an operation that did not run.
func (s *LocalLimiter) Return(c *catalog.Customer, now time.Time) {
	if a := s.accounts[c.Name]; a != nil && now.Before(a.expires) {
		a.granted++
	}
}

// Add records the coordinator's answer to a request for tokens that was sent at the given time.
func (s *LocalLimiter) Add(customer string, asked, granted int, sent, now time.Time) {
	a := s.accounts[customer]
	if a == nil {
		return
	}
	if granted < asked {
		a.backoff.Denied(&a.customer, now)
	} else {
		a.backoff.Granted()
	}
	if granted <= 0 {
		return
	}
	if !now.Before(a.expires) {
		a.granted = 0
	}
	a.granted += granted
	a.expires = sent.Add(GrantLifetime)
}

// EachShortage calls f with each customer that is short of tokens and the number to request.
func (s *LocalLimiter) EachShortage(now time.Time, f func(customer string, n int)) {
	for name, a := range s.accounts {
		if n := a.shortage(now); n > 0 {
			f(name, n)
		}
	}
}

// RequestSize returns how many tokens to request from the customer's coordinator after Take has refused an operation,
// or 0 and the remaining backoff when the coordinator recently had none.
func (s *LocalLimiter) RequestSize(c *catalog.Customer, now time.Time) (n int, backoff time.Duration) {
	a := s.accounts[c.Name]
	if a == nil {
		return 1, 0
	}
	if left := a.backoff.Remaining(now); left > 0 {
		return 0, left
	}
	return max(1, a.shortage(now)), 0
}

func (s *LocalLimiter) account(c *catalog.Customer, groups int, now time.Time) *account {
	a := s.accounts[c.Name]
	local := contract(c, localPart(c, groups)*s.share)
	switch {
	case a == nil:
		a = &account{customer: *c, groupCount: groups, share: s.share, local: admission.NewBucket(local, 0, s.start), at: now}
		s.accounts[c.Name] = a
	case a.customer != *c || a.groupCount != groups || a.share != s.share:
		a.local.SetContract(local, s.changeTime(a.share, now))
		a.customer, a.groupCount, a.share = *c, groups, s.share
	}
	return a
}

// count adds to the measured consumption, which decays over consumptionWindow.
func (a *account) count(n float64, now time.Time) {
	elapsed := now.Sub(a.at)
	if elapsed > 0 {
		a.consumption *= max(0, 1-elapsed.Seconds()/consumptionWindow.Seconds())
		a.at = now
	}
	a.consumption += n / consumptionWindow.Seconds()
}

func (a *account) shortage(now time.Time) int {
	a.count(0, now)
	if a.consumption < minPrefetchRate || a.backoff.Remaining(now) > 0 {
		return 0
	}
	have := a.granted
	if !now.Before(a.expires) {
		have = 0
	}
	target := min(int(a.consumption*prefetchTime.Seconds())+1, maxGrant)
	return max(0, target-have)
}
