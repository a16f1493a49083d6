package agent

import (
	"context"
	"errors"
	"time"

	"wasabihoist/internal/traffic/minion"
	"wasabihoist/internal/traffic/request"
)

const (
	// lookupTimeout bounds one lookup of an answer at the minion.
	lookupTimeout = 500 * time.Millisecond
	// lookupPause is the pause between lookups after an answer was lost.
	lookupPause = 100 * time.Millisecond
	// maxUnknownReplies is the number of replies without the request after
	// which a lost answer is not looked up any more.
	maxUnknownReplies = 3
)

// attempt is one exchange of a request with the minion.
type attempt struct {
	server         *Server
	request        request.Request
	minion         minionState
	unknownReplies int // unknownReplies counts the lookups after a lost answer in which the minion did not know the request.
}

type workResult struct {
	answer minion.Answer
	err    error
}

// exchange runs a request on the minion and returns its answer. If the answer
// is lost or does not match the request, it is looked up by identity; the
// request is never sent again.
func (s *Server) exchange(ctx context.Context, q request.Request) request.Answer {
	s.mu.Lock()
	a := &attempt{server: s, request: q, minion: s.minion}
	s.mu.Unlock()
	if !a.minion.available {
		return s.notRunOnMinion(q, reasonNoMinion)
	}
	base := a.minion.incarnationCtx
	if q.Idempotent {
		base = a.minion.availableCtx
	}
	callCtx, cancel := context.WithDeadline(base, q.Deadline)
	defer cancel()
	if callCtx.Err() != nil {
		return s.notRunOnMinion(q, "the deadline has passed")
	}
	results := make(chan workResult, 1)
	s.mu.Lock()
	sent := s.spawn("work", func(context.Context) {
		answer, err := a.minion.client.Run(callCtx, a.work())
		results <- workResult{answer, err}
	})
	s.mu.Unlock()
	if !sent {
		return s.notRunOnMinion(q, reasonStopping)
	}
	answer := a.await(callCtx, results)
	if answer.Outcome == request.Unknown && ctx.Err() == nil {
		return a.finalLookup(ctx, answer)
	}
	return answer
}

func (a *attempt) work() minion.Work {
	return minion.Work{
		Identity:      a.request.Identity,
		Kind:          a.request.Kind,
		Body:          a.request.Body,
		Incarnation:   a.minion.incarnation,
		NewConnection: !a.request.Idempotent,
	}
}

// await waits for the result of the call. It looks the answer up by identity
// while the result is missing.
func (a *attempt) await(callCtx context.Context, results <-chan workResult) request.Answer {
	interval := a.server.options.LookupDelay
	lost := false
	for {
		timer := time.NewTimer(interval)
		select {
		case r := <-results:
			timer.Stop()
			if answer, ok := a.provenAnswer(r); ok {
				return answer
			}
			lost = true
			results = nil
			interval = lookupPause
		case <-timer.C:
		case <-callCtx.Done():
			timer.Stop()
			return a.endWithoutAnswer(results)
		}
		answer, ok := a.lookup(callCtx, lost)
		if ok {
			return answer
		}
	}
}

// endWithoutAnswer returns the answer after the end of the call context. The
// result of the call may still prove that nothing was sent; otherwise the
// answer is Unknown.
func (a *attempt) endWithoutAnswer(results <-chan workResult) request.Answer {
	if results != nil {
		if answer, ok := a.provenAnswer(<-results); ok {
			return answer
		}
	}
	return a.server.answer(a.request.Identity, request.Unknown, "the minion has not answered")
}

// provenAnswer returns the answer if the result of the call proves whether the
// request ran.
func (a *attempt) provenAnswer(r workResult) (request.Answer, bool) {
	switch {
	case r.err == nil:
		return a.answerFromMinion(r.answer), true
	case errors.Is(r.err, minion.ErrNotSent), errors.Is(r.err, minion.ErrRefused):
		return a.server.notRunOnMinion(a.request, r.err.Error()), true
	case errors.Is(r.err, minion.ErrMismatch), errors.Is(r.err, minion.ErrTruncated):
		a.server.Counters.DiscardedReplies.Add(1)
	}
	return request.Answer{}, false
}

// lookup asks the minion for the answer by identity. Any incarnation may
// answer, because each knows only the requests that it ran itself. Set lost if
// the answer to the call is lost: after that, maxUnknownReplies replies that the
// minion does not know the request end the lookups with Unknown. Before that,
// the request may not have reached the minion yet.
func (a *attempt) lookup(ctx context.Context, lost bool) (request.Answer, bool) {
	a.server.Counters.Lookups.Add(1)
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	answer, err := a.minion.client.Lookup(ctx, a.request.Identity, 0)
	if err == nil {
		return a.answerFromMinion(answer), true
	}
	if lost && errors.Is(err, minion.ErrUnknownRequest) {
		a.unknownReplies++
	}
	if a.unknownReplies >= maxUnknownReplies {
		return a.server.answer(a.request.Identity, request.Unknown, "the minion does not know the request"), true
	}
	return request.Answer{}, false
}

// finalLookup looks the answer up once more if the exchange ended before the
// deadline, because the minion was replaced or became unavailable.
func (a *attempt) finalLookup(ctx context.Context, unknown request.Answer) request.Answer {
	if a.unknownReplies >= maxUnknownReplies || !time.Now().Before(a.request.Deadline) {
		return unknown
	}
	ctx, cancel := context.WithDeadline(ctx, a.request.Deadline)
	defer cancel()
	if answer, ok := a.lookup(ctx, true); ok {
		return answer
	}
	return unknown
}

func (a *attempt) answerFromMinion(m minion.Answer) request.Answer {
	answer := a.server.answer(a.request.Identity, request.Done, "")
	if m.Failed {
		answer.Outcome = request.Failed
		answer.Reason = "the minion reported a failure"
	}
	answer.Body = m.Body
	answer.Incarnation = m.Incarnation
	return answer
}

// notRunOnMinion returns a NotRun answer for a request that provably did not run
// on the minion. The answer is retryable until the deadline. Unlike notRun, it
// ignores claims of other agents.
func (s *Server) notRunOnMinion(q request.Request, reason string) request.Answer {
	a := s.answer(q.Identity, request.NotRun, reason)
	a.Retryable = time.Now().Before(q.Deadline)
	return a
}
