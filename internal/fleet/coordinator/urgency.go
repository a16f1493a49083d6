package coordinator

import (
	"time"

	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/workload"
)

// lateFactor times the time until a job is due, its result is worth nothing any
// more; in between it is worth less. The users' rules set it.
const lateFactor = 3

// latestStart returns when an occurrence that still needs a time has to go on, so
// that it is done when it is due; if that is too late, so that it is worth
// something at all. What is worth nothing any more comes after all others.
func latestStart(j workload.Job, occurrence int, need time.Duration, at time.Time) time.Time {
	due := j.Due(occurrence)
	if start := due.Add(-need); !start.Before(at) {
		return start
	}
	begin := j.Begin(occurrence)
	limit := begin.Add(lateFactor * due.Sub(begin))
	if start := limit.Add(-need); !start.Before(at) {
		return start
	}
	return limit.Add(hopelessDelay)
}

// hopelessDelay puts jobs that are worth nothing behind all that are.
const hopelessDelay = time.Hour

const (
	// ordinaryLossRatio is what lossRatio is for work of the first ordinary
	// priority, and lowLossRatio for all after it: a job of theirs is worth a
	// third as much, and a ninth, of an urgent one of the same size.
	ordinaryLossRatio = 1
	lowLossRatio      = 1.0 / 3
)

// lateness returns what it costs, in core seconds of work thrown away, that a
// stop makes an occurrence late. left is the time until its work is done if it goes on,
// again the time if it starts anew.
func lateness(j workload.Job, occurrence int, rank allocation.Rank, at time.Time, left, again time.Duration) float64 {
	due := j.Due(occurrence)
	if at.Add(left).After(due) || !at.Add(again).After(due) {
		return 0
	}
	switch {
	case rank <= allocation.Urgent:
		return lossRatio * j.Work()
	case rank == allocation.Ordinary:
		return ordinaryLossRatio * j.Work()
	}
	return lowLossRatio * j.Work()
}
