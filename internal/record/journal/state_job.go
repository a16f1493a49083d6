package journal

import (
	"fmt"
	"time"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/traffic/request"
)

const (
	reasonNoJob     = "no such job"
	reasonNotClaim  = "the claim is not in force"
	reasonCancelled = "cancelled by the caller"
)

func (s *state) submitJob(offset int64, r JobSubmitted) string {
	if _, known := s.jobs[r.Job.Identity]; known {
		return "a job with this identity exists"
	}
	s.jobs[r.Job.Identity] = &JobState{Job: r.Job, State: job.Queued, Submitted: offset, Changed: s.clock.now}
	return ""
}

// changedJob replaces a job by a copy that may be changed.
func (s *state) changedJob(former *JobState) *JobState {
	changed := *former
	s.jobs[former.Job.Identity] = &changed
	return &changed
}

func (s *state) claimJob(offset int64, writer string, r JobClaimed) string {
	j := s.jobs[r.Identity]
	switch {
	case j == nil:
		return reasonNoJob
	case j.State == job.Ended:
		return "the job has ended"
	case j.State == job.Queued && r.Supersedes != 0:
		return "the superseded claim was released"
	case j.State != job.Queued && r.Supersedes != j.Claim:
		return fmt.Sprintf("claimed by %s at offset %d", j.Claimant, j.Claim)
	case len(r.Workers) != j.Job.Shape.Members:
		return "a claim names one worker for each member"
	}
	j = s.changedJob(j)
	j.State = job.Claimed
	j.Claim = offset
	j.Claimant = writer
	j.DataCentre = r.DataCentre
	j.Workers = r.Workers
	j.Attempt++
	j.Changed = s.clock.now
	return ""
}

func (s *state) runJob(r JobRunning, at time.Time) string {
	j, reason := s.claimedJob(r.Identity, r.Claim)
	if reason != "" {
		return reason
	}
	if j.State != job.Claimed {
		return "the job runs already"
	}
	j = s.changedJob(j)
	j.State = job.Running
	j.Started = at
	j.Changed = s.clock.now
	return ""
}

func (s *state) releaseJob(r JobReleased) string {
	j, reason := s.claimedJob(r.Identity, r.Claim)
	if reason != "" {
		return reason
	}
	j = s.changedJob(j)
	lost := r.Started && !r.Checkpointed
	if lost {
		j.Failures++
	}
	if r.Checkpointed {
		j.Progress = r.Progress
	}
	switch {
	case lost && !j.Job.Idempotent:
		s.finishJob(j, request.Unknown, r.Reason)
	case j.CancelRequested:
		s.finishCancelled(j)
	case j.Failures >= MaxAttempts:
		s.finishJob(j, request.Failed, fmt.Sprintf("%d attempts failed, the last one: %s", j.Failures, r.Reason))
	default:
		s.requeueJob(j, r.Reason)
	}
	return ""
}

func (s *state) requeueJob(j *JobState, reason string) {
	j.State = job.Queued
	j.Claim = 0
	j.Claimant = ""
	j.Workers = nil
	j.Reason = reason
	j.Changed = s.clock.now
}

func (s *state) endJob(r JobEnded) string {
	j := s.jobs[r.Identity]
	switch {
	case j == nil:
		return reasonNoJob
	case j.State == job.Ended:
		return "the job has ended"
	case j.Claim != r.Claim:
		return reasonNotClaim
	}
	s.finishJob(s.changedJob(j), r.Outcome, r.Reason)
	return ""
}

func (s *state) cancelJob(r JobCancelled) string {
	j := s.jobs[r.Identity]
	switch {
	case j == nil:
		return reasonNoJob
	case j.State == job.Ended:
		return "the job has ended"
	case j.State == job.Queued:
		s.finishCancelled(s.changedJob(j))
	default:
		j = s.changedJob(j)
		j.CancelRequested = true
		j.Changed = s.clock.now
	}
	return ""
}

// finishCancelled ends a job that no longer runs. A job of which an earlier
// attempt ran has failed; it cannot be called not run.
func (s *state) finishCancelled(j *JobState) {
	ran := !j.Started.IsZero() || j.Failures > 0
	if ran {
		s.finishJob(j, request.Failed, reasonCancelled)
		return
	}
	s.finishJob(j, request.NotRun, reasonCancelled)
}

func (s *state) finishJob(j *JobState, outcome request.Outcome, reason string) {
	j.State = job.Ended
	j.Outcome = outcome
	j.Reason = reason
	j.Claim = 0
	j.Workers = nil
	j.Changed = s.clock.now
	s.scheduleEviction(j.Job.Identity)
}

func (s *state) claimedJob(id request.Identity, claim int64) (*JobState, string) {
	j := s.jobs[id]
	if j == nil {
		return nil, reasonNoJob
	}
	if claim == 0 || j.Claim != claim {
		return nil, reasonNotClaim
	}
	return j, ""
}
