package workload

import (
	"fmt"
	"slices"
)

// State is the state of a job that callers see.
type State int

// The states of a job. A job only moves forward through them.
const (
	Pending State = iota
	Running
	Done
	Failed
	Cancelled
)

var stateNames = [...]string{"pending", "running", "done", "failed", "cancelled"}

// String returns the name of the state.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", int(s))
	}
	return stateNames[s]
}

// Ended reports whether the state is final.
func (s State) Ended() bool { return s >= Done }

// Phase is the state of a task.
type Phase int

// The phases of a task.
const (
	Waiting  Phase = iota
	Placed         // Placed tasks are assigned to a minion and may run there.
	Finished       // Finished tasks have succeeded.
)

// Task is the durable state of one task.
type Task struct {
	Phase      Phase
	Run        int    // Run is the highest run number assigned so far; run numbers only increase.
	Host       string // Host is the host of the run; empty unless Placed.
	Minion     string // Minion is the incarnation that has the run; empty unless Placed.
	Failures   int    // Failures counts the failed runs of a task that is not in a gang.
	Checkpoint string // Checkpoint is the latest known checkpoint; empty when there is none.
}

// StepProgress is the durable state of one step.
type StepProgress struct {
	Failures  int // Failures counts the failed runs of a gang.
	FailedRun int // FailedRun is the last run of a gang counted in Failures; several members may fail in one run.
	Tasks     []Task
}

// Progress is the durable state of a job. Only the coordinator writes it.
type Progress struct {
	Job                ID
	State              State
	Steps              []StepProgress // Steps holds the steps of all occurrences, with one Task for each task of the job.
	StepsPerOccurrence int            // StepsPerOccurrence is the number of steps of one occurrence.
	Uncertain          bool           // Uncertain is set while runs may exist that Steps don't name, because a former record could not be used.
}

// NewProgress returns the progress of a job that has not started.
func NewProgress(j Job) *Progress {
	p := &Progress{Job: j.ID, Steps: make([]StepProgress, j.StepCount()), StepsPerOccurrence: len(j.Steps)}
	for i := range p.Steps {
		p.Steps[i].Tasks = make([]Task, j.Step(i).Count)
	}
	return p
}

// Clone returns a deep copy.
func (p *Progress) Clone() *Progress {
	c := &Progress{Job: p.Job, State: p.State, Steps: make([]StepProgress, len(p.Steps)), StepsPerOccurrence: p.StepsPerOccurrence, Uncertain: p.Uncertain}
	for i, s := range p.Steps {
		c.Steps[i] = StepProgress{Failures: s.Failures, FailedRun: s.FailedRun, Tasks: slices.Clone(s.Tasks)}
	}
	return c
}

// Matches reports whether the progress has the steps and task counts of the job.
func (p *Progress) Matches(j Job) bool {
	if len(p.Steps) != j.StepCount() || p.StepsPerOccurrence != len(j.Steps) {
		return false
	}
	for i, s := range p.Steps {
		if len(s.Tasks) != j.Step(i).Count {
			return false
		}
	}
	return true
}

// HasPlacedTasks reports whether a task may still run on a minion.
func (p *Progress) HasPlacedTasks() bool {
	for _, s := range p.Steps {
		for _, t := range s.Tasks {
			if t.Phase == Placed {
				return true
			}
		}
	}
	return false
}

// StepFinished reports whether all tasks of a step have succeeded.
func (p *Progress) StepFinished(step int) bool {
	for _, t := range p.Steps[step].Tasks {
		if t.Phase != Finished {
			return false
		}
	}
	return true
}

// StepReady reports whether all tasks of the steps that a step depends on have
// succeeded.
func (p *Progress) StepReady(j Job, step int) bool {
	for _, d := range j.DependsOn(step) {
		if !p.StepFinished(d) {
			return false
		}
	}
	return true
}

func (p *Progress) step(t TaskID) *StepProgress {
	return &p.Steps[t.Occurrence*p.StepsPerOccurrence+t.Step]
}

func (p *Progress) task(t TaskID) *Task { return &p.step(t).Tasks[t.Index] }

// Place assigns a run of a task to a minion. The minion may refuse to start it.
func (p *Progress) Place(t TaskID, run int, host, minion string) {
	task := p.task(t)
	task.Phase, task.Run, task.Host, task.Minion = Placed, run, host, minion
}

// MarkStarted records that a task has started. It reports whether the job was pending;
// the job is Running then.
func (p *Progress) MarkStarted() bool {
	if p.State != Pending {
		return false
	}
	p.State = Running
	return true
}

// NextRun returns a run number above those of all the given tasks.
func (p *Progress) NextRun(step int, indices []int) int {
	highest := 0
	for _, i := range indices {
		highest = max(highest, p.Steps[step].Tasks[i].Run)
	}
	return highest + 1
}

// Release returns a placed task to waiting. An empty checkpoint keeps the last one.
func (p *Progress) Release(t TaskID, checkpoint string) {
	task := p.task(t)
	task.Phase, task.Host, task.Minion = Waiting, "", ""
	if checkpoint != "" {
		task.Checkpoint = checkpoint
	}
}

// Finish records the success of a task; one member of a gang finishes all tasks of its
// step. The job is Done once all tasks of all steps are finished.
func (p *Progress) Finish(j Job, t TaskID) {
	p.MarkStarted()
	tasks := p.step(t).Tasks[t.Index : t.Index+1]
	if j.Steps[t.Step].Gang {
		tasks = p.step(t).Tasks
	}
	for i := range tasks {
		tasks[i].Phase, tasks[i].Host, tasks[i].Minion = Finished, "", ""
	}
	for i := range p.Steps {
		if !p.StepFinished(i) {
			return
		}
	}
	p.State = Done
}

// Fail releases the task and counts a failed run. A gang counts one failure a run,
// however many members fail, and ignores late failures of earlier runs. The job fails
// when the task or the gang has used all its attempts.
func (p *Progress) Fail(j Job, t TaskID, run int, checkpoint string) {
	p.MarkStarted()
	p.Release(t, checkpoint)
	step := p.step(t)
	failures := &step.Tasks[t.Index].Failures
	if j.Steps[t.Step].Gang {
		if run <= step.FailedRun {
			return
		}
		step.FailedRun = run
		failures = &step.Failures
	}
	*failures++
	if *failures >= j.Attempts {
		p.State = Failed
	}
}
