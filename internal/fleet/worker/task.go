package worker

import (
	"errors"
	"fmt"
	"time"
)

// The errors of calls to a worker. Other errors are programming mistakes.
var (
	// ErrStaleLease is returned when the caller does not hold the lease in force.
	ErrStaleLease = errors.New("the lease is not in force")
	// ErrUnknownTask is returned when the worker does not know the task.
	ErrUnknownTask = errors.New("unknown task")
	// ErrRefused is returned when the worker has refused the call; nothing was done.
	ErrRefused = errors.New("refused by the worker")
	// ErrUnreachable is returned when no connection was made; nothing was done.
	ErrUnreachable = errors.New("worker is unreachable")
	// ErrOutcomeUnknown is returned when the answer is lost; the call may have been carried out.
	ErrOutcomeUnknown = errors.New("outcome of the call is unknown")
)

// Unthrottled is the limit of a task that may use all cores.
const Unthrottled = -1.0

// Lease is the right to use a worker.
type Lease struct {
	Holder string
	Epoch  int64         // Epoch orders the holders of one worker; a higher one supersedes.
	TTL    time.Duration // TTL is the time after which a lease that is not renewed lapses.
}

// TaskState is where a task is in its life on a worker.
type TaskState int

// The states of a task.
const (
	Held      TaskState = iota + 1 // Held tasks are started but throttled to zero.
	Running                        // Running tasks have been released.
	Succeeded                      // Succeeded tasks ended on their own.
	Failed                         // Failed tasks ended on their own with a failure.
	Stopped                        // Stopped tasks were ended by the holder.
	Expired                        // Expired tasks were still held at their start deadline.
	Lapsed                         // Lapsed tasks were ended because the lease lapsed.
)

var taskStateNames = map[TaskState]string{
	Held: "held", Running: "running", Succeeded: "succeeded", Failed: "failed",
	Stopped: "stopped", Expired: "expired", Lapsed: "lapsed",
}

// String returns the name used in the API.
func (s TaskState) String() string {
	if name, ok := taskStateNames[s]; ok {
		return name
	}
	return fmt.Sprintf("task-state(%d)", int(s))
}

// ParseTaskState converts a name used in the API.
func ParseTaskState(name string) (TaskState, error) {
	for s, n := range taskStateNames {
		if n == name {
			return s, nil
		}
	}
	return 0, fmt.Errorf("unknown task state %q", name)
}

// Live reports whether the task occupies the worker.
func (s TaskState) Live() bool { return s == Held || s == Running }

// Spec says what to start.
type Spec struct {
	Name          string // Name is unique on the platform and never used again.
	Resources     Resources
	RunTime       time.Duration // RunTime is the work that the task has left.
	Progress      time.Duration // Progress is the work that an earlier checkpoint kept.
	Held          bool          // Held tasks do not run until they are released.
	StartDeadline time.Duration // StartDeadline is when a task that is still held ends, counted from its start.
}

// Task is what a worker reports of a task.
type Task struct {
	Name         string
	State        TaskState
	Released     bool // Released tasks have run at some time.
	Resources    Resources
	Ran          time.Duration // Ran is the time since the release, up to the end.
	Checkpointed bool          // Checkpointed tasks have not run since their last checkpoint.
	Progress     time.Duration // Progress is what the last checkpoint keeps.
	Reason       string        // Reason explains a failure.
}

// Report is what a worker tells its holder when the lease is renewed.
type Report struct {
	Incarnation int64         // Incarnation changes when the worker has forgotten its tasks.
	CompleteFor time.Duration // CompleteFor is how far back the list of ended tasks is complete.
	Next        int64         // Next is the position after the last change in Tasks.
	Tasks       []Task        // Tasks that changed after the position asked for.
}

// Listing is the full list of tasks with the lease in force.
type Listing struct {
	Lease  Lease // Lease is the last one granted; it may have lapsed.
	Report Report
}

// Usage is what one task used at some time in the recent past.
type Usage struct {
	Task string
	Used Resources
	Age  time.Duration // Age is how long ago the usage was measured.
}
