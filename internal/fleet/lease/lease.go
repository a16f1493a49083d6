// Package lease acquires and renews worker leases on behalf of the scheduler of
// a data centre. Several agents of a data centre share its leases. Each agent
// reports changes to the scheduler and forwards its calls to the workers.
package lease

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"wasabihoist/internal/fleet/worker"
)

// ErrNoSession is returned when the holder does not know the session, because
// no query extended it in time or because the holder has restarted. The holder
// no longer renews the leases of the session.
var ErrNoSession = errors.New("the holder does not know the session")

// Holder acquires and renews worker leases for the sessions of schedulers.
type Holder interface {
	// Watch extends the session, replaces its assignment, and returns the changes
	// after Query.After. It waits up to Query.Wait for the first change.
	Watch(ctx context.Context, q Query) (Changes, error)
	// Do makes one call to a worker. The errors are those of worker.Client.
	Do(ctx context.Context, c Call) (worker.Task, error)
}

// UnavailableHolder stands for a holder that has left the cluster. All its calls
// fail. It implements Holder.
type UnavailableHolder struct{}

// Watch implements Holder.
func (UnavailableHolder) Watch(context.Context, Query) (Changes, error) {
	return Changes{}, errors.New("the lease holder has left the cluster")
}

// Do implements Holder.
func (UnavailableHolder) Do(context.Context, Call) (worker.Task, error) {
	return worker.Task{}, worker.ErrUnreachable
}

// Times holds the timeouts and intervals of the leases. All must be positive.
type Times struct {
	TTL                 time.Duration // TTL is the time after which a lease that is not renewed lapses.
	RenewInterval       time.Duration // RenewInterval is the time between two renewals; well below TTL.
	CallTimeout         time.Duration // CallTimeout bounds every call to a worker.
	RetryDelay          time.Duration // RetryDelay is the pause after a failed call.
	SessionTTL          time.Duration // SessionTTL is how long leases are renewed after the last query that extends the session.
	FirstContactTimeout time.Duration // FirstContactTimeout is how long a worker that was never leased may stay silent before it counts as lost.
	UsageInterval       time.Duration // UsageInterval is the time between two reads of a worker's usage.
}

// WorkerAssignment assigns the lease of one worker to a session.
type WorkerAssignment struct {
	Worker     worker.Worker
	Generation int64 // Generation increases each time the scheduler assigns the worker to a holder.
	Epoch      int64 // Epoch of the scheduler's last lease of the worker; 0 for none.
}

// Assignment is the full set of leases that a session is to hold.
type Assignment struct {
	Version int64 // Version increases with each assignment of a session; an older version that arrives late is ignored.
	Times   Times
	Workers []WorkerAssignment
}

// SessionID identifies the session of a scheduler with a holder. A later session
// of the same scheduler and data centre ends the earlier ones.
type SessionID struct {
	Owner      string // Owner identifies the process of the scheduler; each start of the process has its own.
	DataCentre string
	Number     int64 // Number increases with each session of the owner for the data centre.
}

// Query asks a holder for the changes of a session. The changes are numbered from
// 1; the number of a change is its position.
type Query struct {
	Session    SessionID
	Extend     bool             // Extend extends the session. It is false after a query that was not answered.
	Assignment *Assignment      // Assignment replaces the previous one; nil keeps it. The first one begins the session.
	After      uint64           // After is the position of the last change that the scheduler has; 0 for none.
	Wait       time.Duration    // Wait bounds how long the holder waits for the first change.
	Abandoned  []AbandonedLease // Abandoned leases are no longer renewed, so that they lapse.
}

// AbandonedLease identifies a lease that is no longer to be renewed.
type AbandonedLease struct {
	Worker string
	Epoch  int64
}

// State is the state of a worker's lease. Its values are sent between agents.
type State int

// The states of a lease.
const (
	Pending    State = iota // Pending leases are not acquired yet.
	Held                    // Held leases are in force as far as the holder knows.
	Lost                    // Lost leases have lapsed, or the worker has restarted.
	Superseded              // Superseded leases were acquired by another holder.
)

// WorkerChange is the new state of one worker's lease and the tasks that changed.
type WorkerChange struct {
	Worker      string
	Generation  int64
	State       State
	Epoch       int64
	Renewed     time.Duration // Renewed is when the last answered renewal was sent, relative to the arrival of the query; negative before it.
	Incarnation int64         // Incarnation of the worker; see worker.Report.
	CompleteFor time.Duration // CompleteFor: all tasks that ended within this time before the answer are known.
	Tasks       []worker.Task // Tasks that changed after the position of the query.
}

// Changes is the answer to a query.
type Changes struct {
	Next    uint64        // Next is the position for the next query.
	Renewed time.Duration // Renewed is the oldest last renewal of all held workers that are not silent, relative to the arrival of the query; at most 0.
	Silent  []string      // Silent workers have not answered the last renewal.
	Workers []WorkerChange
	Usage   []worker.Usage // Usage of the tasks whose usage changed after the position of the query.
}

// CallKind is the operation of a call. Its values are sent between agents.
type CallKind int

// The kinds of calls.
const (
	Start CallKind = iota + 1
	Throttle
	Stop
	Checkpoint
)

// Call is one call on a task under one lease. The worker refuses it when
// another lease is in force.
type Call struct {
	Session           SessionID
	Worker            string
	Epoch             int64
	Kind              CallKind
	Task              string
	Cores             float64       // Cores is the core limit of a Throttle.
	CheckpointTimeout time.Duration // CheckpointTimeout is the timeout of a Checkpoint.
	Spec              worker.Spec   // Spec is the task of a Start.
}

// holderName returns the holder name in a worker lease. The generation
// distinguishes the agents to which one scheduler has assigned a worker.
func holderName(owner string, generation int64) string {
	return fmt.Sprintf("%s#%d", owner, generation)
}

// parseHolderName splits a name made by holderName. Any other name is an owner of
// generation 0.
func parseHolderName(name string) (owner string, generation int64) {
	at := strings.LastIndex(name, "#")
	if at < 0 {
		return name, 0
	}
	generation, err := strconv.ParseInt(name[at+1:], 10, 64)
	if err != nil {
		return name, 0
	}
	return name[:at], generation
}
