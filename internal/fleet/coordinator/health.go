package coordinator

import (
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/workload"
)

const (
	// earlyFailureWindow is the time after the start of a run within which its
	// failure counts as early. A host that fails every task does so within this
	// time. Failures caused by the jobs are spread over their run time.
	earlyFailureWindow = time.Second
	// earlyFailureWeight is the weight of an early failure; a late one has
	// weight 1.
	earlyFailureWeight = 2
	// probationWeight is the weight of failures from which a host is on
	// probation: it gets one task at a time until one succeeds, or for a time.
	probationWeight = 2
	// minProbation is the duration of a first probation. Without a limit, a host
	// on which no task can begin, or on which none ends, would never leave it.
	minProbation = 10 * time.Second
	// maxProbation bounds the duration, which doubles with each further probation.
	// Failures that are longer ago say nothing about a host.
	maxProbation = time.Minute
	// failureCooldown is how long a host gets no new work after an early
	// failure. The failed task frees its resources at once, so the host would
	// get the next tasks too.
	failureCooldown = 1500 * time.Millisecond
	// minFailedJobs is how many different jobs have to fail on a host, without a
	// success in between, before it is quarantined. The weight of the failures
	// also has to exceed probationWeight.
	minFailedJobs = 2
	// minQuarantine is the duration of a first quarantine.
	minQuarantine = 4 * time.Second
	// maxQuarantine bounds the duration, which doubles with each further
	// quarantine.
	maxQuarantine = 16 * time.Second
)

// health tracks the failures on a host, to tell a faulty host from faulty jobs. A
// success there ends all of it. It may never come, where tasks do not end by themselves
// or a job waits for the whole host; then each part ends with time, at the latest
// maxProbation after the last failure.
//
// The load that it answers: a host that fails everything it starts and so would
// attract all work, among jobs that fail on any host.
type health struct {
	failedJobs       collection.Set[workload.ID] // failedJobs holds the jobs that have failed on the host since the last success there.
	failureWeight    int                         // failureWeight is the total weight of their failures.
	quarantinedUntil time.Duration               // quarantinedUntil is the end of the quarantine or cooldown.
	failedAt         time.Duration               // failedAt is when the last of them was recorded.
	lastQuarantine   time.Duration               // lastQuarantine is the duration of the last quarantine; 0 if there was none since the last success.
	probationUntil   time.Duration               // probationUntil is the end of the probation if no task succeeds before it.
	lastProbation    time.Duration               // lastProbation is the duration of the last probation; 0 if there was none since the last success.
}

// recordSuccess forgets all failures and ends a quarantine or cooldown.
func (h *health) recordSuccess() { *h = health{} }

// recordFailure records a failure of a job; after is the time since the start
// of its run. If the job is suspected because it has failed on another host too,
// the failure says nothing about this host and does not count.
func (h *health) recordFailure(id workload.ID, jobSuspected bool, after, at time.Duration) {
	if jobSuspected {
		return
	}
	if h.failureWeight > 0 && at >= h.failedAt+maxProbation {
		*h = health{quarantinedUntil: h.quarantinedUntil}
	}
	if h.failedJobs == nil {
		h.failedJobs = collection.NewSet[workload.ID]()
	}
	h.failedJobs.Add(id)
	h.failureWeight++
	h.failedAt = at
	if after < earlyFailureWindow {
		h.failureWeight += earlyFailureWeight - 1
		h.quarantinedUntil = max(h.quarantinedUntil, at+failureCooldown)
	}
	if h.failureWeight >= probationWeight {
		if !h.onProbation(at) {
			h.lastProbation = min(max(minProbation, 2*h.lastProbation), maxProbation)
		}
		h.probationUntil = at + h.lastProbation
	}
	if h.failureWeight <= probationWeight || len(h.failedJobs) < minFailedJobs {
		return
	}
	h.lastQuarantine = min(max(minQuarantine, 2*h.lastQuarantine), maxQuarantine)
	h.quarantinedUntil = max(h.quarantinedUntil, at+h.lastQuarantine)
}

// recordRefusal starts a cooldown after the host has refused a start or not
// answered it.
func (h *health) recordRefusal(at time.Duration) {
	h.quarantinedUntil = max(h.quarantinedUntil, at+failureCooldown)
}

// onProbation reports whether the host gets one task at a time, because the failures
// since the last success have reached probationWeight not long ago.
func (h *health) onProbation(at time.Duration) bool { return at < h.probationUntil }

// suspected reports whether the failures since the last success reach probationWeight,
// also after the probation. Steps on their last attempt use such a host last.
func (h *health) suspected(at time.Duration) bool {
	return h.failureWeight >= probationWeight && at < h.failedAt+maxProbation
}

func (h *health) quarantined(at time.Duration) bool { return at < h.quarantinedUntil }
