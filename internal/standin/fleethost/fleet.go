package fleethost

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"wasabihoist/internal/fleet/workload"
)

// Work tells a fleet of minions how long the tasks of a step run and what each
// needs.
type Work struct {
	Duration time.Duration // Duration of a task; for a lasting one the time until it is at work.
	Need     workload.Resources
	Lasting  bool          // Lasting tasks do not end by themselves.
	Latency  time.Duration // Latency is the tail latency of a task that serves users, without others beside it; 0 for any other.
	Disturbs time.Duration // Disturbs is added to the latency of tasks on the same minion while the task works at full pace.
	Ticketed bool          // Ticketed tasks start only with the ticket that Ticket returns.
	Gang     int           // Gang is the number of tasks that work only together; 0 for tasks that work alone.
	Label    string        // Label is a label that the minion must have; empty matches all.
	Spread   int           // Spread is the largest number of tasks of the step on one minion; 0 is no limit.
}

// Ticket returns the ticket for the starts of a step on a minion.
func Ticket(minion string, step workload.StepID) string { return minion + "/" + step.String() }

// Fleet holds what the minions of a test share.
type Fleet struct {
	work     map[string]Work // work is by JOB.STEP.
	stopTime time.Duration
	maxLease time.Duration // maxLease bounds how long a lease lasts from a renewal on.
	gangTime time.Duration // gangTime is how long a member of a gang waits for the others.

	mu       sync.Mutex
	tasks    map[workload.TaskID]*history
	gangs    map[gangKey]*gang
	findings []string // findings are promises that were broken.
}

// NewFleet returns a fleet whose runs take stopTime to stop.
func NewFleet(stopTime time.Duration) *Fleet {
	return &Fleet{work: make(map[string]Work), stopTime: stopTime, tasks: make(map[workload.TaskID]*history), gangs: make(map[gangKey]*gang)}
}

// SetBounds sets how long a lease lasts at most and how long the members of a
// gang wait for each other. 0 is no limit.
func (f *Fleet) SetBounds(maxLease, gangTime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxLease, f.gangTime = maxLease, gangTime
}

// SetWork says what the tasks of a step are like.
func (f *Fleet) SetWork(job workload.ID, step int, w Work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.work[fmt.Sprintf("%s.%d", job, step)] = w
}

// Findings returns the promises that were broken so far.
func (f *Fleet) Findings() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := slices.Clone(f.findings)
	for t, h := range f.tasks {
		list = append(list, h.repeats(t)...)
	}
	slices.Sort(list)
	return list
}

// Starts returns how often a task was started.
func (f *Fleet) Starts(t workload.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.history(t).starts)
}

// LastStart returns when a task was last started by an order that was carried
// out when it arrived; zero if never.
func (f *Fleet) LastStart(t workload.TaskID) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var last time.Time
	for _, s := range f.history(t).starts {
		if !s.late {
			last = s.at
		}
	}
	return last
}

// Finished reports whether a task has ended as completed. One such end
// represents all tasks of a gang.
func (f *Fleet) Finished(t workload.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.history(t).finished
}

func (f *Fleet) bounds() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxLease
}

func (f *Fleet) workOf(t workload.TaskID) Work {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.work[fmt.Sprintf("%s.%d", t.Job, t.Step)]
}

func (f *Fleet) find(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.note(format, args...)
}

func (f *Fleet) note(format string, args ...any) {
	f.findings = append(f.findings, stamp(time.Now())+fmt.Sprintf(format, args...))
}

// stamp returns a time as findings begin with it.
func stamp(at time.Time) string { return at.UTC().Format("15:04:05.000 ") }
