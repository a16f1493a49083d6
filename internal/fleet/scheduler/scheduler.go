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

// Scheduler is the scheduler duty of one data centre. Run may be called again
// after it has returned.
type Scheduler struct {
	options    Options
	journal    *journal.Journal
	writer     *journal.Writer
	changes    *journal.Subscription
	counters   Counters
	sessions   atomic.Int64         // sessions counts those with holders, over all terms.
	generation atomic.Int64         // generation counts the assignments of workers to holders, over all terms.
	current    atomic.Pointer[term] // current is the term in progress; nil while the duty is not held.
}

// Counters count events since the creation of the Scheduler.
type Counters struct {
	Terms              expvar.Int
	Claims             expvar.Int
	LostClaims         expvar.Int // LostClaims counts claims of jobs that another scheduler had claimed first.
	Started            expvar.Int
	Adopted            expvar.Int
	Orphans            expvar.Int // Orphans counts tasks that were stopped because no claim covers them.
	Reclaimed          expvar.Int
	Quarantines        expvar.Int
	LostWorkers        expvar.Int
	MovedLeases        expvar.Int // MovedLeases counts leases that moved to another agent or session while the tasks ran on.
	RejectedPlacements expvar.Int // RejectedPlacements counts placements that did not fit the workers when checked before the claim.
}

// New returns the duty. The writer must belong to the same process as journal.
func New(o Options, j *journal.Journal, w *journal.Writer) *Scheduler {
	if o.Logger == nil {
		o.Logger = noLogger{}
	}
	if o.Holders == nil {
		o.Holders = noHolders{}
	}
	return &Scheduler{options: o, journal: j, writer: w, changes: j.Subscribe()}
}

// String names the controller.
func (s *Scheduler) String() string { return "scheduler duty of " + s.options.DataCentre }

// Counters returns the counters, for publication.
func (s *Scheduler) Counters() *Counters { return &s.counters }

// Run holds the duty until ctx ends. Then starts in progress are finished, and
// running tasks go on for a successor to adopt. It returns ErrSuperseded when
// another scheduler has taken over; a caller that still believes to hold the
// duty waits for some seconds before it calls Run again, so that two schedulers
// do not take the leases from each other all the time.
func (s *Scheduler) Run(ctx context.Context) error {
	s.counters.Terms.Add(1)
	s.changes.Reset()
	// The work goes on while the term drains after the end of ctx.
	work := group.New(context.WithoutCancel(ctx))
	t := newTerm(s, work)
	s.current.Store(t)
	defer s.current.Store(nil)
	work.Go(t.local.String(), t.local.Run)
	work.Go("barrier", t.syncRun)
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
	Reason    string                // Reason is the scheduler's own explanation, such as a claim that is not settled yet.

	WaitsFor     string // WaitsFor is what the job waits for, or where it runs.
	BlockedBy    string // BlockedBy names what prevents the start; empty when nothing does.
	WouldStartIf string // WouldStartIf is the change that would let the job start; empty when it has a placement.
}

// Summary is the state of the data centre.
type Summary struct {
	Placement      placement.Summary
	LeasedWorkers  int // LeasedWorkers is the number of workers whose lease is held.
	ActiveAttempts int // ActiveAttempts is the number of attempts between their claim and their end record.
	Quarantined    []string
}

// answerTime bounds how long Explain and Summary wait for the loop.
const answerTime = time.Second

// Explain says why a job is where it is, and whether this duty knows it.
func (s *Scheduler) Explain(id request.Identity) (Explanation, bool) {
	type reply struct {
		explanation Explanation
		known       bool
	}
	r := ask(s, func(t *term) reply {
		x, known := t.explain(id)
		return reply{x, known}
	})
	return r.explanation, r.known
}

// Summary returns the state of the data centre; it is zero while the duty is
// not held.
func (s *Scheduler) Summary() Summary {
	return ask(s, (*term).summary)
}

// ask runs a question in the loop of the term. It returns the zero value while
// there is no term, and when the loop does not answer in time. A question that
// the loop reaches later still runs, so its answer has a place of its own.
func ask[T any](s *Scheduler, question func(t *term) T) T {
	var none T
	t := s.current.Load()
	if t == nil {
		return none
	}
	ctx, cancel := context.WithTimeout(t.work.Context(), answerTime)
	defer cancel()
	answer := make(chan T, 1)
	if !t.call(ctx, func(t *term) { answer <- question(t) }) {
		return none
	}
	return <-answer
}
