package coordinator

import (
	"time"

	"wasabihoist/internal/fleet/host"
)

const (
	// stopMargin is added to TaskStopTimeout before a run that was stopped
	// counts as ended.
	stopMargin = 200 * time.Millisecond
	// formerStartWindow is how long after the begin of a term the former one may
	// send a start. It sends none later than that after the store confirmed it, and
	// its placement may just have become durable.
	formerStartWindow = appendTimeout + startTimeout + callRetryDelay
	// lateCallWindow is how long after it was sent a call without a reply may be
	// carried out.
	lateCallWindow = 13 * time.Second
)

// startTries tracks the tries of the start of a run. A reply settles only its own
// try: an earlier try without a reply may have started the run, or may still do
// so.
type startTries struct {
	sent      int
	open      int           // open counts the tries without a reply.
	openUntil time.Duration // openUntil is when the deadline of the last try has certainly passed.
	lateUntil time.Duration // lateUntil is openUntil for the next incarnations, whose clocks start anew, so that the deadline does not bind them.
}

func (s *startTries) send(at time.Duration) {
	s.sent++
	s.open++
	s.openUntil = at + maxLeaseDuration(startValidity)
	s.lateUntil = at + lateCallWindow
}

func (s *startTries) settle() { s.open-- }

// mayHaveStarted reports whether the run may exist although no reply confirms it.
func (s *startTries) mayHaveStarted() bool { return s.open > 0 }

// mayArrive reports whether a try could still be carried out at a time by the
// incarnation of the minion for which it is meant.
func (s *startTries) mayArrive(at time.Duration) bool { return s.open > 0 && at <= s.openUntil }

// mayReachNext reports whether a try could still be carried out at a time by a next
// incarnation of the minion, because a start names only the minion's id.
func (s *startTries) mayReachNext(at time.Duration) bool { return s.open > 0 && at <= s.lateUntil }

// formerTries returns the tries of a term that ended when another one began at a
// time.
func formerTries(begunAt time.Duration) startTries {
	until := begunAt + formerStartWindow + maxLeaseDuration(startValidity)
	return startTries{open: 1, openUntil: until, lateUntil: until}
}

// startSettled reports whether the run can't be started any more after a status
// report requested at sent, if that does not list it: the minion knows the run
// and refuses to start it again, or no try can arrive any more. Starts of former
// terms are refused once the minion has seen the token of this one.
func (r *run) startSettled(sent time.Duration) bool {
	answered := func(at time.Duration) bool { return at != 0 && at < sent }
	switch {
	case r.phase == adopted, r.reported, answered(r.startAnswered), answered(r.stopAnswered):
		return true
	default:
		return r.tries.sent > 0 && r.startAnswered == 0 && !r.tries.mayArrive(sent)
	}
}

// provenEnded reports whether a run that is missing from a status report requested
// at sent has certainly ended or never started. A run that is being stopped, by
// this term or by a former one before the minion knew the token of this one, is
// missing until it has ended.
func (t *term) provenEnded(r *run, sent time.Duration) bool {
	if !r.startSettled(sent) {
		return false
	}
	if r.phase != adopted && !r.attempt.stopping {
		return true
	}
	ended := func(since time.Duration) bool { return since != 0 && since+t.stopTimeout() < sent }
	return ended(r.stopAnswered) || ended(r.missingSince)
}

// stopTimeout returns how long a run may be missing from status reports before it
// has ended.
func (t *term) stopTimeout() time.Duration { return t.settings().TaskStopTimeout + stopMargin }

// loseMissingRuns gives up the runs that are missing from a status report requested
// at sent and have certainly ended or never started. A full report may leave out
// ended runs, so it proves nothing.
func (t *term) loseMissingRuns(h *hostState, report host.StatusReport, sent time.Duration) {
	if len(report.EndedRuns) >= host.MaxEndedRuns {
		return
	}
	listed := listedRuns(report)
	for _, r := range runsOf(h) {
		switch {
		case listed[runKey{r.task, r.number}] || !r.startSettled(sent):
			r.missingSince = 0
		case t.provenEnded(r, sent):
			if r.tries.open > 0 && !r.reported {
				h.health.recordRefusal(now()) // Its minion answers no starts.
			}
			if r.tries.sent > 0 && !r.reported && !r.attempt.stopping {
				t.delayTask(r) // Its start was refused as that of an ended run, or has come to nothing.
			}
			t.loseRun(r, "the minion does not report it")
		case r.missingSince == 0:
			r.missingSince = now()
		}
	}
}

func listedRuns(report host.StatusReport) map[runKey]bool {
	listed := make(map[runKey]bool, len(report.Running)+len(report.EndedRuns))
	for _, r := range report.Running {
		listed[runKey{r.Task, r.Number}] = true
	}
	for _, e := range report.EndedRuns {
		listed[runKey{e.Task, e.Number}] = true
	}
	return listed
}

// loseFormerRuns handles the runs of former incarnations of the minion after a
// status report of the present one. A run is given up if a former incarnation has
// reported it. The start of any other run, or another try of it, may have been,
// or may still be, carried out by the present incarnation under the same id.
// Such a run counts as one of the present incarnation.
func (t *term) loseFormerRuns(h *hostState, report host.StatusReport, sent time.Duration) {
	listed := listedRuns(report)
	for _, r := range runsOf(h) {
		if r.minion == h.incarnation() {
			continue
		}
		mayArrive, running := r.tries.mayReachNext(sent), listed[runKey{r.task, r.number}]
		if host.IncarnationID(r.minion) != h.minion.ID || r.reported && !mayArrive && !running {
			t.loseRun(r, "the minion has been restarted")
			continue
		}
		retried := r.phase == starting && r.startAnswered == 0 // The next try goes to the present incarnation.
		t.reassignRun(r, mayArrive)
		if mayArrive && !running && !retried {
			t.stopAttempt(r.attempt, "its start may still reach the restarted minion")
		}
	}
}

// reassignRun attributes a run to the present incarnation of its minion. What the
// former one has answered proves nothing about a try that may still arrive.
func (t *term) reassignRun(r *run, mayArrive bool) {
	r.minion = r.host.incarnation()
	r.reported, r.missingSince = false, 0
	r.tries.openUntil = r.tries.lateUntil
	if mayArrive {
		r.startAnswered = 0
	}
	if r.stopAnswered != 0 {
		r.stopAnswered, r.stopSent = 0, false
	}
	if r.attempt.stopping {
		t.sendStop(r)
	}
}

// loseRunsBefore gives up the reported runs of an incarnation that started before
// the one that answers, whose report was requested at sent and tells no more of
// the minion than its start.
func (t *term) loseRunsBefore(h *hostState, report host.StatusReport, sent time.Duration) {
	if h.minion.ID == "" || !h.minion.StartedAt.Before(report.Minion.StartedAt) {
		return
	}
	listed := listedRuns(report)
	for _, r := range runsOf(h) {
		if r.minion == h.incarnation() && r.reported && !r.tries.mayReachNext(sent) && !listed[runKey{r.task, r.number}] {
			t.loseRun(r, "the minion has been restarted")
		}
	}
}

// formerRunsEnd is when every run that a former term has started has certainly
// ended, unless this term has renewed its lease.
func (t *term) formerRunsEnd() time.Duration {
	return max(t.formerLeasesEnd(), formerTries(t.begunAt).openUntil)
}

// formerLeasesEnd is when every lease that a former term has renewed has
// certainly expired.
func (t *term) formerLeasesEnd() time.Duration {
	return t.begunAt + confirmationValidity + maxLeaseDuration(t.settings().MaxLease)
}

// mayHaveUnknownRuns reports whether a run of a former term may exist that the
// progress of its job doesn't name, because the ledger has a record that can't be
// used. The runs that are reported are stopped as unexpected ones. Any other has
// ended by formerRunsEnd, or with the leases of a host that has been silent since
// this term renewed them.
func (t *term) mayHaveUnknownRuns(j *jobState, at time.Duration) bool {
	if !j.progressUnknown {
		return false
	}
	end := t.formerRunsEnd()
	if at <= end {
		return true
	}
	for _, h := range t.hosts {
		if h.lastContact <= end && at <= h.leaseExpiry {
			return true
		}
		for key := range h.unexpected {
			if key.task.Job == j.job.ID {
				return true
			}
		}
	}
	return false
}
