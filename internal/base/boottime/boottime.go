// Package boottime reads a clock that goes on while the host is suspended and that
// nobody sets. Promises that hold for a time are kept by it: the runtime's monotonic
// clock, which time.Since uses, stands still during a suspend, and the wall clock jumps.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, including time in suspend.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano()) // only kernels before 2.6.39 lack the clock
	}
	return time.Duration(t.Nano())
}
