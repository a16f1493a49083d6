package agent

import (
	"context"
	"errors"

	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/traffic/request"
)

// claim makes a non-idempotent request ready once its claim is folded as the
// first for its identity. A claim whose fate is not known is never run.
func (s *Server) claim(ctx context.Context, e *entry) {
	deadline, cancel := context.WithDeadline(ctx, e.request.Deadline)
	defer cancel()
	if s.refuseAtBound(e) {
		return
	}
	record := journal.RequestClaimed{Identity: e.request.Identity, Deadline: e.request.Deadline}
	verdict, err := s.writer.Append(deadline, record)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.signal()
	switch {
	case err == nil && verdict.Valid:
		s.Counters.ClaimsWon.Add(1)
		e.claimed = true
		s.makeReady(e)
	case err == nil:
		s.ahead--
		s.Counters.ClaimsLost.Add(1)
		e.following = true
		if !s.spawn("follow", func(ctx context.Context) { s.follow(ctx, e) }) {
			s.finish(e, s.answer(e.request.Identity, request.Unknown, verdict.Reason))
		}
	case errors.Is(err, journal.ErrNotAppended):
		s.ahead--
		s.giveBackOrphan(e.request.Identity)
		s.finish(e, s.notRun(e.request, "the claim was not recorded", deadline.Err() == nil))
	default:
		s.ahead--
		s.Counters.UnconfirmedClaims.Add(1)
		s.settle(e.request.Identity, journal.RequestAbandoned{Identity: e.request.Identity})
		s.finish(e, s.notRun(e.request, "the claim was not settled before the deadline", false))
	}
}

// refuseAtBound refuses an entry when the bound of claims was reached while it
// waited.
func (s *Server) refuseAtBound(e *entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.boundReached(e.request.Identity) {
		return false
	}
	s.ahead--
	s.Counters.ClaimLimitRefusals.Add(1)
	s.finish(e, s.notRun(e.request, reasonClaims, false))
	s.signal()
	return true
}

// makeReady queues a claimed entry, or gives it back when nobody waits for it.
func (s *Server) makeReady(e *entry) {
	if e.waiters == 0 {
		s.Counters.CancelledByCallers.Add(1)
		s.drop(e, "the caller has left", true)
		return
	}
	if s.group == nil {
		s.drop(e, reasonStopping, true)
		return
	}
	s.push(s.ready, e)
}

// giveBackOrphan abandons a claim of this agent that is in the journal although
// its append was reported as absent. That happens when the fold was replaced by
// a snapshot that covers the claim.
func (s *Server) giveBackOrphan(id request.Identity) {
	state, ok := s.journal.Request(id)
	if ok && state.Writer == s.writer.Name() && state.Outcome == request.Pending {
		s.Counters.AbandonedClaims.Add(1)
		s.settle(id, journal.RequestAbandoned{Identity: id})
	}
}

// follow waits for the outcome of a claim that another agent holds. When the
// claim is given back, the entry goes back to the queue of unclaimed requests.
func (s *Server) follow(ctx context.Context, e *entry) {
	deadline, cancel := context.WithDeadline(ctx, e.request.Deadline)
	defer cancel()
	for {
		changed := s.journal.Watch()
		state, ok := s.journal.Request(e.request.Identity)
		if s.advance(e, state, ok) {
			return
		}
		select {
		case <-changed:
		case <-e.done:
			return
		case <-deadline.Done():
			s.mu.Lock()
			defer s.mu.Unlock()
			s.finish(e, s.answer(e.request.Identity, request.Unknown, "claimed by "+state.Writer+", without an outcome before the deadline"))
			return
		}
	}
}

// advance reports whether following has ended.
func (s *Server) advance(e *entry, state journal.RequestState, claimed bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case e.finished:
		return true
	case !claimed:
		e.following = false
		s.push(s.unclaimed, e)
		s.signal()
		return true
	case state.Outcome != request.Pending:
		s.finish(e, answerFromState(state))
		return true
	}
	if state.Writer == s.writer.Name() && s.settling[e.request.Identity] == nil {
		s.giveBackOrphan(e.request.Identity)
	}
	return false
}

// settle appends a record that must be folded in the end, however long the log
// is down. It needs the mutex.
func (s *Server) settle(id request.Identity, record journal.Record) *openRecord {
	_, abandons := record.(journal.RequestAbandoned)
	open := &openRecord{abandons: abandons, settled: make(chan struct{})}
	s.settling[id] = open
	s.spawn("settle", func(ctx context.Context) {
		for ctx.Err() == nil {
			if _, err := s.writer.Append(ctx, record); err == nil {
				open.folded = true
				break
			}
			pause(ctx, s.options.JournalRetryDelay)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.settling, id)
		close(open.settled)
		s.notify()
	})
	return open
}
