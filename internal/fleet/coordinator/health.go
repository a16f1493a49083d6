package coordinator

import (
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/workload"
)

const (
	// failedJobs is how many jobs in a row have to fail on a host before it gets
	// no new work for a while. One alone may be the fault of the job.
	failedJobs = 2
	// quarantineTime is how long a host that fails gets no new work.
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

func (h *health) succeeded(workload.ID) { *h = health{} }

func (h *health) failed(id workload.ID, at time.Duration) {
	if h.jobs == nil {
		h.jobs = collection.NewSet[workload.ID]()
	}
	h.jobs.Add(id)
	if len(h.jobs) < failedJobs || at < h.until {
		return
	}
	h.length = min(max(quarantineTime, 2*h.length), longestQuarantine)
	h.until = at + h.length
}

func (h *health) quarantined(at time.Duration) bool { return at < h.until }
