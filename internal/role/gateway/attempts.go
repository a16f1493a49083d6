package gateway

import (
	"context"
	"errors"

	"wasabihoist/internal/record/ledger"
)

// ErrNotSent means that a forwarded call certainly did not reach the other entry.
var ErrNotSent = errors.New("the call was not sent")

// activeCall is a call that is being served, with the attempts that were made for it.
type activeCall struct {
	Call
	attempts attempts
	forwards int // forwards is how many other entries were asked, in the order of Options.Peers.
}

// loadBody reads the body if it has not been read. It returns the answer to the call if
// the body can't be read in time.
func (c *activeCall) loadBody(ctx context.Context) *Answer {
	if c.Method != Submit || c.Body != nil || c.ReadBody == nil {
		return nil
	}
	body, answer := c.ReadBody()
	if answer != nil {
		return answer
	}
	c.Body = body
	if ctx.Err() != nil {
		return &Answer{Outcome: Refused, Reason: "the body has taken the time for the call", RetryAfter: retryAfter}
	}
	return nil
}

// attempts counts the attempts to apply a call: appends of its record and forwards to
// other entries. The result of one attempt proves nothing about another. So the client
// may only be told that its call had no effect if that is proved for each of them.
type attempts struct {
	made     int
	unproved int // unproved is the number of attempts that may have had an effect, or may still have one.
}

// run makes an attempt. The attempt is unproved until its result proves that it had no
// effect.
func (a *attempts) run(attempt func() (Answer, error)) (Answer, error) {
	a.made++
	a.unproved++
	answer, err := attempt()
	if provesNoEffect(answer, err) {
		a.unproved--
	}
	return answer, err
}

// provesNoEffect reports whether the result of an attempt proves that this attempt had
// no effect and will have none.
func provesNoEffect(answer Answer, err error) bool {
	if err != nil {
		return errors.Is(err, ledger.ErrNotDone) || errors.Is(err, ErrNotSent)
	}
	switch answer.Outcome {
	case UnknownQueue, Unauthorised, Invalid, Refused, Unavailable:
		return true
	default:
		return false
	}
}

// conclude returns the final answer to a call. An answer that denies any effect becomes
// Undecided if an attempt is unproved. Queries have no effect.
func (c *activeCall) conclude(answer Answer) Answer {
	if c.attempts.unproved == 0 || c.Method == Status || c.Method == Count {
		return answer
	}
	switch answer.Outcome {
	case Accepted, Known, UnknownJob, Counted, Undecided: // A cancellation of an unknown job is recorded.
	default:
		answer.Outcome = Undecided
		answer.Reason = "an attempt has an unknown outcome; the last answer: " + answer.Reason
		answer.RetryAfter = retryAfter
	}
	return answer
}
