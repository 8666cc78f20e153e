package daemon

import (
	"context"

	"github.com/celerystep/celerystep/internal/gossip"
	"github.com/celerystep/celerystep/internal/home"
	"github.com/celerystep/celerystep/internal/homes"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/membership"
	"github.com/celerystep/celerystep/internal/upstream"
)

// locator finds homes and addresses in the membership. route, when set, replaces the addresses of peers.
type locator struct {
	service *gossip.Service
	route   func(instance.Info) instance.Info
}

// Home returns the announced home of a group.
func (l *locator) Home(g upstream.GroupID) (instance.ID, bool) {
	h, ok := l.service.Home(g)
	if !ok || h.Released {
		return "", false
	}
	return h.Owner, true
}

// Address returns what is needed to reach an instance.
func (l *locator) Address(id instance.ID) (instance.Info, bool) {
	info, ok := l.service.Address(id)
	if ok && l.route != nil {
		info = l.route(info)
	}
	return info, ok
}

// Instances lists the instances that are neither leaving nor dead.
func (l *locator) Instances() []instance.Info {
	var out []instance.Info
	for _, m := range l.service.Live() {
		info := m.Info
		if l.route != nil {
			info = l.route(info)
		}
		out = append(out, info)
	}
	return out
}

// homeRunner lets the coordinator of homes drive the home manager.
type homeRunner struct {
	self    instance.ID
	manager *home.Manager
	service *gossip.Service
}

// Acquire implements gossip.HomeManager.
func (r *homeRunner) Acquire(ctx context.Context, g upstream.GroupID, h homes.Handover) error {
	var from *home.Handover
	if h.Planned() {
		from = toHome(h)
	}
	o, err := r.manager.Acquire(ctx, g, from)
	if err != nil {
		return err
	}
	r.announce(o)
	return nil
}

// Release implements gossip.HomeManager.
func (r *homeRunner) Release(ctx context.Context, g upstream.GroupID) (homes.Handover, error) {
	h, err := r.manager.Release(ctx, g)
	return fromHome(h), err
}

// Owned implements gossip.HomeManager.
func (r *homeRunner) Owned() []upstream.GroupID {
	owned := r.manager.Owned()
	ids := make([]upstream.GroupID, 0, len(owned))
	for _, o := range owned {
		ids = append(ids, o.Group)
	}
	return ids
}

// announce tells the fleet who is home and primary of a group.
func (r *homeRunner) announce(o home.Ownership) {
	r.service.AnnounceHome(membership.Home{
		Group: o.Group, Owner: r.self, Generation: o.Generation, Primary: o.Primary, Term: o.Term,
	})
}

func toHome(h homes.Handover) *home.Handover {
	out := &home.Handover{From: h.From, Group: h.Group, Generation: h.Generation, Floor: h.Floor}
	for _, b := range h.Buckets {
		out.Buckets = append(out.Buckets, home.BucketLevel(b))
	}
	return out
}

func fromHome(h home.Handover) homes.Handover {
	out := homes.Handover{From: h.From, Group: h.Group, Generation: h.Generation, Floor: h.Floor}
	for _, b := range h.Buckets {
		out.Buckets = append(out.Buckets, homes.BucketLevel(b))
	}
	return out
}
