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

// maxDoublings keeps the time that a refusing worker is avoided from overflowing.
const maxDoublings = 10

// workerHealth is what is known of one worker's health.
type workerHealth struct {
	quickFailures     []request.Identity // streak is the jobs of the quick failures in a row.
	avoidUntil        time.Time          // until is when new tasks are allowed again.
	quarantine        time.Duration      // sentence is the length of the last quarantine; 0 when healthy.
	probation         bool               // probation allows one task.
	probationTaskRuns bool               // busy is set while the probation task runs.
	startFailures     int                // refusals counts the starts that failed at this worker since one went well.
	jobRanElsewhere   bool               // elsewhere says that a job that failed here ran well on another worker.
}

// health judges workers and jobs by their failures. It is not safe for
// concurrent use.
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

func (h *health) condition(name string) *workerHealth {
	c := h.workers[name]
	if c == nil {
		c = &workerHealth{}
		h.workers[name] = c
	}
	return c
}

// failed records a failure after ran and reports whether the worker is now in
// quarantine.
func (h *health) failed(name string, id request.Identity, ran time.Duration, now time.Time) bool {
	c := h.condition(name)
	if h.failedOn[id] == nil {
		h.failedOn[id] = collection.NewSet[string]()
	}
	h.failedOn[id].Add(name)
	if ran > h.options.QuickFailureTime {
		return false
	}
	c.quickFailures = append(c.quickFailures, id)
	if len(c.quickFailures) > 2*h.options.FailureThreshold {
		c.quickFailures = c.quickFailures[1:]
	}
	switch {
	case c.probation:
		c.quarantine *= 2
	case len(c.quickFailures) >= h.options.FailureThreshold && c.isAtFault():
		c.quarantine = h.options.QuarantineTime
	default:
		c.avoidUntil = now.Add(h.options.AvoidTime)
		return false
	}
	c.avoidUntil, c.probation, c.probationTaskRuns = now.Add(c.quarantine), false, false
	return true
}

// isAtFault reports whether the failures point at the worker and not at one
// organisation's jobs.
func (c *workerHealth) isAtFault() bool {
	for _, id := range c.quickFailures {
		if id.Organisation != c.quickFailures[0].Organisation {
			return true
		}
	}
	return c.jobRanElsewhere
}

// taskRanWell records that a task of the job ran longer than a quick failure, or
// succeeded.
func (h *health) taskRanWell(name string, id request.Identity) {
	*h.condition(name) = workerHealth{}
	for other := range h.failedOn[id] {
		if other != name {
			h.condition(other).jobRanElsewhere = true
		}
	}
}

// isJobAtFault reports whether the job failed on two workers that do not fail the
// jobs of others too.
func (h *health) isJobAtFault(id request.Identity) bool {
	healthy := 0
	for name := range h.failedOn[id] {
		c := h.condition(name)
		others := false
		for _, o := range c.quickFailures {
			others = others || o != id
		}
		if c.quarantine == 0 && !others {
			healthy++
		}
	}
	return healthy >= 2
}

// forget drops what is known of an ended job.
func (h *health) forget(id request.Identity) { delete(h.failedOn, id) }

// allows reports whether new tasks may start on the worker. After a quarantine
// it allows one probation task.
func (h *health) allows(name string, now time.Time) bool {
	c := h.workers[name]
	if c == nil {
		return true
	}
	if now.Before(c.avoidUntil) {
		return false
	}
	if c.quarantine > 0 {
		c.probation = true
	}
	return !c.probationTaskRuns
}

// started records that a task starts on the worker.
func (h *health) started(name string) {
	if c := h.workers[name]; c != nil && c.probation {
		c.probationTaskRuns = true
	}
}

// startFailed keeps new tasks away from a worker on which a start failed, for
// longer with each failure.
func (h *health) startFailed(name string, now time.Time) {
	c := h.condition(name)
	c.avoidUntil = now.Add(min(h.options.AvoidTime<<min(c.startFailures, maxDoublings), h.options.QuarantineTime))
	c.startFailures++
}

// startAbandoned records that a start on the worker came to nothing.
func (h *health) startAbandoned(name string) {
	if c := h.workers[name]; c != nil {
		c.probationTaskRuns = false
	}
}
