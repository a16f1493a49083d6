package allocation

import "wasabihoist/internal/fleet/workload"

// choose returns a host for each task, as many as there is room for; for a gang
// all or none. available says what counts as room.
func (p *planner) choose(d Demand, available func(*room) workload.Resources) []*room {
	switch {
	case d.Gang && d.RackLocal && d.Tasks > 1:
		return p.chooseRack(d, available)
	case d.Rack != "":
		return p.chooseNear(d, available)
	default:
		return fill(d, p.rooms, available)
	}
}

// chooseRack looks for one rack that holds the whole gang and takes the one
// where the least is left over. A gang too large for any rack, or one that may
// be far, is spread.
func (p *planner) chooseRack(d Demand, available func(*room) workload.Resources) []*room {
	var best []*room
	bestLeft := 0
	for _, name := range p.names {
		chosen := fill(d, p.racks[name], available)
		if len(chosen) < d.Tasks {
			continue
		}
		left := -d.Tasks * d.Need.Accelerators
		for _, r := range p.racks[name] {
			left += available(r).Accelerators
		}
		if name == d.Rack {
			return chosen
		}
		if best == nil || left < bestLeft {
			best, bestLeft = chosen, left
		}
	}
	if best != nil && (d.Rack == "" || d.RelaxLocality) {
		return best
	}
	if d.RelaxLocality || !p.rackCanHold(d) {
		return fill(d, p.rooms, available)
	}
	return nil
}

// rackCanHold reports whether some rack could hold the gang if it were empty.
func (p *planner) rackCanHold(d Demand) bool {
	empty := func(r *room) workload.Resources { return r.Capacity }
	for _, name := range p.names {
		if len(fill(d, p.racks[name], empty)) == d.Tasks {
			return true
		}
	}
	return false
}

// chooseNear prefers the rack with the data.
func (p *planner) chooseNear(d Demand, available func(*room) workload.Resources) []*room {
	near := fill(d, p.racks[d.Rack], available)
	if len(near) == d.Tasks || !d.RelaxLocality && p.nearCanHold(d) {
		return near
	}
	if d.Gang {
		return fill(d, p.rooms, available)
	}
	rest := d
	rest.Tasks -= len(near)
	rest.TasksByHost = withPresent(d.TasksByHost, near)
	taken := withPresent(nil, near)
	left := func(r *room) workload.Resources {
		a := available(r)
		for range taken[r.Name] {
			a = a.Sub(d.Need)
		}
		return a
	}
	return append(near, fill(rest, p.rooms, left)...)
}

// nearCanHold reports whether the rack with the data could hold the demand, or
// for single tasks one of them, if it were empty.
func (p *planner) nearCanHold(d Demand) bool {
	empty := func(r *room) workload.Resources { return r.Capacity }
	chosen := len(fill(d, p.racks[d.Rack], empty))
	return chosen == d.Tasks || !d.Gang && chosen > 0
}

// candidate is a host that may take tasks of a demand.
type candidate struct {
	r     *room
	left  workload.Resources
	here  int // here counts the step's tasks on the host.
	given int // given counts those that are given to it now.
}

// takes reports whether the host may take one more task.
func (c *candidate) takes(d Demand) bool {
	return c.left.Fits(d.Need) && (d.SpreadLimit == 0 || c.here < d.SpreadLimit) && (!c.r.OnProbation || c.given == 0)
}

// fill gives tasks to hosts one by one, each to the host where the fewest
// accelerators and cores are left over, so that whole hosts stay free. For a
// gang it returns all or none.
func fill(d Demand, rooms []*room, available func(*room) workload.Resources) []*room {
	candidates := make([]candidate, 0, len(rooms))
	reach := 0
	for _, r := range rooms {
		if left := available(r); left.Fits(d.Need) && usable(d, r) {
			candidates = append(candidates, candidate{r, left, d.TasksByHost[r.Name], 0})
			reach += left.FitCount(d.Need)
		}
	}
	if d.Gang && reach < d.Tasks || reach == 0 {
		return nil
	}
	chosen := make([]*room, 0, d.Tasks)
	for range d.Tasks {
		best := tightest(d, candidates)
		if best == nil {
			break
		}
		best.left = best.left.Sub(d.Need)
		best.here++
		best.given++
		chosen = append(chosen, best.r)
	}
	if d.Gang && len(chosen) < d.Tasks {
		return nil
	}
	return chosen
}

// tightest returns the candidate with the least left over that takes one more
// task, nil when none does.
func tightest(d Demand, candidates []candidate) *candidate {
	var best *candidate
	for i := range candidates {
		c := &candidates[i]
		if c.takes(d) && (best == nil || c.better(best, d)) {
			best = c
		}
	}
	return best
}

// better reports whether a candidate is to be taken before another one.
func (c *candidate) better(o *candidate, d Demand) bool {
	switch {
	case !d.BestEffort:
		return tighter(c.left, o.left)
	case c.here != o.here:
		return c.here < o.here
	default:
		return c.left.MilliCores > o.left.MilliCores
	}
}

func tighter(a, b workload.Resources) bool {
	if a.Accelerators != b.Accelerators {
		return a.Accelerators < b.Accelerators
	}
	return a.MilliCores < b.MilliCores
}
