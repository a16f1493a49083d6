package ledger

import (
	"encoding/json"
	"fmt"
	"math"

	"wasabihoist/internal/fleet/workload"
)

type progressRecord struct {
	State              string               `json:"state"`
	Steps              []stepProgressRecord `json:"steps,omitempty"` // Steps is omitted once the job has ended and no task is placed.
	StepsPerOccurrence int                  `json:"cycle,omitempty"`
	Uncertain          bool                 `json:"uncertain,omitempty"`
}

type stepProgressRecord struct {
	Failures  int          `json:"failures,omitempty"`
	FailedRun int          `json:"failed-run,omitempty"`
	Waiting   int          `json:"waiting,omitempty"`  // Waiting replaces Table by the number of tasks when none was ever placed.
	Finished  int          `json:"finished,omitempty"` // Finished replaces Table by the number of tasks when all have finished.
	Table     *taskTable   `json:"table,omitempty"`
	Tasks     []taskRecord `json:"tasks,omitempty"` // Tasks is written by versions without Table.
}

// encodeStep keeps only the number of tasks if none was ever placed or all are
// finished.
func encodeStep(s workload.StepProgress) stepProgressRecord {
	r := stepProgressRecord{Failures: s.Failures, FailedRun: s.FailedRun}
	neverPlaced, finished := true, true
	for _, t := range s.Tasks {
		neverPlaced = neverPlaced && t == workload.Task{}
		finished = finished && t.Phase == workload.Finished
	}
	switch {
	case neverPlaced:
		r.Waiting = len(s.Tasks)
	case finished:
		r.Finished = len(s.Tasks)
	default:
		r.Table = newTaskTable(s.Tasks)
	}
	return r
}

// validate returns an error for a record that no coordinator has written.
func (r stepProgressRecord) validate() error {
	if min(r.Waiting, r.Finished) < 0 || max(r.Waiting, r.Finished) > workload.MaxTasks {
		return fmt.Errorf("%d waiting and %d finished tasks", r.Waiting, r.Finished)
	}
	if min(r.Failures, r.FailedRun) < 0 || max(r.Failures, r.FailedRun) > maxRun {
		return fmt.Errorf("%d failures, the last in run %d", r.Failures, r.FailedRun)
	}
	return nil
}

// decode returns the progress of a valid record.
func (r stepProgressRecord) decode() (workload.StepProgress, error) {
	if err := r.validate(); err != nil {
		return workload.StepProgress{}, err
	}
	s := workload.StepProgress{Failures: r.Failures, FailedRun: r.FailedRun, Tasks: make([]workload.Task, r.Waiting+r.Finished)}
	for i := range r.Finished {
		s.Tasks[i].Phase = workload.Finished
	}
	tasks := r.Tasks
	if r.Table != nil {
		var err error
		if tasks, err = r.Table.tasks(); err != nil {
			return s, err
		}
	}
	for i, t := range tasks {
		if err := t.validate(); err != nil {
			return s, fmt.Errorf("task %d: %w", i, err)
		}
		s.Tasks = append(s.Tasks, workload.Task(t))
	}
	return s, nil
}

type taskRecord struct {
	Phase      workload.Phase `json:"phase,omitempty"`
	Run        int            `json:"run,omitempty"`
	Host       string         `json:"host,omitempty"`
	Minion     string         `json:"minion,omitempty"`
	Failures   int            `json:"failures,omitempty"`
	Checkpoint string         `json:"checkpoint,omitempty"`
}

// maxRun limits the numbers of runs and failures, so that they can be increased.
const maxRun = math.MaxInt32

// validate returns an error for a record that no coordinator has written.
func (r taskRecord) validate() error {
	if r.Phase < workload.Waiting || r.Phase > workload.Finished {
		return fmt.Errorf("unknown phase %d", r.Phase)
	}
	if min(r.Run, r.Failures) < 0 || max(r.Run, r.Failures) > maxRun {
		return fmt.Errorf("run %d with %d failures", r.Run, r.Failures)
	}
	if r.Phase == workload.Placed && (r.Host == "" || r.Run == 0) {
		return fmt.Errorf("run %d is placed on host %q", r.Run, r.Host)
	}
	return nil
}

// EncodeProgress returns the progress record of a job. It leaves the checkpoints out
// if the record would be too large. A task without one starts anew.
func EncodeProgress(p *workload.Progress) (Record, error) {
	r := progressRecord{State: p.State.String(), Uncertain: p.Uncertain}
	if !p.State.Ended() || p.HasPlacedTasks() {
		r.StepsPerOccurrence = p.StepsPerOccurrence
		for _, s := range p.Steps {
			r.Steps = append(r.Steps, encodeStep(s))
		}
	}
	record, err := encode(ProgressKind.Key(string(p.Job)), r)
	if err != nil {
		r.dropCheckpoints()
		record, err = encode(ProgressKind.Key(string(p.Job)), r)
	}
	return record, err
}

func (r progressRecord) dropCheckpoints() {
	for _, s := range r.Steps {
		if s.Table != nil {
			s.Table.Checkpoints, s.Table.CheckpointOf = nil, nil
		}
	}
}

func decodeProgress(id string, value []byte) (*workload.Progress, error) {
	var r progressRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("decode progress of %s: %w", id, err)
	}
	p := &workload.Progress{Job: workload.ID(id), State: -1, StepsPerOccurrence: r.StepsPerOccurrence, Uncertain: r.Uncertain}
	for s := workload.Pending; s <= workload.Cancelled; s++ {
		if s.String() == r.State {
			p.State = s
		}
	}
	if p.State < 0 {
		return nil, fmt.Errorf("decode progress of %s: unknown state %.40q", id, r.State)
	}
	if len(r.Steps) > workload.MaxSteps {
		return nil, fmt.Errorf("decode progress of %s: %d steps, at most %d are possible", id, len(r.Steps), workload.MaxSteps)
	}
	tasks := 0
	for i, s := range r.Steps {
		step, err := s.decode()
		if err != nil {
			return nil, fmt.Errorf("decode progress of %s: step %d: %w", id, i, err)
		}
		if tasks += len(step.Tasks); tasks > workload.MaxScheduledTasks {
			return nil, fmt.Errorf("decode progress of %s: more than %d tasks", id, workload.MaxScheduledTasks)
		}
		p.Steps = append(p.Steps, step)
	}
	if p.StepsPerOccurrence == 0 { // Records from versions without schedules lack the field.
		p.StepsPerOccurrence = len(p.Steps)
	}
	return p, nil
}
