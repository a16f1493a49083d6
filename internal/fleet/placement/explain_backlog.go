package placement

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"wasabihoist/internal/tenancy/organisation"
)

// rest is what a decision that reached its limit has left of the jobs of one
// organisation.
type rest struct {
	first *entry   // first is the next job; the later ones of the queue are left too when their class is open.
	fresh []*entry // fresh are the jobs that are left when only new ones were tried; nil otherwise.
}

// leave keeps for explanations where the turns ended. It costs a step for each
// organisation, after as many searches as one decision may make.
func (r *round) leave(h *turns) {
	r.left = make(map[*tenant]rest, len(h.list))
	for _, t := range h.list {
		if t.fresh != nil {
			r.left[t.tenant] = rest{fresh: t.fresh[t.at:]}
			continue
		}
		r.left[t.tenant] = rest{first: t.tenant.queue[t.at]}
	}
}

// isLeft reports whether the last decision ended before the turn of the waiting
// job. Urgent jobs are placed before the turns, without a limit.
func (p *Planner) isLeft(e *entry) bool {
	v, ok := p.left[e.tenant]
	switch {
	case !ok || e.job.Urgent || p.hasFailed(e):
		return false
	case v.fresh != nil:
		_, found := slices.BinarySearchFunc(v.fresh, e, compareEntries)
		return found
	}
	return e.class.open && compareEntries(e, v.first) >= 0
}

// ahead sums up the waiting jobs whose turn comes before that of a job.
type ahead struct {
	jobs     int
	searches int   // searches counts the jobs among them that the last decision has left as well and that may find room.
	work     int64 // work is their accelerator-seconds.
	mostly   string
}

// String names the number of jobs and where most of them belong.
func (a ahead) String() string {
	if a.jobs == 0 {
		return "no job before it in its order"
	}
	return fmt.Sprintf("%d jobs before it in its order, %s", a.jobs, a.mostly)
}

// before sums up the jobs whose turn comes first. It goes through the turns as a
// decision does, on copies of the organisations. Each job whose plan allows it is
// taken to start, but for those that the last decision found no place for when
// it did not reach the job.
func (x *explainer) before() ahead {
	isLeft, free := x.isLeft(x.entry), x.freeAccelerators()
	shapes := map[organisation.Shape]int{}
	all := x.assumedTurns()
	h := &turns{list: slices.Clone(all)}
	heap.Init(h)
	var a ahead
	for h.Len() > 0 {
		t := h.list[0]
		o := t.tenant.queue[t.at]
		if o == x.entry {
			break
		}
		a.jobs++
		a.work += o.work()
		shapes[o.job.Shape]++
		left := x.isLeft(o)
		if free -= o.job.Shape.Total(); left && free >= 0 {
			a.searches++
		}
		if (left || !isLeft) && t.tenant.permits(o) {
			t.tenant.used = t.tenant.used.Plus(times(o.member, o.job.Shape.Members))
		}
		if t.at++; t.at == len(t.tenant.queue) {
			heap.Pop(h)
			continue
		}
		t.key = x.assumedKey(t)
		heap.Fix(h, 0)
	}
	a.mostly = mostOf(all, shapes)
	return a
}

// assumedTurns lists the organisations with waiting jobs. The turns have copies
// of them, so that what they use can be assumed.
func (x *explainer) assumedTurns() []*turn {
	var list []*turn
	for _, o := range x.order {
		if len(o.queue) > 0 {
			assumed := *o
			t := &turn{tenant: &assumed}
			t.key = x.assumedKey(t)
			list = append(list, t)
		}
	}
	return list
}

// assumedKey orders the turns. Of two equal turns either may be first, so that of
// the explained job counts as the later one.
func (x *explainer) assumedKey(t *turn) float64 {
	x.probe = *t.tenant.queue[t.at]
	x.probe.tenant = t.tenant
	key := x.policy.turn(&x.probe, x.model.capacity, &x.options)
	if t.tenant.name == x.entry.tenant.name {
		return math.Nextafter(key, math.Inf(1))
	}
	return key
}

// freeAccelerators are those that a decision may give to waiting jobs.
func (x *explainer) freeAccelerators() int {
	free := 0
	for _, r := range x.model.racks {
		for _, n := range r.nodes {
			free += max(usable(n, n.available()).Accelerators, 0)
		}
	}
	return free
}

// mostOf names the organisation or shape of most of the jobs that had their
// turn. Of two with as many jobs it takes the organisation, then the first by
// name.
func mostOf(all []*turn, shapes map[organisation.Shape]int) string {
	most, mostly := 0, ""
	for _, t := range all {
		if t.at > most {
			most, mostly = t.at, "organisation "+t.tenant.name
		}
	}
	for s, count := range shapes {
		name := "shape " + s.String()
		if count > most || (count == most && name < mostly) {
			most, mostly = count, name
		}
	}
	return fmt.Sprintf("%d of them of %s", most, mostly)
}

// backlog returns the cause that lies in a long backlog: the job was put off, or
// the last decision did not reach it. It is false for other jobs.
func (x *explainer) backlog() (cause, bool) {
	e, left := x.entry, x.isLeft(x.entry)
	if !left && !e.putOff {
		return cause{}, false
	}
	a := x.before()
	blocked, needed := []string{a.String()}, []string(nil)
	if left {
		blocked = append(blocked, fmt.Sprintf("the last decision reached its limit of %d searches before its turn", x.options.SearchLimit))
		needed = append(needed, x.examined(a))
	}
	if e.putOff {
		blocked = append(blocked, fmt.Sprintf("put off as one of the largest jobs when the waiting work took the fleet longer than %s", x.options.BacklogLimit))
		needed = append(needed, x.afterPutOff(a))
	}
	return cause{strings.Join(blocked, "; "), strings.Join(needed, ", and ")}, true
}

// examined says when a decision reaches the job. Each decision searches for as
// many of the jobs before it as the limit allows, and it passes over the others
// when nothing is free any more.
func (x *explainer) examined(a ahead) string {
	decisions := a.searches/max(x.options.SearchLimit, 1) + 1
	text := fmt.Sprintf("it is examined in about %d decisions", decisions)
	if x.interval > 0 {
		text += ", at " + x.clock(time.Duration(decisions)*x.interval)
	}
	return text
}

// afterPutOff says when the work of the jobs before it is done by the whole
// fleet, and from when the job may get a reservation.
func (x *explainer) afterPutOff(a ahead) string {
	text := "the jobs before it leave room"
	if fleet := max(x.fleet, x.model.capacity.Accelerators); fleet > 0 {
		text += ", at about " + x.clock(time.Duration(a.work/int64(fleet))*time.Second)
	}
	since := x.now.Sub(x.entry.job.Submitted)
	return text + ", or it gets a reservation after " + x.clock(x.reserveAfter(x.entry)-since)
}

// clock formats the time after a wait.
func (x *explainer) clock(wait time.Duration) string {
	return x.now.Add(wait).UTC().Format(time.RFC3339)
}
