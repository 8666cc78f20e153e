package failover

import "time"

// Timing holds the machine's timeouts and intervals. Zero fields take the value of DefaultTiming.
type Timing struct {
	// HeartbeatTimeout is how long a member may send no status before it is probed. A replica whose PrimarySilence
	// reaches it has lost contact with its primary.
	HeartbeatTimeout time.Duration
	// ProbeTimeout is the timeout of one probe.
	ProbeTimeout time.Duration
	// OperationTimeout is the timeout of one claim, fence, promote or follow operation.
	OperationTimeout time.Duration
	// StepTimeout is how long claiming in one generation may take before a retry in a higher one, how long fencing waits
	// for a majority without the excluded member, and how long a member being promoted may make no progress before a
	// higher term is fenced.
	StepTimeout time.Duration
	// PartitionTimeout is how long the home may be unable to reach a majority, or a primary that the replicas still
	// reach, before it releases the home role. It is also how long a minority of members that another home claimed or
	// another promoter fenced is left alone.
	PartitionTimeout time.Duration
	// IsolationTimeout is the PrimarySilence that a majority of replicas must report before a primary that the home can
	// still reach counts as isolated from them. No write is acknowledged meanwhile, so a longer wait only lengthens the
	// write gap.
	IsolationTimeout time.Duration
	// BackoffMin and BackoffMax bound the delay before a new attempt after a stale term.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// WriteHoldTimeout is how long a switchover holds writes before it is abandoned or, if it is forced, continues
	// without waiting for the drain.
	WriteHoldTimeout time.Duration
	// SwitchoverRetryMin and SwitchoverRetryMax bound the delay before the next automatic switchover.
	SwitchoverRetryMin time.Duration
	SwitchoverRetryMax time.Duration
	// RetryInterval is the delay before an operation is retried.
	RetryInterval time.Duration
}

// DefaultTiming returns the values of docs/decisions/0003-failover-and-fencing.md.
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
	// steadyTick and busyTick are the intervals between two ticks. They bound how late a timeout is detected; one
	// evaluation takes about a microsecond.
	steadyTick = 50 * time.Millisecond
	busyTick   = 10 * time.Millisecond
	// rollBackMargin is how long before the end of WriteHoldTimeout a forced switchover rolls back idle transactions, so
	// that the primary drains in time.
	rollBackMargin = time.Second
	// resultGrace is added to the timeout of an operation or probe before its result counts as lost.
	resultGrace = 50 * time.Millisecond
	// claimTimeoutFactor times PartitionTimeout is how long claiming may take before the instance gives up.
	claimTimeoutFactor = 2
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
