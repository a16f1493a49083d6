package workload

import "time"

// Schedule repeats the steps of a job at set times. Its zero value runs them
// once and at once.
type Schedule struct {
	Repetitions int           // Repetitions is how often the steps run; 0 for once, without a set time.
	First       time.Time     // First is when the first occurrence is due.
	Interval    time.Duration // Interval is the time from one occurrence to the next. Occurrences may overlap.
}

// Scheduled reports whether the steps run at set times.
func (j Job) Scheduled() bool { return j.Schedule.Repetitions > 0 }

// Occurrences returns how often the steps run.
func (j Job) Occurrences() int { return max(1, j.Schedule.Repetitions) }

// Begin returns when an occurrence may start. It counts from the submission for
// jobs without set times.
func (j Job) Begin(occurrence int) time.Time {
	if !j.Scheduled() {
		return j.Submitted
	}
	return j.Schedule.First.Add(time.Duration(occurrence) * j.Schedule.Interval)
}

// Due returns when an occurrence should be done.
func (j Job) Due(occurrence int) time.Time {
	begin := j.Begin(occurrence)
	if begin.Before(j.Submitted) {
		begin = j.Submitted
	}
	return begin.Add(time.Duration(j.Stretch*float64(j.CriticalPath())) + j.Objective)
}

// StepCount returns the number of steps of all occurrences. A step is numbered
// through all of them: those of one occurrence follow those of the one before.
func (j Job) StepCount() int { return j.Occurrences() * len(j.Steps) }

// Step returns a step by its number through all occurrences.
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

// TaskID names a task of a step.
func (j Job) TaskID(step, index int) TaskID {
	return TaskID{Job: j.ID, Occurrence: j.Occurrence(step), Step: step % len(j.Steps), Index: index}
}

// StepID names a step.
func (j Job) StepID(step int) StepID {
	return StepID{Job: j.ID, Occurrence: j.Occurrence(step), Step: step % len(j.Steps)}
}

// StepOf returns the step of a task. It is beyond StepCount when the job has no
// such step.
func (j Job) StepOf(t TaskID) int {
	if t.Step >= len(j.Steps) {
		return j.StepCount()
	}
	return t.Occurrence*len(j.Steps) + t.Step
}
