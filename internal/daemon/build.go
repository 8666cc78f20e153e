package daemon

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"github.com/celerystep/celerystep/internal/audit"
	"github.com/celerystep/celerystep/internal/certs"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/failover"
	"github.com/celerystep/celerystep/internal/gossip"
	"github.com/celerystep/celerystep/internal/home"
	"github.com/celerystep/celerystep/internal/homes"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/link"
	"github.com/celerystep/celerystep/internal/membership"
	"github.com/celerystep/celerystep/internal/peer"
	"github.com/celerystep/celerystep/internal/platform"
	"github.com/celerystep/celerystep/internal/upstream"
)

// storeCheckKey is read to learn whether the key-value service answers.
const storeCheckKey = "config/root"

// httpHeaderTimeout bounds the request headers of scrapers and operators.
const httpHeaderTimeout = 5 * time.Second

func (d *Daemon) loadCertificates() error {
	t := d.settings.TLS
	var err error
	if t.Callers.CertificateFile != "" {
		files := certs.Files{Certificate: t.Callers.CertificateFile, Key: t.Callers.KeyFile}
		if d.callerCerts, err = certs.Load(files); err != nil {
			return errors.Wrap(err, "load certificate for callers")
		}
	}
	if t.Peers.CertificateFile != "" {
		files := certs.Files{Certificate: t.Peers.CertificateFile, Key: t.Peers.KeyFile, Roots: t.Peers.AuthorityFile}
		if d.peerCerts, err = certs.Load(files); err != nil {
			return errors.Wrap(err, "load certificate for peers")
		}
	}
	return nil
}

// listen opens all addresses. A port 0 is replaced by the port that was given out.
func (d *Daemon) listen() error {
	at := d.settings.Listen
	for _, l := range []struct {
		name    string
		address string
		to      *net.Listener
	}{
		{"callers", at.Callers, &d.callers},
		{"peers", at.Peers, &d.peersAt},
		{"http", at.HTTP, &d.httpAt},
		{"operators", at.Operators, &d.operators},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "listen for %s", l.name)
		}
		*l.to = listener
	}
	d.info = d.settings.Info()
	if d.settings.Advertise.Callers == "" {
		d.info.CallerAddress = d.callers.Addr().String()
	}
	if d.settings.Advertise.Peers == "" {
		d.info.PeerAddress = d.peersAt.Addr().String()
	}
	return nil
}

func (d *Daemon) buildMembership() error {
	d.calls = peer.NewClient(d.peerCerts)
	service, err := gossip.New(gossip.Options{
		Self:       d.info,
		Transport:  gossipTransport{calls: d.calls, route: d.options.Route},
		Directory:  d.options.Directory,
		Log:        d.log,
		Registerer: d.registry,
		StoreCheck: d.checkStore,
		Seed:       d.options.Seed,
	})
	if err != nil {
		return err
	}
	d.service = service
	d.locator = &locator{service: service, route: d.options.Route}
	d.trail = audit.NewTrail(audit.Options{
		Self:  d.info,
		Peers: &auditPeers{locator: d.locator, calls: d.calls},
		Store: d.options.Store,
		Log:   d.log.Named("audit"),
		Start: time.Now(),
	})
	d.keeper = config.NewKeeper(config.KeeperOptions{
		Self:       d.info.ID,
		Store:      d.options.Store,
		Gossip:     &configNews{self: d.info.ID, service: service, locator: d.locator, calls: d.calls},
		Membership: liveInstances{d.locator},
		Audit:      d.trail,
		Log:        d.log.Named("config"),
		Seed:       d.options.Seed,
	})
	service.Subscribe(d.membershipListener())
	d.registerMetrics()
	return nil
}

// checkStore asks the key-value service for any answer.
func (d *Daemon) checkStore(ctx context.Context) error {
	_, err := d.options.Store.Get(ctx, storeCheckKey)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}

func (d *Daemon) membershipListener() gossip.Listener {
	return gossip.Listener{
		Config: func(v membership.ConfigVersion) { heard(d.keeper, v) },
		Member: func(c membership.MemberChange) {
			if r, ok := describeMember(c); ok {
				d.trail.Record(r)
				d.trail.Adopt(c.ID)
			}
		},
		Revocation: func(r membership.Revocation) {
			d.keeper.HeardRevocations([]config.Revocation{{
				KeyRef:   config.KeyRef{Customer: r.Customer, Key: r.Key},
				Operator: r.Operator,
				UnixMS:   r.UnixMilli,
			}})
		},
		Isolated: d.recordIsolation,
		Replaced: func() {
			d.log.Error("another process runs with the same instance id; this one ends")
			d.Kill()
		},
	}
}

func (d *Daemon) recordIsolation(on bool) {
	kind, cause := audit.KindIsolationEnded, "the store or most peers answer again"
	if on {
		kind, cause = audit.KindIsolated, "neither the store nor most peers answer"
	}
	reached, known := d.reach()
	d.trail.Record(audit.Record{Kind: kind, Cause: cause, Inputs: []audit.Input{
		{Key: "reached_peers", Value: strconv.Itoa(reached)},
		{Key: "known_peers", Value: strconv.Itoa(known)},
	}})
}

// reach counts the other instances that are live and those that are known.
func (d *Daemon) reach() (live, known int) {
	view := d.service.View()
	for m := range view.Members() {
		if m.ID == d.info.ID {
			continue
		}
		known++
		if view.State(m.ID) == instance.StateLive {
			live++
		}
	}
	return live, known
}

func (d *Daemon) buildHomes() {
	runner := &homeRunner{self: d.info.ID, service: d.service}
	d.manager = home.NewManager(home.Options{
		Info:     d.info,
		Owner:    claimOwner(d.info.ID, d.started),
		Port:     d.options.Port,
		Snapshot: d.keeper.Snapshot,
		Locate:   d.locator.Home,
		Admitter: d.newAdmitter(),
		OnLost: func(l home.Loss) {
			if l.Cause == failover.CauseHomePartitioned {
				d.coordinator.Yield(l.Group)
			}
		},
		OnChange:     runner.announce,
		Audit:        homeAudit{trail: d.trail},
		Logger:       d.log.Named("home"),
		Registerer:   d.registry,
		Seed:         d.options.Seed,
		DrainTimeout: d.settings.Timeouts.Drain.Duration(),
	})
	runner.manager = d.manager
	d.coordinator = gossip.NewCoordinator(gossip.CoordinatorOptions{
		Service:    d.service,
		Manager:    runner,
		Config:     d.keeper.Snapshot,
		Log:        d.log,
		Seed:       d.options.Seed,
		OnDecision: d.recordDecision,
	})
	d.links = link.NewPool(link.Options{
		Store:   d.peerCerts,
		Log:     d.log.Named("link"),
		Metrics: link.NewMetrics(d.registry),
		Idle:    d.settings.Timeouts.PeerIdle.Duration(),
	})
}

// claimOwner names this process towards group members: the start time tells it from another process with the same
// instance id, such as one that was replaced and still runs.
func claimOwner(id instance.ID, started time.Time) instance.ID {
	return id + ownerSeparator + instance.ID(strconv.FormatInt(started.UnixMicro(), 36))
}

// ownerSeparator stands between the instance id and the start time of a claim's owner.
const ownerSeparator = "#"

// newAdmitter returns the client for admissions at other homes; it finds the manager when it is called.
func (d *Daemon) newAdmitter() *admissionClient {
	return newAdmissionClient(d.info.ID, d.locator, lateManager{d}, d.calls)
}

// lateManager is the home manager, which is built after the client that calls it.
type lateManager struct{ daemon *Daemon }

// Admit implements homeManager.
func (m lateManager) Admit(ctx context.Context, g upstream.GroupID, items []home.AdmitItem) home.AdmitResult {
	return m.daemon.manager.Admit(ctx, g, items)
}

// claimCauses says in words why an instance claims a group.
var claimCauses = map[homes.Cause]string{
	homes.CauseNoOwner:    "no instance was known as its home",
	homes.CauseOwnerDead:  "its home is dead",
	homes.CauseReleased:   "its home gave it up",
	homes.CauseOwnRestart: "this instance was its home before a restart",
}

// recordDecision records what became of a decision about a home.
func (d *Daemon) recordDecision(decision homes.Decision, err error) {
	r := audit.Record{Group: decision.Group, Generation: decision.Generation}
	switch decision.Action {
	case homes.ActionRelease:
		r.Kind, r.Cause = audit.KindHomeHandedOver, string(decision.Cause)
		r.Inputs = []audit.Input{{Key: "to", Value: string(decision.To)}}
	case homes.ActionClaim:
		if err != nil {
			return // logged by the coordinator; another instance may have been first
		}
		r.Kind, r.Cause = audit.KindHomeClaimed, claimCauses[decision.Cause]
		r.Generation = d.generation(decision.Group)
		r.Inputs = []audit.Input{{Key: "previous_owner", Value: string(decision.Owner)}}
	default:
		return
	}
	if err != nil {
		r.Inputs = append(r.Inputs, audit.Input{Key: "error", Value: err.Error()})
	}
	d.trail.Record(r)
}

// generation returns the generation in which this instance holds the group, or 0.
func (d *Daemon) generation(g upstream.GroupID) uint64 {
	for _, o := range d.manager.Owned() {
		if o.Group == g {
			return o.Generation
		}
	}
	return 0
}

func (d *Daemon) startServers(g *errgroup.Group) {
	d.startPeers(g)
	metrics := &http.Server{Handler: d.httpMux(), ReadHeaderTimeout: httpHeaderTimeout}
	g.Go(func() error { return ignoreClosed(metrics.Serve(d.httpAt)) })
	d.startOperators(g)
}

func (d *Daemon) startPeers(g *errgroup.Group) {
	mux := http.NewServeMux()
	d.peers.Mount(mux)
	d.serve(g, peer.NewServer(mux, d.peerCerts, d.log.Named("peer")), d.peersAt)
}

// serve serves until the listener closes, with mutual TLS when the settings name certificates for peers.
func (d *Daemon) serve(g *errgroup.Group, s *http.Server, l net.Listener) {
	d.serversMu.Lock()
	d.servers = append(d.servers, s)
	d.serversMu.Unlock()
	g.Go(func() error {
		if d.peerCerts == nil {
			return ignoreClosed(s.Serve(l))
		}
		return ignoreClosed(s.ServeTLS(l, "", ""))
	})
}

// httpMux serves metrics, liveness and readiness.
func (d *Daemon) httpMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}
