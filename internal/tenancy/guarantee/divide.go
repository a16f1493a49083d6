package guarantee

import (
	"cmp"
	"slices"

	"wasabihoist/internal/fleet/worker"
)

// part is what Divide has given to one data centre.
type part struct {
	name     string
	ledger   *Ledger
	capacity int
	given    int // given is the number of accelerators of the shapes given so far.
}

// load is the share of the accelerators that guarantees take.
func (p *part) load() float64 { return float64(p.given) / float64(max(p.capacity, 1)) }

// Divide splits guarantees that cover a whole deployment into one part for each
// data centre. Large shapes go first, each to the least loaded data centre that
// can place it beside what it already has. Shapes that no data centre can place
// are returned as shortfalls. The result depends only on the arguments, so that
// all schedulers that know the same fleet and configuration agree.
func Divide(entitlements []Entitlement, workers []worker.Worker) (map[string][]Entitlement, []Shortfall) {
	parts := newParts(workers)
	sorted := slices.Clone(entitlements)
	slices.SortStableFunc(sorted, func(a, b Entitlement) int {
		return cmp.Or(cmp.Compare(b.Shape.Total(), a.Shape.Total()), cmp.Compare(a.Shape.Adjacency, b.Shape.Adjacency))
	})
	divided := map[string][]Entitlement{}
	var shortfalls []Shortfall
	for _, e := range sorted {
		lacking := 0
		for range e.Count {
			name, ok := give(parts, e)
			if !ok {
				lacking++
				continue
			}
			divided[name] = addOne(divided[name], e)
		}
		if lacking > 0 {
			shortfalls = append(shortfalls, Shortfall{
				Organisation: e.Organisation, Plan: e.Plan, Shape: e.Shape, Count: lacking,
			})
		}
	}
	return divided, shortfalls
}

func newParts(workers []worker.Worker) []*part {
	byName := map[string]*part{}
	var parts []*part
	for _, w := range workers {
		p, ok := byName[w.DataCentre]
		if !ok {
			p = &part{name: w.DataCentre, ledger: NewLedger(MaxSearchSteps / 100)}
			byName[w.DataCentre] = p
			parts = append(parts, p)
		}
		p.capacity += w.Capacity.Accelerators
		p.ledger.SetWorker(Worker{Name: w.Name, Rack: w.Rack, Accelerators: w.Capacity.Accelerators})
	}
	slices.SortFunc(parts, func(a, b *part) int { return cmp.Compare(a.name, b.name) })
	return parts
}

// give adds one unit of the entitlement to the least loaded data centre that can
// place it.
func give(parts []*part, e Entitlement) (string, bool) {
	order := slices.Clone(parts)
	slices.SortStableFunc(order, func(a, b *part) int { return cmp.Compare(a.load(), b.load()) })
	for _, p := range order {
		if p.ledger.add(e) {
			p.given += e.Shape.Total()
			return p.name, true
		}
	}
	return "", false
}

func addOne(entitlements []Entitlement, e Entitlement) []Entitlement {
	last := len(entitlements) - 1
	if last >= 0 && entitlements[last].Organisation == e.Organisation && entitlements[last].Shape == e.Shape {
		entitlements[last].Count++
		return entitlements
	}
	e.Count = 1
	return append(entitlements, e)
}

// add adds one unit when all units can be placed with it.
func (l *Ledger) add(e Entitlement) bool {
	u := l.newUnit(e)
	l.units = append(l.units, u)
	l.missing++
	if l.settle([]*unit{u}) {
		return true
	}
	l.units = l.units[:len(l.units)-1]
	l.missing--
	delete(l.byID, u.id)
	return false
}
