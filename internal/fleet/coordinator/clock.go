package coordinator

import (
	"time"

	"golang.org/x/sys/unix"
)

// now returns the time since the host booted, including time in suspend. Leases
// at minions keep running while this process is suspended, so the runtime's
// monotonic clock, which may stop meanwhile, is not suitable.
//
// In this package, a point in time held as a time.Duration is a reading of now
// unless stated otherwise. A time.Time is wall-clock time, which submissions and
// due times use.
func now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano()) // only kernels before 2.6.39 lack the clock
	}
	return time.Duration(t.Nano())
}
