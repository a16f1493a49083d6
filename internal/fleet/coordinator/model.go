package coordinator

import (
	"cmp"
	"slices"
	"time"

	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/workload"
)

const (
	// nearEndMargin is added to TaskStopTimeout. An attempt that is expected to
	// end within that sum is not preempted, because a stop would free its
	// resources hardly sooner.
	nearEndMargin = 300 * time.Millisecond
)

// hostModel returns the hosts and their free resources for the allocation.
// Resources of a run count as used until it has certainly ended.
func (t *term) hostModel() []allocation.Host {
	at := now()
	ending := make(map[*hostState]workload.Resources) // ending holds what pending stops and ends will release.
	for _, a := range t.attempts {
		if !a.stopping && !a.ended && !t.endsSoon(a, at) {
			continue
		}
		for _, r := range a.runs {
			ending[r.host] = ending[r.host].Add(r.need)
		}
	}
	list := make([]*hostState, 0, len(t.hosts))
	for _, h := range t.hosts {
		if h.minion.ID != "" {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b *hostState) int { return cmp.Compare(a.name, b.name) })
	hosts := make([]allocation.Host, 0, len(list))
	for _, h := range list {
		free, futureFree := h.free(), h.minion.Capacity.Sub(h.used).Add(ending[h])
		hosts = append(hosts, allocation.Host{
			Name: h.name, Rack: h.minion.Rack, Service: h.minion.Service, Labels: h.labels(),
			Open: h.acceptsWork(at), OnProbation: h.health.onProbation(at), Capacity: h.minion.Capacity, Free: free, FutureFree: futureFree, Pace: t.paceOf(h),
		})
	}
	return hosts
}

// free returns the resources of a host that no run holds.
func (h *hostState) free() workload.Resources {
	free := h.minion.Capacity.Sub(h.used)
	for _, u := range h.unexpected {
		free = free.Sub(u.need)
	}
	return free
}

// preemptibleUnits returns the attempts that may be preempted, with their
// preemption costs.
func (t *term) preemptibleUnits() []allocation.Unit {
	guaranteed := t.withinGuarantee()
	at, wall := now(), time.Now()
	units := make([]allocation.Unit, 0, len(t.attempts))
	budgets := t.disruptionBudgets()
	for _, a := range t.attempts {
		if a.stopping || a.ended || t.endsSoon(a, at) || t.awaitsReport(a, at) {
			continue
		}
		u := allocation.Unit{ID: a.id, Rank: allocation.RankOf(a.job.job.Priority, guaranteed.Has(a.job.job.ID)), Age: at - a.began}
		for _, r := range a.runs {
			use(&u, r)
			u.RemainingTime = max(u.RemainingTime, r.expectedTimeLeft(at, a.definition().Estimate))
		}
		occurrence := a.job.job.Occurrence(a.step)
		if s := budgets[stepKey{a.job, a.step}]; s != nil {
			u.DisruptionGroup, u.DisruptionsAllowed = s.id, disruptableUnits(s.remaining, len(a.runs))
		}
		u.PreemptionCost = t.preemptionCost(a, at) + latenessCost(a.job.job, occurrence, u.Rank, wall, u.RemainingTime, t.settings().TaskStopTimeout+t.remainingTime(a.job, occurrence))
		units = append(units, u)
	}
	slices.SortFunc(units, func(a, b allocation.Unit) int { return cmp.Compare(a.ID, b.ID) })
	return units
}

// use adds what a run uses to a unit.
func use(u *allocation.Unit, r *run) {
	for i := range u.Usage {
		if u.Usage[i].Host == r.host.name {
			u.Usage[i].Used = u.Usage[i].Used.Add(r.need)
			return
		}
	}
	u.Usage = append(u.Usage, allocation.HostUsage{Host: r.host.name, Used: r.need})
}

// endsSoon reports whether an attempt is about to end by itself, at most
// nearEndMargin later than if it were stopped now. The members of a gang end
// together. An attempt that should have ended long ago does not count, because
// its estimate was wrong.
func (t *term) endsSoon(a *attempt, at time.Duration) bool {
	if a.definition().LongRunning {
		return false
	}
	soon := t.settings().TaskStopTimeout + nearEndMargin
	last := -soon
	for _, r := range a.runs {
		left, known := r.timeLeft(at)
		if !known {
			return false
		}
		last = max(last, left)
	}
	return len(a.runs) > 0 && -soon < last && last < soon
}

// preemptionCost returns the work in core seconds that is discarded if an
// attempt is stopped.
func (t *term) preemptionCost(a *attempt, at time.Duration) float64 {
	sum := 0.0
	for _, r := range a.runs {
		sum += t.runPreemptionCost(r, at)
	}
	return sum
}

// runPreemptionCost returns the work in core seconds that is discarded if a run
// is stopped. Checkpointing tasks save their work when they are stopped, so
// only their restart counts.
func (t *term) runPreemptionCost(r *run, at time.Duration) float64 {
	lost := at - r.startedAt + t.workBeforeAdoption(r)
	if r.attempt.definition().LongRunning {
		lost = min(lost, longRunningRestartTime)
	}
	if r.attempt.definition().Checkpoints {
		lost = min(lost, t.settings().CheckpointRestoreTime)
	}
	return r.need.CoreEquivalents() * lost.Seconds()
}
