// Package workload holds the domain types of jobs that consist of steps, and
// the life of their tasks. A job is submitted once; its steps run in the order
// of their dependencies, and the tasks of a step run alone or as a gang.
package workload

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ID names a job. The caller chooses it.
type ID string

// Resources are what a task needs or a minion has.
type Resources struct {
	MilliCores   int // MilliCores are thousandths of a core.
	MemoryMB     int
	Accelerators int
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r without o. Fields may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Min returns the smaller value of each field.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.MilliCores, o.MilliCores), min(r.MemoryMB, o.MemoryMB), min(r.Accelerators, o.Accelerators)}
}

// Fits reports whether r has room for need.
func (r Resources) Fits(need Resources) bool {
	return r.MilliCores >= need.MilliCores && r.MemoryMB >= need.MemoryMB && r.Accelerators >= need.Accelerators
}

// FitCount returns how often need fits into r, at most maxTimes.
func (r Resources) FitCount(need Resources) int {
	times := maxTimes
	for _, f := range [][2]int{{r.MilliCores, need.MilliCores}, {r.MemoryMB, need.MemoryMB}, {r.Accelerators, need.Accelerators}} {
		if f[1] > 0 {
			times = min(times, f[0]/f[1])
		}
	}
	return max(0, times)
}

// maxTimes stands for tasks that need nothing.
const maxTimes = 1 << 20

// coresPerAccelerator converts accelerators to cores when work is compared. It
// is the users' price of an accelerator.
const coresPerAccelerator = 8

// CoreEquivalents returns the weight of the resources in cores, accelerators included.
func (r Resources) CoreEquivalents() float64 {
	return float64(r.MilliCores)/1000 + float64(r.Accelerators*coresPerAccelerator)
}

// Step is a set of equal tasks.
type Step struct {
	Count     int // Count is at least 1.
	Need      Resources
	Estimate  time.Duration // Estimate of the run time of a task; it may be far off.
	DependsOn []int         // DependsOn lists earlier steps of the same job.

	Checkpoints bool
	Gang        bool // Gang tasks run together or not at all, and end together.
	RackLocal   bool // Local tasks run slower when they are on more than one rack.
	Label       string
	Rack        string // Rack holds the data of the step; empty when there is none.
	SpreadLimit int    // SpreadLimit bounds the tasks of the step on one minion; 0 is no bound.

	LongRunning    bool          // Lasting tasks run until the job is cancelled, and are started again however they end.
	MaxUnavailable int           // MayMiss bounds the lasting tasks of the step that may be away at a time because of the system; 0 is no bound.
	LatencyTarget  time.Duration // Target bounds the tail latency of lasting tasks that serve users; 0 when they serve none.
	BestEffort     bool          // Fills tasks use only processor time that is left over.
	Image          string        // Image names what the tasks run; those of one image behave alike.
}

// ReservedResources returns what a task takes of the capacity of its host.
func (s Step) ReservedResources() Resources {
	r := s.Need
	if s.BestEffort {
		r.MilliCores = 0
	}
	return r
}

// Job is an accepted submission. It never changes.
type Job struct {
	ID           ID
	Queue        string
	Organisation string
	Service      string
	Spec         string // Spec is passed to the tasks as it is.
	Steps        []Step // Steps are those of one occurrence.
	Schedule     Schedule
	Submitted    time.Time

	Priority  int           // Priority 0 is the most urgent; it may preempt others.
	Attempts  int           // Attempts bounds the failed runs of a task; at least 1.
	Stretch   float64       // Stretch times the longest chain of steps, and Objective more, is the aim.
	Objective time.Duration // Objective is the fixed part of the aim.
}

// CriticalPath returns the estimated time of the longest chain of dependent steps.
func (j Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i, s := range j.Steps {
		for _, d := range s.DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		ends[i] += s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Accelerators returns the accelerators of all tasks of one occurrence.
func (j Job) Accelerators() int {
	sum := 0
	for _, s := range j.Steps {
		sum += s.Count * s.Need.Accelerators
	}
	return sum
}

// Work returns the estimated work of one occurrence in core seconds.
func (j Job) Work() float64 {
	sum := 0.0
	for _, s := range j.Steps {
		sum += float64(s.Count) * s.Need.CoreEquivalents() * s.Estimate.Seconds()
	}
	return sum
}

// Validate returns what makes a job impossible to read, with the step.
func (j Job) Validate() error {
	if len(j.Steps) == 0 {
		return fmt.Errorf("job has no steps")
	}
	if j.Schedule.Repetitions < 0 || j.Schedule.Interval < 0 {
		return fmt.Errorf("schedule: %d repetitions every %s", j.Schedule.Repetitions, j.Schedule.Interval)
	}
	if j.tasks() > MaxTasks {
		return fmt.Errorf("job has more than %d tasks", MaxTasks)
	}
	if j.Schedule.Repetitions > MaxOccurrences {
		return fmt.Errorf("job has %d repetitions, at most %d are possible", j.Schedule.Repetitions, MaxOccurrences)
	}
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

// validate returns what makes a step impossible to run, given its place.
func (s Step) validate(place int) error {
	if s.Count < 1 {
		return fmt.Errorf("count %d is below 1", s.Count)
	}
	least := min(s.Need.MilliCores, s.Need.MemoryMB, s.Need.Accelerators, s.SpreadLimit, s.MaxUnavailable)
	if least < 0 || s.Estimate < 0 || s.LatencyTarget < 0 {
		return fmt.Errorf("a size is negative")
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= place {
			return fmt.Errorf("depends on step %d, which is not an earlier one", d)
		}
	}
	return nil
}

// MaxTasks and MaxOccurrences bound the tasks of an occurrence and the occurrences of a
// job, so that its progress fits into one record of the ledger. A task that was
// placed takes about 130 bytes there, an occurrence without one about 30.
const (
	MaxTasks       = 1500
	MaxOccurrences = 1000
)

// tasks counts the tasks of an occurrence, up to one more than MaxTasks.
func (j Job) tasks() int {
	sum := 0
	for _, s := range j.Steps {
		sum = min(sum+min(s.Count, MaxTasks+1), MaxTasks+1)
	}
	return sum
}

// HasLongRunning reports whether the job has tasks that run until it is cancelled.
func (j Job) HasLongRunning() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.LongRunning })
}

// StepID names a step of an occurrence.
type StepID struct {
	Job        ID
	Occurrence int
	Step       int
}

// String formats the identity as JOB.OCCURRENCE.STEP.
func (s StepID) String() string { return fmt.Sprintf("%s.%d.%d", s.Job, s.Occurrence, s.Step) }

// TaskID names a task of a job.
type TaskID struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String formats the identity as JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTaskID reads what String writes.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task name %q: want four parts", s)
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task name %q: part %d is not a number", s, i+1)
		}
		numbers[i] = n
	}
	return TaskID{ID(parts[0]), numbers[0], numbers[1], numbers[2]}, nil
}
