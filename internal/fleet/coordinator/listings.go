package coordinator

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
)

const (
	// stopMargin is added to the time that a stop may take.
	stopMargin = 200 * time.Millisecond
)

// take works on a listing that was asked for at sent. It reports whether ends
// in it are not yet durable.
func (t *term) take(h *hostState, l host.StatusReport, sent time.Duration) bool {
	if h.silent {
		h.silent = false
		t.replan = true
		_ = level.Info(t.logger).Log("event", "host answers", "host", h.name)
	}
	h.contact = now()
	if l.Gone {
		t.takeGone(h)
		return false
	}
	if !t.recognise(h, l) {
		return false
	}
	h.clock = l.Clock
	for _, e := range l.EndedRuns {
		if e.Sequence > h.seen {
			h.seen = e.Sequence
			t.takeEnd(h, e)
		}
	}
	t.takeRunning(h, l.Running)
	t.pace(h)
	t.findMissing(h, l, sent)
	if h.seen > h.acknowledged {
		t.acknowledge(h)
		return true
	}
	return false
}

// takeGone works on the proof that no minion is there: nothing runs any more.
func (t *term) takeGone(h *hostState) {
	if !h.gone {
		h.gone = true
		_ = level.Warn(t.logger).Log("event", "minion gone", "host", h.name, "minion", h.minion.Incarnation(), "runs", len(h.runs))
	}
	t.loseAll(h, "the minion is gone")
	clear(h.strays)
	h.listed = false
}

// recognise finds out which incarnation a listing is of. When it is a new one,
// nothing that the former one has listed runs. It reports false while the
// incarnation has not reported what it offers.
func (t *term) recognise(h *hostState, l host.StatusReport) bool {
	h.gone = false
	known := h.minion.ID != "" && h.minion.StartedAt.Equal(l.Minion.StartedAt)
	if l.Minion.ID == "" && !known {
		h.listed = false
		t.loseRunsBefore(h, l.Minion.StartedAt)
		return false
	}
	if l.Minion.ID != "" {
		if !known || h.minion.Draining != l.Minion.Draining {
			_ = level.Info(t.logger).Log("event", "minion found", "host", h.name, "minion", l.Minion.Incarnation(), "rack", l.Minion.Rack,
				"accelerators", l.Minion.Capacity.Accelerators, "draining", l.Minion.Draining, "remaining", l.Minion.Remaining, "former", h.minion.Incarnation())
		}
		h.minion = l.Minion
		t.replan = t.replan || !known || !h.listed
	}
	if !known {
		h.seen, h.acknowledged = 0, 0
		h.health = health{}
		clear(h.strays)
		for _, r := range runsOf(h) {
			if r.minion != h.minion.Incarnation() {
				t.endOfIncarnation(r)
			}
		}
	}
	h.listed = true
	return true
}

// loseRunsBefore gives up the runs of incarnations that were born before the
// one that answers.
func (t *term) loseRunsBefore(h *hostState, born time.Time) {
	if h.minion.ID == "" || !h.minion.StartedAt.Before(born) {
		return
	}
	for _, r := range runsOf(h) {
		if r.minion == h.minion.Incarnation() && r.listed {
			t.lose(r, "the minion was started anew")
		}
	}
}

// endOfIncarnation gives a run up that the former incarnation of its minion has
// listed. The start of any other run may have been carried out by the present
// one, because minions do not tell their lives apart in the calls they get: it
// is taken for a run of that one, and given up once that has settled an order
// on it and does not list it.
func (t *term) endOfIncarnation(r *run) {
	if r.listed {
		t.lose(r, "the minion was started anew")
		return
	}
	r.minion = r.host.minion.Incarnation()
}

// takeRunning notes the progress of runs, and stops those that nobody expects.
func (t *term) takeRunning(h *hostState, running []host.Run) {
	clear(h.strays)
	for _, l := range running {
		key := runKey{l.Task, l.Number}
		r := h.runs[key]
		if r == nil {
			t.takeStray(h, key)
			continue
		}
		if r.phase == adopted || r.phase == starting {
			t.started(r)
		}
		r.note(l)
		if r.attempt.stopping {
			t.sendStop(r)
		}
	}
}

// takeStray stops a run that this term has not given out or has given up.
func (t *term) takeStray(h *hostState, key runKey) {
	need := workload.Resources{}
	if j := t.jobs[key.task.Job]; j != nil && j.job.StepOf(key.task) < j.job.StepCount() {
		need = j.job.Step(j.job.StepOf(key.task)).ReservedResources()
	}
	h.strays[key] = need
	_ = level.Warn(t.logger).Log("event", "run not expected", "job", key.task.Job, "task", key.task, "run", key.number, "host", h.name, "outcome", "stopped")
	request := host.StopRequest{Incarnation: h.minion.Incarnation(), Token: t.token, Task: key.task, Number: key.number}
	client := h.client
	t.group.Go("stop stray", func(ctx context.Context) error {
		if err := client.Stop(ctx, request); err != nil {
			_ = level.Warn(t.logger).Log("event", "stop failed", "job", key.task.Job, "task", key.task, "run", key.number, "reason", err)
		}
		return nil
	})
}

// findMissing gives up the runs that the minion has settled and does not list:
// an order for them was answered before the listing was asked for.
func (t *term) findMissing(h *hostState, l host.StatusReport, sent time.Duration) {
	listed := make(map[runKey]bool, len(l.Running)+len(l.EndedRuns))
	for _, r := range l.Running {
		listed[runKey{r.Task, r.Number}] = true
	}
	for _, e := range l.EndedRuns {
		listed[runKey{e.Task, e.Number}] = true
	}
	for _, r := range runsOf(h) {
		if t.settled(r, sent) && !listed[runKey{r.task, r.number}] {
			t.lose(r, "the minion does not list it")
		}
	}
}

// settled reports whether a run that a listing asked for at sent does not name
// has certainly ended or never began. A run that is being stopped is not listed
// until it has ended; an adopted one may have been stopped by a former term.
func (t *term) settled(r *run, sent time.Duration) bool {
	stopped := t.settings().TaskStopTimeout + stopMargin
	switch {
	case r.phase == adopted:
		return t.begun+stopped < sent
	case r.attempt.stopping:
		return r.stopAnswered != 0 && r.stopAnswered+stopped < sent
	default:
		return r.answered != 0 && r.answered < sent
	}
}

// acknowledge lets the minion forget ends as soon as they are durable.
func (t *term) acknowledge(h *hostState) {
	seen, incarnation := h.seen, h.minion.Incarnation()
	t.effects = append(t.effects, func() {
		if h.minion.Incarnation() != incarnation {
			return
		}
		h.acknowledged = max(h.acknowledged, seen)
		select {
		case h.wake <- struct{}{}:
		default:
		}
	})
}
