package home

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/celerystep/celerystep/internal/admission"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/mutation"
	"github.com/celerystep/celerystep/internal/quorum"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// askRetryMin and askRetryMax bound the wait before a customer's home is asked again.
	askRetryMin = time.Millisecond
	askRetryMax = 500 * time.Millisecond
	// askFailed is the wait after a call without an answer.
	askFailed = 20 * time.Millisecond
)

// customer is the admission state of one customer in a group.
type customer struct {
	name     string
	metrics  *customerMetrics
	contract config.Contract
	// main is the group at whose home the bucket lives.
	main upstream.GroupID
	// bucket is set when main is this group, grants otherwise.
	bucket *admission.Bucket
	grants *admission.Grants
	// asking is true while a call to the home of main is open; no call starts before askAfter.
	asking   bool
	askAfter time.Time
}

// countingBucket counts the tokens taken from a bucket.
type countingBucket struct {
	*admission.Bucket
	metrics *customerMetrics
}

// Take consumes n tokens, or none and returns false.
func (b countingBucket) Take(n int, now time.Time) bool {
	ok := b.Bucket.Take(n, now)
	if ok {
		b.metrics.tokens.Add(float64(n))
	}
	return ok
}

// applyCustomer creates the customer or puts another contract or main group in force.
func (g *Group) applyCustomer(name string, now time.Time) {
	contract, ok := g.snapshot.Contract(name)
	if !ok {
		return
	}
	main, _ := g.snapshot.MainGroup(name)
	c := g.customers[name]
	if c == nil {
		c = &customer{name: name, metrics: g.metrics.customer(name)}
		g.customers[name] = c
		g.placeBucket(c, contract, main, g.newBucketRefill(now))
	} else if c.main != main {
		// Homes that have not seen the change yet still admit from the bucket at the old main group.
		g.placeBucket(c, contract, main, now.Add(configSpread+admitValidity))
	} else if c.contract == contract {
		return
	} else if c.bucket != nil {
		c.bucket.SetContract(contract, now)
	}
	c.contract = contract
	g.setQueueCustomer(c, now)
}

// newBucketRefill returns the time from which the bucket of a customer that was added refills. Buckets created before
// the claim are replaced by startBuckets.
func (g *Group) newBucketRefill(now time.Time) time.Time {
	if g.refillFrom.After(now) {
		return g.refillFrom.Add(admitValidity)
	}
	return now
}

func (g *Group) placeBucket(c *customer, contract config.Contract, main upstream.GroupID, refillFrom time.Time) {
	c.main = main
	c.contract = contract
	c.bucket = nil
	c.grants = nil
	if main == g.id {
		c.bucket = admission.NewBucket(contract, 0, refillFrom)
	} else {
		c.grants = &admission.Grants{}
	}
	g.listRemote()
}

func (g *Group) listRemote() {
	g.remote = g.remote[:0]
	for _, c := range g.customers {
		if c.grants != nil {
			g.remote = append(g.remote, c)
		}
	}
}

func (g *Group) setQueueCustomer(c *customer, now time.Time) {
	var source admission.Source = c.grants
	if c.bucket != nil {
		source = countingBucket{Bucket: c.bucket, metrics: c.metrics}
	}
	g.queue.SetCustomer(c.name, c.contract.Share, source, now)
	g.queue.Refresh(c.name, now)
}

func (g *Group) removeCustomer(name string, now time.Time) {
	if g.customers[name] == nil {
		return
	}
	delete(g.customers, name)
	g.queue.RemoveCustomer(name, now)
	g.listRemote()
}

// handoverValid reports whether the levels handed over are current: no other home may have been in between.
func (g *Group) handoverValid() bool {
	return g.handover != nil && g.claim.Generation == g.handover.Generation+1
}

// startBuckets sets the levels at the start of the home role. After a planned move they continue; otherwise they start
// empty and refill once the old home can admit nothing more.
func (g *Group) startBuckets(now time.Time) {
	levels := make(map[string]admission.MicroTokens)
	if g.handoverValid() {
		for _, b := range g.handover.Buckets {
			levels[b.Customer] = admission.MicroTokens(b.MicroTokens)
		}
	}
	g.refillFrom = now.Add(quorum.AuthorityWindow)
	for _, c := range g.customers {
		if c.bucket == nil {
			continue
		}
		level, moved := levels[c.name]
		refillFrom := now
		if !moved {
			refillFrom = g.refillAfterTakeover(c.name)
		}
		if mutation.On(mutation.FullBucket) {
			level = admission.MicroTokens(c.contract.Burst) * admission.Token
		}
		c.bucket = admission.NewBucket(c.contract, level, refillFrom)
		g.setQueueCustomer(c, now)
	}
}

func (g *Group) refillAfterTakeover(name string) time.Time {
	if g.snapshot.GroupCount(name) > 1 {
		// Grants of the old home to homes of other groups count for this long after they were asked for.
		return g.refillFrom.Add(admitValidity)
	}
	return g.refillFrom
}

// levels returns the bucket levels for a handover, in the order of the customers' names.
func (g *Group) levels(now time.Time) []BucketLevel {
	var out []BucketLevel
	for _, c := range g.customers {
		if c.bucket != nil {
			out = append(out, BucketLevel{Customer: c.name, MicroTokens: int64(c.bucket.Level(now))})
		}
	}
	slices.SortFunc(out, func(a, b BucketLevel) int { return strings.Compare(a.Customer, b.Customer) })
	return out
}

// admit grants tokens to the home of another group. The group must be locked.
func (g *Group) admit(items []AdmitItem, now time.Time) AdmitResult {
	answer := AdmitResult{Authoritative: g.phase == phaseServing && g.tracker.HasAuthority(now)}
	if !answer.Authoritative {
		return answer
	}
	for _, it := range items {
		granted, retryAfter := g.admitOne(it, now)
		answer.Granted = append(answer.Granted, AdmitItem{Customer: it.Customer, Tokens: granted})
		answer.RetryAfter = append(answer.RetryAfter, retryAfter)
	}
	return answer
}

func (g *Group) admitOne(it AdmitItem, now time.Time) (int, time.Duration) {
	c := g.customers[it.Customer]
	if c == nil || c.bucket == nil {
		return 0, askRetryMax
	}
	n := min(it.Tokens, int(c.bucket.Level(now)/admission.Token))
	source := countingBucket{Bucket: c.bucket, metrics: c.metrics}
	if n <= 0 || !source.Take(n, now) {
		n = 0
	}
	if n > 0 {
		g.queue.Refresh(c.name, now)
	}
	if n == it.Tokens {
		return n, 0
	}
	next, ok := c.bucket.Next(1, now)
	if !ok {
		return n, askRetryMax
	}
	return n, next.Sub(now)
}

// askRemote asks the homes of other groups for the tokens that waiting work needs. The group must be locked.
func (g *Group) askRemote(now time.Time) {
	if g.queue.Len() == 0 || g.phase != phaseServing && g.phase != phaseDraining {
		return
	}
	for _, c := range g.remote {
		need := g.missing(c)
		if need <= 0 || c.asking || now.Before(c.askAfter) {
			continue
		}
		c.asking = true
		main, grants := c.main, c.grants
		g.task(func() { g.ask(c, main, grants, need) })
	}
}

// missing returns the number of tokens that the customer's waiting work needs beyond those granted.
func (g *Group) missing(c *customer) int {
	_, need := g.queue.Waiting(c.name)
	return need - c.grants.Available()
}

// ask makes one call for a customer's tokens. Its answer counts only within admitValidity of its sending, because a
// later home of the main group starts its bucket on that assumption.
func (g *Group) ask(c *customer, main upstream.GroupID, grants *admission.Grants, need int) {
	sent := g.now()
	ctx, cancel := context.WithTimeout(g.ctx, admitValidity)
	defer cancel()
	granted, retryAfter, err := g.manager.askHome(ctx, main, c.name, need)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	c.asking = false
	if g.phase == phaseClosed || c.grants != grants {
		return
	}
	if err != nil || now.Sub(sent) > admitValidity {
		c.askAfter = now.Add(askFailed)
		g.log.Debug("no tokens from the customer's home", "customer", c.name, "main_group", main, "error", err)
		g.wakeLoop()
		return
	}
	if granted < need {
		c.askAfter = now.Add(min(max(retryAfter, askRetryMin), askRetryMax))
		g.wakeLoop()
	}
	grants.Add(granted)
	g.queue.Refresh(c.name, now)
	g.dispatch(now)
	_, left := g.queue.Waiting(c.name)
	grants.Trim(left)
}

// askWake returns when the next call may start.
func (g *Group) askWake() (time.Time, bool) {
	var wake time.Time
	for _, c := range g.remote {
		if c.asking || g.missing(c) <= 0 {
			continue
		}
		if wake.IsZero() || c.askAfter.Before(wake) {
			wake = c.askAfter
		}
	}
	return wake, !wake.IsZero()
}
