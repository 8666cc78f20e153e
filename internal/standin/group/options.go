// Package group is a stand-in for a replicated database group: members that speak the PostgreSQL protocol, run SQL on
// SQLite in memory, replicate in-process, and take part in changes of primary as design sections 4 to 6 and 12 say.
package group

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/celerystep/celerystep/internal/instance"
	"github.com/celerystep/celerystep/internal/upstream"
)

// Defaults of Options.
const (
	DefaultSlots                    = 3
	DefaultConnections              = 20
	DefaultIdleInTransactionTimeout = 10 * time.Second
	DefaultStatementLogLimit        = 200_000
)

const (
	// heartbeatInterval is the pause between exchanges on an idle replication stream, and at most between status
	// reports, which design section 6 fixes at 100 ms; replication runs at twice that rate so that a status report
	// never shows a silence that is only a matter of phase.
	heartbeatInterval = 50 * time.Millisecond
	statusInterval    = 100 * time.Millisecond
	// statusCoalescing is the shortest pause between status reports on one connection (design section 12).
	statusCoalescing = time.Millisecond
	// brokenStreamSilence is what a replica reports at once after its replication connection was refused or reset;
	// it is the silence from which design section 6 counts a primary as not heard.
	brokenStreamSilence = 400 * time.Millisecond
	// reservedStatusConnections is the number of status connections a member accepts beyond the group's limit, so
	// that a new home can claim a group whose connections a silent old home still holds.
	reservedStatusConnections = 8
	// readersPerMember bounds the reads that one member runs truly side by side.
	readersPerMember = 4
	// maxCachedStatements bounds the parsed and described statements kept per member.
	maxCachedStatements = 4096
)

// MemberOptions configure one member.
type MemberOptions struct {
	ID upstream.MemberID
	// Address is the host:port to listen on; empty means a free port of 127.0.0.1.
	Address       string
	FailureDomain instance.FailureDomain
}

// Options configure a Group. The first member starts as primary of term 1.
type Options struct {
	ID      upstream.GroupID
	Members []MemberOptions
	// Slots is the number of statements that one member runs at once; 0 means DefaultSlots.
	Slots int
	// Connections bounds the open connections to all members together; 0 means DefaultConnections.
	Connections int
	// ConnectDelay is the time that a member takes to set up a connection.
	ConnectDelay time.Duration
	// ServiceTime is the time that each statement holds a slot besides its execution.
	ServiceTime time.Duration
	// ReceiveLag and ApplyLag delay replication; see Group.SetLag.
	ReceiveLag, ApplyLag time.Duration
	// Schema holds statements that run as one transaction before the group serves.
	Schema []string
	// IdleInTransactionTimeout ends a connection that leaves a transaction idle, so that a client that went silent
	// does not block writes for good; 0 means DefaultIdleInTransactionTimeout, negative means no limit.
	IdleInTransactionTimeout time.Duration
	// IdleSessionTimeout ends a statement connection that is idle outside a transaction; 0 means no limit.
	IdleSessionTimeout time.Duration
	// StatementLogLimit bounds the logged statements of a member; 0 means DefaultStatementLogLimit, negative turns
	// the log off.
	StatementLogLimit int
	// Capture keeps all bytes that clients send; see Group.Captured.
	Capture bool
	// FaultFunctions allows the SQL function group_fault.
	FaultFunctions bool
	// Logger receives one line per event; nil means none.
	Logger hclog.Logger
}

func (o *Options) setDefaults() {
	if o.Slots == 0 {
		o.Slots = DefaultSlots
	}
	if o.Connections == 0 {
		o.Connections = DefaultConnections
	}
	if o.IdleInTransactionTimeout == 0 {
		o.IdleInTransactionTimeout = DefaultIdleInTransactionTimeout
	}
	if o.StatementLogLimit == 0 {
		o.StatementLogLimit = DefaultStatementLogLimit
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
}
