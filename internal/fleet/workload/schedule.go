package workload

import (
	"fmt"
	"time"
)

// Schedule repeats the steps of a job at fixed times. The zero value runs them
// once, immediately.
type Schedule struct {
	Repetitions int           // Repetitions is the number of occurrences; 0 is one unscheduled run.
	First       time.Time     // First is the start time of the first occurrence.
	Interval    time.Duration // Interval is the time between the starts of occurrences, which may overlap.
}

// maxScheduleSpan limits the time from the first occurrence to the last.
const maxScheduleSpan = 100 * 365 * 24 * time.Hour

// lastStart is the latest time at which the first occurrence may start.
var lastStart = time.Date(9999, time.December, 31, 0, 0, 0, 0, time.UTC)

// validate returns an error for a schedule that exceeds a limit.
func (s Schedule) validate() error {
	if s.Repetitions < 0 || s.Interval < 0 {
		return fmt.Errorf("schedule: %d repetitions every %s", s.Repetitions, s.Interval)
	}
	if s.Repetitions > MaxOccurrences {
		return fmt.Errorf("job has %d repetitions, at most %d are possible", s.Repetitions, MaxOccurrences)
	}
	if s.Interval > maxScheduleSpan/time.Duration(max(1, s.Repetitions)) {
		return fmt.Errorf("schedule: %d repetitions every %s take too long", s.Repetitions, s.Interval)
	}
	if s.Repetitions > 0 && (s.First.Before(time.Unix(0, 0)) && !s.First.IsZero() || s.First.After(lastStart)) {
		return fmt.Errorf("schedule: the first occurrence starts in the year %d", s.First.UTC().Year())
	}
	return nil
}

// Scheduled reports whether the steps run at fixed times.
func (j Job) Scheduled() bool { return j.Schedule.Repetitions > 0 }

// Occurrences returns the number of times that the steps run.
func (j Job) Occurrences() int { return max(1, j.Schedule.Repetitions) }

// EarliestStart returns the scheduled time of an occurrence, or the submission time of
// an unscheduled job.
func (j Job) EarliestStart(occurrence int) time.Time {
	if !j.Scheduled() {
		return j.Submitted
	}
	return j.Schedule.First.Add(time.Duration(occurrence) * j.Schedule.Interval)
}

// Due returns the target completion time of an occurrence, counted from its start or
// the submission, whichever is later.
func (j Job) Due(occurrence int) time.Time {
	begin := j.EarliestStart(occurrence)
	if begin.Before(j.Submitted) {
		begin = j.Submitted
	}
	return begin.Add(j.allowance())
}

// maxAllowance limits the time between the start and the target completion time, so
// that small multiples of it do not overflow.
const maxAllowance = 30 * 365 * 24 * time.Hour

// allowance returns Stretch * CriticalPath + Objective, between 0 and maxAllowance.
func (j Job) allowance() time.Duration {
	sum := j.Stretch*float64(j.CriticalPath()) + float64(j.Objective)
	switch {
	case sum >= float64(maxAllowance):
		return maxAllowance
	case sum > 0:
		return time.Duration(sum)
	default: // also not a number
		return 0
	}
}

// StepCount returns the number of steps of all occurrences. Step numbers are
// consecutive across occurrences.
func (j Job) StepCount() int { return j.Occurrences() * len(j.Steps) }

// Step returns a step by its number across all occurrences.
func (j Job) Step(step int) Step { return j.Steps[step%len(j.Steps)] }

// Occurrence returns the occurrence that a step belongs to.
func (j Job) Occurrence(step int) int { return step / len(j.Steps) }

// DependsOn returns the steps of the same occurrence that a step depends on.
func (j Job) DependsOn(step int) []int {
	first := j.Occurrence(step) * len(j.Steps)
	list := make([]int, 0, len(j.Step(step).DependsOn))
	for _, d := range j.Step(step).DependsOn {
		list = append(list, first+d)
	}
	return list
}

// TaskID returns the identity of a task of a step.
func (j Job) TaskID(step, index int) TaskID {
	return TaskID{Job: j.ID, Occurrence: j.Occurrence(step), Step: step % len(j.Steps), Index: index}
}

// StepID returns the identity of a step.
func (j Job) StepID(step int) StepID {
	return StepID{Job: j.ID, Occurrence: j.Occurrence(step), Step: step % len(j.Steps)}
}

// StepOf returns the step number of a task, StepCount when the job has no such step.
// The numbers of the task may come from another writer.
func (j Job) StepOf(t TaskID) int {
	if t.Step < 0 || t.Step >= len(j.Steps) || t.Occurrence < 0 || t.Occurrence >= j.Occurrences() {
		return j.StepCount()
	}
	return t.Occurrence*len(j.Steps) + t.Step
}
