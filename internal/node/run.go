package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/celerystep/celerystep/gen/celerystep/fleet/v1/fleetv1connect"
	"github.com/celerystep/celerystep/internal/caller"
	"github.com/celerystep/celerystep/internal/ctxtime"
	"github.com/celerystep/celerystep/internal/fleetlink"
	"github.com/celerystep/celerystep/internal/intake"
	"github.com/celerystep/celerystep/internal/mirror"
	"github.com/celerystep/celerystep/internal/ownership"
)

// Listeners holds the listening sockets of a node.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener
	Ready   net.Listener
	Metrics net.Listener
}

const (
	// handoverPercent is the percentage of the grace period for which an owner that shuts down keeps serving a group while
	// no other instance has claimed it. A claim takes several calls to a store that may be slow.
	handoverPercent = 40
	// exitMargin is the part of the grace period that is reserved for the exit of the process.
	exitMargin = time.Second
	// peerDrainTimeout bounds the wait for in-flight calls of peers during the shutdown.
	peerDrainTimeout = 900 * time.Millisecond
	// drainPollInterval is the interval between checks for open transactions during the shutdown.
	drainPollInterval = 20 * time.Millisecond
)

// Run serves until ctx ends, and then shuts down within the grace period.
func (n *Node) Run(ctx context.Context, l Listeners, callers *caller.Server, ready, metrics http.Handler) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, background := errgroup.WithContext(background)
	prefixes := n.opts.Decoder.Prefixes()
	mirrors := []*mirror.Mirror{
		{
			Source: n.shared, Prefix: prefixes.Operators, Sink: n, Clock: n.opts.Clock, Log: n.opts.Log, BatchDelay: configBatchDelay,
			RelistInterval: configRelistInterval, OnConnectionChange: n.onConnectionChange,
		},
		{
			Source: n.shared, Prefix: prefixes.Ownership, Sink: n, Clock: n.opts.Clock, Log: n.opts.Log, BatchDelay: claimBatchDelay,
			StartupBatchDelay: startupBatchDelay,
		},
	}
	group.Go(func() error {
		n.awaitReaders(background)
		for _, m := range mirrors {
			group.Go(func() error { return ignoreStopped(background, m.Run(background)) })
		}
		return nil
	})
	if n.opts.Settings.FirstStart {
		group.Go(func() error { n.loadPrimaryPlacement(background); return nil })
	}
	group.Go(func() error { return n.watchMembers(background) })
	group.Go(func() error { return n.runMemberExpiry(background) })
	group.Go(func() error { return n.watchSpeed(background) })
	group.Go(func() error { return n.runPlanner(background) })
	group.Go(func() error { return n.runLeaseRenewal(background) })
	group.Go(func() error { return n.runAnnouncements(background) })
	group.Go(func() error { return n.runSettling(background) })
	group.Go(func() error { return n.runKeyVerification(background) })
	if n.Usage != nil {
		group.Go(func() error { return n.Usage.Run(background) })
	}
	servers := []*http.Server{
		fleetlink.NewServer(peerService{n.Owner, n}, n.newReaderServer(), n.usageReceiver(), n.opts.Settings.Instance, n.opts.Settings.Process),
		newProbeServer(ready),
		newProbeServer(metrics),
	}
	l = n.limitClients(background, l, servers)
	for i, listener := range []net.Listener{l.Peers, l.Ready, l.Metrics} {
		group.Go(func() error { return ignoreStopped(background, servers[i].Serve(listener)) })
	}
	group.Go(func() error { return callers.Serve(background, l.Callers) })
	n.opts.Log.Info("started", "instance", n.opts.Settings.Instance, "process", n.opts.Settings.Process, "domain", n.opts.Settings.Domain)
	select {
	case <-ctx.Done():
		n.shutDown(callers)
	case <-background.Done():
	}
	n.drainPeerCalls(servers[0])
	stop()
	for _, s := range servers {
		_ = s.Close()
	}
	_ = l.Callers.Close()
	n.Owner.Close()
	err := group.Wait()
	n.opts.Log.Info("stopped", "error", err)
	return err
}

const (
	// probeReadTimeout, probeWriteTimeout and probeIdleTimeout bound requests to the readiness and the metrics endpoints.
	probeReadTimeout, probeWriteTimeout, probeIdleTimeout = 5 * time.Second, 10 * time.Second, 2 * time.Minute
	// probeHeaderBytes bounds the headers of such a request.
	probeHeaderBytes = 8 << 10
)

func newProbeServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: time.Second, ReadTimeout: probeReadTimeout, WriteTimeout: probeWriteTimeout,
		IdleTimeout: probeIdleTimeout, MaxHeaderBytes: probeHeaderBytes,
	}
}

// limitClients applies the limits on clients to the listeners and to the servers for peers, readiness and metrics.
func (n *Node) limitClients(ctx context.Context, l Listeners, servers []*http.Server) Listeners {
	b, limits := n.opts.ClientBudget, n.opts.ClientLimits
	if b == nil {
		return l
	}
	go b.Watch(ctx)
	servers[0].Handler = intake.NewCalls(servers[0].Handler, b, limits.PeerCalls, fleetv1connect.FleetServiceFollowProcedure)
	return Listeners{
		Callers: intake.NewGate(l.Callers, b, limits),
		Peers:   intake.LimitPeers(l.Peers, servers[0], b, limits.PeerConns),
		Ready:   intake.LimitProbes(l.Ready, servers[1], b, limits.ProbeConns),
		Metrics: intake.LimitProbes(l.Metrics, servers[2], b, limits.ProbeConns),
	}
}

// drainPeerCalls waits for in-flight calls of peers.
func (n *Node) drainPeerCalls(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), peerDrainTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		n.opts.Log.Warn("in-flight calls of peers were aborted", "error", err)
	}
}

// ignoreStopped returns nil for errors that are caused by the shutdown.
func ignoreStopped(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutDown hands over the owned groups, drains sessions and transactions, and revokes the lease.
func (n *Node) shutDown(callers *caller.Server) {
	n.draining.Store(true)
	// Ends the calls of instances that wait here for changes; they turn to another reader.
	n.operators.Wake()
	n.ownership.Wake()
	started := n.opts.Clock()
	n.opts.Log.Info("shutting down", "sessions", callers.Sessions(), "open_transactions", n.Owner.OpenTransactions())
	n.mu.Lock()
	n.planner.SetClaimsDisabled(true)
	owned := n.planner.Owned()
	n.mu.Unlock()
	// Transactions get half of the grace period, plus a twelfth for requests in flight.
	limit := n.opts.Settings.GracePeriod/2 + n.opts.Settings.GracePeriod/12
	ctx, cancel := context.WithTimeout(context.Background(), min(limit, n.opts.Settings.GracePeriod-exitMargin))
	defer cancel()
	var work errgroup.Group
	for _, c := range owned {
		work.Go(func() error {
			n.handOver(ctx, c)
			return nil
		})
	}
	hardDeadline, cancelHard := context.WithTimeout(context.Background(), n.opts.Settings.GracePeriod-exitMargin)
	defer cancelHard()
	work.Go(func() error {
		callers.Drain(ctx, hardDeadline)
		return nil
	})
	_ = work.Wait()
	for n.Owner.OpenTransactions() > 0 && ctxtime.Sleep(ctx, drainPollInterval) {
	}
	n.closeUsage()
	n.mu.Lock()
	lease := n.lease
	n.mu.Unlock()
	if lease != 0 {
		end, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		if err := n.opts.Store.EndLease(end, lease); err != nil {
			n.opts.Log.Info("could not revoke the lease; it will expire", "error", err)
		}
		cancel()
	}
	n.opts.Log.Info("shut down", "took", n.opts.Clock().Sub(started), "sessions", callers.Sessions(), "open_transactions", n.Owner.OpenTransactions())
}

// handOver removes a claim and serves the group until another instance has claimed it or its part of the grace period has passed.
func (n *Node) handOver(ctx context.Context, c ownership.Claim) {
	ctx, cancel := context.WithTimeout(ctx, n.opts.Settings.GracePeriod*handoverPercent/100)
	defer cancel()
	n.relinquish(ctx, c)
	for ctx.Err() == nil {
		now, _, changed := n.Current(c.Group)
		if now.Owner != "" && now.Owner != n.opts.Settings.Instance {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	n.Owner.Release(c.Group, "the instance is shutting down")
}

// ReadyHandler returns the handler of the readiness probe.
func (n *Node) ReadyHandler(path string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		ok, reason := n.Ready()
		if !ok {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	return mux
}
