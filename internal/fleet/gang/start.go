package gang

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"wasabihoist/internal/fleet/worker"
)

// Step is one step of the start protocol.
type Step interface {
	// String returns the name of the step for messages.
	String() string
	// Run executes the step on all members.
	Run(ctx context.Context) error
}

var errCancelled = errors.New("cancelled by the caller")

// Steps returns the steps of the start protocol in order: start all members
// throttled to zero, check that all are held, and release them. The members run
// when all steps have succeeded.
func (g *Gang) Steps() []Step {
	return []Step{&startHeld{g}, &confirm{g: g, created: time.Now()}, &release{g}}
}

// Start runs the steps and reports whether all members were released. After a
// failure, it stops all members and returns the result of the attempt.
func (g *Gang) Start(ctx context.Context) (Result, bool) {
	for _, s := range g.Steps() {
		err := s.Run(ctx)
		if err == nil && g.isCancelled() {
			err = errCancelled
		}
		if err == nil {
			continue
		}
		if ctx.Err() != nil {
			return Result{Outcome: Interrupted, Released: g.mayHaveRun(), Member: -1, Reason: err.Error()}, false
		}
		r := Result{Outcome: NotStarted, Member: -1, Reason: fmt.Sprintf("%s: %v", s, err)}
		if failed, ok := errors.AsType[*memberError](err); ok {
			r.Member = failed.member
		}
		if errors.Is(err, errCancelled) {
			r.Outcome = Cancelled
		}
		return g.rollback(ctx, r), false
	}
	return Result{}, true
}

// rollback stops the members after a failed start. Members that were not released
// never run, because they end at their start deadline or with the lease. rollback
// therefore waits no longer than RollbackTimeout for workers that do not answer,
// and returns their members in Result.Unconfirmed.
func (g *Gang) rollback(ctx context.Context, r Result) Result {
	if g.mayHaveRun() || g.options.RollbackTimeout == 0 {
		return g.stopAll(ctx, r)
	}
	bounded, cancel := context.WithTimeout(ctx, g.options.RollbackTimeout)
	defer cancel()
	_ = g.forEachMember(bounded, func(ctx context.Context, i int, m Member) error {
		if g.StopHeld(ctx, i) != nil {
			g.update(func() { g.unconfirmed = append(g.unconfirmed, i) })
		}
		return nil
	})
	if ctx.Err() != nil {
		return Result{Outcome: Interrupted, Member: -1, Reason: ctx.Err().Error()}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r.Unconfirmed = slices.Sorted(slices.Values(g.unconfirmed))
	return r
}

// StopHeld retries until a member that was not released has certainly ended, or
// ctx ends. It never abandons the lease of the worker, because the member does not
// run.
func (g *Gang) StopHeld(ctx context.Context, member int) error {
	return g.stopMember(ctx, member, g.members[member], func() {})
}

// mayHaveRun reports whether any member may have been released.
func (g *Gang) mayHaveRun() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.released
}

// startHeld is the step that starts all members throttled to zero.
type startHeld struct{ g *Gang }

// String returns the name of the step for messages.
func (*startHeld) String() string { return "start held" }

// Run sends all starts concurrently.
func (s *startHeld) Run(ctx context.Context) error {
	return s.g.forEachMember(ctx, func(ctx context.Context, i int, m Member) error {
		spec := m.Spec
		spec.Held = true
		spec.StartDeadline = s.g.options.StartDeadline
		t, err := retryUnknownOutcome(func() (worker.Task, error) { return m.Handle.Start(ctx, spec) })
		if err == nil {
			s.g.Report(i, t)
		}
		return err
	})
}

// confirm is the step that checks that all members are held and that enough time
// is left to release them before their start deadline.
type confirm struct {
	g       *Gang
	created time.Time
}

// String returns the name of the step for messages.
func (*confirm) String() string { return "confirm" }

// Run returns an error when a member is not held or when more than half of the
// start deadline has passed since Steps was called.
func (s *confirm) Run(context.Context) error {
	if spent := time.Since(s.created); spent > s.g.options.StartDeadline/2 {
		return fmt.Errorf("starting took %s, over half of the start deadline", spent.Round(time.Millisecond))
	}
	for i, m := range s.g.members {
		if t, lost := s.g.task(i); t.State != worker.Held || lost {
			return &memberError{i, m.Worker, fmt.Errorf("is %s: %s", t.State, t.Reason)}
		}
	}
	return nil
}

// release is the step that removes the throttle of all members.
type release struct{ g *Gang }

// String returns the name of the step for messages.
func (*release) String() string { return "release" }

// Run sends all releases concurrently.
func (s *release) Run(ctx context.Context) error {
	s.g.update(func() { s.g.released = true })
	return s.g.forEachMember(ctx, func(ctx context.Context, i int, m Member) error {
		t, err := retryUnknownOutcome(func() (worker.Task, error) { return m.Handle.Throttle(ctx, m.Spec.Name, worker.Unthrottled) })
		if err != nil {
			return err
		}
		s.g.Report(i, t)
		if !t.Released {
			return fmt.Errorf("ended before its release: %s", t.State)
		}
		return nil
	})
}
