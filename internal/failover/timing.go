package failover

import "time"

// Timing holds the machine's time limits. Zero fields take the value of DefaultTiming.
type Timing struct {
	// Silence is how long a status stream may be silent before the member is probed. A replica whose PrimarySilence
	// reaches it does not hear its primary.
	HeartbeatTimeout time.Duration
	// ProbeTimeout bounds one probe.
	ProbeTimeout time.Duration
	// OperationTimeout bounds one claim, fence, promote or follow.
	OperationTimeout time.Duration
	// StepTimeout is how long claiming in one generation may take before a new attempt in a higher one, and how long the
	// member being promoted may make no progress before a higher term is fenced.
	StepTimeout time.Duration
	// CutOff is how long the home may miss a primary that the replicas hear, or a majority, before it releases the
	// role. It is also how long members are left
	// alone that another home claimed or another promoter fenced, as long as they are a minority.
	PartitionTimeout time.Duration
	// Isolation is the PrimarySilence that a majority of replicas must report before a primary that the home still hears
	// counts as cut off from them. No write is acknowledged meanwhile, so waiting longer only lengthens the gap.
	IsolationTimeout time.Duration
	// BackoffMin and BackoffMax bound the wait before a new attempt after a stale term.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// HoldLimit is how long a switchover holds writes before it falls back, or goes on by force when the primary has
	// to leave its member.
	WriteHoldTimeout time.Duration
	// MoveRetryMin and MoveRetryMax bound the wait before another try to move the primary.
	SwitchoverRetryMin time.Duration
	SwitchoverRetryMax time.Duration
	// FollowRetry is the wait before an operation that failed is repeated.
	RetryInterval time.Duration
}

// DefaultTiming returns the limits of docs/decisions/0003-failover-and-fencing.md.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatTimeout:   400 * time.Millisecond,
		ProbeTimeout:       200 * time.Millisecond,
		OperationTimeout:   300 * time.Millisecond,
		StepTimeout:        time.Second,
		PartitionTimeout:   1500 * time.Millisecond,
		IsolationTimeout:   500 * time.Millisecond,
		BackoffMin:         100 * time.Millisecond,
		BackoffMax:         2 * time.Second,
		WriteHoldTimeout:   2500 * time.Millisecond,
		SwitchoverRetryMin: time.Second,
		SwitchoverRetryMax: 30 * time.Second,
		RetryInterval:      100 * time.Millisecond,
	}
}

const (
	// steadyTick and busyTick are the times between two ticks. They bound how late a silence or a timeout is seen; an
	// evaluation takes about a microsecond.
	steadyTick = 50 * time.Millisecond
	busyTick   = 10 * time.Millisecond
	// rollBackMargin is the part of HoldLimit at its end in which idle transactions are rolled back, so that a primary
	// that has to leave its member drains before the limit.
	rollBackMargin = time.Second
	// lostMargin is added to an operation's timeout before its result counts as lost for good.
	lostMargin = 50 * time.Millisecond
	// claimLimit is how many times CutOff a claim may take before the instance gives up.
	claimLimit = 2
)

func (t Timing) withDefaults() Timing {
	d := DefaultTiming()
	for _, f := range []struct{ value, preset *time.Duration }{
		{&t.HeartbeatTimeout, &d.HeartbeatTimeout},
		{&t.ProbeTimeout, &d.ProbeTimeout},
		{&t.OperationTimeout, &d.OperationTimeout},
		{&t.StepTimeout, &d.StepTimeout},
		{&t.PartitionTimeout, &d.PartitionTimeout},
		{&t.IsolationTimeout, &d.IsolationTimeout},
		{&t.BackoffMin, &d.BackoffMin},
		{&t.BackoffMax, &d.BackoffMax},
		{&t.WriteHoldTimeout, &d.WriteHoldTimeout},
		{&t.SwitchoverRetryMin, &d.SwitchoverRetryMin},
		{&t.SwitchoverRetryMax, &d.SwitchoverRetryMax},
		{&t.RetryInterval, &d.RetryInterval},
	} {
		if *f.value == 0 {
			*f.value = *f.preset
		}
	}
	return t
}
