package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
)

// submit accepts a job by making it durable. The same submission may come
// again at any entry; the record of the job has the same key then.
func (g *Gateway) submit(ctx context.Context, c Call, a admission) Answer {
	if e, ok := g.state.Job(a.job); ok && e.Job.Organisation == a.organisation {
		return Answer{Outcome: Accepted, Reason: "it was submitted before"}
	}
	submission, err := g.options.Decode(c.Body)
	if err != nil {
		return Answer{Outcome: Invalid, Reason: err.Error()}
	}
	q := a.queue
	if q.UsesAdviser && !g.options.HasAdviser {
		return Answer{Outcome: Refused, Reason: "the queue needs a placement adviser, and the settings name none"}
	}
	job := workload.Job{
		ID: a.job, Queue: q.Name, Organisation: a.organisation, Service: q.Service, Spec: submission.Spec, Steps: submission.Steps, Schedule: submission.Schedule,
		Submitted: time.Now(), Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Objective: q.Objective,
	}
	if err := job.Validate(); err != nil {
		return Answer{Outcome: Invalid, Reason: err.Error()}
	}
	record, err := ledger.EncodeJob(job)
	if err != nil {
		return Answer{Outcome: Invalid, Reason: err.Error()}
	}
	stored := func() bool {
		e, ok := g.state.Job(a.job)
		return ok && e.Job.Organisation == a.organisation
	}
	return g.record(ctx, c, record, stored, Answer{Outcome: Accepted})
}

func (g *Gateway) cancel(ctx context.Context, c Call, a admission) Answer {
	e, denial := g.find(ctx, a)
	if denial != nil {
		if denial.Outcome == Unavailable {
			return g.forward(ctx, c, *denial)
		}
		return *denial
	}
	if e.State().Ended() {
		return Answer{Outcome: Known, State: e.State()}
	}
	record, err := ledger.EncodeCancellation(a.job, time.Now())
	if err != nil {
		return Answer{Outcome: Invalid, Reason: err.Error()}
	}
	stored := func() bool {
		e, ok := g.state.Job(a.job)
		return ok && e.Cancelled
	}
	return g.record(ctx, c, record, stored, Answer{Outcome: Known, State: workload.Cancelled})
}

const (
	// localShare is the share of the waiting time in which an entry that has no
	// word from the store tries to reach it, before it asks other entries.
	localShare = 0.5
	// reachedShare is that share while the store can be read. Its answers are late
	// then for all entries.
	reachedShare = 0.75
	// reachedTime is how old the last word from the store may be.
	reachedTime = 1500 * time.Millisecond
)

// record makes a record durable and returns done. When the store cannot be
// reached from here, another entry is asked. stored reports whether the record
// is in the ledger.
func (g *Gateway) record(ctx context.Context, c Call, record ledger.Record, stored func() bool, done Answer) Answer {
	share := 1.0
	switch {
	case c.Forwarded:
	case time.Since(g.jobs.AsOf()) > reachedTime:
		share = localShare
	default:
		share = reachedShare
	}
	localCtx := ctx
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		localCtx, cancel = context.WithTimeout(ctx, time.Duration(share*float64(time.Until(deadline))))
		defer cancel()
	}
	undecided, err := g.append(localCtx, record, stored)
	if err == nil {
		return done
	}
	fallback := Answer{Outcome: Refused, Reason: "the store cannot be reached", RetryAfter: retryAfter}
	if undecided {
		fallback.Outcome = Undecided
	}
	_ = level.Warn(g.logger).Log("event", "record not written", "key", record.Key, "undecided", undecided, "reason", err)
	return g.forward(ctx, c, fallback)
}

// append tries until the record is durable or ctx ends. It reports whether a
// try may have been done all the same.
func (g *Gateway) append(ctx context.Context, record ledger.Record, stored func() bool) (undecided bool, err error) {
	for {
		if err = g.appendOnce(ctx, record, stored); err == nil {
			return false, nil
		}
		undecided = undecided || !errors.Is(err, ledger.ErrNotDone)
		if group.Pause(ctx, appendPause) != nil {
			return undecided, err
		}
	}
}

// appendOnce makes one try. It ends as soon as the ledger shows the record,
// although the answer may be late or lost.
func (g *Gateway) appendOnce(ctx context.Context, record ledger.Record, stored func() bool) error {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(ctx, g.appends.current())
	defer cancel()
	watch := group.New(ctx)
	seen := false
	watch.Every("ledger", storedInterval, func(context.Context) error {
		if seen = stored(); seen {
			cancel()
		}
		return nil
	})
	err := g.store.Append(ctx, g.options.Topic, []ledger.Record{record})
	watch.Stop()
	if waitErr := watch.Wait(); waitErr != nil {
		return waitErr
	}
	if seen {
		return nil
	}
	g.appends.observe(time.Since(begin), err == nil || errors.Is(err, ledger.ErrNotDone))
	return err
}
