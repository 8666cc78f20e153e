package daemon

import (
	"context"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	peerv1 "github.com/celerystep/celerystep/gen/celerystep/peer/v1"
	"github.com/celerystep/celerystep/internal/classify"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/entry"
	"github.com/celerystep/celerystep/internal/gossip"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/link"
	"github.com/celerystep/celerystep/internal/peer"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/session"
	"github.com/celerystep/celerystep/internal/upstream"
)

// liveInstances implements config.Membership.
type liveInstances struct{ locator *locator }

// Live implements config.Membership.
func (l liveInstances) Live() []instance.Info { return l.locator.Instances() }

// tokens signs and checks session tokens with the fleet's keys. It implements entry.TokenCodec.
type tokens struct{ keys *session.Keyring }

// newTokens returns nil when the settings name no key; no tokens are given out then. The first key signs.
func (d *Daemon) newTokens() (entry.TokenCodec, error) {
	files, err := d.settings.LoadFiles()
	if err != nil {
		return nil, errors.Wrap(err, "load files of the settings")
	}
	if len(files.TokenKeys) == 0 {
		return nil, nil
	}
	keys, err := session.NewKeyring(files.TokenKeys[0].ID, files.TokenKeys)
	if err != nil {
		return nil, errors.Wrap(err, "token keys")
	}
	return tokens{keys}, nil
}

// Encode implements entry.TokenCodec.
func (t tokens) Encode(customer string, g upstream.GroupID, p position.Position) string {
	text, err := t.keys.Encode(session.Token{Group: g, Customer: customer, Position: p})
	if err != nil {
		// Names are bounded by the check of the configuration; without a token the session needs a read index.
		return ""
	}
	return text
}

// Decode implements entry.TokenCodec.
func (t tokens) Decode(customer string, g upstream.GroupID, text string) (position.Position, error) {
	token, err := t.keys.Decode(text, customer, g)
	return token.Position, err
}

func (d *Daemon) buildEntry() error {
	codec, err := d.newTokens()
	if err != nil {
		return err
	}
	metrics := entry.NewMetrics(d.registry)
	dispatcher := entry.NewDispatcher(d.info.ID, d.manager, d.links, d.locator, link.Direct, metrics)
	d.entry = entry.NewServer(d.entrySettings(), entry.Dependencies{
		Runner:       &auditedRunner{next: &isolationGuard{service: d.service, next: dispatcher}, trail: d.trail},
		Classifier:   classify.New(),
		Certificates: d.callerCerts,
		Tokens:       codec,
		Forwarder:    &entry.Forwarder{Self: d.info.ID, Instances: d.locator.Instances, Sender: d.calls},
		Log:          d.log.Named("entry"),
		Metrics:      metrics,
	})
	d.peers = peer.NewHandler(peer.Services{
		Runner:    d.manager,
		Gossiper:  &news{service: d.service, keeper: d.keeper, trail: d.trail},
		Admitter:  &admission{server: newAdmissionServer(d.manager), coordinator: d.coordinator},
		Canceller: d.entry,
	}, peer.DefaultTiming())
	d.keeper.Subscribe(d.applyConfig)
	return nil
}

func (d *Daemon) entrySettings() entry.Settings {
	return entry.Settings{
		Instance:        d.info.ID,
		MaxMessageBytes: int(d.settings.Limits.MaxMessageBytes),
		MaxCallers:      d.settings.Limits.MaxCallers,
		RequireTLS:      d.settings.TLS.Callers.Required,
		StartupTimeout:  d.settings.Timeouts.Login.Duration(),
		RequestTimeout:  d.settings.Timeouts.Request.Duration(),
	}
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

// applyConfig brings a configuration into force in the parts that keep a copy.
func (d *Daemon) applyConfig(s *config.Snapshot) {
	d.manager.ConfigChanged()
	d.entry.Apply(s)
	out := s.DomainOut(d.info.FailureDomain)
	d.domainOut.Store(out)
	d.entry.Evict(out)
}
