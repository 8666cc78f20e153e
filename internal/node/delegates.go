package node

import (
	"context"
	"sync"

	"github.com/celerystep/celerystep/internal/delegation"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/owner"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/upstream"
)

// delegateTable caches the delegates that follow from one claim table. Its methods are safe for concurrent use.
type delegateTable struct {
	owners func() delegation.Owners
	// domains holds the failure domains of owners by address.
	domains func() map[string]instance.FailureDomain
	// byGroup maps upstream.GroupID to ownership.Claim; the zero Claim means that there is none.
	byGroup sync.Map
}

func newDelegateTable(claims map[upstream.GroupID]ownership.Claim) *delegateTable {
	return &delegateTable{
		owners: sync.OnceValue(func() delegation.Owners { return delegation.OwnersOf(claims) }),
		domains: sync.OnceValue(func() map[string]instance.FailureDomain {
			domains := make(map[string]instance.FailureDomain)
			for _, c := range claims {
				domains[c.Address] = c.Domain
			}
			return domains
		}),
	}
}

// domainLabel returns the label in metrics for the failure domain of a peer, which is known of owners.
func (n *Node) domainLabel(address string) string {
	switch n.claims.Load().delegates.domains()[address] {
	case "":
		return "unknown"
	case n.opts.Settings.Domain:
		return "same"
	default:
		return "other"
	}
}

// Delegate implements caller.Delegates.
func (n *Node) Delegate(g upstream.GroupID) (c ownership.Claim, mine, ok bool) {
	if !n.opts.Owner.DelegateReads || !delegation.Eligible(n.Catalog(), g) {
		return c, false, false
	}
	t := n.claims.Load()
	if known, found := t.delegates.byGroup.Load(g); found {
		c = known.(ownership.Claim)
	} else {
		// While the group has no owner, a loan of the last one may still be in use.
		c, _ = t.delegates.owners().Choose(g, t.last[g], n.opts.Settings.Domain)
		t.delegates.byGroup.Store(g, c)
	}
	return c, n.ownsClaim(c), c.Owner != ""
}

// BorrowReplica implements owner.Lender.
func (n *Node) BorrowReplica(ctx context.Context, g upstream.GroupID, r owner.BorrowRequest) (delegation.Offer, delegation.Refusal) {
	claim, owned, _ := n.Current(g)
	if owned || claim.Address == "" {
		return delegation.Offer{}, delegation.RefusalNotOwner
	}
	r.Holder = ownership.Process{Instance: n.opts.Settings.Instance, ID: n.opts.Settings.Process}
	offer, refusal, err := n.Peers.At(claim.Address).BorrowReplica(ctx, g, r)
	if err != nil {
		n.opts.Log.Debug("could not ask the owner for a replica", "group", g, "owner", claim.Owner, "error", err)
	}
	return offer, refusal
}
