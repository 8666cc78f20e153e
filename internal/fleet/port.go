package fleet

import (
	"context"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// routedPort is an upstream.Port that replaces the addresses of members by addresses of relays.
type routedPort struct {
	upstream.Port
	route func(upstream.Member) upstream.Member
}

// Watch implements upstream.Port.
func (p *routedPort) Watch(ctx context.Context, m upstream.Member, f func(upstream.MemberStatus)) error {
	return p.Port.Watch(ctx, p.route(m), f)
}

// Status implements upstream.Port.
func (p *routedPort) Status(ctx context.Context, m upstream.Member) (upstream.MemberStatus, error) {
	return p.Port.Status(ctx, p.route(m))
}

// Claim implements upstream.Port.
func (p *routedPort) Claim(ctx context.Context, m upstream.Member, c upstream.Claim) (upstream.MemberStatus, error) {
	return p.Port.Claim(ctx, p.route(m), c)
}

// Fence implements upstream.Port.
func (p *routedPort) Fence(ctx context.Context, m upstream.Member, t position.Term, o instance.ID) (upstream.MemberStatus, error) {
	return p.Port.Fence(ctx, p.route(m), t, o)
}

// Promote implements upstream.Port.
func (p *routedPort) Promote(ctx context.Context, m upstream.Member, t position.Term, o instance.ID) (upstream.MemberStatus, error) {
	return p.Port.Promote(ctx, p.route(m), t, o)
}

// Follow implements upstream.Port.
func (p *routedPort) Follow(ctx context.Context, m upstream.Member, t position.Term, o instance.ID, primary upstream.Member) (upstream.MemberStatus, error) {
	return p.Port.Follow(ctx, p.route(m), t, o, primary)
}

// Dial implements upstream.Port.
func (p *routedPort) Dial(ctx context.Context, m upstream.Member, c upstream.Claim) (upstream.Conn, error) {
	return p.Port.Dial(ctx, p.route(m), c)
}
