package scheduler

import (
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/traffic/request"
)

// HealthOptions set when failures count against a worker and how long it is
// then kept free of new tasks.
type HealthOptions struct {
	QuickFailureTime time.Duration // QuickFailureTime is the longest run time of a task whose failure counts as quick.
	FailureThreshold int           // FailureThreshold is the number of consecutive quick failures that leads to quarantine.
	QuarantineTime   time.Duration // QuarantineTime is the length of the first quarantine; it doubles with each failed probation.
	AvoidTime        time.Duration // AvoidTime keeps new tasks away after one quick failure, so that a retry runs on another worker.
}

// DefaultHealthOptions returns the options used in production.
func DefaultHealthOptions() HealthOptions {
	return HealthOptions{QuickFailureTime: 5 * time.Second, FailureThreshold: 3, QuarantineTime: time.Minute, AvoidTime: 2 * time.Second}
}

// maxDoublings keeps the backoff after failed starts from overflowing.
const maxDoublings = 10

// workerHealth is the failure history of one worker.
type workerHealth struct {
	quickFailures     []request.Identity // quickFailures lists the jobs of the consecutive quick failures.
	avoidUntil        time.Time          // avoidUntil is when new tasks are allowed again.
	quarantine        time.Duration      // quarantine is the length of the last quarantine; 0 when there was none since a task last ran well.
	probation         bool               // probation is set after a quarantine and allows only one task on the worker.
	probationTaskRuns bool               // probationTaskRuns is set while that task runs.
	startFailures     int                // startFailures counts the failed starts since a task last ran well.
	jobRanElsewhere   bool               // jobRanElsewhere is set when a job that failed here has run well on another worker.
}

// health decides from failures whether a worker or a job is at fault. It is not
// safe for concurrent use.
type health struct {
	options  HealthOptions
	workers  map[string]*workerHealth
	failedOn map[request.Identity]collection.Set[string]
}

func newHealth(o HealthOptions) *health {
	return &health{
		options:  o,
		workers:  map[string]*workerHealth{},
		failedOn: map[request.Identity]collection.Set[string]{},
	}
}

// workerHealth returns the history of a worker, which is empty at first.
func (h *health) workerHealth(name string) *workerHealth {
	w := h.workers[name]
	if w == nil {
		w = &workerHealth{}
		h.workers[name] = w
	}
	return w
}

// addFailure records that a task of the job failed on the worker after it ran for
// the given time. It reports whether this puts the worker into quarantine.
func (h *health) addFailure(name string, id request.Identity, ran time.Duration, now time.Time) bool {
	w := h.workerHealth(name)
	if h.failedOn[id] == nil {
		h.failedOn[id] = collection.NewSet[string]()
	}
	h.failedOn[id].Add(name)
	if ran > h.options.QuickFailureTime {
		return false
	}
	w.quickFailures = append(w.quickFailures, id)
	// Failures that do not put the worker at fault accumulate, so the list is bounded.
	if len(w.quickFailures) > 2*h.options.FailureThreshold {
		w.quickFailures = w.quickFailures[1:]
	}
	switch {
	case w.probation:
		w.quarantine *= 2
	case len(w.quickFailures) >= h.options.FailureThreshold && w.isAtFault():
		w.quarantine = h.options.QuarantineTime
	default:
		w.avoidUntil = now.Add(h.options.AvoidTime)
		return false
	}
	w.avoidUntil, w.probation, w.probationTaskRuns = now.Add(w.quarantine), false, false
	return true
}

// isAtFault reports whether the worker and not its jobs is the likely cause of the
// failures: jobs of several organisations have failed, or one of the jobs has run
// well on another worker.
func (w *workerHealth) isAtFault() bool {
	for _, id := range w.quickFailures {
		if id.Organisation != w.quickFailures[0].Organisation {
			return true
		}
	}
	return w.jobRanElsewhere
}

// taskRanWell records that a task of the job succeeded or ran longer than
// QuickFailureTime. It clears the history of the worker.
func (h *health) taskRanWell(name string, id request.Identity) {
	*h.workerHealth(name) = workerHealth{}
	for other := range h.failedOn[id] {
		if other != name {
			h.workerHealth(other).jobRanElsewhere = true
		}
	}
}

// isJobAtFault reports whether the job has failed on two workers that are not
// quarantined or on probation and have no recent quick failures of other jobs.
func (h *health) isJobAtFault(id request.Identity) bool {
	healthy := 0
	for name := range h.failedOn[id] {
		w := h.workerHealth(name)
		others := false
		for _, o := range w.quickFailures {
			others = others || o != id
		}
		if w.quarantine == 0 && !others {
			healthy++
		}
	}
	return healthy >= 2
}

// forget drops the failures of an ended job.
func (h *health) forget(id request.Identity) { delete(h.failedOn, id) }

// allows reports whether new tasks may start on the worker. After a quarantine
// it puts the worker on probation, which allows one task.
func (h *health) allows(name string, now time.Time) bool {
	w := h.workers[name]
	if w == nil {
		return true
	}
	if now.Before(w.avoidUntil) {
		return false
	}
	if w.quarantine > 0 {
		w.probation = true
	}
	return !w.probationTaskRuns
}

// taskStarted records that a task starts on the worker. A worker on probation takes
// no other task then.
func (h *health) taskStarted(name string) {
	if w := h.workers[name]; w != nil && w.probation {
		w.probationTaskRuns = true
	}
}

// startFailed keeps new tasks away from a worker on which a start failed. The
// time doubles with each failure, up to QuarantineTime.
func (h *health) startFailed(name string, now time.Time) {
	w := h.workerHealth(name)
	w.avoidUntil = now.Add(min(h.options.AvoidTime<<min(w.startFailures, maxDoublings), h.options.QuarantineTime))
	w.startFailures++
}

// startNotReleased records that a task on the worker ended without having been
// released. A worker on probation may then take another task.
func (h *health) startNotReleased(name string) {
	if w := h.workers[name]; w != nil {
		w.probationTaskRuns = false
	}
}
