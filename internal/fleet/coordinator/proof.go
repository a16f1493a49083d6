package coordinator

import (
	"errors"
	"slices"
	"time"

	"wasabihoist/internal/fleet/host"
)

const (
	// stopMargin is added to TaskStopTimeout before a run that was stopped
	// counts as ended.
	stopMargin = 200 * time.Millisecond
)

// startTries counts the tries of the start of a run. A refusal proves only that
// its own try had no effect: an earlier try without a reply may have started the
// run, or may still do so.
type startTries struct {
	sent int
	open int // open counts the tries that were not refused.
}

func (s *startTries) send() {
	s.sent++
	s.open++
}

func (s *startTries) refuse() { s.open-- }

// mayHaveStarted reports whether the run may exist, now or later, as far as the
// replies to its start tell.
func (s *startTries) mayHaveStarted() bool { return s.open > 0 }

// refusals are the replies to a start that prove that the try had no effect.
var refusals = []error{
	host.ErrStartTooLate, host.ErrNoCapacity, host.ErrUnhealthy, host.ErrDraining, host.ErrOtherIncarnation, host.ErrMalformed, host.ErrInvalidTicket,
}

func isRefusal(err error) bool {
	return slices.ContainsFunc(refusals, func(refusal error) bool { return errors.Is(err, refusal) })
}

// provenEnded reports whether a run that is missing from a status report
// requested at sent has certainly ended or never started. A run that is being
// stopped is not reported until it has ended; an adopted one may have been
// stopped by a former term.
func (t *term) provenEnded(r *run, sent time.Duration) bool {
	stopTimeout := t.settings().TaskStopTimeout + stopMargin
	switch {
	case r.phase == adopted:
		return t.begunAt+stopTimeout < sent
	case r.attempt.stopping:
		return r.stopAnswered != 0 && r.stopAnswered+stopTimeout < sent
	default:
		return r.startAnswered != 0 && r.startAnswered < sent
	}
}
