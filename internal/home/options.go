// Package home executes requests for the database groups that this instance owns. The home of a group is the one
// instance whose claim a majority of the group's members has accepted; all statements for the group pass through it.
//
// For each group, the home claims the members, watches their status, admits and queues requests fairly, routes them to
// members, runs them on pooled connections, acknowledges a commit once a majority of members has received it, and
// carries out failovers. The packages admission, failover, pool, quorum, retry and router make the decisions without
// I/O; this package supplies the clock, the I/O and the goroutines. Package homes decides which instance should be the
// home of a group; this package is that role at runtime. Package owner has the same task where ownership is a claim in
// the platform's key-value store instead of a claim accepted by the members.
package home

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/failover"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/request"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Timeouts and intervals.
const (
	// defaultTimeout applies to a request that sets no timeout.
	defaultTimeout = 5 * time.Second
	// tokenWaitTimeout bounds how long a statement of an open transaction waits for a token, because the transaction
	// occupies a connection in the meantime.
	tokenWaitTimeout = time.Second
	// cancelGracePeriod is how long a canceled statement may take to finish before its connection is closed. The port
	// has no cancel request.
	cancelGracePeriod = 100 * time.Millisecond
	// resetTimeout bounds each exchange of a connection reset and a keep-alive probe.
	resetTimeout = time.Second
	// dialTimeout bounds the opening of a connection, which usually takes 10 to 30 ms.
	dialTimeout = 2 * time.Second
	// statusTimeout bounds one member's status request in a status round.
	statusTimeout = 300 * time.Millisecond
	// admitValidity is how long after a token request was sent its response may be used (V in the design).
	admitValidity = 200 * time.Millisecond
	// configPropagationTime is the time within which an accepted configuration is in force on all instances.
	configPropagationTime = 4 * time.Second
	// drainTimeout bounds the wait for open transactions during a planned release.
	drainTimeout = 30 * time.Second
	// idleTransactionTimeout bounds the time between two statements of a transaction. Connections are scarce, and a
	// caller that stops in the middle of a transaction must not occupy one indefinitely.
	idleTransactionTimeout = 30 * time.Second
	// statusStaleAfter is the age of its last status at which a member gets no new work: three missed heartbeats.
	statusStaleAfter = 350 * time.Millisecond
	// loopInterval is the maximum time between two passes of a group's loop.
	loopInterval = 100 * time.Millisecond
)

// AdmitItem is a number of tokens requested or granted for one customer.
type AdmitItem struct {
	Customer string
	Tokens   int
}

// AdmitResult is the response of the home of the customers' main group to a token request.
type AdmitResult struct {
	// Authoritative is false when the receiver is not the confirmed home. No tokens are granted in that case.
	Authoritative bool
	Granted       []AdmitItem
	// RetryAfter is, for each item, the time until the next token is expected.
	RetryAfter []time.Duration
}

// RemoteAdmitter requests tokens from the home of a customer's main group. A home has at most one call in flight per
// customer, so an implementation may batch the calls of several customers to the same home into one message.
type RemoteAdmitter interface {
	// Admit returns the number of tokens granted and how long to wait before the next request.
	Admit(ctx context.Context, main upstream.GroupID, customer string, tokens int) (granted int, retryAfter time.Duration, err error)
}

// BucketLevel is the level of a customer's token bucket, in millionths of a token.
type BucketLevel struct {
	Customer    string
	MicroTokens int64
}

// Handover is the state that a home passes to its successor in a planned move.
type Handover struct {
	From       instance.ID
	Group      upstream.GroupID
	Generation uint64
	Buckets    []BucketLevel
	// Floor is the highest log position that the old home acknowledged.
	Floor position.Position
}

// Loss reports that the home role of a group ended without Release, and why.
type Loss struct {
	Group      upstream.GroupID
	Generation uint64
	Cause      failover.Cause
}

// Ownership describes a group that this instance is the home of.
type Ownership struct {
	Group      upstream.GroupID
	Generation uint64
	Primary    upstream.MemberID
	Term       position.Term
	// Lost is true when a majority of members no longer confirms the claim.
	Lost bool
	// Draining is true during a planned release.
	Draining bool
}

// Options configures a Manager. Info, Port and Snapshot are required.
type Options struct {
	Info instance.Info
	// Owner is the name under which claims are made; empty means the instance id. It must differ between two processes
	// with the same instance id, because a member accepts a generation repeatedly from the same owner.
	Owner instance.ID
	// Port returns the interface to a group's members.
	Port func(upstream.Group) upstream.Port
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	// Revoked reports whether a key was revoked ahead of the configuration; nil means none was.
	Revoked func(customer, key string) bool
	// Locate returns the home of a group if it is known; nil means that homes are never known.
	Locate func(upstream.GroupID) (instance.ID, bool)
	// Admitter requests tokens from other homes; nil means that customers are admitted only at their main group.
	Admitter RemoteAdmitter
	// OnLost is called once, without locks held, for each home role that ends without Release.
	OnLost func(Loss)
	// OnChange is called, without locks held, when the primary or term of a group changes.
	OnChange   func(Ownership)
	Audit      AuditSink
	Logger     hclog.Logger
	Registerer prometheus.Registerer
	// Now returns the time, which must be monotonic; nil means time.Now.
	Now func() time.Time
	// Seed makes random choices reproducible; 0 means a random seed.
	Seed uint64
	// Timing holds the failover timeouts; zero fields take their defaults.
	Timing failover.Timing
	// DrainTimeout bounds the wait for open transactions in Release; 0 means 30 s.
	DrainTimeout time.Duration
	// IdleTransactionTimeout bounds the time between two statements of a transaction; 0 means 30 s.
	IdleTransactionTimeout time.Duration
}

func (o *Options) setDefaults() {
	if o.Owner == "" {
		o.Owner = o.Info.ID
	}
	if o.Audit == nil {
		o.Audit = discardAudit{}
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.Locate == nil {
		o.Locate = func(upstream.GroupID) (instance.ID, bool) { return "", false }
	}
	if o.Revoked == nil {
		o.Revoked = func(string, string) bool { return false }
	}
	if o.DrainTimeout == 0 {
		o.DrainTimeout = drainTimeout
	}
	if o.IdleTransactionTimeout == 0 {
		o.IdleTransactionTimeout = idleTransactionTimeout
	}
}

var _ request.Runner = (*Manager)(nil)
