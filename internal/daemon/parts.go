package daemon

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/internal/entry"
	"github.com/celerystep/celerystep/internal/gossip"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/peer"
	"github.com/celerystep/celerystep/internal/session"
	"github.com/celerystep/celerystep/internal/upstream"
)

type groupID = upstream.GroupID

// liveInstances implements config.Membership.
type liveInstances struct{ locator *locator }

// Live implements config.Membership.
func (l liveInstances) Live() []instance.Info { return l.locator.Instances() }

// keyring returns the fleet's token keys, or nil when the settings name none. The first key signs.
func (d *Daemon) keyring() (*session.Keyring, error) {
	files, err := d.settings.LoadFiles()
	if err != nil {
		return nil, errors.Wrap(err, "load files of the settings")
	}
	if len(files.TokenKeys) == 0 {
		return nil, nil
	}
	keys := make([]session.Key, 0, len(files.TokenKeys))
	for _, k := range files.TokenKeys {
		keys = append(keys, session.Key{ID: keyID(k.ID), Secret: k.Key})
	}
	return session.NewKeyring(keys[0].ID, keys)
}

// keyID maps the name of a token key to the number that tokens carry.
func keyID(name string) session.KeyID { return session.KeyID(xxhash.Sum64String(name)) }

// Switchover moves the primary of a group whose home this instance is.
func (d *Daemon) Switchover(ctx context.Context, g upstream.GroupID, target upstream.MemberID, operator string) error {
	_, err := d.manager.Switchover(ctx, g, target, operator)
	return err
}

func (d *Daemon) startOperators(g *errgroup.Group) {
	server := &http.Server{Handler: d.operatorMux(), ReadHeaderTimeout: httpHeaderTimeout}
	g.Go(func() error { return serveHTTP(server, d.operators) })
}

func (d *Daemon) operatorMux() *http.ServeMux { return http.NewServeMux() }

func (d *Daemon) buildEntry() error {
	d.entry = entry.NewServer(entry.Options{
		Info:     d.info,
		Snapshot: d.keeper.Snapshot,
		Runner:   &entry.Dispatcher{Self: d.info.ID, Local: d.manager, Homes: d.locator, Link: d.links.Link},
	})
	d.peers = peer.NewHandler(peer.Services{
		Runner:   d.manager,
		Gossiper: &news{service: d.service, keeper: d.keeper, trail: d.trail},
		Admitter: &admission{server: newAdmissionServer(d.manager), coordinator: d.coordinator},
	}, peer.DefaultTiming())
	d.keeper.Subscribe(d.applyConfig)
	return nil
}

// admission serves other homes: admissions go to the home manager, handovers to the coordinator, which decides whether
// to take the group.
type admission struct {
	server      *admissionServer
	coordinator *gossip.Coordinator
}

// Admit implements peer.Admitter.
func (a *admission) Admit(ctx context.Context, m *peerv1.AdmitRequest) (*peerv1.AdmitResponse, error) {
	return a.server.Admit(ctx, m)
}

// Handover implements peer.Admitter.
func (a *admission) Handover(ctx context.Context, m *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error) {
	return unwrap(a.coordinator.Handover(ctx, connect.NewRequest(m)))
}
