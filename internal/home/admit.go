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
	// tokenRetryMin and tokenRetryMax bound the wait before tokens are requested again.
	tokenRetryMin = time.Millisecond
	tokenRetryMax = 500 * time.Millisecond
	// tokenFailureBackoff is the wait after a request that failed or timed out.
	tokenFailureBackoff = 20 * time.Millisecond
)

// customer is the admission state of one customer in a group.
type customer struct {
	name     string
	metrics  *customerMetrics
	contract config.Contract
	// main is the customer's main group, whose home keeps the bucket.
	main upstream.GroupID
	// bucket is set if main is this group; otherwise grants holds the tokens granted by the home of main.
	bucket *admission.Bucket
	grants *admission.Grants
	// requesting is true while a token request is in flight. No request starts before requestAfter.
	requesting   bool
	requestAfter time.Time
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

// applyCustomer adds the customer or applies a changed contract or main group.
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
		g.assignBucket(c, contract, main, g.newBucketRefill(now))
	} else if c.main != main {
		// Homes that have not applied the change yet still take tokens from the bucket at the old main group.
		g.assignBucket(c, contract, main, now.Add(configPropagationTime+admitValidity))
	} else if c.contract == contract {
		return
	} else if c.bucket != nil {
		c.bucket.SetContract(contract, now)
	}
	c.contract = contract
	g.setQueueCustomer(c, now)
}

// newBucketRefill returns the time from which the bucket of a new customer refills. Buckets created before the claim
// succeeds are replaced by startBuckets.
func (g *Group) newBucketRefill(now time.Time) time.Time {
	if g.refillFrom.After(now) {
		return g.refillFrom.Add(admitValidity)
	}
	return now
}

func (g *Group) assignBucket(c *customer, contract config.Contract, main upstream.GroupID, refillFrom time.Time) {
	c.main = main
	c.contract = contract
	c.bucket = nil
	c.grants = nil
	if main == g.id {
		c.bucket = admission.NewBucket(contract, 0, refillFrom)
	} else {
		c.grants = &admission.Grants{}
	}
	g.updateRemoteCustomers()
}

func (g *Group) updateRemoteCustomers() {
	g.remoteCustomers = g.remoteCustomers[:0]
	for _, c := range g.customers {
		if c.grants != nil {
			g.remoteCustomers = append(g.remoteCustomers, c)
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
	g.updateRemoteCustomers()
}

// handoverValid reports whether the handed-over levels are current, that is, no other home came in between.
func (g *Group) handoverValid() bool {
	return g.handover != nil && g.claim.Generation == g.handover.Generation+1
}

// startBuckets sets the bucket levels at the start of the home role. After a planned move, buckets continue at their
// levels. Otherwise they start empty and refill once the old home can no longer admit work.
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
		// Tokens that the old home granted to homes of other groups remain usable for this long.
		return g.refillFrom.Add(admitValidity)
	}
	return g.refillFrom
}

// bucketLevels returns the bucket levels for a handover, sorted by customer name.
func (g *Group) bucketLevels(now time.Time) []BucketLevel {
	var out []BucketLevel
	for _, c := range g.customers {
		if c.bucket != nil {
			out = append(out, BucketLevel{Customer: c.name, MicroTokens: int64(c.bucket.Level(now))})
		}
	}
	slices.SortFunc(out, func(a, b BucketLevel) int { return strings.Compare(a.Customer, b.Customer) })
	return out
}

// admit grants tokens to a home that requested them. The group must be locked.
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
		return 0, tokenRetryMax
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
		return n, tokenRetryMax
	}
	return n, next.Sub(now)
}

// requestRemoteTokens requests the tokens that waiting work needs from the homes of other groups. The group must be
// locked.
func (g *Group) requestRemoteTokens(now time.Time) {
	if g.queue.Len() == 0 || g.phase != phaseServing && g.phase != phaseDraining {
		return
	}
	for _, c := range g.remoteCustomers {
		need := g.missingTokens(c)
		if need <= 0 || c.requesting || now.Before(c.requestAfter) {
			continue
		}
		c.requesting = true
		main, grants := c.main, c.grants
		g.spawn(func() { g.requestTokens(c, main, grants, need) })
	}
}

// missingTokens returns how many more tokens the customer's waiting work needs than are granted.
func (g *Group) missingTokens(c *customer) int {
	_, need := g.queue.Waiting(c.name)
	return need - c.grants.Available()
}

// requestTokens sends one token request for a customer. The grant is used only if it arrives within admitValidity of
// sending, because the next home of the main group relies on that when it starts its bucket.
func (g *Group) requestTokens(c *customer, main upstream.GroupID, grants *admission.Grants, need int) {
	sent := g.now()
	ctx, cancel := context.WithTimeout(g.ctx, admitValidity)
	defer cancel()
	granted, retryAfter, err := g.manager.requestTokensFromHome(ctx, main, c.name, need)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	c.requesting = false
	if g.phase == phaseClosed || c.grants != grants {
		return
	}
	if err != nil || now.Sub(sent) > admitValidity {
		c.requestAfter = now.Add(tokenFailureBackoff)
		g.log.Debug("token request to the customer's home failed", "customer", c.name, "main_group", main, "error", err)
		g.wakeLoop()
		return
	}
	if granted < need {
		c.requestAfter = now.Add(min(max(retryAfter, tokenRetryMin), tokenRetryMax))
		g.wakeLoop()
	}
	grants.Add(granted)
	g.queue.Refresh(c.name, now)
	g.dispatch(now)
	_, left := g.queue.Waiting(c.name)
	grants.Trim(left)
}

// nextTokenRequest returns when the next token request may start, and false if none is needed.
func (g *Group) nextTokenRequest() (time.Time, bool) {
	var wake time.Time
	for _, c := range g.remoteCustomers {
		if c.requesting || g.missingTokens(c) <= 0 {
			continue
		}
		if wake.IsZero() || c.requestAfter.Before(wake) {
			wake = c.requestAfter
		}
	}
	return wake, !wake.IsZero()
}
