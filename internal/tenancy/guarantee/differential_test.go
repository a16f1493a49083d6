package guarantee_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"wasabihoist/internal/base/propertytest"
	"wasabihoist/internal/tenancy/guarantee"
	"wasabihoist/internal/tenancy/organisation"
)

// TestMain fixes the number of cases and the seed of the differential tests unless
// flags override them.
func TestMain(m *testing.M) { propertytest.Main(m, 4000) }

// bruteForce evaluates the predicate by trying every worker for every member of
// every shape that is not held. It shares no code with the package.
func bruteForce(s guarantee.State) bool {
	free := map[string]int{}
	racks := map[string]string{}
	var names []string
	for _, w := range s.Workers {
		free[w.Name], racks[w.Name] = w.Accelerators, w.Rack
		if !w.Unusable {
			names = append(names, w.Name)
		}
	}
	heldCount := map[string]int{}
	for _, h := range s.Held {
		heldCount[h.Organisation+h.Shape.String()]++
		for _, w := range h.Workers {
			free[w] -= h.Shape.Accelerators
		}
	}
	var shapes []organisation.Shape
	for _, e := range s.Entitlements {
		for range e.Count {
			if key := e.Organisation + e.Shape.String(); heldCount[key] > 0 {
				heldCount[key]--
				continue
			}
			shapes = append(shapes, e.Shape)
		}
	}
	var try func(shape, member int, first string) bool
	try = func(shape, member int, first string) bool {
		if shape == len(shapes) {
			return true
		}
		sh := shapes[shape]
		if member == sh.Members {
			return try(shape+1, 0, "")
		}
		for _, name := range names {
			apart := member > 0 && (sh.Adjacency == organisation.WithinWorker && name != first ||
				sh.Adjacency == organisation.WithinRack && racks[name] != racks[first])
			if apart || free[name] < sh.Accelerators {
				continue
			}
			free[name] -= sh.Accelerators
			start := first
			if member == 0 {
				start = name
			}
			found := try(shape, member+1, start)
			free[name] += sh.Accelerators
			if found {
				return true
			}
		}
		return false
	}
	return try(0, 0, "")
}

func drawWorkers(t *rapid.T) []guarantee.Worker {
	var workers []guarantee.Worker
	for i := range rapid.IntRange(1, 5).Draw(t, "workers") {
		workers = append(workers, guarantee.Worker{Name: fmt.Sprintf("w%d", i),
			Rack:         fmt.Sprintf("r%d", rapid.IntRange(0, 2).Draw(t, "rack")),
			Accelerators: rapid.IntRange(0, 8).Draw(t, "accelerators"),
			Unusable:     rapid.IntRange(0, 9).Draw(t, "unusable") == 0})
	}
	return workers
}

func drawEntitlements(t *rapid.T) []guarantee.Entitlement {
	var entitlements []guarantee.Entitlement
	for i := range rapid.IntRange(1, 4).Draw(t, "entitlements") {
		entitlements = append(entitlements, guarantee.Entitlement{
			Organisation: fmt.Sprintf("o%d", i), Plan: "p", Count: rapid.IntRange(1, 2).Draw(t, "count"),
			Shape: organisation.Shape{Members: rapid.IntRange(1, 3).Draw(t, "members"),
				Accelerators: rapid.IntRange(1, 5).Draw(t, "size"),
				Adjacency:    organisation.Adjacency(rapid.IntRange(1, 3).Draw(t, "adjacency"))}})
	}
	return entitlements
}

// Guards against a verdict that differs from that of an exhaustive search, or is
// inexact on a small fleet.
func TestEvaluateAgreesWithBruteForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := guarantee.State{Workers: drawWorkers(t), Entitlements: drawEntitlements(t)}
		v := guarantee.Evaluate(s)
		if want := bruteForce(s); v.Holds != want || !v.Exact {
			t.Fatalf("Evaluate says %v (exact %v), brute force %v", v.Holds, v.Exact, want)
		}
	})
}

// Guards against incremental updates that diverge from the predicate: a hold that
// makes it false, or a change of workers after which the ledger is out of date.
func TestLedgerAgreesWithBruteForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := guarantee.NewLedger(guarantee.MaxSearchSteps)
		workers := drawWorkers(t)
		for _, w := range workers {
			l.SetWorker(w)
		}
		l.SetEntitlements(drawEntitlements(t))
		var held []guarantee.UnitID
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			held = applyRandomChange(t, l, workers, held)
			if want := bruteForce(l.State()); l.PredicateHolds() != want {
				t.Fatalf("ledger says %v, brute force %v, in %+v", l.PredicateHolds(), want, l.State())
			}
		}
	})
}

// applyRandomChange applies one random change to the ledger and returns the units
// that are still held.
func applyRandomChange(t *rapid.T, l *guarantee.Ledger, workers []guarantee.Worker, held []guarantee.UnitID) []guarantee.UnitID {
	w := workers[rapid.IntRange(0, len(workers)-1).Draw(t, "worker")]
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		l.RemoveWorker(w.Name)
	case 1:
		w.Accelerators, w.Unusable = rapid.IntRange(0, 8).Draw(t, "now"), rapid.Bool().Draw(t, "drained")
		l.SetWorker(w)
	case 2:
		if len(held) > 0 {
			l.Release(held[0])
			held = held[1:]
		}
	default:
		wanted := organisation.Shape{Members: 1, Accelerators: 1, Adjacency: organisation.WithinWorker}
		id, shape, ok := l.FindUnit(fmt.Sprintf("o%d", rapid.IntRange(0, 3).Draw(t, "organisation")), wanted)
		if !ok {
			break
		}
		placement := l.Placement(id)
		for i := range placement {
			if shape.Adjacency != organisation.WithinWorker && rapid.Bool().Draw(t, "elsewhere") {
				placement[i] = workers[rapid.IntRange(0, len(workers)-1).Draw(t, "at")].Name
			}
		}
		before := l.PredicateHolds()
		if l.Hold(id, placement) {
			held = append(held, id)
			if before && !bruteForce(l.State()) {
				t.Fatalf("hold broke the predicate in %+v", l.State())
			}
		}
	}
	return slices.DeleteFunc(held, func(id guarantee.UnitID) bool { return !l.IsHeld(id) })
}
