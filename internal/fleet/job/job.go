// Package job holds the domain types of gang jobs.
package job

import (
	"fmt"
	"time"

	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// Job is a gang of tasks that start all or none.
type Job struct {
	Identity   request.Identity
	Kind       string
	Shape      organisation.Shape
	Cores      float64       // Cores for each member.
	Memory     int64         // Memory for each member, in bytes, as declared.
	RunTime    time.Duration // RunTime as declared by the caller; it may be inaccurate.
	Deadline   time.Time     // Deadline is the time after which the result is late; zero for none.
	Idempotent bool          // Idempotent jobs may be retried after a failed attempt.
	Urgent     bool          // Urgent jobs may reclaim borrowed accelerators at once.
	DataCentre string        // DataCentre is the preferred one; empty for no preference.
	Submitted  time.Time
}

// Member returns the resources of one member as declared.
func (j Job) Member() worker.Resources {
	return worker.Resources{Cores: j.Cores, Memory: j.Memory, Accelerators: j.Shape.Accelerators}
}

// State is the state of a job.
type State int

// The states of a job in the journal.
const (
	Queued State = iota
	Claimed
	Running
	Ended
)

var stateNames = map[State]string{Queued: "queued", Claimed: "claimed", Running: "running", Ended: "ended"}

// String returns the name of the state.
func (s State) String() string {
	if name, ok := stateNames[s]; ok {
		return name
	}
	return fmt.Sprintf("state(%d)", int(s))
}

// TaskID identifies one member of one attempt of a job.
type TaskID struct {
	Job     request.Identity
	Attempt int // Attempt starts at 1.
	Member  int // Member is 0-based.
}

// String formats the task identity as organisation/id/attempt/member.
func (t TaskID) String() string { return fmt.Sprintf("%s/%d/%d", t.Job, t.Attempt, t.Member) }
