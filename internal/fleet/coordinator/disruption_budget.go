package coordinator

import (
	"time"

	"wasabihoist/internal/fleet/allocation"
)

// sighting is what is known of a task of a long-running step.
type sighting struct {
	serving bool          // serving is set if the last report shows the task at work and it is not being stopped.
	age     time.Duration // age is the time since that report was requested.
}

// silenceLimit returns the age from which on a sighting says nothing. The task then
// counts as unavailable although the lease of its host may not have expired: a host
// that is lost stays silent, and the tasks that are left are the ones to keep. The order
// to stop another task takes up to stopTimeout, so it ends before noticeTime is over.
// A host that answers may be silent for longer than a very short notice time.
func silenceLimit(noticeTime, stopTimeout time.Duration) time.Duration {
	if noticeTime == 0 {
		return allocation.Never
	}
	return max(noticeTime-stopTimeout, renewalWait+silenceTimeout)
}

// remainingDisruptions returns how many more tasks of a step with count tasks may be
// stopped, of which maxUnavailable may be unavailable at a time. Tasks without a
// sighting are unavailable. The next sighting of a task makes it available again.
func remainingDisruptions(count, maxUnavailable int, tasks []sighting, limit time.Duration) int {
	remaining := maxUnavailable - count
	for _, s := range tasks {
		if s.serving && s.age < limit {
			remaining++
		}
	}
	return remaining
}

// disruptableUnits returns how many units, of size tasks each that end together, may be
// stopped.
func disruptableUnits(remaining, size int) int { return max(0, remaining) / max(1, size) }
