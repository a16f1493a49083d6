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

// condition is what is known of one worker's health.
type condition struct {
	streak    []request.Identity // streak is the jobs of the quick failures in a row.
	until     time.Time          // until is when new tasks are allowed again.
	sentence  time.Duration      // sentence is the length of the last quarantine; 0 when healthy.
	probation bool               // probation allows one task.
	busy      bool               // busy is set while the probation task runs.
	refusals  int                // refusals counts the starts that failed at this worker since one went well.
	elsewhere bool               // elsewhere says that a job that failed here ran well on another worker.
}

// health judges workers and jobs by their failures. It is not safe for
// concurrent use.
type health struct {
	options  HealthOptions
	workers  map[string]*condition
	failedOn map[request.Identity]collection.Set[string]
}

func newHealth(o HealthOptions) *health {
	return &health{
		options:  o,
		workers:  map[string]*condition{},
		failedOn: map[request.Identity]collection.Set[string]{},
	}
}

func (h *health) condition(name string) *condition {
	c := h.workers[name]
	if c == nil {
		c = &condition{}
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
	c.streak = append(c.streak, id)
	if len(c.streak) > 2*h.options.FailureThreshold {
		c.streak = c.streak[1:]
	}
	switch {
	case c.probation:
		c.sentence *= 2
	case len(c.streak) >= h.options.FailureThreshold && c.isToBlame():
		c.sentence = h.options.QuarantineTime
	default:
		c.until = now.Add(h.options.AvoidTime)
		return false
	}
	c.until, c.probation, c.busy = now.Add(c.sentence), false, false
	return true
}

// isToBlame reports whether the failures point at the worker and not at one
// organisation's jobs.
func (c *condition) isToBlame() bool {
	for _, id := range c.streak {
		if id.Organisation != c.streak[0].Organisation {
			return true
		}
	}
	return c.elsewhere
}

// ranWell records that a task of the job ran longer than a quick failure, or
// succeeded.
func (h *health) ranWell(name string, id request.Identity) {
	*h.condition(name) = condition{}
	for other := range h.failedOn[id] {
		if other != name {
			h.condition(other).elsewhere = true
		}
	}
}

// condemns reports whether the job failed on two workers that do not fail the
// jobs of others too.
func (h *health) condemns(id request.Identity) bool {
	healthy := 0
	for name := range h.failedOn[id] {
		c := h.condition(name)
		others := false
		for _, o := range c.streak {
			others = others || o != id
		}
		if c.sentence == 0 && !others {
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
	if now.Before(c.until) {
		return false
	}
	if c.sentence > 0 {
		c.probation = true
	}
	return !c.busy
}

// started records that a task starts on the worker.
func (h *health) started(name string) {
	if c := h.workers[name]; c != nil && c.probation {
		c.busy = true
	}
}

// refused keeps new tasks away from a worker on which a start failed, for
// longer with each failure.
func (h *health) refused(name string, now time.Time) {
	c := h.condition(name)
	c.until = now.Add(min(h.options.AvoidTime<<min(c.refusals, maxDoublings), h.options.QuarantineTime))
	c.refusals++
}

// notStarted records that a start on the worker came to nothing.
func (h *health) notStarted(name string) {
	if c := h.workers[name]; c != nil {
		c.busy = false
	}
}
