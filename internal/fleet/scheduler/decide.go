package scheduler

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"wasabihoist/internal/fleet/gang"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/traffic/request"
)

// updateSchedulable tells the planner which workers may take new tasks.
func (t *term) updateSchedulable(now time.Time) {
	for name, ws := range t.workers {
		t.planner.SetSilent(name, ws.isSilent())
		if schedulable := ws.leased && t.health.allows(name, now) && !now.Before(ws.fullUntil); schedulable != ws.schedulable {
			ws.schedulable = schedulable
			t.planner.SetSchedulable(name, schedulable)
		}
	}
}

// decide carries out the planner's decisions.
func (t *term) decide(now time.Time) {
	for _, d := range t.planner.Decide(now) {
		switch d.Kind {
		case placement.Start:
			t.start(d.Job, d.Workers, d.Reason)
		case placement.Reclaim:
			t.reclaim(d, nil)
		case placement.Move:
			t.reclaim(d, d.Workers)
		case placement.Throttle:
			t.throttle(d)
		}
	}
}

// start begins an attempt, unless the placement does not fit the workers as they
// are known here.
func (t *term) start(id request.Identity, workers []string, reason string) {
	js, known := t.journal.Job(id)
	if !known || js.State != job.Queued || t.attempts[id] != nil {
		t.planner.Cancel(id)
		return
	}
	if err := t.checkFit(js.Job, workers); err != nil {
		t.counters.RejectedPlacements.Add(1)
		if full, ok := errors.AsType[*capacityError](err); ok {
			// No other job gets the worker before fullUntil, so the job keeps its turn.
			t.workers[full.worker].fullUntil = time.Now().Add(t.timing.RetryDelay)
			t.planner.Released(id)
			return
		}
		t.planner.Cancel(id)
		t.delayed[id] = delayedJob{time.Now().Add(t.timing.RetryDelay), "the workers that were chosen: " + err.Error()}
		return
	}
	a := &attempt{term: t, job: js.Job, workers: workers, reason: reason}
	t.activate(a)
	for _, name := range workers {
		t.health.taskStarted(name)
	}
	t.work.Go("attempt of "+id.String(), a.run)
}

// activate registers the attempt and reserves its resources.
func (t *term) activate(a *attempt) {
	t.attempts[a.job.Identity] = a
	for _, name := range a.workers {
		if ws := t.workers[name]; ws != nil {
			ws.reserved[a.job.Identity] = ws.reserved[a.job.Identity].Plus(a.job.Member())
		}
	}
}

// checkFit checks a placement against the known state of the workers, because
// workers do not refuse tasks that exceed their capacity. It returns a
// *capacityError when the free resources of a worker do not suffice at present.
func (t *term) checkFit(j job.Job, workers []string) error {
	needed := map[string]worker.Resources{}
	for _, name := range workers {
		needed[name] = needed[name].Plus(j.Member())
	}
	for name, amount := range needed {
		ws := t.workers[name]
		if ws == nil || !ws.leased {
			return fmt.Errorf("worker %s is not available", name)
		}
		if ws.silent {
			return fmt.Errorf("worker %s does not answer", name)
		}
		if !t.health.allows(name, time.Now()) {
			return fmt.Errorf("worker %s takes no new tasks", name)
		}
		if member := j.Member(); !member.Fits(ws.worker.Capacity) {
			return fmt.Errorf("a member with %s exceeds worker %s", member, name)
		}
		if err := t.checkFreeResources(ws, amount); err != nil {
			return err
		}
	}
	return nil
}

// checkFreeResources returns a *capacityError when the amount exceeds the free
// resources of a worker. The planner may overcommit cores and memory by usage
// ratios that it has learned. They are therefore checked only on a worker that
// also has tasks unknown to the planner.
func (t *term) checkFreeResources(ws *workerState, amount worker.Resources) error {
	var reserved, foreign worker.Resources
	for _, r := range ws.reserved {
		reserved = reserved.Plus(r)
	}
	for _, m := range ws.unconfirmed {
		reserved = reserved.Plus(m.resources)
	}
	for name, task := range ws.tasks {
		if _, unconfirmed := ws.unconfirmed[name]; unconfirmed {
			continue
		}
		if _, isMember := t.memberByTask[name]; !isMember && task.State.Live() {
			foreign = foreign.Plus(task.Resources)
		}
	}
	used := reserved.Plus(foreign)
	capacity := ws.worker.Capacity
	if foreign == (worker.Resources{}) && used.Accelerators+amount.Accelerators <= capacity.Accelerators {
		return nil
	}
	if !used.Plus(amount).Fits(capacity) {
		return &capacityError{ws.worker.Name, used}
	}
	return nil
}

// capacityError reports a worker whose free resources do not suffice, because it
// has tasks that the planner does not count, such as tasks that have just ended.
type capacityError struct {
	worker string
	used   worker.Resources
}

// Error names the worker and its resources in use.
func (e *capacityError) Error() string {
	return fmt.Sprintf("worker %s has %s in use", e.worker, e.used)
}

// reclaim ends the attempt of a job to free its workers, after a checkpoint if the
// decision asks for one. The job then starts again on the workers in moveTo, or
// waits when moveTo is nil.
func (t *term) reclaim(d placement.Decision, moveTo []string) {
	a := t.attempts[d.Job]
	switch {
	case a == nil:
		t.planner.Released(d.Job)
		return
	case a.reclaimed:
		// When a checkpoint takes too long, the planner repeats the decision without one.
		if a.gang != nil && !d.Checkpoint {
			a.gang.AbortCheckpoint()
		}
		return
	}
	a.moveTo = moveTo
	a.reclaimed = true
	if a.gang != nil {
		a.gang.Reclaim(d.CheckpointTimeout, d.Reason)
	}
	t.counters.Reclaimed.Add(1)
	t.audit(d.Kind.String(), d.Job.String(), fmt.Sprintf("%s (for %s)", d.Reason, d.Beneficiary), strings.Join(moveTo, ","))
}

// throttle limits members to their declared cores. A failed call is not repeated,
// because the planner decides again when the usage stays high.
func (t *term) throttle(d placement.Decision) {
	a := t.attempts[d.Job]
	if a == nil || a.gang == nil {
		return
	}
	for _, name := range d.Workers {
		for _, m := range a.members {
			if m.Worker == name {
				t.work.Go("throttle", func(ctx context.Context) error {
					_, _ = m.Handle.Throttle(ctx, m.Spec.Name, m.Spec.Resources.Cores)
					return nil
				})
			}
		}
	}
}

// endUnplaceable ends a queued job that fits no data centre.
func (t *term) endUnplaceable(js journal.JobState, reason string) {
	outcome := request.NotRun
	if !js.Started.IsZero() || js.Failures > 0 {
		outcome = request.Failed // An earlier attempt ran on workers that no longer exist.
	}
	t.work.Go("end record", func(ctx context.Context) error {
		_ = t.appendRecord(ctx, journal.JobEnded{Identity: js.Job.Identity, Outcome: outcome, Reason: reason})
		return nil
	})
}

// buildGang builds the gang of a claimed attempt under the leases in force. It
// returns an error when the gang must not start. It first reconciles with the
// journal, so that it also considers a loss of workers that the log has before
// the claim and that stops lending.
func (t *term) buildGang(a *attempt, claim int64, js journal.JobState) (*gang.Gang, error) {
	t.reconcile()
	current, _ := t.journal.Job(a.job.Identity)
	switch {
	case current.Claim != claim:
		return nil, fmt.Errorf("the claim is not in force")
	case current.CancelRequested:
		return nil, fmt.Errorf("cancelled by the caller")
	case a.reclaimed:
		return nil, fmt.Errorf("reclaimed before the start")
	case t.planner.StartRevoked(a.job.Identity):
		return nil, fmt.Errorf("lending stopped before the start")
	}
	for _, name := range a.workers {
		if ws := t.workers[name]; ws == nil || !ws.leased {
			return nil, fmt.Errorf("worker %s was lost before the start", name)
		}
	}
	a.claim = claim
	t.buildMembers(a, js)
	a.gang = gang.New(a.members, t.options.Gang)
	t.registerMembers(a)
	return a.gang, nil
}

// buildMembers derives the members from the claim.
func (t *term) buildMembers(a *attempt, js journal.JobState) {
	for i, name := range a.workers {
		m := gang.Member{Worker: name, Spec: worker.Spec{
			Name:      taskName(a.job.Identity, js.Attempt, i),
			Resources: a.job.Member(),
			RunTime:   max(a.job.RunTime-js.Progress, 0),
			Progress:  js.Progress,
		}}
		if route := t.routes[name]; route != nil {
			m.Handle = route.handle()
		}
		a.members = append(a.members, m)
	}
}

// registerMembers maps the members' tasks to the attempt, so that reports of the
// tasks reach its gang.
func (t *term) registerMembers(a *attempt) {
	for i, m := range a.members {
		t.memberByTask[m.Spec.Name] = taskMember{a, i}
	}
}
