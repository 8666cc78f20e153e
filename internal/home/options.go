// Package home runs the database groups whose home this instance is. For each group it claims the members, watches
// them, admits and queues requests fairly, routes them to members, runs them on pooled connections, acknowledges
// commits after quorum receipt and carries out failovers. All decisions come from the pure packages admission, failover,
// pool, quorum, retry and router; this package supplies time, I/O and goroutines.
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

// Time limits of a home.
const (
	// defaultTimeout is the deadline of a request that brings none.
	defaultTimeout = 5 * time.Second
	// tokenLimit bounds a transaction's wait for a token, so that a customer over its rate does not hold a connection.
	tokenLimit = time.Second
	// cancelGrace is the time that a cancelled statement has to end by itself. The port has no cancel, so afterwards
	// the connection is closed.
	cancelGrace = 100 * time.Millisecond
	// resetTimeout bounds a reset and a keep-alive probe.
	resetTimeout = time.Second
	// dialTimeout bounds the opening of a connection, which takes 10 to 30 ms.
	dialTimeout = 2 * time.Second
	// statusTimeout bounds one status request of a round.
	statusTimeout = 300 * time.Millisecond
	// admitValidity is the time after the sending of an admission call in which its answer counts (V in the design).
	admitValidity = 200 * time.Millisecond
	// configSpread is the time by which an accepted configuration is in force everywhere.
	configSpread = 4 * time.Second
	// drainLimit bounds the wait for open transactions when a home is released.
	drainLimit = 30 * time.Second
	// idleTransactionLimit bounds the time that a transaction may hold a connection between two statements.
	// Connections are scarce, so a caller that stopped in the middle of a transaction must not keep one for good.
	idleTransactionLimit = 30 * time.Second
	// staleStatus is the age of a member's last status after which it gets no new work: three missed heartbeats.
	staleStatus = 350 * time.Millisecond
	// loopInterval is the longest time between two passes of a group's loop.
	loopInterval = 100 * time.Millisecond
)

// AdmitItem asks for or grants tokens of one customer.
type AdmitItem struct {
	Customer string
	Tokens   int
}

// AdmitResult is the answer of the home of the customers' main group.
type AdmitResult struct {
	// Authoritative is false when the receiver is not the confirmed home; nothing was granted then.
	Authoritative bool
	Granted       []AdmitItem
	// RetryAfter tells for each item when the next token is expected.
	RetryAfter []time.Duration
}

// RemoteAdmitter asks the home of a customer's main group for tokens. A home has at most one call open for each
// customer, so an implementation may put the calls of several customers to one home into one message.
type RemoteAdmitter interface {
	// Admit returns the number of tokens granted and the time after which asking again makes sense.
	Admit(ctx context.Context, main upstream.GroupID, customer string, tokens int) (granted int, retryAfter time.Duration, err error)
}

// BucketLevel is the level of a customer's token bucket in millionths of a token.
type BucketLevel struct {
	Customer    string
	MicroTokens int64
}

// Handover is what a home gives to its successor on a planned move.
type Handover struct {
	From       instance.ID
	Group      upstream.GroupID
	Generation uint64
	Buckets    []BucketLevel
	// Floor is the highest position acknowledged by the old home.
	Floor position.Position
}

// Loss says why the home role of a group ended without Release.
type Loss struct {
	Group      upstream.GroupID
	Generation uint64
	Cause      failover.Cause
}

// Ownership describes a group whose home this instance is.
type Ownership struct {
	Group      upstream.GroupID
	Generation uint64
	Primary    upstream.MemberID
	Term       position.Term
	// Lost is true when the claim is no longer confirmed.
	Lost bool
	// Draining is true while the home is being released.
	Draining bool
}

// Options configures a Manager. Info, Port and Snapshot are required.
type Options struct {
	Info instance.Info
	// Owner is the name under which members accept claims. It must differ between two processes with one instance id,
	// because a member accepts a generation again from the same owner. Empty means the instance id.
	Owner instance.ID
	// Port returns the port to a group.
	Port func(upstream.Group) upstream.Port
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	// Revoked reports an emergency revocation that is not in the configuration yet; nil means none.
	Revoked func(customer, key string) bool
	// Locate returns the home of a group if it is known; nil means never.
	Locate func(upstream.GroupID) (instance.ID, bool)
	// Admitter asks other homes for tokens; nil means that customers are admitted at their main group only.
	Admitter RemoteAdmitter
	// OnLost is called once, without locks held, when a home role ends without Release.
	OnLost func(Loss)
	// OnChange is called, without locks held, when the primary or term of a group is announced.
	OnChange   func(Ownership)
	Audit      AuditSink
	Logger     hclog.Logger
	Registerer prometheus.Registerer
	// Now is the clock, which must be monotonic; nil means time.Now.
	Now func() time.Time
	// Seed makes the random choices repeatable; 0 takes a random seed.
	Seed uint64
	// Timing holds the limits of failover; zero fields take their defaults.
	Timing failover.Timing
	// DrainTimeout bounds the wait for open transactions on Release; 0 means 30 s.
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
		o.DrainTimeout = drainLimit
	}
	if o.IdleTransactionTimeout == 0 {
		o.IdleTransactionTimeout = idleTransactionLimit
	}
}

var _ request.Runner = (*Manager)(nil)
