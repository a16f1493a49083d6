package placement

import (
	"cmp"
	"slices"

	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/organisation"
)

// moveElsewhere moves a running job to another placement that is free, if there is
// one. It reports whether the move was decided.
func (r *round) moveElsewhere(e *entry, reason string, beneficiary *entry) bool {
	if e.state != Running || len(e.placement) != e.job.Shape.Members || e.isOnSilentWorker() {
		return false
	}
	placement := r.findPlacement(e, e.job.Shape.Adjacency, r.model.racks, r.now)
	if placement == nil || slices.ContainsFunc(placement, func(n *node) bool { return slices.Contains(e.placement, n) }) {
		return false
	}
	return r.moveTo(e, placement, reason, beneficiary)
}

// moveTo moves a running job. The job occupies its old placement until it has
// started at the new one. moveTo reports whether the move was decided; it is not if
// the guarantee of the job does not allow the new placement.
func (r *round) moveTo(e *entry, placement []*node, reason string, beneficiary *entry) bool {
	if e.unit != 0 {
		shape := r.ledger.Shape(e.unit)
		if !matchesWholeShape(shape, e.job.Shape) || !isWithinAdjacency(placement, narrower(shape.Adjacency, e.job.Shape.Adjacency)) ||
			!isWithinProportionalShare(e, placement) || !r.ledger.Hold(e.unit, workerNamesOf(placementOfShape(placement, shape))) {
			return false
		}
	}
	r.addUsage(e, -1)
	e.oldPlacement, e.placement, e.state = e.placement, placement, Moving
	r.addUsage(e, 1)
	r.model.allocate(e, placement)
	d := r.emit(Move, e, reason)
	d.Checkpoint, d.CheckpointTimeout = true, r.options.CheckpointTimeout
	if beneficiary != nil {
		d.Beneficiary = beneficiary.job.Identity
	}
	return true
}

// defragment moves one job out of the rack with the most free accelerators, if
// the larger gang that fits there afterwards is worth the run time lost by the
// move.
func (r *round) defragment() {
	if !r.policy.movesJobs() || r.options.MoveInterval == 0 || r.now.Before(r.nextMove) {
		return
	}
	r.nextMove = r.now.Add(r.options.MoveInterval)
	var mostFree *rack
	for _, k := range r.model.racks {
		k.refreshCache()
		if mostFree == nil || k.freeAccelerators > mostFree.freeAccelerators {
			mostFree = k
		}
	}
	if mostFree == nil || mostFree.freeAccelerators == 0 {
		return
	}
	for _, e := range r.jobsWorthMoving(mostFree) {
		if placement := r.findOutsideRack(e, mostFree); placement != nil &&
			r.moveTo(e, placement, "joins free accelerators", nil) {
			return
		}
	}
}

// jobsWorthMoving returns the jobs of the rack that are worth a move, the
// largest first. A move gains the accelerators of the job for its remaining
// run time and loses them for the time of the move.
func (r *round) jobsWorthMoving(k *rack) []*entry {
	var list []*entry
	for _, n := range k.nodes {
		for _, t := range n.jobs {
			e := t.entry
			worthwhile := r.remainingRunTime(e).Seconds() >= r.options.MinMoveGain*r.options.MoveCost.Seconds()
			inside := !slices.ContainsFunc(e.placement, func(o *node) bool { return o.rack != k })
			if e.state == Running && e.member.Accelerators > 0 && e.job.Idempotent && worthwhile && inside && !e.isOnSilentWorker() &&
				!slices.Contains(list, e) {
				list = append(list, e)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b *entry) int {
		return cmp.Compare(b.job.Shape.Total(), a.job.Shape.Total())
	})
	return list
}

// findOutsideRack returns a placement within one of the other racks, or nil.
func (r *round) findOutsideRack(e *entry, k *rack) []*node {
	others := slices.DeleteFunc(slices.Clone(r.model.racks), func(o *rack) bool { return o == k })
	total := worker.Resources{Accelerators: e.job.Shape.Total()}
	others = slices.DeleteFunc(others, func(o *rack) bool { return o.freeAccelerators < total.Accelerators })
	if len(others) == 0 {
		return nil
	}
	adjacency := narrower(e.job.Shape.Adjacency, organisation.WithinRack)
	return r.findPlacement(e, adjacency, others, r.now)
}
