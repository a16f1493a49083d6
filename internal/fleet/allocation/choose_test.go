package allocation_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/allocation"
)

// Guards against demands that wait beside idle hosts for a rack in which endless work
// leaves no room, and against demands that leave a rack although its work ends.
func TestLocalityIsRelaxedForEndlessWork(t *testing.T) {
	hosts := []allocation.Host{newHost("a1", "a", 0, 0), newHost("a2", "a", 8, 8), newHost("b1", "b", 8, 8), newHost("b2", "b", 8, 8)}
	unit := func(rank allocation.Rank, remaining time.Duration) []allocation.Unit {
		return []allocation.Unit{endingIn(newUnit(7, rank, 1, map[string]int{"a1": 8}), remaining)}
	}
	task := func(rank allocation.Rank) allocation.Demand { return withDataRack(newDemand(0, rank, 2, 8), "a") }
	gang := withDataRack(newGang(0, allocation.Ordinary, 2, 8), "a")
	for name, tt := range map[string]struct {
		units     []allocation.Unit
		demand    allocation.Demand
		placed    []string
		preempted []int
	}{
		"gang, endless work":               {unit(allocation.Ordinary, allocation.Never), gang, []string{"a2", "b1"}, nil},
		"gang, work that ends":             {unit(allocation.Ordinary, time.Hour), gang, nil, nil},
		"gang in one rack, endless work":   {unit(allocation.Ordinary, allocation.Never), rackLocal(gang), []string{"b1", "b2"}, nil},
		"gang in one rack, work that ends": {unit(allocation.Ordinary, time.Hour), rackLocal(gang), nil, nil},
		"tasks wait for the rest":          {unit(allocation.Ordinary, allocation.Never), task(allocation.Ordinary), []string{"a2"}, nil},
		"endless work can be preempted":    {unit(allocation.Ordinary, allocation.Never), task(allocation.Urgent), []string{"a2"}, []int{7}},
		"endless work as urgent":           {unit(allocation.Urgent, allocation.Never), rackLocal(withDataRack(newGang(0, allocation.Urgent, 2, 8), "a")), []string{"b1", "b2"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			plan := allocation.Decide(hosts, tt.units, []allocation.Demand{tt.demand})
			var placed []string
			for _, p := range plan.Placements {
				placed = append(placed, p.Hosts...)
			}
			c.Check(placed, qt.DeepEquals, tt.placed)
			c.Check(plan.Preempted, qt.DeepEquals, tt.preempted)
		})
	}
}
