package ownership

import "time"

// Start records the era of the store's data when this process first reaches the store.
func (p *Planner) Start(era uint64) { p.era = era }

// NewEra records that the store has come back from an older copy of its data. No claim is in force before it is written again. The
// store may have forgotten owners that have a lease; holdoff is the time after which none of these leases is valid. leased is true if
// this process had a valid lease: only then is it certain that no other process has replaced its claims.
func (p *Planner) NewEra(era uint64, leased bool, holdoff time.Duration, now time.Time) {
	p.era, p.othersFrom = era, now.Add(holdoff)
	p.alive = make(map[Process]bool)
	for _, g := range p.groups {
		g.stored = 0
		g.ownedLast = g.ownedLast && leased
		if g.claim.Owner != "" {
			g.expired, g.ownerlessSince = true, now
		}
	}
}

// Reappeared records that the store holds a claim which was written in an earlier era. It gives its owner nothing, but has to be
// replaced. holdoff is as for NewEra, for a process that has started since.
func (p *Planner) Reappeared(c Claim, holdoff time.Duration, now time.Time) {
	g := p.groups[c.Group]
	if g == nil {
		g = &group{}
		p.groups[c.Group] = g
	}
	g.stored = c.Revision
	if p.othersFrom.IsZero() {
		p.othersFrom = now.Add(holdoff)
	}
	if g.lastClaim.Owner == "" {
		g.claim, g.lastClaim, g.expired = c, c, true
	}
	if g.ownerlessSince.IsZero() && (g.claim.Owner == "" || g.expired) {
		g.ownerlessSince = now
	}
}
