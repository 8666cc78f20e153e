package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/fleetlink"
	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/quota"
	"github.com/celerystep/celerystep/internal/upstream"
	"github.com/celerystep/celerystep/internal/usage"
)

const (
	// usageDuty is hashed to choose the group whose owner reports the usage.
	usageDuty = "usage-report"
	// usageStoreTimeout bounds one call to the store for the usage.
	usageStoreTimeout = 2 * time.Second
	// usageCloseTimeout bounds the last delivery of counts during the shutdown.
	usageCloseTimeout = 600 * time.Millisecond
)

// UsageOptions configures the reports of the usage.
type UsageOptions struct {
	Settings usage.Settings
	Sender   usage.Sender
	Metrics  *usage.Metrics
}

// newUsageReporter returns the reporter of the usage, or nil if it is not reported.
func newUsageReporter(n *Node) *usage.Reporter {
	o := n.opts.Usage
	if o == nil {
		return nil
	}
	return usage.NewReporter(usage.Options{
		Settings: o.Settings, Self: usage.Source{Instance: n.opts.Settings.Instance, Process: n.opts.Settings.Process},
		Store: usageStore{n}, Duty: usageDutyOf{n}, Peers: n.Peers, Sender: o.Sender, Boot: n.opts.Clock, Wall: time.Now,
		Log: n.opts.Log.Named("usage"), Metrics: o.Metrics,
	})
}

// usageReceiver returns the receiver of other instances' counts, or nil if the usage is not reported.
func (n *Node) usageReceiver() fleetlink.UsageReceiver {
	if n.Usage == nil {
		return nil
	}
	return n.Usage
}

// closeUsage delivers the last counts during the shutdown.
func (n *Node) closeUsage() {
	if n.Usage == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), usageCloseTimeout)
	defer cancel()
	n.Usage.Close(ctx)
}

// usageGroup returns the group whose owner reports the usage.
func (n *Node) usageGroup() (upstream.GroupID, bool) {
	ids := n.Catalog().GroupIDs()
	if len(ids) == 0 {
		return "", false
	}
	return ids[quota.CoordinatorIndex(usageDuty, len(ids))], true
}

// usageDutyOf implements usage.Duty.
type usageDutyOf struct{ node *Node }

// Holder implements usage.Duty.
func (d usageDutyOf) Holder() usage.Holder {
	g, ok := d.node.usageGroup()
	if !ok {
		return usage.Holder{}
	}
	c, mine, _ := d.node.Current(g)
	return usage.Holder{Address: c.Address, Mine: mine, Token: c.Revision}
}

// Renew implements usage.Duty.
func (d usageDutyOf) Renew() {
	if g, ok := d.node.usageGroup(); ok {
		go d.node.renewClaim(g)
	}
}

// usageStore implements usage.Store.
type usageStore struct{ node *Node }

// Load implements usage.Store.
func (s usageStore) Load(ctx context.Context) ([]byte, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, usageStoreTimeout)
	defer cancel()
	e, _, err := s.node.opts.Store.Get(ctx, s.node.opts.Decoder.UsageKey())
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	return e.Value, e.Revision, err
}

// Save implements usage.Store.
func (s usageStore) Save(ctx context.Context, value []byte, revision, token uint64) (uint64, error) {
	g, ok := s.node.usageGroup()
	if !ok {
		return 0, usage.ErrClaimLost
	}
	ctx, cancel := context.WithTimeout(ctx, usageStoreTimeout)
	defer cancel()
	key := s.node.opts.Decoder.UsageKey()
	expected := []Expected{{Key: key, Revision: revision}, {Key: s.node.opts.Decoder.ClaimKey(g), Revision: token}}
	stored, err := s.node.opts.Store.CompareAndSwap(ctx, expected, []Write{{Key: key, Value: value}})
	if c := (*ConflictError)(nil); errors.As(err, &c) {
		return 0, s.explainConflict(ctx, c, revision)
	}
	return stored, err
}

// explainConflict returns the usage.ConflictError or usage.ErrClaimLost behind a conflict.
func (s usageStore) explainConflict(ctx context.Context, c *ConflictError, expected uint64) error {
	s.node.applyEntries(c.Current)
	key := s.node.opts.Decoder.UsageKey()
	var current mirror.Entry
	for _, e := range c.Current {
		if e.Key == key {
			current = e
		}
	}
	if current.Revision == expected {
		return usage.ErrClaimLost
	}
	if current.Revision > 0 {
		return &usage.ConflictError{Value: current.Value, Revision: current.Revision}
	}
	value, revision, err := s.Load(ctx)
	switch {
	case err != nil:
		return err
	case revision == expected:
		return usage.ErrClaimLost
	default:
		return &usage.ConflictError{Value: value, Revision: revision}
	}
}
