// Package membership implements the membership protocol of a fleet: it detects failed instances and disseminates
// member, home, configuration and revocation records.
//
// It is a pure state machine: the time is passed as an argument, random numbers come from a seeded source, and calls to
// other instances are returned as values of type Call. Package gossip runs the state machine and performs the calls.
//
// Failure detection follows SWIM (Das, Gupta, Motivala, 2002) with a constant number of probe partners per instance.
// Records form a join-semilattice, so the order and the number of deliveries do not matter.
package membership

import "time"

// Parameters of the failure detector. The probers of a failed instance detect it within ProbeInterval + 2*ProbeTimeout
// + SuspectTimeout + 2*TickInterval = 1.4 s.
const (
	// TickInterval is the interval between calls of Machine.Tick.
	TickInterval = 50 * time.Millisecond
	// ProbePartners is the number of instances that each instance probes, independent of the size of the fleet.
	ProbePartners = 3
	// ProbeInterval is the interval between probes of the same partner.
	ProbeInterval = 300 * time.Millisecond
	// ProbeTimeout is the timeout of a direct probe and, separately, of the indirect probes that follow a failed one.
	ProbeTimeout = 200 * time.Millisecond
	// RelayTimeout is the timeout of a probe on behalf of another instance. It is shorter than ProbeTimeout, so the
	// answer arrives before the indirect probe times out.
	RelayTimeout = 150 * time.Millisecond
	// IndirectProbes is the number of instances asked to repeat a failed probe.
	IndirectProbes = 2
	// SuspectTimeout is how long an instance has to refute a suspicion by the instance that observed it.
	SuspectTimeout = 600 * time.Millisecond
	// RemoteSuspectTimeout is how long an instance has to refute a suspicion before instances declare it dead that only
	// received the suspicion. It is longer than SuspectTimeout because a refutation needs time to spread.
	RemoteSuspectTimeout = 3 * time.Second
	// PauseThreshold is the gap between two ticks above which the process is considered to have been paused. Timeouts
	// that expired during a pause are not evidence against other instances.
	PauseThreshold = 400 * time.Millisecond
)

// Parameters of dissemination.
const (
	// PushInterval is the interval between pushes while there are updates to send.
	PushInterval = 200 * time.Millisecond
	// PushFanout is the number of random instances that receive a push.
	PushFanout = 3
	// PushTimeout is the timeout of a push, a pull or an exchange.
	PushTimeout = time.Second
	// MaxProbeUpdateBytes is the maximum size of the updates in a probe and in its answer.
	MaxProbeUpdateBytes = 512
	// MaxPushUpdateBytes is the maximum size of the updates in a push and in its answer.
	MaxPushUpdateBytes = 1024
	// UpdateBytesPerSecond is the rate limit for the updates that an instance sends. It keeps a mass failure within the
	// control-plane budget of 26 KB/s in both directions (design page, section 14), of which probes take about 6 KB/s.
	// Configuration versions and revocations are exempt.
	UpdateBytesPerSecond = 8 * 1024
	// UpdateBurstBytes is the burst size of that rate limit.
	UpdateBurstBytes = 8 * 1024
	// PullThreshold is the number of recently changed records from which an instance pulls. With random pushes alone,
	// each record reaches an instance about ten times on average before all instances have it.
	PullThreshold = 40
	// PullDuration is how long an instance keeps pulling after it, or a peer that pulled from it, reached
	// PullThreshold.
	PullDuration = 3 * time.Second
	// MaxSendsWhilePulling is the number of times an instance sends a record unasked while it pulls.
	MaxSendsWhilePulling = 1
	// MaxPullRecords is the maximum number of hashes in a pull.
	MaxPullRecords = 512
	// MaxPullBytes is the maximum size of the records in the answer to a pull.
	MaxPullBytes = 2 * 1024
	// RecentWindow is how long a changed record counts as recent.
	RecentWindow = 15 * time.Second
	// TransmitMargin and UrgentTransmitMargin are the margins c of transmitLimit. One in exp(7) = 1,100 records of
	// members and homes misses an instance; for configuration versions and revocations it is one in exp(14) =
	// 1,200,000, because these must reach every instance within 4 s.
	TransmitMargin       = 7
	UrgentTransmitMargin = 14
	// CallOverheadBytes is charged to the rate limit for each push besides its body. It is the rounded wire cost of one
	// connect-go call over HTTP/2 and mutual TLS, request and answer (TestCallOverhead in package gossip).
	CallOverheadBytes = 256
)

// Parameters of joining and of anti-entropy exchanges.
const (
	// ExchangeInterval is the mean interval between exchanges with a random peer; the jitter is 20 %.
	ExchangeInterval = 10 * time.Second
	// JoinInterval is the interval between the join steps of an instance that does not have the fleet's state yet.
	JoinInterval = 200 * time.Millisecond
	// JoinFanout is the number of instances that a joining instance contacts in one step. It also limits the calls to
	// unknown instances after each reading of the platform's list.
	JoinFanout = 3
	// ColdStartDelay is the time after which joining ends if other joining instances answered but none with the state.
	ColdStartDelay = 3 * time.Second
	// JoinTimeout is the time after which joining ends if the platform lists other instances and none of them has
	// answered.
	JoinTimeout = 30 * time.Second
	// MaxFetchBytes is the maximum size of the records in each direction of one repair.
	MaxFetchBytes = 8 * 1024
	// MaxJoinBytes is the maximum size of the records in the answer to a joining instance.
	MaxJoinBytes = 32 * 1024
	// ReconnectInterval is the interval between attempts to contact an instance believed dead. These heal a network
	// partition after both sides declared each other dead.
	ReconnectInterval = 2 * time.Second
	// TombstoneTTL is how long a dead instance is kept, so stale records and a stale platform list do not revive it.
	TombstoneTTL = time.Hour
	// MaxTombstones is the number of tombstones from which death records of unknown instances are ignored.
	MaxTombstones = 4096
	// TombstoneScanInterval is the interval between scans for expired tombstones.
	TombstoneScanInterval = time.Minute
)

// Parameters of the detection that this instance is cut off.
const (
	// ContactWindow is how long the result of a contact counts.
	ContactWindow = 3 * time.Second
	// SampleSize is the number of random peers contacted every ProbeInterval while a contact fails.
	SampleSize = 8
	// MaxExactPeers is the number of known peers up to which all are counted instead of a sample.
	MaxExactPeers = 16
	// ScanPeersPerTick is the number of peers contacted per tick, round robin, while this instance is cut off from most
	// of them. A scan of 1,200 peers takes 30 s.
	ScanPeersPerTick = 2
	// IsolationDelay is how long an instance must be cut off from the store and from most peers to count as isolated.
	IsolationDelay = 3 * time.Second
	// ReplacementGap is the minimum difference between incarnations that indicates a later process with the same id.
	// Incarnations start at a time in milliseconds and a refutation increases them by one.
	ReplacementGap = 1000
)
