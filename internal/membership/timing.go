// Package membership decides which instances of a fleet are alive and spreads news among them.
//
// It is a pure state machine: time comes in as an argument, random numbers come from a seeded source, and calls to
// other instances leave it as values of type Call. Package gossip performs the calls.
//
// Failure detection follows SWIM (Das, Gupta, Motivala, 2002) with a constant number of probe partners per instance.
// Records form a join-semilattice, so the order and the number of deliveries do not matter.
package membership

import "time"

// Intervals, timeouts and limits of the failure detector. A dead instance is known to its probers after at most
// ProbeInterval + 2*ProbeTimeout + SuspectTimeout + 2*TickInterval = 1.4 s.
const (
	// TickInterval is the time between two calls of Machine.Tick.
	TickInterval = 50 * time.Millisecond
	// ProbePartners is the number of instances that each instance probes, whatever the size of the fleet.
	ProbePartners = 3
	// ProbeInterval is the time between two probes of the same partner.
	ProbeInterval = 300 * time.Millisecond
	// ProbeTimeout bounds a direct probe and, separately, the indirect probes that follow a missed one.
	ProbeTimeout = 200 * time.Millisecond
	// RelayTimeout bounds the probe that an instance makes for another, so that its answer is back in ProbeTimeout.
	RelayTimeout = 150 * time.Millisecond
	// IndirectProbes is the number of instances asked to repeat a missed probe.
	IndirectProbes = 2
	// SuspectTimeout is the time that an instance has to refute a suspicion of the instance that observed it.
	SuspectTimeout = 600 * time.Millisecond
	// HearsayTimeout is the time after which an instance declares a suspect dead that others suspected. It is longer
	// than SuspectTimeout because refutations of instances that are alive need time to spread.
	HearsayTimeout = 3 * time.Second
	// PauseThreshold is the gap between two ticks above which the process is taken to have been paused. Timeouts that
	// passed during a pause prove nothing about other instances.
	PauseThreshold = 400 * time.Millisecond
)

// Intervals and limits of the spread of news.
const (
	// PushInterval is the time between two pushes while there is news.
	PushInterval = 200 * time.Millisecond
	// PushFanout is the number of random instances that one push goes to.
	PushFanout = 3
	// PushTimeout bounds a push or an exchange.
	PushTimeout = time.Second
	// MaxProbeNewsBytes bounds the news in a probe and in its answer.
	MaxProbeNewsBytes = 512
	// MaxPushNewsBytes bounds the news in a push and in its answer.
	MaxPushNewsBytes = 1024
	// NewsBytesPerSecond bounds the news that an instance sends, so that a mass failure does not exceed the control
	// budget of 26 KB a second in both directions (design page, section 14), of which probes take about 6 KB.
	// Configuration versions and revocations are sent beyond it.
	NewsBytesPerSecond = 8 * 1024
	// NewsBurstBytes is what may be sent at once after a quiet time.
	NewsBurstBytes = 8 * 1024
	// PullThreshold is the number of recently changed records from which an instance pulls instead of pushing the same
	// records many times. With random pushes alone each record must reach an instance about ten times on average
	// until all have it.
	PullThreshold = 40
	// PullTime is how long an instance goes on pulling after it or a peer that pulled had that many.
	PullTime = 3 * time.Second
	// PullFirstSends is how often an instance pushes a record while it pulls.
	PullFirstSends = 1
	// MaxPullRecords bounds the hashes in one pull.
	MaxPullRecords = 512
	// MaxPullBytes bounds the records in the answer to a pull.
	MaxPullBytes = 2 * 1024
	// RecentTime is how long a changed record counts as recent news.
	RecentTime = 15 * time.Second
	// NewsMargin and UrgentMargin are the margins of the number of sends of a record (see retransmissions). One in
	// exp(7) = 1,100 records of members and homes misses one instance; one in exp(14) = 1,200,000 configuration
	// versions and revocations does, because these must be known everywhere within 4 s.
	NewsMargin   = 7
	UrgentMargin = 14
	// CallOverheadBytes is charged to the budget for each push besides its body. It is the rounded wire cost of one
	// connect-go call over HTTP/2 and mutual TLS, request and answer (TestCallOverhead in package gossip).
	CallOverheadBytes = 256
)

// Intervals and limits of the repair by exchange of the whole state.
const (
	// ExchangeInterval is the mean time between two exchanges with a random peer; the jitter is 20 %.
	ExchangeInterval = 10 * time.Second
	// JoinInterval is the time between two steps of an instance that does not have the fleet's state yet.
	JoinInterval = 200 * time.Millisecond
	// JoinFanout is the number of instances that a joining instance contacts in one step.
	JoinFanout = 3
	// ColdStartDelay ends joining when other joining instances answered and none that has the state.
	ColdStartDelay = 3 * time.Second
	// AloneDelay ends joining when the platform lists other instances and none of them has ever answered.
	AloneDelay = 30 * time.Second
	// MaxFetchBytes bounds the records in each direction of one repair.
	MaxFetchBytes = 8 * 1024
	// MaxJoinBytes bounds the records in the answer to a joining instance.
	MaxJoinBytes = 32 * 1024
	// ReconnectInterval is the time between two attempts to reach an instance believed dead, which heals a network
	// partition after both sides declared each other dead.
	ReconnectInterval = 2 * time.Second
	// TombstoneAge is how long a dead instance is remembered, so that older news and the platform's lagging list do
	// not revive it.
	TombstoneAge = time.Hour
	// MaxTombstones bounds the memory for dead instances.
	MaxTombstones = 4096
	// ForgetInterval is the time between two searches for old tombstones.
	ForgetInterval = time.Minute
)

// Intervals and limits of the detection that this instance itself is cut off.
const (
	// EvidenceWindow is the time for which the result of a contact counts.
	EvidenceWindow = 3 * time.Second
	// SampleSize is the number of random peers contacted each ProbeInterval while some contact fails.
	SampleSize = 8
	// ExactPeers is the number of known peers up to which every one of them is counted instead of a sample.
	ExactPeers = 16
	// ScanPerTick is the number of peers contacted in each tick, in turn, while this instance is cut off from most of
	// them. A scan of 1,200 peers takes 30 s.
	ScanPerTick = 2
	// IsolationDelay is the time cut off from the store and from most peers after which an instance is isolated.
	IsolationDelay = 3 * time.Second
	// ReplacedMargin is the distance in incarnations, which start as milliseconds, from which a record with this
	// instance's id must come from a process started later: refutations raise an incarnation by one.
	ReplacedMargin = 1000
)
