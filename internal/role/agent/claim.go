package agent

import (
	"context"
	"errors"

	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/traffic/request"
)

// claim appends a claim for a non-idempotent request, and makes the request
// ready once the claim is folded as the first for its identity. A request whose
// claim has an unknown outcome is never run.
func (s *Server) claim(ctx context.Context, p *pendingRequest) {
	claimCtx, cancel := context.WithDeadline(ctx, p.request.Deadline)
	defer cancel()
	if s.refuseAtClaimLimit(p) {
		return
	}
	record := journal.RequestClaimed{Identity: p.request.Identity, Deadline: p.request.Deadline}
	verdict, err := s.writer.Append(claimCtx, record)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.wakeDispatcher()
	switch {
	case err == nil && verdict.Valid:
		s.Counters.ClaimsWon.Add(1)
		p.claimed = true
		s.makeReady(p)
	case err == nil:
		s.claimsAhead--
		s.Counters.ClaimsLost.Add(1)
		p.following = true
		if !s.spawn("follow", func(ctx context.Context) { s.follow(ctx, p) }) {
			s.finish(p, s.answer(p.request.Identity, request.Unknown, verdict.Reason))
		}
	case errors.Is(err, journal.ErrNotAppended):
		s.claimsAhead--
		s.abandonOrphanedClaim(p.request.Identity)
		s.finish(p, s.notRun(p.request, "the claim was not recorded", claimCtx.Err() == nil))
	default:
		s.claimsAhead--
		s.Counters.UnconfirmedClaims.Add(1)
		s.persistRecord(p.request.Identity, journal.RequestAbandoned{Identity: p.request.Identity})
		s.finish(p, s.notRun(p.request, "the claim was not settled before the deadline", false))
	}
}

// refuseAtClaimLimit refuses a request if the limit of claim memory was reached
// while it was queued.
func (s *Server) refuseAtClaimLimit(p *pendingRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.claimLimitReached(p.request.Identity) {
		return false
	}
	s.claimsAhead--
	s.Counters.ClaimLimitRefusals.Add(1)
	s.finish(p, s.notRun(p.request, reasonClaimLimit, false))
	s.wakeDispatcher()
	return true
}

// makeReady queues a claimed request, or abandons the claim if no caller waits
// for the answer.
func (s *Server) makeReady(p *pendingRequest) {
	if p.waiters == 0 {
		s.Counters.CancelledByCallers.Add(1)
		s.finishUnstarted(p, "the caller has left", true)
		return
	}
	if s.group == nil {
		s.finishUnstarted(p, reasonStopping, true)
		return
	}
	s.push(s.ready, p)
}

// abandonOrphanedClaim abandons a claim of this agent that is in the journal
// although the writer returned ErrNotAppended. That happens when a snapshot that
// covers the claim has replaced the fold.
func (s *Server) abandonOrphanedClaim(id request.Identity) {
	state, ok := s.journal.Request(id)
	if ok && state.Writer == s.writer.Name() && state.Outcome == request.Pending {
		s.Counters.AbandonedClaims.Add(1)
		s.persistRecord(id, journal.RequestAbandoned{Identity: id})
	}
}

// follow waits for the outcome of a claim that another agent holds. If that
// claim is abandoned, the request returns to the queue of unclaimed requests.
func (s *Server) follow(ctx context.Context, p *pendingRequest) {
	followCtx, cancel := context.WithDeadline(ctx, p.request.Deadline)
	defer cancel()
	for {
		changed := s.journal.Watch()
		state, ok := s.journal.Request(p.request.Identity)
		if s.applyFollowedClaim(p, state, ok) {
			return
		}
		select {
		case <-changed:
		case <-p.done:
			return
		case <-followCtx.Done():
			s.mu.Lock()
			defer s.mu.Unlock()
			s.finish(p, s.answer(p.request.Identity, request.Unknown, "claimed by "+state.Writer+", without an outcome before the deadline"))
			return
		}
	}
}

// applyFollowedClaim applies the journal state of a claim that another agent
// holds: it finishes the request with a recorded outcome, or queues it again if
// the claim is gone. It reports whether following has ended. If the claim turns
// out to be an orphaned one of this agent, it is abandoned.
func (s *Server) applyFollowedClaim(p *pendingRequest, state journal.RequestState, claimed bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case p.finished:
		return true
	case !claimed:
		p.following = false
		s.push(s.unclaimed, p)
		s.wakeDispatcher()
		return true
	case state.Outcome != request.Pending:
		s.finish(p, answerFromState(state))
		return true
	}
	if state.Writer == s.writer.Name() && s.openRecords[p.request.Identity] == nil {
		s.abandonOrphanedClaim(p.request.Identity)
	}
	return false
}

// persistRecord appends a record and retries until the record is folded or the
// agent stops, however long the log is down. The caller holds the mutex.
func (s *Server) persistRecord(id request.Identity, record journal.Record) *openRecord {
	_, abandons := record.(journal.RequestAbandoned)
	open := &openRecord{abandons: abandons, done: make(chan struct{})}
	s.openRecords[id] = open
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
		delete(s.openRecords, id)
		close(open.done)
		s.notifyDrain()
	})
	return open
}
