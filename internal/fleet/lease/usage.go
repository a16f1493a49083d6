package lease

import (
	"context"
	"math"
	"time"

	"wasabihoist/internal/fleet/worker"
)

const (
	// minUsageChange is the smallest relative change of usage that is reported.
	minUsageChange = 0.05
	// usageRepeatReads is the number of reads after which unchanged usage is
	// reported again, in case the scheduler failed to act on the last report.
	usageRepeatReads = 10
)

// reportedUsage is the usage of a task that was last reported to the scheduler.
type reportedUsage struct {
	used           worker.Resources
	measured       time.Time
	position       uint64
	unchangedReads int // unchangedReads counts the reads since the report.
}

// pollUsage reads the usage of the leased workers one after the other, each once
// per UsageInterval.
func (s *session) pollUsage(ctx context.Context) error {
	for ctx.Err() == nil && s.alive() {
		s.mu.Lock()
		var held []*renewer
		for _, r := range s.renewers {
			if r.state == Held {
				held = append(held, r)
			}
		}
		s.mu.Unlock()
		if len(held) == 0 {
			sleep(ctx, s.times.UsageInterval/usageRepeatReads)
		}
		for _, r := range held {
			sleep(ctx, s.times.UsageInterval/time.Duration(len(held)))
			if !s.alive() {
				break
			}
			if usage, err := r.client.Usage(ctx); err == nil {
				r.recordUsage(usage, time.Now())
			}
		}
	}
	return nil
}

// recordUsage keeps the usage that is to be reported and skips small changes.
func (r *renewer) recordUsage(usage []worker.Usage, now time.Time) {
	s := r.session
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, u := range usage {
		last, known := r.usage[u.Task]
		if known && !r.usageDiffers(u, last) && last.unchangedReads < usageRepeatReads {
			last.unchangedReads++
			r.usage[u.Task] = last
			continue
		}
		if !changed {
			changed = true
			s.position++
			r.position = s.position
		}
		r.usage[u.Task] = reportedUsage{used: u.Used, measured: now.Add(-u.Age), position: s.position}
	}
	if changed {
		s.notify()
	}
}

// usageDiffers reports whether usage has changed significantly or exceeds the
// declared resources of the task. Excess usage is reported after each read.
// session.mu is held.
func (r *renewer) usageDiffers(u worker.Usage, last reportedUsage) bool {
	if t, known := r.tasks[u.Task]; known && !u.Used.Fits(t.Resources) {
		return true
	}
	return changedSignificantly(u.Used.Cores, last.used.Cores) || changedSignificantly(float64(u.Used.Memory), float64(last.used.Memory)) ||
		u.Used.Accelerators != last.used.Accelerators
}

func changedSignificantly(now, before float64) bool {
	return math.Abs(now-before) > minUsageChange*math.Abs(before)
}

// usageAfter returns the usage recorded after a position. session.mu is held.
func (r *renewer) usageAfter(after uint64, now time.Time) []worker.Usage {
	var list []worker.Usage
	for task, reported := range r.usage {
		if reported.position > after {
			list = append(list, worker.Usage{Task: task, Used: reported.used, Age: now.Sub(reported.measured)})
		}
	}
	return list
}
