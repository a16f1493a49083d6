package placement

import (
	"cmp"
	"slices"
	"time"

	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/organisation"
)

// findPlacement returns the free placement in the given racks that the policy
// prefers, or nil. For a gang within the data centre it searches all racks,
// whichever are given. findPlacement respects the reservations of other jobs. Workers
// on which the job failed to start are used only when nothing else fits.
func (p *Planner) findPlacement(e *entry, adjacency organisation.Adjacency, racks []*rack, now time.Time) []*node {
	placement := p.findAvoidingFailures(e, adjacency, racks, now)
	if placement != nil || len(e.avoid) == 0 {
		return placement
	}
	avoid := e.avoid
	e.avoid = nil
	placement = p.findAvoidingFailures(e, adjacency, racks, now)
	e.avoid = avoid
	return placement
}

// findAvoidingFailures is findPlacement without the workers on which the job
// failed to start.
func (p *Planner) findAvoidingFailures(e *entry, adjacency organisation.Adjacency, racks []*rack, now time.Time) []*node {
	shape := e.job.Shape
	switch {
	case shape.Members == 1 || adjacency == organisation.WithinWorker:
		return p.findOnWorker(e, racks, now)
	case adjacency == organisation.WithinRack:
		return p.findInRack(e, racks, now)
	}
	return p.findAnywhere(e, now)
}

// accepts reports whether the job may use free resources of the worker.
func (n *node) accepts(e *entry, now time.Time) bool {
	if !n.schedulable || slices.Contains(e.avoid, n) {
		return false
	}
	r := n.reservation
	return r == nil || r.entry == e || !now.Add(e.runTime).After(r.expectedStart)
}

func (p *Planner) findOnWorker(e *entry, racks []*rack, now time.Time) []*node {
	members := e.job.Shape.Members
	need := multiply(e.member, members)
	var best *node
	lowest := 0.0
	for _, r := range racks {
		r.refreshCache()
		if !fitsIn(need, r.maxAvailable) {
			continue
		}
		for _, n := range r.nodes {
			if !n.accepts(e, now) || !fitsIn(need, n.available()) {
				continue
			}
			cost := p.policy.cost(workerCandidate(n, need), &p.options)
			if best == nil || cost < lowest {
				best, lowest = n, cost
			}
			if p.policy.takesFirstFit() {
				return slices.Repeat([]*node{best}, members)
			}
		}
	}
	if best == nil {
		return nil
	}
	return slices.Repeat([]*node{best}, members)
}

func workerCandidate(n *node, need worker.Resources) candidate {
	n.rack.refreshCache()
	return candidate{required: need.Accelerators, capacity: n.worker.Capacity.Accelerators,
		free: max(n.available().Accelerators, 0), rackFree: n.rack.freeAccelerators}
}

func (p *Planner) findInRack(e *entry, racks []*rack, now time.Time) []*node {
	shape := e.job.Shape
	var best *rack
	lowest := 0.0
	for _, r := range racks {
		r.refreshCache()
		if !fitsIn(e.member, r.maxAvailable) || r.freeAccelerators < shape.Total() {
			continue
		}
		count := 0
		for _, n := range r.nodes {
			if n.accepts(e, now) {
				count += slots(n.available(), e.member, shape.Members)
			}
		}
		if count < shape.Members {
			continue
		}
		cost := p.policy.cost(candidate{required: shape.Total(), free: r.freeAccelerators, rackFree: r.freeAccelerators}, &p.options)
		if best == nil || cost < lowest {
			best, lowest = r, cost
		}
		if p.policy.takesFirstFit() {
			break
		}
	}
	if best == nil {
		return nil
	}
	return p.placeMembers(e, best.nodes, now)
}

func (p *Planner) findAnywhere(e *entry, now time.Time) []*node {
	if p.model.countSlots(e.member) < e.job.Shape.Members {
		return nil
	}
	var nodes []*node
	count := 0
	for _, r := range p.model.racks {
		r.refreshCache()
		if !fitsIn(e.member, r.maxAvailable) {
			continue
		}
		for _, n := range r.nodes {
			if !n.accepts(e, now) {
				continue
			}
			if c := slots(n.available(), e.member, e.job.Shape.Members); c > 0 {
				nodes = append(nodes, n)
				count += c
			}
		}
		if p.policy.takesFirstFit() && count >= e.job.Shape.Members {
			break
		}
	}
	if count < e.job.Shape.Members {
		return nil
	}
	return p.placeMembers(e, nodes, now)
}

// placeMembers assigns all members to the nodes, in order of cost, or returns nil when
// they do not fit.
func (p *Planner) placeMembers(e *entry, nodes []*node, now time.Time) []*node {
	type choice struct {
		node  *node
		slots int
		cost  float64
	}
	members := e.job.Shape.Members
	choices := make([]choice, 0, len(nodes))
	for _, n := range nodes {
		if !n.accepts(e, now) {
			continue
		}
		if c := slots(n.available(), e.member, members); c > 0 {
			cost := p.policy.cost(workerCandidate(n, multiply(e.member, c)), &p.options)
			choices = append(choices, choice{n, c, cost})
		}
	}
	slices.SortStableFunc(choices, func(a, b choice) int { return cmp.Compare(a.cost, b.cost) })
	placement := make([]*node, 0, members)
	for _, c := range choices {
		for range min(c.slots, members-len(placement)) {
			placement = append(placement, c.node)
		}
	}
	if len(placement) < members {
		return nil
	}
	return placement
}

// narrower returns the narrower of two adjacencies.
func narrower(a, b organisation.Adjacency) organisation.Adjacency { return min(a, b) }
