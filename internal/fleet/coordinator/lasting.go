package coordinator

import (
	"time"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
)

const (
	// lastingTime stands for the time after which a lasting task ends.
	lastingTime = time.Hour
	// lastingRestart is what a stop of a lasting task throws away: the time until
	// it is at work again.
	lastingRestart = 2 * time.Second
	// lastingWorth is the time of work for which others may be stopped so that a
	// lasting task starts.
	lastingWorth = 10 * time.Second
)

// worthTime returns the time of work that is lost while a task of a step waits.
func worthTime(s workload.Step) time.Duration {
	if s.LongRunning {
		return max(s.Estimate, lastingWorth)
	}
	return s.Estimate
}

// takeLastingEnd lets a lasting task start again, however it has ended. The
// members of its gang end by themselves.
func (t *term) takeLastingEnd(h *hostState, r *run, e host.EndedRun) {
	j := r.attempt.job
	if after := now() - r.startedAt; e.Outcome == host.Crashed && after < earlyFailure {
		h.health.failed(j.job.ID, false, after, now())
		j.retryAt = now() + retryDelay
	}
	r.attempt.over = true
	t.requeue(r, e.Checkpoint)
}

// atWork reports whether a lasting task serves.
func (r *run) atWork() bool {
	return r.phase == running && r.percent >= 100 && !r.attempt.stopping
}

// stepKey names a step of a job.
type stepKey struct {
	job  *jobState
	step int
}

// lastingSet is the tasks of a step that share a bound of how many may be away.
type lastingSet struct {
	id    int
	spare int // spare is how many more may be taken away.
}

// lastingSets returns the steps with such a bound. Tasks that are not at work
// count as away, whatever the cause.
func (t *term) lastingSets() map[stepKey]*lastingSet {
	sets := make(map[stepKey]*lastingSet)
	for _, a := range t.attempts {
		s := a.definition()
		if !s.LongRunning || s.MaxUnavailable == 0 {
			continue
		}
		key := stepKey{a.job, a.step}
		if sets[key] == nil {
			sets[key] = &lastingSet{id: len(sets) + 1, spare: s.MaxUnavailable - s.Count}
		}
		for _, r := range a.runs {
			if r.atWork() {
				sets[key].spare++
			}
		}
	}
	return sets
}
