package coordinator

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/fleet/host"
)

// handleStatusReport handles a status report that was requested at sent. It
// reports whether it contains ended runs that are not yet durable.
func (t *term) handleStatusReport(h *hostState, report host.StatusReport, sent time.Duration) bool {
	if h.silent {
		h.silent = false
		t.needsPlan = true
		_ = level.Info(t.logger).Log("event", "host answers", "host", h.name)
	}
	h.lastContact = now()
	if report.Gone {
		t.handleMinionGone(h)
		return false
	}
	if !t.recogniseIncarnation(h, report, sent) {
		return false
	}
	h.minionClock = report.Clock
	if h.suspended {
		t.resumeRenewals(h)
	}
	t.refuseLateStarts(h)
	for _, e := range report.EndedRuns {
		if e.Sequence > h.handledSequence {
			h.handledSequence = e.Sequence
			t.handleEndedRun(h, e)
		}
	}
	t.handleRunning(h, report.Running, sent)
	t.releaseUnexpected(h, report, sent)
	t.throttleHost(h)
	t.loseMissingRuns(h, report, sent)
	if h.handledSequence > h.acknowledgedSequence {
		t.acknowledgeEndedRuns(h)
		return true
	}
	return false
}

// handleMinionGone handles a status report that shows that no minion is running on
// a host. All of its runs have ended, and the agent refuses further starts of them,
// but one that the agent has passed on may still reach the next incarnation.
func (t *term) handleMinionGone(h *hostState) {
	if !h.gone {
		h.gone = true
		_ = level.Warn(t.logger).Log("event", "minion gone", "host", h.name, "minion", h.incarnation(), "runs", len(h.runs))
	}
	t.loseRunsOn(h, "the minion is gone")
	clear(h.unexpected)
	h.incarnationKnown = false
}

// recogniseIncarnation finds out which incarnation has sent a status report that
// was requested at sent. If it is a new one, nothing that the former one has
// reported is running. It reports false while the incarnation has not reported
// its capacity.
func (t *term) recogniseIncarnation(h *hostState, report host.StatusReport, sent time.Duration) bool {
	h.gone = false
	sameIncarnation := h.minion.ID != "" && h.minion.StartedAt.Equal(report.Minion.StartedAt)
	if report.Minion.ID == "" && !sameIncarnation {
		h.incarnationKnown = false
		t.loseRunsBefore(h, report, sent)
		return false
	}
	if report.Minion.ID != "" {
		if !sameIncarnation || h.minion.Draining != report.Minion.Draining {
			_ = level.Info(t.logger).Log("event", "minion found", "host", h.name, "minion", report.Minion.Incarnation(), "rack", report.Minion.Rack,
				"accelerators", report.Minion.Capacity.Accelerators, "draining", report.Minion.Draining, "remaining", report.Minion.Remaining, "former", h.incarnation())
		}
		h.minion = report.Minion
		h.evacuated = t.evacuations.include(h)
		t.needsPlan = t.needsPlan || !sameIncarnation || !h.incarnationKnown
	}
	if !sameIncarnation {
		h.handledSequence, h.acknowledgedSequence = 0, 0
		h.health = health{}
		clear(h.unexpected)
		t.loseFormerRuns(h, report, sent)
	}
	h.incarnationKnown = true
	return true
}

// handleRunning updates the runs that a minion lists in a report that was requested
// at sent, and stops unexpected ones.
func (t *term) handleRunning(h *hostState, running []host.Run, sent time.Duration) {
	for _, reported := range running {
		t.recordStart(reported.Task.Job)
		key := runKey{reported.Task, reported.Number}
		r := h.runs[key]
		if r == nil {
			t.stopUnexpected(h, key)
			continue
		}
		if r.phase == adopted || r.phase == starting {
			t.markRunning(r)
		}
		r.update(reported)
		r.heardAt = sent
		r.endDelays()
		t.observeProgress(r)
		if r.attempt.stopping {
			t.sendStop(r)
		}
	}
}

// releaseUnexpected frees the resources of unexpected runs that have ended by a
// status report requested at sent. They are being stopped, so a run is not listed
// until it has ended.
func (t *term) releaseUnexpected(h *hostState, report host.StatusReport, sent time.Duration) {
	for _, e := range report.EndedRuns {
		delete(h.unexpected, runKey{e.Task, e.Number})
	}
	listed := listedRuns(report)
	for key, u := range h.unexpected {
		switch {
		case listed[key]:
			u.missingSince = 0
		case u.missingSince == 0:
			u.missingSince = now()
		case u.missingSince+t.stopTimeout() < sent:
			delete(h.unexpected, key)
			t.needsPlan = true
		}
	}
}

// unexpectedStopInterval is the pause between two stops of an unexpected run.
const unexpectedStopInterval = 500 * time.Millisecond

// stopUnexpected stops a run that this term has not started or has given up,
// unless a stop is in flight or was tried just before.
func (t *term) stopUnexpected(h *hostState, key runKey) {
	u := h.unexpected[key]
	if u == nil {
		u = &unexpectedRun{}
		h.unexpected[key] = u
		_ = level.Warn(t.logger).Log("event", "unexpected run", "job", key.task.Job, "task", key.task, "run", key.number, "host", h.name, "minion", h.incarnation(), "outcome", "stopped")
	}
	if j := t.jobs[key.task.Job]; j != nil && j.job.StepOf(key.task) < j.job.StepCount() {
		u.need = j.job.Step(j.job.StepOf(key.task)).ReservedResources()
	}
	if u.stopInFlight || now() < u.nextStopAt {
		return
	}
	u.stopInFlight = true
	request := host.StopRequest{Incarnation: h.incarnation(), Token: t.token, Task: key.task, Number: key.number}
	client := h.client
	t.group.Go("stop unexpected run", func(ctx context.Context) error {
		err := client.Stop(ctx, request)
		t.post(func() {
			if err != nil && u.nextStopAt == 0 {
				_ = level.Warn(t.logger).Log("event", "stop of unexpected run failed", "job", key.task.Job, "task", key.task, "run", key.number, "reason", err)
			}
			u.stopInFlight, u.nextStopAt = false, now()+unexpectedStopInterval
		})
		return nil
	})
}

// acknowledgeEndedRuns lets the minion discard ended runs as soon as they are
// durable.
func (t *term) acknowledgeEndedRuns(h *hostState) {
	sequence, incarnation := h.handledSequence, h.incarnation()
	t.effects = append(t.effects, func() {
		if h.incarnation() != incarnation {
			return
		}
		h.acknowledgedSequence = max(h.acknowledgedSequence, sequence)
		select {
		case h.endedRunsDurable <- struct{}{}:
		default:
		}
	})
}
