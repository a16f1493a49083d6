package gang

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wasabihoist/internal/fleet/worker"
)

// Watch waits until the attempt ends. When a member fails or is lost, or the
// attempt is cancelled or reclaimed, Watch stops all members. When ctx ends, the
// members are not stopped and the outcome is Interrupted.
func (g *Gang) Watch(ctx context.Context) Result {
	for {
		g.mu.Lock()
		changed := g.changed
		r, ended := g.checkEnd()
		g.mu.Unlock()
		if ended {
			return g.endAttempt(ctx, r)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Result{Outcome: Interrupted, Released: true, Member: -1, Reason: "no longer watched"}
		}
	}
}

// checkEnd reports whether the attempt has ended or must end, and returns its
// result. g.mu is held.
func (g *Gang) checkEnd() (Result, bool) {
	succeeded := 0
	for i, t := range g.tasks {
		r := Result{Member: i, Ran: t.Ran, Reason: fmt.Sprintf("member %d on %s: %s", i, g.members[i].Worker, t.Reason)}
		switch t.State {
		case worker.Succeeded:
			succeeded++
			continue
		case worker.Failed:
			r.Outcome = MemberFailed
			return r, true
		case worker.Stopped, worker.Expired, worker.Lapsed:
			r.Outcome = WorkerLost
			return r, true
		}
		if g.lost[i] {
			r.Outcome = WorkerLost
			r.Reason = fmt.Sprintf("worker %s of member %d is lost", g.members[i].Worker, i)
			return r, true
		}
	}
	switch {
	case succeeded == len(g.tasks):
		return Result{Outcome: AllSucceeded, Member: -1}, true
	case g.cancelled:
		return Result{Outcome: Cancelled, Member: -1, Reason: errCancelled.Error()}, true
	case g.reclaim != nil:
		return Result{Outcome: Checkpointed, Member: -1, Reason: g.reclaim.reason}, true
	}
	return Result{}, false
}

// endAttempt checkpoints and stops the members as the result of checkEnd requires,
// and completes the result.
func (g *Gang) endAttempt(ctx context.Context, r Result) Result {
	if r.Outcome == AllSucceeded {
		r.Released = true
		return r
	}
	if r.Outcome == Checkpointed && g.reclaim.checkpoint > 0 {
		r.Progress, r.AllCheckpointed = g.checkpoint(ctx, g.reclaim.checkpoint)
	}
	return g.stopAll(ctx, r)
}

// checkpoint saves the progress of all members. It returns the least progress and
// whether all members were checkpointed within timeout.
func (g *Gang) checkpoint(ctx context.Context, timeout time.Duration) (time.Duration, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(g.checkpointCtx, cancel)()
	progress := make([]time.Duration, len(g.members))
	err := g.forEachMember(ctx, func(ctx context.Context, i int, m Member) error {
		t, err := m.Handle.Checkpoint(ctx, m.Spec.Name, timeout)
		if err == nil && !t.Checkpointed {
			err = fmt.Errorf("member %d is %s", i, t.State)
		}
		progress[i] = t.Progress
		return err
	})
	if err != nil {
		return 0, false
	}
	least := progress[0]
	for _, p := range progress {
		least = min(least, p)
	}
	return least, true
}

// Stop stops all members and returns when each has certainly ended, with the
// outcome NotStarted. When ctx ends first, the outcome is Interrupted.
func (g *Gang) Stop(ctx context.Context, reason string) Result {
	return g.stopAll(ctx, Result{Outcome: NotStarted, Member: -1, Reason: reason})
}

// stopAll stops all members and completes the result. A worker that does not
// answer after StopTries has its lease abandoned.
func (g *Gang) stopAll(ctx context.Context, r Result) Result {
	err := g.forEachMember(ctx, func(ctx context.Context, i int, m Member) error { return g.stopMember(ctx, i, m, m.Handle.Abandon) })
	r.Released = g.mayHaveRun()
	if err != nil {
		return Result{Outcome: Interrupted, Released: r.Released, Member: -1, Reason: err.Error()}
	}
	return r
}

// stopMember retries until the member has ended: it is stopped, unknown to its
// worker, or lost. It calls onTriesExhausted once, after StopTries tries, and goes
// on. It returns an error only when ctx ends, so that forEachMember does not cancel
// the stops of the other members.
func (g *Gang) stopMember(ctx context.Context, i int, m Member, onTriesExhausted func()) error {
	for tries := 1; ctx.Err() == nil; tries++ {
		g.mu.Lock()
		lost, changed := g.lost[i], g.changed
		g.mu.Unlock()
		if lost {
			return nil
		}
		t, err := m.Handle.Stop(ctx, m.Spec.Name)
		switch {
		case err == nil:
			g.Report(i, t)
			return nil
		case errors.Is(err, worker.ErrUnknownTask):
			return nil
		case tries == g.options.StopTries:
			onTriesExhausted()
		}
		select {
		case <-changed:
		case <-time.After(g.options.StopRetry):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}
