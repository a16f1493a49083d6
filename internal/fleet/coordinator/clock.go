package coordinator

import (
	"time"

	"wasabihoist/internal/base/boottime"
)

// now reads the clock of boottime, because leases at minions keep running while this
// process is suspended.
//
// In this package, a point in time held as a time.Duration is a reading of now
// unless stated otherwise. A time.Time is wall-clock time, which submissions and
// due times use.
func now() time.Duration { return boottime.Now() }
