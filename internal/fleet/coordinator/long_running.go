package coordinator

import (
	"time"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
)

const (
	// longRunningRestartTime is the work time lost when a long-running task is
	// stopped: the time until it serves again.
	longRunningRestartTime = 2 * time.Second
	// minLongRunningWorkTime is the least work time that a waiting long-running
	// task counts as. It bounds the work that may be discarded to start it.
	minLongRunningWorkTime = 10 * time.Second
)

// taskWorkTime returns the run time that a waiting task of a step counts as when
// the cost of preempting others for it is bounded.
func taskWorkTime(s workload.Step) time.Duration {
	if s.LongRunning {
		return max(s.Estimate, minLongRunningWorkTime)
	}
	return s.Estimate
}

// handleLongRunningEnd requeues a long-running task, whatever its outcome. The
// members of its gang end by themselves. After an early crash, the job is not
// placed again for placementRetryDelay.
func (t *term) handleLongRunningEnd(h *hostState, r *run, e host.EndedRun) {
	j := r.attempt.job
	if after := now() - r.startedAt; e.Outcome == host.Crashed && after < earlyFailureWindow {
		h.health.recordFailure(j.job.ID, false, after, now())
		j.retryAt = now() + placementRetryDelay
	}
	r.attempt.ended = true
	t.requeueRun(r, e.Checkpoint)
}

// isServing reports whether a long-running task serves and is not being
// stopped. Such a task reports 100 percent once it has finished starting.
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
