package coordinator

import (
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/lateness"
)

// firstRunAfterUnknown is above the run numbers that former terms have used for a
// task. Minions refuse a number that they have seen.
const firstRunAfterUnknown = 1000

// waitingStep holds the waiting tasks of a step of a job.
type waitingStep struct {
	job     *jobState
	rank    allocation.Rank
	step    int
	indices []int

	reservedAt collection.Option[time.Duration] // reservedAt is when the reservation of a gang was made.
}

func (w waitingStep) key() stepKey { return stepKey{w.job, w.step} }

// reservationOrder returns a value by which steps with a reservation are sorted, before
// those without one.
func (w waitingStep) reservationOrder() time.Duration { return w.reservedAt.Or(allocation.Never) }

// plan decides which tasks to place and which attempts to preempt, and begins
// both.
func (t *term) plan() {
	if t.settings().Adaptive {
		t.measure()
	}
	begin := now()
	d := t.decide()
	steps, plan := d.steps, d.plan
	t.requestAdvice()
	for _, id := range plan.Preempted {
		a, w := t.attempts[id], steps[plan.PreemptedFor[id]]
		t.metrics.preemptions.Add(1)
		t.stopAttempt(a, "it makes room for more urgent work", "for-job", w.job.job.ID, "for-rank", w.rank)
	}
	t.recordReservations(steps, plan, begin)
	for _, p := range plan.Placements {
		t.proposePlacement(steps[p.Demand], p.Hosts)
	}
}

// proposePlacement assigns the first waiting tasks of a step to hosts, one task
// to each element of hosts. A gang becomes one attempt; other tasks become one
// attempt each.
func (t *term) proposePlacement(w waitingStep, hosts []string) {
	j := w.job
	step := j.job.Step(w.step)
	indices := w.indices[:len(hosts)]
	if step.Gang {
		a := t.newAttempt(j, w.step)
		t.proposeAttempt(a, indices, hosts)
		return
	}
	for i := range indices {
		a := t.newAttempt(j, w.step)
		t.proposeAttempt(a, indices[i:i+1], hosts[i:i+1])
	}
}

// proposeAttempt adds a run on a host for each of some tasks to an attempt. The
// runs start once the placement is durable.
func (t *term) proposeAttempt(a *attempt, indices []int, hosts []string) {
	j := a.job
	run := j.progress.NextRun(a.step, indices)
	if j.progressUnknown {
		run = max(run, firstRunAfterUnknown)
	}
	if j.job.Step(a.step).Gang {
		t.shareCheckpoint(j, a.step)
	}
	for i, index := range indices {
		h := t.hosts[hosts[i]]
		id := j.job.TaskID(a.step, index)
		j.progress.Place(id, run, h.name, h.incarnation())
		t.addRun(a, id, run, h, h.incarnation()).ticket = t.ticketFor(j, a.step, h)
	}
	occurrence := j.job.Occurrence(a.step)
	a.overdue = time.Since(j.begin(occurrence)) > lateness.MaxWait && t.slack(j, occurrence) < 0
	_ = level.Info(t.logger).Log("event", "placed", "job", j.job.ID, "occurrence", occurrence, "step", a.step%len(j.job.Steps), "tasks", len(indices), "run", run, "first-task", indices[0],
		"hosts", joinNames(hosts), "age", time.Since(j.job.Submitted).Round(time.Millisecond), "slack", t.slack(j, occurrence).Round(time.Millisecond))
	t.metrics.placements.Add(1)
	t.metrics.waitTime.Record(time.Since(j.job.Submitted))
	t.recordChange(j)
	t.effects = append(t.effects, func() { t.startAttempt(a) })
}

// shareCheckpoint gives all members of a gang the newest checkpoint, because
// the checkpoint of any member is valid for the whole gang. The last one in
// string order counts as the newest.
func (t *term) shareCheckpoint(j *jobState, step int) {
	tasks := j.progress.Steps[step].Tasks
	newest := ""
	for _, task := range tasks {
		newest = max(newest, task.Checkpoint)
	}
	for i := range tasks {
		tasks[i].Checkpoint = newest
	}
}

func joinNames(names []string) string {
	text := ""
	for i, n := range names {
		if i > 0 {
			text += ","
		}
		text += n
	}
	return text
}
