package placement

import (
	"fmt"
	"time"

	"wasabihoist/internal/traffic/request"
)

// Kind is the action that a decision asks the scheduler to take.
type Kind int

// The kinds of decisions.
const (
	Start    Kind = iota + 1 // Start runs a waiting job on the named workers.
	Reclaim                  // Reclaim takes the accelerators of a running job back; the job waits again.
	Move                     // Move checkpoints a running job and restarts it on the named workers.
	Throttle                 // Throttle limits the members on the named workers to their declared cores.
)

var kindNames = map[Kind]string{Start: "start", Reclaim: "reclaim", Move: "move", Throttle: "throttle"}

// String returns the name used in messages.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return fmt.Sprintf("kind(%d)", int(k))
}

// Decision is one action that the scheduler carries out.
type Decision struct {
	Kind              Kind
	Job               request.Identity
	Workers           []string         // Workers has the name of the worker of each member, in member order.
	Checkpoint        bool             // Checkpoint asks for a checkpoint before the tasks are stopped.
	CheckpointTimeout time.Duration    // CheckpointTimeout is how long that checkpoint may take.
	Beneficiary       request.Identity // Beneficiary is the job that gains from a Reclaim or Move; zero when there is none.
	Reason            string
}

// State is the state of a job in the planner.
type State int

// The states of a job. Starting and the later ones use resources.
const (
	Waiting    State = iota + 1 // Waiting jobs have no placement.
	Holding                     // Holding jobs have a placement that other jobs have not released yet.
	Starting                    // Starting jobs have a start decision and have not reported their start.
	Running                     // Running jobs occupy their workers.
	Moving                      // Moving jobs occupy both their old and their new workers.
	Reclaiming                  // Reclaiming jobs still occupy their workers and have been asked to stop.
)

var stateNames = map[State]string{
	Waiting: "waiting", Holding: "holding", Starting: "starting", Running: "running",
	Moving: "moving", Reclaiming: "reclaiming",
}

// String returns the name used in messages.
func (s State) String() string {
	if name, ok := stateNames[s]; ok {
		return name
	}
	return fmt.Sprintf("state(%d)", int(s))
}

// Explanation describes the state of a job and what it waits for.
type Explanation struct {
	State      State
	Guaranteed bool          // Guaranteed jobs occupy a guaranteed shape of their organisation.
	Workers    []string      // Workers of the placement, one for each member; empty while the job waits.
	Waited     time.Duration // Waited is the time since submission, for jobs without a start decision.
	Reason     string        // Reason of the last failed attempt, or of a reclaim; may be empty unless the job waits.

	// The texts are derived from the state at the time of the call.
	WaitsFor     string // WaitsFor is the placement that the job needs, or the one that it has.
	BlockedBy    string // BlockedBy names what prevents the start; empty after the start decision.
	WouldStartIf string // WouldStartIf is what would have to change; empty after the start decision.
}

// Summary is an overview of one data centre.
type Summary struct {
	FreeAccelerators int
	LargestGang      int     // LargestGang is the number of accelerators of the largest gang that fits within one rack now.
	Fragmentation    float64 // Fragmentation is 1 - LargestGang/FreeAccelerators; 0 when none is free.
	Waiting          int     // Waiting counts jobs without a start decision.
	Running          int     // Running counts jobs with a start decision that have not ended.
}
