package placement

import (
	"cmp"
	"slices"

	"wasabihoist/internal/fleet/worker"
)

// node is the scheduling state of one worker.
type node struct {
	worker      worker.Worker
	rack        *rack
	used        worker.Resources // used by tasks of jobs from their start decision until they end.
	releasing   worker.Resources // releasing is the part of used that belongs to jobs being reclaimed.
	held        worker.Resources // held for jobs in state Holding.
	schedulable bool             // schedulable workers are enabled and not silent.
	enabled     bool             // enabled is set by SetSchedulable.
	silent      bool             // silent workers do not answer; see SetSilent.
	jobs        []nodeJob        // jobs with members on the worker, in order of assignment.
	reservation *reservation     // reservation that covers this worker; nil when there is none.
}

// nodeJob is the members of one job on one worker.
type nodeJob struct {
	entry   *entry
	members int
}

func (n *node) addMember(e *entry) {
	for i := range n.jobs {
		if n.jobs[i].entry == e {
			n.jobs[i].members++
			return
		}
	}
	n.jobs = append(n.jobs, nodeJob{e, 1})
}

func (n *node) removeMember(e *entry) {
	for i := range n.jobs {
		if n.jobs[i].entry != e {
			continue
		}
		if n.jobs[i].members--; n.jobs[i].members == 0 {
			n.jobs = slices.Delete(n.jobs, i, i+1)
		}
		return
	}
}

// available returns the resources that a new task may use. Values are negative
// while resources are held for a job that waits for a reclaim.
func (n *node) available() worker.Resources {
	return n.worker.Capacity.Minus(n.used).Minus(n.held)
}

// unused returns the resources that no task uses, including held ones.
func (n *node) unused() worker.Resources { return n.worker.Capacity.Minus(n.used) }

// futureFree returns the resources that are available once all reclaimed jobs
// have stopped.
func (n *node) futureFree() worker.Resources { return n.available().Plus(n.releasing) }

// slots returns how many members of the given size fit, at most limit.
func slots(available, member worker.Resources, limit int) int {
	count := limit
	if member.Accelerators > 0 {
		count = min(count, available.Accelerators/member.Accelerators)
	}
	if member.Cores > 0 {
		count = min(count, int(available.Cores/member.Cores+coreTolerance))
	}
	if member.Memory > 0 {
		count = min(count, int(available.Memory/member.Memory))
	}
	return max(count, 0)
}

// fitsIn is Resources.Fits with a tolerance for rounding errors of cores.
func fitsIn(needed, available worker.Resources) bool {
	needed.Cores -= coreTolerance
	return needed.Fits(available)
}

// coreTolerance, in cores, absorbs the rounding errors of sums of fractional cores.
const coreTolerance = 1e-6

// rack is a group of workers that share a switch.
type rack struct {
	name             string
	nodes            []*node          // nodes sorted by name.
	gainedRoom       bool             // gainedRoom is true for racks that have more room than at the last call of Decide.
	cacheStale       bool             // cacheStale is true when maxAvailable and freeAccelerators must be recomputed.
	maxAvailable     worker.Resources // maxAvailable is the maximum available on any one worker, for each resource separately.
	freeAccelerators int              // freeAccelerators of all schedulable workers.

	version uint64 // version increases with each change of a worker of the rack.
}

// refreshCache recomputes maxAvailable and freeAccelerators if a worker of the rack
// has changed.
func (r *rack) refreshCache() {
	if !r.cacheStale {
		return
	}
	r.cacheStale = false
	r.maxAvailable, r.freeAccelerators = worker.Resources{}, 0
	for _, n := range r.nodes {
		if !n.schedulable {
			continue
		}
		a := n.available()
		r.freeAccelerators += max(a.Accelerators, 0)
		r.maxAvailable.Accelerators = max(r.maxAvailable.Accelerators, a.Accelerators)
		r.maxAvailable.Cores = max(r.maxAvailable.Cores, a.Cores)
		r.maxAvailable.Memory = max(r.maxAvailable.Memory, a.Memory)
	}
}

// model is the planner's view of the workers of its data centre.
type model struct {
	racks       []*rack // racks sorted by name.
	nodes       map[string]*node
	capacity    worker.Resources
	gainedRacks []*rack
	version     uint64 // version increases with each change of a worker.
	slotCounts  map[worker.Resources]*slotCount
}

func newModel() *model {
	return &model{nodes: map[string]*node{}, slotCounts: map[worker.Resources]*slotCount{}}
}

// markChanged invalidates what was computed for the rack.
func (m *model) markChanged(r *rack) {
	r.cacheStale = true
	r.version++
	m.version++
}

// slotCount caches how many members of one size fit in the data centre.
type slotCount struct {
	version uint64 // version of the model at which total was computed.
	total   int
	racks   map[*rack]rackSlotCount
}

type rackSlotCount struct {
	version uint64
	count   int
}

// maxSlotCounts bounds the cached sizes. It is far above the number of sizes
// in use at the same time; when it is reached, the whole cache is cleared.
const maxSlotCounts = 256

// countSlots returns how many members of the size fit on all schedulable
// workers. It recounts only racks that have changed since the last call.
func (m *model) countSlots(member worker.Resources) int {
	t, ok := m.slotCounts[member]
	if !ok {
		if len(m.slotCounts) >= maxSlotCounts {
			clear(m.slotCounts)
		}
		t = &slotCount{racks: make(map[*rack]rackSlotCount, len(m.racks))}
		m.slotCounts[member] = t
	}
	if ok && t.version == m.version {
		return t.total
	}
	t.version, t.total = m.version, 0
	for _, r := range m.racks {
		cached, ok := t.racks[r]
		if !ok || cached.version != r.version {
			cached = rackSlotCount{version: r.version, count: r.countSlots(member)}
			t.racks[r] = cached
		}
		t.total += cached.count
	}
	return t.total
}

func (r *rack) countSlots(member worker.Resources) int {
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
	n := &node{worker: w, rack: r, schedulable: true, enabled: true}
	at, _ := slices.BinarySearchFunc(r.nodes, w.Name, func(n *node, name string) int {
		return cmp.Compare(n.worker.Name, name)
	})
	r.nodes = slices.Insert(r.nodes, at, n)
	m.nodes[w.Name] = n
	m.capacity = m.capacity.Plus(w.Capacity)
	m.markGainedRoom(n)
	return n
}

// rack returns the rack with the given name, and adds it when it is new.
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
	m.markChanged(n.rack)
	n.rack.nodes = slices.DeleteFunc(n.rack.nodes, func(o *node) bool { return o == n })
	if len(n.rack.nodes) == 0 {
		m.racks = slices.DeleteFunc(m.racks, func(o *rack) bool { return o == n.rack })
		clear(m.slotCounts)
		m.gainedRacks = slices.DeleteFunc(m.gainedRacks, func(o *rack) bool { return o == n.rack })
	}
}

// markGainedRoom records that the worker has more room than before.
func (m *model) markGainedRoom(n *node) {
	m.markChanged(n.rack)
	if !n.rack.gainedRoom {
		n.rack.gainedRoom = true
		m.gainedRacks = append(m.gainedRacks, n.rack)
	}
}

// clearGainedRoom resets the set of racks that have gained room.
func (m *model) clearGainedRoom() {
	for _, r := range m.gainedRacks {
		r.gainedRoom = false
	}
	m.gainedRacks = m.gainedRacks[:0]
}

// allocate adds the resources of the members of e to their workers.
func (m *model) allocate(e *entry, placement []*node) {
	for _, n := range placement {
		n.used = n.used.Plus(e.member)
		n.addMember(e)
		m.markChanged(n.rack)
	}
}

// release undoes allocate.
func (m *model) release(e *entry, placement []*node) {
	for _, n := range placement {
		n.used = n.used.Minus(e.member)
		if e.isReleasing() {
			n.releasing = n.releasing.Minus(e.member)
		}
		n.removeMember(e)
		m.markGainedRoom(n)
	}
}

// addHeld holds the placement of a job that waits for a reclaim.
func (m *model) addHeld(e *entry) {
	for _, n := range e.placement {
		n.held = n.held.Plus(e.member)
		m.markChanged(n.rack)
	}
}

// removeHeld undoes addHeld.
func (m *model) removeHeld(e *entry) {
	for _, n := range e.placement {
		n.held = n.held.Minus(e.member)
		m.markChanged(n.rack)
	}
}

// addReleasing counts the resources of a job that is being reclaimed as releasing.
func (m *model) addReleasing(e *entry) {
	for _, n := range e.placement {
		n.releasing = n.releasing.Plus(e.member)
	}
}
