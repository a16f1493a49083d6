// Package job holds the domain types of gang jobs.
package job

import (
	"fmt"
	"time"

	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// Job is a gang of tasks that run together or not at all.
type Job struct {
	Identity   request.Identity
	Kind       string
	Shape      organisation.Shape
	Cores      float64       // Cores for each member.
	Memory     int64         // Memory for each member, in bytes, as declared.
	RunTime    time.Duration // RunTime as declared by the caller; it may be far off.
	Deadline   time.Time     // Deadline is when the result is late; zero when it never is.
	Idempotent bool          // Idempotent jobs may be started again after a failed attempt.
	Urgent     bool          // Urgent jobs may reclaim borrowed accelerators at once.
	DataCentre string        // DataCentre is preferred; empty when any will do.
	Submitted  time.Time
}

// Member returns the resources of one member as declared.
func (j Job) Member() worker.Resources {
	return worker.Resources{Cores: j.Cores, Memory: j.Memory, Accelerators: j.Shape.Accelerators}
}

// State is where a job is in its life.
type State int

// The states of a job in the journal.
const (
	Queued State = iota
	Claimed
	Running
	Ended
)

var stateNames = map[State]string{Queued: "queued", Claimed: "claimed", Running: "running", Ended: "ended"}

// String returns the name used in messages.
func (s State) String() string {
	if name, ok := stateNames[s]; ok {
		return name
	}
	return fmt.Sprintf("state(%d)", int(s))
}

// TaskID names one member of one attempt of a job.
type TaskID struct {
	Job     request.Identity
	Attempt int // Attempt starts at 1.
	Member  int // Member is 0-based.
}

// String formats the task identity as organisation/id/attempt/member.
func (t TaskID) String() string { return fmt.Sprintf("%s/%d/%d", t.Job, t.Attempt, t.Member) }
