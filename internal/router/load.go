package router

import "time"

// RampDuration is the time over which the weight of a member that rejoined grows from RampFloor to 100 percent (slow
// start).
const RampDuration = 10 * time.Second

// RampFloor is the initial weight, in percent, of a member that rejoined.
const RampFloor = 10

// RampPercent returns the weight, in percent, of a member that rejoined the given time ago.
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

// latencySmoothing is the divisor of the moving average: a new latency has the weight 1/8, so the average follows a
// change within about ten statements.
const latencySmoothing = 8

// LatencyAverage is an exponential moving average of statement latencies. The zero value is ready to use.
type LatencyAverage struct{ average time.Duration }

// Add records one latency.
func (a *LatencyAverage) Add(d time.Duration) {
	if a.average == 0 {
		a.average = max(d, 1)
		return
	}
	a.average = max(a.average+(d-a.average)/latencySmoothing, 1)
}

// Value returns the average, or 0 before the first Add.
func (a *LatencyAverage) Value() time.Duration { return a.average }
