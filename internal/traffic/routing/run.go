package routing

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"wasabihoist/internal/traffic/request"
)

// submission is one call of Client.Run, with the state of its attempts.
type submission struct {
	client      *Client
	request     request.Request
	tried       map[string]bool // tried is the set of names of agents that are not chosen again in this round.
	attempts    int
	mayHaveRun  bool           // mayHaveRun is set after an attempt that may have run; the outcome is then never NotRun.
	lastRefusal request.Answer // lastRefusal is the last retryable NotRun answer; it has no outcome before the first one.

	unavailable bool // unavailable is set if the last agent was not reached or accepts no work.
}

// attemptAll makes attempts at agents until there is an answer, the deadline
// passes or no retry is allowed.
func (r *submission) attemptAll(ctx context.Context) request.Answer {
	if answer, ok := r.journalAnswer(); ok {
		return answer
	}
	for {
		a, ok := r.choose()
		if !ok {
			return r.giveUp("no agent is available")
		}
		answer, final := r.attempt(ctx, a)
		if final {
			return answer
		}
		if !time.Now().Before(r.request.Deadline) || ctx.Err() != nil {
			return r.giveUp("the deadline has passed")
		}
		if !r.awaitRetry(ctx) {
			return r.giveUp("the retry budget is used up")
		}
	}
}

// journalAnswer returns the answer in the journal. Only non-idempotent requests
// are recorded there.
func (r *submission) journalAnswer() (request.Answer, bool) {
	if r.request.Idempotent {
		return request.Answer{}, false
	}
	state, ok := r.client.journal.Request(r.request.Identity)
	if !ok || state.Outcome == request.Pending {
		return request.Answer{}, false
	}
	return answerFromRequestState(state), true
}

// choose returns an agent that was not tried in this round, and starts another
// round when all have been tried. For a remote agent it charges the request to
// the region link.
func (r *submission) choose() (Agent, bool) {
	a, ok := r.client.chooser.choose(r.request, r.isUsable)
	if !ok && len(r.tried) > 0 {
		clear(r.tried)
		a, ok = r.client.chooser.choose(r.request, r.isUsable)
	}
	if !ok {
		return a, false
	}
	r.tried[a.Name] = true
	if r.client.chooser.tierOf(a) == remote {
		r.client.exchanger.regionLink.add(-r.linkCost(), time.Now())
	}
	return a, true
}

// isUsable excludes agents that were tried in this round, and remote agents while
// the region link is at its cap.
func (r *submission) isUsable(a Agent, t tier) bool {
	if r.tried[a.Name] {
		return false
	}
	if t != remote || r.client.exchanger.regionLink.has(r.linkCost(), time.Now()) {
		return true
	}
	r.client.Counters.LinkFull.Add(1)
	return false
}

// linkCost is the approximate size of the request on the region link in bytes.
func (r *submission) linkCost() float64 { return float64(len(r.request.Body) + messageOverheadBytes) }

// awaitRetry waits for a backoff delay and reports whether another attempt is
// allowed.
//
// The first Options.FreeRetries retries after proved refusals are not taken from
// the retry budget, because a refusal costs the agent almost nothing.
//
// If the budget is empty, awaitRetry waits until the deadline for a retry after a
// lost reply to an idempotent request, or if the agent was unavailable. If the
// queue of the agent was full, it returns false immediately.
func (r *submission) awaitRetry(ctx context.Context) bool {
	if !r.mayHaveRun && r.attempts <= r.client.options.FreeRetries {
		r.backOff(ctx)
		return true
	}
	for !r.client.budget.TryTake(time.Now()) {
		if (!r.mayHaveRun && !r.unavailable) || ctx.Err() != nil || !time.Now().Before(r.request.Deadline) {
			r.client.Counters.DeniedRetries.Add(1)
			return false
		}
		r.backOff(ctx)
	}
	r.client.Counters.Retries.Add(1)
	r.backOff(ctx)
	return true
}

// backOff waits for a random time below a bound that doubles with each attempt.
// At most 10 doublings keep the shift from overflowing.
func (r *submission) backOff(ctx context.Context) {
	maxDelay := min(r.client.options.MaxBackoff, r.client.options.BaseBackoff<<min(r.attempts, 10))
	timer := time.NewTimer(rand.N(maxDelay) + time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// giveUp returns the answer of a request without a final answer of an agent:
// Unknown if an attempt may have run, otherwise NotRun.
func (r *submission) giveUp(reason string) request.Answer {
	switch {
	case r.mayHaveRun:
		return request.Answer{Identity: r.request.Identity, Outcome: request.Unknown, Reason: reason}
	case r.lastRefusal.Outcome == request.NotRun:
		return r.lastRefusal
	}
	return request.Answer{Identity: r.request.Identity, Outcome: request.NotRun, Reason: reason, Retryable: true}
}

// attempt sends the request to one agent and reports whether the answer is final.
func (r *submission) attempt(ctx context.Context, a Agent) (request.Answer, bool) {
	answer, err := r.client.exchanger.callWithLookups(ctx, a, r.request, r.httpClient())
	r.attempts++
	r.unavailable = false
	if err == nil {
		return r.handleAnswer(a, answer)
	}
	// The agent is avoided for a while: one that refuses requests has a low load and
	// would otherwise be chosen more often.
	r.client.chooser.recordFailure(a)
	switch {
	case errors.Is(err, errNotSent), errors.Is(err, errUnavailable):
		r.unavailable = true
		r.lastRefusal = r.notRun(err.Error(), true)
		return request.Answer{}, false
	case errors.Is(err, errInvalid):
		return r.notRun(err.Error(), false), !r.mayHaveRun
	}
	r.countLostReply(err)
	r.mayHaveRun = true
	switch {
	case !r.request.Idempotent:
		return r.resolveLostReply(ctx, a, err), true
	case errors.Is(err, errLookupFailed):
		return request.Answer{}, false
	}
	return r.pollAnswer(ctx, a)
}

// httpClient returns the client that opens new connections if this is a retry,
// because a shared connection may have stalled.
func (r *submission) httpClient() *http.Client {
	if r.attempts == 0 {
		return r.client.exchanger.shared
	}
	return r.client.exchanger.fresh
}

func (r *submission) countLostReply(err error) {
	if errors.Is(err, errMismatch) || errors.Is(err, errTruncated) {
		r.client.Counters.DiscardedReplies.Add(1)
		return
	}
	r.client.Counters.LostReplies.Add(1)
}

func (r *submission) notRun(reason string, retryable bool) request.Answer {
	return request.Answer{Identity: r.request.Identity, Outcome: request.NotRun, Reason: reason, Retryable: retryable}
}

// handleAnswer returns the answer of the request and reports whether it is final.
func (r *submission) handleAnswer(a Agent, answer request.Answer) (request.Answer, bool) {
	switch {
	case answer.Outcome == request.NotRun && answer.Retryable:
		r.lastRefusal = answer
		return answer, false
	case answer.Outcome == request.NotRun:
		if r.mayHaveRun {
			return r.giveUp(answer.Reason), true
		}
		return answer, true
	case answer.Outcome == request.Unknown && r.request.Idempotent:
		r.client.chooser.recordFailure(a)
		r.mayHaveRun = true
		return answer, false
	case answer.Outcome == request.Pending:
		r.mayHaveRun = true
		return r.giveUp(answer.Reason), true
	}
	return answer, true
}

// pollAnswer looks the answer of an idempotent request up at an agent until the
// agent no longer reports the request as pending.
func (r *submission) pollAnswer(ctx context.Context, a Agent) (request.Answer, bool) {
	for ctx.Err() == nil {
		answer, found, err := r.client.exchanger.lookup(ctx, a, r.request.Identity)
		if err != nil || !found {
			return request.Answer{}, false
		}
		if answer.Outcome != request.Pending {
			return r.handleAnswer(a, answer)
		}
		r.backOff(ctx)
	}
	return request.Answer{}, false
}

// resolveLostReply determines the outcome of a non-idempotent request whose reply
// was lost. It asks the agent and reads the journal until the deadline. If neither
// knows the request, it sends the request again: to the same agent, or to another
// one if that agent does not reply or has refused it. The identity and the claim
// ensure that the request does not run twice.
func (r *submission) resolveLostReply(ctx context.Context, a Agent, callErr error) request.Answer {
	refused := false
	for ctx.Err() == nil {
		if answer, ok := r.journalAnswer(); ok {
			return answer
		}
		journalChanged := r.client.journal.Watch()
		answer, found, err := request.Answer{}, false, callErr
		if !errors.Is(callErr, errLookupFailed) {
			answer, found, err = r.client.exchanger.lookup(ctx, a, r.request.Identity)
		}
		callErr = nil
		if (err != nil || !found) && r.canResend() && r.client.budget.TryTake(time.Now()) {
			if err != nil || refused {
				a = r.chooseOther(a)
			}
			r.client.Counters.Retries.Add(1)
			answer, err = r.client.exchanger.callWithLookups(ctx, a, r.request, r.client.exchanger.fresh)
			found, callErr = true, err
			refused = err != nil || answer.Outcome == request.NotRun
		}
		if err == nil && found && answer.Outcome != request.Pending && answer.Outcome != request.NotRun {
			return answer
		}
		r.attempts++
		r.awaitChangeOrBackoff(ctx, journalChanged)
	}
	return r.giveUp("the reply was lost, and neither the agent nor the journal has the outcome")
}

// chooseOther returns another agent than one that did not reply or refused the
// request, or the same agent if there is no other.
func (r *submission) chooseOther(a Agent) Agent {
	r.client.chooser.recordFailure(a)
	if next, ok := r.choose(); ok {
		return next
	}
	return a
}

// canResend reports whether no agent has claimed the request and its deadline has
// not passed.
func (r *submission) canResend() bool {
	_, claimed := r.client.journal.Request(r.request.Identity)
	return !claimed && time.Now().Before(r.request.Deadline)
}

// awaitChangeOrBackoff waits for a change of the journal, or for a random time of
// 0.5 to 1.5 times Options.MaxBackoff.
func (r *submission) awaitChangeOrBackoff(ctx context.Context, journalChanged <-chan struct{}) {
	timer := time.NewTimer(r.client.options.MaxBackoff/2 + rand.N(r.client.options.MaxBackoff))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-journalChanged:
	case <-timer.C:
	}
}
