// Package boottime reads CLOCK_BOOTTIME, a monotonic clock that keeps running
// while the machine is suspended. Leases on which other VMs rely are measured
// with it, because the monotonic clock of the Go runtime stops during a
// suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including time suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
