// Package quota keeps the customers' rates and bursts over the whole fleet. It has no goroutines, sockets or clock reads;
// none of its types is safe for concurrent use.
//
// A customer's contract is split: the owner of each group has a fixed part of its own, which needs nobody else, and one
// owner, the customer's coordinator, grants the rest in small amounts that lapse soon. The parts add up to the contract,
// so that no fault can admit more. A process that starts begins with empty buckets.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/celerystep/celerystep/internal/admission"
	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/config"
)

const (
	// localShare is the part of a contract that the owners hold without asking the coordinator.
	localShare = 0.2
	// GrantLifetime is how long granted tokens may be used after the request for them was sent.
	GrantLifetime = 2 * time.Second
	// prefetchTime is the consumption for which a stock asks ahead.
	prefetchTime = 250 * time.Millisecond
	// minPrefetchRate is in tokens a second. Below it tokens are asked for one by one, because those that wait in many
	// stocks would lapse unused.
	minPrefetchRate = 4
	// restartTokens and restartRate are what a coordinator starts with when it succeeds an earlier process of the same
	// instance, which surely has ended: some tokens, and the yield of some time. Several restarts within one window of the
	// contract stay within its tolerance, as nothing is granted while the process is down.
	restartTokens    = 6
	restartYieldTime = 250 * time.Millisecond
	// maxGrant bounds the tokens of one grant.
	maxGrant = 1000
	// consumptionWindow is the time constant of the measured consumption.
	consumptionWindow = time.Second
)

// CoordinatorIndex returns which of the groups, in order of name, has the customer's coordinator as its owner.
func CoordinatorIndex(customer string, groups int) int {
	if groups <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(customer) % uint64(groups))
}

func contract(c *catalog.Customer, share float64) config.Contract {
	return config.Contract{RatePerSecond: c.Rate * share, Burst: int(c.Burst * share)}
}

// localPart returns the part of the contract that each of the groups' owners holds by itself: nothing when it would be less
// than one token.
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

// Coordinator grants the tokens of the customers whose coordinator this owner is.
type Coordinator struct {
	buckets   map[string]*grantBucket
	start     time.Time
	restarted bool
}

// grantBucket is the pooled part of one contract.
type grantBucket struct {
	bucket   *admission.Bucket
	contract config.Contract
}

// NewCoordinator returns a pool whose buckets are empty at start, the time from which nobody else grants. restarted is true when the
// coordinator before was an earlier process of this instance; the buckets then hold a little.
func NewCoordinator(start time.Time, restarted bool) *Coordinator {
	return &Coordinator{buckets: make(map[string]*grantBucket), start: start, restarted: restarted}
}

// initialTokens returns what a bucket holds at the start.
func (p *Coordinator) initialTokens(c *catalog.Customer) int {
	if !p.restarted {
		return 0
	}
	return min(restartTokens+int(c.Rate*restartYieldTime.Seconds()), int(c.Burst))
}

// Grant takes at most n tokens of the customer, whose contract is split over the given number of groups, and returns how
// many there were. Each costs the given price in tokens of the pool.
func (p *Coordinator) Grant(c *catalog.Customer, groups, n, price int, now time.Time) int {
	want := contract(c, coordinatorPart(c, groups))
	b := p.buckets[c.Name]
	if b == nil {
		b = &grantBucket{bucket: admission.NewBucket(want, admission.MicroTokens(p.initialTokens(c))*admission.Token, p.start), contract: want}
		p.buckets[c.Name] = b
	}
	if b.contract != want {
		b.bucket.SetContract(want, now)
		b.contract = want
	}
	n = min(n, maxGrant, int(b.bucket.Level(now)/admission.Token)/price)
	if n <= 0 || !b.bucket.Take(n*price, now) {
		return 0
	}
	return n
}

// account is what a stock knows of one customer.
type account struct {
	customer   catalog.Customer
	groupCount int
	local      *admission.Bucket
	granted    int
	expires    time.Time
	// consumption is in tokens a second, measured until at.
	consumption float64
	at          time.Time
	backoff     Backoff
}

// LocalLimiter holds the tokens that the owner of one group may spend.
type LocalLimiter struct {
	accounts map[string]*account
	start    time.Time
}

// NewLocalLimiter returns a stock whose own buckets are empty at start.
func NewLocalLimiter(start time.Time) *LocalLimiter {
	return &LocalLimiter{accounts: make(map[string]*account), start: start}
}

// RecordDemand notes that an operation of the customer wants a token. The contract is split over the given number of groups.
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

// Return gives back a token whose operation did not run.
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

// EachShortage calls f with each customer of whom the stock is short, and the tokens to ask for.
func (s *LocalLimiter) EachShortage(now time.Time, f func(customer string, n int)) {
	for name, a := range s.accounts {
		if n := a.shortage(now); n > 0 {
			f(name, n)
		}
	}
}

// RequestSize returns how many tokens to ask the customer's coordinator for, so that an operation can run that Take has refused, or
// 0 and the rest of the pause when the coordinator has just had none.
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
	share := localPart(c, groups)
	switch {
	case a == nil:
		a = &account{customer: *c, groupCount: groups, local: admission.NewBucket(contract(c, share), 0, s.start), at: now}
		s.accounts[c.Name] = a
	case a.customer != *c || a.groupCount != groups:
		a.local.SetContract(contract(c, share), now)
		a.customer, a.groupCount = *c, groups
	}
	return a
}

// count adds to the measured consumption, which decays exponentially.
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
