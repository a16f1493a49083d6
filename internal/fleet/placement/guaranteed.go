package placement

import (
	"slices"

	"wasabihoist/internal/tenancy/guarantee"
	"wasabihoist/internal/tenancy/organisation"
)

// startGuaranteedJobs starts jobs on the guaranteed shapes of their
// organisations. It looks only at organisations whose jobs or guarantees have
// changed.
func (r *round) startGuaranteedJobs() {
	for _, t := range r.tenantsByName {
		gained := t.retryOnGain && (r.rescanAll || len(r.model.gainedRacks) > 0)
		if !t.guaranteesDue && !gained {
			continue
		}
		if r.ledger.PredicateHolds() {
			// Not while another shape has no placement: the ledger could place it
			// on the accelerators of the released one, and a job of this
			// organisation would lose its guarantee.
			r.releasePartlyUsedShapes(t)
			r.reassignToSmallerShapes(t)
		}
		t.guaranteesDue, t.retryOnGain = false, false
		if r.ledger.AvailableUnits(t.name) > 0 {
			r.promoteBorrowedJobs(t)
			r.startGuaranteedJobsOf(t)
		}
	}
}

// startGuaranteedJobsOf starts waiting jobs of one organisation in queue
// order. After a job of a class fails, the other jobs of the class are skipped.
func (r *round) startGuaranteedJobsOf(t *tenant) {
	var failed []*class
	for at := 0; at < len(t.queue) && r.ledger.AvailableUnits(t.name) > 0; {
		e := t.queue[at]
		id, shape, ok := r.ledger.FindUnit(t.name, e.job.Shape)
		if !ok || !t.permits(e) || slices.Contains(failed, e.class) {
			at++
			continue
		}
		if !r.startGuaranteed(e, id, shape) {
			t.retryOnGain = true
			failed = append(failed, e.class)
			at++
		}
	}
}

// occupiesPartOfShape reports whether the job occupies a guaranteed shape that
// is larger than the job needs.
func (r *round) occupiesPartOfShape(e *entry) bool {
	return e.unit != 0 && !matchesWholeShape(r.ledger.Shape(e.unit), e.job.Shape)
}

// releasePartlyUsedShapes releases the guaranteed shapes that smaller jobs
// occupy when their organisation has a waiting job that uses the whole shape.
// The smaller jobs become borrowed.
func (r *round) releasePartlyUsedShapes(t *tenant) {
	for _, x := range t.active {
		if !r.occupiesPartOfShape(x) {
			continue
		}
		shape := r.ledger.Shape(x.unit)
		if slices.ContainsFunc(t.queue, func(e *entry) bool { return matchesWholeShape(shape, e.job.Shape) }) {
			r.releaseUnit(x)
		}
	}
}

// reassignToSmallerShapes lets smaller jobs occupy a smaller guaranteed shape that
// has become available, so that the larger one is free for a job that uses it
// whole. The jobs stay where they run. A job becomes borrowed if its placement does
// not suit the smaller shape.
func (r *round) reassignToSmallerShapes(t *tenant) {
	for _, x := range t.active {
		if !r.occupiesPartOfShape(x) || len(x.placement) != x.job.Shape.Members || x.state == Holding {
			continue
		}
		id, shape, ok := r.ledger.FindUnit(t.name, x.job.Shape)
		if !ok || shape.Total() >= r.ledger.Shape(x.unit).Total() {
			continue
		}
		if shape.Adjacency != organisation.WithinWorker && shape.Members != len(x.placement) {
			continue
		}
		r.releaseUnit(x)
		if r.ledger.Hold(id, workerNamesOf(placementOfShape(x.placement, shape))) {
			r.setHolder(x, id)
		}
	}
}

// setHolder records that the job holds the guaranteed shape.
func (p *Planner) setHolder(e *entry, id guarantee.UnitID) {
	e.unit = id
	p.unitHolders[id] = e
}

// promoteBorrowedJobs makes running borrowed jobs guaranteed: they occupy guaranteed
// shapes that are available.
func (r *round) promoteBorrowedJobs(t *tenant) {
	for _, e := range t.active {
		if e.unit != 0 || (e.state != Running && e.state != Starting) || len(e.placement) != e.job.Shape.Members {
			continue
		}
		id, shape, ok := r.ledger.FindUnit(t.name, e.job.Shape)
		if !ok || !matchesWholeShape(shape, e.job.Shape) || !isWithinProportionalShare(e, e.placement) {
			continue
		}
		if r.ledger.Hold(id, workerNamesOf(placementOfShape(e.placement, shape))) {
			r.setHolder(e, id)
		}
	}
}

// matchesWholeShape reports whether a job of the wanted shape uses the whole
// guaranteed shape.
func matchesWholeShape(guaranteed, wanted organisation.Shape) bool {
	if guaranteed.Adjacency == organisation.WithinWorker && wanted.Adjacency == organisation.WithinWorker {
		return guaranteed.Total() == wanted.Total()
	}
	return guaranteed.Members == wanted.Members && guaranteed.Accelerators == wanted.Accelerators
}

// placementOfShape converts the placement of a job that uses the whole
// guaranteed shape into the placement of the shape. Within one worker, the two
// may divide the accelerators into different numbers of members.
func placementOfShape(placement []*node, shape organisation.Shape) []*node {
	if len(placement) == shape.Members {
		return placement
	}
	return slices.Repeat(placement[:1], shape.Members)
}
