package placement

import (
	"slices"

	"wasabihoist/internal/tenancy/guarantee"
	"wasabihoist/internal/tenancy/organisation"
)

// useGuarantees starts jobs within the guarantees of their organisations. It
// looks only at organisations whose jobs or guarantees have changed.
func (r *round) useGuarantees() {
	for _, t := range r.order {
		gained := t.retry && (r.rescan || len(r.model.dirty) > 0)
		if !t.changed && !gained {
			continue
		}
		if r.ledger.Holds() {
			// A shape that is let go of while another has no place could be
			// given to that one, and the job would lose its guarantee.
			r.yield(t)
			r.refit(t)
		}
		t.changed, t.retry = false, false
		if r.ledger.AvailableUnits(t.name) > 0 {
			r.promote(t)
			r.useGuaranteesOf(t)
		}
	}
}

// useGuaranteesOf starts waiting jobs of one organisation in their order. Of
// jobs that need the same place only the first that fails is tried.
func (r *round) useGuaranteesOf(t *tenant) {
	var failed []*class
	for at := 0; at < len(t.queue) && r.ledger.AvailableUnits(t.name) > 0; {
		e := t.queue[at]
		id, shape, ok := r.ledger.Find(t.name, e.job.Shape)
		if !ok || !t.permits(e) || slices.Contains(failed, e.class) {
			at++
			continue
		}
		if !r.guarantee(e, id, shape) {
			t.retry = true
			failed = append(failed, e.class)
			at++
		}
	}
}

// smaller reports whether the job occupies a guaranteed shape without taking it
// whole.
func (r *round) smaller(e *entry) bool {
	return e.unit != 0 && !same(r.ledger.Shape(e.unit), e.job.Shape)
}

// yield takes guaranteed shapes away from smaller jobs when their organisation
// has a waiting job that takes the shape whole. The smaller jobs become borrowed.
func (r *round) yield(t *tenant) {
	for _, x := range t.active {
		if !r.smaller(x) {
			continue
		}
		shape := r.ledger.Shape(x.unit)
		if slices.ContainsFunc(t.queue, func(e *entry) bool { return same(shape, e.job.Shape) }) {
			r.releaseUnit(x)
		}
	}
}

// refit lets smaller jobs occupy a smaller guaranteed shape that has become
// unheld, so that the larger one is there for a job that takes it whole. A job
// whose place cannot be the place of the smaller shape becomes borrowed.
func (r *round) refit(t *tenant) {
	for _, x := range t.active {
		if !r.smaller(x) || len(x.place) != x.job.Shape.Members || x.state == Holding {
			continue
		}
		id, shape, ok := r.ledger.Find(t.name, x.job.Shape)
		if !ok || shape.Total() >= r.ledger.Shape(x.unit).Total() {
			continue
		}
		if shape.Adjacency != organisation.WithinWorker && shape.Members != len(x.place) {
			continue
		}
		r.releaseUnit(x)
		if r.ledger.Hold(id, names(expand(x.place, shape))) {
			r.own(x, id)
		}
	}
}

// own records that the job holds the unit.
func (p *Planner) own(e *entry, id guarantee.UnitID) {
	e.unit = id
	p.holders[id] = e
}

// promote lets running borrowed jobs occupy guaranteed shapes that are unheld.
func (r *round) promote(t *tenant) {
	for _, e := range t.active {
		if e.unit != 0 || (e.state != Running && e.state != Starting) || len(e.place) != e.job.Shape.Members {
			continue
		}
		id, shape, ok := r.ledger.Find(t.name, e.job.Shape)
		if !ok || !same(shape, e.job.Shape) || !withinShare(e, e.place) {
			continue
		}
		if r.ledger.Hold(id, names(expand(e.place, shape))) {
			r.own(e, id)
		}
	}
}

// same reports whether a job of the wanted shape takes the guaranteed shape
// whole.
func same(guaranteed, wanted organisation.Shape) bool {
	if guaranteed.Adjacency == organisation.WithinWorker && wanted.Adjacency == organisation.WithinWorker {
		return guaranteed.Total() == wanted.Total()
	}
	return guaranteed.Members == wanted.Members && guaranteed.Accelerators == wanted.Accelerators
}

// expand returns the place of a guaranteed shape for the place of a job that
// takes it whole. Shapes within a worker may be cut into members differently.
func expand(place []*node, shape organisation.Shape) []*node {
	if len(place) == shape.Members {
		return place
	}
	return slices.Repeat(place[:1], shape.Members)
}
