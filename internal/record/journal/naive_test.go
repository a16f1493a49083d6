package journal

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// naiveFold is a second fold for the differential tests. It replays all
// batches from the start and looks through everything after each batch; it has
// no eviction queue, no order of bodies and no incremental clock.
type naiveFold struct {
	configuration organisation.Configuration
	jobs          map[request.Identity]JobState
	requests      map[request.Identity]RequestState
	audit         []AuditEntry
	history       map[request.Identity][]HistoryEntry
	verdicts      []Verdict

	last  map[string]uint64
	times map[string]time.Time // times are the highest of each host.
	now   time.Time
}

func replay(batches []batch, bodyLimit int) *naiveFold {
	n := &naiveFold{
		jobs: map[request.Identity]JobState{}, requests: map[request.Identity]RequestState{},
		history: map[request.Identity][]HistoryEntry{},
		last:    map[string]uint64{}, times: map[string]time.Time{},
	}
	for i, b := range batches {
		offset := int64(i + 1)
		for _, e := range b.records {
			reason := "sequence number is not above the last one of the writer"
			if e.sequence > n.last[b.writer] {
				n.last[b.writer] = e.sequence
				n.tick(b.writer, e.time)
				if reason = n.one(offset, b.writer, e); reason == "" {
					n.note(offset, e)
				}
			}
			n.verdicts = append(n.verdicts, Verdict{offset, reason == "", reason})
		}
		n.forget(bodyLimit)
	}
	return n
}

func (n *naiveFold) tick(writer string, t time.Time) {
	if h := host(writer); t.After(n.times[h]) {
		n.times[h] = t
	}
	var all []time.Time
	for _, t := range n.times {
		all = append(all, t)
	}
	slices.SortFunc(all, time.Time.Compare)
	target := all[max(0, len(all)-2)]
	if !n.now.IsZero() && target.Sub(n.now) > time.Minute {
		target = n.now.Add(time.Minute)
	}
	if target.After(n.now) {
		n.now = target
	}
}

func (n *naiveFold) forget(bodyLimit int) {
	gone := func(changed time.Time) bool { return n.now.Sub(changed) > RepeatWindow }
	total := 0
	var withBody []RequestState
	for _, r := range n.requests {
		total += len(r.Body)
		if len(r.Body) > 0 {
			withBody = append(withBody, r)
		}
	}
	slices.SortFunc(withBody, func(a, b RequestState) int {
		return cmp.Or(cmp.Compare(a.Claim, b.Claim), cmp.Compare(a.Identity.String(), b.Identity.String()))
	})
	for ; total > bodyLimit; withBody = withBody[1:] {
		r := withBody[0]
		total -= len(r.Body)
		r.Reason, r.Body = droppedReason(ending{r.Outcome, r.Reason}), nil
		n.requests[r.Identity] = r
	}
	for id, r := range n.requests {
		if gone(r.Changed) {
			delete(n.requests, id)
		}
	}
	for id, j := range n.jobs {
		if j.State == job.Ended && gone(j.Changed) {
			delete(n.jobs, id)
		}
	}
}

func (n *naiveFold) one(offset int64, writer string, e envelope) string {
	switch r := e.record.(type) {
	case ConfigurationPublished:
		if v := n.configuration.Version; r.Base != v {
			return fmt.Sprintf("based on version %d, but version %d is in force", r.Base, v)
		}
		n.configuration = organisation.Configuration{Version: offset, Organisations: r.Organisations, Plans: r.Plans}
	case Audit:
		n.audit = append(n.audit, AuditEntry{offset, e.time, r})
		n.audit = n.audit[max(0, len(n.audit)-1000):]
	case RequestClaimed:
		if known, ok := n.requests[r.Identity]; ok {
			return fmt.Sprintf("claimed by %s at offset %d", known.Writer, known.Claim)
		}
		n.requests[r.Identity] = RequestState{Identity: r.Identity, Writer: writer, Claim: offset, Deadline: r.Deadline, Changed: n.now}
	case RequestFinished:
		known, reason := n.open(r.Identity, writer)
		if reason != "" {
			return reason
		}
		known.Outcome, known.Reason, known.Body, known.Changed = r.Outcome, r.Reason, r.Body, n.now
		n.requests[r.Identity] = known
	case RequestAbandoned:
		_, reason := n.open(r.Identity, writer)
		if reason == "" {
			delete(n.requests, r.Identity)
		}
		return reason
	case Unreadable:
		return r.Reason
	case JobSubmitted:
		if _, ok := n.jobs[r.Job.Identity]; ok {
			return "a job with this identity exists"
		}
		n.jobs[r.Job.Identity] = JobState{Job: r.Job, Submitted: offset, Changed: n.now}
	default:
		return n.jobRecord(offset, writer, e)
	}
	return ""
}

// note keeps every step of every job.
func (n *naiveFold) note(offset int64, e envelope) {
	add := func(id request.Identity, action, reason string) {
		j := n.jobs[id]
		after := j.State.String()
		if j.State == job.Ended {
			after = j.Outcome.String()
		}
		n.history[id] = append(n.history[id], HistoryEntry{offset, e.time, action, reason, after})
	}
	switch r := e.record.(type) {
	case JobSubmitted:
		n.history[r.Job.Identity] = nil
	case JobReleased:
		add(r.Identity, "release", r.Reason)
	case JobEnded:
		add(r.Identity, "end", r.Reason)
	case JobCancelled:
		add(r.Identity, "cancel", "cancelled by the caller")
	case Audit:
		for id := range n.jobs {
			if id.String() == r.Subject {
				n.history[id] = append(n.history[id], HistoryEntry{offset, e.time, r.Action, r.Reason, r.After})
			}
		}
	}
}

func (n *naiveFold) open(id request.Identity, writer string) (RequestState, string) {
	known, ok := n.requests[id]
	if !ok {
		return known, "no such claim"
	}
	if known.Writer != writer {
		return known, "claimed by " + known.Writer
	}
	if known.Outcome != request.Pending {
		return known, "the request is finished"
	}
	return known, ""
}

func (n *naiveFold) jobRecord(offset int64, writer string, e envelope) string {
	var id request.Identity
	var claim int64
	switch r := e.record.(type) {
	case JobClaimed:
		id = r.Identity
	case JobRunning:
		id, claim = r.Identity, r.Claim
	case JobReleased:
		id, claim = r.Identity, r.Claim
	case JobEnded:
		id, claim = r.Identity, r.Claim
	case JobCancelled:
		id = r.Identity
	default:
		return ""
	}
	j, ok := n.jobs[id]
	if !ok {
		return "no such job"
	}
	reason := n.step(&j, offset, writer, claim, e)
	if reason == "" {
		j.Changed = n.now
		n.jobs[id] = j
	}
	return reason
}

func (n *naiveFold) step(j *JobState, offset int64, writer string, claim int64, e envelope) string {
	const ended, notInForce = "the job has ended", "the claim is not in force"
	end := func(o request.Outcome, reason string) {
		j.State, j.Outcome, j.Reason, j.Claim, j.Workers = job.Ended, o, reason, 0, nil
	}
	cancelled := func() {
		if j.Started.IsZero() && j.Failures == 0 {
			end(request.NotRun, "cancelled by the caller")
		} else {
			end(request.Failed, "cancelled by the caller")
		}
	}
	holds := claim != 0 && claim == j.Claim
	switch r := e.record.(type) {
	case JobClaimed:
		if j.State == job.Ended {
			return ended
		}
		if r.Supersedes != j.Claim {
			if j.State == job.Queued {
				return "the superseded claim was released"
			}
			return fmt.Sprintf("claimed by %s at offset %d", j.Claimant, j.Claim)
		}
		if len(r.Workers) != j.Job.Shape.Members {
			return "a claim names one worker for each member"
		}
		j.State, j.Claim, j.Claimant, j.DataCentre, j.Workers = job.Claimed, offset, writer, r.DataCentre, r.Workers
		j.Attempt++
	case JobRunning:
		if !holds {
			return notInForce
		}
		if j.State == job.Running {
			return "the job runs already"
		}
		j.State, j.Started = job.Running, e.time
	case JobReleased:
		if !holds {
			return notInForce
		}
		lost := r.Started && !r.Checkpointed
		if lost {
			j.Failures++
		}
		if r.Checkpointed {
			j.Progress = r.Progress
		}
		if lost && !j.Job.Idempotent {
			end(request.Unknown, r.Reason)
		} else if j.CancelRequested {
			cancelled()
		} else if j.Failures == 3 {
			end(request.Failed, "3 attempts failed, the last one: "+r.Reason)
		} else {
			j.State, j.Claim, j.Claimant, j.Workers, j.Reason = job.Queued, 0, "", nil, r.Reason
		}
	case JobEnded:
		if j.State == job.Ended {
			return ended
		}
		if r.Claim != j.Claim {
			return notInForce
		}
		end(r.Outcome, r.Reason)
	case JobCancelled:
		if j.State == job.Ended {
			return ended
		}
		if j.State == job.Queued {
			cancelled()
		} else {
			j.CancelRequested = true
		}
	}
	return ""
}
