package worker

import (
	"fmt"
	"time"
)

// The types below are the JSON messages of the workers' HTTP API, which
// docs/platform.md describes. The client and the stand-in share them.

// The paths of the API. The stand-in serves PathFaults to inject faults.
const (
	PathLease      = "/v1/lease"
	PathTasks      = "/v1/tasks"
	PathStart      = "/v1/tasks/start"
	PathThrottle   = "/v1/tasks/throttle"
	PathStop       = "/v1/tasks/stop"
	PathCheckpoint = "/v1/tasks/checkpoint"
	PathUsage      = "/v1/usage"
	PathFaults     = "/v1/faults"
)

// LeaseRequest acquires or renews a lease. The worker answers at the first change
// of a task after the position After, or after WaitMillis.
type LeaseRequest struct {
	Holder     string `json:"holder"`
	Epoch      int64  `json:"epoch"`
	TTLMillis  int64  `json:"ttl-ms"`
	After      int64  `json:"after"`
	WaitMillis int64  `json:"wait-ms"`
}

// ReportMessage is the reply to a LeaseRequest.
type ReportMessage struct {
	Incarnation       int64         `json:"incarnation"`
	CompleteForMillis int64         `json:"complete-for-ms"`
	Next              int64         `json:"next"`
	Tasks             []TaskMessage `json:"tasks,omitempty"`
}

// ListingMessage is the reply to a list request.
type ListingMessage struct {
	Holder string `json:"holder"`
	Epoch  int64  `json:"epoch"`
	ReportMessage
}

// TaskRequest is the body of all calls on one task.
type TaskRequest struct {
	Holder string       `json:"holder"`
	Epoch  int64        `json:"epoch"`
	Task   string       `json:"task"`
	Cores  float64      `json:"cores,omitempty"` // Cores is the throttle: 0 holds the task, -1 sets no limit.
	Spec   *SpecMessage `json:"spec,omitempty"`
}

// SpecMessage describes a task to start. Memory is in bytes.
type SpecMessage struct {
	Cores               float64 `json:"cores"`
	Memory              int64   `json:"memory"`
	Accelerators        int     `json:"accelerators"`
	RunTimeMillis       int64   `json:"run-time-ms"`
	ProgressMillis      int64   `json:"progress-ms"`
	Held                bool    `json:"held"`
	StartDeadlineMillis int64   `json:"start-deadline-ms"`
}

// TaskMessage is the state of a task. Memory is in bytes.
type TaskMessage struct {
	Name           string  `json:"name"`
	State          string  `json:"state"`
	Released       bool    `json:"released"`
	Cores          float64 `json:"cores"`
	Memory         int64   `json:"memory"`
	Accelerators   int     `json:"accelerators"`
	RanMillis      int64   `json:"ran-ms"`
	Checkpointed   bool    `json:"checkpointed"`
	ProgressMillis int64   `json:"progress-ms"`
	Reason         string  `json:"reason,omitempty"`
}

// UsageMessage is the measured usage of one task. Memory is in bytes.
type UsageMessage struct {
	Task         string  `json:"task"`
	Cores        float64 `json:"cores"`
	Memory       int64   `json:"memory"`
	Accelerators int     `json:"accelerators"`
	AgeMillis    int64   `json:"age-ms"`
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// FromSpec converts a Spec to its message. The name is sent in the TaskRequest.
func FromSpec(s Spec) *SpecMessage {
	return &SpecMessage{
		Cores:               s.Resources.Cores,
		Memory:              s.Resources.Memory,
		Accelerators:        s.Resources.Accelerators,
		RunTimeMillis:       s.RunTime.Milliseconds(),
		ProgressMillis:      s.Progress.Milliseconds(),
		Held:                s.Held,
		StartDeadlineMillis: s.StartDeadline.Milliseconds(),
	}
}

// ToSpec converts the message to the Spec of the named task.
func (s SpecMessage) ToSpec(name string) Spec {
	return Spec{
		Name:          name,
		Resources:     Resources{Cores: s.Cores, Memory: s.Memory, Accelerators: s.Accelerators},
		RunTime:       millis(s.RunTimeMillis),
		Progress:      millis(s.ProgressMillis),
		Held:          s.Held,
		StartDeadline: millis(s.StartDeadlineMillis),
	}
}

// FromTask converts a Task to its message.
func FromTask(t Task) TaskMessage {
	return TaskMessage{
		Name:           t.Name,
		State:          t.State.String(),
		Released:       t.Released,
		Cores:          t.Resources.Cores,
		Memory:         t.Resources.Memory,
		Accelerators:   t.Resources.Accelerators,
		RanMillis:      t.Ran.Milliseconds(),
		Checkpointed:   t.Checkpointed,
		ProgressMillis: t.Progress.Milliseconds(),
		Reason:         t.Reason,
	}
}

// ToTask converts the message to a Task. It returns an error for an unknown state.
func (t TaskMessage) ToTask() (Task, error) {
	state, err := ParseTaskState(t.State)
	if err != nil {
		return Task{}, fmt.Errorf("task %s: %w", t.Name, err)
	}
	return Task{
		Name:         t.Name,
		State:        state,
		Released:     t.Released,
		Resources:    Resources{Cores: t.Cores, Memory: t.Memory, Accelerators: t.Accelerators},
		Ran:          millis(t.RanMillis),
		Checkpointed: t.Checkpointed,
		Progress:     millis(t.ProgressMillis),
		Reason:       t.Reason,
	}, nil
}

// FromReport converts a Report to its message.
func FromReport(r Report) ReportMessage {
	m := ReportMessage{Incarnation: r.Incarnation, CompleteForMillis: r.CompleteFor.Milliseconds(), Next: r.Next}
	for _, t := range r.Tasks {
		m.Tasks = append(m.Tasks, FromTask(t))
	}
	return m
}

// ToReport converts the message to a Report. It returns an error for an unknown task
// state.
func (r ReportMessage) ToReport() (Report, error) {
	d := Report{Incarnation: r.Incarnation, CompleteFor: millis(r.CompleteForMillis), Next: r.Next}
	for _, t := range r.Tasks {
		task, err := t.ToTask()
		if err != nil {
			return Report{}, err
		}
		d.Tasks = append(d.Tasks, task)
	}
	return d, nil
}

// FromUsage converts a Usage to its message.
func FromUsage(u Usage) UsageMessage {
	return UsageMessage{u.Task, u.Used.Cores, u.Used.Memory, u.Used.Accelerators, u.Age.Milliseconds()}
}

// ToUsage converts the message to a Usage.
func (u UsageMessage) ToUsage() Usage {
	return Usage{
		Task: u.Task,
		Used: Resources{Cores: u.Cores, Memory: u.Memory, Accelerators: u.Accelerators},
		Age:  millis(u.AgeMillis),
	}
}
