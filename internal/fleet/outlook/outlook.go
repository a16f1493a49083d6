// Package outlook decides which jobs are refused because their service can't serve them.
// The coordinator publishes the outlook of each service, and entries apply it to the jobs
// that they receive.
package outlook

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"wasabihoist/internal/fleet/lateness"
	"wasabihoist/internal/fleet/workload"
)

// Validity is the age after which an outlook means nothing. Entries then accept all jobs.
const Validity = 20 * time.Second

const (
	// worthlessFactor is the time after which a result is worthless, as a multiple of the
	// objective of its job.
	worthlessFactor = 3
	// caution is how many times longer than that a job would have to wait to be refused,
	// because run times are estimates.
	caution = 2
	// impossibleRetryAfter is the least time after which a job that no host can run may be
	// sent again. The hosts of a service seldom change their kind.
	impossibleRetryAfter = 30 * time.Second
	// retrySlots is how many parts the time over which returns are spread has.
	retrySlots = 1024
	// maxRetryAfter limits the time after which a job may be sent again.
	maxRetryAfter = 2 * time.Minute
)

// Outlook is what the coordinator expects of a service.
type Outlook struct {
	Service string
	At      time.Time                        // At is when it was made.
	Kinds   []HostKind                       // Kinds holds the kinds of hosts that the service has had lately; it is empty until they are known.
	Waits   map[lateness.Class]time.Duration // Waits holds for how long the waiting work that is more urgent than a class takes all hosts.
}

// HostKind is a number of hosts that are alike.
type HostKind struct {
	Capacity workload.Resources
	Labels   []string // Labels is sorted.
	Count    int
}

// Refusal tells a client why its job is refused.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Refuse returns the refusal of a new job, or false if it is to be accepted. Urgent jobs
// are refused only if no host can run them, because they don't wait for other work.
func (o Outlook) Refuse(j workload.Job, at time.Time) (Refusal, bool) {
	if at.Sub(o.At).Abs() > Validity {
		return Refusal{}, false
	}
	if reason := o.impossible(j); reason != "" {
		return Refusal{reason, o.retryAfter(j.ID, impossibleRetryAfter)}, true
	}
	class := lateness.ClassOf(j.Priority)
	wait := o.Waits[class]
	if class == lateness.Urgent || j.Scheduled() || j.HasLongRunning() || wait <= caution*worthlessFactor*j.Due(0).Sub(j.Submitted) {
		return Refusal{}, false
	}
	return Refusal{fmt.Sprintf("more urgent work takes all hosts for %s, and the result would be worthless by then", wait), o.retryAfter(j.ID, wait)}, true
}

// retryAfter spreads the returns of jobs over the time from after to twice that.
func (o Outlook) retryAfter(id workload.ID, after time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	after = min(after, maxRetryAfter/2)
	return (after + time.Duration(float64(h.Sum32()%retrySlots)/retrySlots*float64(after))).Round(time.Second)
}

// impossible returns why no hosts of the service can run a job, empty if they can or if
// the hosts are not known.
func (o Outlook) impossible(j workload.Job) string {
	if len(o.Kinds) == 0 {
		return ""
	}
	for i, s := range j.Steps {
		fitting := 0
		for _, k := range o.Kinds {
			fitting += k.Count * k.fitCount(s)
		}
		switch {
		case fitting == 0:
			return fmt.Sprintf("no host can run a task of step %d", i)
		case s.Gang && fitting < s.Count:
			return fmt.Sprintf("the hosts can run %d of the %d tasks of step %d together", fitting, s.Count, i)
		}
	}
	return ""
}

// fitCount returns how many tasks of a step a host can run at a time, if it runs nothing
// else. It doesn't exceed the number of tasks.
func (k HostKind) fitCount(s workload.Step) int {
	if s.Label != "" && !slices.Contains(k.Labels, s.Label) {
		return 0
	}
	count := min(k.Capacity.FitCount(s.ReservedResources()), s.Count)
	if s.SpreadLimit > 0 {
		count = min(count, s.SpreadLimit)
	}
	return count
}
