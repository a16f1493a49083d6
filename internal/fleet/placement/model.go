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
	leaving     worker.Resources // leaving is the part of used whose jobs have been asked to leave.
	promised    worker.Resources // promised to jobs that wait for others to leave.
	schedulable bool             // schedulable workers are allowed new tasks and answer.
	allowed     bool             // allowed is what the owner says about new tasks.
	silent      bool             // silent workers have stopped answering.
	tasks       []task           // tasks has one element for each job, in order of arrival.
	reservation *reservation     // reservation of a waiting job for this worker; nil when there is none.
}

// task is the members of one job on one worker.
type task struct {
	entry *entry
	count int
}

func (n *node) addTask(e *entry) {
	for i := range n.tasks {
		if n.tasks[i].entry == e {
			n.tasks[i].count++
			return
		}
	}
	n.tasks = append(n.tasks, task{e, 1})
}

func (n *node) removeTask(e *entry) {
	for i := range n.tasks {
		if n.tasks[i].entry != e {
			continue
		}
		if n.tasks[i].count--; n.tasks[i].count == 0 {
			n.tasks = slices.Delete(n.tasks, i, i+1)
		}
		return
	}
}

// available returns what a new task may use. Values are negative while a
// promise waits for others to leave.
func (n *node) available() worker.Resources {
	return n.worker.Capacity.Minus(n.used).Minus(n.promised)
}

// physical returns what no task uses.
func (n *node) physical() worker.Resources { return n.worker.Capacity.Minus(n.used) }

// eventual returns what is available once all that were asked to leave are gone.
func (n *node) eventual() worker.Resources { return n.available().Plus(n.leaving) }

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

// fits is Resources.Fits with room for the rounding of cores.
func fits(needed, available worker.Resources) bool {
	needed.Cores -= coreRounding
	return needed.Fits(available)
}

// coreRounding absorbs the rounding error of sums of fractional cores.
const coreRounding = 1e-6

// rack is the group of workers that share a switch.
type rack struct {
	name  string
	nodes []*node          // nodes in name order.
	dirty bool             // dirty racks have gained room since the last call of Decide.
	stale bool             // stale is true when most and free must be computed again.
	most  worker.Resources // most that is available on one worker, each resource by itself.
	free  int              // free accelerators of all schedulable workers.

	version uint64 // version grows with each change of a worker of the rack.
}

// refresh computes the summary again when a worker of the rack has changed.
func (r *rack) refresh() {
	if !r.stale {
		return
	}
	r.stale = false
	r.most, r.free = worker.Resources{}, 0
	for _, n := range r.nodes {
		if !n.schedulable {
			continue
		}
		a := n.available()
		r.free += max(a.Accelerators, 0)
		r.most.Accelerators = max(r.most.Accelerators, a.Accelerators)
		r.most.Cores = max(r.most.Cores, a.Cores)
		r.most.Memory = max(r.most.Memory, a.Memory)
	}
}

// model is what the planner knows of its data centre.
type model struct {
	racks    []*rack // racks in name order.
	nodes    map[string]*node
	capacity worker.Resources
	dirty    []*rack
	version  uint64 // version grows with each change of a worker.
	tallies  map[worker.Resources]*tally
}

func newModel() *model {
	return &model{nodes: map[string]*node{}, tallies: map[worker.Resources]*tally{}}
}

// touch records that a worker of the rack has changed.
func (m *model) touch(r *rack) {
	r.stale = true
	r.version++
	m.version++
}

// tally is how many members of one size fit on the data centre.
type tally struct {
	version uint64 // version of the model that total is for.
	total   int
	racks   map[*rack]rackTally
}

type rackTally struct {
	version uint64
	count   int
}

// tallyLimit bounds the sizes that are remembered. It is far above the number of
// sizes in use at one time; old ones are dropped all together.
const tallyLimit = 256

// roomFor returns how many members of the size fit on all schedulable workers.
// It counts again only on racks that have changed since it was last asked.
func (m *model) roomFor(member worker.Resources) int {
	t, ok := m.tallies[member]
	if !ok {
		if len(m.tallies) >= tallyLimit {
			clear(m.tallies)
		}
		t = &tally{racks: make(map[*rack]rackTally, len(m.racks))}
		m.tallies[member] = t
	}
	if ok && t.version == m.version {
		return t.total
	}
	t.version, t.total = m.version, 0
	for _, r := range m.racks {
		seen, ok := t.racks[r]
		if !ok || seen.version != r.version {
			seen = rackTally{version: r.version, count: r.roomFor(member)}
			t.racks[r] = seen
		}
		t.total += seen.count
	}
	return t.total
}

func (r *rack) roomFor(member worker.Resources) int {
	count := 0
	for _, n := range r.nodes {
		if n.schedulable {
			count += slots(n.available(), member, MaxMembers)
		}
	}
	return count
}

func (m *model) add(w worker.Worker) *node {
	r := m.rack(w.Rack)
	n := &node{worker: w, rack: r, schedulable: true, allowed: true}
	at, _ := slices.BinarySearchFunc(r.nodes, w.Name, func(n *node, name string) int {
		return cmp.Compare(n.worker.Name, name)
	})
	r.nodes = slices.Insert(r.nodes, at, n)
	m.nodes[w.Name] = n
	m.capacity = m.capacity.Plus(w.Capacity)
	m.gained(n)
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
	m.capacity = m.capacity.Minus(n.worker.Capacity)
	m.touch(n.rack)
	n.rack.nodes = slices.DeleteFunc(n.rack.nodes, func(o *node) bool { return o == n })
	if len(n.rack.nodes) == 0 {
		m.racks = slices.DeleteFunc(m.racks, func(o *rack) bool { return o == n.rack })
		clear(m.tallies)
		m.dirty = slices.DeleteFunc(m.dirty, func(o *rack) bool { return o == n.rack })
	}
}

// gained records that the worker has more room than before.
func (m *model) gained(n *node) {
	m.touch(n.rack)
	if !n.rack.dirty {
		n.rack.dirty = true
		m.dirty = append(m.dirty, n.rack)
	}
}

// settled forgets which racks have gained room.
func (m *model) settled() {
	for _, r := range m.dirty {
		r.dirty = false
	}
	m.dirty = m.dirty[:0]
}

// occupy records that the members of e use the place.
func (m *model) occupy(e *entry, place []*node) {
	for _, n := range place {
		n.used = n.used.Plus(e.member)
		n.addTask(e)
		m.touch(n.rack)
	}
}

// vacate undoes occupy.
func (m *model) vacate(e *entry, place []*node) {
	for _, n := range place {
		n.used = n.used.Minus(e.member)
		if e.isLeaving() {
			n.leaving = n.leaving.Minus(e.member)
		}
		n.removeTask(e)
		m.gained(n)
	}
}

// promise sets the place aside for a job that waits for others to leave.
func (m *model) promise(e *entry) {
	for _, n := range e.place {
		n.promised = n.promised.Plus(e.member)
		m.touch(n.rack)
	}
}

// unpromise undoes promise.
func (m *model) unpromise(e *entry) {
	for _, n := range e.place {
		n.promised = n.promised.Minus(e.member)
		m.touch(n.rack)
	}
}

// leave records that a job has been asked to leave.
func (m *model) leave(e *entry) {
	for _, n := range e.place {
		n.leaving = n.leaving.Plus(e.member)
	}
}
