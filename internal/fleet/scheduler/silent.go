package scheduler

import (
	"context"
	"time"

	"wasabihoist/internal/fleet/gang"
	"wasabihoist/internal/fleet/worker"
)

// unconfirmedMember is a member of a failed start whose worker did not answer. It never
// runs, but the worker may still set its resources aside.
type unconfirmedMember struct {
	gang      *gang.Gang
	member    int
	resources worker.Resources
}

// isSilent reports whether the worker does not answer although its lease is in
// force.
func (h *workerState) isSilent() bool { return h.leased && h.silent }

// recordNoAnswer records a call without an answer.
func (h *workerState) recordNoAnswer(now time.Time) { h.silent, h.silentSince = true, now }

// recordMissedRenewal records that a holder has had no answer to a renewal. A repeated
// report may arrive after the renewal that the worker answers next was sent, so
// it does not change the time of the first one.
func (h *workerState) recordMissedRenewal(received time.Time) {
	if !h.silent {
		h.recordNoAnswer(received)
	}
}

// recordAnswer records that the worker has answered a call that was sent at a time.
func (h *workerState) recordAnswer(sent time.Time) {
	h.lastAnswer = latest(h.lastAnswer, sent)
	if sent.After(h.silentSince) {
		h.silent = false
	}
}

// probeForUrgent asks the workers on which urgent jobs depend whether they answer.
// The renewal of an idle worker shows only after Renew and Call that it has
// stopped answering, which is too late for urgent work.
func (t *term) probeForUrgent(now time.Time) {
	for _, name := range t.planner.Awaited() {
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

// answers reports whether the worker answers within Call. The second try has a
// connection of its own, because the first one may be silent.
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

// reserveUnconfirmed sets the resources of unsettled members aside until they have
// certainly ended.
func (t *term) reserveUnconfirmed(a *attempt, r gang.Result) {
	for _, i := range r.Unsettled {
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

// releaseUnconfirmed frees the resources of a leftover that ended at a time. Unless
// the worker was lost meanwhile, it has answered the call that stopped the task.
func (h *workerState) releaseUnconfirmed(task string, ended time.Time) {
	if _, kept := h.unconfirmed[task]; kept {
		h.recordAnswer(ended)
	}
	delete(h.unconfirmed, task)
	delete(h.tasks, task)
}
