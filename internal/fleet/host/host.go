// Package host holds the types of the minion API: what a minion reports about
// itself and its tasks, and the calls that it serves. Times on a minion are
// durations on its own monotonic clock, which restarts with each incarnation.
package host

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"wasabihoist/internal/fleet/workload"
)

// Minion is what a minion reports about itself.
type Minion struct {
	ID         string
	StartedAt  time.Time // StartedAt is when the incarnation started.
	Service    string
	DataCentre string
	Rack       string // Rack is empty when the minion reports none.
	Labels     []string
	Capacity   workload.Resources
	Draining   bool
	Remaining  time.Duration // Remaining is the minimum time until a draining minion leaves.
}

// Incarnation identifies one run of the minion process, as ID@START with the start
// in Unix milliseconds in base 36.
func (m Minion) Incarnation() string {
	return m.ID + "@" + strconv.FormatInt(m.StartedAt.UnixMilli(), incarnationBase)
}

// incarnationBase is the base in which an incarnation is written.
const incarnationBase = 36

// IncarnationID returns the minion id of an incarnation.
func IncarnationID(incarnation string) string {
	id, _ := cutIncarnation(incarnation)
	return id
}

// cutIncarnation splits ID@START at the last separator, because an id may
// contain others. The start is empty if there is none.
func cutIncarnation(incarnation string) (id, start string) {
	if i := strings.LastIndexByte(incarnation, '@'); i >= 0 {
		return incarnation[:i], incarnation[i+1:]
	}
	return incarnation, ""
}

// IncarnationStart returns when an incarnation started. It reports false if the
// text names no start.
func IncarnationStart(incarnation string) (time.Time, bool) {
	_, start := cutIncarnation(incarnation)
	millis, err := strconv.ParseInt(start, incarnationBase, 64)
	return time.UnixMilli(millis), err == nil
}

// IncarnationStartedAt reports whether an incarnation started at the given time.
func IncarnationStartedAt(incarnation string, start time.Time) bool {
	at, known := IncarnationStart(incarnation)
	return known && at.UnixMilli() == start.UnixMilli()
}

// Run is a task that a minion runs.
type Run struct {
	Task            workload.TaskID
	Number          int    // Number is the run number of the task.
	Checkpoint      string // Checkpoint is the latest one of the run; empty when there is none.
	ProgressPercent int    // ProgressPercent is the finished share of the work; 100 while a long-running task works.
	// Load covers the last half second: the tail latency in milliseconds of a task
	// that serves users, or the thousandths of a core that any other task uses.
	Load int
}

// Outcome is how a run ended.
type Outcome int

// The outcomes of a run.
const (
	Completed Outcome = iota
	Crashed           // Crashed runs failed because of the task or the minion.
	Stopped
	LeaseExpired // LeaseExpired runs ended because their lease was not renewed.
	GangAborted  // GangAborted runs ended because another member of the gang ended.
	GangTimedOut // GangTimedOut runs ended because other members of the gang did not start in time.
)

// outcomeNames holds the names in logs and metrics. "lapsed", "broken" and "alone" are
// the names that the minions of the platform report.
var outcomeNames = [...]string{"completed", "crashed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("outcome(%d)", int(o))
	}
	return outcomeNames[o]
}

// EndedRun is a run that ended on a minion.
type EndedRun struct {
	Sequence   int64 // Sequence numbers the ended runs of an incarnation from 1.
	Task       workload.TaskID
	Number     int
	Outcome    Outcome
	Checkpoint string
}

// MaxEndedRuns is how many ended runs a status report lists at most. The others
// follow when these are acknowledged.
const MaxEndedRuns = 500

// StatusReport is a snapshot of the running runs of a minion and the ended runs that
// are not yet acknowledged.
type StatusReport struct {
	Clock     time.Duration // Clock is the minion's clock at the snapshot.
	Minion    Minion
	Running   []Run
	EndedRuns []EndedRun
	Gone      bool // Gone is set when it is certain that no minion runs at the address.

	Unreadable Unreadable // Unreadable describes the rows that the lists lack or hold only in part.
}

// Unreadable describes the rows of a status report that can't be read, because
// another writer has left them. The zero value means that there are none.
type Unreadable struct {
	Runs int   // Runs is the number of running runs that are not known by name. A run that the report lacks may be one of them.
	Ends int   // Ends is the number of ended runs without a sequence number, which can't be acknowledged.
	Err  error // Err is about the first unreadable row, also if only an optional value of it is missing.
}

// RenewLeaseRequest renews the lease of all runs on a minion and asks for its status.
type RenewLeaseRequest struct {
	Incarnation          string        // Incarnation is the expected one; empty accepts any.
	Token                int64         // Token is the fencing token of the coordinator's term.
	LeaseUntil           time.Duration // LeaseUntil is the end of the lease on the minion's clock; 0 renews nothing.
	AcknowledgedSequence int64         // AcknowledgedSequence is the last ended run that the minion may forget.
	Wait                 time.Duration // Wait is how long the minion may delay the reply until something changes.
}

// StartRequest starts a run.
type StartRequest struct {
	Incarnation   string
	Token         int64
	Task          workload.TaskID
	Number        int
	Spec          string
	StartDeadline time.Duration // StartDeadline is the latest start of the run on the minion's clock.
	Checkpoint    string
	Ticket        string // Ticket is the permission from the queue's placement adviser; empty without an adviser.
}

// ThrottleRequest limits the speed of a run.
type ThrottleRequest struct {
	Incarnation  string
	Token        int64
	Task         workload.TaskID
	Number       int
	SpeedPercent int // SpeedPercent is the permitted share of full speed.
}

// StopRequest stops a run. A run that has not started cannot start afterwards.
type StopRequest struct {
	Incarnation string
	Token       int64
	Task        workload.TaskID
	Number      int
}

// Errors of calls that definitely had no effect.
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
	// ErrDisconnected is returned by a client that is bound to one connection when
	// that is closed or in use.
	ErrDisconnected = errors.New("the connection is gone or in use")
)

var refusals = []error{
	ErrFenced, ErrRunEnded, ErrStartTooLate, ErrNoCapacity, ErrUnhealthy, ErrOtherIncarnation, ErrDraining, ErrMalformed, ErrInvalidTicket, ErrDisconnected,
}

// IsRefusal reports whether an error means that a call definitely had no effect. It
// tells nothing about other tries of the same call.
func IsRefusal(err error) bool {
	return slices.ContainsFunc(refusals, func(refusal error) bool { return errors.Is(err, refusal) })
}

// Client calls one minion. After an error other than those above, the call may or
// may not have had an effect.
type Client interface {
	// RenewLease renews the lease of all runs and returns the status of the minion.
	RenewLease(ctx context.Context, r RenewLeaseRequest) (StatusReport, error)
	// Start starts a run. It is refused once a status report has shown that the
	// incarnation for which it is meant is gone or has been replaced.
	Start(ctx context.Context, r StartRequest) error
	// Stop stops a run or prevents its start.
	Stop(ctx context.Context, r StopRequest) error
	// Throttle sets the speed of a run.
	Throttle(ctx context.Context, r ThrottleRequest) error
}
