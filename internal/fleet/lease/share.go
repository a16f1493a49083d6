package lease

import (
	"cmp"
	"fmt"
	"slices"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/cluster/rendezvous"
)

// AssignRacks divides the racks of a data centre among members and maps racks to
// members. The racks, given with their costs, are cut into parts of at most
// limit, give or take a rack, and each part belongs to the first member in
// rendezvous order of (part, member) that has fewest parts, so that a join or a
// leave moves the part of one member. self is the scheduler's own agent: it holds the leases
// when they are one part, and otherwise only when the other agents are fewer
// than the parts, because it has the placement to do.
func AssignRacks(dataCentre, self string, others []string, costs map[string]int, limit int) map[string]string {
	parts := cut(costs, limit)
	members := slices.Clone(others)
	if len(parts) <= 1 {
		members = nil
	}
	if len(members) < len(parts) {
		members = append(members, self)
	}
	shares := map[string]string{}
	load := map[string]int{}
	for i, part := range parts {
		key := rendezvous.Hash(fmt.Sprintf("leases\x00%s\x00%d", dataCentre, i))
		holder := slices.MinFunc(members, func(a, b string) int {
			weightA, weightB := rendezvous.Combine(key, rendezvous.Hash(a)), rendezvous.Combine(key, rendezvous.Hash(b))
			return cmp.Or(cmp.Compare(load[a], load[b]), cmp.Compare(weightB, weightA), cmp.Compare(a, b))
		})
		load[holder]++
		for _, rack := range part {
			shares[rack] = holder
		}
	}
	return shares
}

// cut divides the racks, in the order of their names, into parts of about equal
// cost. It depends on the costs only.
func cut(costs map[string]int, limit int) [][]string {
	total, count := totalCost(costs), partCount(costs, limit)
	names := collection.NewSet[string]()
	for name := range costs {
		names.Add(name)
	}
	var parts [][]string
	placed := 0
	for _, name := range names.Sorted() {
		// The part in which the middle of the rack lies.
		part := (2*placed + costs[name]) * count / (2 * max(total, 1))
		for len(parts) <= part {
			parts = append(parts, nil)
		}
		parts[part] = append(parts[part], name)
		placed += costs[name]
	}
	return parts
}

// partCount is the number of parts if racks could be cut.
func partCount(costs map[string]int, limit int) int {
	return (totalCost(costs) + limit - 1) / limit
}

func totalCost(costs map[string]int) int {
	total := 0
	for _, cost := range costs {
		total += cost
	}
	return total
}
