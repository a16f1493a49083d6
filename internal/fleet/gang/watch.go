package gang

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wasabihoist/internal/fleet/worker"
)

// Watch waits until the attempt ends. When a member ends early, the rest are
// stopped. When ctx ends, the members go on and the outcome is Abandoned.
func (g *Gang) Watch(ctx context.Context) Result {
	for {
		g.mu.Lock()
		changed := g.changed
		r, ended := g.judge()
		g.mu.Unlock()
		if ended {
			return g.end(ctx, r)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Result{Outcome: Abandoned, Released: true, Member: -1, Reason: "no longer watched"}
		}
	}
}

// judge says whether the attempt has to end, and why. g.mu is held.
func (g *Gang) judge() (Result, bool) {
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
	case g.cancel:
		return Result{Outcome: Cancelled, Member: -1, Reason: errCancelled.Error()}, true
	case g.reclaim != nil:
		return Result{Outcome: Checkpointed, Member: -1, Reason: g.reclaim.reason}, true
	}
	return Result{}, false
}

// end carries out the end that judge has found.
func (g *Gang) end(ctx context.Context, r Result) Result {
	if r.Outcome == AllSucceeded {
		r.Released = true
		return r
	}
	if r.Outcome == Checkpointed && g.reclaim.checkpoint > 0 {
		r.Progress, r.AllCheckpointed = g.checkpoint(ctx, g.reclaim.checkpoint)
	}
	return g.finish(ctx, r)
}

// checkpoint keeps the progress of all members and returns the least.
func (g *Gang) checkpoint(ctx context.Context, limit time.Duration) (time.Duration, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(g.hurry, cancel)()
	progress := make([]time.Duration, len(g.members))
	err := g.each(ctx, func(ctx context.Context, i int, m Member) error {
		t, err := m.Host.Checkpoint(ctx, m.Spec.Name, limit)
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

// Stop stops all members and returns when each has certainly ended.
func (g *Gang) Stop(ctx context.Context, reason string) Result {
	return g.finish(ctx, Result{Outcome: NotStarted, Member: -1, Reason: reason})
}

// finish stops all members and completes the result.
func (g *Gang) finish(ctx context.Context, r Result) Result {
	err := g.each(ctx, func(ctx context.Context, i int, m Member) error { return g.stopMember(ctx, i, m, m.Host.Abandon) })
	r.Released = g.mayHaveRun()
	if err != nil {
		return Result{Outcome: Abandoned, Released: r.Released, Member: -1, Reason: err.Error()}
	}
	return r
}

// stopMember tries until the member has ended: it is stopped, or its worker's
// lease has lapsed. It calls giveUp after StopTries. It does not stop its
// siblings' attempts by an error.
func (g *Gang) stopMember(ctx context.Context, i int, m Member, giveUp func()) error {
	for tries := 1; ctx.Err() == nil; tries++ {
		g.mu.Lock()
		lost, changed := g.lost[i], g.changed
		g.mu.Unlock()
		if lost {
			return nil
		}
		t, err := m.Host.Stop(ctx, m.Spec.Name)
		switch {
		case err == nil:
			g.Report(i, t)
			return nil
		case errors.Is(err, worker.ErrUnknownTask):
			return nil
		case tries == g.options.StopTries:
			giveUp()
		}
		select {
		case <-changed:
		case <-time.After(g.options.StopRetry):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}
