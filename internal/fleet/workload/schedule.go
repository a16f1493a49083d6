package workload

import "time"

// Schedule repeats the steps of a job at fixed times. The zero value runs them
// once, immediately.
type Schedule struct {
	Repetitions int           // Repetitions is the number of occurrences; 0 is one unscheduled run.
	First       time.Time     // First is the start time of the first occurrence.
	Interval    time.Duration // Interval is the time between the starts of occurrences, which may overlap.
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
	return begin.Add(time.Duration(j.Stretch*float64(j.CriticalPath())) + j.Objective)
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
