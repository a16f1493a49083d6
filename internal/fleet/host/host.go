// Package host holds what a minion reports of itself and of the tasks that it
// runs, and the calls that it takes. Times on a minion are durations on its own
// steady clock, which starts anew with each incarnation.
package host

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"wasabihoist/internal/fleet/workload"
)

// Minion is what a minion reports of itself.
type Minion struct {
	ID         string
	StartedAt  time.Time // Born is when the incarnation started.
	Service    string
	DataCentre string
	Rack       string // Rack is empty when the minion does not name one.
	Labels     []string
	Capacity   workload.Resources
	Draining   bool
	Remaining  time.Duration // Remaining is the least time before a draining minion leaves.
}

// Incarnation names one life of the minion.
func (m Minion) Incarnation() string {
	return m.ID + "@" + m.life()
}

func (m Minion) life() string { return strconv.FormatInt(m.StartedAt.UnixMilli(), 36) }

// IsIncarnation reports whether an incarnation names the life that was born at a time.
func IsIncarnation(incarnation string, born time.Time) bool {
	_, life, named := strings.Cut(incarnation, "@")
	return named && life == (Minion{StartedAt: born}).life()
}

// Run is a task that a minion runs.
type Run struct {
	Task            workload.TaskID
	Number          int
	Checkpoint      string
	ProgressPercent int // Percent of the work that is done; 100 while a lasting task is at work.
	// Load of the last half second is the tail latency in milliseconds of a task
	// that serves users, and the thousandths of a core in use of any other.
	Load int
}

// Outcome is how a run ended.
type Outcome int

// The outcomes of a run.
const (
	Completed Outcome = iota
	Crashed           // Crashed runs failed through their own fault or the minion's.
	Stopped
	LeaseExpired // Lapsed runs lost their lease.
	GangAborted  // Broken runs ended because another member of the gang ended.
	GangTimedOut // Alone runs waited in vain for the other members of the gang.
)

var outcomeNames = [...]string{"completed", "crashed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome(%d)", int(o))
	}
	return outcomeNames[o]
}

// EndedRun is a run that has ended.
type EndedRun struct {
	Sequence   int64 // Sequence numbers the ends of an incarnation from 1.
	Task       workload.TaskID
	Number     int
	Outcome    Outcome
	Checkpoint string
}

// StatusReport is what a minion runs and what has ended there and was not yet
// acknowledged, at one moment.
type StatusReport struct {
	Clock     time.Duration
	Minion    Minion
	Running   []Run
	EndedRuns []EndedRun
	Gone      bool // Gone means that no minion answers at its address.
}

// RenewLeaseRequest renews the lease of everything that runs on a minion.
type RenewLeaseRequest struct {
	Incarnation          string        // Incarnation is empty when any will do.
	Token                int64         // Token is the fencing token of the coordinator's term.
	LeaseUntil           time.Duration // Until is the end of the lease on the minion's clock; 0 renews nothing.
	AcknowledgedSequence int64         // Acknowledged is the last end that the minion may forget.
	Wait                 time.Duration // Wait is how long the reply may wait for a change.
}

// StartRequest starts a run.
type StartRequest struct {
	Incarnation   string
	Token         int64
	Task          workload.TaskID
	Number        int
	Spec          string
	StartDeadline time.Duration // Until is the last moment on the minion's clock at which the run may start.
	Checkpoint    string
	Ticket        string // Ticket is the permission of the queue's placement adviser; empty when it has none.
}

// ThrottleRequest sets the share of its speed at which a run works.
type ThrottleRequest struct {
	Incarnation  string
	Token        int64
	Task         workload.TaskID
	Number       int
	SpeedPercent int
}

// StopRequest stops a run and makes a later start of it impossible.
type StopRequest struct {
	Incarnation string
	Token       int64
	Task        workload.TaskID
	Number      int
}

// Errors of calls that certainly had no effect.
var (
	ErrFenced           = errors.New("a higher fencing token was seen")
	ErrRunEnded         = errors.New("the run was stopped or has ended")
	ErrStartTooLate     = errors.New("the time for the start has passed")
	ErrNoCapacity       = errors.New("the minion has no room")
	ErrUnhealthy        = errors.New("the minion takes no work")
	ErrOtherIncarnation = errors.New("another incarnation of the minion answered")
	ErrDraining         = errors.New("the minion is leaving")
	ErrMalformed        = errors.New("the minion could not read the call")
	ErrInvalidTicket    = errors.New("the ticket for the start is not valid")
	// ErrDisconnected is returned by a client of one connection when that is gone
	// or in use.
	ErrDisconnected = errors.New("the connection is gone or in use")
)

// Client calls one minion. Any other error than those above leaves open
// whether the call had an effect.
type Client interface {
	RenewLease(ctx context.Context, r RenewLeaseRequest) (StatusReport, error)
	Start(ctx context.Context, r StartRequest) error
	Stop(ctx context.Context, r StopRequest) error
	Throttle(ctx context.Context, r ThrottleRequest) error
}
