package allocation

import (
	"cmp"
	"maps"
	"slices"

	"wasabihoist/internal/fleet/workload"
)

// part is what a unit uses on a host.
type part struct {
	room int // room is the index of the host.
	used workload.Resources
}

// clearing is a trial of stopping units to make room for a demand.
type clearing struct {
	left    []workload.Resources // left holds what every host has after the stops and the tasks so far.
	tasks   []int                // tasks counts the demand's tasks on each host.
	stopped []int                // stopped holds indices of units.
	isGone  []bool               // isGone holds for each unit whether it is stopped, here or before.
	sets    map[int]int          // sets counts the units of each set that are stopped, here or before.
	loss    float64
	chosen  []*room
}

// makeRoom stops units of a lower rank so that a demand fits, at the least
// loss, and returns for how many tasks. It does nothing when that is impossible.
func (p *planner) makeRoom(d Demand) int {
	var best *clearing
	for _, rooms := range p.sites(d) {
		c := p.clear(d, rooms)
		if c != nil && (best == nil || c.loss < best.loss) {
			best = c
		}
	}
	if best == nil && d.Gang && d.RackLocal {
		best = p.clear(d, p.rooms)
	}
	if best == nil || d.MaxPreemptionCost > 0 && best.loss > d.MaxPreemptionCost {
		return 0
	}
	for _, i := range best.stopped {
		p.isStopped[i] = true
		p.stopped[p.units[i].DisruptionGroup]++
		p.plan.Preempted = append(p.plan.Preempted, p.units[i].ID)
		p.plan.PreemptedFor[p.units[i].ID] = d.ID
		for _, q := range p.parts[i] {
			p.rooms[q.room].FutureFree = p.rooms[q.room].FutureFree.Add(q.used)
		}
	}
	p.setAside(d, best.chosen)
	return len(best.chosen)
}

// sites returns the sets of hosts that are tried for a demand.
func (p *planner) sites(d Demand) [][]*room {
	if !d.Gang || !d.RackLocal || d.Tasks == 1 {
		if rack := p.racks[d.Rack]; d.Rack != "" && len(rack) > 0 && !d.RelaxLocality {
			return [][]*room{rack}
		}
		return [][]*room{p.rooms}
	}
	var sites [][]*room
	for _, name := range p.names {
		sites = append(sites, p.racks[name])
	}
	return sites
}

// clear tries to place a demand on the given hosts. It returns nil when not
// even all units of lower ranks make enough room.
func (p *planner) clear(d Demand, rooms []*room) *clearing {
	everything := func(r *room) workload.Resources { return p.reclaimable(r, d.Rank) }
	if reach := len(fill(d, rooms, everything)); reach == 0 || d.Gang && reach < d.Tasks {
		return nil
	}
	c := &clearing{
		left: make([]workload.Resources, len(p.rooms)), tasks: make([]int, len(p.rooms)), isGone: slices.Clone(p.isStopped),
		sets: maps.Clone(p.stopped),
	}
	for i, r := range p.rooms {
		c.left[i] = r.FutureFree
	}
	for range d.Tasks {
		if !p.clearOne(d, rooms, c) {
			if d.Gang || len(c.chosen) == 0 {
				return nil
			}
			break
		}
	}
	return c
}

// reclaimable returns what a host has when all units that a rank may stop are
// gone.
func (p *planner) reclaimable(r *room, rank Rank) workload.Resources {
	sum := r.FutureFree
	for _, i := range r.units {
		if rank.mayStop(p.units[i].Rank) && !p.isStopped[i] && p.spares(i, p.stopped[p.units[i].DisruptionGroup]) {
			sum = sum.Add(p.usedOn(i, r))
		}
	}
	return sum
}

// spares reports whether one more unit of a set may be stopped after others.
func (p *planner) spares(unit, stopped int) bool {
	u := p.units[unit]
	return u.DisruptionGroup == 0 || stopped < u.DisruptionsAllowed
}

func countSet(units []Unit, list []int, set int) int {
	count := 0
	for _, i := range list {
		if units[i].DisruptionGroup == set {
			count++
		}
	}
	return count
}

// usedOn returns what a unit uses on a host.
func (p *planner) usedOn(unit int, r *room) workload.Resources {
	for _, q := range p.parts[unit] {
		if q.room == r.index {
			return q.used
		}
	}
	return workload.Resources{}
}

// clearOne makes room for one more task on the host where that costs least.
func (p *planner) clearOne(d Demand, rooms []*room, c *clearing) bool {
	var bestRoom *room
	var bestStops []int
	bestLoss := 0.0
	for _, r := range rooms {
		if !usable(d, r) || d.SpreadLimit > 0 && d.TasksByHost[r.Name]+c.tasks[r.index] >= d.SpreadLimit {
			continue
		}
		stops, loss, ok := p.cheapest(d, r, c)
		if !ok {
			continue
		}
		better := bestRoom == nil || loss < bestLoss ||
			loss == bestLoss && tighter(c.left[r.index], c.left[bestRoom.index])
		if better {
			bestRoom, bestStops, bestLoss = r, stops, loss
		}
	}
	if bestRoom == nil || !d.Gang && d.MaxPreemptionCost > 0 && bestLoss > d.MaxPreemptionCost/float64(d.Tasks) {
		return false
	}
	for _, i := range bestStops {
		c.isGone[i] = true
		c.sets[p.units[i].DisruptionGroup]++
		c.stopped = append(c.stopped, i)
		for _, q := range p.parts[i] {
			c.left[q.room] = c.left[q.room].Add(q.used)
		}
	}
	c.left[bestRoom.index] = c.left[bestRoom.index].Sub(d.Need)
	c.tasks[bestRoom.index]++
	c.loss += bestLoss
	c.chosen = append(c.chosen, bestRoom)
	return true
}

// cheapest returns the units on a host whose stop makes room for one more task.
// It takes the ones with the least loss and keeps those that turn out not to
// be needed, the dearest first.
func (p *planner) cheapest(d Demand, r *room, c *clearing) (stops []int, loss float64, ok bool) {
	left := c.left[r.index]
	if left.Fits(d.Need) {
		return nil, 0, true
	}
	for _, i := range r.units {
		if !d.Rank.mayStop(p.units[i].Rank) || c.isGone[i] || !p.spares(i, c.sets[p.units[i].DisruptionGroup]+countSet(p.units, stops, p.units[i].DisruptionGroup)) {
			continue
		}
		left = left.Add(p.usedOn(i, r))
		stops = append(stops, i)
		if left.Fits(d.Need) {
			break
		}
	}
	if !left.Fits(d.Need) {
		return nil, 0, false
	}
	slices.SortFunc(stops, func(a, b int) int { return cmp.Compare(p.units[b].PreemptionCost, p.units[a].PreemptionCost) })
	needed := stops[:0]
	for _, i := range stops {
		if without := left.Sub(p.usedOn(i, r)); without.Fits(d.Need) {
			left = without
			continue
		}
		needed = append(needed, i)
		loss += p.units[i].PreemptionCost
	}
	return needed, loss, true
}
