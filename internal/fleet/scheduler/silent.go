package scheduler

import (
	"context"
	"time"

	"wasabihoist/internal/fleet/gang"
	"wasabihoist/internal/fleet/worker"
)

// unconfirmedMember is a member of a failed start whose worker did not confirm
// its end. It never runs, but the worker may still reserve its resources.
type unconfirmedMember struct {
	gang      *gang.Gang
	member    int
	resources worker.Resources
}

// isSilent reports whether the worker does not answer although its lease is in
// force.
func (h *workerState) isSilent() bool { return h.leased && h.silent }

// recordNoAnswer marks the worker as silent after a call without an answer.
func (h *workerState) recordNoAnswer(now time.Time) { h.silent, h.silentSince = true, now }

// recordMissedRenewal marks the worker as silent when its lease holder has had
// no answer to a renewal. Reports are repeated, and a repeated one may arrive
// after a renewal was sent that the worker then answers. It therefore does not
// change the time of the first one.
func (h *workerState) recordMissedRenewal(received time.Time) {
	if !h.silent {
		h.recordNoAnswer(received)
	}
}

// recordAnswer records that the worker has answered a call that was sent at the
// given time. Calls sent before the last unanswered one ended do not clear the
// mark.
func (h *workerState) recordAnswer(sent time.Time) {
	h.lastAnswer = latest(h.lastAnswer, sent)
	if sent.After(h.silentSince) {
		h.silent = false
	}
}

// probeForUrgent probes the workers that urgent starts depend on. A renewal shows
// only after RenewInterval and CallTimeout that an idle worker has stopped
// answering, which is too late for urgent jobs.
func (t *term) probeForUrgent(now time.Time) {
	for _, name := range t.planner.WorkersBlockingUrgentStarts() {
		h := t.workers[name]
		if h == nil || !h.leased || h.probing || now.Sub(h.lastAnswer) < t.timing.DecisionInterval {
			continue
		}
		h.probing = true
		t.work.Go("probe of "+name, func(ctx context.Context) error {
			answers := t.answers(ctx, h.worker)
			t.post(ctx, func(*term) {
				h.probing = false
				if answers {
					h.recordAnswer(time.Now())
				} else {
					h.recordNoAnswer(time.Now())
				}
			})
			return nil
		})
	}
}

// answers reports whether the worker answers a read of its usage within
// CallTimeout. It tries twice, each time for half of CallTimeout, because the
// first connection may be dead.
func (t *term) answers(ctx context.Context, w worker.Worker) bool {
	client := worker.NewClient(w.Address, t.timing.CallTimeout)
	defer client.Close()
	for range 2 {
		bounded, cancel := context.WithTimeout(ctx, t.timing.CallTimeout/2)
		_, err := client.Usage(bounded)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// reserveUnconfirmed keeps the resources of unconfirmed members reserved and
// stops them, until each has certainly ended.
func (t *term) reserveUnconfirmed(a *attempt, r gang.Result) {
	for _, i := range r.Unconfirmed {
		name, task := a.workers[i], a.members[i].Spec.Name
		h := t.workers[name]
		if h == nil || !h.leased {
			continue
		}
		h.recordNoAnswer(time.Now())
		h.unconfirmed[task] = unconfirmedMember{a.gang, i, a.job.Member()}
		t.work.Go("stop "+task, func(ctx context.Context) error {
			if a.gang.StopHeld(ctx, i) == nil {
				ended := time.Now()
				t.post(ctx, func(*term) { h.releaseUnconfirmed(task, ended) })
			}
			return nil
		})
	}
}

// releaseUnconfirmed frees the resources of an unconfirmed member that ended at
// the given time. Unless the worker was lost in between, it has answered the call
// that stopped the task.
func (h *workerState) releaseUnconfirmed(task string, ended time.Time) {
	if _, kept := h.unconfirmed[task]; kept {
		h.recordAnswer(ended)
	}
	delete(h.unconfirmed, task)
	delete(h.tasks, task)
}
