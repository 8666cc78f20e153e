// Package platform is the port to the platform's key-value service and to its list of instances.
package platform

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/instance"
)

// MaxValueBytes is the largest value the key-value service stores.
const MaxValueBytes = 1 << 20

// Errors of the key-value service. Any other error means that a write may have taken effect.
var (
	// ErrNotFound reports a missing key.
	ErrNotFound = errors.New("key not found")
	// ErrConflict reports a compare-and-swap whose expected revision did not match; nothing was written.
	ErrConflict = errors.New("revision conflict")
	// ErrTooLarge reports a value above MaxValueBytes; nothing was written.
	ErrTooLarge = errors.New("value too large")
	// ErrLeaseExpired reports a lease that no longer exists.
	ErrLeaseExpired = errors.New("lease expired")
)

// Entry is a stored value with the revision of its last change. Revision 0 means that the key does not exist.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
}

// LeaseID identifies a lease; 0 means none.
type LeaseID uint64

// Store is the key-value service. Every call counts against its rate, a waiting watch as one.
type Store interface {
	// Get returns the entry or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose key has the prefix, in key order, at most limit.
	List(ctx context.Context, prefix string, limit int) ([]Entry, error)
	// CompareAndSwap stores value when the key's revision equals expected (0: key absent), bound to the lease if any.
	// After an error that is none of this package's the caller must read back to learn whether it took effect.
	CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte, lease LeaseID) (Entry, error)
	// Delete removes the key when its revision equals expected.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch waits until the key's revision exceeds after and returns the entry, or ErrNotFound on deletion. It
	// returns ctx's error when ctx ends first.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
	// GrantLease creates a lease that lapses after ttl without KeepAlive.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends the lease or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, id LeaseID) error
}

// InstanceEntry is one row of the platform's list of instances, which lags behind reality.
type InstanceEntry struct {
	Info    instance.Info
	Leaving bool
}

// Directory lists the instances that the platform knows.
type Directory interface {
	// Instances returns the list as the platform sees it now.
	Instances(ctx context.Context) ([]InstanceEntry, error)
}
