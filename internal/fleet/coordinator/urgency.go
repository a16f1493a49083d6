package coordinator

import (
	"time"

	"wasabihoist/internal/fleet/workload"
)

// lateFactor times the time until a job is due, its result is worth nothing any
// more; in between it is worth less. The users' rules set it.
const lateFactor = 3

// latestStart returns when a job that still needs a time has to go on, so that
// it is done when it is due; if that is too late, so that it is worth something
// at all. A job that is worth nothing any more comes after all others.
func latestStart(j workload.Job, need time.Duration, at time.Time) time.Time {
	due := j.Due()
	if start := due.Add(-need); !start.Before(at) {
		return start
	}
	limit := j.Submitted.Add(lateFactor * due.Sub(j.Submitted))
	if start := limit.Add(-need); !start.Before(at) {
		return start
	}
	return limit.Add(hopelessDelay)
}

// hopelessDelay puts jobs that are worth nothing behind all that are.
const hopelessDelay = time.Hour
