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

// unexaminedJobs is the jobs of one organisation that a decision did not reach
// before its search limit.
type unexaminedJobs struct {
	first   *entry   // first is the next job; the later ones of the queue are unexamined too if their class may fit.
	arrived []*entry // arrived is the unexamined jobs if only new jobs were tried; nil otherwise.
}

// recordUnexamined stores for explanations where the turns ended. It runs only when
// the search limit is reached, and takes one step for each organisation.
func (r *round) recordUnexamined(queue *turns) {
	r.unexamined = make(map[*tenant]unexaminedJobs, len(queue.list))
	for _, t := range queue.list {
		if t.arrived != nil {
			r.unexamined[t.tenant] = unexaminedJobs{arrived: t.arrived[t.next:]}
			continue
		}
		r.unexamined[t.tenant] = unexaminedJobs{first: t.tenant.queue[t.next]}
	}
}

// isUnexamined reports whether the last decision ended before the turn of the
// waiting job. Urgent jobs are placed before the turns, without a limit.
func (p *Planner) isUnexamined(e *entry) bool {
	v, ok := p.unexamined[e.tenant]
	switch {
	case !ok || e.job.Urgent || p.hasFailedInGeneration(e):
		return false
	case v.arrived != nil:
		_, found := slices.BinarySearchFunc(v.arrived, e, compareEntries)
		return found
	}
	return e.class.mayFit && compareEntries(e, v.first) >= 0
}

// jobsAhead summarises the waiting jobs whose turn comes before that of a job.
type jobsAhead struct {
	jobs         int
	searches     int   // searches counts those that the last decision did not examine either and that may find room.
	work         int64 // work is their accelerator-seconds.
	mostFrequent string
}

// String names the number of jobs and their most frequent organisation or shape.
func (a jobsAhead) String() string {
	if a.jobs == 0 {
		return "no job before it in its order"
	}
	return fmt.Sprintf("%d jobs before it in its order, %s", a.jobs, a.mostFrequent)
}

// simulateJobsAhead summarises the jobs whose turn comes before that of the explained
// job. It simulates the turns of a decision on copies of the organisations and
// assumes that each job that its plan permits starts. If the last decision did
// not examine the explained job, the jobs that it did examine are assumed not
// to start.
func (x *explainer) simulateJobsAhead() jobsAhead {
	selfUnexamined, free := x.isUnexamined(x.entry), x.freeAccelerators()
	shapes := map[organisation.Shape]int{}
	all := x.simulatedTurns()
	queue := &turns{list: slices.Clone(all)}
	heap.Init(queue)
	var a jobsAhead
	for queue.Len() > 0 {
		t := queue.list[0]
		o := t.tenant.queue[t.next]
		if o == x.entry {
			break
		}
		a.jobs++
		a.work += o.work()
		shapes[o.job.Shape]++
		unexamined := x.isUnexamined(o)
		if free -= o.job.Shape.Total(); unexamined && free >= 0 {
			a.searches++
		}
		if (unexamined || !selfUnexamined) && t.tenant.permits(o) {
			t.tenant.used = t.tenant.used.Plus(multiply(o.member, o.job.Shape.Members))
		}
		if t.next++; t.next == len(t.tenant.queue) {
			heap.Pop(queue)
			continue
		}
		t.key = x.simulatedKey(t)
		heap.Fix(queue, 0)
	}
	a.mostFrequent = mostFrequentOf(all, shapes)
	return a
}

// simulatedTurns lists the organisations with waiting jobs. The turns refer to
// copies of the tenants, so that the simulation can change their usage.
func (x *explainer) simulatedTurns() []*turn {
	var list []*turn
	for _, o := range x.tenantsByName {
		if len(o.queue) > 0 {
			simulated := *o
			t := &turn{tenant: &simulated}
			t.key = x.simulatedKey(t)
			list = append(list, t)
		}
	}
	return list
}

// simulatedKey orders the simulated turns. The order of equal turns is undefined, so
// the simulation puts the organisation of the explained job last among them.
func (x *explainer) simulatedKey(t *turn) float64 {
	x.probe = *t.tenant.queue[t.next]
	x.probe.tenant = t.tenant
	key := x.policy.turnKey(&x.probe, x.model.capacity, &x.options)
	if t.tenant.name == x.entry.tenant.name {
		return math.Nextafter(key, math.Inf(1))
	}
	return key
}

// freeAccelerators counts the accelerators that a decision may give to waiting
// jobs.
func (x *explainer) freeAccelerators() int {
	free := 0
	for _, r := range x.model.racks {
		for _, n := range r.nodes {
			free += max(zeroUnlessSchedulable(n, n.available()).Accelerators, 0)
		}
	}
	return free
}

// mostFrequentOf names the most frequent organisation or shape of the jobs that
// had their turn. Of an organisation and a shape with equally many jobs it
// names the organisation; other ties are resolved by name.
func mostFrequentOf(all []*turn, shapes map[organisation.Shape]int) string {
	most, mostFrequent := 0, ""
	for _, t := range all {
		if t.next > most {
			most, mostFrequent = t.next, "organisation "+t.tenant.name
		}
	}
	for s, count := range shapes {
		name := "shape " + s.String()
		if count > most || (count == most && name < mostFrequent) {
			most, mostFrequent = count, name
		}
	}
	return fmt.Sprintf("%d of them of %s", most, mostFrequent)
}

// backlogCause returns the cause that lies in a long backlog: the job was
// deferred, or the last decision did not reach it. It returns false for other jobs.
func (x *explainer) backlogCause() (cause, bool) {
	e, unexamined := x.entry, x.isUnexamined(x.entry)
	if !unexamined && !e.deferred {
		return cause{}, false
	}
	a := x.simulateJobsAhead()
	blocked, needed := []string{a.String()}, []string(nil)
	if unexamined {
		blocked = append(blocked, fmt.Sprintf("the last decision reached its limit of %d searches before its turn", x.options.SearchLimit))
		needed = append(needed, x.describeExamination(a))
	}
	if e.deferred {
		blocked = append(blocked, fmt.Sprintf("put off as one of the largest jobs when the waiting work took the fleet longer than %s", x.options.BacklogLimit))
		needed = append(needed, x.describeDeferral(a))
	}
	return cause{strings.Join(blocked, "; "), strings.Join(needed, ", and ")}, true
}

// describeExamination estimates when a decision reaches the job. Each decision
// searches for as many of the jobs before it as the limit allows, and skips
// the others when nothing is free any more.
func (x *explainer) describeExamination(a jobsAhead) string {
	decisions := a.searches/max(x.options.SearchLimit, 1) + 1
	text := fmt.Sprintf("it is examined in about %d decisions", decisions)
	if x.decisionInterval > 0 {
		text += ", at " + x.timeAfter(time.Duration(decisions)*x.decisionInterval)
	}
	return text
}

// describeDeferral estimates when the whole fleet has done the work of the
// jobs before it, and from when the job may get a reservation.
func (x *explainer) describeDeferral(a jobsAhead) string {
	text := "the jobs before it leave room"
	if fleet := max(x.fleetAccelerators, x.model.capacity.Accelerators); fleet > 0 {
		text += ", at about " + x.timeAfter(time.Duration(a.work/int64(fleet))*time.Second)
	}
	since := x.now.Sub(x.entry.job.Submitted)
	return text + ", or it gets a reservation after " + x.timeAfter(x.reserveAfter(x.entry)-since)
}

// timeAfter formats the time at the end of a wait.
func (x *explainer) timeAfter(wait time.Duration) string {
	return x.now.Add(wait).UTC().Format(time.RFC3339)
}
