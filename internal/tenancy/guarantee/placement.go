package guarantee

import (
	"cmp"
	"slices"

	"wasabihoist/internal/tenancy/organisation"
)

// assignPlacement sets the placement of an unplaced unit and reserves its
// accelerators.
func (l *Ledger) assignPlacement(u *unit, placement []*bin) {
	if u.placement == nil && placement != nil {
		l.unplaced--
	}
	u.placement = placement
	for _, b := range placement {
		b.reserved += u.shape.Accelerators
	}
}

// clearPlacement removes the placement of the unit.
func (l *Ledger) clearPlacement(u *unit) {
	if u.placement == nil {
		return
	}
	for _, b := range u.placement {
		b.reserved -= u.shape.Accelerators
	}
	u.placement = nil
	l.unplaced++
}

// countUnplaced recomputes the number of unplaced units.
func (l *Ledger) countUnplaced() {
	l.unplaced = 0
	for _, u := range l.units {
		if u.placement == nil {
			l.unplaced++
		}
	}
}

// heldFits reports whether the held units on the given workers are within their
// capacity.
func (l *Ledger) heldFits(placement []*bin) bool {
	for _, b := range placement {
		held := 0
		if b.reserved <= b.worker.Accelerators {
			continue
		}
		for _, u := range l.units {
			if !u.held {
				continue
			}
			for _, o := range u.placement {
				if o == b {
					held += u.shape.Accelerators
				}
			}
		}
		if held > b.worker.Accelerators {
			return false
		}
	}
	return true
}

// evict clears the placements of the units that are not held and use one of the
// given workers with more accelerators reserved than it has. It returns these units.
func (l *Ledger) evict(placement []*bin) []*unit {
	var evicted []*unit
	for _, u := range l.units {
		if u.held || u.placement == nil {
			continue
		}
		over := func(b *bin) bool { return b.reserved > b.worker.Accelerators && slices.Contains(placement, b) }
		if slices.ContainsFunc(u.placement, over) {
			l.clearPlacement(u)
			evicted = append(evicted, u)
		}
	}
	return evicted
}

// placeUnits finds placements for the given units. It first keeps the placements of
// all others, with a quarter of the step limit. If that fails, it searches again, with
// the full limit, for all units that are not held. If that
// fails too, it places as many of the given units as it can, in order, and returns
// false.
func (l *Ledger) placeUnits(units []*unit) bool {
	if len(units) == 0 {
		return true
	}
	if ok, _ := l.tryPlace(units, l.stepLimit/4); ok {
		return true
	}
	saved := l.savePlacements()
	all := slices.Clone(units)
	for _, u := range l.units {
		if !u.held && u.placement != nil {
			l.clearPlacement(u)
			all = append(all, u)
		}
	}
	slices.SortFunc(all, func(a, b *unit) int { return cmp.Compare(a.id, b.id) })
	ok, exhausted := l.tryPlace(all, l.stepLimit)
	if ok {
		return true
	}
	l.inexact = exhausted
	l.restorePlacements(saved)
	for _, u := range units {
		l.tryPlace([]*unit{u}, l.stepLimit/4)
	}
	return false
}

// placeUnplaced tries to place the unplaced units after accelerators became free.
func (l *Ledger) placeUnplaced() {
	if l.unplaced == 0 {
		return
	}
	var unplaced []*unit
	for _, u := range l.units {
		if u.placement == nil {
			unplaced = append(unplaced, u)
		}
	}
	l.placeUnits(unplaced)
}

// placeAll clears all placements that are not held and places all units again.
func (l *Ledger) placeAll() {
	for _, u := range l.units {
		if !u.held {
			l.clearPlacement(u)
		}
	}
	l.placeUnplaced()
}

// tryPlace searches for placements on the free accelerators and assigns them if all
// units fit. exhausted reports whether the search stopped at its step limit.
func (l *Ledger) tryPlace(units []*unit, stepLimit int) (ok, exhausted bool) {
	l.sortBins()
	free := make([]int, len(l.bins))
	for i, b := range l.bins {
		free[i] = b.free()
	}
	demands := make([]*demand, 0, len(units))
	for _, u := range units {
		demands = append(demands, newDemand(u.shape))
	}
	s := newSearch(free, l.racks, demands, stepLimit)
	if !s.run() {
		return false, s.exhausted()
	}
	for i, u := range units {
		l.assignPlacement(u, l.memberBins(u.shape, demands[i].placement))
	}
	return true, false
}

// memberBins returns one worker for each member. indices are the bins of the
// items of the demand; a shape within a worker has one item for all members.
func (l *Ledger) memberBins(s organisation.Shape, indices []int) []*bin {
	placement := make([]*bin, 0, s.Members)
	for i := range s.Members {
		placement = append(placement, l.bins[indices[min(i, len(indices)-1)]])
	}
	return placement
}

// sortBins sorts the workers by rack and name, and recomputes racks, after the
// workers have changed.
func (l *Ledger) sortBins() {
	if l.sorted {
		return
	}
	l.sorted = true
	slices.SortFunc(l.bins, func(a, b *bin) int {
		return cmp.Or(cmp.Compare(a.worker.Rack, b.worker.Rack), cmp.Compare(a.worker.Name, b.worker.Name))
	})
	l.racks = l.racks[:0]
	for i, b := range l.bins {
		b.index = i
		if i == 0 || l.bins[i-1].worker.Rack != b.worker.Rack {
			l.racks = append(l.racks, [2]int{i, i})
		}
		l.racks[len(l.racks)-1][1] = i + 1
	}
}

// savePlacements returns the placements of all units.
func (l *Ledger) savePlacements() [][]*bin {
	saved := make([][]*bin, len(l.units))
	for i, u := range l.units {
		saved[i] = u.placement
	}
	return saved
}

// restorePlacements restores the placements that savePlacements returned.
func (l *Ledger) restorePlacements(saved [][]*bin) {
	for _, u := range l.units {
		l.clearPlacement(u)
	}
	for i, u := range l.units {
		if saved[i] != nil {
			l.assignPlacement(u, saved[i])
		}
	}
}
