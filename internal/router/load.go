package router

import "time"

// RampDuration is the time over which a returning member's weight grows from RampFloor to 100 percent.
const RampDuration = 10 * time.Second

// RampFloor is the weight in percent with which a returning member starts.
const RampFloor = 10

// RampPercent returns the weight of a member that returned the given time ago.
func RampPercent(since time.Duration) int {
	switch {
	case since >= RampDuration:
		return 100
	case since <= 0:
		return RampFloor
	default:
		return RampFloor + int((100-RampFloor)*since/RampDuration)
	}
}

// latencyWeight is the share of a new latency in the average: 1/8 follows a change within some ten statements.
const latencyWeight = 8

// LatencyAverage is an exponential moving average of statement latencies. The zero value is ready for use.
type LatencyAverage struct{ average time.Duration }

// Add records one latency.
func (a *LatencyAverage) Add(d time.Duration) {
	if a.average == 0 {
		a.average = max(d, 1)
		return
	}
	a.average = max(a.average+(d-a.average)/latencyWeight, 1)
}

// Value returns the average, or 0 before the first Add.
func (a *LatencyAverage) Value() time.Duration { return a.average }
