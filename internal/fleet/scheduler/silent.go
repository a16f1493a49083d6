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
func (ws *workerState) isSilent() bool { return ws.leased && ws.silent }

// recordNoAnswer marks the worker as silent after a call without an answer.
func (ws *workerState) recordNoAnswer(now time.Time) { ws.silent, ws.silentSince = true, now }

// recordMissedRenewal marks the worker as silent when its lease holder reports a
// renewal without an answer. The holder repeats the report, and a repeated one does
// not change silentSince: it may arrive after the sending of a renewal that the
// worker answers, and recordAnswer must not ignore that answer.
func (ws *workerState) recordMissedRenewal(received time.Time) {
	if !ws.silent {
		ws.recordNoAnswer(received)
	}
}

// recordAnswer records that the worker has answered a call that was sent at the
// given time. The worker is no longer silent if that time is after silentSince.
func (ws *workerState) recordAnswer(sent time.Time) {
	ws.lastAnswer = latest(ws.lastAnswer, sent)
	if sent.After(ws.silentSince) {
		ws.silent = false
	}
}

// probeForUrgent probes the workers that urgent starts depend on. Without a probe,
// it takes up to RenewInterval and CallTimeout until a renewal shows that an idle
// worker has stopped answering, which is too late for urgent jobs.
func (t *term) probeForUrgent(now time.Time) {
	for _, name := range t.planner.WorkersBlockingUrgentStarts() {
		ws := t.workers[name]
		if ws == nil || !ws.leased || ws.probing || now.Sub(ws.lastAnswer) < t.timing.DecisionInterval {
			continue
		}
		ws.probing = true
		t.work.Go("probe of "+name, func(ctx context.Context) error {
			answers := t.answers(ctx, ws.worker)
			t.post(ctx, func(*term) {
				ws.probing = false
				if answers {
					ws.recordAnswer(time.Now())
				} else {
					ws.recordNoAnswer(time.Now())
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

// reserveUnconfirmed stops the unconfirmed members, and keeps the resources of each
// reserved until it has certainly ended.
func (t *term) reserveUnconfirmed(a *attempt, r gang.Result) {
	for _, i := range r.Unconfirmed {
		name, task := a.workers[i], a.members[i].Spec.Name
		ws := t.workers[name]
		if ws == nil || !ws.leased {
			continue
		}
		ws.recordNoAnswer(time.Now())
		ws.unconfirmed[task] = unconfirmedMember{a.gang, i, a.job.Member()}
		t.work.Go("stop "+task, func(ctx context.Context) error {
			if a.gang.StopHeld(ctx, i) == nil {
				ended := time.Now()
				t.post(ctx, func(*term) { ws.releaseUnconfirmed(task, ended) })
			}
			return nil
		})
	}
}

// releaseUnconfirmed frees the resources of an unconfirmed member that ended at
// the given time. Unless the worker was lost in between, it has answered the call
// that stopped the task.
func (ws *workerState) releaseUnconfirmed(task string, ended time.Time) {
	if _, kept := ws.unconfirmed[task]; kept {
		ws.recordAnswer(ended)
	}
	delete(ws.unconfirmed, task)
	delete(ws.tasks, task)
}
