package operator

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/platform"
)

// addressPrefix starts the keys under which instances publish their operators' addresses. The platform's list of
// instances has no room for them.
const addressPrefix = "operators/"

const (
	// maxAddresses bounds the addresses that celerystepctl reads.
	maxAddresses = 5_000
	// staleAddress is the age after which the address of an instance that the platform does not list is deleted.
	staleAddress = time.Hour
)

type address struct {
	Address string `json:"address"`
	UnixMS  int64  `json:"unix_ms"`
}

// Publish stores the operators' address of an instance in the key-value service. An instance does it once after its
// start and again when it failed.
func Publish(ctx context.Context, store platform.Store, id instance.ID, hostPort string, now time.Time) error {
	key := addressPrefix + string(id)
	value, err := json.Marshal(address{Address: hostPort, UnixMS: now.UnixMilli()})
	if err != nil {
		return errors.Wrap(err, "encode operators' address")
	}
	old, err := store.Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return errors.Wrap(err, "read operators' address")
	}
	if _, err := store.CompareAndSwap(ctx, key, old.Revision, value, 0); err != nil {
		return errors.Wrap(err, "publish operators' address")
	}
	return nil
}

// Addresses returns the published addresses by instance.
func Addresses(ctx context.Context, store platform.Store) (map[instance.ID]string, error) {
	entries, err := store.List(ctx, addressPrefix, maxAddresses)
	if err != nil {
		return nil, errors.Wrap(err, "read operators' addresses")
	}
	out := make(map[instance.ID]string, len(entries))
	for _, e := range entries {
		var a address
		if json.Unmarshal(e.Value, &a) == nil {
			out[idOf(e.Key)] = a.Address
		}
	}
	return out, nil
}

// Prune deletes the addresses of instances that the platform no longer lists. Instances that ended without notice
// leave theirs behind.
func Prune(ctx context.Context, store platform.Store, listed map[instance.ID]bool, now time.Time) error {
	entries, err := store.List(ctx, addressPrefix, maxAddresses)
	if err != nil {
		return errors.Wrap(err, "read operators' addresses")
	}
	for _, e := range entries {
		var a address
		_ = json.Unmarshal(e.Value, &a)
		if listed[idOf(e.Key)] || now.Sub(time.UnixMilli(a.UnixMS)) < staleAddress {
			continue
		}
		err := store.Delete(ctx, e.Key, e.Revision)
		if err != nil && !errors.Is(err, platform.ErrNotFound) && !errors.Is(err, platform.ErrConflict) {
			return errors.Wrap(err, "delete operators' address")
		}
	}
	return nil
}

func idOf(key string) instance.ID { return instance.ID(strings.TrimPrefix(key, addressPrefix)) }
