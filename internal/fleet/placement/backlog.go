package placement

import (
	"cmp"
	"slices"
	"time"
)

// deferralDelay is how long a deferred job ranks behind others that arrive
// with it. It only has to be longer than a backlog lasts.
const deferralDelay = 28 * time.Hour

// maxDeferralBudget bounds the deferral budget, which grows with each submission, and
// so the number of jobs deferred at the start of a backlog.
const maxDeferralBudget = 20

// SetFleetAccelerators sets the number of accelerators in all data centres that
// share the waiting jobs. By default the planner counts only its own.
func (p *Planner) SetFleetAccelerators(accelerators int) { p.fleetAccelerators = accelerators }

// work is the accelerator-seconds that the job is expected to need.
func (e *entry) work() int64 {
	return int64(e.runTime/time.Second) * int64(e.job.Shape.Total())
}

// isDeferrable reports whether the job may be deferred. Only the work of such jobs is
// compared with Options.BacklogLimit.
func (e *entry) isDeferrable() bool { return !e.deferred && !e.job.Urgent && e.work() > 0 }

// boundBacklog defers the largest jobs while the waiting work takes the whole
// fleet longer than Options.BacklogLimit. Then a few large jobs wait for the end
// of the backlog instead of many jobs of all sizes.
func (r *round) boundBacklog() {
	fleet := max(r.fleetAccelerators, r.model.capacity.Accelerators)
	limit := int64(r.options.BacklogLimit/time.Second) * int64(fleet)
	if r.options.BacklogLimit == 0 || r.deferrableWork <= limit || r.deferralBudget < 1 {
		return
	}
	var deferrable []*entry
	for _, t := range r.tenantsByName {
		for _, e := range t.queue {
			if e.isDeferrable() {
				deferrable = append(deferrable, e)
			}
		}
	}
	// Of equal jobs the last ones are deferred, so that the others keep their
	// order.
	slices.SortFunc(deferrable, func(a, b *entry) int { return cmp.Or(cmp.Compare(b.work(), a.work()), compareEntries(b, a)) })
	for _, e := range deferrable {
		if r.deferrableWork <= limit || r.deferralBudget < 1 {
			return
		}
		r.deferralBudget--
		r.deferrableWork -= e.work()
		e.deferred = true
		e.tenant.rerank(e, r.policy.rank(e, &r.options))
	}
}

// rerank moves a waiting job to the position of its new rank.
func (t *tenant) rerank(e *entry, rank float64) {
	if at, found := slices.BinarySearchFunc(t.queue, e, compareEntries); found {
		t.queue = slices.Delete(t.queue, at, at+1)
	}
	e.rank = rank
	at, _ := slices.BinarySearchFunc(t.queue, e, compareEntries)
	t.queue = slices.Insert(t.queue, at, e)
}

// reserveAfter is the wait after which the job may get a reservation. A
// deferred job waits longer; otherwise the reservation would undo the deferral
// at once.
func (p *Planner) reserveAfter(e *entry) time.Duration {
	if e.deferred {
		return 2 * p.options.ReservationWait
	}
	return p.options.ReserveAfter
}
