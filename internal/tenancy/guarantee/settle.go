package guarantee

import (
	"cmp"
	"slices"

	"wasabihoist/internal/tenancy/organisation"
)

// occupy gives the unit a place.
func (l *Ledger) occupy(u *unit, place []*bin) {
	if u.place == nil && place != nil {
		l.missing--
	}
	u.place = place
	for _, b := range place {
		b.taken += u.shape.Accelerators
	}
}

// vacate takes the place of the unit away.
func (l *Ledger) vacate(u *unit) {
	if u.place == nil {
		return
	}
	for _, b := range u.place {
		b.taken -= u.shape.Accelerators
	}
	u.place = nil
	l.missing++
}

func (l *Ledger) countMissing() {
	l.missing = 0
	for _, u := range l.units {
		if u.place == nil {
			l.missing++
		}
	}
}

// fits reports whether what is held on the workers is within their capacity.
func (l *Ledger) fits(place []*bin) bool {
	for _, b := range place {
		held := 0
		if b.taken <= b.worker.Accelerators {
			continue
		}
		for _, u := range l.units {
			if !u.held {
				continue
			}
			for _, o := range u.place {
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

// evict takes the places of units that are not held away where workers of the
// given place have more taken than they have.
func (l *Ledger) evict(place []*bin) []*unit {
	var evicted []*unit
	for _, u := range l.units {
		if u.held || u.place == nil {
			continue
		}
		over := func(b *bin) bool { return b.taken > b.worker.Accelerators && slices.Contains(place, b) }
		if slices.ContainsFunc(u.place, over) {
			l.vacate(u)
			evicted = append(evicted, u)
		}
	}
	return evicted
}

// settle finds places for the given units. It first leaves all others where
// they are; when that fails it places all units that are not held anew. When
// that fails too it places what it can in order and returns false.
func (l *Ledger) settle(units []*unit) bool {
	if len(units) == 0 {
		return true
	}
	if ok, _ := l.place(units, l.steps/4); ok {
		return true
	}
	saved := l.save()
	all := slices.Clone(units)
	for _, u := range l.units {
		if !u.held && u.place != nil {
			l.vacate(u)
			all = append(all, u)
		}
	}
	slices.SortFunc(all, func(a, b *unit) int { return cmp.Compare(a.id, b.id) })
	ok, exhausted := l.place(all, l.steps)
	if ok {
		return true
	}
	l.inexact = exhausted
	l.restore(saved)
	for _, u := range units {
		l.place([]*unit{u}, l.steps/4)
	}
	return false
}

// recover tries to place the missing units after a gain.
func (l *Ledger) recover() {
	if l.missing == 0 {
		return
	}
	var missing []*unit
	for _, u := range l.units {
		if u.place == nil {
			missing = append(missing, u)
		}
	}
	l.settle(missing)
}

// reset drops all places that are not held and places everything anew.
func (l *Ledger) reset() {
	for _, u := range l.units {
		if !u.held {
			l.vacate(u)
		}
	}
	l.recover()
}

// place searches for places on what is free and occupies them when all units
// fit.
func (l *Ledger) place(units []*unit, steps int) (ok, exhausted bool) {
	l.reindex()
	free := make([]int, len(l.bins))
	for i, b := range l.bins {
		free[i] = b.free()
	}
	demands := make([]*demand, 0, len(units))
	for _, u := range units {
		demands = append(demands, newDemand(u.shape))
	}
	s := newSearch(free, l.racks, demands, steps)
	if !s.run() {
		return false, s.exhausted()
	}
	for i, u := range units {
		l.occupy(u, l.expand(u.shape, demands[i].place))
	}
	return true, false
}

// expand returns one worker for each member.
func (l *Ledger) expand(s organisation.Shape, places []int) []*bin {
	place := make([]*bin, 0, s.Members)
	for i := range s.Members {
		place = append(place, l.bins[places[min(i, len(places)-1)]])
	}
	return place
}

// reindex sorts the workers by rack and name after the fleet has changed.
func (l *Ledger) reindex() {
	if l.reindexed {
		return
	}
	l.reindexed = true
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

// save remembers the places of all units.
func (l *Ledger) save() [][]*bin {
	saved := make([][]*bin, len(l.units))
	for i, u := range l.units {
		saved[i] = u.place
	}
	return saved
}

// restore undoes all changes of places since save.
func (l *Ledger) restore(saved [][]*bin) {
	for _, u := range l.units {
		l.vacate(u)
	}
	for i, u := range l.units {
		if saved[i] != nil {
			l.occupy(u, saved[i])
		}
	}
}
