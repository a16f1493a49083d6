package allocation

import (
	"slices"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/workload"
)

// clearing is a trial of stopping units to make room for a demand.
type clearing struct {
	gained  map[string]workload.Resources // gained holds what stopped units give back on each host.
	used    map[string]workload.Resources // used holds what the demand takes on each host.
	tasks   map[string]int                // tasks counts the demand's tasks on each host.
	stopped collection.Set[int]
	loss    float64
	chosen  []*room
}

// makeRoom stops units of a lower rank so that a demand fits, at the least
// loss. It does nothing when that is impossible.
func (p *planner) makeRoom(d Demand) {
	var best *clearing
	for _, rooms := range p.sites(d) {
		c := p.clear(d, rooms)
		if c != nil && (best == nil || c.loss < best.loss) {
			best = c
		}
	}
	if best == nil && d.Gang && d.Local {
		best = p.clear(d, p.rooms)
	}
	if best == nil {
		return
	}
	for _, i := range best.stopped.Sorted() {
		p.stopped.Add(i)
		p.plan.Stops = append(p.plan.Stops, p.units[i].ID)
	}
	for name, gained := range best.gained {
		if r := p.byName[name]; r != nil { // A part may be on a host that is not known yet.
			r.Soon = r.Soon.Add(gained)
		}
	}
	p.setAside(d, best.chosen)
}

// sites returns the sets of hosts that are tried for a demand.
func (p *planner) sites(d Demand) [][]*room {
	if !d.Gang || !d.Local || d.Tasks == 1 {
		if rack := p.racks[d.Rack]; d.Rack != "" && len(rack) > 0 && !d.Far {
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
	c := &clearing{
		gained: make(map[string]workload.Resources), used: make(map[string]workload.Resources),
		tasks: make(map[string]int), stopped: collection.NewSet[int](),
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

// clearOne makes room for one more task on the host where that costs least.
func (p *planner) clearOne(d Demand, rooms []*room, c *clearing) bool {
	var bestRoom *room
	var bestStops []int
	bestLoss := 0.0
	for _, r := range rooms {
		if !usable(d, r) || d.SpreadLimit > 0 && d.Present[r.Name]+c.tasks[r.Name] >= d.SpreadLimit {
			continue
		}
		stops, loss, ok := p.cheapest(d, r, c)
		if !ok {
			continue
		}
		better := bestRoom == nil || loss < bestLoss ||
			loss == bestLoss && tighter(c.left(r), c.left(bestRoom))
		if better {
			bestRoom, bestStops, bestLoss = r, stops, loss
		}
	}
	if bestRoom == nil {
		return false
	}
	for _, i := range bestStops {
		c.stopped.Add(i)
		for name, part := range p.units[i].Parts {
			c.gained[name] = c.gained[name].Add(part)
		}
	}
	c.used[bestRoom.Name] = c.used[bestRoom.Name].Add(d.Need)
	c.tasks[bestRoom.Name]++
	c.loss += bestLoss
	c.chosen = append(c.chosen, bestRoom)
	return true
}

func (c *clearing) left(r *room) workload.Resources {
	return r.Soon.Add(c.gained[r.Name]).Sub(c.used[r.Name])
}

// cheapest returns the units on a host whose stop makes room for one more task.
// It takes the least urgent ones first and keeps those that turn out not to be
// needed, the dearest first.
func (p *planner) cheapest(d Demand, r *room, c *clearing) (stops []int, loss float64, ok bool) {
	left := c.left(r)
	if left.Fits(d.Need) {
		return nil, 0, true
	}
	var candidates []int
	for _, i := range r.units {
		if d.Rank.mayStop(p.units[i].Rank) && !p.stopped.Has(i) && !c.stopped.Has(i) {
			candidates = append(candidates, i)
		}
	}
	slices.SortFunc(candidates, func(a, b int) int {
		ua, ub := p.units[a], p.units[b]
		if ua.Rank != ub.Rank {
			return int(ub.Rank - ua.Rank)
		}
		return compareFloats(ua.Loss, ub.Loss)
	})
	for _, i := range candidates {
		if left.Fits(d.Need) {
			break
		}
		left = left.Add(p.units[i].Parts[r.Name])
		stops = append(stops, i)
	}
	if !left.Fits(d.Need) {
		return nil, 0, false
	}
	slices.SortFunc(stops, func(a, b int) int { return compareFloats(p.units[b].Loss, p.units[a].Loss) })
	needed := stops[:0]
	for _, i := range stops {
		if without := left.Sub(p.units[i].Parts[r.Name]); without.Fits(d.Need) {
			left = without
			continue
		}
		needed = append(needed, i)
		loss += p.units[i].Loss
	}
	return needed, loss, true
}

func compareFloats(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
