package guarantee

import (
	"cmp"
	"slices"

	"wasabihoist/internal/fleet/worker"
)

// dataCentre holds the guarantees that Divide has assigned to one data centre.
type dataCentre struct {
	name      string
	ledger    *Ledger
	capacity  int // capacity is the number of accelerators of all workers.
	allocated int // allocated is the number of accelerators of the assigned shapes.
}

// load returns the fraction of the accelerators that is allocated to guarantees.
func (d *dataCentre) load() float64 { return float64(d.allocated) / float64(max(d.capacity, 1)) }

// Divide splits the guarantees of a whole deployment among its data centres. The
// result maps data centres to their entitlements. Shapes are assigned in descending
// order of accelerators, each to the least loaded data centre that can place it
// together with the shapes assigned before. Shapes that no data centre can place
// are returned as shortfalls. The result depends only on the arguments, so that all
// schedulers that know the same fleet and configuration agree.
func Divide(entitlements []Entitlement, workers []worker.Worker) (map[string][]Entitlement, []Shortfall) {
	dataCentres := newDataCentres(workers)
	sorted := slices.Clone(entitlements)
	slices.SortStableFunc(sorted, func(a, b Entitlement) int {
		return cmp.Or(cmp.Compare(b.Shape.Total(), a.Shape.Total()), cmp.Compare(a.Shape.Adjacency, b.Shape.Adjacency))
	})
	divided := map[string][]Entitlement{}
	var shortfalls []Shortfall
	for _, e := range sorted {
		unplaced := 0
		for range e.Count {
			name, ok := placeUnit(dataCentres, e)
			if !ok {
				unplaced++
				continue
			}
			divided[name] = appendUnit(divided[name], e)
		}
		if unplaced > 0 {
			shortfalls = append(shortfalls, Shortfall{
				Organisation: e.Organisation, Plan: e.Plan, Shape: e.Shape, Count: unplaced,
			})
		}
	}
	return divided, shortfalls
}

func newDataCentres(workers []worker.Worker) []*dataCentre {
	byName := map[string]*dataCentre{}
	var dataCentres []*dataCentre
	for _, w := range workers {
		d, ok := byName[w.DataCentre]
		if !ok {
			d = &dataCentre{name: w.DataCentre, ledger: NewLedger(MaxSearchSteps / 100)}
			byName[w.DataCentre] = d
			dataCentres = append(dataCentres, d)
		}
		d.capacity += w.Capacity.Accelerators
		d.ledger.SetWorker(Worker{Name: w.Name, Rack: w.Rack, Accelerators: w.Capacity.Accelerators})
	}
	slices.SortFunc(dataCentres, func(a, b *dataCentre) int { return cmp.Compare(a.name, b.name) })
	return dataCentres
}

// placeUnit adds one unit of the entitlement to the least loaded data centre that
// can place it, and returns the name of the data centre.
func placeUnit(dataCentres []*dataCentre, e Entitlement) (string, bool) {
	order := slices.Clone(dataCentres)
	slices.SortStableFunc(order, func(a, b *dataCentre) int { return cmp.Compare(a.load(), b.load()) })
	for _, d := range order {
		if d.ledger.tryAdd(e) {
			d.allocated += e.Shape.Total()
			return d.name, true
		}
	}
	return "", false
}

// appendUnit adds one unit of the entitlement. It increments the count of the last
// element when that has the same organisation and shape.
func appendUnit(entitlements []Entitlement, e Entitlement) []Entitlement {
	last := len(entitlements) - 1
	if last >= 0 && entitlements[last].Organisation == e.Organisation && entitlements[last].Shape == e.Shape {
		entitlements[last].Count++
		return entitlements
	}
	e.Count = 1
	return append(entitlements, e)
}

// tryAdd adds one unit if it can be placed together with all others.
func (l *Ledger) tryAdd(e Entitlement) bool {
	u := l.newUnit(e)
	l.units = append(l.units, u)
	l.unplaced++
	if l.placeUnits([]*unit{u}) {
		return true
	}
	l.units = l.units[:len(l.units)-1]
	l.unplaced--
	delete(l.byID, u.id)
	return false
}
