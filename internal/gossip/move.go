package gossip

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/homes"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

const (
	// handoverTimeout is the timeout of a handover call, within which the receiver claims the group.
	handoverTimeout = acquireTimeout + time.Second
	// handoverAttempts is the maximum number of attempts of a handover whose answer was lost.
	handoverAttempts = 3
	// handoverRetryDelay is the delay between these attempts.
	handoverRetryDelay = 200 * time.Millisecond
	// handoverTargets is the number of candidates that an instance tries in turn if it must give up a group.
	handoverTargets = 3
	// maxInboundHandovers bounds the concurrent acquisitions above which this instance refuses handovers.
	maxInboundHandovers = 4
)

// Results of a move other than success.
var (
	errRefused  = errors.New("target refused the group")
	errReleased = errors.New("no target took the group; it was announced as released")
	errKept     = errors.New("target refused the group; this instance kept it")
)

// execute performs a claim or a move and reports the result to the planner.
func (c *Coordinator) execute(ctx context.Context, d homes.Decision) {
	var err error
	switch d.Action {
	case homes.ActionClaim:
		err = c.claim(ctx, d)
	case homes.ActionRelease:
		err = c.move(ctx, d)
	}
	c.report(d, err)
}

// report logs and counts an executed decision.
func (c *Coordinator) report(d homes.Decision, err error) {
	c.opts.Service.metrics.decisions.
		WithLabelValues(string(d.Action), string(d.Cause), resultLabel(err == nil)).Inc()
	fields := d.Fields()
	if err != nil {
		fields = append(fields, "error", err)
	}
	c.log.Info("home decision", fields...)
	if c.opts.OnDecision != nil {
		c.opts.OnDecision(d, err)
	}
}

// announceStaleReleased announces as released a group that a former process with this id held. It skips a group that
// this process acquires or holds by now, because a home may be announced before it is listed as owned.
func (c *Coordinator) announceStaleReleased(d homes.Decision) {
	if c.ownsOrAcquires(d.Group) {
		return
	}
	if home, ok := c.opts.Service.Home(d.Group); ok && home.Owner == c.self {
		home.Released = true
		c.opts.Service.AnnounceHome(home)
	}
	c.report(d, nil)
}

// ownsOrAcquires reports whether this process is the home of the group or is acquiring it.
func (c *Coordinator) ownsOrAcquires(g upstream.GroupID) bool {
	c.mu.Lock()
	acquiring := c.acquiring[g]
	c.mu.Unlock()
	return acquiring || slices.Contains(c.opts.Manager.Owned(), g)
}

func (c *Coordinator) claim(ctx context.Context, d homes.Decision) error {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	err := c.acquire(ctx, d.Group, homes.Handover{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner.ClaimDone(time.Now(), d.Group, err == nil)
	if err != nil {
		return errors.Wrapf(err, "claim group %s", d.Group)
	}
	return nil
}

// errAcquiring means that another acquisition of the group is in progress.
var errAcquiring = errors.New("the group is being acquired")

// acquire claims a group, with at most one acquisition of a group at a time.
func (c *Coordinator) acquire(ctx context.Context, g upstream.GroupID, h homes.Handover) error {
	c.mu.Lock()
	if c.acquiring[g] {
		c.mu.Unlock()
		return errAcquiring
	}
	c.acquiring[g] = true
	c.mu.Unlock()
	err := c.opts.Manager.Acquire(ctx, g, h)
	c.mu.Lock()
	delete(c.acquiring, g)
	c.mu.Unlock()
	return err
}

// move releases a group and hands it over. An instance that must give up the group tries further candidates after a
// refusal and finally announces the group as released. One that moves the group to a better owner reclaims it after a
// refusal. Neither reclaims a group whose handover was not answered, because the target may have claimed it.
func (c *Coordinator) move(ctx context.Context, d homes.Decision) error {
	released, cancel := context.WithTimeout(ctx, releaseTimeout)
	h, err := c.opts.Manager.Release(released, d.Group)
	cancel()
	if err != nil {
		c.announceReleased(d.Group, d.Generation)
		c.moveDone(d.Group, homes.MoveDone)
		return errors.Wrapf(err, "release group %s", d.Group)
	}
	target := d.To
	for range handoverTargets {
		err = c.handOver(ctx, target, h)
		if !errors.Is(err, errRefused) || d.Cause == homes.CauseBetterOwner {
			break
		}
		next, ok := c.nextTarget(d.Group, target)
		if !ok {
			break
		}
		target = next
	}
	switch {
	case err == nil:
		c.moveDone(d.Group, homes.MoveDone)
		return nil
	case errors.Is(err, errRefused) && d.Cause == homes.CauseBetterOwner && c.reclaim(ctx, h):
		c.moveDone(d.Group, homes.MoveRefused)
		return errors.Wrapf(errKept, "group %s, target %s", d.Group, target)
	default:
		c.announceReleased(d.Group, h.Generation)
		c.moveDone(d.Group, homes.MoveDone)
		return errors.Wrapf(errors.Join(errReleased, err), "group %s, target %s", d.Group, target)
	}
}

// nextTarget returns the candidate to try after a refusal.
func (c *Coordinator) nextTarget(g upstream.GroupID, refused instance.ID) (instance.ID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.planner.RecordRefusal(now, g, refused)
	return c.planner.Target(now, g)
}

func (c *Coordinator) moveDone(g upstream.GroupID, r homes.MoveResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner.MoveDone(time.Now(), g, r)
}

// reclaim claims a group again with its own bucket levels.
func (c *Coordinator) reclaim(ctx context.Context, h homes.Handover) bool {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	return c.acquire(ctx, h.Group, h) == nil
}

// announceReleased announces the group as released, so any instance may claim it.
func (c *Coordinator) announceReleased(g upstream.GroupID, generation uint64) {
	home, _ := c.opts.Service.Home(g)
	if home.Generation > generation {
		return
	}
	home.Group, home.Owner, home.Generation, home.Released = g, c.self, generation, true
	c.opts.Service.AnnounceHome(home)
}

// handOver offers a group to one target. It repeats the call if the answer was lost; a target that accepted accepts
// again.
func (c *Coordinator) handOver(ctx context.Context, target instance.ID, h homes.Handover) error {
	to, ok := c.opts.Service.Address(target)
	if !ok {
		return errors.Wrapf(errRefused, "address of %s is not known", target)
	}
	var err error
	for attempt := range handoverAttempts {
		if attempt > 0 && !ctxtime.Sleep(ctx, handoverRetryDelay) {
			return ctx.Err()
		}
		var accepted bool
		accepted, err = c.offer(ctx, to, h)
		if err == nil && accepted {
			return nil
		}
		if err == nil {
			return errRefused
		}
	}
	return err
}

func (c *Coordinator) offer(ctx context.Context, to instance.Info, h homes.Handover) (accepted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	answer, err := c.opts.Service.opts.Transport.Handover(ctx, to, handoverToProto(h))
	if err != nil {
		return false, err
	}
	return answer.GetAccepted(), nil
}

// Handover takes over a group from its old home. It implements peerv1connect.PeerServiceHandler. Only the answer "not
// accepted" is a refusal; after an error the group may have been claimed.
func (c *Coordinator) Handover(
	ctx context.Context, r *connect.Request[peerv1.HandoverRequest],
) (*connect.Response[peerv1.HandoverResponse], error) {
	h := handoverFromProto(r.Msg)
	if home, ok := c.opts.Service.Home(h.Group); ok && home.Generation > h.Generation {
		// A repeated call after a lost answer, or a delayed one after another instance claimed the group.
		return accepted(home.Owner == c.self && slices.Contains(c.opts.Manager.Owned(), h.Group)), nil
	}
	if !c.canAccept(h.Group) {
		return accepted(false), nil
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	if err := c.acquire(ctx, h.Group, h); err != nil {
		c.log.Warn("cannot take over group", "group", h.Group, "from", h.From, "generation", h.Generation, "error", err)
		if errors.Is(err, errAcquiring) {
			return nil, connect.NewError(connect.CodeAborted, err)
		}
		return accepted(false), nil
	}
	c.log.Info("took over group", "group", h.Group, "from", h.From, "generation", h.Generation)
	wake(c.wake)
	return accepted(true), nil
}

// canAccept reports whether this instance is an eligible candidate and below maxInboundHandovers.
func (c *Coordinator) canAccept(g upstream.GroupID) bool {
	if !c.opts.Service.mayClaim.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.observe(now)
	return len(c.acquiring) < maxInboundHandovers && c.planner.Eligible(now, g)
}

func accepted(ok bool) *connect.Response[peerv1.HandoverResponse] {
	return connect.NewResponse(&peerv1.HandoverResponse{Accepted: ok})
}

func handoverToProto(h homes.Handover) *peerv1.HandoverRequest {
	p := &peerv1.HandoverRequest{
		From:       string(h.From),
		Group:      string(h.Group),
		Generation: h.Generation,
		Floor:      &peerv1.Position{Term: uint64(h.Floor.Term), Lsn: uint64(h.Floor.LSN)},
	}
	for _, b := range h.Buckets {
		p.Buckets = append(p.Buckets, &peerv1.BucketLevel{Customer: b.Customer, MicroTokens: b.MicroTokens})
	}
	return p
}

func handoverFromProto(p *peerv1.HandoverRequest) homes.Handover {
	h := homes.Handover{
		From:       instance.ID(p.GetFrom()),
		Group:      upstream.GroupID(p.GetGroup()),
		Generation: p.GetGeneration(),
		Floor: position.Position{
			Term: position.Term(p.GetFloor().GetTerm()),
			LSN:  position.LSN(p.GetFloor().GetLsn()),
		},
	}
	for _, b := range p.GetBuckets() {
		h.Buckets = append(h.Buckets, homes.BucketLevel{Customer: b.GetCustomer(), MicroTokens: b.GetMicroTokens()})
	}
	return h
}
