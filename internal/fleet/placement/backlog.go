package placement

import (
	"cmp"
	"slices"
	"time"
)

// putOffDelay is how long a job that is put off ranks behind others that arrive
// with it. It only has to be longer than a backlog lasts.
const putOffDelay = 28 * time.Hour

// maxPutOffs bounds the jobs that are put off in one backlog after a time
// without any.
const maxPutOffs = 20

// SetFleetAccelerators sets the number of accelerators in all data centres that
// share the waiting jobs. By default the planner counts only its own.
func (p *Planner) SetFleetAccelerators(accelerators int) { p.fleet = accelerators }

// work is the accelerator-seconds that the job is expected to need.
func (e *entry) work() int64 {
	return int64(e.runTime/time.Second) * int64(e.job.Shape.Total())
}

// mayBePutOff reports whether the job counts to the backlog that is bounded.
func (e *entry) mayBePutOff() bool { return !e.putOff && !e.job.Urgent && e.work() > 0 }

// boundBacklog defers the largest jobs while the waiting work takes the whole
// fleet longer than Options.BacklogLimit. Then a few large jobs wait for the end
// of the backlog instead of many jobs of all sizes.
func (r *round) boundBacklog() {
	fleet := max(r.fleet, r.model.capacity.Accelerators)
	limit := int64(r.options.BacklogLimit/time.Second) * int64(fleet)
	if r.options.BacklogLimit == 0 || r.backlog <= limit || r.putOffs < 1 {
		return
	}
	var list []*entry
	for _, t := range r.order {
		for _, e := range t.queue {
			if e.mayBePutOff() {
				list = append(list, e)
			}
		}
	}
	// Of equal jobs the last ones are put off, so that the others keep their turn.
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Or(cmp.Compare(b.work(), a.work()), compareEntries(b, a)) })
	for _, e := range list {
		if r.backlog <= limit || r.putOffs < 1 {
			return
		}
		r.putOffs--
		r.backlog -= e.work()
		e.putOff = true
		e.tenant.rerank(e, r.policy.rank(e, &r.options))
	}
}

// rerank moves a waiting job to where it belongs with another rank.
func (t *tenant) rerank(e *entry, rank float64) {
	if at, found := slices.BinarySearchFunc(t.queue, e, compareEntries); found {
		t.queue = slices.Delete(t.queue, at, at+1)
	}
	e.rank = rank
	at, _ := slices.BinarySearchFunc(t.queue, e, compareEntries)
	t.queue = slices.Insert(t.queue, at, e)
}

// reserveAfter is the wait after which the job may get a reservation. One that
// is put off waits for longer, or it would take its place back at once.
func (p *Planner) reserveAfter(e *entry) time.Duration {
	if e.putOff {
		return 2 * p.options.ReservationWait
	}
	return p.options.ReserveAfter
}
