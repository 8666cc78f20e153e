package node

import (
	"context"
	"slices"
	"time"

	"github.com/celerystep/celerystep/internal/catalog"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/member"
	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/ownership"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Store is the key-value service. A write may have taken effect unless the error is one of package internal/platform.
type Store interface {
	mirror.Source
	// ListStale returns entries below the prefix that may be seconds old. It is much cheaper than List.
	ListStale(ctx context.Context, prefix string) ([]mirror.Entry, error)
	// Get returns the entry and the store's revision, or platform.ErrNotFound. Get, Watch and List are linearizable.
	Get(ctx context.Context, key string) (mirror.Entry, uint64, error)
	// CompareAndSwap executes the writes atomically if each expected key has the expected revision. Otherwise it writes nothing
	// and returns a *ConflictError. It returns the revision of the transaction.
	CompareAndSwap(ctx context.Context, expected []Expected, writes []Write) (uint64, error)
	// Remove deletes the key if its revision equals expected.
	Remove(ctx context.Context, key string, expected uint64) error
	// GrantLease creates a lease and returns the granted TTL.
	GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, time.Duration, error)
	// KeepAlive renews a lease and EndLease revokes it; both return platform.ErrLeaseExpired if the lease no longer exists.
	KeepAlive(ctx context.Context, id platform.LeaseID) error
	EndLease(ctx context.Context, id platform.LeaseID) error
}

// Expected is a precondition of Store.CompareAndSwap. Revision 0 means that the key must not exist.
type Expected struct {
	Key      string
	Revision uint64
}

// Write is a value to be stored by Store.CompareAndSwap, attached to the lease unless that is 0.
type Write struct {
	Key   string
	Value []byte
	Lease platform.LeaseID
}

// ConflictError reports that a precondition of Store.CompareAndSwap failed and nothing was written. It matches
// platform.ErrConflict.
type ConflictError struct {
	// Current holds the current entries of the expected keys, without keys that do not exist.
	Current []mirror.Entry
}

// Error implements error.
func (e *ConflictError) Error() string { return platform.ErrConflict.Error() }

// holds reports whether the key is among the entries.
func (e *ConflictError) holds(key string) bool {
	return slices.ContainsFunc(e.Current, func(c mirror.Entry) bool { return c.Key == key })
}

// Is makes errors.Is match platform.ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == platform.ErrConflict }

// Change is a decoded event of the store. Exactly one field is set.
type Change struct {
	Catalog *catalog.Catalog
	Member  *MemberChange
	Domain  *DomainChange
	Claim   *ClaimChange
	Process *ProcessChange
}

// ProcessChange is the creation or the expiry of a process's liveness key.
type ProcessChange struct {
	Process ownership.Process
	Alive   bool
}

// MemberChange is the addition, update or removal of a member.
type MemberChange struct {
	ID upstream.MemberID
	// Member is nil if the entry was deleted or does not describe a usable member.
	Member *member.Member
}

// DomainChange reports that operators took a failure domain out of service or brought it back.
type DomainChange struct {
	Domain instance.FailureDomain
	Out    bool
}

// ClaimChange is a new claim on a group or the removal of its claim.
type ClaimChange struct {
	Claim   ownership.Claim
	Removed bool
}

// Decoder defines the layout of the store: it decodes entries and names keys.
type Decoder interface {
	// Decode decodes an event. It returns false if the event is irrelevant or malformed.
	Decode(e mirror.Event) (Change, bool)
	// ClaimKey returns the key of a group's claim. EncodeClaim returns the value of a claim.
	ClaimKey(g upstream.GroupID) string
	// LivenessKey returns the liveness key of a process, which exists as long as its lease. The value is empty.
	LivenessKey(p ownership.Process) string
	EncodeClaim(c ownership.Claim) []byte
	// CatalogKey returns the key of the configuration.
	CatalogKey() string
	// UsageKey returns the key of the counts of the usage reports. It has none of the prefixes.
	UsageKey() string
	// Prefixes returns the prefixes to watch.
	Prefixes() Prefixes
}

// Prefixes holds the key prefixes of the store.
type Prefixes struct {
	// Operators is the prefix of the configuration and the other entries of operators.
	Operators string
	// Ownership is the prefix of claims and liveness keys.
	Ownership string
	// Members is the prefix of the members.
	Members string
}
