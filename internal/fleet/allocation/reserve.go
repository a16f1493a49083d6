package allocation

import (
	"cmp"
	"slices"
	"time"

	"wasabihoist/internal/fleet/workload"
)

// maxReservedGangs limits how many gangs that may not preempt have reserved hosts
// at a time, because reserved hosts stand partly idle.
const maxReservedGangs = 2

// reserveForGang reserves hosts for a gang that does not fit, so that smaller work
// does not starve it. It selects the hosts that become free first. It reserves none
// if work is in the way that does not end by itself, or not within the wait that the
// demand permits: the hosts would stand idle although other work could use them.
func (p *planner) reserveForGang(d Demand) {
	if p.reservedGangs >= maxReservedGangs {
		return
	}
	var best []*hostState
	bestTime := Never
	for _, hosts := range p.candidateHostSets(d) {
		chosen, at := p.earliestHosts(d, hosts, cmp.Or(d.MaxReservationWait, Never))
		if chosen != nil && (best == nil || at < bestTime) {
			best, bestTime = chosen, at
		}
	}
	if best == nil && d.RackLocal && (d.RelaxLocality || !p.fitsEmptyRack(d)) {
		best, bestTime = p.earliestHosts(d, p.hosts, cmp.Or(d.MaxReservationWait, Never))
	}
	if best == nil {
		return
	}
	p.reservedGangs++
	p.recordReservation(d, best, bestTime)
	p.reserveFuture(d, best)
}

// recordReservation notes that hosts are reserved for a gang that fits there in a time.
// Work that was placed while the gang has held its reservation does not postpone the
// planned start. So work that outruns its estimate can't keep the gang waiting again
// and again.
func (p *planner) recordReservation(d Demand, chosen []*hostState, startIn time.Duration) {
	switch {
	case d.NoBackfill:
		startIn = 0
	case d.ReservedFor > 0:
		startIn = min(startIn, p.startBesideBackfill(d, chosen))
	}
	r := Reservation{StartIn: startIn}
	for _, h := range chosen {
		r.Hosts = append(r.Hosts, h.Name)
		h.reserved = append(h.reserved, reservedForGang{d.Need, startIn})
	}
	p.plan.Reservations[d.ID] = r
}

// startBesideBackfill returns the time until a gang fits on its hosts if the work ends
// at once that was placed while the gang has held its reservation.
func (p *planner) startBesideBackfill(d Demand, chosen []*hostState) time.Duration {
	tasks := make(map[*hostState]int, len(chosen))
	for _, h := range chosen {
		tasks[h]++
	}
	var last time.Duration
	for h, n := range tasks {
		last = max(last, p.earliestFit(h, scale(d.Need, n), d.ReservedFor, Never))
	}
	return last
}

// backfillFactor is how many times their estimated run time tasks may take to end by
// the planned start of a gang. Many estimates are too short by half.
const backfillFactor = 2

// availableForBackfill returns what tasks with a run time can use at once including
// what is reserved for gangs that start after the tasks have ended. Long-running tasks
// may use all that is reserved, because no reservation is long enough for them.
func availableForBackfill(runTime time.Duration) func(*hostState) workload.Resources {
	return func(h *hostState) workload.Resources {
		free := h.FutureFree
		for _, r := range h.reserved {
			if runTime == Never || backfillFactor*runTime <= r.startIn {
				free = free.Add(r.need)
			}
		}
		return h.Free.Min(free)
	}
}

// urgentReservationWindow is the longest remaining time of running work whose
// resources are reserved for urgent tasks. Less urgent work started there meanwhile
// would be preempted soon after.
const urgentReservationWindow = 3 * time.Second

// reserveForUrgent reserves hosts where work ends within urgentReservationWindow
// for the tasks of an urgent demand that preemption did not make room for.
func (p *planner) reserveForUrgent(d Demand) {
	for _, hosts := range p.candidateHostSets(d) {
		if chosen, _ := p.earliestHosts(d, hosts, urgentReservationWindow); len(chosen) > 0 {
			p.reserveFuture(d, chosen)
			return
		}
	}
}

// reservationCandidate is a host on which earliestHosts may reserve resources.
type reservationCandidate struct {
	host      *hostState
	fitsAfter time.Duration // fitsAfter is the time until the chosen tasks and one more fit; Never if they do not.
	tasks     int
}

// earliestHosts returns the hosts where the tasks fit first and the time until the
// last task fits. It omits tasks that do not fit within the given time; a gang gets
// all hosts or none.
func (p *planner) earliestHosts(d Demand, hosts []*hostState, within time.Duration) ([]*hostState, time.Duration) {
	var candidates []reservationCandidate
	for _, h := range hosts {
		if usable(&d, h) {
			candidates = append(candidates, reservationCandidate{h, p.earliestFit(h, d.Need, 0, within), 0})
		}
	}
	var chosen []*hostState
	var last time.Duration
	for range d.Tasks {
		var best *reservationCandidate
		for i := range candidates {
			if c := &candidates[i]; c.fitsAfter != Never && (best == nil || c.fitsAfter < best.fitsAfter) {
				best = c
			}
		}
		if best == nil {
			break
		}
		chosen = append(chosen, best.host)
		last = max(last, best.fitsAfter)
		best.tasks++
		best.fitsAfter = Never
		if !best.host.OnProbation && (d.SpreadLimit == 0 || d.TasksByHost[best.host.Name]+best.tasks < d.SpreadLimit) {
			best.fitsAfter = p.earliestFit(best.host, scale(d.Need, best.tasks+1), 0, within)
		}
	}
	if d.Gang && len(chosen) < d.Tasks {
		return nil, 0
	}
	return chosen, last
}

// earliestFit returns the time until the need fits on a host if nothing else
// starts there, Never if that is not within a time. Work that is younger than minAge
// counts as ended.
func (p *planner) earliestFit(h *hostState, need workload.Resources, minAge, within time.Duration) time.Duration {
	free := h.FutureFree
	if free.Fits(need) {
		return 0
	}
	all := free // all is what is free once all work has ended that does within the time.
	ends := p.ends[:0]
	for _, s := range h.starting {
		if minAge > 0 {
			free = free.Add(s.resources)
			all = all.Add(s.resources)
		} else if s.after <= within {
			ends = append(ends, s)
			all = all.Add(s.resources)
		}
	}
	for _, i := range h.units {
		switch {
		case p.isPreempted[i]:
		case p.units[i].Age < minAge:
			free = free.Add(p.usedOn(i, h))
			all = all.Add(p.usedOn(i, h))
		case p.units[i].RemainingTime <= within:
			ends = append(ends, release{p.usedOn(i, h), p.units[i].RemainingTime})
			all = all.Add(p.usedOn(i, h))
		}
	}
	p.ends = ends
	switch {
	case free.Fits(need):
		return 0
	case !all.Fits(need):
		return Never
	}
	slices.SortFunc(ends, func(a, b release) int { return cmp.Compare(a.after, b.after) })
	for _, e := range ends {
		free = free.Add(e.resources)
		if free.Fits(need) {
			return e.after
		}
	}
	return Never
}

// scale returns the need of n equal tasks.
func scale(need workload.Resources, n int) workload.Resources {
	return workload.Resources{MilliCores: need.MilliCores * n, MemoryMB: need.MemoryMB * n, Accelerators: need.Accelerators * n}
}
