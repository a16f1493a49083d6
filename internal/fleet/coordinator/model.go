package coordinator

import (
	"cmp"
	"slices"
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/workload"
)

const (
	// endMargin is how much longer than a stop a run may take to end and still
	// be left to end by itself.
	endMargin = 300 * time.Millisecond
)

// hostModel returns what the hosts offer. What a run holds is counted until it
// has certainly ended.
func (t *term) hostModel() []allocation.Host {
	at := now()
	ending := make(map[*attempt]bool, len(t.attempts))
	for _, a := range t.attempts {
		ending[a] = a.stopping || a.over || t.endsSoon(a, at)
	}
	hosts := make([]allocation.Host, 0, len(t.hosts))
	for _, h := range t.hosts {
		if h.minion.ID == "" {
			continue
		}
		free, soon := h.free(), h.minion.Capacity
		for _, r := range h.runs {
			if !ending[r.attempt] {
				soon = soon.Sub(r.need)
			}
		}
		hosts = append(hosts, allocation.Host{
			Name: h.name, Rack: h.minion.Rack, Service: h.minion.Service, Labels: collection.NewSet(h.minion.Labels...),
			Open: h.open(at), OnProbation: h.health.doubtful(), Capacity: h.minion.Capacity, Free: free, FutureFree: soon,
		})
	}
	slices.SortFunc(hosts, func(a, b allocation.Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts
}

// free returns what no run holds on a host.
func (h *hostState) free() workload.Resources {
	free := h.minion.Capacity
	for _, r := range h.runs {
		free = free.Sub(r.need)
	}
	for _, need := range h.strays {
		free = free.Sub(need)
	}
	return free
}

// units returns what could be stopped.
func (t *term) units() []allocation.Unit {
	guaranteed := t.withinGuarantee()
	at := now()
	units := make([]allocation.Unit, 0, len(t.attempts))
	sets := t.lastingSets()
	for _, a := range t.attempts {
		if a.stopping || a.over || t.endsSoon(a, at) {
			continue
		}
		u := allocation.Unit{ID: a.id, Rank: allocation.RankOf(a.job.job.Priority, guaranteed.Has(a.job.job.ID)), UsageByHost: make(map[string]workload.Resources)}
		for _, r := range a.runs {
			u.UsageByHost[r.host.name] = u.UsageByHost[r.host.name].Add(r.need)
			u.RemainingTime = max(u.RemainingTime, r.expectedLeft(at))
		}
		number := a.job.job.Occurrence(a.step)
		if s := sets[stepKey{a.job, a.step}]; s != nil {
			u.DisruptionGroup, u.DisruptionsAllowed = s.id, s.spare
		}
		u.PreemptionCost = t.attemptLoss(a) + lateness(a.job.job, number, u.Rank, time.Now(), u.RemainingTime, t.settings().TaskStopTimeout+t.remaining(a.job, number))
		units = append(units, u)
	}
	slices.SortFunc(units, func(a, b allocation.Unit) int { return cmp.Compare(a.ID, b.ID) })
	return units
}

// endsSoon reports whether an attempt is about to end by itself, no later than if
// it were stopped now. The members of a gang end together. What should have
// ended long ago is not as it was estimated.
func (t *term) endsSoon(a *attempt, at time.Duration) bool {
	if a.definition().LongRunning {
		return false
	}
	soon := t.settings().TaskStopTimeout + endMargin
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

// attemptLoss returns the work in core seconds that a stop of an attempt throws
// away.
func (t *term) attemptLoss(a *attempt) float64 {
	at, sum := now(), 0.0
	for _, r := range a.runs {
		sum += t.loss(r, at)
	}
	return sum
}

// loss returns the work in core seconds that a stop of a run throws away. A
// stop saves what makes checkpoints, so only the restart is lost.
func (t *term) loss(r *run, at time.Duration) float64 {
	lost := at - r.startedAt
	if r.attempt.definition().LongRunning {
		lost = min(lost, lastingRestart)
	}
	if r.attempt.definition().Checkpoints {
		lost = min(lost, t.settings().CheckpointRestoreTime)
	}
	return r.need.CoreEquivalents() * lost.Seconds()
}
