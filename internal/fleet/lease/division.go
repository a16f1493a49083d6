package lease

const (
	// usualTasks run on a worker at the planned size. A worker with fewer counts
	// as much, so that parts do not move while the load is usual.
	usualTasks = 13
	// baseWorkerCost is the cost of a worker with its usual tasks, counted in tasks:
	// 199 B/s, of which one task takes 3.9 B/s.
	baseWorkerCost = 52
	// lowUpdates is the number of updates in a row after which a lower cost
	// makes fewer parts.
	lowUpdates = 10
)

// Partitioner is how the racks of a data centre are cut into parts. It follows the
// tasks with hysteresis, because each move of a part costs a takeover.
type Partitioner struct {
	limit int            // limit is the cost of a part.
	costs map[string]int // costs of the racks by which they were last cut; nil before the first update.
	low   int            // low counts the last updates that called for fewer parts.
}

// NewPartitioner returns a division without racks. The cost of a part is that of a
// number of workers with their usual tasks.
func NewPartitioner(workers int) *Partitioner { return &Partitioner{limit: workers * baseWorkerCost} }

// WorkerCost returns what a worker costs its holder.
func WorkerCost(tasks int) int { return baseWorkerCost + max(0, tasks-usualTasks) }

// Holders maps the racks to members.
func (d *Partitioner) Holders(dataCentre, self string, others []string) map[string]string {
	return AssignRacks(dataCentre, self, others, d.costs, d.limit)
}

// Update takes the present costs of the racks and reports whether the parts may
// have changed.
func (d *Partitioner) Update(costs map[string]int) bool {
	if d.costs != nil && !d.hasGrown(costs) && !d.hasFallen(costs) {
		return false
	}
	d.costs, d.low = costs, 0
	return true
}

// hasGrown reports whether a part is above the limit by more than a tenth, which
// the budget of an agent allows at the default, and new parts would lower the
// largest cost by a twentieth. They may not, because racks are not cut.
func (d *Partitioner) hasGrown(costs map[string]int) bool {
	largest := largestPart(cut(d.costs, d.limit), costs)
	return 10*largest > 11*d.limit && 21*largestPart(cut(costs, d.limit), costs) <= 20*largest
}

// hasFallen reports whether fewer parts would have been filled to three quarters
// at most for a number of updates.
func (d *Partitioner) hasFallen(costs map[string]int) bool {
	if partCount(costs, d.limit*3/4) < partCount(d.costs, d.limit) {
		d.low++
	} else {
		d.low = 0
	}
	return d.low >= lowUpdates
}

func largestPart(parts [][]string, costs map[string]int) int {
	largest := 0
	for _, part := range parts {
		cost := 0
		for _, rack := range part {
			cost += costs[rack]
		}
		largest = max(largest, cost)
	}
	return largest
}
