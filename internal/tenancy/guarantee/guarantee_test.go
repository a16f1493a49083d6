package guarantee_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/guarantee"
	"wasabihoist/internal/tenancy/organisation"
)

// Guards against a verdict whose text does not name the plan and the shape that
// cannot be placed.
func TestVerdictNamesThePlanAndTheShape(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	configuration := organisation.Configuration{
		Organisations: []organisation.Organisation{{Name: "ana", Plan: "gold"}, {Name: "old", Plan: "gold", Closes: now}},
		Plans: []organisation.Plan{{Name: "gold", Guarantees: []organisation.Guarantee{
			{Shape: organisation.Shape{Members: 2, Accelerators: 4, Adjacency: organisation.WithinRack}, Count: 2}}}},
	}
	v := guarantee.Evaluate(guarantee.State{
		Workers:      []guarantee.Worker{{Name: "a", Rack: "1", Accelerators: 8}, {Name: "b", Rack: "2", Accelerators: 4}},
		Entitlements: guarantee.Entitlements(configuration, now),
	})
	c.Assert(v.Holds, qt.IsFalse)
	c.Assert(v.Exact, qt.IsTrue)
	c.Assert(v.String(), qt.Equals,
		"plan gold of organisation ana lacks a place for 1 of 2x4 within rack (8 accelerators)")
}

// Guards against assigning a data centre more shapes than it can place, and against
// losing shapes without a shortfall.
func TestDivideGivesEachShapeToADataCentreThatFits(t *testing.T) {
	c := qt.New(t)
	var workers []worker.Worker
	for name, n := range map[string]int{"caico": 8, "acari": 4, "crato": 8} {
		workers = append(workers, worker.Worker{Name: name, Rack: "1", DataCentre: name,
			Capacity: worker.Resources{Accelerators: n}})
	}
	slices.SortFunc(workers, func(a, b worker.Worker) int { return cmp.Compare(a.Name, b.Name) })
	shape := organisation.Shape{Members: 1, Accelerators: 6, Adjacency: organisation.WithinWorker}
	divided, shortfalls := guarantee.Divide([]guarantee.Entitlement{
		{Organisation: "ana", Plan: "gold", Shape: shape, Count: 3}}, workers)
	c.Assert(divided["caico"], qt.HasLen, 1)
	c.Assert(divided["crato"], qt.HasLen, 1)
	c.Assert(divided["acari"], qt.HasLen, 0)
	c.Assert(shortfalls, qt.HasLen, 1)
	c.Assert(shortfalls[0].Count, qt.Equals, 1)
}
