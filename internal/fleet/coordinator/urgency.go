package coordinator

import (
	"time"

	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/workload"
)

// worthlessFactor sets when the result of an occurrence becomes worthless, as a
// multiple of the time from its start time to its due time. Between the due
// time and that limit the result is worth less. The users' rules set the
// factor.
const worthlessFactor = 3

// latestStart returns the latest time at which an occurrence that still needs
// the given run time has to continue to finish by its due time. If that has
// passed, it is the latest time for a result that is not worthless. Occurrences
// whose result would be worthless sort after all others.
func latestStart(j workload.Job, occurrence int, need time.Duration, at time.Time) time.Time {
	due := j.Due(occurrence)
	if start := due.Add(-need); !start.Before(at) {
		return start
	}
	begin := j.EarliestStart(occurrence)
	limit := begin.Add(worthlessFactor * due.Sub(begin))
	if start := limit.Add(-need); !start.Before(at) {
		return start
	}
	return limit.Add(worthlessDelay)
}

// worthlessDelay is added to the latest start of worthless occurrences, so that
// they sort after all others.
const worthlessDelay = time.Hour

const (
	// ordinaryCostRatio and lowCostRatio correspond to urgentCostRatio for work
	// of the first ordinary priority and of all priorities below it: such a job
	// is worth a third, or a ninth, of an urgent job of the same size.
	ordinaryCostRatio = 1
	lowCostRatio      = 1.0 / 3
)

// latenessCost returns the cost, in core seconds of discarded work, of a stop
// that makes an occurrence late. remaining is the time until it is done if it
// continues, and restart the time until it is done if it is stopped and starts
// again.
func latenessCost(j workload.Job, occurrence int, rank allocation.Rank, at time.Time, remaining, restart time.Duration) float64 {
	due := j.Due(occurrence)
	if at.Add(remaining).After(due) || !at.Add(restart).After(due) {
		return 0
	}
	switch {
	case rank <= allocation.Urgent:
		return urgentCostRatio * j.Work()
	case rank == allocation.Ordinary:
		return ordinaryCostRatio * j.Work()
	}
	return lowCostRatio * j.Work()
}
