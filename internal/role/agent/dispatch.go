package agent

import (
	"context"
	"time"

	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/traffic/request"
)

// idleCheck is how often the dispatcher looks at its queues without a signal.
const idleCheck = time.Second

// dispatch starts, claims and drops requests until ctx ends.
func (s *Server) dispatch(ctx context.Context) error {
	for ctx.Err() == nil {
		next := s.step(time.Now())
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
		case <-s.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
	s.stop()
	return nil
}

// step does everything that is due and returns how long nothing else is.
func (s *Server) step(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range append(s.unclaimed.Expire(now), s.ready.Expire(now)...) {
		s.drop(e, "the deadline has passed", false)
	}
	if s.minion.leaving() || !s.minion.up {
		for _, e := range append(s.unclaimed.Clear(), s.ready.Clear()...) {
			s.drop(e, reasonNoMinion, true)
		}
	}
	for s.running < s.options.Slots {
		e, ok := s.ready.Pop()
		if !ok {
			break
		}
		s.start(e)
	}
	for s.ahead < s.options.MaxClaimsAhead {
		e, ok := s.unclaimed.Pop()
		if !ok {
			break
		}
		e.queue = nil
		s.ahead++
		s.spawn("claim", func(ctx context.Context) { s.claim(ctx, e) })
	}
	s.kept.evict(now)
	return s.untilDeadline(now)
}

func (s *Server) untilDeadline(now time.Time) time.Duration {
	next := idleCheck
	if d, ok := s.unclaimed.NextDeadline(); ok {
		next = min(next, d.Sub(now))
	}
	if d, ok := s.ready.NextDeadline(); ok {
		next = min(next, d.Sub(now))
	}
	return max(next, time.Millisecond)
}

func (s *Server) start(e *entry) {
	e.queue = nil
	e.started = true
	if e.claimed {
		s.ahead--
	}
	s.running++
	s.spawn("execute", func(ctx context.Context) { s.execute(ctx, e) })
}

// execute runs a request on the minion. The record of a claimed request is
// folded before the answer is returned, unless the log does not take it in
// time. An agent that stops before that answers unknown, because later readers
// of the journal will find no outcome either.
func (s *Server) execute(ctx context.Context, e *entry) {
	answer := s.exchange(ctx, e.request)
	s.mu.Lock()
	s.running--
	e.started = answer.Outcome != request.NotRun
	var record *openRecord
	if e.claimed {
		record = s.settle(e.request.Identity, s.outcomeRecord(answer))
	}
	s.mu.Unlock()
	s.signal()
	if record != nil && !s.awaitRecord(ctx, record, e.request.Deadline) {
		if ctx.Err() != nil {
			answer = s.answer(e.request.Identity, request.Unknown, "the agent stopped before the outcome was recorded")
		} else {
			s.Counters.RecordedLate.Add(1)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finish(e, answer)
}

func (s *Server) outcomeRecord(a request.Answer) journal.Record {
	if a.Outcome == request.NotRun {
		s.Counters.AbandonedClaims.Add(1)
		return journal.RequestAbandoned{Identity: a.Identity}
	}
	if len(a.Body) > s.options.MaxRecordedBytes {
		return journal.RequestFinished{Identity: a.Identity, Outcome: request.Unknown, Reason: "the request ran; its answer is too large to be recorded"}
	}
	return journal.RequestFinished{Identity: a.Identity, Outcome: a.Outcome, Reason: a.Reason, Body: a.Body}
}

// awaitRecord reports whether a record was folded in time.
func (s *Server) awaitRecord(ctx context.Context, record *openRecord, deadline time.Time) bool {
	timer := time.NewTimer(min(s.options.MaxRecordWait, time.Until(deadline)))
	defer timer.Stop()
	select {
	case <-record.settled:
		return record.folded
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	}
}

// drop answers an entry that was taken from a queue as not run. A claim is
// given back; before a retryable answer, the record of that is awaited for a
// while, so that the next agent finds the identity free.
func (s *Server) drop(e *entry, reason string, retryable bool) {
	e.queue = nil
	if !e.claimed {
		s.finish(e, s.notRun(e.request, reason, retryable))
		return
	}
	s.ahead--
	s.Counters.AbandonedClaims.Add(1)
	record := s.settle(e.request.Identity, journal.RequestAbandoned{Identity: e.request.Identity})
	waits := retryable && s.spawn("drop", func(ctx context.Context) {
		s.awaitRecord(ctx, record, e.request.Deadline)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.finish(e, s.notRun(e.request, reason, true))
	})
	if !waits {
		s.finish(e, s.notRun(e.request, reason, retryable))
	}
}

// finish sets the answer of an entry. Only answers of requests that were
// started here are kept.
func (s *Server) finish(e *entry, a request.Answer) {
	if e.finished {
		return
	}
	e.finished = true
	e.answer = a
	delete(s.entries, e.request.Identity)
	close(e.done)
	s.count(a.Outcome)
	final := a.Outcome == request.Done || a.Outcome == request.Failed
	if e.started && (final || !e.request.Idempotent) {
		s.kept.add(a, time.Now())
	}
	s.notify()
}

func (s *Server) count(o request.Outcome) {
	switch o {
	case request.Done:
		s.Counters.Done.Add(1)
	case request.Failed:
		s.Counters.Failed.Add(1)
	case request.NotRun:
		s.Counters.NotRun.Add(1)
	default:
		s.Counters.Unknown.Add(1)
	}
}

// stop ends the server: nothing is spawned any more, what was not started is
// answered as not run, and the rest is left to its own goroutines.
func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group = nil
	for _, e := range append(s.unclaimed.Clear(), s.ready.Clear()...) {
		e.queue = nil
		s.finish(e, s.notRun(e.request, reasonStopping, true))
	}
}
