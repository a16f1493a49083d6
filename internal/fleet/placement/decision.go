package placement

import (
	"fmt"
	"time"

	"wasabihoist/internal/traffic/request"
)

// Kind says what a decision asks the scheduler to do.
type Kind int

// The kinds of decisions.
const (
	Start    Kind = iota + 1 // Start runs a waiting job on the named workers.
	Reclaim                  // Reclaim takes accelerators back from a running job, which waits again.
	Move                     // Move checkpoints a running job and starts it again on the named workers.
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

// Decision is one step that the scheduler carries out.
type Decision struct {
	Kind              Kind
	Job               request.Identity
	Workers           []string         // Workers has one name for each member of the job, in member order.
	Checkpoint        bool             // Checkpoint asks for a checkpoint before the tasks are stopped.
	CheckpointTimeout time.Duration    // CheckpointTimeout is how long that checkpoint may take.
	Beneficiary       request.Identity // Beneficiary is the job that gains from a Reclaim or Move; zero when there is none.
	Reason            string
}

// State is where a job is in the planner.
type State int

// The states of a job in the planner.
const (
	Waiting    State = iota + 1 // Waiting jobs have no place.
	Holding                     // Holding jobs have a place that others have yet to leave.
	Starting                    // Starting jobs have been decided on but have not reported a start.
	Running                     // Running jobs occupy their workers.
	Moving                      // Moving jobs occupy their old and their new workers.
	Reclaiming                  // Reclaiming jobs still occupy their workers and have been asked to leave.
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

// Explanation says why a job is where it is.
type Explanation struct {
	State      State
	Guaranteed bool          // Guaranteed jobs occupy a shape within the guarantee of their organisation.
	Workers    []string      // Workers of the place that the job has or holds; empty while it waits.
	Waited     time.Duration // Waited is the time since submission for jobs that have not started.
	Reason     string        // Reason of the last attempt that failed; empty when none has.

	// The texts are worked out from the state at the time of the question.
	WaitsFor     string // WaitsFor is the place that the job needs, or where it is.
	BlockedBy    string // BlockedBy names what stands before the job; empty when it has a place.
	WouldStartIf string // WouldStartIf is what would have to change; empty when it has a place.
}

// Summary is the state of one data centre in a few numbers.
type Summary struct {
	FreeAccelerators int
	LargestGang      int     // LargestGang is the most accelerators that one gang could occupy now.
	Fragmentation    float64 // Fragmentation is 1 - LargestGang/FreeAccelerators; 0 when none is free.
	Waiting          int     // Waiting counts jobs without a start decision.
	Running          int     // Running counts jobs with a start decision that have not ended.
}
