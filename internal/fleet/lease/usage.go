package lease

import (
	"context"
	"math"
	"time"

	"wasabihoist/internal/fleet/worker"
)

const (
	// usageChange is the relative change from which usage is reported.
	usageChange = 0.05
	// usageRepeat is the number of reads after which unchanged usage is reported
	// again, for a scheduler whose reaction to it has failed.
	usageRepeat = 10
)

// observed is the last usage of a task that was reported to the scheduler.
type observed struct {
	used     worker.Resources
	measured time.Time
	version  uint64
	repeats  int // repeats counts the reads since then.
}

// usageRun reads the usage of the workers in turn.
func (s *session) usageRun(ctx context.Context) error {
	for ctx.Err() == nil && s.alive() {
		s.mu.Lock()
		var held []*keeper
		for _, k := range s.keepers {
			if k.state == Held {
				held = append(held, k)
			}
		}
		s.mu.Unlock()
		if len(held) == 0 {
			sleep(ctx, s.times.UsageInterval/usageRepeat)
		}
		for _, k := range held {
			sleep(ctx, s.times.UsageInterval/time.Duration(len(held)))
			if !s.alive() {
				break
			}
			if usage, err := k.client.Usage(ctx); err == nil {
				k.observe(usage, time.Now())
			}
		}
	}
	return nil
}

// observe keeps the usage that is worth a report.
func (k *keeper) observe(usage []worker.Usage, now time.Time) {
	s := k.session
	s.mu.Lock()
	defer s.mu.Unlock()
	news := false
	for _, u := range usage {
		last, known := k.usage[u.Task]
		if known && !k.differs(u, last) && last.repeats < usageRepeat {
			last.repeats++
			k.usage[u.Task] = last
			continue
		}
		if !news {
			news = true
			s.version++
			k.version = s.version
		}
		k.usage[u.Task] = observed{used: u.Used, measured: now.Add(-u.Age), version: s.version}
	}
	if news {
		s.notify()
	}
}

// differs reports whether usage has changed, or exceeds what was declared, so
// that the scheduler has to see it each time.
func (k *keeper) differs(u worker.Usage, last observed) bool {
	if t, known := k.tasks[u.Task]; known && !u.Used.Fits(t.Resources) {
		return true
	}
	return changedBy(u.Used.Cores, last.used.Cores) || changedBy(float64(u.Used.Memory), float64(last.used.Memory)) ||
		u.Used.Accelerators != last.used.Accelerators
}

func changedBy(now, before float64) bool { return math.Abs(now-before) > usageChange*math.Abs(before) }

// usageAfter returns what was kept after a position. session.mu is held.
func (k *keeper) usageAfter(after uint64, now time.Time) []worker.Usage {
	var list []worker.Usage
	for task, o := range k.usage {
		if o.version > after {
			list = append(list, worker.Usage{Task: task, Used: o.used, Age: now.Sub(o.measured)})
		}
	}
	return list
}
