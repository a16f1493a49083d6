package agent

import (
	"context"
	"errors"
	"time"

	"wasabihoist/internal/traffic/minion"
	"wasabihoist/internal/traffic/request"
)

const (
	// askTimeout bounds one question to the minion by identity.
	askTimeout = 500 * time.Millisecond
	// askPause is the pause between questions after an answer was lost.
	askPause = 100 * time.Millisecond
	// After notKnownLimit answers that the minion does not know a request whose
	// answer was lost, nothing more is to be learned.
	notKnownLimit = 3
)

// attempt is one exchange of a request with the minion.
type attempt struct {
	server   *Server
	request  request.Request
	minion   minionState
	notKnown int // notKnown counts answers that the minion does not know the request.
}

type workResult struct {
	answer minion.Answer
	err    error
}

// exchange runs a request on the minion and returns its answer. When the
// answer does not come or does not match, the minion is asked by identity; the
// request is not sent again.
func (s *Server) exchange(ctx context.Context, q request.Request) request.Answer {
	s.mu.Lock()
	a := &attempt{server: s, request: q, minion: s.minion}
	s.mu.Unlock()
	if !a.minion.up {
		return s.notRunHere(q, reasonNoMinion)
	}
	base := a.minion.life
	if q.Idempotent {
		base = a.minion.health
	}
	work, cancel := context.WithDeadline(base, q.Deadline)
	defer cancel()
	if work.Err() != nil {
		return s.notRunHere(q, "the deadline has passed")
	}
	results := make(chan workResult, 1)
	s.mu.Lock()
	sent := s.spawn("work", func(context.Context) {
		answer, err := a.minion.client.Run(work, a.work())
		results <- workResult{answer, err}
	})
	s.mu.Unlock()
	if !sent {
		return s.notRunHere(q, reasonStopping)
	}
	answer := a.await(work, results)
	if answer.Outcome == request.Unknown && ctx.Err() == nil {
		return a.lastQuestion(ctx, answer)
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

// await waits for the result and asks by identity while it does not come.
func (a *attempt) await(work context.Context, results <-chan workResult) request.Answer {
	interval := a.server.options.AskAfter
	lost := false
	for {
		timer := time.NewTimer(interval)
		select {
		case r := <-results:
			timer.Stop()
			if answer, ok := a.judge(r); ok {
				return answer
			}
			lost = true
			results = nil
			interval = askPause
		case <-timer.C:
		case <-work.Done():
			timer.Stop()
			return a.end(results)
		}
		answer, ok := a.ask(work, lost)
		if ok {
			return answer
		}
	}
}

// end handles the end of an exchange without an answer. The result of the
// exchange may still prove that nothing was sent.
func (a *attempt) end(results <-chan workResult) request.Answer {
	if results != nil {
		if answer, ok := a.judge(<-results); ok {
			return answer
		}
	}
	return a.server.answer(a.request.Identity, request.Unknown, "the minion has not answered")
}

// judge converts a result that says what became of the request.
func (a *attempt) judge(r workResult) (request.Answer, bool) {
	switch {
	case r.err == nil:
		return a.answered(r.answer), true
	case errors.Is(r.err, minion.ErrNotSent), errors.Is(r.err, minion.ErrRefused):
		return a.server.notRunHere(a.request, r.err.Error()), true
	case errors.Is(r.err, minion.ErrMismatch), errors.Is(r.err, minion.ErrTruncated):
		a.server.Counters.Discarded.Add(1)
	}
	return request.Answer{}, false
}

// ask asks the minion by identity. Any incarnation may answer: it knows only
// requests that it ran itself.
func (a *attempt) ask(ctx context.Context, lost bool) (request.Answer, bool) {
	a.server.Counters.AskedAgain.Add(1)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := a.minion.client.Lookup(ctx, a.request.Identity, 0)
	if err == nil {
		return a.answered(answer), true
	}
	if lost && errors.Is(err, minion.ErrUnknownRequest) {
		a.notKnown++
	}
	if a.notKnown >= notKnownLimit {
		return a.server.answer(a.request.Identity, request.Unknown, "the minion does not know the request"), true
	}
	return request.Answer{}, false
}

// lastQuestion asks once more when the exchange ended before the deadline,
// because the minion was replaced or was taken for unavailable.
func (a *attempt) lastQuestion(ctx context.Context, unknown request.Answer) request.Answer {
	if a.notKnown >= notKnownLimit || !time.Now().Before(a.request.Deadline) {
		return unknown
	}
	ctx, cancel := context.WithDeadline(ctx, a.request.Deadline)
	defer cancel()
	if answer, ok := a.ask(ctx, true); ok {
		return answer
	}
	return unknown
}

func (a *attempt) answered(m minion.Answer) request.Answer {
	answer := a.server.answer(a.request.Identity, request.Done, "")
	if m.Failed {
		answer.Outcome = request.Failed
		answer.Reason = "the minion reported a failure"
	}
	answer.Body = m.Body
	answer.Incarnation = m.Incarnation
	return answer
}

// notRunHere returns a retryable NotRun answer for a request that was proved
// not to run on the minion.
func (s *Server) notRunHere(q request.Request, reason string) request.Answer {
	a := s.answer(q.Identity, request.NotRun, reason)
	a.Retryable = time.Now().Before(q.Deadline)
	return a
}
