package scheduler

import (
	"context"
	"slices"
	"strings"
	"time"

	"wasabihoist/internal/fleet/gang"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/record/journal"
)

// unsettledClaim is a claim of this data centre that belongs to no attempt of the
// term, because an earlier term or another process made it. The term adopts or
// ends it.
type unsettledClaim struct {
	claim     int64
	learnedAt time.Time // learnedAt is when the term learned of the claim.
}

// handleNewLease makes a newly leased worker available to the planner, passes on
// its report, and requests a barrier: the search for orphaned tasks needs every
// claim that was made before the lease.
func (t *term) handleNewLease(name string, received time.Time, report worker.Report) {
	ws := t.workers[name]
	ws.leased, ws.lost, ws.leasedSince = true, false, received
	ws.tasks = map[string]worker.Task{}
	ws.schedulable = true // The planner takes added workers as schedulable.
	t.planner.AddWorker(ws.worker)
	ws.reportReceived, ws.reportCovers = received, report.CompleteFor
	t.handleTaskReport(name, report)
	t.orphanCheckDue = append(t.orphanCheckDue, name)
	t.requestBarrier()
}

// handleTaskReport stores the changed tasks of a worker and passes them on to their
// gangs.
func (t *term) handleTaskReport(name string, report worker.Report) {
	ws := t.workers[name]
	ws.recordAnswer(ws.renewalSent)
	t.stepDue = t.stepDue || len(report.Tasks) > 0
	for _, task := range report.Tasks {
		ws.tasks[task.Name] = task
		if m, ok := t.memberByTask[task.Name]; ok {
			m.attempt.gang.Report(m.member, task)
		}
	}
}

// handleWorkerLost removes a worker whose lease has expired or which has restarted.
// All of its tasks have ended, and their gangs are told so.
func (t *term) handleWorkerLost(name string) {
	ws := t.workers[name]
	t.counters.LostWorkers.Add(1)
	ws.leased, ws.lost, ws.schedulable = false, true, false
	t.routes[name].invalidate()
	ws.tasks = map[string]worker.Task{}
	t.planner.RemoveWorker(name)
	t.audit("lost", name, "the worker is silent or has restarted", "")
	for task, m := range ws.unconfirmed {
		m.gang.MarkLost(m.member)
		delete(ws.unconfirmed, task)
	}
	for id := range ws.reserved {
		a := t.attempts[id]
		if a == nil || a.gang == nil {
			continue
		}
		for i, w := range a.workers {
			if w == name {
				a.gang.MarkLost(i)
			}
		}
	}
}

// settle adopts or ends each claim of an earlier term once the state of all its
// workers is known. It also stops the tasks of newly leased workers that no claim
// covers.
func (t *term) settle() {
	for id, s := range t.unsettledClaims {
		js, known := t.journal.Job(id)
		if !known || js.Claim != s.claim {
			delete(t.unsettledClaims, id)
			t.reconcileJob(id)
			continue
		}
		if t.canSettle(js, s) {
			delete(t.unsettledClaims, id)
			t.settleClaim(js)
		}
	}
	t.orphanCheckDue = slices.DeleteFunc(t.orphanCheckDue, func(name string) bool {
		ws := t.workers[name]
		if ws.leased && !t.barrierSent.After(ws.leasedSince) {
			return false
		}
		t.stopOrphans(name, ws)
		return true
	})
}

// canSettle reports whether the state of all workers of the claim is known from a
// time after the claim was folded. A renewal after that time proves that no other
// lease holder can still start a task of the claim.
func (t *term) canSettle(js journal.JobState, s unsettledClaim) bool {
	for _, name := range js.Workers {
		ws := t.workers[name]
		switch {
		case ws == nil || ws.lost: // Its tasks have ended.
		case !ws.leased || !t.barrierSent.After(ws.leasedSince) || !ws.renewalSent.After(s.learnedAt):
			return false
		}
	}
	return true
}

// settleClaim adopts the gang of a claim when all of its members run or have
// succeeded. Otherwise it stops the gang and ends the claim.
func (t *term) settleClaim(js journal.JobState) {
	a := &attempt{term: t, job: js.Job, workers: js.Workers, claim: js.Claim, startDone: true}
	t.buildMembers(a, js)
	tasks := make([]worker.Task, len(a.members))
	for i, m := range a.members {
		if ws := t.workers[m.Worker]; ws != nil {
			tasks[i] = ws.tasks[m.Spec.Name]
		}
	}
	a.gang = gang.Adopt(a.members, tasks, t.options.Gang)
	for i, m := range a.members {
		if ws := t.workers[m.Worker]; ws == nil || ws.lost {
			a.gang.MarkLost(i)
		}
	}
	t.activate(a)
	t.registerMembers(a)
	started := js.Started
	if js.State == job.Claimed {
		started = time.Now()
	}
	t.planner.Adopt(js.Job, js.Workers, started)
	if js.CancelRequested {
		a.gang.Cancel()
	}
	if allRunOrSucceeded(tasks) {
		t.counters.Adopted.Add(1)
		t.audit("adopt", js.Job.Identity.String(), "the gang runs under the claim of "+js.Claimant, strings.Join(js.Workers, ","))
		t.work.Go("adopted attempt", func(ctx context.Context) error {
			return a.watch(ctx, a.gang, js.Claim, js.State == job.Claimed)
		})
		return
	}
	r := t.incompleteResult(js, tasks)
	t.audit("settle", js.Job.Identity.String(), r.Reason, r.Outcome.String())
	t.work.Go("settled attempt", func(ctx context.Context) error {
		if stopped := a.gang.Stop(ctx, r.Reason); stopped.Outcome == gang.Interrupted {
			return nil
		}
		return a.recordEnd(ctx, js.Claim, r)
	})
}

// allRunOrSucceeded reports whether every member runs or has succeeded.
func allRunOrSucceeded(tasks []worker.Task) bool {
	for _, task := range tasks {
		if task.State != worker.Running && task.State != worker.Succeeded {
			return false
		}
	}
	return true
}

// incompleteResult returns the result of a claim whose gang does not run with all
// members.
func (t *term) incompleteResult(js journal.JobState, tasks []worker.Task) gang.Result {
	r := gang.Result{Outcome: gang.WorkerLost, Member: -1, AllCheckpointed: true, Released: js.State == job.Running}
	for i, task := range tasks {
		if task.State == worker.Failed {
			return gang.Result{Outcome: gang.MemberFailed, Member: i, Ran: task.Ran, Released: true, Reason: task.Reason}
		}
		r.Released = r.Released || task.Released
		if !task.Checkpointed {
			r.AllCheckpointed = false
		}
		if i == 0 || task.Progress < r.Progress {
			r.Progress = task.Progress
		}
	}
	if r.AllCheckpointed {
		r.Outcome, r.Reason = gang.Checkpointed, "checkpointed by the earlier scheduler"
		return r
	}
	r.Progress = 0 // Progress counts only when every member was checkpointed.
	if !r.Released && t.provesNeverReleased(js) {
		r.Outcome, r.Reason = gang.NotStarted, "the earlier scheduler did not finish the start"
		return r
	}
	r.Released, r.Reason = true, "the gang was found incomplete by a new scheduler"
	return r
}

// provesNeverReleased reports whether the first reports of all workers list every
// task since before the claim. They would then list any member that was released.
func (t *term) provesNeverReleased(js journal.JobState) bool {
	for _, name := range js.Workers {
		ws := t.workers[name]
		if ws == nil || !ws.leased || ws.reportCovers < ws.reportReceived.Sub(js.Changed)+t.timing.MaxClockSkew {
			return false
		}
	}
	return true
}

// stopOrphans stops the live tasks that no claim in force covers. It is called only
// when the journal has all claims that were made before the lease was acquired.
func (t *term) stopOrphans(name string, ws *workerState) {
	for task, state := range ws.tasks {
		if _, isMember := t.memberByTask[task]; isMember || !state.State.Live() || t.hasClaim(task) {
			continue
		}
		t.counters.Orphans.Add(1)
		host := t.routes[name].handle()
		t.work.Go("stop orphan", func(ctx context.Context) error {
			m := gang.Member{Worker: name, Handle: host, Spec: worker.Spec{Name: task}}
			gang.New([]gang.Member{m}, t.options.Gang).Stop(ctx, "no claim covers the task")
			return nil
		})
	}
}

// hasClaim reports whether the task belongs to a claim of this data centre.
func (t *term) hasClaim(task string) bool {
	id, err := parseTaskName(task)
	if err != nil {
		return false
	}
	js, known := t.journal.Job(id.Job)
	claimed := known && (js.State == job.Claimed || js.State == job.Running)
	return claimed && js.DataCentre == t.options.DataCentre && js.Attempt == id.Attempt
}
