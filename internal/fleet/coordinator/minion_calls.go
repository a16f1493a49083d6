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
	// callRetryDelay is the delay between two tries of a call to a minion that
	// was not answered.
	callRetryDelay = 100 * time.Millisecond
	// startValidity is the longest time for which a minion may carry out a start,
	// counted from when it was sent.
	startValidity = 2 * time.Second
	// startTimeout is how long a start is retried before the attempt is given
	// up.
	startTimeout = 1500 * time.Millisecond
	// gangStartShare is the share of GangStartTimeout for which starts are
	// retried. The rest leaves time to stop the members that have started.
	gangStartShare = 0.5
	// placementRetryDelay is how long a job is not placed again after a failed
	// start.
	placementRetryDelay = 300 * time.Millisecond
)

// sendStop sends a stop unless one was sent or no minion is running. A proposed run
// is dropped before its start instead.
func (t *term) sendStop(r *run) {
	if r.phase == proposed || r.stopSent || r.host.gone || r.host.client == nil {
		return
	}
	r.stopSent = true
	t.callMinion(r, t.stopRun)
}

// callMinion makes a call for a run outside the loop of the term.
func (t *term) callMinion(r *run, call func(ctx context.Context, r *run, client host.Client) error) {
	client := r.host.client
	t.group.Go("call minion", func(ctx context.Context) error { return call(ctx, r, client) })
}

// stopRun retries a stop until it is answered or the run has ended.
func (t *term) stopRun(ctx context.Context, r *run, client host.Client) error {
	for {
		request, ok := callLoop(ctx, t, func() host.StopRequest {
			return host.StopRequest{Incarnation: r.minion, Token: t.token, Task: r.task, Number: r.number}
		})
		if !ok {
			return nil
		}
		sent := now()
		err := client.Stop(ctx, request)
		if errors.Is(err, host.ErrFenced) {
			return errFenced
		}
		settled, ok := callLoop(ctx, t, func() bool { return t.handleStopReply(r, request, err) })
		if !ok || settled {
			return nil
		}
		_ = level.Debug(t.logger).Log("event", "stop request failed", "job", r.task.Job, "task", r.task, "run", r.number, "took", now()-sent, "reason", err)
		if err := group.Pause(ctx, callRetryDelay); err != nil {
			return err
		}
	}
}

// handleStopReply handles the reply to a stop and reports whether no further try
// is needed. A reply of a former incarnation proves nothing about the present
// one.
func (t *term) handleStopReply(r *run, request host.StopRequest, err error) bool {
	answered := err == nil || errors.Is(err, host.ErrRunEnded) || errors.Is(err, host.ErrOtherIncarnation)
	if answered && request.Incarnation == r.minion {
		r.stopAnswered = now()
		return true
	}
	return !r.held()
}

// startAttempt sends the starts of an attempt whose placement is durable. If the
// attempt has been stopped meanwhile, or a host of it evacuated, its tasks are
// requeued instead.
func (t *term) startAttempt(a *attempt) {
	if a.stopping || t.withdrawProposed(a) {
		for _, r := range slices.Clone(a.runs) {
			t.requeueRun(r, "")
		}
		return
	}
	for _, r := range a.runs {
		r.phase = starting
		r.startedAt = now()
	}
	for _, r := range slices.Clone(a.runs) {
		t.callMinion(r, t.startRun)
	}
}

// startRetryLimit returns how long a start is retried. gangTimeout is 0 where
// members of a gang wait for each other without limit.
func startRetryLimit(gangTimeout time.Duration) time.Duration {
	if gangTimeout == 0 {
		return startTimeout
	}
	return min(startTimeout, time.Duration(gangStartShare*float64(gangTimeout)))
}

// errFormerIncarnation replaces a reply to a start that may be that of a former
// incarnation of the minion.
var errFormerIncarnation = errors.New("the minion was restarted before the reply")

// startRun retries a start until it is answered or has taken too long.
func (t *term) startRun(ctx context.Context, r *run, client host.Client) error {
	begin := now()
	for {
		try, ok := callLoop(ctx, t, func() startTry { return t.nextTry(r) })
		if !ok || try == startEnded {
			return nil
		}
		if try == startDelayed {
			if err := group.Pause(ctx, callRetryDelay); err != nil {
				return err
			}
			begin = now()
			continue
		}
		request, sent := try.request, now()
		err := client.Start(ctx, *request)
		if errors.Is(err, host.ErrFenced) {
			return errFenced
		}
		retry, ok := callLoop(ctx, t, func() bool {
			t.recordStartReply(r, err, sent)
			if request.Incarnation != r.minion && (err == nil || errors.Is(err, host.ErrRunEnded)) {
				err = errFormerIncarnation
			}
			return t.handleStartReply(r, err, now()-begin > startRetryLimit(t.settings().GangStartTimeout))
		})
		if !ok || !retry {
			return nil
		}
		if err := group.Pause(ctx, callRetryDelay); err != nil {
			return err
		}
	}
}

// startTry is the next try of a start.
type startTry struct {
	request *host.StartRequest // request is nil if none is to be sent.
	delayed bool               // delayed is set while none may be sent.
}

var (
	startEnded   = startTry{}
	startDelayed = startTry{delayed: true}
)

// nextTry returns the next try of a start. The start is delayed while the store has
// not confirmed the term recently, because another term may have begun long ago;
// see formerStartWindow. A process that was suspended can't tell otherwise. It is
// also delayed while the host may have been evacuated, see startsHeld, and ends if
// the host is evacuated. While a record of the leases may name the host, see
// takeLeases, it is delayed as well, and ends if the host is still silent.
func (t *term) nextTry(r *run) startTry {
	switch {
	case r.attempt.stopping || !r.held():
		return startEnded
	case r.host.listed && r.host.suspended:
		t.stopAttempt(r.attempt, "its host has become silent")
		return startEnded
	case r.host.listed:
		return startDelayed
	case now()-time.Duration(t.confirmedAt.Load()) >= formerStartWindow:
		return startDelayed
	case t.startsHeld():
		return startDelayed
	case r.host.evacuated:
		t.withdrawStart(r)
		return startEnded
	default:
		return startTry{request: t.startRequest(r)}
	}
}

func (t *term) startRequest(r *run) *host.StartRequest {
	j := r.attempt.job
	r.tries.send(now())
	r.host.leaseExpiry = max(r.host.leaseExpiry, r.tries.openUntil) // A start grants a lease until its deadline.
	return &host.StartRequest{
		Incarnation: r.minion, Token: t.token, Task: r.task, Number: r.number, Spec: j.job.Spec,
		StartDeadline: r.host.minionClockNow() + t.startValidity(),
		Checkpoint:    r.progress().Checkpoint, Ticket: r.ticket,
	}
}

// recordStartReply counts and logs the reply to a try that was sent at a time.
func (t *term) recordStartReply(r *run, err error, sent time.Duration) {
	event := "start not answered"
	switch {
	case err == nil:
		r.tries.settle()
		t.recordStart(r.task.Job)
		return // The agent logs it.
	case host.IsRefusal(err):
		r.tries.settle()
		t.metrics.startsRefused.Add(1)
		event = "start refused"
	default:
		t.metrics.startsUnanswered.Add(1)
	}
	_ = level.Info(t.logger).Log("event", event, "job", r.task.Job, "task", r.task, "run", r.number, "host", r.host.name, "minion", r.minion,
		"try", r.tries.sent, "open-tries", r.tries.open, "took", ago(sent), "reason", err)
}

// handleStartRefusal delays the task and records what a refused start shows about the
// host, so that the next plan does not choose it again. Where it shows nothing, the
// other tasks of the job wait too, because they would go there as well.
func (t *term) handleStartRefusal(r *run, err error) {
	t.delayTask(r)
	switch {
	case errors.Is(err, host.ErrDraining):
		r.host.minion.Draining = true
	case errors.Is(err, host.ErrOtherIncarnation):
		r.host.incarnationKnown = false
	case errors.Is(err, host.ErrUnhealthy):
		r.host.health.recordRefusal(now())
	case errors.Is(err, host.ErrInvalidTicket):
		t.dropTicket(r)
	default:
		r.attempt.job.retryAt = now() + placementRetryDelay
	}
}

// handleStartReply handles the reply to a start and reports whether to send it
// again.
func (t *term) handleStartReply(r *run, err error, timedOut bool) bool {
	if !r.held() || r.attempt.stopping {
		if err == nil {
			r.startAnswered = now()
		}
		return false
	}
	switch {
	case r.reported:
		return false // It runs, whatever became of this try.
	case err == nil:
		r.startAnswered = now()
		if r.phase == starting {
			t.markRunning(r)
		}
		return false
	case errors.Is(err, host.ErrRunEnded):
		r.startAnswered = now()
		return false
	case host.IsRefusal(err) && !errors.Is(err, host.ErrStartTooLate):
		t.handleStartRefusal(r, err)
		if r.tries.mayHaveStarted() {
			t.stopAttempt(r.attempt, "a start was refused after a try that was not answered")
		} else {
			t.loseRun(r, err.Error())
		}
		return false
	case timedOut:
		t.delayTask(r)
		r.host.health.recordRefusal(now())
		r.attempt.job.retryAt = now() + placementRetryDelay
		t.stopAttempt(r.attempt, "a start was not answered")
		return false
	default:
		return true
	}
}
