package lease

const (
	// typicalTasksPerWorker is the number of tasks on a worker at the planned size.
	// A worker with fewer tasks costs the same, so that partitions do not move under
	// typical load.
	typicalTasksPerWorker = 13
	// baseWorkerCost is the cost of a worker with typicalTasksPerWorker tasks. The
	// unit is the traffic of one task, 3.9 B/s; such a worker causes 199 B/s.
	baseWorkerCost = 52
	// shrinkAfterUpdates is the number of consecutive updates with a lower cost
	// after which the number of partitions falls.
	shrinkAfterUpdates = 10
)

// Partitioner divides the racks of a data centre into partitions, each with one
// lease holder. The number of partitions grows and shrinks with the number of
// tasks, but with hysteresis, because each partition that moves requires a takeover
// of its leases.
type Partitioner struct {
	maxCost           int            // maxCost is the target for the cost of a partition, in tasks.
	costs             map[string]int // costs of the racks at the last repartitioning; nil before the first update.
	shrinkableUpdates int            // shrinkableUpdates counts the consecutive updates for which fewer partitions would do.
}

// NewPartitioner returns a partitioner without racks. A partition may cost as much
// as the given number of workers with typical tasks.
func NewPartitioner(workers int) *Partitioner { return &Partitioner{maxCost: workers * baseWorkerCost} }

// WorkerCost returns the cost to its lease holder of a worker with a number of
// tasks, in units of one task.
func WorkerCost(tasks int) int { return baseWorkerCost + max(0, tasks-typicalTasksPerWorker) }

// Holders maps each rack to the agent that holds the leases of its workers. See
// AssignRacks for the arguments.
func (p *Partitioner) Holders(dataCentre, self string, otherAgents []string) map[string]string {
	return AssignRacks(dataCentre, self, otherAgents, p.costs, p.maxCost)
}

// Update takes the present cost of each rack, in tasks, and reports whether the
// partitions may have changed.
func (p *Partitioner) Update(costs map[string]int) bool {
	if p.costs != nil && !p.isOverloaded(costs) && !p.canShrink(costs) {
		return false
	}
	p.costs, p.shrinkableUpdates = costs, 0
	return true
}

// isOverloaded reports whether a partition exceeds maxCost by more than a tenth and
// repartitioning would lower the largest cost by at least about a twentieth. An
// excess of a tenth is within the default budget of an agent. Repartitioning does
// not always lower the cost, because racks are never split.
func (p *Partitioner) isOverloaded(costs map[string]int) bool {
	largest := largestPartitionCost(partitionRacks(p.costs, p.maxCost), costs)
	return 10*largest > 11*p.maxCost && 21*largestPartitionCost(partitionRacks(costs, p.maxCost), costs) <= 20*largest
}

// canShrink reports whether fewer partitions, filled to at most three quarters,
// would have sufficed for the last shrinkAfterUpdates updates.
func (p *Partitioner) canShrink(costs map[string]int) bool {
	if partitionCount(costs, p.maxCost*3/4) < partitionCount(p.costs, p.maxCost) {
		p.shrinkableUpdates++
	} else {
		p.shrinkableUpdates = 0
	}
	return p.shrinkableUpdates >= shrinkAfterUpdates
}

// largestPartitionCost returns the cost of the most expensive partition.
func largestPartitionCost(partitions [][]string, costs map[string]int) int {
	largest := 0
	for _, partition := range partitions {
		cost := 0
		for _, rack := range partition {
			cost += costs[rack]
		}
		largest = max(largest, cost)
	}
	return largest
}
