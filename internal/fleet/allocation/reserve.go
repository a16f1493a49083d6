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
// does not starve it. It selects the hosts that become free first.
func (p *planner) reserveForGang(d Demand) {
	if p.reservedGangs >= maxReservedGangs {
		return
	}
	var best []*hostState
	bestTime := time.Duration(-1)
	for _, hosts := range p.candidateHostSets(d) {
		chosen, at := p.earliestHosts(d, hosts, never)
		if chosen != nil && (best == nil || at < bestTime) {
			best, bestTime = chosen, at
		}
	}
	if best == nil && d.RackLocal {
		best, bestTime = p.earliestHosts(d, p.hosts, never)
	}
	if best == nil {
		return
	}
	p.reservedGangs++
	p.reserveFuture(d, best)
	r := Reservation{StartIn: bestTime}
	for _, h := range best {
		r.Hosts = append(r.Hosts, h.Name)
	}
	p.plan.Reservations[d.ID] = r
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
	fitsAfter time.Duration // fitsAfter is the time until the chosen tasks and one more fit; never if they do not.
	tasks     int
}

// earliestHosts returns the hosts where the tasks fit first and the time until the
// last task fits. It omits tasks that do not fit within the given time; a gang gets
// all hosts or none.
func (p *planner) earliestHosts(d Demand, hosts []*hostState, within time.Duration) ([]*hostState, time.Duration) {
	var candidates []*reservationCandidate
	for _, h := range hosts {
		if usable(d, h) {
			candidates = append(candidates, &reservationCandidate{h, p.earliestFit(h, d.Need), 0})
		}
	}
	var chosen []*hostState
	var last time.Duration
	for range d.Tasks {
		best := slices.MinFunc(append(candidates, &reservationCandidate{fitsAfter: never}), func(a, b *reservationCandidate) int { return cmp.Compare(a.fitsAfter, b.fitsAfter) })
		if best.fitsAfter == never || best.fitsAfter > within {
			break
		}
		chosen = append(chosen, best.host)
		last = max(last, best.fitsAfter)
		best.tasks++
		best.fitsAfter = never
		if d.SpreadLimit == 0 || d.TasksByHost[best.host.Name]+best.tasks < d.SpreadLimit {
			best.fitsAfter = p.earliestFit(best.host, scale(d.Need, best.tasks+1))
		}
	}
	if d.Gang && len(chosen) < d.Tasks {
		return nil, 0
	}
	return chosen, last
}

// never is the time until something that does not happen.
const never = time.Duration(1<<63 - 1)

// earliestFit returns the time until the need fits on a host if nothing else
// starts there.
func (p *planner) earliestFit(h *hostState, need workload.Resources) time.Duration {
	free := h.FutureFree
	if free.Fits(need) {
		return 0
	}
	units := slices.Clone(h.units)
	slices.SortFunc(units, func(a, b int) int { return cmp.Compare(p.units[a].RemainingTime, p.units[b].RemainingTime) })
	for _, i := range units {
		if p.isPreempted[i] {
			continue
		}
		free = free.Add(p.usedOn(i, h))
		if free.Fits(need) {
			return p.units[i].RemainingTime
		}
	}
	return never
}

// scale returns the need of n equal tasks.
func scale(need workload.Resources, n int) workload.Resources {
	return workload.Resources{MilliCores: need.MilliCores * n, MemoryMB: need.MemoryMB * n, Accelerators: need.Accelerators * n}
}
