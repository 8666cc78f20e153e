package owner

import (
	"context"
	"time"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/quota"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// tokenWait is how long a statement waits for tokens from its customer's coordinator.
	tokenWait = 30 * time.Millisecond
	// tokenTimeout is the timeout of a request for tokens.
	tokenTimeout = 250 * time.Millisecond
)

// takeToken takes a token of the customer, requesting more from the coordinator when there is none. When it gets no
// token, it returns how long the caller should wait before a retry.
func (g *Group) takeToken(ctx context.Context, c *call) (ok bool, after time.Duration) {
	if c.r.Charged || c.customer == nil || c.customer.Rate <= 0 {
		return true, 0
	}
	g.mu.Lock()
	g.limiter.RecordDemand(c.customer, len(c.catalog.Groups), g.o.Clock())
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, tokenWait)
	defer cancel()
	for {
		asked, pause, ok := g.spendToken(ctx, c)
		switch {
		case ok:
			return true, 0
		case asked == nil:
			return false, pause
		}
		select {
		case <-asked:
		case <-ctx.Done():
			return false, quota.TokenInterval(c.customer)
		}
	}
}

// spendToken takes a local token. Otherwise it returns a channel that is closed when the coordinator has answered, or
// nil and the remaining backoff when the coordinator recently had no tokens.
func (g *Group) spendToken(ctx context.Context, c *call) (asked <-chan struct{}, pause time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock()
	g.applyShare(now)
	if g.limiter.Take(c.customer, len(c.catalog.Groups), now) {
		return nil, 0, true
	}
	name := c.customer.Name
	if done := g.tokenRequests[name]; done != nil {
		return done, 0, false
	}
	n, pause := g.limiter.RequestSize(c.customer, now)
	if n == 0 {
		return nil, pause, false
	}
	return g.requestTokens(context.WithoutCancel(ctx), coordinatorOf(c.catalog, name), []TokenRequest{{Customer: name, Tokens: n}}), 0, false
}

func (g *Group) returnToken(c *call) {
	if c.customer == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Return(c.customer, g.o.Clock())
}

// requestTokensAhead requests, from the customers' coordinators, the tokens that the limiter expects to need. The group
// is locked.
func (g *Group) requestTokensAhead(ctx context.Context, c *catalog.Catalog, now time.Time) {
	if g.released {
		return
	}
	wants := make(map[upstream.GroupID][]TokenRequest)
	g.limiter.EachShortage(now, func(customer string, n int) {
		if g.tokenRequests[customer] == nil {
			to := coordinatorOf(c, customer)
			wants[to] = append(wants[to], TokenRequest{Customer: customer, Tokens: n})
		}
	})
	for to, list := range wants {
		g.requestTokens(ctx, to, list)
	}
}

// requestTokens sends a request to one coordinator in the background. The returned channel is closed when it has been
// answered. The group is locked.
func (g *Group) requestTokens(ctx context.Context, to upstream.GroupID, wants []TokenRequest) <-chan struct{} {
	done := make(chan struct{})
	for _, w := range wants {
		g.tokenRequests[w.Customer] = done
	}
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
		defer cancel()
		g.fetchTokens(ctx, to, wants)
	}()
	return done
}

// fetchTokens requests tokens from one coordinator and adds those granted to the limiter.
func (g *Group) fetchTokens(ctx context.Context, to upstream.GroupID, wants []TokenRequest) {
	sent := g.o.Clock()
	granted := make(map[string]int, len(wants))
	for _, t := range g.o.Tokens.TakeTokens(ctx, to, wants) {
		granted[t.Customer] = t.Tokens
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.o.Clock()
	for _, w := range wants {
		delete(g.tokenRequests, w.Customer)
		g.limiter.Add(w.Customer, w.Tokens, granted[w.Customer], sent, now)
	}
}

// grant grants tokens of the customers that this group's owner coordinates.
func (g *Group) grant(wants []TokenRequest) ([]TokenRequest, bool) {
	c := g.o.Catalog()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.released || !g.o.Authority.KeysFresh() {
		return nil, false
	}
	now := g.o.Clock()
	g.applyShare(now)
	var grants []TokenRequest
	for _, w := range wants {
		customer := c.Customer(w.Customer)
		if customer == nil || coordinatorOf(c, w.Customer) != g.id {
			continue
		}
		if n := g.coordinator.Grant(customer, len(c.Groups), w.Tokens, now); n > 0 {
			grants = append(grants, TokenRequest{Customer: w.Customer, Tokens: n})
		}
	}
	return grants, true
}

// applyShare applies the part of the contracts that this owner may spend now, beside other processes that may act as owner of the
// group. The group is locked.
func (g *Group) applyShare(now time.Time) {
	share, from := g.succession.Share(now), now
	if !g.o.Authority.Leased(g.claim) {
		end := g.o.Authority.LeaseEnd()
		share = g.succession.UnleasedShare(end, now)
		if share < g.share && end.Before(now) {
			from = end
		}
	}
	if share == g.share {
		return
	}
	g.log.Info("share of the customers' rates", "share", share, "before", g.share, "claim", g.claim.Revision, "since", now.Sub(from))
	g.share = share
	g.limiter.SetShare(share, from)
	g.coordinator.SetShare(share, from)
}

// predecessorEnded records that an earlier owner spends nothing any more.
func (g *Group) predecessorEnded(p ownership.Process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.succession.Ended(p)
	g.signal()
}
