package scheduler

import (
	"context"
	"time"

	"wasabihoist/internal/fleet/gang"
	"wasabihoist/internal/fleet/worker"
)

// leftover is a member of a failed start whose worker did not answer. It never
// runs, but the worker may still set its resources aside.
type leftover struct {
	gang      *gang.Gang
	member    int
	resources worker.Resources
}

// isSilent reports whether the worker does not answer although its lease is in
// force.
func (h *hostState) isSilent() bool { return h.up && h.silent }

// markSilent records a call without an answer.
func (h *hostState) markSilent(now time.Time) { h.silent, h.silentSince = true, now }

// reportSilent records that a holder has had no answer to a renewal. A repeated
// report may arrive after the renewal that the worker answers next was sent, so
// it does not change the time of the first one.
func (h *hostState) reportSilent(received time.Time) {
	if !h.silent {
		h.markSilent(received)
	}
}

// hear records that the worker has answered a call that was sent at a time.
func (h *hostState) hear(sent time.Time) {
	h.heard = latest(h.heard, sent)
	if sent.After(h.silentSince) {
		h.silent = false
	}
}

// probeAwaited asks the workers on which urgent jobs depend whether they answer.
// The renewal of an idle worker shows only after Renew and Call that it has
// stopped answering, which is too late for urgent work.
func (t *term) probeAwaited(now time.Time) {
	for _, name := range t.planner.WorkersBlockingUrgentStarts() {
		h := t.hosts[name]
		if h == nil || !h.up || h.probing || now.Sub(h.heard) < t.limits.DecisionInterval {
			continue
		}
		h.probing = true
		t.work.Go("probe of "+name, func(ctx context.Context) error {
			answers := t.answers(ctx, h.worker)
			t.post(ctx, func(*term) {
				h.probing = false
				if answers {
					h.hear(time.Now())
				} else {
					h.markSilent(time.Now())
				}
			})
			return nil
		})
	}
}

// answers reports whether the worker answers within Call. The second try has a
// connection of its own, because the first one may be silent.
func (t *term) answers(ctx context.Context, w worker.Worker) bool {
	client := worker.NewClient(w.Address, t.limits.CallTimeout)
	defer client.Close()
	for range 2 {
		bounded, cancel := context.WithTimeout(ctx, t.limits.CallTimeout/2)
		_, err := client.Usage(bounded)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// keepLeftovers sets the resources of unsettled members aside until they have
// certainly ended.
func (t *term) keepLeftovers(a *attempt, r gang.Result) {
	for _, i := range r.Unconfirmed {
		name, task := a.workers[i], a.members[i].Spec.Name
		h := t.hosts[name]
		if h == nil || !h.up {
			continue
		}
		h.markSilent(time.Now())
		h.leftovers[task] = leftover{a.gang, i, a.job.Member()}
		t.work.Go("stop "+task, func(ctx context.Context) error {
			if a.gang.StopHeld(ctx, i) == nil {
				ended := time.Now()
				t.post(ctx, func(*term) { h.dropLeftover(task, ended) })
			}
			return nil
		})
	}
}

// dropLeftover frees the resources of a leftover that ended at a time. Unless
// the worker was lost meanwhile, it has answered the call that stopped the task.
func (h *hostState) dropLeftover(task string, ended time.Time) {
	if _, kept := h.leftovers[task]; kept {
		h.hear(ended)
	}
	delete(h.leftovers, task)
	delete(h.tasks, task)
}
