package routing

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"wasabihoist/internal/traffic/request"
)

// run is one request on its way to an answer.
type run struct {
	client    *Client
	request   request.Request
	tried     map[string]bool // tried agents are not chosen again in this round.
	attempts  int
	uncertain bool           // uncertain runs had an attempt that may have run; they never end as NotRun.
	last      request.Answer // last is the last proved NotRun answer.

	unavailable bool // unavailable is set when the last agent was not reached or takes no work.
}

// complete tries agents until there is an answer.
func (r *run) complete(ctx context.Context) request.Answer {
	if answer, ok := r.recorded(); ok {
		return answer
	}
	for {
		a, ok := r.choose()
		if !ok {
			return r.giveUp("no agent is available")
		}
		answer, final := r.try(ctx, a)
		if final {
			return answer
		}
		if !time.Now().Before(r.request.Deadline) || ctx.Err() != nil {
			return r.giveUp("the deadline has passed")
		}
		if !r.retry(ctx) {
			return r.giveUp("the retry budget is used up")
		}
	}
}

// recorded returns the outcome in the journal.
func (r *run) recorded() (request.Answer, bool) {
	if r.request.Idempotent {
		return request.Answer{}, false
	}
	state, ok := r.client.journal.Request(r.request.Identity)
	if !ok || state.Outcome == request.Pending {
		return request.Answer{}, false
	}
	return answerFromState(state), true
}

// choose starts another round when all agents have been tried.
func (r *run) choose() (Agent, bool) {
	a, ok := r.client.chooser.choose(r.request, r.usable)
	if !ok && len(r.tried) > 0 {
		clear(r.tried)
		a, ok = r.client.chooser.choose(r.request, r.usable)
	}
	if !ok {
		return a, false
	}
	r.tried[a.Name] = true
	if r.client.chooser.tierOf(a) == remote {
		r.client.exchanger.link.add(-r.cost(), time.Now())
	}
	return a, true
}

// usable leaves out agents that were tried, and remote ones while the cap on the
// region link is reached.
func (r *run) usable(a Agent, t tier) bool {
	if r.tried[a.Name] {
		return false
	}
	if t != remote || r.client.exchanger.link.has(r.cost(), time.Now()) {
		return true
	}
	r.client.Counters.LinkFull.Add(1)
	return false
}

// cost is the size of the request on the region link in bytes.
func (r *run) cost() float64 { return float64(len(r.request.Body) + replyOverhead) }

// retry waits with jitter, if another attempt is allowed. The first few
// attempts after proved refusals are not counted in the budget, because a
// refusal costs the agent next to nothing. While agents are unavailable, and
// after a lost reply to an idempotent request, the request waits for the budget
// until its deadline; when queues are full, it is refused at once.
func (r *run) retry(ctx context.Context) bool {
	if !r.uncertain && r.attempts <= r.client.options.FreeRetries {
		r.pause(ctx)
		return true
	}
	for !r.client.budget.Take(time.Now()) {
		if (!r.uncertain && !r.unavailable) || ctx.Err() != nil || !time.Now().Before(r.request.Deadline) {
			r.client.Counters.DeniedRetries.Add(1)
			return false
		}
		r.pause(ctx)
	}
	r.client.Counters.Retries.Add(1)
	r.pause(ctx)
	return true
}

// pause waits for a random time that grows with the number of attempts.
func (r *run) pause(ctx context.Context) {
	longest := min(r.client.options.MaxBackoff, r.client.options.BaseBackoff<<min(r.attempts, 10))
	timer := time.NewTimer(rand.N(longest) + time.Millisecond)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// giveUp returns the answer when no attempt has given one.
func (r *run) giveUp(reason string) request.Answer {
	switch {
	case r.uncertain:
		return request.Answer{Identity: r.request.Identity, Outcome: request.Unknown, Reason: reason}
	case r.last.Outcome == request.NotRun:
		return r.last
	}
	return request.Answer{Identity: r.request.Identity, Outcome: request.NotRun, Reason: reason, Retryable: true}
}

// try makes one attempt at an agent and reports whether the answer is final.
func (r *run) try(ctx context.Context, a Agent) (request.Answer, bool) {
	answer, err := r.client.exchanger.run(ctx, a, r.request, r.httpClient())
	r.attempts++
	r.unavailable = false
	if err == nil {
		return r.judge(a, answer)
	}
	// A refusing agent has a low load, which would attract more requests.
	r.client.chooser.failed(a)
	switch {
	case errors.Is(err, errNotSent), errors.Is(err, errLeaving):
		r.unavailable = true
		r.last = r.notRun(err.Error(), true)
		return request.Answer{}, false
	case errors.Is(err, errInvalid):
		return r.notRun(err.Error(), false), !r.uncertain
	}
	r.count(err)
	r.uncertain = true
	switch {
	case !r.request.Idempotent:
		return r.resolve(ctx, a, err), true
	case errors.Is(err, errSilent):
		return request.Answer{}, false
	}
	return r.askAgain(ctx, a)
}

// httpClient uses fresh connections for retries.
func (r *run) httpClient() *http.Client {
	if r.attempts == 0 {
		return r.client.exchanger.kept
	}
	return r.client.exchanger.fresh
}

func (r *run) count(err error) {
	if errors.Is(err, errCrossed) || errors.Is(err, errTruncated) {
		r.client.Counters.DiscardedReplies.Add(1)
		return
	}
	r.client.Counters.LostReplies.Add(1)
}

func (r *run) notRun(reason string, retryable bool) request.Answer {
	return request.Answer{Identity: r.request.Identity, Outcome: request.NotRun, Reason: reason, Retryable: retryable}
}

// judge reports whether a reply is the final answer of the request.
func (r *run) judge(a Agent, answer request.Answer) (request.Answer, bool) {
	switch {
	case answer.Outcome == request.NotRun && answer.Retryable:
		r.last = answer
		return answer, false
	case answer.Outcome == request.NotRun:
		if r.uncertain {
			return r.giveUp(answer.Reason), true
		}
		return answer, true
	case answer.Outcome == request.Unknown && r.request.Idempotent:
		r.client.chooser.failed(a)
		r.uncertain = true
		return answer, false
	case answer.Outcome == request.Pending:
		r.uncertain = true
		return r.giveUp(answer.Reason), true
	}
	return answer, true
}

// askAgain asks an agent for the answer of an idempotent request, as long as
// the agent says that the request is running.
func (r *run) askAgain(ctx context.Context, a Agent) (request.Answer, bool) {
	for ctx.Err() == nil {
		answer, found, err := r.client.exchanger.lookup(ctx, a, r.request.Identity)
		if err != nil || !found {
			return request.Answer{}, false
		}
		if answer.Outcome != request.Pending {
			return r.judge(a, answer)
		}
		r.pause(ctx)
	}
	return request.Answer{}, false
}

// resolve finds out what became of a non-idempotent request whose reply was
// lost. It asks the agent and reads the journal until the deadline. When
// neither knows the request, it is sent again, to the same agent or, when that
// is silent or has refused it, to another one: the identity and the claim make
// sure that it does not run twice.
func (r *run) resolve(ctx context.Context, a Agent, lost error) request.Answer {
	refused := false
	for ctx.Err() == nil {
		if answer, ok := r.recorded(); ok {
			return answer
		}
		changed := r.client.journal.Watch()
		answer, found, err := request.Answer{}, false, lost
		if !errors.Is(lost, errSilent) {
			answer, found, err = r.client.exchanger.lookup(ctx, a, r.request.Identity)
		}
		lost = nil
		if (err != nil || !found) && r.unclaimed() && r.client.budget.Take(time.Now()) {
			if err != nil || refused {
				a = r.another(a)
			}
			r.client.Counters.Retries.Add(1)
			answer, err = r.client.exchanger.run(ctx, a, r.request, r.client.exchanger.fresh)
			found, lost = true, err
			refused = err != nil || answer.Outcome == request.NotRun
		}
		if err == nil && found && answer.Outcome != request.Pending && answer.Outcome != request.NotRun {
			return answer
		}
		r.attempts++
		r.pauseOrChange(ctx, changed)
	}
	return r.giveUp("the reply was lost, and neither the agent nor the journal has the outcome")
}

// another chooses an agent in place of one that does not reply, which stays the
// choice when there is no other.
func (r *run) another(a Agent) Agent {
	r.client.chooser.failed(a)
	if next, ok := r.choose(); ok {
		return next
	}
	return a
}

func (r *run) unclaimed() bool {
	_, claimed := r.client.journal.Request(r.request.Identity)
	return !claimed && time.Now().Before(r.request.Deadline)
}

// pauseOrChange waits for a pause or for a change of the journal.
func (r *run) pauseOrChange(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(r.client.options.MaxBackoff/2 + rand.N(r.client.options.MaxBackoff))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
