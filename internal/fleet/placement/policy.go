package placement

import (
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/organisation"
)

// Policy chooses places for gangs.
type Policy interface {
	// String returns the name used in settings and reports.
	String() string
	// place returns one worker for each member, or nil when the gang does not fit.
	place(m *model, shape organisation.Shape, member worker.Resources) []*node
}

// FirstFit takes the first workers in rack and name order that fit.
type FirstFit struct{}

// String returns the name used in settings and reports.
func (FirstFit) String() string { return "first-fit" }

func (FirstFit) place(m *model, shape organisation.Shape, member worker.Resources) []*node {
	for _, group := range m.groups(shape.Adjacency) {
		if place := fill(group, member, shape.Members); place != nil {
			return place
		}
	}
	return nil
}

// groups returns the sets of workers that the adjacency allows a gang to span.
func (m *model) groups(adjacency organisation.Adjacency) [][]*node {
	var groups [][]*node
	var all []*node
	for _, r := range m.racks {
		switch adjacency {
		case organisation.WithinWorker:
			for i := range r.nodes {
				groups = append(groups, r.nodes[i:i+1])
			}
		case organisation.WithinRack:
			groups = append(groups, r.nodes)
		default:
			all = append(all, r.nodes...)
		}
	}
	if all != nil {
		groups = append(groups, all)
	}
	return groups
}

// fill puts all members on the nodes in order, or returns nil.
func fill(nodes []*node, member worker.Resources, members int) []*node {
	var place []*node
	for _, n := range nodes {
		if !n.schedulable {
			continue
		}
		for range slots(n.available(), member, members-len(place)) {
			place = append(place, n)
		}
		if len(place) == members {
			return place
		}
	}
	return nil
}
