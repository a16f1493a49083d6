package allocation

import (
	"cmp"
	"slices"

	"wasabihoist/internal/fleet/pace"
	"wasabihoist/internal/fleet/workload"
)

// selectHosts returns one host for each task that fits; for a gang all or none.
// available returns the resources of a host that may be used.
func (p *planner) selectHosts(d Demand, available func(*hostState) workload.Resources) []*hostState {
	switch {
	case d.Gang && d.RackLocal && d.Tasks > 1:
		return p.selectRackLocal(d, available)
	case d.DataRack != "":
		return p.selectNearData(d, available)
	default:
		chosen, _ := p.fitByPace(d, p.hosts, available)
		return chosen
	}
}

// selectRackLocal returns hosts of a single rack for the whole gang: the rack with
// the data if the gang fits there, else the rack with the preferred pace, then with the
// fewest accelerators left over. With a data rack, other racks are used only if locality is relaxed or the data
// rack will not be able to hold it. A gang
// that fits in no rack now is spread across racks if locality is relaxed or no
// rack will be able to hold it; otherwise it waits.
func (p *planner) selectRackLocal(d Demand, available func(*hostState) workload.Resources) []*hostState {
	var best []*hostState
	bestPlace, leastLeftover := 0, 0
	for _, name := range p.rackNames {
		chosen, place := p.fitByPace(d, p.racks[name], available)
		if len(chosen) < d.Tasks {
			continue
		}
		leftover := -d.Tasks * d.Need.Accelerators
		for _, h := range p.racks[name] {
			leftover += available(h).Accelerators
		}
		if name == d.DataRack {
			return chosen
		}
		if best == nil || cmp.Or(cmp.Compare(place, bestPlace), cmp.Compare(leftover, leastLeftover)) < 0 {
			best, bestPlace, leastLeftover = chosen, place, leftover
		}
	}
	if best != nil && (d.DataRack == "" || d.RelaxLocality || !p.fitsEmptyDataRack(d)) {
		return best
	}
	if d.RelaxLocality || !p.fitsEmptyRack(d) {
		chosen, _ := p.fitByPace(d, p.hosts, available)
		return chosen
	}
	return nil
}

// fitsEmptyRack reports whether the gang fits in some rack once all work there has
// ended that ends by itself or that the gang may preempt.
func (p *planner) fitsEmptyRack(d Demand) bool {
	for _, name := range p.rackNames {
		if len(p.bestFit(d, p.racks[name], nil, p.freeOnceEmptied(d.Rank))) == d.Tasks {
			return true
		}
	}
	return false
}

// freeOnceEmptied returns what a host has free once all work there has ended that ends by
// itself or that a demand of the rank may preempt.
func (p *planner) freeOnceEmptied(rank Rank) func(*hostState) workload.Resources {
	return func(h *hostState) workload.Resources {
		free := h.Capacity
		for _, i := range h.endless {
			if !rank.mayPreempt(p.units[i].Rank) {
				free = free.Sub(p.usedOn(i, h))
			}
		}
		return free
	}
}

// selectNearData prefers the rack with the data. Tasks that do not fit there wait,
// unless locality is relaxed or the rack will not be able to hold them.
func (p *planner) selectNearData(d Demand, available func(*hostState) workload.Resources) []*hostState {
	near, _ := p.fitByPace(d, p.racks[d.DataRack], available)
	if len(near) == d.Tasks || !d.RelaxLocality && p.fitsEmptyDataRack(d) {
		return near
	}
	if d.Gang {
		chosen, _ := p.fitByPace(d, p.hosts, available)
		return chosen
	}
	rest := d
	rest.Tasks -= len(near)
	rest.TasksByHost = addTasks(d.TasksByHost, near)
	assigned := addTasks(nil, near)
	free := func(h *hostState) workload.Resources {
		a := available(h)
		for range assigned[h.Name] {
			a = a.Sub(d.Need)
		}
		return a
	}
	return append(near, p.bestFit(rest, p.hosts, nil, free)...)
}

// fitsEmptyDataRack reports whether the rack with the data fits the whole gang, or at
// least one task of a demand that is not a gang, once the work there has ended as in
// fitsEmptyRack.
func (p *planner) fitsEmptyDataRack(d Demand) bool {
	chosen := len(p.bestFit(d, p.racks[d.DataRack], nil, p.freeOnceEmptied(d.Rank)))
	return chosen == d.Tasks || !d.Gang && chosen > 0
}

// candidate is a host to which bestFit may assign tasks.
type candidate struct {
	host      *hostState
	free      workload.Resources
	stepTasks int // stepTasks counts the tasks of the step on the host, assigned ones included.
	assigned  int // assigned counts the tasks that this call assigns.
	avoided   bool
}

// accepts reports whether one more task may be assigned to the host.
func (c *candidate) accepts(d *Demand) bool {
	return c.free.Fits(d.Need) && (d.SpreadLimit == 0 || c.stepTasks < d.SpreadLimit) && (!c.host.OnProbation || c.assigned == 0)
}

// assign appends the host to the chosen ones and takes what a task of a demand needs.
func (c *candidate) assign(d *Demand, chosen []*hostState) []*hostState {
	c.free = c.free.Sub(d.Need)
	c.stepTasks++
	c.assigned++
	return append(chosen, c.host)
}

// bestFit assigns tasks one by one to the host with the fewest free accelerators and
// cores, so that whole hosts stay free for large tasks. Best-effort tasks are spread
// over the hosts with the most idle cores instead. For a gang it returns all or none.
// It considers the hosts of the given paces only, all if there are none.
func (p *planner) bestFit(d Demand, hosts []*hostState, paces []pace.Class, available func(*hostState) workload.Resources) []*hostState {
	candidates := p.candidates[:0]
	maxTasks := 0
	for _, h := range hosts {
		if paces != nil && !slices.Contains(paces, h.Pace) {
			continue
		}
		if free := available(h); free.Fits(d.Need) && usable(&d, h) {
			candidates = append(candidates, candidate{h, free, d.TasksByHost[h.Name], 0, d.AvoidedHosts.Has(h.Name)})
			maxTasks += free.FitCount(d.Need)
		}
	}
	p.candidates = candidates
	if d.Gang && maxTasks < d.Tasks || maxTasks == 0 {
		return nil
	}
	chosen := make([]*hostState, 0, min(d.Tasks, maxTasks))
	for best := bestCandidate(&d, candidates); best != nil && len(chosen) < d.Tasks; best = bestCandidate(&d, candidates) {
		chosen = best.assign(&d, chosen)
		for !d.BestEffort && len(chosen) < d.Tasks && best.accepts(&d) { // The tightest host stays the tightest.
			chosen = best.assign(&d, chosen)
		}
	}
	if d.Gang && len(chosen) < d.Tasks {
		return nil
	}
	return chosen
}

// bestCandidate returns the preferred candidate that accepts one more task, nil
// when none does.
func bestCandidate(d *Demand, candidates []candidate) *candidate {
	var best *candidate
	for i := range candidates {
		c := &candidates[i]
		if c.accepts(d) && (best == nil || c.preferredOver(best, d)) {
			best = c
		}
	}
	return best
}

// preferredOver reports whether a candidate comes before another one: hosts that are
// not avoided first, then by the preferred pace and by best fit, or for best-effort demands by the fewest tasks
// of the step, then the most idle cores.
func (c *candidate) preferredOver(o *candidate, d *Demand) bool {
	switch {
	case c.avoided != o.avoided:
		return o.avoided
	case !d.BestEffort:
		return cmp.Or(d.Pace.compare(c.host.Pace, o.host.Pace), compareFree(c.free, o.free)) < 0
	case c.stepTasks != o.stepTasks:
		return c.stepTasks < o.stepTasks
	default:
		return c.free.MilliCores > o.free.MilliCores
	}
}

// compareFree compares accelerators, then cores; memory does not count.
func compareFree(a, b workload.Resources) int {
	return cmp.Or(cmp.Compare(a.Accelerators, b.Accelerators), cmp.Compare(a.MilliCores, b.MilliCores))
}
