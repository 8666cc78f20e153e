package membership

import (
	"cmp"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/mutation"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Member is the record of one instance.
type Member struct {
	ID instance.ID
	// State and Incarnation form one register: the higher incarnation wins, then the later state in the order of
	// instance.State. Only the instance itself increases its incarnation.
	State       instance.State
	Incarnation uint64
	// Info holds the addresses of the instance, as it announced them with InfoIncarnation. If unknown, Info is the zero
	// value and InfoIncarnation is 0: updates about a suspicion or a death omit it.
	Info            instance.Info
	InfoIncarnation uint64
}

// Merge returns the join (least upper bound) of two records of the same instance.
func (m Member) Merge(o Member) Member {
	if o.Incarnation > m.Incarnation || (o.Incarnation == m.Incarnation && o.State > m.State) {
		m.Incarnation, m.State = o.Incarnation, o.State
	}
	if o.InfoIncarnation > m.InfoIncarnation || (o.InfoIncarnation == m.InfoIncarnation && infoLess(m.Info, o.Info)) {
		m.InfoIncarnation, m.Info = o.InfoIncarnation, o.Info
	}
	return m
}

// HasAddress reports whether the record contains the address of the instance.
func (m Member) HasAddress() bool { return m.InfoIncarnation > 0 }

// update returns the record as it is disseminated: without Info if that was announced with an earlier incarnation or
// state.
func (m Member) update() Member {
	if m.State == instance.StateLive && m.InfoIncarnation == m.Incarnation {
		return m
	}
	return Member{ID: m.ID, State: m.State, Incarnation: m.Incarnation}
}

// infoLess orders infos of the same incarnation, so the result of a merge does not depend on the order of delivery.
func infoLess(a, b instance.Info) bool {
	return cmp.Or(
		cmp.Compare(a.FailureDomain, b.FailureDomain),
		cmp.Compare(a.PeerAddress, b.PeerAddress),
		cmp.Compare(a.CallerAddress, b.CallerAddress),
	) < 0
}

// Home is the record of the home of a group. Its generation was accepted by a majority of the group's members, so no
// two owners have the same generation. If they did, the greater owner id would win on every instance.
type Home struct {
	Group      upstream.GroupID
	Owner      instance.ID
	Generation uint64
	// Primary and Term are the group's primary as known to the home; the higher term wins.
	Primary upstream.MemberID
	Term    position.Term
	// Released is true once the owner released the group; it stays true for this generation.
	Released bool
}

// Merge returns the join of two records of the same group.
func (h Home) Merge(o Home) Home {
	switch cmp.Or(cmp.Compare(h.Generation, o.Generation), cmp.Compare(h.Owner, o.Owner)) {
	case -1:
		return o
	case 1:
		return h
	}
	h.Released = h.Released || o.Released
	if cmp.Or(cmp.Compare(h.Term, o.Term), cmp.Compare(h.Primary, o.Primary)) < 0 {
		h.Term, h.Primary = o.Term, o.Primary
	}
	return h
}

// ConfigVersion announces a version of the operators' configuration.
type ConfigVersion struct {
	Version     uint64
	OperationID string
	// Root is the encoded root of the configuration, opaque to this package.
	Root string
}

// Merge returns the higher version. Two operations have the same version only if the key-value service lost a write;
// then the greater operation id wins on every instance.
func (c ConfigVersion) Merge(o ConfigVersion) ConfigVersion {
	if mutation.On(mutation.AcceptLowerVersion) {
		return o
	}
	if cmp.Or(
		cmp.Compare(c.Version, o.Version),
		cmp.Compare(c.OperationID, o.OperationID),
		cmp.Compare(c.Root, o.Root),
	) < 0 {
		return o
	}
	return c
}

// KeyRef identifies a key of a customer.
type KeyRef struct {
	Customer string
	Key      string
}

// Revocation is an emergency revocation of a key. Revocations form a grow-only set.
type Revocation struct {
	KeyRef
	Operator string
	// UnixMilli is the time of the revocation; of two revocations of the same key the earlier is kept.
	UnixMilli int64
}

// Merge returns the earlier of two revocations of the same key.
func (r Revocation) Merge(o Revocation) Revocation {
	if cmp.Or(cmp.Compare(r.UnixMilli, o.UnixMilli), cmp.Compare(r.Operator, o.Operator)) > 0 {
		return o
	}
	return r
}
