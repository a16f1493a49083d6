package coordinator

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/host"
)

const (
	// orderPause is the time between two tries of an order without an answer.
	orderPause = 100 * time.Millisecond
	// startWindow is how long after it was sent a start may be carried out.
	startWindow = 2 * time.Second
	// startTime is how long a start is tried before the attempt is given up.
	startTime = 1500 * time.Millisecond
	// gangStartShare is the part of the time for which the members of a gang wait
	// for each other that starts may take. The rest is for the stops.
	gangStartShare = 0.5
	// retryDelay keeps a job whose start failed from being placed at once again.
	retryDelay = 300 * time.Millisecond
)

// sendStop sends a stop unless one is on its way. A proposed run is dropped
// before its start instead.
func (t *term) sendStop(r *run) {
	if r.phase == proposed || r.stopSent || r.host.client == nil {
		return
	}
	r.stopSent = true
	t.order(r, t.stopRun)
}

// order carries an order out beside the loop.
func (t *term) order(r *run, carry func(ctx context.Context, r *run, client host.Client) error) {
	client := r.host.client
	t.group.Go("order", func(ctx context.Context) error { return carry(ctx, r, client) })
}

// stopRun repeats a stop until it is answered or the run has ended.
func (t *term) stopRun(ctx context.Context, r *run, client host.Client) error {
	request := host.StopRequest{Incarnation: r.minion, Token: t.token, Task: r.task, Number: r.number}
	for {
		sent := now()
		err := client.Stop(ctx, request)
		if errors.Is(err, host.ErrFenced) {
			return errFenced
		}
		answered := err == nil || errors.Is(err, host.ErrRunEnded) || errors.Is(err, host.ErrOtherIncarnation)
		held, ok := ask(ctx, t, func() bool {
			if answered {
				r.stopAnswered = now()
			}
			return r.host.runs[runKey{r.task, r.number}] == r
		})
		if !ok || answered || !held {
			return nil
		}
		_ = level.Debug(t.logger).Log("event", "stop unanswered", "job", r.task.Job, "task", r.task, "run", r.number, "took", now()-sent, "reason", err)
		if err := group.Pause(ctx, orderPause); err != nil {
			return err
		}
	}
}

// launch sends the starts of an attempt whose placement is durable.
func (t *term) launch(a *attempt) {
	if a.stopping {
		for _, r := range slices.Clone(a.runs) {
			t.requeue(r, "")
		}
		return
	}
	for _, r := range a.runs {
		r.phase = starting
		r.startedAt = now()
		r.host.lapse = max(r.host.lapse, r.startedAt+lapseTime(startWindow))
	}
	for _, r := range slices.Clone(a.runs) {
		t.order(r, t.startRun)
	}
}

// startLimit returns how long a start is tried. gangTime is 0 where members of
// a gang wait for each other for ever.
func startLimit(gangTime time.Duration) time.Duration {
	if gangTime == 0 {
		return startTime
	}
	return min(startTime, time.Duration(gangStartShare*float64(gangTime)))
}

// startRun repeats a start until it is answered or has taken too long.
func (t *term) startRun(ctx context.Context, r *run, client host.Client) error {
	begin := now()
	j := r.attempt.job
	for {
		request, ok := ask(ctx, t, func() host.StartRequest { return t.startRequest(r) })
		if !ok {
			return nil
		}
		err := client.Start(ctx, request)
		if errors.Is(err, host.ErrFenced) {
			return errFenced
		}
		again, ok := ask(ctx, t, func() bool { return t.takeStart(r, err, now()-begin > startLimit(t.settings().GangStartTimeout)) })
		if !ok || !again {
			return nil
		}
		_ = level.Debug(t.logger).Log("event", "start unanswered", "job", j.job.ID, "task", r.task, "run", r.number, "reason", err)
		if err := group.Pause(ctx, orderPause); err != nil {
			return err
		}
	}
}

func (t *term) startRequest(r *run) host.StartRequest {
	j := r.attempt.job
	return host.StartRequest{
		Incarnation: r.minion, Token: t.token, Task: r.task, Number: r.number, Spec: j.job.Spec,
		StartDeadline: r.host.clockNow() + startWindow,
		Checkpoint:    r.progress().Checkpoint, Ticket: r.ticket,
	}
}

// takeRefusal notes what a refused start says of the host, so that the next
// plan does not choose it again.
func (t *term) takeRefusal(r *run, err error) {
	switch {
	case errors.Is(err, host.ErrDraining):
		r.host.minion.Draining = true
	case errors.Is(err, host.ErrOtherIncarnation):
		r.host.listed = false
	case errors.Is(err, host.ErrUnhealthy):
		r.host.health.refused(now())
	case errors.Is(err, host.ErrInvalidTicket):
		t.dropTicket(r)
	default:
		r.attempt.job.retryAt = now() + retryDelay
	}
}

// takeStart works on the answer to a start and reports whether to send it
// again.
func (t *term) takeStart(r *run, err error, tooLong bool) bool {
	if r.host.runs[runKey{r.task, r.number}] != r || r.attempt.stopping {
		if err == nil {
			r.answered = now()
		}
		return false
	}
	switch {
	case err == nil:
		r.answered = now()
		if r.phase == starting {
			t.started(r)
		}
		return false
	case errors.Is(err, host.ErrRunEnded):
		r.answered = now()
		return false
	case errors.Is(err, host.ErrNoCapacity), errors.Is(err, host.ErrUnhealthy), errors.Is(err, host.ErrDraining),
		errors.Is(err, host.ErrOtherIncarnation), errors.Is(err, host.ErrMalformed), errors.Is(err, host.ErrInvalidTicket):
		t.takeRefusal(r, err)
		t.lose(r, err.Error())
		return false
	case tooLong:
		r.attempt.job.retryAt = now() + retryDelay
		t.stop(r.attempt, "a start was not answered")
		return false
	default:
		return true
	}
}
