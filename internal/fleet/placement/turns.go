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

type turn struct {
	tenant *tenant
	fresh  []*entry // fresh is the list to try; nil for the whole queue.
	at     int
	key    float64
}

// head returns the next job to try, or nil.
func (t *turn) head() *entry {
	list := t.tenant.queue
	if t.fresh != nil {
		list = t.fresh
	}
	for t.at < len(list) {
		if e := list[t.at]; e.state == Waiting && (t.fresh != nil || e.class.open) {
			return e
		}
		t.at++
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

// takeTurns starts borrowed jobs. Organisations take turns in the order of the
// policy; a job that does not fit lets the next one of its organisation try.
func (r *round) takeTurns(gained bool) {
	h := r.newTurns(gained)
	for h.Len() > 0 {
		t := h.list[0]
		e := t.head()
		if e == nil {
			heap.Pop(h)
			continue
		}
		if r.attempts >= r.options.SearchLimit {
			r.rescan = true
			r.leave(h)
			return
		}
		started := r.borrow(e)
		if !started || t.fresh != nil {
			t.at++
		}
		if next := t.head(); next != nil {
			t.key = r.policy.turn(next, r.model.capacity, &r.options)
			heap.Fix(h, 0)
		}
	}
}

// newTurns lists the organisations with waiting jobs, or only those with new
// jobs when no room was gained.
func (r *round) newTurns(gained bool) *turns {
	if r.policy.demotes() {
		r.boundBacklog()
	}
	h := &turns{}
	for _, t := range r.order {
		if r.policy.demotes() {
			r.demote(t)
		}
		x := &turn{tenant: t}
		if !gained {
			if len(t.fresh) == 0 {
				continue
			}
			x.fresh = slices.SortedFunc(slices.Values(t.fresh), compareEntries)
		}
		t.fresh = t.fresh[:0]
		if e := x.head(); e != nil {
			x.key = r.policy.turn(e, r.model.capacity, &r.options)
			h.list = append(h.list, x)
		}
	}
	heap.Init(h)
	return h
}

// demote moves jobs that can no longer meet their deadline to where they would be
// without one. Ranks are the times at which jobs must start, so that only the
// head of the queue is looked at.
func (r *round) demote(t *tenant) {
	now := seconds(r.now)
	late := func(e *entry) bool { return !e.demoted && !e.putOff && !e.job.Deadline.IsZero() }
	for at := 0; at < len(t.queue) && t.queue[at].rank < now; {
		e := t.queue[at]
		if !late(e) {
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

// borrow starts the job outside of the guarantees of its organisation.
func (r *round) borrow(e *entry) bool {
	if reason := r.mayBorrow(e); reason != "" {
		e.reason = reason
		return false
	}
	place := r.search(e)
	if place == nil {
		e.reason = reasonNoRoom
		return false
	}
	r.start(e, place, 0, r.policy.String())
	return true
}

// mayBorrow returns why the job may not borrow, or nothing when it may.
func (r *round) mayBorrow(e *entry) string {
	if e.job.Shape.Total() == 0 {
		return ""
	}
	if !r.lent {
		return reasonLending
	}
	if !e.tenant.permits(e) {
		return reasonLimit
	}
	return ""
}

// search looks for a place where one may have appeared since the last search
// for a job of this class.
func (r *round) search(e *entry) []*node {
	c, racks := e.class, r.model.racks
	if r.hasFailed(e) {
		return nil
	}
	if r.isCovered(e) && c.round == r.round-1 && c.round > 0 {
		if racks = r.model.dirty; len(racks) == 0 {
			return nil
		}
	}
	r.attempts++
	place := r.find(e, e.job.Shape.Adjacency, racks, r.now)
	if place == nil {
		c.round, c.runTime = r.round, e.runTime
		// A shorter job of the class may still fit before a reservation.
		c.open = len(r.reservations) > 0 && e.runTime > c.least
	}
	return place
}

// isCovered reports whether the last failed search of the class speaks for the
// job.
func (p *Planner) isCovered(e *entry) bool {
	return len(p.reservations) == 0 || e.runTime >= e.class.runTime
}

// hasFailed reports whether a search of this round has shown that no place fits.
func (p *Planner) hasFailed(e *entry) bool { return p.isCovered(e) && e.class.round == p.round }

// openClasses finds the classes of waiting jobs that may fit now, so that the
// queues are walked only when some job may start. It reports whether there are
// any. A class is searched with its least run time, which fits before a
// reservation if any of its jobs does.
func (r *round) openClasses() bool {
	found := false
	for key, c := range r.classes {
		probe := &entry{class: c, member: key.member, runTime: c.least, job: job.Job{Shape: key.shape}}
		attempts := r.attempts
		c.open = true
		c.open = r.search(probe) != nil
		r.attempts = attempts
		found = found || c.open
	}
	return found
}
