package demo

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/run/embedded"
	"wasabihoist/internal/standin/minionhost"
	"wasabihoist/internal/traffic/request"
)

const (
	jobWait     = 25 * time.Second
	answerSlack = 3 * time.Second
)

// callers submit the work of a deployment and keep the outcomes.
type callers struct {
	cluster *embedded.Cluster
	record  *record
	group   *group.Group
	length  time.Duration // length of the time in which requests are submitted.
}

// String names the step.
func (c *callers) String() string { return "callers" }

func (c *callers) start(w workload) {
	for _, k := range w.requests {
		c.group.Go("callers of "+k.kind, func(ctx context.Context) error { return c.submitRequests(ctx, k) })
	}
	for _, k := range w.jobs {
		for i, b := range k.bursts {
			c.group.Go("burst of "+k.kind, func(ctx context.Context) error { return c.submitBurst(ctx, k, i, b) })
		}
	}
}

func (c *callers) submitRequests(ctx context.Context, k requestKind) error {
	ticker := time.NewTicker(k.every)
	defer ticker.Stop()
	end := time.After(c.length)
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-end:
			return nil
		case <-ticker.C:
		}
		organisation := k.organisations[i%len(k.organisations)]
		entry := c.cluster.Entries[i%len(c.cluster.Entries)]
		id := fmt.Sprintf("%s-%d", k.kind, i)
		c.group.Go(id, func(ctx context.Context) error {
			c.runRequest(ctx, k, entry, organisation, id)
			return nil
		})
	}
}

func (c *callers) runRequest(ctx context.Context, k requestKind, e *embedded.Entry, organisation, id string) {
	start := time.Now()
	body := minionhost.Body(k.work, len(id))
	ctx, cancel := context.WithTimeout(ctx, k.deadline+answerSlack)
	defer cancel()
	answer, err := c.cluster.Caller(e, organisation).Run(ctx, restapi.Request{
		ID:         id,
		Service:    c.cluster.Options.Deployment.Service,
		Kind:       k.kind,
		Deadline:   start.Add(k.deadline),
		Idempotent: k.idempotent,
		Body:       body,
	})
	if err != nil {
		answer = restapi.Answer{Outcome: "unknown", Reason: err.Error()}
	}
	took := time.Since(start)
	want := minionhost.Answer(request.Identity{Organisation: organisation, ID: id}, body)
	if answer.Outcome == "done" && !bytes.Equal(answer.Body, want) {
		c.record.complain(fmt.Sprintf("%s/%s got an answer that is not its own", organisation, id))
	}
	c.record.add(outcome{
		kind:         k.kind,
		organisation: organisation,
		id:           id,
		idempotent:   k.idempotent,
		result:       answer.Outcome,
		reason:       answer.Reason,
		useful:       interval{start, start.Add(k.deadline)},
		took:         took,
		late:         answer.Outcome == "done" && took > k.deadline,
	})
}

func (c *callers) submitBurst(ctx context.Context, k jobKind, number int, b burst) error {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(b.at):
	}
	for i := range b.count {
		organisation := k.organisations[i%len(k.organisations)]
		entry := c.cluster.Entries[i%len(c.cluster.Entries)]
		id := fmt.Sprintf("%s-%d-%d", k.kind, number, i)
		c.group.Go(id, func(ctx context.Context) error {
			c.runJob(ctx, k, entry, organisation, id)
			return nil
		})
	}
	return nil
}

func (c *callers) runJob(ctx context.Context, k jobKind, e *embedded.Entry, organisation, id string) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, jobWait)
	defer cancel()
	j := k.job
	j.ID = id
	j.Kind = k.kind
	j.RunTimeSeconds = k.run.Seconds()
	j.Deadline = start.Add(k.deadline)
	j.Idempotent = true
	client := c.cluster.Caller(e, organisation)
	status, err := client.Submit(ctx, j)
	for err == nil && status.State != "" && status.State != "ended" && ctx.Err() == nil {
		status, err = client.Job(ctx, id, jobWait)
	}
	took := time.Since(start)
	result, reason := jobResult(status, err)
	c.record.add(outcome{
		kind:         k.kind,
		organisation: organisation,
		id:           id,
		idempotent:   true,
		result:       result,
		reason:       reason,
		useful:       interval{start, start.Add(k.deadline)},
		took:         took,
		late:         result == "done" && took > k.deadline,
	})
}

// jobResult turns what the caller has heard last into an outcome.
func jobResult(status restapi.JobStatus, err error) (result, reason string) {
	switch {
	case err != nil:
		return "unknown", err.Error()
	case status.State == "" || status.State == "ended":
		return status.Outcome, status.Reason
	}
	return "unknown", "the job has not ended in time"
}
