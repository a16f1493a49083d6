// Package gang starts, watches and stops the members of one attempt of a job.
// Members run only when all of them run (gang scheduling).
package gang

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/worker"
)

// LeasedWorker makes calls to one worker under its lease. The calls and errors are
// those of worker.LeasedClient.
type LeasedWorker interface {
	Start(ctx context.Context, s worker.Spec) (worker.Task, error)
	Throttle(ctx context.Context, task string, cores float64) (worker.Task, error)
	Stop(ctx context.Context, task string) (worker.Task, error)
	Checkpoint(ctx context.Context, task string, timeout time.Duration) (worker.Task, error)
	// Abandon lets the lease lapse, so that the worker ends its tasks.
	Abandon()
}

// Member is one task of the gang.
type Member struct {
	Worker string // Worker is the name of the worker.
	Handle LeasedWorker
	Spec   worker.Spec
}

// Options are the timeouts and retries of the start and stop protocol.
type Options struct {
	StartDeadline   time.Duration // StartDeadline is how long after its start a worker ends a member that is still held.
	StopRetry       time.Duration // StopRetry is the delay between two tries to stop a member.
	StopTries       int           // StopTries is the number of tries before the lease of the worker is abandoned.
	RollbackTimeout time.Duration // RollbackTimeout bounds the stop of members that were never released; 0 for no bound.
}

// Default returns the options used in production.
func Default() Options {
	return Options{StartDeadline: 4 * time.Second, StopRetry: 200 * time.Millisecond, StopTries: 5, RollbackTimeout: 500 * time.Millisecond}
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	AllSucceeded Outcome = iota + 1
	MemberFailed         // MemberFailed means that a member ended with a failure.
	WorkerLost           // WorkerLost means that a worker was lost or a member was ended without a request of the gang.
	NotStarted           // NotStarted means that the start failed before all members were released.
	Cancelled
	Checkpointed // Checkpointed means that the workers were reclaimed; see Result.AllCheckpointed.
	Interrupted  // Interrupted means that the context of the caller ended first; the members may still run.
)

var outcomeNames = map[Outcome]string{
	AllSucceeded: "all succeeded", MemberFailed: "member failed", WorkerLost: "worker lost",
	NotStarted: "not started", Cancelled: "cancelled", Checkpointed: "checkpointed", Interrupted: "abandoned",
}

// String returns the name used in messages.
func (o Outcome) String() string {
	if name, ok := outcomeNames[o]; ok {
		return name
	}
	return fmt.Sprintf("outcome(%d)", int(o))
}

// Result is the result of an attempt.
type Result struct {
	Outcome         Outcome
	Released        bool          // Released is false only when certainly no member was released.
	Member          int           // Member is the index of the member that failed, was lost or did not start; -1 for none.
	Ran             time.Duration // Ran is how long that member ran.
	AllCheckpointed bool          // AllCheckpointed is true when the progress of all members was saved.
	Progress        time.Duration // Progress is the least progress that a member saved.
	Reason          string

	// Unconfirmed are the indices of members that were never released and whose end
	// is not confirmed, because their workers did not answer. They never run, but
	// may occupy their resources until StopHeld returns.
	Unconfirmed []int
}

// Gang is one attempt of a job. Report, MarkLost, Cancel, Reclaim and AbortCheckpoint
// are safe for concurrent use; Start, Watch and Stop must not run concurrently.
type Gang struct {
	members         []Member
	options         Options
	checkpointCtx   context.Context // checkpointCtx ends when checkpoints are aborted.
	abortCheckpoint context.CancelFunc

	mu          sync.Mutex
	tasks       []worker.Task // tasks holds the last report of each member; State 0 before the first.
	lost        []bool        // lost is true for members that ended with the lease or the restart of their worker.
	released    bool          // released is set before the first release is sent.
	cancelled   bool
	reclaim     *reclaimRequest
	unconfirmed []int         // unconfirmed is Result.Unconfirmed.
	changed     chan struct{} // changed is closed at the next change and then replaced.
}

// reclaimRequest holds the arguments of the first Reclaim.
type reclaimRequest struct {
	checkpoint time.Duration // checkpoint is the timeout of the checkpoint; 0 stops at once.
	reason     string
}

// New returns a gang that has not been started.
func New(members []Member, options Options) *Gang {
	checkpointCtx, abortCheckpoint := context.WithCancel(context.Background())
	return &Gang{
		members:         members,
		options:         options,
		checkpointCtx:   checkpointCtx,
		abortCheckpoint: abortCheckpoint,
		tasks:           make([]worker.Task, len(members)),
		lost:            make([]bool, len(members)),
		changed:         make(chan struct{}),
	}
}

// Adopt returns a gang that another process has started, with the last known task
// of each member.
func Adopt(members []Member, tasks []worker.Task, options Options) *Gang {
	g := New(members, options)
	copy(g.tasks, tasks)
	g.released = true
	return g
}

// String names the gang by its first task.
func (g *Gang) String() string { return "gang " + g.members[0].Spec.Name }

// Report records the state of a member's task as its worker reports it. Reports
// after the end of the task are ignored.
func (g *Gang) Report(member int, t worker.Task) {
	g.update(func() {
		if known := g.tasks[member].State; known == 0 || known.Live() {
			g.tasks[member] = t
		}
	})
}

// MarkLost records that the lease of a member's worker has lapsed or that the
// worker has restarted and lost its tasks, so that the member has ended.
func (g *Gang) MarkLost(member int) { g.update(func() { g.lost[member] = true }) }

// Cancel requests the end of the attempt.
func (g *Gang) Cancel() { g.update(func() { g.cancelled = true }) }

// Reclaim requests a checkpoint and the end of the attempt. checkpoint is the
// timeout of the checkpoint; 0 stops the members at once. Only the first call has
// an effect.
func (g *Gang) Reclaim(checkpoint time.Duration, reason string) {
	g.update(func() {
		if g.reclaim == nil {
			g.reclaim = &reclaimRequest{checkpoint, reason}
		}
	})
}

// AbortCheckpoint aborts a present or later checkpoint, so that the members are
// stopped without waiting for it.
func (g *Gang) AbortCheckpoint() { g.abortCheckpoint() }

// update makes a change and wakes Watch and the stops in progress.
func (g *Gang) update(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *Gang) isCancelled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cancelled
}

// task returns the last report of a member and whether the member is lost.
func (g *Gang) task(member int) (worker.Task, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tasks[member], g.lost[member]
}

// memberError is the error of a call on one member.
type memberError struct {
	member int
	worker string
	err    error
}

// Error describes the error with the member and its worker.
func (e *memberError) Error() string {
	return fmt.Sprintf("member %d on %s: %v", e.member, e.worker, e.err)
}

// Unwrap returns the cause.
func (e *memberError) Unwrap() error { return e.err }

// forEachMember calls run for all members concurrently and returns the first
// error, which is a *memberError unless ctx ended. An error of one call cancels
// the context of the others.
func (g *Gang) forEachMember(ctx context.Context, run func(ctx context.Context, i int, m Member) error) error {
	all := group.New(ctx)
	for i, m := range g.members {
		all.Go(m.Spec.Name, func(ctx context.Context) error {
			if err := run(ctx, i, m); err != nil {
				return &memberError{i, m.Worker, err}
			}
			return nil
		})
	}
	if err := all.Wait(); err != nil {
		return err
	}
	return ctx.Err()
}

// retryUnknownOutcome repeats an idempotent call once when its answer was lost.
func retryUnknownOutcome(call func() (worker.Task, error)) (worker.Task, error) {
	t, err := call()
	if errors.Is(err, worker.ErrOutcomeUnknown) {
		return call()
	}
	return t, err
}
