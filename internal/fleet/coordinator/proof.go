package coordinator

import (
	"time"

	"wasabihoist/internal/fleet/host"
)

const (
	// stopMargin is added to TaskStopTimeout before a run that was stopped
	// counts as ended.
	stopMargin = 200 * time.Millisecond
	// formerStartWindow is how long after the begin of a term a start of the
	// former one may be carried out: its placement may just have become durable.
	formerStartWindow = appendTimeout + startTimeout + startValidity + leaseExpiryMargin
)

// startTries tracks the tries of the start of a run. A reply settles only its own
// try: an earlier try without a reply may have started the run, or may still do
// so.
type startTries struct {
	sent      int
	open      int           // open counts the tries without a reply.
	openUntil time.Duration // openUntil is when the deadline of the last try has certainly passed.
}

func (s *startTries) send(at time.Duration) {
	s.sent++
	s.open++
	s.openUntil = at + maxLeaseDuration(startValidity)
}

func (s *startTries) settle() { s.open-- }

// mayHaveStarted reports whether the run may exist although no reply confirms it.
func (s *startTries) mayHaveStarted() bool { return s.open > 0 }

// mayArrive reports whether a try may still be carried out. That may be by the
// next incarnation of the minion, because a start names only the minion's id.
func (s *startTries) mayArrive(at time.Duration) bool { return s.open > 0 && at <= s.openUntil }

// provenEnded reports whether a run that is missing from a status report
// requested at sent has certainly ended or never started. A run that is being
// stopped is not reported until it has ended; an adopted one may have been
// stopped by a former term until the minion knew the token of this one.
func (t *term) provenEnded(r *run, sent time.Duration) bool {
	stopTimeout := t.settings().TaskStopTimeout + stopMargin
	switch {
	case r.phase == adopted:
		return r.host.fencedAt != 0 && r.host.fencedAt+stopTimeout < sent
	case r.attempt.stopping:
		return r.stopAnswered != 0 && r.stopAnswered+stopTimeout < sent
	default:
		return r.startAnswered != 0 && r.startAnswered < sent
	}
}

// loseGoneRuns gives up the runs on a host without a minion. A run whose start
// may still arrive at the next incarnation is stopped instead. It is given up
// once that incarnation has answered the stop or the start can't arrive any
// more.
func (t *term) loseGoneRuns(h *hostState) {
	const reason = "the minion is gone"
	for _, r := range runsOf(h) {
		if r.tries.mayArrive(now()) {
			t.stopAttempt(r.attempt, reason)
		} else {
			t.loseRun(r, reason)
		}
	}
}

// reassignOrLose handles a run of a former incarnation of the minion. The run is
// given up if that incarnation has reported it. Its start may have been, or may
// still be, carried out by the present incarnation otherwise, and also if
// another try may still arrive. Then only a reply of the present incarnation
// proves that the run does not exist.
func (t *term) reassignOrLose(r *run) {
	mayArrive := r.tries.mayArrive(now())
	if host.IncarnationID(r.minion) != r.host.minion.ID || r.reported && !mayArrive {
		t.loseRun(r, "the minion has been restarted")
		return
	}
	r.minion = r.host.minion.Incarnation()
	if !mayArrive {
		return
	}
	r.reported, r.startAnswered = false, 0
	if r.stopAnswered != 0 {
		r.stopAnswered, r.stopSent = 0, false
	}
	switch {
	case r.attempt.stopping:
		t.sendStop(r)
	case r.phase == running: // No further try follows.
		t.stopAttempt(r.attempt, "the minion has been restarted")
	}
}
