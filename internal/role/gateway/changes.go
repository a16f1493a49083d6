package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/outlook"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
)

// submit accepts a job by making it durable. Repeated submissions of a job, to any
// entry, are idempotent because its record has the same key.
func (g *Gateway) submit(ctx context.Context, c *activeCall, a admission) Answer {
	if e, ok := g.state.Job(a.job); ok && e.Job.Organisation == a.organisation {
		return Answer{Outcome: Accepted, Reason: "it was submitted before"}
	}
	if !g.state.MayHold(a.job, a.organisation) {
		return idTaken
	}
	if _, cancelled := g.state.EarlyCancellation(a.job, a.organisation); cancelled {
		return Answer{Outcome: Refused, Reason: "the job was cancelled before it was submitted"}
	}
	if a.queue.UsesAdviser && !g.options.HasAdviser {
		return Answer{Outcome: Refused, Reason: "the queue needs a placement adviser, and the settings name none"}
	}
	record, denial := g.encodeJob(ctx, c, a)
	if denial != nil {
		return *denial
	}
	return g.writeChange(ctx, c, change{key: record.Key, attempt: func() (attempt, error) { return g.claimJob(a, record) }})
}

// encodeJob returns the record of a submitted job, or the answer to a call that has
// none, or whose job its service can't serve.
func (g *Gateway) encodeJob(ctx context.Context, c *activeCall, a admission) (ledger.Record, *Answer) {
	if answer := c.loadBody(ctx); answer != nil {
		return ledger.Record{}, answer
	}
	if err := g.decoding.Acquire(ctx, 1); err != nil {
		return ledger.Record{}, &Answer{Outcome: Refused, Reason: "too many jobs are being read", RetryAfter: retryAfter}
	}
	defer g.decoding.Release(1)
	submission, err := g.options.Decode(c.Body)
	if err != nil { // The error may quote the body.
		return ledger.Record{}, &Answer{Outcome: Invalid, Reason: shorten(err.Error())}
	}
	job := newJob(a, submission)
	if err := job.Validate(); err != nil {
		return ledger.Record{}, &Answer{Outcome: Invalid, Reason: err.Error()}
	}
	if refusal, refused := g.refuse(job); refused {
		return ledger.Record{}, &Answer{Outcome: Refused, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter}
	}
	record, err := ledger.EncodeJob(job)
	if err != nil {
		return ledger.Record{}, &Answer{Outcome: Invalid, Reason: err.Error()}
	}
	return record, nil
}

// refuse returns the refusal of a new job by the outlook of its service. Without a recent
// read of the ledger the job is accepted.
func (g *Gateway) refuse(job workload.Job) (outlook.Refusal, bool) {
	if g.jobReader.Failing() || time.Since(g.jobReader.AsOf()) > maxReadAge {
		return outlook.Refusal{}, false
	}
	o, known := g.state.Outlook(job.Service)
	if !known {
		return outlook.Refusal{}, false
	}
	return o.Refuse(job, time.Now())
}

// cancel records the cancellation of a job that has not ended, or that is not known.
func (g *Gateway) cancel(ctx context.Context, c *activeCall, a admission) Answer {
	e, denial := g.findJob(ctx, a)
	if denial != nil {
		if denial.Outcome == Unavailable {
			return g.forward(ctx, c, Answer{Outcome: Refused, Reason: denial.Reason, RetryAfter: denial.RetryAfter})
		}
		return g.cancelEarly(ctx, c, a, *denial)
	}
	if e.State().Ended() {
		return Answer{Outcome: Known, State: e.State()}
	}
	record, err := ledger.EncodeCancellation(a.job, a.organisation, time.Now())
	if err != nil {
		return Answer{Outcome: Invalid, Reason: err.Error()}
	}
	stored := func() bool {
		e, ok := g.state.Job(a.job)
		return ok && e.Cancelled && e.Job.Organisation == a.organisation
	}
	return g.writeChange(ctx, c, recordChange(record, stored, Answer{Outcome: Known, State: workload.Cancelled}))
}

// earlyCancellationValidity is for how long a repeated cancellation relies on the record
// of the first. It is far shorter than the time for which that is kept, so that a late
// write of the job finds a record after each answer.
const earlyCancellationValidity = 30 * time.Second

// cancelEarly records the cancellation of a job that the ledger does not show to the
// caller, and returns the answer that there is no such job. A write of the job may
// still be under way, even if its client has had no answer for long.
func (g *Gateway) cancelEarly(ctx context.Context, c *activeCall, a admission, answer Answer) Answer {
	if former, ok := g.state.EarlyCancellation(a.job, a.organisation); ok && time.Since(former.At).Abs() < earlyCancellationValidity {
		return answer
	}
	cancellation := ledger.NewEarlyCancellation(a.job, a.organisation, time.Now())
	record, err := ledger.EncodeEarlyCancellation(cancellation)
	if err != nil {
		return Answer{Outcome: Invalid, Reason: err.Error()}
	}
	stored := func() bool {
		newest, ok := g.state.EarlyCancellation(a.job, a.organisation)
		return ok && newest.Name == cancellation.Name
	}
	return g.writeChange(ctx, c, recordChange(record, stored, answer))
}

const (
	// staleReadRetryShare is the fraction of the client's wait during which an entry
	// retries an append before it forwards the call, when its last successful read is
	// older than maxReadAge.
	staleReadRetryShare = 0.5
	// recentReadRetryShare is that fraction after a recent read. Then the store is slow
	// for all entries, so forwarding helps less.
	recentReadRetryShare = 0.75
	// maxReadAge is the age of the last successful read after which contact to the
	// store counts as lost.
	maxReadAge = 1500 * time.Millisecond
)

// change is what a call writes to the ledger.
type change struct {
	key     string                  // key names the change in logs.
	attempt func() (attempt, error) // attempt returns the next attempt to write it.
}

// attempt is one append of a change.
type attempt struct {
	records []ledger.Record
	success Answer                // success is the answer once the store has confirmed the append.
	shown   func() (Answer, bool) // shown returns the answer to the call if the ledger shows what has come of the attempt.
	// contested is set if records of others decide what the append has come to. Then
	// only shown tells.
	contested bool
}

// recordChange returns the change that writes one record. stored reports whether the
// ledger shows it.
func recordChange(record ledger.Record, stored func() bool, success Answer) change {
	shown := func() (Answer, bool) { return success, stored() }
	return change{record.Key, func() (attempt, error) {
		return attempt{records: []ledger.Record{record}, success: success, shown: shown}, nil
	}}
}

// writeChange makes a change durable and returns what it has come to. If the store is
// unreachable, it forwards the call to other entries.
func (g *Gateway) writeChange(ctx context.Context, c *activeCall, ch change) Answer {
	refusal := Answer{Outcome: Refused, Reason: "the store cannot be reached", RetryAfter: retryAfter}
	if g.jobReader.Failing() { // Another entry may reach the store.
		if answer := g.forward(ctx, c, refusal); c.Forwarded || answer.Outcome != Refused {
			return answer
		}
	}
	share := 1.0
	switch {
	case c.Forwarded: // The call is not forwarded again, so retries may take the whole wait.
	case time.Since(g.jobReader.AsOf()) > maxReadAge:
		share = staleReadRetryShare
	default:
		share = recentReadRetryShare
	}
	localCtx := ctx
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		localCtx, cancel = context.WithTimeout(ctx, time.Duration(share*float64(time.Until(deadline))))
		defer cancel()
	}
	answer, err := g.appendWithRetries(localCtx, c, ch)
	if err == nil {
		return answer
	}
	_ = level.Warn(g.logger).Log("event", "record not written", "key", ch.key, "attempts", c.attempts.made, "unproved", c.attempts.unproved, "reason", err)
	return g.forward(ctx, c, refusal)
}

// appendWithRetries retries until the change is durable or ctx ends. It returns the
// error of the last attempt, which says nothing about the earlier ones.
func (g *Gateway) appendWithRetries(ctx context.Context, c *activeCall, ch change) (Answer, error) {
	for {
		a, err := ch.attempt()
		if err != nil {
			return Answer{}, err
		}
		answer, err := c.attempts.run(func() (Answer, error) { return g.appendOnce(ctx, a) })
		if err == nil || group.Pause(ctx, appendRetryInterval) != nil {
			return answer, err
		}
	}
}

// appendOnce makes one attempt. It succeeds as soon as the ledger shows the result,
// even if the answer of the store is late or lost.
func (g *Gateway) appendOnce(ctx context.Context, a attempt) (Answer, error) {
	begin := time.Now()
	appendCtx, cancel := context.WithTimeout(ctx, g.appendTimeout.current())
	defer cancel()
	watch := group.New(appendCtx)
	var answer Answer
	seen := false
	watch.Every("ledger", ledgerPollInterval, func(context.Context) error {
		if answer, seen = a.shown(); seen {
			cancel()
		}
		return nil
	})
	err := g.store.Append(appendCtx, g.options.Topic, a.records)
	watch.Stop()
	if waitErr := watch.Wait(); waitErr != nil {
		return Answer{}, waitErr
	}
	if seen {
		return answer, nil
	}
	g.appendTimeout.observe(time.Since(begin), err == nil || errors.Is(err, ledger.ErrNotDone))
	if err != nil || !a.contested {
		return a.success, err
	}
	// The append is not repeated: the store has it, and the reader is on its way there.
	for {
		if answer, seen = a.shown(); seen {
			return answer, nil
		}
		if err := group.Pause(ctx, resultPollInterval); err != nil {
			return Answer{}, fmt.Errorf("the record is stored, and the ledger does not show it: %w", err)
		}
	}
}
