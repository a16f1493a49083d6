package lease_test

import (
	"cmp"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/lease"
)

// Guards against partitions that cost more than the budget of their holders, and
// against partitions that move back and forth as tasks start and end. Each rack
// has three workers, and each worker the same number of tasks.
func TestPartitionerFollowsTasks(t *testing.T) {
	tests := map[string]struct {
		racks      int   // racks; 0 for 148, the planned size.
		tasks      []int // tasks on each worker at each update.
		updates    int   // updates that change the partitions, not counting the first.
		partitions int
	}{
		"usual load":         {tasks: []int{0, 13, 5, 13, 0}, partitions: 12},
		"within the slack":   {tasks: []int{13, 18, 14, 18, 13}, partitions: 12},
		"more tasks":         {tasks: []int{13, 39}, updates: 1, partitions: 17},
		"swings":             {tasks: slices.Repeat([]int{13, 39}, 20), updates: 1, partitions: 17},
		"falls a little":     {tasks: append([]int{27}, slices.Repeat([]int{20}, 30)...), partitions: 15},
		"falls for a while":  {tasks: append([]int{39}, slices.Repeat([]int{13}, 9)...), partitions: 17},
		"falls for good":     {tasks: append([]int{39}, slices.Repeat([]int{13}, 30)...), updates: 1, partitions: 12},
		"one large rack":     {racks: 1, tasks: []int{13, 2000, 2500}, partitions: 1},
		"grows step by step": {tasks: []int{13, 15, 17, 19, 21, 23, 25, 27, 29, 31, 33, 35, 37, 39}, updates: 4, partitions: 17},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			partitioner, updates := lease.NewPartitioner(40), -1
			for _, tasks := range tt.tasks {
				costs := workersPerRack(cmp.Or(tt.racks, 148))
				for rack := range costs {
					costs[rack] *= lease.WorkerCost(tasks)
				}
				if partitioner.Update(costs) {
					updates++
				}
			}
			holders := collection.NewSet(slices.Collect(maps.Values(partitioner.Holders("acari", "self", agentNames(440))))...)
			c.Check(updates, qt.Equals, tt.updates)
			c.Check(holders, qt.HasLen, tt.partitions)
		})
	}
}
