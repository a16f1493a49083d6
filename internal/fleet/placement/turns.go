package placement

import (
	"container/heap"
	"slices"

	"wasabihoist/internal/fleet/job"
)

// turns is a heap of the organisations that have jobs to try.
type turns struct {
	list []*turn
}

// turn is the position of one organisation in its list of jobs to try.
type turn struct {
	tenant  *tenant
	arrived []*entry // arrived is the list to try; nil for the whole queue.
	next    int      // next is the index of the next job in the list.
	key     float64  // key orders the turns; see jobOrder.turnKey.
}

// nextJob returns the next job to try, or nil. It advances next past the jobs that no
// longer wait or cannot fit.
func (t *turn) nextJob() *entry {
	list := t.tenant.queue
	if t.arrived != nil {
		list = t.arrived
	}
	for t.next < len(list) {
		if e := list[t.next]; e.state == Waiting && (t.arrived != nil || e.class.mayFit) {
			return e
		}
		t.next++
	}
	return nil
}

func (h *turns) Len() int           { return len(h.list) }
func (h *turns) Less(i, j int) bool { return h.list[i].key < h.list[j].key }
func (h *turns) Swap(i, j int)      { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *turns) Push(x any)         { h.list = append(h.list, x.(*turn)) }

func (h *turns) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

// startBorrowedJobs starts borrowed jobs. Organisations take turns in the
// order of the policy; after a job that does not fit, the next job of its
// organisation is tried.
func (r *round) startBorrowedJobs(gained bool) {
	queue := r.newTurns(gained)
	for queue.Len() > 0 {
		t := queue.list[0]
		e := t.nextJob()
		if e == nil {
			heap.Pop(queue)
			continue
		}
		if r.searches >= r.options.SearchLimit {
			r.rescanAll = true
			r.recordUnexamined(queue)
			return
		}
		started := r.startBorrowed(e)
		if !started || t.arrived != nil {
			t.next++
		}
		if next := t.nextJob(); next != nil {
			t.key = r.policy.turnKey(next, r.model.capacity, &r.options)
			heap.Fix(queue, 0)
		}
	}
}

// newTurns lists the organisations with waiting jobs, or only those with new jobs when
// no room was gained. Before that it defers and demotes jobs if the policy does so. It
// clears the lists of new jobs.
func (r *round) newTurns(gained bool) *turns {
	if r.policy.adjustsRanks() {
		r.boundBacklog()
	}
	queue := &turns{}
	for _, t := range r.tenantsByName {
		if r.policy.adjustsRanks() {
			r.demoteLateJobs(t)
		}
		x := &turn{tenant: t}
		if !gained {
			if len(t.arrived) == 0 {
				continue
			}
			x.arrived = slices.SortedFunc(slices.Values(t.arrived), compareEntries)
		}
		t.arrived = t.arrived[:0]
		if e := x.nextJob(); e != nil {
			x.key = r.policy.turnKey(e, r.model.capacity, &r.options)
			queue.list = append(queue.list, x)
		}
	}
	heap.Init(queue)
	return queue
}

// demoteLateJobs moves jobs that can no longer meet their deadline to the rank
// that they would have without one. Ranks are latest start times, so only the
// head of the queue is examined.
func (r *round) demoteLateJobs(t *tenant) {
	now := seconds(r.now)
	canDemote := func(e *entry) bool { return !e.demoted && !e.deferred && !e.job.Deadline.IsZero() }
	for at := 0; at < len(t.queue) && t.queue[at].rank < now; {
		e := t.queue[at]
		if !canDemote(e) {
			at++
			continue
		}
		t.queue = slices.Delete(t.queue, at, at+1)
		e.demoted = true
		e.rank = r.policy.rank(e, &r.options)
		to, _ := slices.BinarySearchFunc(t.queue, e, compareEntries)
		t.queue = slices.Insert(t.queue, to, e)
		if to <= at {
			at++
		}
	}
}

// startBorrowed starts the job outside the guarantees of its organisation, and reports
// whether it did.
func (r *round) startBorrowed(e *entry) bool {
	if reason := r.borrowRefusal(e); reason != "" {
		e.reason = reason
		return false
	}
	placement := r.search(e)
	if placement == nil {
		e.reason = reasonNoPlacement
		return false
	}
	r.startOn(e, placement, 0, r.policy.String())
	return true
}

// borrowRefusal returns why the job may not borrow, or an empty string if it may.
func (r *round) borrowRefusal(e *entry) string {
	if e.job.Shape.Total() == 0 {
		return ""
	}
	if !r.lending {
		return reasonLendingStopped
	}
	if !e.tenant.permits(e) {
		return reasonAcceleratorLimit
	}
	return ""
}

// search returns a placement for the job, or nil, and records a failure for its class.
// If the last search for the class failed in the previous generation, only racks that
// have gained room are tried.
func (r *round) search(e *entry) []*node {
	c, racks := e.class, r.model.racks
	if r.hasFailedInGeneration(e) {
		return nil
	}
	if r.isCoveredByLastSearch(e) && c.failedGeneration == r.searchGeneration-1 && c.failedGeneration > 0 {
		if racks = r.model.gainedRacks; len(racks) == 0 {
			return nil
		}
	}
	r.searches++
	placement := r.findPlacement(e, e.job.Shape.Adjacency, racks, r.now)
	if placement == nil {
		c.failedGeneration, c.failedRunTime = r.searchGeneration, e.runTime
		// A shorter job of the class may still fit before a reservation.
		c.mayFit = len(r.reservations) > 0 && e.runTime > c.minRunTime
	}
	return placement
}

// isCoveredByLastSearch reports whether the result of the last failed search
// of the class holds for the job.
func (p *Planner) isCoveredByLastSearch(e *entry) bool {
	return len(p.reservations) == 0 || e.runTime >= e.class.failedRunTime
}

// hasFailedInGeneration reports whether a search of the current generation has shown
// that the job does not fit.
func (p *Planner) hasFailedInGeneration(e *entry) bool {
	return p.isCoveredByLastSearch(e) && e.class.failedGeneration == p.searchGeneration
}

// findFittingClasses marks the classes of waiting jobs that may fit now, so
// that the queues are scanned only when some job may start. It reports whether
// there are any. A class is searched with its lowest run time, which fits
// before a reservation if any of its jobs does.
func (r *round) findFittingClasses() bool {
	found := false
	for key, c := range r.classes {
		probe := &entry{class: c, member: key.member, runTime: c.minRunTime, job: job.Job{Shape: key.shape}}
		searches := r.searches
		c.mayFit = true
		c.mayFit = r.search(probe) != nil
		r.searches = searches
		found = found || c.mayFit
	}
	return found
}
