package placementbench

import (
	"cmp"
	"slices"
	"time"
)

// demand is what one fleet has to run: the jobs in order of arrival and the
// accelerators that it has.
type demand struct {
	arrivals     []arrival
	accelerators int
}

// leastP99 is a lower bound, in whole seconds, on the 99th percentile of the
// completion times that any policy can reach on all demands together. It allows
// a policy to split gangs, to stop jobs without a loss and to know the future.
// Jobs that are cancelled cost nothing and count as completed.
func leastP99(demands []demand) float64 {
	jobs := 0
	for _, d := range demands {
		jobs += len(d.arrivals)
	}
	exempt := jobs - int(float64(jobs)*0.99+0.5) // as the histogram counts them
	feasible := func(limit int) bool {
		late := 0
		for _, d := range demands {
			late += d.leastLate(time.Duration(limit) * time.Second)
		}
		return late <= exempt
	}
	low, high := 0, int(drainLimit/time.Second)
	for low < high {
		if mid := (low + high) / 2; feasible(mid) {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return float64(low)
}

// wave is the jobs that arrive at one time and can end within the limit.
type wave struct {
	at    time.Time
	works []float64 // works are accelerator-seconds of the jobs.
	total float64
}

// leastLate is the least number of jobs that take longer than the limit under
// any policy: those that run for longer, and those that have to make room for
// the others. The jobs of some waves in a row need their work done from the
// first arrival to the limit after the last one; what does not fit into that
// time takes at least as many jobs as if the largest were late.
func (d demand) leastLate(limit time.Duration) int {
	limit += time.Second // completion times are cut to whole seconds
	late := 0
	var waves []wave
	for _, a := range d.arrivals {
		if !a.cancelAt.IsZero() {
			continue
		}
		if a.runTime+startLatency > limit {
			late++
			continue
		}
		if len(waves) == 0 || !waves[len(waves)-1].at.Equal(a.job.Submitted) {
			waves = append(waves, wave{at: a.job.Submitted})
		}
		w := &waves[len(waves)-1]
		work := a.runTime.Seconds() * float64(a.job.Shape.Total())
		w.works, w.total = append(w.works, work), w.total+work
	}
	// most[i] is the largest sum over disjoint runs of the first i waves.
	most := make([]int, len(waves)+1)
	for last := range waves {
		most[last+1] = most[last]
		work := 0.0
		for first := last; first >= 0; first-- {
			work += waves[first].total
			span := waves[last].at.Sub(waves[first].at) + limit
			if excess := work - span.Seconds()*float64(d.accelerators); excess > 0 {
				most[last+1] = max(most[last+1], most[first]+fewest(waves[first:last+1], excess))
			}
		}
	}
	return late + most[len(waves)]
}

// fewest is the least number of jobs that together have the work.
func fewest(waves []wave, work float64) int {
	var works []float64
	for _, w := range waves {
		works = append(works, w.works...)
	}
	slices.SortFunc(works, func(a, b float64) int { return cmp.Compare(b, a) })
	for i, w := range works {
		if work -= w; work <= 0 {
			return i + 1
		}
	}
	return len(works)
}
