package lease_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/lease"
)

func members(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("agent-%d", i))
	}
	return names
}

func racksOf(count int) map[string]int {
	racks := map[string]int{}
	for i := range count {
		racks[fmt.Sprintf("rack-%d", i)] = 3
	}
	return racks
}

// Guards against holders with more workers than their budget carries, and
// against leases that leave the scheduler's agent in a small data centre.
func TestShareBoundsTheHolders(t *testing.T) {
	const limit = 40
	tests := map[string]struct {
		racks, others int
		holders       int
		self          bool // self holds leases
		most          int  // most workers of one holder
	}{
		"small":              {racks: 4, others: 10, holders: 1, self: true, most: 12},
		"no other agent":     {racks: 148, others: 0, holders: 1, self: true, most: 444},
		"just above one":     {racks: 14, others: 10, holders: 2, most: 21},
		"planned size":       {racks: 148, others: 440, holders: 12, most: 39},
		"fewer than are due": {racks: 148, others: 3, holders: 4, self: true, most: 117},
		"exactly enough":     {racks: 148, others: 12, holders: 12, most: 39},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			racks := racksOf(tt.racks)
			load := map[string]int{}
			for rack, holder := range lease.AssignRacks("acari", "self", members(tt.others), racks, limit) {
				load[holder] += racks[rack]
			}
			total := 0
			for _, workers := range load {
				total += workers
				c.Check(workers <= tt.most, qt.IsTrue, qt.Commentf("%v", load))
			}
			c.Check(total, qt.Equals, tt.racks*3)
			c.Check(load, qt.HasLen, tt.holders)
			c.Check(load["self"] > 0, qt.Equals, tt.self)
		})
	}
}

// Guards against a change of one agent that moves the leases of all.
func TestShareMovesFewRacks(t *testing.T) {
	c := qt.New(t)
	racks := racksOf(148)
	all := members(20)
	before := lease.AssignRacks("acari", "self", all, racks, 40)
	moved, had := 0, 0
	for i, gone := range all {
		others := append(append([]string{}, all[:i]...), all[i+1:]...)
		for rack, holder := range lease.AssignRacks("acari", "self", others, racks, 40) {
			if before[rack] == gone {
				had++
			}
			if before[rack] != holder {
				moved++
			}
		}
	}
	// A successor may have had a later part, which then moves as well.
	c.Check(had, qt.Equals, len(racks))
	c.Check(moved <= had*3/2, qt.IsTrue, qt.Commentf("%d racks of agents that left, %d moved", had, moved))
}
