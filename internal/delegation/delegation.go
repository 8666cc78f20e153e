// Package delegation decides which instance runs reads near their callers, on a share of a replica that the owner of the
// group lends to it. It starts no goroutines, opens no sockets and reads no clock; none of its types is safe for concurrent
// use.
//
// The delegate of a group in a failure domain is an instance there that owns another group. Every instance derives it from
// the claims on groups. A loan is a lease: the delegate counts it from before it sent the request, the owner from when it
// composed the response, so that the delegate stops before the owner uses the share again.
package delegation

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/dispatch"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// minConnections is the number of connections to a member from which a share of it is useful.
	minConnections = 48
	// lentNumerator / lentDenominator is the part of a replica that is lent. The rest stays with the owner, which serves the
	// other failure domains.
	lentNumerator, lentDenominator = 2, 3
)

// Eligible reports whether reads of the group may be delegated. Connections belong to one customer each, so with far fewer
// connections than customers both shares would spend their time on opening them.
func Eligible(c *catalog.Catalog, id upstream.GroupID) bool {
	g := c.Groups[id]
	if g == nil || g.WarmupPerSecond > 0 {
		return false
	}
	connections := dispatch.DefaultLimits(g.MaxConnections).Connections
	return connections >= minConnections && 2*connections >= c.CustomerCount()
}

// Share is a part of a replica.
type Share struct {
	Connections int
	Slots       int
}

// isZero reports whether the share is of no use.
func (s Share) isZero() bool { return s.Connections <= 0 || s.Slots <= 0 }

// max returns the larger value of each field.
func (s Share) max(t Share) Share {
	return Share{Connections: max(s.Connections, t.Connections), Slots: max(s.Slots, t.Slots)}
}

// Lendable returns the share of a replica to lend, given what the owner may use of it and how many of its connections are
// in use. It returns false when too little is free.
func Lendable(whole Share, inUse int) (Share, bool) {
	s := Share{
		Connections: min(whole.Connections*lentNumerator/lentDenominator, whole.Connections-inUse),
		Slots:       whole.Slots * lentNumerator / lentDenominator,
	}
	return s, !s.isZero() && s.Connections >= whole.Connections/lentDenominator
}

// Owners holds the instances that own a group, by failure domain.
type Owners map[instance.FailureDomain][]ownership.Claim

// OwnersOf returns the owners in the claims: one claim of each instance, that of its newest process.
func OwnersOf(claims map[upstream.GroupID]ownership.Claim) Owners {
	newest := make(map[instance.ID]ownership.Claim)
	for _, c := range claims {
		if known, ok := newest[c.Owner]; !ok || known.Revision < c.Revision {
			newest[c.Owner] = c
		}
	}
	owners := make(Owners)
	for _, c := range newest {
		if c.Domain != "" && c.Address != "" {
			owners[c.Domain] = append(owners[c.Domain], c)
		}
	}
	return owners
}

// Choose returns the delegate of the group in the failure domain, or false if there is none. The choice is a rendezvous hash
// weighted by CPU time, so that a change of one owner moves only its own groups.
func (o Owners) Choose(group upstream.GroupID, owner ownership.Claim, domain instance.FailureDomain) (ownership.Claim, bool) {
	if owner.Owner == "" || owner.Domain == "" || owner.Domain == domain {
		return ownership.Claim{}, false
	}
	var best ownership.Claim
	bestScore := 0.0
	for _, c := range o[domain] {
		if s := score(group, c); s > bestScore || s == bestScore && c.Owner < best.Owner {
			best, bestScore = c, s
		}
	}
	return best, best.Owner != ""
}

// score returns the weight of an instance for a group.
func score(group upstream.GroupID, c ownership.Claim) float64 {
	cores := c.Cores
	if cores <= 0 {
		cores = 1
	}
	const mantissa = 53 // bits of a float64
	u := (float64(xxhash.Sum64String(string(group)+"/"+string(c.Owner))>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return -cores / math.Log(u)
}
