package agent

import (
	"context"
	"time"

	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/traffic/request"
)

// idleInterval is the longest time between two passes of the dispatcher without
// a signal.
const idleInterval = time.Second

// dispatch claims, starts and drops queued requests until ctx ends.
func (s *Server) dispatch(ctx context.Context) error {
	for ctx.Err() == nil {
		next := s.runPass(time.Now())
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

// runPass drops expired requests, or all queued ones while the minion takes no
// work. It then starts ready requests up to Slots and claims requests up to
// MaxClaimsAhead. It returns how long to wait before the next pass.
func (s *Server) runPass(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range append(s.unclaimed.Expire(now), s.ready.Expire(now)...) {
		s.finishUnstarted(p, "the deadline has passed", false)
	}
	if s.minion.draining() || !s.minion.available {
		for _, p := range append(s.unclaimed.Clear(), s.ready.Clear()...) {
			s.finishUnstarted(p, reasonNoMinion, true)
		}
	}
	for s.running < s.options.Slots {
		p, ok := s.ready.Pop()
		if !ok {
			break
		}
		s.startRequest(p)
	}
	for s.claimsAhead < s.options.MaxClaimsAhead {
		p, ok := s.unclaimed.Pop()
		if !ok {
			break
		}
		p.queue = nil
		s.claimsAhead++
		s.spawn("claim", func(ctx context.Context) { s.claim(ctx, p) })
	}
	s.answers.evict(now)
	return s.untilNextDeadline(now)
}

// untilNextDeadline returns the time until the first deadline in the queues, at
// least 1 ms and at most idleInterval.
func (s *Server) untilNextDeadline(now time.Time) time.Duration {
	next := idleInterval
	if d, ok := s.unclaimed.NextDeadline(); ok {
		next = min(next, d.Sub(now))
	}
	if d, ok := s.ready.NextDeadline(); ok {
		next = min(next, d.Sub(now))
	}
	return max(next, time.Millisecond)
}

// startRequest takes a slot and runs the request in a goroutine. The caller holds
// the mutex.
func (s *Server) startRequest(p *pendingRequest) {
	p.queue = nil
	p.started = true
	if p.claimed {
		s.claimsAhead--
	}
	s.running++
	s.spawn("execute", func(ctx context.Context) { s.execute(ctx, p) })
}

// execute runs a request on the minion. The record of a claimed request is
// folded before the answer is returned, unless that takes longer than
// MaxRecordWait. If the agent stops earlier, the answer is Unknown, because
// later readers of the journal find no outcome either.
func (s *Server) execute(ctx context.Context, p *pendingRequest) {
	answer := s.exchange(ctx, p.request)
	s.mu.Lock()
	s.running--
	p.started = answer.Outcome != request.NotRun
	var record *openRecord
	if p.claimed {
		record = s.persistRecord(p.request.Identity, s.outcomeRecord(answer))
	}
	s.mu.Unlock()
	s.wakeDispatcher()
	if record != nil && !s.awaitRecord(ctx, record, p.request.Deadline) {
		if ctx.Err() != nil {
			answer = s.answer(p.request.Identity, request.Unknown, "the agent stopped before the outcome was recorded")
		} else {
			s.Counters.RecordedLate.Add(1)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finish(p, answer)
}

// outcomeRecord returns the record of an answer. NotRun abandons the claim and is
// counted. A body above MaxRecordedBytes is recorded as Unknown.
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

// awaitRecord reports whether a record was folded within MaxRecordWait and
// before the deadline.
func (s *Server) awaitRecord(ctx context.Context, record *openRecord, deadline time.Time) bool {
	timer := time.NewTimer(min(s.options.MaxRecordWait, time.Until(deadline)))
	defer timer.Stop()
	select {
	case <-record.done:
		return record.folded
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	}
}

// finishUnstarted answers a request that was not started as NotRun and abandons
// its claim. Before a retryable answer it waits up to MaxRecordWait for that
// record, so that the next agent finds the identity unclaimed. The caller holds
// the mutex.
func (s *Server) finishUnstarted(p *pendingRequest, reason string, retryable bool) {
	p.queue = nil
	if !p.claimed {
		s.finish(p, s.notRun(p.request, reason, retryable))
		return
	}
	s.claimsAhead--
	s.Counters.AbandonedClaims.Add(1)
	record := s.persistRecord(p.request.Identity, journal.RequestAbandoned{Identity: p.request.Identity})
	waiting := retryable && s.spawn("drop", func(ctx context.Context) {
		s.awaitRecord(ctx, record, p.request.Deadline)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.finish(p, s.notRun(p.request, reason, true))
	})
	if !waiting {
		s.finish(p, s.notRun(p.request, reason, retryable))
	}
}

// finish sets and counts the answer of a pending request, removes it from
// pending, and wakes its waiters and Drain. Only answers of requests that were
// started here are cached. The caller holds the mutex.
func (s *Server) finish(p *pendingRequest, a request.Answer) {
	if p.finished {
		return
	}
	p.finished = true
	p.answer = a
	delete(s.pending, p.request.Identity)
	close(p.done)
	s.countOutcome(a.Outcome)
	final := a.Outcome == request.Done || a.Outcome == request.Failed
	if p.started && (final || !p.request.Idempotent) {
		s.answers.add(a, time.Now())
	}
	s.notifyDrain()
}

func (s *Server) countOutcome(o request.Outcome) {
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

// stop ends the server. Nothing is spawned any more, queued requests are
// answered as NotRun, and the remaining requests are finished by their own
// goroutines.
func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group = nil
	for _, p := range append(s.unclaimed.Clear(), s.ready.Clear()...) {
		p.queue = nil
		s.finish(p, s.notRun(p.request, reasonStopping, true))
	}
}
