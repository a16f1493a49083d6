package coordinator

import (
	"slices"
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

// isServing reports whether a long-running task was at work by the last report of the
// present incarnation of its minion, and is not being stopped. Such a task reports 100
// percent once it has finished starting.
func (r *run) isServing() bool {
	return r.phase == running && r.reported && r.percent >= 100 && !r.attempt.stopping
}

// stepKey identifies a step of a job.
type stepKey struct {
	job  *jobState
	step int
}

// stepBudget is the disruption budget of a step with what is left of it.
type stepBudget struct {
	id        int
	remaining int // remaining is how many more of its tasks may be stopped; negative if too few are at work anyway.
}

// disruptionBudgets returns the budgets of the steps that have one. Every task that is
// not known to serve counts as unavailable, whatever the cause.
func (t *term) disruptionBudgets() map[stepKey]*stepBudget {
	at, limit := now(), silenceLimit(t.settings().NoticeTime, t.stopTimeout())
	tasks := make(map[stepKey][]sighting)
	for _, a := range t.attempts {
		if s := a.definition(); !s.LongRunning || s.MaxUnavailable == 0 {
			continue
		}
		key := stepKey{a.job, a.step}
		for _, r := range a.runs {
			tasks[key] = append(tasks[key], sighting{r.isServing(), at - r.heardAt})
		}
	}
	budgets := make(map[stepKey]*stepBudget, len(tasks))
	for key, list := range tasks {
		s := key.job.job.Step(key.step)
		budgets[key] = &stepBudget{len(budgets) + 1, remainingDisruptions(s.Count, s.MaxUnavailable, list, limit)}
	}
	return budgets
}

// mayLeave reports whether the disruption budget permits to stop an attempt because
// some of its hosts are about to leave. It does not bind tasks whose hosts all leave:
// they end anyway.
func (t *term) mayLeave(a *attempt) bool {
	if !slices.ContainsFunc(a.runs, func(r *run) bool { return !r.host.minion.Draining }) {
		return true
	}
	b := t.disruptionBudgets()[stepKey{a.job, a.step}]
	return b == nil || disruptableUnits(b.remaining, len(a.runs)) > 0
}
