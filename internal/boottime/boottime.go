// Package boottime reads a clock that keeps running while the machine is suspended and that nobody can set. Validity of
// leases, keys and grants is measured on it: Go's monotonic clock stands still during a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the present time. Times of different machines, or of different boots, do not compare.
type Clock func() time.Time

// Now returns the time since boot as a time.Time without a monotonic reading.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
