package lease_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/lease"
)

func agentNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("agent-%d", i))
	}
	return names
}

// workersPerRack returns racks of three workers each.
func workersPerRack(count int) map[string]int {
	racks := map[string]int{}
	for i := range count {
		racks[fmt.Sprintf("rack-%d", i)] = 3
	}
	return racks
}

// Guards against holders with more workers than their budget allows, and against a
// small data centre whose leases are not held by the scheduler's own agent.
func TestAssignRacksBoundsHolders(t *testing.T) {
	const limit = 40
	tests := map[string]struct {
		racks, others int
		holders       int
		self          bool // self holds leases
		maxWorkers    int  // largest number of workers of one holder
	}{
		"small":                        {racks: 4, others: 10, holders: 1, self: true, maxWorkers: 12},
		"no other agent":               {racks: 148, others: 0, holders: 1, self: true, maxWorkers: 444},
		"just above one":               {racks: 14, others: 10, holders: 2, maxWorkers: 21},
		"planned size":                 {racks: 148, others: 440, holders: 12, maxWorkers: 39},
		"fewer agents than partitions": {racks: 148, others: 3, holders: 4, self: true, maxWorkers: 117},
		"exactly enough":               {racks: 148, others: 12, holders: 12, maxWorkers: 39},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			racks := workersPerRack(tt.racks)
			load := map[string]int{}
			for rack, holder := range lease.AssignRacks("acari", "self", agentNames(tt.others), racks, limit) {
				load[holder] += racks[rack]
			}
			total := 0
			for _, workers := range load {
				total += workers
				c.Check(workers <= tt.maxWorkers, qt.IsTrue, qt.Commentf("%v", load))
			}
			c.Check(total, qt.Equals, tt.racks*3)
			c.Check(load, qt.HasLen, tt.holders)
			c.Check(load["self"] > 0, qt.Equals, tt.self)
		})
	}
}

// Guards against the leave of one agent moving the leases of all others.
func TestAssignRacksMovesFewRacks(t *testing.T) {
	c := qt.New(t)
	racks := workersPerRack(148)
	all := agentNames(20)
	before := lease.AssignRacks("acari", "self", all, racks, 40)
	moved, orphaned := 0, 0
	for i, gone := range all {
		others := append(append([]string{}, all[:i]...), all[i+1:]...)
		for rack, holder := range lease.AssignRacks("acari", "self", others, racks, 40) {
			if before[rack] == gone {
				orphaned++
			}
			if before[rack] != holder {
				moved++
			}
		}
	}
	// The new holder of a partition may have held a later one, which then moves too.
	c.Check(orphaned, qt.Equals, len(racks))
	c.Check(moved <= orphaned*3/2, qt.IsTrue, qt.Commentf("%d racks of agents that left, %d moved", orphaned, moved))
}
