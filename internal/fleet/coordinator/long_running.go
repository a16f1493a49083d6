package coordinator

import (
	"time"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
)

const (
	// longRunningTimeLeft is the remaining run time assumed for a long-running
	// task, which runs until its job is cancelled.
	longRunningTimeLeft = time.Hour
	// longRunningRestartTime is the time of work that a stop of a long-running
	// task loses: the time until it serves again.
	longRunningRestartTime = 2 * time.Second
	// minLongRunningWorth is the minimum time of work for which others may be
	// stopped so that a long-running task starts.
	minLongRunningWorth = 10 * time.Second
)

// taskWorth returns the time of work that is lost while a task of a step waits.
func taskWorth(s workload.Step) time.Duration {
	if s.LongRunning {
		return max(s.Estimate, minLongRunningWorth)
	}
	return s.Estimate
}

// handleLongRunningEnd requeues a long-running task, whatever its outcome. The
// members of its gang end by themselves.
func (t *term) handleLongRunningEnd(h *hostState, r *run, e host.EndedRun) {
	j := r.attempt.job
	if after := now() - r.startedAt; e.Outcome == host.Crashed && after < earlyFailureWindow {
		h.health.recordFailure(j.job.ID, false, after, now())
		j.retryAt = now() + placementRetryDelay
	}
	r.attempt.ended = true
	t.requeue(r, e.Checkpoint)
}

// isServing reports whether a long-running task has finished starting and
// serves.
func (r *run) isServing() bool {
	return r.phase == running && r.percent >= 100 && !r.attempt.stopping
}

// stepKey identifies a step of a job.
type stepKey struct {
	job  *jobState
	step int
}

// disruptionBudget bounds how many tasks of a long-running step may be
// unavailable at a time.
type disruptionBudget struct {
	id        int
	remaining int // remaining is how many more of its tasks may be stopped.
}

// disruptionBudgets returns the budgets of the steps that have one. Every task
// that does not serve counts as unavailable, whatever the cause.
func (t *term) disruptionBudgets() map[stepKey]*disruptionBudget {
	budgets := make(map[stepKey]*disruptionBudget)
	for _, a := range t.attempts {
		s := a.definition()
		if !s.LongRunning || s.MaxUnavailable == 0 {
			continue
		}
		key := stepKey{a.job, a.step}
		if budgets[key] == nil {
			budgets[key] = &disruptionBudget{id: len(budgets) + 1, remaining: s.MaxUnavailable - s.Count}
		}
		for _, r := range a.runs {
			if r.isServing() {
				budgets[key].remaining++
			}
		}
	}
	return budgets
}
