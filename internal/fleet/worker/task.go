package worker

import (
	"errors"
	"fmt"
	"time"
)

// The errors of calls to a worker. Any other error is a programming error.
var (
	// ErrStaleLease is returned when the lease of the caller is not the one in force.
	ErrStaleLease = errors.New("the lease is not in force")
	// ErrUnknownTask is returned when the worker does not know the task.
	ErrUnknownTask = errors.New("unknown task")
	// ErrRefused is returned when the worker refuses the call; it has no effect.
	ErrRefused = errors.New("refused by the worker")
	// ErrUnreachable is returned when no connection was made; the call has no effect.
	ErrUnreachable = errors.New("worker is unreachable")
	// ErrOutcomeUnknown is returned when the reply is lost; the call may have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the call is unknown")
)

// Unthrottled is the core limit of a task that may use all cores.
const Unthrottled = -1.0

// Lease is the exclusive right to run tasks on a worker.
type Lease struct {
	Holder string        // Holder names the process that renews the lease.
	Epoch  int64         // Epoch orders the leases of one worker; a higher epoch supersedes a lower one.
	TTL    time.Duration // TTL is the time after which a lease that is not renewed lapses.
}

// TaskState is the state of a task on a worker.
type TaskState int

// The states of a task.
const (
	Held      TaskState = iota + 1 // Held tasks are started but throttled to zero.
	Running                        // Running tasks have been released.
	Succeeded                      // Succeeded tasks ended on their own without a failure.
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

// Spec describes a task to start.
type Spec struct {
	Name          string // Name is unique on the platform and never reused.
	Resources     Resources
	RunTime       time.Duration // RunTime is the remaining run time of the task.
	Progress      time.Duration // Progress is the run time that an earlier checkpoint saved.
	Held          bool          // Held tasks are throttled to zero until they are released.
	StartDeadline time.Duration // StartDeadline is how long after its start a task that is still held ends.
}

// Task is the state of a task as its worker reports it.
type Task struct {
	Name         string
	State        TaskState
	Released     bool // Released is true once the task was released.
	Resources    Resources
	Ran          time.Duration // Ran is the time since the release, up to the end.
	Checkpointed bool          // Checkpointed is true while the task has not run since its last checkpoint.
	Progress     time.Duration // Progress is the run time that the last checkpoint saved.
	Reason       string        // Reason explains a failure.
}

// Report is the reply of a worker to a renewal of its lease.
type Report struct {
	Incarnation int64         // Incarnation changes when the worker restarts and loses its tasks.
	CompleteFor time.Duration // CompleteFor: all tasks that ended within this time before the reply are known.
	Next        int64         // Next is the position for the next renewal.
	Tasks       []Task        // Tasks that changed after the position of the renewal.
}

// Listing is the full list of tasks and the last lease.
type Listing struct {
	Lease  Lease // Lease is the last one granted, without TTL; it may have lapsed.
	Report Report
}

// Usage is the resource usage of one task at a recent time.
type Usage struct {
	Task string
	Used Resources
	Age  time.Duration // Age is how long ago the usage was measured.
}
