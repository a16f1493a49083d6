package coordinator

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/group"
)

const (
	// minRefusalDelay is the delay of a task after the first refusal of its start.
	// Another host may take it at once.
	minRefusalDelay = 50 * time.Millisecond
	// maxUrgentRefusalDelay bounds the delay of urgent tasks.
	maxUrgentRefusalDelay = placementRetryDelay
	// maxRefusalDelay bounds the delay of other tasks: how long one still waits when
	// hosts take it again.
	maxRefusalDelay = 2 * time.Second
)

// refusalDelay returns how long a task waits before it is placed again, after a
// number of refusals of its start in a row; at least 1. Each placement and each
// refusal is written to the ledger, so the delay bounds what a task writes that every
// host refuses, whatever the reason.
func refusalDelay(refusals int, urgent bool) time.Duration {
	delay, limit := minRefusalDelay, maxRefusalDelay
	if urgent {
		limit = maxUrgentRefusalDelay
	}
	for ; refusals > 1 && delay < limit; refusals-- {
		delay *= 2
	}
	return min(delay, limit)
}

// taskKey identifies a task of a job.
type taskKey struct {
	step  int // step is the index among the steps of all occurrences.
	index int
}

func (r *run) taskKey() taskKey { return taskKey{r.attempt.step, r.task.Index} }

// startRefusals are the refusals of the starts of a task since it last ran. The event
// that ends them is a status report that lists a run of the task, or its end. Without
// it, each delay ends with time.
type startRefusals struct {
	count   int
	retryAt time.Duration // retryAt is when the task may be placed again.
}

// delayTask delays the task of a run whose start has been refused, or has come to
// nothing without an answer.
func (t *term) delayTask(r *run) {
	j := r.attempt.job
	refusals := j.refusals[r.taskKey()]
	refusals.count++
	delay := refusalDelay(refusals.count, j.job.Priority == 0)
	refusals.retryAt = now() + delay
	if j.refusals == nil {
		j.refusals = make(map[taskKey]startRefusals)
	}
	j.refusals[r.taskKey()] = refusals
	_ = level.Info(t.logger).Log("event", "task delayed", "job", r.task.Job, "task", r.task, "run", r.number, "refusals", refusals.count, "delay", delay)
	t.group.Go("delayed task", func(ctx context.Context) error {
		if group.Pause(ctx, delay) == nil {
			t.post(func() { t.needsPlan = true })
		}
		return nil
	})
}

// endDelays forgets the refusals of the task of a run that has begun.
func (r *run) endDelays() { delete(r.attempt.job.refusals, r.taskKey()) }
