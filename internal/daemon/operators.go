package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/home"
	"github.com/celerystep/celerystep/internal/operator"
	"github.com/celerystep/celerystep/internal/peer"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// startOperators serves celerystepctl, with mutual TLS when the settings name certificates for peers.
func (d *Daemon) startOperators(g *errgroup.Group) {
	mux := http.NewServeMux()
	mux.Handle(operator.NewHandler(operator.Options{
		Status:   statusSource{d},
		Trail:    d.trail,
		Keys:     d.keeper,
		Switcher: switcher{d.manager},
		Log:      d.log.Named("operator"),
	}))
	server := peer.NewServer(mux, d.peerCerts, d.log.Named("operator"))
	d.serve(g, server, d.operators)
}

// publishRetry is the time between two tries to publish the operators' address.
const publishRetry = time.Second

// publishAddress stores the operators' address, which the platform's instance list does not carry, until it succeeds.
func (d *Daemon) publishAddress(ctx context.Context) error {
	ticker := time.NewTicker(publishRetry)
	defer ticker.Stop()
	for {
		err := operator.Publish(ctx, d.options.Store, d.info.ID, d.OperatorAddress(), time.Now())
		if err == nil || ctx.Err() != nil {
			return nil
		}
		d.log.Debug("operators' address is not published yet", "error", err)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// switcher implements operator.Switcher.
type switcher struct{ manager *home.Manager }

// Switchover implements operator.Switcher.
func (s switcher) Switchover(ctx context.Context, g upstream.GroupID, target upstream.MemberID, who string) (upstream.MemberID, position.Term, error) {
	o, err := s.manager.Switchover(ctx, g, target, who)
	if errors.Is(err, home.ErrNotOwned) {
		return "", 0, operator.ErrNotHome
	}
	return o.Primary, o.Term, err
}

// Switchover moves the primary of a group whose home this instance is. It returns operator.ErrNotHome for others.
func (d *Daemon) Switchover(ctx context.Context, g upstream.GroupID, target upstream.MemberID, who string) error {
	_, _, err := switcher{d.manager}.Switchover(ctx, g, target, who)
	return err
}

// statusSource implements operator.StatusSource.
type statusSource struct{ daemon *Daemon }

// Status implements operator.StatusSource.
func (s statusSource) Status() operator.Status {
	d := s.daemon
	out := operator.Status{
		Instance:         d.info.ID,
		FailureDomain:    d.info.FailureDomain,
		Region:           d.settings.Region,
		Phase:            d.phase(),
		StartedUnixMS:    d.started.UnixMilli(),
		Config:           d.keeper.Ref(),
		StoreAnswerAgeMS: -1,
		Callers:          d.entry.Callers(),
		AuditWaiting:     d.trail.Waiting(),
		AuditDropped:     d.trail.Dropped(),
	}
	if snapshot := d.keeper.Snapshot(); snapshot != nil {
		out.Preset = snapshot.Cluster().Preset
	}
	if at := d.keeper.LastStoreAnswer(); !at.IsZero() {
		out.StoreAnswerAgeMS = time.Since(at).Milliseconds()
	}
	view := d.service.View()
	for m := range view.Members() {
		out.Members = append(out.Members, operator.Member{
			ID: m.ID, FailureDomain: m.Info.FailureDomain, State: view.State(m.ID).String(),
		})
	}
	for r := range view.Revocations() {
		out.Revocations = append(out.Revocations, config.Revocation{
			KeyRef: config.KeyRef{Customer: r.Customer, Key: r.Key}, Operator: r.Operator, UnixMS: r.UnixMilli,
		})
	}
	for _, o := range d.manager.Owned() {
		out.Homes = append(out.Homes, operator.Home{
			Group: o.Group, Generation: o.Generation, Primary: o.Primary, Term: o.Term, Lost: o.Lost, Draining: o.Draining,
		})
	}
	return out
}

func (d *Daemon) phase() operator.Phase {
	switch {
	case d.draining.Load():
		return operator.PhaseDraining
	case !d.Ready():
		return operator.PhaseStarting
	case d.service.Isolated():
		return operator.PhaseIsolated
	default:
		return operator.PhaseServing
	}
}
