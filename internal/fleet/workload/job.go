// Package workload holds the domain types of jobs that consist of steps, and
// the state machine of their tasks. A job is submitted once; its steps run in the
// order of their dependencies, and the tasks of a step run independently or as a
// gang.
package workload

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ID identifies a job. The caller chooses it.
type ID string

// Resources is the request of a task or the capacity of a minion.
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

// FitCount returns how many tasks with the given need fit into r, at most
// maxFitCount.
func (r Resources) FitCount(need Resources) int {
	count := maxFitCount
	if need.MilliCores > 0 {
		count = r.MilliCores / need.MilliCores
	}
	if need.MemoryMB > 0 {
		count = min(count, r.MemoryMB/need.MemoryMB)
	}
	if need.Accelerators > 0 {
		count = min(count, r.Accelerators/need.Accelerators)
	}
	return max(0, min(count, maxFitCount))
}

// maxFitCount is the fit count of tasks that need nothing.
const maxFitCount = 1 << 20

// coresPerAccelerator converts accelerators to cores when work is compared. Users
// price one accelerator as this many cores.
const coresPerAccelerator = 8

// CoreEquivalents returns the resources as a number of cores, with accelerators
// converted. Memory does not count.
func (r Resources) CoreEquivalents() float64 {
	return float64(r.MilliCores)/1000 + float64(r.Accelerators*coresPerAccelerator)
}

// Step is a set of identical tasks.
type Step struct {
	Count     int // Count is at least 1.
	Need      Resources
	Estimate  time.Duration // Estimate is the expected run time of a task; it may be inaccurate.
	DependsOn []int         // DependsOn lists earlier steps of the same job.

	Checkpoints bool   // Checkpoints is set for tasks that save checkpoints and can resume from them.
	Gang        bool   // Gang tasks start all or none, and end together.
	RackLocal   bool   // RackLocal tasks run slower when they are spread over several racks.
	Label       string // Label is a label that the minion must have; empty matches all.
	DataRack    string // DataRack is the rack that holds the input data of the step; empty when there is none.
	SpreadLimit int    // SpreadLimit is the maximum number of the step's tasks on one minion; 0 is no limit.

	LongRunning    bool          // LongRunning tasks run until the job is cancelled; they are restarted whenever they end.
	MaxUnavailable int           // MaxUnavailable is the disruption budget: how many long-running tasks of the step the system may have down at a time; 0 is no limit.
	LatencyTarget  time.Duration // LatencyTarget is the tail latency objective of long-running tasks that serve users; 0 when they serve none.
	BestEffort     bool          // BestEffort tasks use only idle processor time.
	Image          string        // Image is the image that the tasks run; tasks of the same image behave alike.
}

// ReservedResources returns what a task reserves of the capacity of its host: no
// cores if it is best-effort.
func (s Step) ReservedResources() Resources {
	r := s.Need
	if s.BestEffort {
		r.MilliCores = 0
	}
	return r
}

// Job is an accepted submission. It is immutable.
type Job struct {
	ID           ID
	Queue        string
	Organisation string
	Service      string
	Spec         string // Spec is passed to the tasks verbatim.
	Steps        []Step // Steps holds the steps of one occurrence.
	Schedule     Schedule
	Submitted    time.Time

	Priority  int           // Priority 0 is the highest; it may preempt others.
	Attempts  int           // Attempts is the maximum number of failed runs of a task; at least 1.
	Stretch   float64       // Stretch is a factor: the target completion time is Stretch * CriticalPath + Objective.
	Objective time.Duration // Objective is the constant part of the target completion time.
	Adviser   AdviserUse    // Adviser tells whether starts need tickets, as the queue said when the job was accepted.
}

// AdviserUse tells whether the starts of a job need tickets of the placement adviser.
type AdviserUse int

// The uses of the adviser.
const (
	AdviserNotRecorded AdviserUse = iota // AdviserNotRecorded is that of jobs that an older version has accepted.
	AdviserNotUsed
	AdviserUsed
)

// AdviserUseOf returns the use of the adviser by a queue.
func AdviserUseOf(used bool) AdviserUse {
	if used {
		return AdviserUsed
	}
	return AdviserNotUsed
}

// CriticalPath returns the estimated duration of the longest chain of dependent
// steps. It does not overflow for a job that Validate accepts.
func (j Job) CriticalPath() time.Duration {
	return j.LongestChain(func(int) bool { return true })
}

// LongestChain returns the estimated duration of the longest chain of dependent steps of
// an occurrence, of which only the counted ones take time.
func (j Job) LongestChain(counts func(step int) bool) time.Duration {
	var few [commonSteps]time.Duration
	ends := few[:]
	if len(j.Steps) > len(few) {
		ends = make([]time.Duration, len(j.Steps))
	}
	var longest time.Duration
	for i := range j.Steps {
		s := &j.Steps[i]
		for _, d := range s.DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		if counts(i) {
			ends[i] += s.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// commonSteps is the number of steps up to which LongestChain needs no memory.
const commonSteps = 16

// Accelerators returns the sum of the accelerators of all tasks of one occurrence.
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

// Validate returns an error for a job that is malformed or exceeds a limit. It names
// the step.
func (j Job) Validate() error {
	if len(j.Steps) == 0 {
		return errors.New("job has no steps")
	}
	if err := j.Schedule.validate(); err != nil {
		return err
	}
	tasks := j.taskCount()
	if tasks > MaxTasks {
		return fmt.Errorf("job has more than %d tasks", MaxTasks)
	}
	if j.StepCount() > MaxSteps || j.Occurrences()*tasks > MaxScheduledTasks {
		return fmt.Errorf("all occurrences have %d steps and %d tasks, at most %d and %d are possible",
			j.StepCount(), j.Occurrences()*tasks, MaxSteps, MaxScheduledTasks)
	}
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

// validate checks a step with the given index in its job.
func (s Step) validate(index int) error {
	if s.Count < 1 {
		return fmt.Errorf("count %d is below 1", s.Count)
	}
	if err := s.Need.Validate(); err != nil {
		return err
	}
	if min(s.SpreadLimit, s.MaxUnavailable) < 0 || min(s.Estimate, s.LatencyTarget) < 0 {
		return errors.New("a size is negative")
	}
	if max(s.Estimate, s.LatencyTarget) > MaxEstimate {
		return fmt.Errorf("a time is above %s", MaxEstimate)
	}
	if len(s.DependsOn) > index {
		return fmt.Errorf("depends on %d steps, but only %d are earlier ones", len(s.DependsOn), index)
	}
	for _, d := range s.DependsOn {
		if d < 0 || d >= index {
			return fmt.Errorf("depends on step %d, which is not an earlier one", d)
		}
	}
	return nil
}

// Limits of a job, so that its progress fits into one record of the ledger and into
// the memory of an entry. A placed task takes about 130 bytes in the record, a step
// without placed tasks about 30.
const (
	MaxTasks          = 1500    // MaxTasks limits the tasks of an occurrence.
	MaxOccurrences    = 1000    // MaxOccurrences limits the occurrences.
	MaxSteps          = 5000    // MaxSteps limits the steps of all occurrences.
	MaxScheduledTasks = 100_000 // MaxScheduledTasks limits the tasks of all occurrences.
)

// MaxEstimate limits the times of a step, so that sums over the steps of a job and
// small multiples of them do not overflow.
const MaxEstimate = 30 * 24 * time.Hour

// maxResource limits each field of Resources, so that sums over a fleet do not
// overflow.
const maxResource = 1_000_000_000

// Validate returns an error if a field is negative or too large.
func (r Resources) Validate() error {
	if min(r.MilliCores, r.MemoryMB, r.Accelerators) < 0 || max(r.MilliCores, r.MemoryMB, r.Accelerators) > maxResource {
		return fmt.Errorf("resources are %+v, want each between 0 and %d", r, maxResource)
	}
	return nil
}

// taskCount returns the number of tasks of an occurrence, capped at MaxTasks+1 so
// that large counts do not overflow.
func (j Job) taskCount() int {
	sum := 0
	for _, s := range j.Steps {
		sum = min(sum+min(s.Count, MaxTasks+1), MaxTasks+1)
	}
	return sum
}

// HasLongRunning reports whether the job has long-running tasks.
func (j Job) HasLongRunning() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.LongRunning })
}

// StepID identifies a step of an occurrence.
type StepID struct {
	Job        ID
	Occurrence int
	Step       int
}

// String formats the identity as JOB.OCCURRENCE.STEP.
func (s StepID) String() string { return fmt.Sprintf("%s.%d.%d", s.Job, s.Occurrence, s.Step) }

// TaskID identifies a task of a job.
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

// maxTaskNumber limits the numbers in the name of a task. It is above those of all
// valid jobs.
const maxTaskNumber = 1_000_000

// ParseTaskID parses the format of TaskID.String.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task name %.80q: want four parts", s)
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 || n > maxTaskNumber || strconv.Itoa(n) != parts[i+1] {
			return TaskID{}, fmt.Errorf("task name %.80q: part %d is not a number up to %d", s, i+1, maxTaskNumber)
		}
		numbers[i] = n
	}
	return TaskID{ID(parts[0]), numbers[0], numbers[1], numbers[2]}, nil
}
