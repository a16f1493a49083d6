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

// openWorkers tells the planner which workers may take new tasks.
func (t *term) openWorkers(now time.Time) {
	for name, h := range t.hosts {
		t.planner.SetSilent(name, h.isSilent())
		if open := h.up && t.health.allows(name, now) && !now.Before(h.crowdedUntil); open != h.open {
			h.open = open
			t.planner.SetSchedulable(name, open)
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

// start begins an attempt, unless it does not fit at the holder.
func (t *term) start(id request.Identity, workers []string, reason string) {
	js, known := t.journal.Job(id)
	if !known || js.State != job.Queued || t.active[id] != nil {
		t.planner.Cancel(id)
		return
	}
	if err := t.fits(js.Job, workers); err != nil {
		t.counters.RejectedPlacements.Add(1)
		if crowded, ok := errors.AsType[*crowdedError](err); ok {
			// The job keeps its turn: nobody gets the worker meanwhile.
			t.hosts[crowded.worker].crowdedUntil = time.Now().Add(t.limits.RetryDelay)
			t.planner.Released(id)
			return
		}
		t.planner.Cancel(id)
		t.delayed[id] = delayed{time.Now().Add(t.limits.RetryDelay), "the workers that were chosen: " + err.Error()}
		return
	}
	a := &attempt{term: t, job: js.Job, workers: workers, reason: reason}
	t.activate(a)
	for _, name := range workers {
		t.health.started(name)
	}
	t.work.Go("attempt of "+id.String(), a.run)
}

// activate registers the attempt and sets its resources aside.
func (t *term) activate(a *attempt) {
	t.active[a.job.Identity] = a
	for _, name := range a.workers {
		if h := t.hosts[name]; h != nil {
			h.reserved[a.job.Identity] = h.reserved[a.job.Identity].Plus(a.job.Member())
		}
	}
}

// fits checks a placement against what is known to be on the workers, because
// workers start whatever they are given.
func (t *term) fits(j job.Job, workers []string) error {
	needed := map[string]worker.Resources{}
	for _, name := range workers {
		needed[name] = needed[name].Plus(j.Member())
	}
	for name, amount := range needed {
		h := t.hosts[name]
		if h == nil || !h.up {
			return fmt.Errorf("worker %s is not available", name)
		}
		if h.silent {
			return fmt.Errorf("worker %s does not answer", name)
		}
		if !t.health.allows(name, time.Now()) {
			return fmt.Errorf("worker %s takes no new tasks", name)
		}
		if member := j.Member(); !member.Fits(h.worker.Capacity) {
			return fmt.Errorf("a member with %s exceeds worker %s", member, name)
		}
		if err := t.hasRoom(h, amount); err != nil {
			return err
		}
	}
	return nil
}

// hasRoom compares the amount with what is free. The planner may overcommit
// cores and memory by its learned ratios, so these are checked only on a worker
// that also has tasks which the planner does not know.
func (t *term) hasRoom(h *hostState, amount worker.Resources) error {
	var reserved, foreign worker.Resources
	for _, r := range h.reserved {
		reserved = reserved.Plus(r)
	}
	for _, l := range h.leftovers {
		reserved = reserved.Plus(l.resources)
	}
	for name, task := range h.tasks {
		if _, left := h.leftovers[name]; left {
			continue
		}
		if _, ours := t.byTask[name]; !ours && task.State.Live() {
			foreign = foreign.Plus(task.Resources)
		}
	}
	used := reserved.Plus(foreign)
	capacity := h.worker.Capacity
	if foreign == (worker.Resources{}) && used.Accelerators+amount.Accelerators <= capacity.Accelerators {
		return nil
	}
	if !used.Plus(amount).Fits(capacity) {
		return &crowdedError{h.worker.Name, used}
	}
	return nil
}

// crowdedError says that a worker still has tasks which the planner does not
// count, such as some that have just ended.
type crowdedError struct {
	worker string
	used   worker.Resources
}

// Error names the worker and what is in use there.
func (e *crowdedError) Error() string {
	return fmt.Sprintf("worker %s has %s in use", e.worker, e.used)
}

// reclaim takes the workers of a job back. moveTo is where it starts again; nil
// lets it wait.
func (t *term) reclaim(d placement.Decision, moveTo []string) {
	a := t.active[d.Job]
	switch {
	case a == nil:
		t.planner.Released(d.Job)
		return
	case a.reclaimed:
		// The planner repeats the decision when the checkpoint takes too long.
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

// throttle limits members to their declared cores. A call that fails is not
// repeated; the planner decides again when the usage stays high.
func (t *term) throttle(d placement.Decision) {
	a := t.active[d.Job]
	if a == nil || a.gang == nil {
		return
	}
	for _, name := range d.Workers {
		for _, m := range a.members {
			if m.Worker == name {
				t.work.Go("throttle", func(ctx context.Context) error {
					_, _ = m.Host.Throttle(ctx, m.Spec.Name, m.Spec.Resources.Cores)
					return nil
				})
			}
		}
	}
}

// endNeverRun ends a queued job that fits no data centre.
func (t *term) endNeverRun(js journal.JobState, reason string) {
	outcome := request.NotRun
	if !js.Started.IsZero() || js.Failures > 0 {
		outcome = request.Failed // An earlier attempt ran on workers that are gone.
	}
	t.work.Go("end record", func(ctx context.Context) error {
		_ = t.record(ctx, journal.JobEnded{Identity: js.Job.Identity, Outcome: outcome, Reason: reason})
		return nil
	})
}

// assemble builds the gang of a claimed attempt under the leases in force. It
// folds first, so that it knows of a loss that the log has before the claim.
func (t *term) assemble(a *attempt, claim int64, js journal.JobState) (*gang.Gang, error) {
	t.fold()
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
		if h := t.hosts[name]; h == nil || !h.up {
			return nil, fmt.Errorf("worker %s was lost before the start", name)
		}
	}
	a.claim = claim
	t.buildMembers(a, js)
	a.gang = gang.New(a.members, t.options.Gang)
	t.register(a)
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
		if s := t.seats[name]; s != nil {
			m.Host = s.host()
		}
		a.members = append(a.members, m)
	}
}

// register routes the reports of the members to the gang.
func (t *term) register(a *attempt) {
	for i, m := range a.members {
		t.byTask[m.Spec.Name] = memberOf{a, i}
	}
}
