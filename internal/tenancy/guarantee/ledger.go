package guarantee

import (
	"cmp"
	"slices"

	"wasabihoist/internal/tenancy/organisation"
)

// UnitID identifies one guaranteed shape in a Ledger; 0 is no unit.
type UnitID int

// unit is one guaranteed shape. When all units have a placement, these placements
// together prove that the predicate holds.
type unit struct {
	id           UnitID
	organisation string
	plan         string
	shape        organisation.Shape
	placement    []*bin // placement has one worker for each member; nil if the unit is unplaced.
	held         bool   // held is true while a running job occupies the placement, which must not move.
}

// bin is one worker, as in bin packing.
type bin struct {
	worker   Worker
	index    int // index in Ledger.bins.
	reserved int // reserved is the number of accelerators in the placements of units, held or not.
}

// free returns the number of accelerators that are in no unit's placement.
func (b *bin) free() int {
	if b.worker.Unusable {
		return 0
	}
	return max(b.worker.Accelerators-b.reserved, 0)
}

// Ledger maintains a placement for every guaranteed shape of a data centre while
// workers, entitlements and running jobs change. A change moves only the placements
// that it displaces; a full search runs only when that fails.
//
// It is not safe for concurrent use.
type Ledger struct {
	stepLimit      int // stepLimit bounds each search.
	bins           []*bin
	byName         map[string]*bin
	racks          [][2]int // racks has the half-open range of indices into bins for each rack.
	units          []*unit
	byID           map[UnitID]*unit
	byOrganisation map[string][]*unit
	lastID         UnitID
	unplaced       int  // unplaced counts units without a placement.
	inexact        bool // inexact is true when the last failed full search stopped at its step limit.
	entitlements   []Entitlement
	sorted         bool // sorted is true while the order of bins and racks are up to date.
}

// NewLedger returns a ledger without workers and entitlements. stepLimit bounds
// each search; see MaxSearchSteps.
func NewLedger(stepLimit int) *Ledger {
	return &Ledger{stepLimit: stepLimit, byName: map[string]*bin{}, byID: map[UnitID]*unit{}, byOrganisation: map[string][]*unit{}}
}

// SetWorker adds or updates a worker. It returns the held units that lost
// accelerators; these units are no longer held.
func (l *Ledger) SetWorker(w Worker) []UnitID {
	b, known := l.byName[w.Name]
	if known && b.worker.Rack != w.Rack {
		lostHolds := l.RemoveWorker(w.Name)
		l.SetWorker(w)
		return lostHolds
	}
	if !known {
		b = &bin{}
		l.byName[w.Name] = b
		l.bins = append(l.bins, b)
		l.sorted = false
	}
	before := b.worker
	b.worker = w
	var lostHolds []UnitID
	if known && (w.Accelerators < before.Accelerators || w.Unusable) {
		lostHolds = l.displace(b)
	}
	l.placeUnplaced()
	return lostHolds
}

// RemoveWorker removes a worker. It returns the held units that lost accelerators;
// these units are no longer held.
func (l *Ledger) RemoveWorker(name string) []UnitID {
	b, ok := l.byName[name]
	if !ok {
		return nil
	}
	delete(l.byName, name)
	l.bins = slices.DeleteFunc(l.bins, func(o *bin) bool { return o == b })
	l.sorted = false
	b.worker.Accelerators, b.worker.Unusable = 0, true
	lostHolds := l.displace(b)
	l.placeUnplaced()
	return lostHolds
}

// displace clears the placements on a worker that has lost accelerators or has
// become unusable, and tries to place these units again. Held units are affected
// only when the worker has too few accelerators for its units. displace returns
// them; they are no longer held.
func (l *Ledger) displace(b *bin) []UnitID {
	var displaced []*unit
	var lostHolds []UnitID
	short := b.reserved > b.worker.Accelerators
	for _, u := range l.units {
		if !slices.Contains(u.placement, b) || (u.held && !short) {
			continue
		}
		if u.held {
			lostHolds = append(lostHolds, u.id)
			u.held = false
		}
		l.clearPlacement(u)
		displaced = append(displaced, u)
	}
	l.placeUnits(displaced)
	return lostHolds
}

// SetEntitlements replaces the entitlements. Units that are still entitled keep
// their placement, held ones first. The others are removed, even when they are
// held.
func (l *Ledger) SetEntitlements(entitlements []Entitlement) {
	l.entitlements = slices.Clone(entitlements)
	l.sorted = false
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
		slices.SortStableFunc(units, func(a, b *unit) int { return cmp.Compare(boolToInt(b.held), boolToInt(a.held)) })
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
			l.clearPlacement(u)
			delete(l.byID, u.id)
		}
	}
	l.byOrganisation = map[string][]*unit{}
	for _, u := range l.units {
		l.byOrganisation[u.organisation] = append(l.byOrganisation[u.organisation], u)
	}
	l.countUnplaced()
	l.placeUnits(added)
	l.placeUnplaced()
}

// newUnit registers a unit of the entitlement without a placement.
func (l *Ledger) newUnit(e Entitlement) *unit {
	l.lastID++
	u := &unit{id: l.lastID, organisation: e.Organisation, plan: e.Plan, shape: e.Shape}
	l.byID[u.id] = u
	return u
}

// Verdict returns the present value of the predicate with its shortfalls.
func (l *Ledger) Verdict() Verdict {
	v := Verdict{Holds: l.unplaced == 0, Exact: l.unplaced == 0 || !l.inexact}
	for _, u := range l.units {
		if u.placement != nil {
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

// PredicateHolds reports whether the predicate holds.
func (l *Ledger) PredicateHolds() bool { return l.unplaced == 0 }

// FindUnit returns the smallest unit of the organisation that covers the wanted shape,
// is not held and has a placement. It also returns the shape of the unit.
func (l *Ledger) FindUnit(name string, wanted organisation.Shape) (UnitID, organisation.Shape, bool) {
	var best *unit
	for _, u := range l.byOrganisation[name] {
		if u.held || u.placement == nil || !Covers(u.shape, wanted) {
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

// AvailableUnits returns the number of units of the organisation that have a
// placement and are not held.
func (l *Ledger) AvailableUnits(name string) int {
	count := 0
	for _, u := range l.byOrganisation[name] {
		if !u.held && u.placement != nil {
			count++
		}
	}
	return count
}

// Shape returns the shape of the unit; zero for an unknown unit.
func (l *Ledger) Shape(id UnitID) organisation.Shape {
	if u := l.byID[id]; u != nil {
		return u.shape
	}
	return organisation.Shape{}
}

// Placement returns the names of the workers of the unit's placement, one for each
// member of its shape. It is empty for an unplaced or unknown unit.
func (l *Ledger) Placement(id UnitID) []string {
	u := l.byID[id]
	if u == nil {
		return nil
	}
	names := make([]string, 0, len(u.placement))
	for _, b := range u.placement {
		names = append(names, b.worker.Name)
	}
	return names
}

// Hold pins the unit to a placement, one worker for each member of its shape, while
// a job runs there. A unit that is already held moves there. Hold returns false and
// changes nothing when the workers do not suit the shape or when another unit would
// lose its placement.
func (l *Ledger) Hold(id UnitID, workers []string) bool {
	u := l.byID[id]
	if u == nil || len(workers) != u.shape.Members {
		return false
	}
	placement, ok := l.usableBins(workers)
	if !ok || !isWithinAdjacency(u.shape.Adjacency, placement) {
		return false
	}
	saved, held := l.savePlacements(), u.held
	l.clearPlacement(u)
	l.assignPlacement(u, placement)
	u.held = true
	if l.heldFits(placement) && l.placeUnits(l.evict(placement)) {
		l.placeUnplaced()
		return true
	}
	l.restorePlacements(saved)
	u.held = held
	return false
}

// Release ends the hold on a unit, so that its placement may move again.
func (l *Ledger) Release(id UnitID) {
	u := l.byID[id]
	if u == nil || !u.held {
		return
	}
	u.held = false
	if slices.ContainsFunc(u.placement, func(b *bin) bool { return b.worker.Unusable }) {
		l.clearPlacement(u)
		l.placeUnits([]*unit{u})
	}
	l.placeUnplaced()
}

// IsHeld reports whether the unit exists and a job holds it.
func (l *Ledger) IsHeld(id UnitID) bool {
	u := l.byID[id]
	return u != nil && u.held
}

// State returns the inputs of the predicate, for checks that are independent of the
// ledger.
func (l *Ledger) State() State {
	s := State{Entitlements: slices.Clone(l.entitlements)}
	for _, b := range l.bins {
		s.Workers = append(s.Workers, b.worker)
	}
	for _, u := range l.units {
		if u.held {
			s.Held = append(s.Held, HeldShape{Organisation: u.organisation, Shape: u.shape, Workers: l.Placement(u.id)})
		}
	}
	return s
}

// usableBins looks up workers by name. It returns false when one is unknown or
// unusable.
func (l *Ledger) usableBins(workers []string) ([]*bin, bool) {
	placement := make([]*bin, 0, len(workers))
	for _, name := range workers {
		b, ok := l.byName[name]
		if !ok || b.worker.Unusable {
			return nil, false
		}
		placement = append(placement, b)
	}
	return placement, true
}

// restoreHold pins a matching unit to the workers of a held shape without checking
// capacity or adjacency.
func (l *Ledger) restoreHold(h HeldShape) {
	for _, u := range l.units {
		if u.organisation != h.Organisation || u.shape != h.Shape || u.held {
			continue
		}
		placement := make([]*bin, 0, len(h.Workers))
		for _, name := range h.Workers {
			if b, ok := l.byName[name]; ok {
				placement = append(placement, b)
			}
		}
		if len(placement) == u.shape.Members {
			l.clearPlacement(u)
			l.assignPlacement(u, placement)
			u.held = true
		}
		return
	}
}

// isWithinAdjacency reports whether the placement satisfies the adjacency.
func isWithinAdjacency(a organisation.Adjacency, placement []*bin) bool {
	for _, b := range placement {
		if a == organisation.WithinWorker && b != placement[0] {
			return false
		}
		if a == organisation.WithinRack && b.worker.Rack != placement[0].worker.Rack {
			return false
		}
	}
	return true
}
