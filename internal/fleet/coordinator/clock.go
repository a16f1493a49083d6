package coordinator

import (
	"time"

	"golang.org/x/sys/unix"
)

// now returns the time since the host was started, including the time for which
// it was suspended. Leases of minions go on while this process stands still, so
// the runtime's monotonic clock, which may stop, does not serve.
func now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano()) // only kernels before 2.6.39 lack the clock
	}
	return time.Duration(t.Nano())
}
