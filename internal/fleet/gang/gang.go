// Package gang starts, watches and stops the members of one attempt of a job
// so that none runs unless all run.
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

// Host is a worker as seen by the holder of its lease.
type Host interface {
	Start(ctx context.Context, s worker.Spec) (worker.Task, error)
	Throttle(ctx context.Context, task string, cores float64) (worker.Task, error)
	Stop(ctx context.Context, task string) (worker.Task, error)
	Checkpoint(ctx context.Context, task string, limit time.Duration) (worker.Task, error)
	// Abandon lets the lease lapse, so that the worker ends its tasks.
	Abandon()
}

// Member is one task of the gang.
type Member struct {
	Worker string
	Host   Host
	Spec   worker.Spec
}

// Options are the time limits of the protocol.
type Options struct {
	StartDeadline   time.Duration // StartDeadline is when a member that is still held ends at its worker.
	StopRetry       time.Duration // StopRetry is the time between two tries to stop a member.
	StopTries       int           // StopTries is the number of tries before the lease of the worker is abandoned.
	RollbackTimeout time.Duration // GiveUp bounds the stop of members that were never released; 0 for no bound.
}

// Default returns the limits used in production.
func Default() Options {
	return Options{StartDeadline: 4 * time.Second, StopRetry: 200 * time.Millisecond, StopTries: 5, RollbackTimeout: 500 * time.Millisecond}
}

// Outcome says how the attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	AllSucceeded Outcome = iota + 1
	MemberFailed         // MemberFailed: a member reported a failure.
	WorkerLost           // WorkerLost: a worker is gone or has ended a member on its own.
	NotStarted           // NotStarted: the start failed before all members were released.
	Cancelled
	Checkpointed // Checkpointed: the holder took the workers back.
	Abandoned    // Abandoned: the holder stopped watching; the members go on.
)

var outcomeNames = map[Outcome]string{
	AllSucceeded: "all succeeded", MemberFailed: "member failed", WorkerLost: "worker lost",
	NotStarted: "not started", Cancelled: "cancelled", Checkpointed: "checkpointed", Abandoned: "abandoned",
}

// String returns the name used in messages.
func (o Outcome) String() string {
	if name, ok := outcomeNames[o]; ok {
		return name
	}
	return fmt.Sprintf("outcome(%d)", int(o))
}

// Result is what became of the attempt.
type Result struct {
	Outcome         Outcome
	Released        bool          // Released is false only when it is proved that no member was released.
	Member          int           // Member that failed, was lost or did not start; -1 when there is none.
	Ran             time.Duration // Ran is how long that member ran.
	AllCheckpointed bool          // Kept says that all members were checkpointed.
	Progress        time.Duration // Progress that all members have kept.
	Reason          string

	// Unconfirmed are members of an attempt that was not released whose workers did
	// not answer. They never run, but may hold their resources until StopHeld
	// returns.
	Unconfirmed []int
}

// Gang is one attempt. Report, Lost, Cancel and Reclaim may be called from any
// goroutine; Start, Watch and Stop from one at a time.
type Gang struct {
	members []Member
	options Options
	hurry   context.Context // hurry ends when a checkpoint in progress is to be given up.
	giveUp  context.CancelFunc

	mu        sync.Mutex
	tasks     []worker.Task // tasks holds the last report of each member; State 0 before the first.
	lost      []bool        // lost members are on workers whose lease has lapsed.
	released  bool          // released is set before the first release is sent.
	cancel    bool
	reclaim   *reclaim
	unsettled []int         // unsettled members were not proved to have ended after a failed start.
	changed   chan struct{} // changed is closed at the next change and then replaced.
}

type reclaim struct {
	checkpoint time.Duration // checkpoint is the time that the checkpoint may take; 0 stops at once.
	reason     string
}

// New returns a gang that has not been started.
func New(members []Member, options Options) *Gang {
	hurry, giveUp := context.WithCancel(context.Background())
	return &Gang{
		members: members,
		options: options,
		hurry:   hurry,
		giveUp:  giveUp,
		tasks:   make([]worker.Task, len(members)),
		lost:    make([]bool, len(members)),
		changed: make(chan struct{}),
	}
}

// Adopt returns a gang that was started by an earlier holder.
func Adopt(members []Member, tasks []worker.Task, options Options) *Gang {
	g := New(members, options)
	copy(g.tasks, tasks)
	g.released = true
	return g
}

// String names the gang by its first task.
func (g *Gang) String() string { return "gang " + g.members[0].Spec.Name }

// Report records what the worker of a member reports.
func (g *Gang) Report(member int, t worker.Task) {
	g.update(func() {
		if known := g.tasks[member].State; known == 0 || known.Live() {
			g.tasks[member] = t
		}
	})
}

// Lost records that the lease of a member's worker has lapsed or that the
// worker has forgotten its tasks, so that the member has ended.
func (g *Gang) Lost(member int) { g.update(func() { g.lost[member] = true }) }

// Cancel asks for the end of the attempt.
func (g *Gang) Cancel() { g.update(func() { g.cancel = true }) }

// Reclaim asks for a checkpoint and the end of the attempt. Members are
// stopped at once when checkpoint is 0.
func (g *Gang) Reclaim(checkpoint time.Duration, reason string) {
	g.update(func() {
		if g.reclaim == nil {
			g.reclaim = &reclaim{checkpoint, reason}
		}
	})
}

// AbortCheckpoint stops the members without waiting for a checkpoint.
func (g *Gang) AbortCheckpoint() { g.giveUp() }

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
	return g.cancel
}

func (g *Gang) task(member int) (worker.Task, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tasks[member], g.lost[member]
}

// memberError says which member a step failed on.
type memberError struct {
	member int
	worker string
	err    error
}

// Error names the member and its worker.
func (e *memberError) Error() string {
	return fmt.Sprintf("member %d on %s: %v", e.member, e.worker, e.err)
}

// Unwrap returns the cause.
func (e *memberError) Unwrap() error { return e.err }

// each calls run for all members at once and returns the first error.
func (g *Gang) each(ctx context.Context, run func(ctx context.Context, i int, m Member) error) error {
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

// twice repeats an idempotent call whose answer was lost.
func twice(call func() (worker.Task, error)) (worker.Task, error) {
	t, err := call()
	if errors.Is(err, worker.ErrOutcomeUnknown) {
		return call()
	}
	return t, err
}
