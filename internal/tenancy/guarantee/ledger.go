package guarantee

import (
	"cmp"
	"slices"

	"wasabihoist/internal/tenancy/organisation"
)

// UnitID names one guaranteed shape in a Ledger. 0 names none.
type UnitID int

// unit is one guaranteed shape. Unless it is missing it has a place, so that
// the places of all units together prove that the predicate holds.
type unit struct {
	id           UnitID
	organisation string
	plan         string
	shape        organisation.Shape
	place        []*bin // place has one worker for each member; nil when there is none.
	held         bool   // held by a running job; the place stays where it is.
}

// bin is one worker.
type bin struct {
	worker Worker
	index  int // index in the ledger's bins.
	taken  int // taken by the places of units, held or not.
}

// free returns the accelerators that no unit has its place on.
func (b *bin) free() int {
	if b.worker.Unusable {
		return 0
	}
	return max(b.worker.Accelerators-b.taken, 0)
}

// Ledger keeps a place for every guaranteed shape of a data centre while
// workers, entitlements and running jobs change. A change moves only the places
// that it displaces; a full search runs only when that fails.
//
// It is not safe for concurrent use.
type Ledger struct {
	steps     int // steps bounds each search.
	bins      []*bin
	byName    map[string]*bin
	racks     [][2]int // racks are ranges of bins.
	units     []*unit
	byID      map[UnitID]*unit
	byTenant  map[string][]*unit
	last      UnitID
	missing   int  // missing counts units without a place.
	inexact   bool // inexact is true when a unit is missing after an exhausted search.
	entitled  []Entitlement
	reindexed bool
}

// NewLedger returns a ledger without workers and entitlements. steps bounds
// each search; see EvaluationSteps.
func NewLedger(steps int) *Ledger {
	return &Ledger{steps: steps, byName: map[string]*bin{}, byID: map[UnitID]*unit{}, byTenant: map[string][]*unit{}}
}

// SetWorker adds a worker or replaces what is known of it. It returns the units
// whose holders lost accelerators.
func (l *Ledger) SetWorker(w Worker) []UnitID {
	b, known := l.byName[w.Name]
	if known && b.worker.Rack != w.Rack {
		broken := l.RemoveWorker(w.Name)
		l.SetWorker(w)
		return broken
	}
	if !known {
		b = &bin{}
		l.byName[w.Name] = b
		l.bins = append(l.bins, b)
		l.reindexed = false
	}
	before := b.worker
	b.worker = w
	var broken []UnitID
	if known && (w.Accelerators < before.Accelerators || w.Unusable) {
		broken = l.displace(b)
	}
	l.recover()
	return broken
}

// RemoveWorker removes a worker. It returns the units whose holders lost
// accelerators; these units are no longer held.
func (l *Ledger) RemoveWorker(name string) []UnitID {
	b, ok := l.byName[name]
	if !ok {
		return nil
	}
	delete(l.byName, name)
	l.bins = slices.DeleteFunc(l.bins, func(o *bin) bool { return o == b })
	l.reindexed = false
	b.worker.Accelerators, b.worker.Unusable = 0, true
	broken := l.displace(b)
	l.recover()
	return broken
}

// displace finds new places for the units on a worker that has lost
// accelerators or has become unusable.
func (l *Ledger) displace(b *bin) []UnitID {
	var displaced []*unit
	var broken []UnitID
	short := b.taken > b.worker.Accelerators
	for _, u := range l.units {
		if !slices.Contains(u.place, b) || (u.held && !short) {
			continue
		}
		if u.held {
			broken = append(broken, u.id)
			u.held = false
		}
		l.vacate(u)
		displaced = append(displaced, u)
	}
	l.settle(displaced)
	return broken
}

// SetEntitlements replaces the entitlements. Units that stay keep their place.
// Units that are no longer entitled are forgotten, also when they are held.
func (l *Ledger) SetEntitlements(entitlements []Entitlement) {
	l.entitled = slices.Clone(entitlements)
	l.reindexed = false
	type key struct {
		organisation string
		shape        organisation.Shape
	}
	old := map[key][]*unit{}
	for _, u := range l.units {
		k := key{u.organisation, u.shape}
		old[k] = append(old[k], u)
	}
	for _, units := range old {
		slices.SortStableFunc(units, func(a, b *unit) int { return cmp.Compare(boolean(b.held), boolean(a.held)) })
	}
	l.units = nil
	var added []*unit
	for _, e := range entitlements {
		k := key{e.Organisation, e.Shape}
		for range e.Count {
			if units := old[k]; len(units) > 0 {
				units[0].plan = e.Plan
				l.units = append(l.units, units[0])
				old[k] = units[1:]
				continue
			}
			u := l.newUnit(e)
			l.units = append(l.units, u)
			added = append(added, u)
		}
	}
	for _, units := range old {
		for _, u := range units {
			l.vacate(u)
			delete(l.byID, u.id)
		}
	}
	l.byTenant = map[string][]*unit{}
	for _, u := range l.units {
		l.byTenant[u.organisation] = append(l.byTenant[u.organisation], u)
	}
	l.countMissing()
	l.settle(added)
	l.recover()
}

func (l *Ledger) newUnit(e Entitlement) *unit {
	l.last++
	u := &unit{id: l.last, organisation: e.Organisation, plan: e.Plan, shape: e.Shape}
	l.byID[u.id] = u
	return u
}

// Verdict returns the value of the predicate.
func (l *Ledger) Verdict() Verdict {
	v := Verdict{Holds: l.missing == 0, Exact: l.missing == 0 || !l.inexact}
	for _, u := range l.units {
		if u.place != nil {
			continue
		}
		at := slices.IndexFunc(v.Shortfalls, func(s Shortfall) bool {
			return s.Organisation == u.organisation && s.Shape == u.shape
		})
		if at >= 0 {
			v.Shortfalls[at].Count++
			continue
		}
		v.Shortfalls = append(v.Shortfalls, Shortfall{Organisation: u.organisation, Plan: u.plan, Shape: u.shape, Count: 1})
	}
	return v
}

// Holds reports whether the predicate holds.
func (l *Ledger) Holds() bool { return l.missing == 0 }

// Find returns the unit of the organisation that covers the wanted shape, is
// not held and has a place, with the fewest accelerators.
func (l *Ledger) Find(name string, wanted organisation.Shape) (UnitID, organisation.Shape, bool) {
	var best *unit
	for _, u := range l.byTenant[name] {
		if u.held || u.place == nil || !Covers(u.shape, wanted) {
			continue
		}
		if best == nil || u.shape.Total() < best.shape.Total() {
			best = u
		}
	}
	if best == nil {
		return 0, organisation.Shape{}, false
	}
	return best.id, best.shape, true
}

// AvailableUnits returns how many units of the organisation have a place that no job
// holds.
func (l *Ledger) AvailableUnits(name string) int {
	count := 0
	for _, u := range l.byTenant[name] {
		if !u.held && u.place != nil {
			count++
		}
	}
	return count
}

// Shape returns the shape of the unit.
func (l *Ledger) Shape(id UnitID) organisation.Shape {
	if u := l.byID[id]; u != nil {
		return u.shape
	}
	return organisation.Shape{}
}

// Place returns the place of the unit, one worker for each member of its shape.
func (l *Ledger) Place(id UnitID) []string {
	u := l.byID[id]
	if u == nil {
		return nil
	}
	names := make([]string, 0, len(u.place))
	for _, b := range u.place {
		names = append(names, b.worker.Name)
	}
	return names
}

// Hold pins the unit to a place, one worker for each member of its shape, while
// a job runs there. A unit that is held already moves there. It returns false and changes nothing when some unit that
// has a place would be left without one.
func (l *Ledger) Hold(id UnitID, workers []string) bool {
	u := l.byID[id]
	if u == nil || len(workers) != u.shape.Members {
		return false
	}
	place, ok := l.resolve(workers)
	if !ok || !adjacent(u.shape.Adjacency, place) {
		return false
	}
	saved, held := l.save(), u.held
	l.vacate(u)
	l.occupy(u, place)
	u.held = true
	if l.fits(place) && l.settle(l.evict(place)) {
		l.recover()
		return true
	}
	l.restore(saved)
	u.held = held
	return false
}

// Release ends the hold on a unit. Its place is free for any unit again.
func (l *Ledger) Release(id UnitID) {
	u := l.byID[id]
	if u == nil || !u.held {
		return
	}
	u.held = false
	if slices.ContainsFunc(u.place, func(b *bin) bool { return b.worker.Unusable }) {
		l.vacate(u)
		l.settle([]*unit{u})
	}
	l.recover()
}

// IsHeld reports whether the unit exists and a job holds it.
func (l *Ledger) IsHeld(id UnitID) bool {
	u := l.byID[id]
	return u != nil && u.held
}

// State returns the plain state, for checks that do not trust the ledger.
func (l *Ledger) State() State {
	s := State{Entitlements: slices.Clone(l.entitled)}
	for _, b := range l.bins {
		s.Workers = append(s.Workers, b.worker)
	}
	for _, u := range l.units {
		if u.held {
			s.Held = append(s.Held, HeldShape{Organisation: u.organisation, Shape: u.shape, Workers: l.Place(u.id)})
		}
	}
	return s
}

// resolve finds usable workers by name.
func (l *Ledger) resolve(workers []string) ([]*bin, bool) {
	place := make([]*bin, 0, len(workers))
	for _, name := range workers {
		b, ok := l.byName[name]
		if !ok || b.worker.Unusable {
			return nil, false
		}
		place = append(place, b)
	}
	return place, true
}

// adopt pins a unit of the state without a check.
func (l *Ledger) adopt(h HeldShape) {
	for _, u := range l.units {
		if u.organisation != h.Organisation || u.shape != h.Shape || u.held {
			continue
		}
		place := make([]*bin, 0, len(h.Workers))
		for _, name := range h.Workers {
			if b, ok := l.byName[name]; ok {
				place = append(place, b)
			}
		}
		if len(place) == u.shape.Members {
			l.vacate(u)
			l.occupy(u, place)
			u.held = true
		}
		return
	}
}

// adjacent reports whether the place is within the adjacency.
func adjacent(a organisation.Adjacency, place []*bin) bool {
	for _, b := range place {
		if a == organisation.WithinWorker && b != place[0] {
			return false
		}
		if a == organisation.WithinRack && b.worker.Rack != place[0].worker.Rack {
			return false
		}
	}
	return true
}
