package coordinator

import (
	"time"
)

const (
	// stallTime is how long every run may make no progress.
	stallTime = 3 * time.Second
	// stallSteps is how many times longer than estimated one percent of a run may
	// take. Slow hosts take up to eight times as long, and estimates are off by
	// more than a half.
	stallSteps = 20
	// leaveMargin is how long before a minion may leave what can be saved there
	// is stopped.
	leaveMargin = time.Second
)

// stallLimit returns how long a run of a step may stay at the same percentage.
func stallLimit(estimate time.Duration) time.Duration {
	return max(stallTime, stallSteps*estimate/100)
}

// stalls reports whether a run has made no progress for a time, as of the last
// listing. One that was slowed down says nothing of its host.
func (r *run) stalls(limit time.Duration) bool {
	return r.paced == fullPace && r.percent < 100 && r.host.contact > r.movedAt+limit
}

// checkProgress stops runs that stand still and saves what runs on minions that
// are about to leave.
func (t *term) checkProgress() {
	at := now()
	for _, a := range t.attempts {
		if a.stopping || a.over {
			continue
		}
		for _, r := range a.runs {
			if r.phase != running {
				continue
			}
			if r.stalls(stallLimit(a.definition().Estimate)) {
				r.host.health.failed(a.job.job.ID, false, at-r.startedAt, at)
				t.stop(a, "it makes no progress")
				break
			}
			leaving := r.host.minion.Draining && r.host.minion.Remaining-(at-r.host.contact) < leaveMargin
			if leaving && (a.definition().Checkpoints || a.definition().LongRunning) {
				t.stop(a, "the minion leaves")
				break
			}
		}
	}
}
