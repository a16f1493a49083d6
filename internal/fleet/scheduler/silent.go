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
// force. The reports of an idle worker are at most Renew apart.
func (t *term) isSilent(h *hostState, now time.Time) bool {
	overdue := t.limits.Renew + t.limits.Call + t.limits.Tick
	return h.up && (h.silent || now.Sub(h.heard) > overdue)
}

// probeAwaited asks the workers on which urgent jobs depend whether they answer.
// The renewal of an idle worker shows only after Renew and Call that it has
// stopped answering, which is too late for urgent work.
func (t *term) probeAwaited(now time.Time) {
	for _, name := range t.planner.Awaited() {
		h := t.hosts[name]
		if h == nil || !h.up || h.probing || now.Sub(h.heard) < t.limits.Tick {
			continue
		}
		h.probing = true
		client := t.keepers[name].client
		t.work.Go("probe of "+name, func(ctx context.Context) error {
			answers := t.answers(ctx, client)
			t.post(ctx, func(*term) {
				h.probing, h.silent = false, !answers
				if answers {
					h.heard = time.Now()
				}
			})
			return nil
		})
	}
}

// answers reports whether the worker answers within Call. The second try has a
// connection of its own, because an open one may be silent while new ones work.
func (t *term) answers(ctx context.Context, client *worker.Client) bool {
	for range 2 {
		bounded, cancel := context.WithTimeout(ctx, t.limits.Call/2)
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
	for _, i := range r.Unsettled {
		name, task := a.workers[i], a.members[i].Spec.Name
		h := t.hosts[name]
		if h == nil || !h.up {
			continue
		}
		h.silent = true
		h.leftovers[task] = leftover{a.gang, i, a.job.Member()}
		t.work.Go("stop "+task, func(ctx context.Context) error {
			if a.gang.StopHeld(ctx, i) == nil {
				t.post(ctx, func(*term) {
					delete(h.leftovers, task)
					delete(h.tasks, task)
				})
			}
			return nil
		})
	}
}
