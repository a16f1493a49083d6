package coordinator

import (
	"time"
)

const (
	// minStallTimeout is the lower bound of the stall timeout of a run.
	minStallTimeout = 3 * time.Second
	// stallFactor is how many times longer than estimated one percent of a run
	// may take. Slow hosts take up to eight times as long, and estimates are
	// off by more than a half.
	stallFactor = 20
	// drainMargin is the time before a draining minion may leave at which its
	// checkpointing and long-running tasks are stopped.
	drainMargin = time.Second
)

// stallTimeout returns how long a run of a step may stay at the same
// percentage.
func stallTimeout(estimate time.Duration) time.Duration {
	return max(minStallTimeout, stallFactor*estimate/100)
}

// stalled reports whether the percentage of a run has been the same for longer
// than limit, as of the last status report of its host. Throttled runs are left
// out, because their progress says nothing about the host.
func (r *run) stalled(limit time.Duration) bool {
	return r.speedPercent == fullSpeed && r.percent < 100 && r.host.lastContact > r.progressedAt+limit
}

// checkProgress stops stalled runs, and stops runs on minions that are about to
// leave if their work can be saved or moved.
func (t *term) checkProgress() {
	at := now()
	if t.settings().Adaptive {
		t.leaveHosts(at)
	}
	for _, a := range t.attempts {
		if a.stopping || a.ended {
			continue
		}
		for _, r := range a.runs {
			if r.phase != running {
				continue
			}
			if r.stalled(stallTimeout(a.definition().Estimate)) {
				r.host.health.recordFailure(a.job.job.ID, false, at-r.startedAt, at)
				t.stopAttempt(a, "the run makes no progress")
				break
			}
			if t.settings().Adaptive {
				continue // leaveHosts decides.
			}
			leaving := r.host.minion.Draining && r.host.minion.Remaining-(at-r.host.lastContact) < drainMargin
			if leaving && (a.definition().Checkpoints || a.definition().LongRunning) && t.mayLeave(a) {
				t.stopAttempt(a, "the minion is about to leave")
				break
			}
		}
	}
}
