package experiment

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/celerystep/celerystep/internal/check"
	"github.com/celerystep/celerystep/internal/config"
	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/load"
	"github.com/celerystep/celerystep/internal/position"
	"github.com/celerystep/celerystep/internal/upstream"
)

// ErrUnsupported is returned for an operation that a mode does not have, such as a planned switchover without
// celerystep. The run goes on and reports the operation as not applicable.
var ErrUnsupported = errors.New("not supported in this mode")

// Starter starts a fleet in this process and returns when callers can be served. Each run has a fleet of its own.
type Starter func(ctx context.Context, m Mode, t *Topology) (Fleet, error)

// Fleet is the system under test with its surroundings. Methods may be called concurrently. They return when the
// operation has been accepted, not when its effects are over; an error means that it was not carried out.
type Fleet interface {
	InstanceControl
	GroupControl
	PlatformControl
	OperatorControl
	// Close ends all parts of the fleet.
	Close(ctx context.Context) error
}

// InstanceControl observes and disturbs the entry instances. They are numbered from 0 to Topology.Instances-1; a
// number stays with its place when the instance there is replaced.
type InstanceControl interface {
	// Instances returns the instances to which the platform's balancer sends callers now. It is called for each new
	// connection and must not block. In ModeDirect it is not called.
	Instances() []load.Endpoint
	// KillInstance ends an instance at once, without any message to anybody.
	KillInstance(ctx context.Context, i int) error
	// PauseInstance keeps an instance from running for d.
	PauseInstance(ctx context.Context, i int, d time.Duration) error
	// StopInstance shuts an instance down gracefully and returns when it has ended.
	StopInstance(ctx context.Context, i int) error
	// ReplaceInstance stops the instance gracefully, if it still runs, and starts another one in its place. It returns
	// when the new one is ready.
	ReplaceInstance(ctx context.Context, i int) error
}

// GroupControl observes and disturbs the database groups.
type GroupControl interface {
	// Primary returns the member that says that it is primary, in the highest term if several do. It is called for
	// each new connection in ModeDirect and must not block for longer than a status call.
	Primary(g upstream.GroupID) (upstream.Member, error)
	// KillMember ends a member at once; RestartMember starts it again with its log.
	KillMember(ctx context.Context, g upstream.GroupID, m upstream.MemberID) error
	RestartMember(ctx context.Context, g upstream.GroupID, m upstream.MemberID) error
	// IsolateMember cuts a member off from everybody without ending it; HealMember undoes that.
	IsolateMember(ctx context.Context, g upstream.GroupID, m upstream.MemberID) error
	HealMember(ctx context.Context, g upstream.GroupID, m upstream.MemberID) error
	// SetLag delays a replica's applying by d.
	SetLag(ctx context.Context, g upstream.GroupID, m upstream.MemberID, d time.Duration) error
	// Query runs one statement on the present primary and returns its rows as text. It does not pass through
	// instances, counts against no limit and waits for replication to a majority. It creates the tables before the
	// run and reads the final rows after it.
	Query(ctx context.Context, g upstream.GroupID, sql string) ([][]string, error)
	// Statements returns what statement connections ran on all members of the group since the fleet started, with
	// what members ran before a restart. Replication is not part of it, and control statements need not be. Times come
	// from this process's clock. A log that dropped entries is an error, because the checkers would judge too little.
	Statements(g upstream.GroupID) ([]check.Statement, error)
	// Log returns the end of the present primary's log.
	Log(g upstream.GroupID) (LogEnd, error)
}

// LogEnd is the end of a primary's log.
type LogEnd struct {
	Primary upstream.MemberID
	History position.History
	End     position.LSN
}

// PlatformControl disturbs the key-value service.
type PlatformControl interface {
	// PlatformDown makes every call fail without effect while down is true.
	PlatformDown(ctx context.Context, down bool) error
	// PlatformSlow adds d to every call; 0 ends it.
	PlatformSlow(ctx context.Context, d time.Duration) error
	// PlatformLoseAnswers makes the next n writes take effect and fail.
	PlatformLoseAnswers(ctx context.Context, n int) error
}

// OperatorControl does what operators do, by the same way that they use. A call returns when the change was accepted.
type OperatorControl interface {
	DomainOut(ctx context.Context, d instance.FailureDomain) error
	DomainIn(ctx context.Context, d instance.FailureDomain) error
	// IssueKey gives the customer another key, which Credential returns from then on.
	IssueKey(ctx context.Context, customer string) error
	// WithdrawKey withdraws the named key.
	WithdrawKey(ctx context.Context, customer, key string) error
	SetPreset(ctx context.Context, p config.Preset) error
	// Switchover moves the primary of the group to another member as a planned operation.
	Switchover(ctx context.Context, g upstream.GroupID) error
	// Credential returns the customer's newest key, as user "customer.keyname" and password. In ModeDirect it returns
	// the groups' own credential. It must not block.
	Credential(customer string) (load.Credential, error)
}
