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

// settlement is a claim of this data centre that no attempt of the term holds:
// an earlier term or another process made it.
type settlement struct {
	claim int64
	seen  time.Time // seen is when the term learned of the claim.
}

// workerUp records a new lease of a worker.
func (t *term) workerUp(name string, received time.Time, report worker.Report) {
	h := t.hosts[name]
	h.up, h.lost, h.upSince = true, false, received
	h.tasks = map[string]worker.Task{}
	h.open = true // as the planner takes a worker that is added
	t.planner.AddWorker(h.worker)
	h.received, h.completeFor = received, report.CompleteFor
	t.workerReport(name, report)
	t.fresh = append(t.fresh, name)
	t.wantSync()
}

// workerReport passes the changes of tasks on.
func (t *term) workerReport(name string, report worker.Report) {
	h := t.hosts[name]
	h.hear(h.renewed)
	t.dirty = t.dirty || len(report.Tasks) > 0
	for _, task := range report.Tasks {
		h.tasks[task.Name] = task
		if m, ok := t.byTask[task.Name]; ok {
			m.attempt.gang.Report(m.member, task)
		}
	}
}

// workerLost records that the lease has lapsed or the worker has restarted.
func (t *term) workerLost(name string) {
	h := t.hosts[name]
	t.counters.LostWorkers.Add(1)
	h.up, h.lost, h.open = false, true, false
	t.seats[name].lose()
	h.tasks = map[string]worker.Task{}
	t.planner.RemoveWorker(name)
	t.audit("lost", name, "the worker is silent or has restarted", "")
	for task, l := range h.leftovers {
		l.gang.Lost(l.member)
		delete(h.leftovers, task)
	}
	for id := range h.reserved {
		a := t.active[id]
		if a == nil || a.gang == nil {
			continue
		}
		for i, w := range a.workers {
			if w == name {
				a.gang.Lost(i)
			}
		}
	}
}

// settle decides on the claims whose workers are all known, and stops tasks
// that no claim covers.
func (t *term) settle() {
	for id, s := range t.settling {
		js, known := t.journal.Job(id)
		if !known || js.Claim != s.claim {
			delete(t.settling, id)
			t.foldJob(id)
			continue
		}
		if t.canSettle(js, s) {
			delete(t.settling, id)
			t.settleClaim(js)
		}
	}
	t.fresh = slices.DeleteFunc(t.fresh, func(name string) bool {
		h := t.hosts[name]
		if h.up && !t.synced.After(h.upSince) {
			return false
		}
		t.stopOrphans(name, h)
		return true
	})
}

// canSettle reports whether the state of all workers of the claim is known
// from a time after the claim was folded. A renewal after that time proves that
// no other holder can start a task of the claim any more.
func (t *term) canSettle(js journal.JobState, s settlement) bool {
	for _, name := range js.Workers {
		h := t.hosts[name]
		switch {
		case h == nil || h.lost:
		case !h.up || !t.synced.After(h.upSince) || !h.renewed.After(s.seen):
			return false
		}
	}
	return true
}

// settleClaim adopts a gang that runs as a whole. Any other gang is stopped.
func (t *term) settleClaim(js journal.JobState) {
	a := &attempt{term: t, job: js.Job, workers: js.Workers, claim: js.Claim, watched: true}
	t.buildMembers(a, js)
	tasks := make([]worker.Task, len(a.members))
	for i, m := range a.members {
		if h := t.hosts[m.Worker]; h != nil {
			tasks[i] = h.tasks[m.Spec.Name]
		}
	}
	a.gang = gang.Adopt(a.members, tasks, t.options.Gang)
	for i, m := range a.members {
		if h := t.hosts[m.Worker]; h == nil || h.lost {
			a.gang.Lost(i)
		}
	}
	t.activate(a)
	t.register(a)
	started := js.Started
	if js.State == job.Claimed {
		started = time.Now()
	}
	t.planner.Adopt(js.Job, js.Workers, started)
	if js.CancelRequested {
		a.gang.Cancel()
	}
	if whole(tasks) {
		t.counters.Adopted.Add(1)
		t.audit("adopt", js.Job.Identity.String(), "the gang runs under the claim of "+js.Claimant, strings.Join(js.Workers, ","))
		t.work.Go("adopted attempt", func(ctx context.Context) error {
			return a.watch(ctx, a.gang, js.Claim, js.State == job.Claimed)
		})
		return
	}
	r := t.judgeBroken(js, tasks)
	t.audit("settle", js.Job.Identity.String(), r.Reason, r.Outcome.String())
	t.work.Go("settled attempt", func(ctx context.Context) error {
		if stopped := a.gang.Stop(ctx, r.Reason); stopped.Outcome == gang.Abandoned {
			return nil
		}
		return a.conclude(ctx, js.Claim, r)
	})
}

// whole reports whether all members run or have succeeded.
func whole(tasks []worker.Task) bool {
	for _, task := range tasks {
		if task.State != worker.Running && task.State != worker.Succeeded {
			return false
		}
	}
	return true
}

// judgeBroken says what became of a claim whose gang does not run as a whole.
func (t *term) judgeBroken(js journal.JobState, tasks []worker.Task) gang.Result {
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
	r.Progress = 0
	if !r.Released && t.provesNothingRan(js) {
		r.Outcome, r.Reason = gang.NotStarted, "the earlier scheduler did not finish the start"
		return r
	}
	r.Released, r.Reason = true, "the gang was found incomplete by a new scheduler"
	return r
}

// provesNothingRan reports whether the workers' lists reach back to before the
// claim, so that a member that ran would be in them.
func (t *term) provesNothingRan(js journal.JobState) bool {
	for _, name := range js.Workers {
		h := t.hosts[name]
		if h == nil || !h.up || h.completeFor < h.received.Sub(js.Changed)+t.limits.MaxClockSkew {
			return false
		}
	}
	return true
}

// stopOrphans stops the live tasks that no claim in force covers. The journal
// has all claims that were made before the lease was acquired.
func (t *term) stopOrphans(name string, h *hostState) {
	for task, state := range h.tasks {
		if _, ours := t.byTask[task]; ours || !state.State.Live() || t.covered(task) {
			continue
		}
		t.counters.Orphans.Add(1)
		host := t.seats[name].host()
		t.work.Go("stop orphan", func(ctx context.Context) error {
			m := gang.Member{Worker: name, Host: host, Spec: worker.Spec{Name: task}}
			gang.New([]gang.Member{m}, t.options.Gang).Stop(ctx, "no claim covers the task")
			return nil
		})
	}
}

// covered reports whether the task belongs to a claim of this data centre.
func (t *term) covered(task string) bool {
	id, err := parseTask(task)
	if err != nil {
		return false
	}
	js, known := t.journal.Job(id.Job)
	claimed := known && (js.State == job.Claimed || js.State == job.Running)
	return claimed && js.DataCentre == t.options.DataCentre && js.Attempt == id.Attempt
}
