package placement

import (
	"cmp"
	"slices"
	"time"

	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/organisation"
)

// find returns the place that the policy prefers on what is available in the
// given racks, or nil. It respects the reservations of other jobs. Workers on
// which the job failed to start are taken only when there is no other place.
func (p *Planner) find(e *entry, adjacency organisation.Adjacency, racks []*rack, now time.Time) []*node {
	place := p.findElsewhere(e, adjacency, racks, now)
	if place != nil || len(e.avoid) == 0 {
		return place
	}
	avoid := e.avoid
	e.avoid = nil
	place = p.findElsewhere(e, adjacency, racks, now)
	e.avoid = avoid
	return place
}

// findElsewhere is find without the workers on which the job failed to start.
func (p *Planner) findElsewhere(e *entry, adjacency organisation.Adjacency, racks []*rack, now time.Time) []*node {
	shape := e.job.Shape
	switch {
	case shape.Members == 1 || adjacency == organisation.WithinWorker:
		return p.findWorker(e, racks, now)
	case adjacency == organisation.WithinRack:
		return p.findRack(e, racks, now)
	}
	return p.findAnywhere(e, now)
}

// open reports whether the job may take room on the worker.
func (n *node) open(e *entry, now time.Time) bool {
	if !n.schedulable || slices.Contains(e.avoid, n) {
		return false
	}
	r := n.reservation
	return r == nil || r.entry == e || !now.Add(e.runTime).After(r.until)
}

func (p *Planner) findWorker(e *entry, racks []*rack, now time.Time) []*node {
	members := e.job.Shape.Members
	need := times(e.member, members)
	var best *node
	lowest := 0.0
	for _, r := range racks {
		r.refresh()
		if !fits(need, r.most) {
			continue
		}
		for _, n := range r.nodes {
			if !n.open(e, now) || !fits(need, n.available()) {
				continue
			}
			cost := p.policy.cost(workerCandidate(n, need), &p.options)
			if best == nil || cost < lowest {
				best, lowest = n, cost
			}
			if p.policy.first() {
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
	n.rack.refresh()
	return candidate{takes: need.Accelerators, capacity: n.worker.Capacity.Accelerators,
		free: max(n.available().Accelerators, 0), rackFree: n.rack.free}
}

func (p *Planner) findRack(e *entry, racks []*rack, now time.Time) []*node {
	shape := e.job.Shape
	var best *rack
	lowest := 0.0
	for _, r := range racks {
		r.refresh()
		if !fits(e.member, r.most) || r.free < shape.Total() {
			continue
		}
		count := 0
		for _, n := range r.nodes {
			if n.open(e, now) {
				count += slots(n.available(), e.member, shape.Members)
			}
		}
		if count < shape.Members {
			continue
		}
		cost := p.policy.cost(candidate{takes: shape.Total(), free: r.free, rackFree: r.free}, &p.options)
		if best == nil || cost < lowest {
			best, lowest = r, cost
		}
		if p.policy.first() {
			break
		}
	}
	if best == nil {
		return nil
	}
	return p.fill(e, best.nodes, now)
}

func (p *Planner) findAnywhere(e *entry, now time.Time) []*node {
	if p.model.roomFor(e.member) < e.job.Shape.Members {
		return nil
	}
	var nodes []*node
	count := 0
	for _, r := range p.model.racks {
		r.refresh()
		if !fits(e.member, r.most) {
			continue
		}
		for _, n := range r.nodes {
			if !n.open(e, now) {
				continue
			}
			if c := slots(n.available(), e.member, e.job.Shape.Members); c > 0 {
				nodes = append(nodes, n)
				count += c
			}
		}
		if p.policy.first() && count >= e.job.Shape.Members {
			break
		}
	}
	if count < e.job.Shape.Members {
		return nil
	}
	return p.fill(e, nodes, now)
}

// fill puts all members on the nodes, the cheapest nodes first.
func (p *Planner) fill(e *entry, nodes []*node, now time.Time) []*node {
	type choice struct {
		node  *node
		slots int
		cost  float64
	}
	members := e.job.Shape.Members
	choices := make([]choice, 0, len(nodes))
	for _, n := range nodes {
		if !n.open(e, now) {
			continue
		}
		if c := slots(n.available(), e.member, members); c > 0 {
			cost := p.policy.cost(workerCandidate(n, times(e.member, c)), &p.options)
			choices = append(choices, choice{n, c, cost})
		}
	}
	slices.SortStableFunc(choices, func(a, b choice) int { return cmp.Compare(a.cost, b.cost) })
	place := make([]*node, 0, members)
	for _, c := range choices {
		for range min(c.slots, members-len(place)) {
			place = append(place, c.node)
		}
	}
	if len(place) < members {
		return nil
	}
	return place
}

// stricter returns the closer of two adjacencies.
func stricter(a, b organisation.Adjacency) organisation.Adjacency { return min(a, b) }
