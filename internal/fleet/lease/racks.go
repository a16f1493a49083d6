package lease

import (
	"cmp"
	"fmt"
	"slices"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/cluster/rendezvous"
)

// AssignRacks maps the racks of a data centre to the agents that hold the leases
// of their workers. costs gives the cost of each rack. The racks are divided into
// partitions that cost at most maxCost, or up to a rack more because racks are not
// split. Each partition goes to the agent with the fewest partitions, and among
// those to the first in rendezvous order of (partition, agent), so that a join or a
// leave of one agent moves its partition and few others. self is the scheduler's
// own agent. It holds the leases when there is one partition, and otherwise only
// when there are fewer other agents than partitions, because it also runs the
// placement.
func AssignRacks(dataCentre, self string, otherAgents []string, costs map[string]int, maxCost int) map[string]string {
	partitions := partitionRacks(costs, maxCost)
	agents := slices.Clone(otherAgents)
	if len(partitions) <= 1 {
		agents = nil
	}
	if len(agents) < len(partitions) {
		agents = append(agents, self)
	}
	holders := map[string]string{}
	partitionsHeld := map[string]int{}
	for i, partition := range partitions {
		key := rendezvous.Hash(fmt.Sprintf("leases\x00%s\x00%d", dataCentre, i))
		holder := slices.MinFunc(agents, func(a, b string) int {
			weightA, weightB := rendezvous.Combine(key, rendezvous.Hash(a)), rendezvous.Combine(key, rendezvous.Hash(b))
			return cmp.Or(cmp.Compare(partitionsHeld[a], partitionsHeld[b]), cmp.Compare(weightB, weightA), cmp.Compare(a, b))
		})
		partitionsHeld[holder]++
		for _, rack := range partition {
			holders[rack] = holder
		}
	}
	return holders
}

// partitionRacks divides the racks, in the order of their names, into partitions
// of about equal cost. The result depends only on the arguments.
func partitionRacks(costs map[string]int, maxCost int) [][]string {
	total, count := totalCost(costs), partitionCount(costs, maxCost)
	names := collection.NewSet[string]()
	for name := range costs {
		names.Add(name)
	}
	var partitions [][]string
	precedingCost := 0
	for _, name := range names.Sorted() {
		// The rack goes to the partition that contains the middle of its cost range.
		partition := (2*precedingCost + costs[name]) * count / (2 * max(total, 1))
		for len(partitions) <= partition {
			partitions = append(partitions, nil)
		}
		partitions[partition] = append(partitions[partition], name)
		precedingCost += costs[name]
	}
	return partitions
}

// partitionCount returns the number of partitions, as if racks could be split.
func partitionCount(costs map[string]int, maxCost int) int {
	return (totalCost(costs) + maxCost - 1) / maxCost
}

func totalCost(costs map[string]int) int {
	total := 0
	for _, cost := range costs {
		total += cost
	}
	return total
}
