package allocation

import (
	"cmp"
	"slices"
	"time"

	"wasabihoist/internal/fleet/workload"
)

// reservations is how many gangs that may not stop others have hosts kept free
// for them at a time. The hosts stand partly idle meanwhile.
const reservations = 2

// reserve keeps hosts free for a gang that does not fit, so that smaller work
// does not take its room for ever. It takes the hosts that are free first.
func (p *planner) reserve(d Demand) {
	if p.reserved >= reservations {
		return
	}
	var best []*room
	bestTime := time.Duration(-1)
	for _, rooms := range p.sites(d) {
		chosen, at := p.earliest(d, rooms, never)
		if chosen != nil && (best == nil || at < bestTime) {
			best, bestTime = chosen, at
		}
	}
	if best == nil && d.RackLocal {
		best, _ = p.earliest(d, p.rooms, never)
	}
	if best == nil {
		return
	}
	p.reserved++
	p.setAside(d, best)
}

// awaitTime is how soon work has to end by itself for urgent tasks to have its
// room kept free. Less urgent work that is started there meanwhile would be
// stopped again.
const awaitTime = 3 * time.Second

// awaitEnds keeps hosts free for the tasks of an urgent demand for which nothing
// may be stopped, if work there ends soon.
func (p *planner) awaitEnds(d Demand) {
	for _, rooms := range p.sites(d) {
		if chosen, _ := p.earliest(d, rooms, awaitTime); len(chosen) > 0 {
			p.setAside(d, chosen)
			return
		}
	}
}

// slot is a host that a reservation may use.
type slot struct {
	r     *room
	at    time.Duration // at is when there is room for the tasks so far and one more.
	tasks int
}

// earliest returns the hosts that have room for tasks first, and when the last of
// them has. It returns as many as have room within a time; for a gang all or
// none.
func (p *planner) earliest(d Demand, rooms []*room, within time.Duration) ([]*room, time.Duration) {
	var slots []*slot
	for _, r := range rooms {
		if usable(d, r) {
			slots = append(slots, &slot{r, p.freeAt(r, d.Need), 0})
		}
	}
	var chosen []*room
	var last time.Duration
	for range d.Tasks {
		best := slices.MinFunc(append(slots, &slot{at: never}), func(a, b *slot) int { return cmp.Compare(a.at, b.at) })
		if best.at == never || best.at > within {
			break
		}
		chosen = append(chosen, best.r)
		last = max(last, best.at)
		best.tasks++
		best.at = never
		if d.SpreadLimit == 0 || d.TasksByHost[best.r.Name]+best.tasks < d.SpreadLimit {
			best.at = p.freeAt(best.r, times(d.Need, best.tasks+1))
		}
	}
	if d.Gang && len(chosen) < d.Tasks {
		return nil, 0
	}
	return chosen, last
}

// never is the time at which a host has room that it never has.
const never = time.Duration(1<<63 - 1)

// freeAt returns when a host has room for a need, if nothing else starts there.
func (p *planner) freeAt(r *room, need workload.Resources) time.Duration {
	left := r.FutureFree
	if left.Fits(need) {
		return 0
	}
	units := slices.Clone(r.units)
	slices.SortFunc(units, func(a, b int) int { return cmp.Compare(p.units[a].RemainingTime, p.units[b].RemainingTime) })
	for _, i := range units {
		if p.isStopped[i] {
			continue
		}
		left = left.Add(p.usedOn(i, r))
		if left.Fits(need) {
			return p.units[i].RemainingTime
		}
	}
	return never
}

func times(need workload.Resources, n int) workload.Resources {
	return workload.Resources{MilliCores: need.MilliCores * n, MemoryMB: need.MemoryMB * n, Accelerators: need.Accelerators * n}
}
