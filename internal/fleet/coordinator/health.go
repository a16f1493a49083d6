package coordinator

import (
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/workload"
)

const (
	// earlyFailure is how soon after its start a run fails on a host that fails
	// everything. Failures of the jobs themselves are spread over their time.
	earlyFailure = time.Second
	// earlyWeight is how much an early failure counts; a late one counts 1.
	earlyWeight = 2
	// doubtfulWeight makes a host take one task at a time until one succeeds.
	doubtfulWeight = 2
	// suspicionTime is how long a host gets no new work after an early failure.
	// It frees its room at once and would get the next tasks too.
	suspicionTime = 1500 * time.Millisecond
	// failedJobs is how many jobs in a row have to fail on a doubtful host before
	// it is taken to fail everything.
	failedJobs = 2
	// quarantineTime is how long such a host gets no new work.
	quarantineTime = 4 * time.Second
	// longestQuarantine bounds the time, which doubles with each further one.
	longestQuarantine = 16 * time.Second
)

// health tells a host that fails what it is given from jobs that fail anywhere.
type health struct {
	jobs   collection.Set[workload.ID] // jobs have failed on the host since one last succeeded there.
	weight int                         // weight of their failures.
	until  time.Duration               // until is the end of the quarantine.
	length time.Duration               // length of the last quarantine; 0 since a job has succeeded.
}

func (h *health) succeeded() { *h = health{} }

// failed counts a failure of a job some time after the start of its run. A
// suspect job has failed on other hosts too, and says nothing of this one.
func (h *health) failed(id workload.ID, suspect bool, after, at time.Duration) {
	if suspect {
		return
	}
	if h.jobs == nil {
		h.jobs = collection.NewSet[workload.ID]()
	}
	h.jobs.Add(id)
	h.weight++
	if after < earlyFailure {
		h.weight += earlyWeight - 1
		h.until = max(h.until, at+suspicionTime)
	}
	if h.weight <= doubtfulWeight || len(h.jobs) < failedJobs {
		return
	}
	h.length = min(max(quarantineTime, 2*h.length), longestQuarantine)
	h.until = max(h.until, at+h.length)
}

// refused counts a start that the host turned away.
func (h *health) refused(at time.Duration) { h.until = max(h.until, at+suspicionTime) }

// doubtful reports whether jobs have failed since one last succeeded.
func (h *health) doubtful() bool { return h.weight >= doubtfulWeight }

func (h *health) quarantined(at time.Duration) bool { return at < h.until }
