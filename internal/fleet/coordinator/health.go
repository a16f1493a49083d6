package coordinator

import (
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/workload"
)

const (
	// suspicionTime is how long a host gets no new work after one failure. A
	// host that fails everything frees its room at once and would get the next
	// tasks too.
	suspicionTime = 1500 * time.Millisecond
	// failedJobs is how many jobs in a row have to fail on a host before it is
	// taken to fail everything.
	failedJobs = 2
	// quarantineTime is how long such a host gets no new work.
	quarantineTime = 4 * time.Second
	// longestQuarantine bounds the time, which doubles with each further one.
	longestQuarantine = 16 * time.Second
)

// health tells a host that fails what it is given from jobs that fail anywhere.
type health struct {
	jobs   collection.Set[workload.ID] // jobs have failed on the host since one last succeeded there.
	until  time.Duration               // until is the end of the quarantine.
	length time.Duration               // length of the last quarantine; 0 since a job has succeeded.
}

func (h *health) succeeded() { *h = health{} }

// failed counts a failure of a job. A suspect job has failed on other hosts
// too, and says nothing of this one.
func (h *health) failed(id workload.ID, suspect bool, at time.Duration) {
	if suspect {
		return
	}
	if h.jobs == nil {
		h.jobs = collection.NewSet[workload.ID]()
	}
	h.jobs.Add(id)
	if at < h.until {
		return
	}
	if len(h.jobs) < failedJobs {
		h.until = at + suspicionTime
		return
	}
	h.length = min(max(quarantineTime, 2*h.length), longestQuarantine)
	h.until = at + h.length
}

// refused counts a start that the host turned away.
func (h *health) refused(at time.Duration) { h.until = max(h.until, at+suspicionTime) }

func (h *health) quarantined(at time.Duration) bool { return at < h.until }
