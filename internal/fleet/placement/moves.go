package placement

import (
	"cmp"
	"slices"

	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/organisation"
)

// move starts a running job at another place that has room, if there is one.
func (r *round) move(e *entry, reason string, gainer *entry) bool {
	if e.state != Running || len(e.place) != e.job.Shape.Members || e.onSilent() {
		return false
	}
	place := r.find(e, e.job.Shape.Adjacency, r.model.racks, r.now)
	if place == nil || slices.ContainsFunc(place, func(n *node) bool { return slices.Contains(e.place, n) }) {
		return false
	}
	return r.moveTo(e, place, reason, gainer)
}

// moveTo moves a running job. Its old place stays occupied until it has started
// again.
func (r *round) moveTo(e *entry, place []*node, reason string, gainer *entry) bool {
	if e.unit != 0 {
		shape := r.ledger.Shape(e.unit)
		if !same(shape, e.job.Shape) || !near(place, stricter(shape.Adjacency, e.job.Shape.Adjacency)) ||
			!withinShare(e, place) || !r.ledger.Hold(e.unit, names(expand(place, shape))) {
			return false
		}
	}
	r.charge(e, -1)
	e.from, e.place, e.state = e.place, place, Moving
	r.charge(e, 1)
	r.model.occupy(e, place)
	d := r.emit(Move, e, reason)
	d.Checkpoint, d.CheckpointTimeout = true, r.options.CheckpointTimeout
	if gainer != nil {
		d.Beneficiary = gainer.job.Identity
	}
	return true
}

// moveForSpace moves one job out of the rack with the most free accelerators
// when the larger gang that then fits there is worth the run time that the move
// costs.
func (r *round) moveForSpace() {
	if !r.policy.moves() || r.options.MoveInterval == 0 || r.now.Before(r.nextMove) {
		return
	}
	r.nextMove = r.now.Add(r.options.MoveInterval)
	var widest *rack
	for _, k := range r.model.racks {
		k.refresh()
		if widest == nil || k.free > widest.free {
			widest = k
		}
	}
	if widest == nil || widest.free == 0 {
		return
	}
	for _, e := range r.movable(widest) {
		if place := r.elsewhere(e, widest); place != nil &&
			r.moveTo(e, place, "joins free accelerators", nil) {
			return
		}
	}
}

// movable returns the jobs of the rack whose move pays, the largest first. A
// move gains the accelerators of the job for its remaining run time and loses
// them for the time of the move.
func (r *round) movable(k *rack) []*entry {
	var list []*entry
	for _, n := range k.nodes {
		for _, t := range n.tasks {
			e := t.entry
			pays := r.remaining(e).Seconds() >= r.options.MinMoveGain*r.options.MoveCost.Seconds()
			inside := !slices.ContainsFunc(e.place, func(o *node) bool { return o.rack != k })
			if e.state == Running && e.member.Accelerators > 0 && e.job.Idempotent && pays && inside && !e.onSilent() &&
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

// elsewhere returns a place in the other racks.
func (r *round) elsewhere(e *entry, k *rack) []*node {
	others := slices.DeleteFunc(slices.Clone(r.model.racks), func(o *rack) bool { return o == k })
	total := worker.Resources{Accelerators: e.job.Shape.Total()}
	others = slices.DeleteFunc(others, func(o *rack) bool { return o.free < total.Accelerators })
	if len(others) == 0 {
		return nil
	}
	adjacency := stricter(e.job.Shape.Adjacency, organisation.WithinRack)
	return r.find(e, adjacency, others, r.now)
}
