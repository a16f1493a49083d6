package coordinator

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/allocation"
)

// avoidancePeriod is how long after a failure a host is excluded at most. Without a
// limit, a step would wait for as long as other work fills the other hosts.
const avoidancePeriod = 10 * time.Second

// stepFailures are the failed runs of a step in this term.
type stepFailures struct {
	failedAt map[string]time.Duration // failedAt holds when a run last failed on each host.
	excluded int                      // excluded is the number of hosts that the last demand of the step excluded.
}

// record adds a failed run on a host.
func (s *stepFailures) record(host string, at time.Duration) {
	if s.failedAt == nil {
		s.failedAt = make(map[string]time.Duration)
	}
	s.failedAt[host] = at
}

// failedOn reports whether a run has failed on a host.
func (s *stepFailures) failedOn(host string) bool {
	_, failed := s.failedAt[host]
	return failed
}

// failedElsewhere reports whether a run has failed on another host.
func (s *stepFailures) failedElsewhere(host string) bool {
	return len(s.failedAt) > 1 || len(s.failedAt) == 1 && !s.failedOn(host)
}

// failures returns the failed runs of a step.
func (j *jobState) failures(step int) *stepFailures {
	s := j.failuresByStep[step]
	if s == nil {
		s = &stepFailures{}
		j.failuresByStep[step] = s
	}
	return s
}

// onLastAttempt reports whether one more failure would use up the last attempt
// of a step. Long-running tasks have no such limit.
func onLastAttempt(j *jobState, step int) bool {
	if j.job.Step(step).LongRunning {
		return false
	}
	s := j.progress.Steps[step]
	failures := s.Failures
	for _, task := range s.Tasks {
		failures = max(failures, task.Failures)
	}
	return failures+1 >= j.job.Attempts
}

// avoidFaultyHosts keeps a demand away from hosts where its tasks are likely to fail:
// those on which the step has failed and, on its last attempt, those on probation.
// They are used last. They are excluded for avoidancePeriod after the failure, but
// only while the other hosts that can run the step have room for it when they are
// empty. If more than half of the hosts that can run the step would be excluded, the
// job is at fault, and none is.
func (t *term) avoidFaultyHosts(d *allocation.Demand, j *jobState, step int) {
	failures, lastAttempt := j.failures(step), onLastAttempt(j, step)
	if len(failures.failedAt) == 0 && !lastAttempt {
		return
	}
	at := now()
	avoided, excluded := collection.NewSet[string](), collection.NewSet[string]()
	candidates, room := 0, 0
	for name, h := range t.hosts {
		if !h.canRun(d) {
			continue
		}
		candidates++
		failedAt, avoid := failures.failedAt[name]
		if lastAttempt && h.health.suspected(at) {
			failedAt, avoid = max(failedAt, h.health.failedAt), true
		}
		if avoid {
			avoided.Add(name)
		}
		if avoid && at < failedAt+avoidancePeriod {
			excluded.Add(name)
			continue
		}
		room += h.emptyRoom(d)
	}
	required := 1
	if d.Gang {
		required = d.Tasks
	}
	if room < required || 2*len(excluded) > candidates {
		excluded = nil
	}
	d.AvoidedHosts, d.ExcludedHosts = avoided, excluded
	if len(excluded) != failures.excluded {
		failures.excluded = len(excluded)
		_ = level.Info(t.logger).Log("event", "hosts excluded", "job", j.job.ID, "step", step%len(j.job.Steps), "excluded", len(excluded), "avoided", len(avoided), "candidates", candidates, "last-attempt", lastAttempt)
	}
}

// canRun reports whether the host could run tasks of a demand if it were empty. A
// quarantine does not count, because it ends soon.
func (h *hostState) canRun(d *allocation.Demand) bool {
	if allowed, restricted := d.AllowedHosts.Get(); restricted && !allowed.Has(h.name) {
		return false
	}
	return h.incarnationKnown && !h.gone && !h.silent && !h.minion.Draining && !h.evacuated && h.minion.Service == d.Service &&
		(d.Label == "" || slices.Contains(h.minion.Labels, d.Label)) && h.minion.Capacity.Fits(d.Need)
}

// emptyRoom returns how many more tasks of a demand the host could hold if nothing but
// the step's own tasks ran on it.
func (h *hostState) emptyRoom(d *allocation.Demand) int {
	room := h.minion.Capacity.FitCount(d.Need) - d.TasksByHost[h.name]
	if d.SpreadLimit > 0 {
		room = min(room, d.SpreadLimit-d.TasksByHost[h.name])
	}
	return max(0, room)
}
