package scheduler

import (
	"context"
	"strings"
	"time"

	"wasabihoist/internal/fleet/gang"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/traffic/request"
)

// attempt is one claim of a job, from its record in the journal to the record of
// its end. Its methods run in a goroutine of their own. The fields below reason
// are used by the loop only.
type attempt struct {
	term    *term
	job     job.Job
	workers []string
	reason  string

	claim     int64
	gang      *gang.Gang // gang is nil until the claim is folded.
	members   []gang.Member
	startDone bool // startDone is set when all members were released, or when the attempt adopts or cleans up an earlier claim.
	reclaimed bool
	moveTo    []string // moveTo lists the workers on which a reclaimed job starts again; nil lets it wait.
}

// run claims the job, starts its gang and waits for its end.
func (a *attempt) run(ctx context.Context) error {
	t := a.term
	t.counters.Claims.Add(1)
	id := a.job.Identity
	v, err := t.appendWithVerdict(ctx, journal.JobClaimed{Identity: id, DataCentre: t.options.DataCentre, Workers: a.workers})
	if err != nil {
		return err // If the claim reached the log, the next term settles it.
	}
	js, _ := t.journal.Job(id)
	if !v.Valid || js.Claim != v.Offset {
		t.counters.LostClaims.Add(1)
		t.post(ctx, func(t *term) { t.removeAttempt(a, gang.Result{Outcome: gang.NotStarted}, time.Now()) })
		return nil
	}
	var g *gang.Gang
	if !t.call(ctx, func(t *term) { g, err = t.buildGang(a, v.Offset, js) }) {
		return nil
	}
	if err != nil {
		return a.recordEnd(ctx, v.Offset, gang.Result{Outcome: gang.NotStarted, Member: -1, Reason: err.Error()})
	}
	if r, started := g.Start(ctx); !started {
		return a.recordEnd(ctx, v.Offset, r)
	}
	t.counters.Started.Add(1)
	t.post(ctx, func(t *term) {
		a.startDone = true
		t.planner.Started(id, time.Now())
		t.audit("start", id.String(), a.reason, strings.Join(a.workers, ","))
	})
	return a.watch(ctx, g, v.Offset, true)
}

// watch waits for the end of the gang and records it. recordRunning makes it also
// append the running record.
func (a *attempt) watch(ctx context.Context, g *gang.Gang, claim int64, recordRunning bool) error {
	t := a.term
	if recordRunning {
		// The log may be slow to take the record; the job runs meanwhile.
		t.work.Go("running record", func(ctx context.Context) error {
			_ = t.appendRecord(ctx, journal.JobRunning{Identity: a.job.Identity, Claim: claim})
			return nil
		})
	}
	// A gang that outlives QuickFailureTime clears the failures of its workers.
	quickFailureTimer := time.AfterFunc(t.options.Health.QuickFailureTime, func() { t.post(ctx, func(t *term) { t.ranWell(a) }) })
	r := g.Watch(ctx)
	quickFailureTimer.Stop()
	return a.recordEnd(ctx, claim, r)
}

// recordEnd appends the record that ends the attempt, and then removes the attempt
// from the term. An abandoned attempt has not ended: a successor continues it.
func (a *attempt) recordEnd(ctx context.Context, claim int64, r gang.Result) error {
	if r.Outcome == gang.Interrupted {
		return nil
	}
	t := a.term
	ended := time.Now()
	var end journal.Record
	if !t.call(ctx, func(t *term) { end = t.endRecord(a, claim, r) }) {
		return nil
	}
	if err := a.ensureRunningRecord(ctx, end); err != nil {
		return err
	}
	if err := t.appendRecord(ctx, end); err != nil {
		return err
	}
	t.post(ctx, func(t *term) { t.removeAttempt(a, r, ended) })
	return nil
}

// ensureRunningRecord appends the running record of an attempt that ran and was
// checkpointed, if the journal does not have it yet. Without the record, the journal
// would take the job for one that never ran.
func (a *attempt) ensureRunningRecord(ctx context.Context, end journal.Record) error {
	released, ok := end.(journal.JobReleased)
	js, _ := a.term.journal.Job(a.job.Identity)
	if !ok || !released.Started || !released.Checkpointed || js.State != job.Claimed || js.Claim != released.Claim {
		return nil
	}
	return a.term.appendRecord(ctx, journal.JobRunning{Identity: a.job.Identity, Claim: released.Claim})
}

// endRecord returns the record that ends the attempt, and updates the health of
// the workers from the result.
func (t *term) endRecord(a *attempt, claim int64, r gang.Result) journal.Record {
	id := a.job.Identity
	ended := func(o request.Outcome) journal.Record {
		return journal.JobEnded{Identity: id, Claim: claim, Outcome: o, Reason: r.Reason}
	}
	released := journal.JobReleased{Identity: id, Claim: claim, Reason: r.Reason, Started: r.Released}
	switch r.Outcome {
	case gang.AllSucceeded:
		t.ranWell(a)
		return ended(request.Done)
	case gang.MemberFailed:
		t.recordFailure(a, r)
		if !a.job.Idempotent || t.health.isJobAtFault(id) {
			return ended(request.Failed)
		}
	case gang.NotStarted:
		if r.Member >= 0 {
			t.health.startFailed(a.workers[r.Member], time.Now())
		}
	case gang.Cancelled:
		if r.Released {
			return ended(request.Failed)
		}
	case gang.Checkpointed:
		js, _ := t.journal.Job(id)
		released.Checkpointed, released.Progress = r.AllCheckpointed, r.Progress
		if !r.AllCheckpointed && a.job.Idempotent {
			// A reclaim is not a failure of the job: it resumes from its previous
			// checkpoint, or from its beginning.
			released.Checkpointed, released.Progress = true, js.Progress
		}
	}
	return released
}

// recordFailure counts a member's failure against its worker.
func (t *term) recordFailure(a *attempt, r gang.Result) {
	name := a.workers[r.Member]
	if !t.health.addFailure(name, a.job.Identity, r.Ran, time.Now()) {
		return
	}
	t.counters.Quarantines.Add(1)
	t.audit("quarantine", name, r.Reason, t.health.workerHealth(name).quarantine.String())
}

// ranWell clears the failures of the attempt's workers, because they have run its
// tasks well.
func (t *term) ranWell(a *attempt) {
	for _, name := range a.workers {
		t.health.taskRanWell(name, a.job.Identity)
	}
}

// removeAttempt removes the attempt from the term after its end record was folded.
// It frees the workers and updates the planner.
func (t *term) removeAttempt(a *attempt, r gang.Result, ended time.Time) {
	id := a.job.Identity
	delete(t.attempts, id)
	for _, m := range a.members {
		delete(t.memberByTask, m.Spec.Name)
	}
	for i, name := range a.workers {
		ws := t.workers[name]
		if ws == nil {
			continue
		}
		delete(ws.reserved, id)
		if i < len(a.members) {
			delete(ws.tasks, a.members[i].Spec.Name)
		}
		if !r.Released {
			t.health.startNotReleased(name)
		}
	}
	t.reserveUnconfirmed(a, r)
	t.updatePlanner(a, r, ended)
}

// updatePlanner tells the planner what became of the job: it has ended, is claimed
// elsewhere, or is queued again. A moved job starts on its new workers at once.
func (t *term) updatePlanner(a *attempt, r gang.Result, ended time.Time) {
	id := a.job.Identity
	js, known := t.journal.Job(id)
	switch {
	case known && js.State == job.Ended:
		t.planner.Ended(id, ended, js.Outcome)
		t.health.forget(id)
	case !known || js.State != job.Queued:
		t.planner.Cancel(id)
		t.reconcileJob(id)
	case a.moveTo != nil && r.AllCheckpointed && !t.draining:
		t.start(id, a.moveTo, "moved")
	default:
		t.planner.Released(id)
		if _, planned := t.planner.Explain(id, ended); !planned {
			t.scheduleSubmission(js)
		}
	}
}
