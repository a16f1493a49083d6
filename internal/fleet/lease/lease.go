// Package lease holds the leases of workers on behalf of the scheduler of a
// data centre. Several agents of a data centre share its leases; each reports
// to the scheduler what has changed and passes its calls on to the workers.
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
// it was not asked for in time or because the holder has restarted. The holder
// renews none of its leases any more.
var ErrNoSession = errors.New("the holder does not know the session")

// Holder keeps leases for the sessions of schedulers.
type Holder interface {
	// Watch keeps the session alive, says which workers it has, and returns what
	// has changed after a position. It waits for the first change.
	Watch(ctx context.Context, q Query) (Changes, error)
	// Do carries out one call on a worker. The errors are those of worker.Client.
	Do(ctx context.Context, c Call) (worker.Task, error)
}

// UnavailableHolder is a holder that has left. It implements Holder.
type UnavailableHolder struct{}

// Watch implements Holder.
func (UnavailableHolder) Watch(context.Context, Query) (Changes, error) {
	return Changes{}, errors.New("the holder has left")
}

// Do implements Holder.
func (UnavailableHolder) Do(context.Context, Call) (worker.Task, error) {
	return worker.Task{}, worker.ErrUnreachable
}

// Times of the leases. All must be positive.
type Times struct {
	TTL                 time.Duration // TTL of the worker leases.
	RenewInterval       time.Duration // Renew is the time between two renewals; well below TTL.
	CallTimeout         time.Duration // Call bounds every call to a worker.
	RetryDelay          time.Duration // Retry is the pause after a failed call.
	SessionTTL          time.Duration // Session is how long leases are renewed after the last query that extends the session.
	FirstContactTimeout time.Duration // Silence is how long a worker that was never leased may be silent before it counts as lost.
	UsageInterval       time.Duration // Usage is the time between two reads of a worker's usage.
}

// WorkerAssignment is a worker whose lease a session is to hold.
type WorkerAssignment struct {
	Worker     worker.Worker
	Generation int64 // Generation grows each time the scheduler gives the worker to a holder.
	Epoch      int64 // Epoch is the last one that the scheduler had on the worker; 0 for none.
}

// Assignment is all that a session is to hold.
type Assignment struct {
	Version int64 // Version grows with each assignment of a session; one that arrives late has no effect.
	Times   Times
	Workers []WorkerAssignment
}

// SessionID names the session of a scheduler with a holder. A later session of
// the same scheduler ends the ones before.
type SessionID struct {
	Owner      string // Owner is the process of the scheduler, unique to its incarnation.
	DataCentre string
	Number     int64 // Number grows with each session of the owner for the data centre.
}

// Query asks for changes of a session.
type Query struct {
	Session    SessionID
	Extend     bool        // Extend prolongs the session. It is left out until the query before has been answered.
	Assignment *Assignment // Assignment replaces the one before; nil keeps it. A session begins with the first.
	After      uint64
	Wait       time.Duration
	Abandoned  []Abandoned // Abandoned leases are to lapse.
}

// Abandoned is a lease that is not to be renewed.
type Abandoned struct {
	Worker string
	Epoch  int64
}

// State is where the lease of a worker is.
type State int

// The states of a lease.
const (
	Pending    State = iota // Sought leases are not acquired yet.
	Held                    // Held leases are in force as far as the holder knows.
	Lost                    // Lost leases have lapsed, or the worker has restarted.
	Superseded              // Superseded leases went to another holder.
)

// WorkerChange is what has changed of one worker.
type WorkerChange struct {
	Worker      string
	Generation  int64
	State       State
	Epoch       int64
	Renewed     time.Duration // Renewed is when the last answered renewal was sent, counted from the arrival of the query.
	Incarnation int64
	CompleteFor time.Duration // CompleteFor is how far back the list of ended tasks reaches, counted from the answer.
	Tasks       []worker.Task
}

// Changes answer a query.
type Changes struct {
	Next    uint64
	Renewed time.Duration // Renewed is the earliest last renewal of all held workers that are not silent, counted from the arrival of the query; at most 0.
	Silent  []string      // Silent workers have not answered the last renewal.
	Workers []WorkerChange
	Usage   []worker.Usage
}

// CallKind says what a call does.
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
	Session SessionID
	Worker  string
	Epoch   int64
	Kind    CallKind
	Task    string
	Cores   float64       // Cores of a throttle.
	Limit   time.Duration // Limit of a checkpoint.
	Spec    worker.Spec   // Spec of a start.
}

// leaseName is the holder as workers know it. The generation tells apart the
// agents to which one scheduler has given a worker.
func leaseName(owner string, generation int64) string {
	return fmt.Sprintf("%s#%d", owner, generation)
}

// parseName undoes leaseName.
func parseName(name string) (owner string, generation int64) {
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
