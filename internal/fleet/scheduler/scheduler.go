package scheduler

import (
	"context"
	"errors"
	"expvar"
	"sync/atomic"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/traffic/request"
)

// Scheduler runs the scheduler duty of one data centre. Run may be called again
// after it has returned.
type Scheduler struct {
	options         Options
	journal         *journal.Journal
	writer          *journal.Writer
	changes         *journal.Subscription
	counters        Counters
	sessionCount    atomic.Int64         // sessionCount numbers the sessions with lease holders across all terms.
	assignmentCount atomic.Int64         // assignmentCount numbers the assignments of workers to lease holders across all terms.
	current         atomic.Pointer[term] // current is the term in progress; nil while the duty is not held.
}

// Counters count events since the creation of the Scheduler.
type Counters struct {
	Terms              expvar.Int // Terms counts the calls of Run.
	Claims             expvar.Int // Claims counts the claims of jobs that were sent to the log, won or lost.
	LostClaims         expvar.Int // LostClaims counts claims of jobs that another scheduler had claimed first.
	Started            expvar.Int // Started counts gangs of which this process has released all members.
	Adopted            expvar.Int // Adopted counts running or finished gangs taken over from an earlier term or another process.
	Orphans            expvar.Int // Orphans counts tasks that were stopped because no claim covers them.
	Reclaimed          expvar.Int // Reclaimed counts attempts whose workers were reclaimed, also for a move.
	Quarantines        expvar.Int // Quarantines counts how often a worker was put into quarantine.
	LostWorkers        expvar.Int // LostWorkers counts how often a worker was lost: its lease expired or it restarted.
	MovedLeases        expvar.Int // MovedLeases counts leases that moved to another agent or session while the tasks ran on.
	RejectedPlacements expvar.Int // RejectedPlacements counts placements that did not fit the workers when checked before the claim.
}

// New returns a Scheduler. The writer must belong to the same process as the
// journal.
func New(o Options, j *journal.Journal, w *journal.Writer) *Scheduler {
	if o.Logger == nil {
		o.Logger = discardLogger{}
	}
	if o.Holders == nil {
		o.Holders = localOnly{}
	}
	return &Scheduler{options: o, journal: j, writer: w, changes: j.Subscribe()}
}

// String returns the name of the duty for messages, with the data centre.
func (s *Scheduler) String() string { return "scheduler duty of " + s.options.DataCentre }

// Counters returns the event counters, for publication as metrics.
func (s *Scheduler) Counters() *Counters { return &s.counters }

// Run holds the duty until ctx ends, then waits up to DrainTimeout for the
// starts in progress. Running tasks continue, so that a successor can adopt
// them. It returns ErrSuperseded when another scheduler has taken over. A caller
// that still considers itself the holder of the duty waits several seconds
// before it calls Run again; otherwise two schedulers would keep taking the
// leases from each other.
func (s *Scheduler) Run(ctx context.Context) error {
	s.counters.Terms.Add(1)
	s.changes.Reset()
	// The work must outlive ctx, because the term drains after ctx has ended.
	work := group.New(context.WithoutCancel(ctx))
	t := newTerm(s, work)
	s.current.Store(t)
	defer s.current.Store(nil)
	work.Go(t.local.String(), t.local.Run)
	work.Go("barrier", t.runBarriers)
	work.Go("loop", func(inner context.Context) error {
		defer work.Stop()
		return t.run(inner, ctx.Done())
	})
	err := work.Wait()
	if errors.Is(err, ErrSuperseded) {
		_ = s.options.Logger.Log("event", "step-down", "data-centre", s.options.DataCentre, "err", err)
	}
	return err
}

// Explanation says why a job waits or where it runs, for callers and operators.
type Explanation struct {
	Placement placement.Explanation // Placement is the planner's explanation; zero when the planner does not know the job.
	Reason    string                // Reason is set while the job is delayed, its claim is not settled, or its attempt is starting; empty otherwise.

	WaitsFor     string // WaitsFor is what the job waits for, or where it runs.
	BlockedBy    string // BlockedBy names what prevents the start; empty when nothing does.
	WouldStartIf string // WouldStartIf is the change that would let the job start; empty when the job has a placement.
}

// Summary is the state of the data centre.
type Summary struct {
	Placement      placement.Summary
	LeasedWorkers  int      // LeasedWorkers is the number of workers whose lease is held.
	ActiveAttempts int      // ActiveAttempts is the number of attempts between their claim and their end record.
	Quarantined    []string // Quarantined lists the names of the quarantined workers in order.
}

// callLoopTimeout bounds how long Explain, Summary and Fleet wait for the loop of
// the term (see term.run).
const callLoopTimeout = time.Second

// Explain says why a job waits or where it runs. The second result is false when
// the scheduler does not know the job.
func (s *Scheduler) Explain(id request.Identity) (Explanation, bool) {
	type reply struct {
		explanation Explanation
		known       bool
	}
	r := callLoop(s, func(t *term) reply {
		x, known := t.explain(id)
		return reply{x, known}
	})
	return r.explanation, r.known
}

// Summary returns the state of the data centre; it is zero while the duty is
// not held.
func (s *Scheduler) Summary() Summary {
	return callLoop(s, (*term).summary)
}

// callLoop runs a function in the loop of the term and returns its result. It
// returns the zero value while there is no term, and when the loop does not
// reach the function in time. The loop may still run the function after the
// caller has given up, so the result goes through a buffered channel.
func callLoop[T any](s *Scheduler, do func(t *term) T) T {
	var none T
	t := s.current.Load()
	if t == nil {
		return none
	}
	ctx, cancel := context.WithTimeout(t.work.Context(), callLoopTimeout)
	defer cancel()
	result := make(chan T, 1)
	if !t.call(ctx, func(t *term) { result <- do(t) }) {
		return none
	}
	return <-result
}
