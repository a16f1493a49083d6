package allocation

import (
	"cmp"
	"maps"
	"slices"

	"wasabihoist/internal/fleet/workload"
)

// hostUsage is the resources that a unit uses on one host.
type hostUsage struct {
	hostIndex int
	used      workload.Resources
}

// preemptionTrial is a tentative preemption for one demand. Its slices are indexed
// by host or by unit.
type preemptionTrial struct {
	free             []workload.Resources // free holds what each host has after the preemptions and tasks so far.
	tasks            []int                // tasks counts the demand's tasks on each host.
	victims          []int                // victims holds the indices of the units to preempt.
	isPreempted      []bool               // isPreempted includes units preempted for earlier demands.
	preemptedInGroup map[int]int          // preemptedInGroup includes units preempted for earlier demands.
	cost             float64              // cost is the work that the victims lose, in core seconds.
	chosen           []*hostState
}

// preempt plans the preemption of less urgent units at the lowest cost so that a
// demand fits. It reserves the resources that their stops will release and returns
// the number of tasks that get hosts: none when no tasks would fit or the cost exceeds
// the limit of the demand.
func (p *planner) preempt(d Demand) int {
	best := p.cheapestPreemption(d)
	if best == nil && d.Gang && d.RackLocal {
		best = p.tryPreemption(d, p.hosts)
	}
	return p.carryOut(d, best)
}

// cheapestPreemption returns the cheapest preemption on one of the candidate sets of
// hosts, nil if the demand fits in none of them.
func (p *planner) cheapestPreemption(d Demand) *preemptionTrial {
	var best *preemptionTrial
	for _, hosts := range p.candidateHostSets(d) {
		trial := p.tryPreemption(d, hosts)
		if trial != nil && (best == nil || trial.cost < best.cost) {
			best = trial
		}
	}
	return best
}

// carryOut plans a preemption, unless it is nil or costs more than the demand permits.
// It returns the number of tasks that get hosts.
func (p *planner) carryOut(d Demand, best *preemptionTrial) int {
	if best == nil || d.MaxPreemptionCost > 0 && best.cost > d.MaxPreemptionCost {
		return 0
	}
	for _, i := range best.victims {
		p.isPreempted[i] = true
		p.preemptedInGroup[p.units[i].DisruptionGroup]++
		p.plan.Preempted = append(p.plan.Preempted, p.units[i].ID)
		p.plan.PreemptedFor[p.units[i].ID] = d.ID
		for _, usage := range p.usages[i] {
			p.hosts[usage.hostIndex].FutureFree = p.hosts[usage.hostIndex].FutureFree.Add(usage.used)
		}
	}
	p.reserveFuture(d, best.chosen)
	return len(best.chosen)
}

// candidateHostSets returns the sets of hosts to try for a demand: each rack for a
// rack-local gang, the rack with the data, or all hosts.
func (p *planner) candidateHostSets(d Demand) [][]*hostState {
	if !d.Gang || !d.RackLocal || d.Tasks == 1 {
		if rack := p.racks[d.DataRack]; d.DataRack != "" && len(rack) > 0 && !d.RelaxLocality {
			return [][]*hostState{rack}
		}
		return [][]*hostState{p.hosts}
	}
	var sets [][]*hostState
	for _, name := range p.rackNames {
		sets = append(sets, p.racks[name])
	}
	return sets
}

// tryPreemption plans a demand on the given hosts. It returns nil when the demand
// does not fit even if all less urgent units are preempted.
func (p *planner) tryPreemption(d Demand, hosts []*hostState) *preemptionTrial {
	reclaimable := func(h *hostState) workload.Resources { return p.reclaimable(h, d.Rank) }
	if fitting := len(p.bestFit(d, hosts, nil, reclaimable)); fitting == 0 || d.Gang && fitting < d.Tasks {
		return nil
	}
	trial := &preemptionTrial{
		free: make([]workload.Resources, len(p.hosts)), tasks: make([]int, len(p.hosts)), isPreempted: slices.Clone(p.isPreempted),
		preemptedInGroup: maps.Clone(p.preemptedInGroup),
	}
	for i, h := range p.hosts {
		trial.free[i] = h.FutureFree
	}
	for range d.Tasks {
		if !p.preemptForTask(d, hosts, trial) {
			if d.Gang || len(trial.chosen) == 0 {
				return nil
			}
			break
		}
	}
	return trial
}

// reclaimable returns what a host has free when all units that a rank may preempt
// are stopped.
func (p *planner) reclaimable(h *hostState, rank Rank) workload.Resources {
	sum := h.FutureFree
	for _, i := range h.units {
		if rank.mayPreempt(p.units[i].Rank) && !p.isPreempted[i] && p.mayDisrupt(i, p.preemptedInGroup[p.units[i].DisruptionGroup]) {
			sum = sum.Add(p.usedOn(i, h))
		}
	}
	return sum
}

// mayDisrupt reports whether the disruption budget of the unit permits one more
// stop after those of its group already planned.
func (p *planner) mayDisrupt(unit, preempted int) bool {
	u := p.units[unit]
	return u.DisruptionGroup == 0 || preempted < u.DisruptionsAllowed
}

// countInGroup counts the units with the given indices that are in the group.
func countInGroup(units []Unit, indices []int, group int) int {
	count := 0
	for _, i := range indices {
		if units[i].DisruptionGroup == group {
			count++
		}
	}
	return count
}

// usedOn returns the resources that a unit uses on a host.
func (p *planner) usedOn(unit int, h *hostState) workload.Resources {
	for _, usage := range p.usages[unit] {
		if usage.hostIndex == h.index {
			return usage.used
		}
	}
	return workload.Resources{}
}

// preemptForTask adds one more task to a trial, on the host with the lowest preemption
// cost. It reports false when the task fits on no host, or when it is not in a gang
// and costs more than an equal share of the cost limit.
func (p *planner) preemptForTask(d Demand, hosts []*hostState, trial *preemptionTrial) bool {
	var bestHost *hostState
	var bestVictims []int
	bestCost := 0.0
	for _, h := range hosts {
		if !usable(&d, h) || d.SpreadLimit > 0 && d.TasksByHost[h.Name]+trial.tasks[h.index] >= d.SpreadLimit {
			continue
		}
		victims, cost, ok := p.cheapestVictims(d, h, trial)
		if !ok {
			continue
		}
		better := bestHost == nil || cost < bestCost ||
			cost == bestCost && cmp.Or(d.Pace.compare(h.Pace, bestHost.Pace), compareFree(trial.free[h.index], trial.free[bestHost.index])) < 0
		if better {
			bestHost, bestVictims, bestCost = h, victims, cost
		}
	}
	if bestHost == nil || !d.Gang && d.MaxPreemptionCost > 0 && bestCost > d.MaxPreemptionCost/float64(d.Tasks) {
		return false
	}
	for _, i := range bestVictims {
		trial.isPreempted[i] = true
		trial.preemptedInGroup[p.units[i].DisruptionGroup]++
		trial.victims = append(trial.victims, i)
		for _, usage := range p.usages[i] {
			trial.free[usage.hostIndex] = trial.free[usage.hostIndex].Add(usage.used)
		}
	}
	trial.free[bestHost.index] = trial.free[bestHost.index].Sub(d.Need)
	trial.tasks[bestHost.index]++
	trial.cost += bestCost
	trial.chosen = append(trial.chosen, bestHost)
	return true
}

// cheapestVictims returns the units on a host to preempt for one more task, and
// their cost. It selects the cheapest units until the task fits, then spares those
// that turn out not to be needed, the most expensive first.
func (p *planner) cheapestVictims(d Demand, h *hostState, trial *preemptionTrial) (victims []int, cost float64, ok bool) {
	free := trial.free[h.index]
	if free.Fits(d.Need) {
		return nil, 0, true
	}
	for _, i := range p.unitsByCost(h) {
		if !d.Rank.mayPreempt(p.units[i].Rank) || trial.isPreempted[i] || !p.mayDisrupt(i, trial.preemptedInGroup[p.units[i].DisruptionGroup]+countInGroup(p.units, victims, p.units[i].DisruptionGroup)) {
			continue
		}
		free = free.Add(p.usedOn(i, h))
		victims = append(victims, i)
		if free.Fits(d.Need) {
			break
		}
	}
	if !free.Fits(d.Need) {
		return nil, 0, false
	}
	slices.SortFunc(victims, func(a, b int) int { return cmp.Compare(p.units[b].PreemptionCost, p.units[a].PreemptionCost) })
	needed := victims[:0]
	for _, i := range victims {
		if without := free.Sub(p.usedOn(i, h)); without.Fits(d.Need) {
			free = without
			continue
		}
		needed = append(needed, i)
		cost += p.units[i].PreemptionCost
	}
	return needed, cost, true
}
