package placement

import (
	"cmp"
	"slices"

	"wasabihoist/internal/fleet/worker"
)

// node is one worker in the model.
type node struct {
	worker      worker.Worker
	rack        *rack
	used        worker.Resources // used by tasks that have been decided on and have not ended.
	promised    worker.Resources // promised to jobs that wait for others to leave.
	schedulable bool
	tasks       map[*entry]int // tasks counts the members of each job on this worker.
}

// available returns what a new task may use. Values are negative while a
// promise waits for others to leave.
func (n *node) available() worker.Resources {
	return n.worker.Capacity.Minus(n.used).Minus(n.promised)
}

// physical returns what no task uses.
func (n *node) physical() worker.Resources { return n.worker.Capacity.Minus(n.used) }

// slots returns how many members of the given size fit, at most limit.
func slots(available, member worker.Resources, limit int) int {
	count := limit
	if member.Accelerators > 0 {
		count = min(count, available.Accelerators/member.Accelerators)
	}
	if member.Cores > 0 {
		count = min(count, int(available.Cores/member.Cores+coreRounding))
	}
	if member.Memory > 0 {
		count = min(count, int(available.Memory/member.Memory))
	}
	return max(count, 0)
}

// coreRounding absorbs the rounding error of sums of fractional cores.
const coreRounding = 1e-9

// rack is the group of workers that share a switch.
type rack struct {
	name  string
	nodes []*node // nodes in name order.
}

// model is what the planner knows of its data centre.
type model struct {
	racks []*rack // racks in name order.
	nodes map[string]*node
}

func newModel() *model { return &model{nodes: map[string]*node{}} }

func (m *model) add(w worker.Worker) *node {
	r := m.rack(w.Rack)
	n := &node{worker: w, rack: r, schedulable: true, tasks: map[*entry]int{}}
	at, _ := slices.BinarySearchFunc(r.nodes, w.Name, func(n *node, name string) int {
		return cmp.Compare(n.worker.Name, name)
	})
	r.nodes = slices.Insert(r.nodes, at, n)
	m.nodes[w.Name] = n
	return n
}

func (m *model) rack(name string) *rack {
	at, found := slices.BinarySearchFunc(m.racks, name, func(r *rack, name string) int {
		return cmp.Compare(r.name, name)
	})
	if !found {
		m.racks = slices.Insert(m.racks, at, &rack{name: name})
	}
	return m.racks[at]
}

func (m *model) remove(n *node) {
	delete(m.nodes, n.worker.Name)
	n.rack.nodes = slices.DeleteFunc(n.rack.nodes, func(o *node) bool { return o == n })
	if len(n.rack.nodes) == 0 {
		m.racks = slices.DeleteFunc(m.racks, func(o *rack) bool { return o == n.rack })
	}
}

// occupy records that the members of e use their places.
func (m *model) occupy(e *entry) {
	for _, n := range e.place {
		n.used = n.used.Plus(e.member)
		n.tasks[e]++
	}
}

// vacate undoes occupy.
func (m *model) vacate(e *entry) {
	for _, n := range e.place {
		n.used = n.used.Minus(e.member)
		n.tasks[e]--
		if n.tasks[e] == 0 {
			delete(n.tasks, e)
		}
	}
}
