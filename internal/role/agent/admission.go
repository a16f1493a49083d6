package agent

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/traffic/queue"
	"wasabihoist/internal/traffic/request"
)

// answerGrace is how long Run waits past the deadline of a request. A request
// that expires in the queue is answered just after its deadline; the caller
// still gets that answer.
const answerGrace = 100 * time.Millisecond

// service implements wire.Agent. It is a separate type because Server.Run, which
// runs the agent until its context ends, has another signature than
// wire.Agent.Run.
type service struct{ *Server }

// Service returns the RPC service for other processes.
func (s *Server) Service() wire.Agent { return service{s} }

// Reasons of refusals that do not depend on the request.
const (
	reasonNotRunning     = "the agent is not running"
	reasonStopping       = "draining: the agent is stopping"
	reasonMinionDraining = "draining: the minion is leaving"
	reasonNoMinion       = "the minion is not available"
)

// unavailableReasons are the refusal reasons that set the leaving flag of a
// reply.
var unavailableReasons = collection.NewSet(reasonNotRunning, reasonStopping, reasonMinionDraining, reasonNoMinion)

// Run implements wire.Agent.
func (s service) Run(ctx context.Context, r *wire.RunRequest) (*wire.RunReply, error) {
	q, err := requestFromWire(r)
	if err != nil {
		return nil, err
	}
	p, answer := s.admit(ctx, q)
	if p != nil {
		answer = s.await(ctx, p, time.Until(q.Deadline)+answerGrace)
	}
	return s.reply(answer, true), nil
}

// Lookup implements wire.Agent. It waits up to MaxLookupWait for a request that
// has no answer yet. NotRun is the refusal of a submission that it has waited
// for. Until this process has read the log, it returns twirp.Unavailable instead
// of not found or NotRun, because an earlier process of this agent may have run
// the request.
func (s service) Lookup(ctx context.Context, r *wire.LookupRequest) (*wire.RunReply, error) {
	id, err := identityFromWire(r.GetIdentity())
	if err != nil {
		return nil, err
	}
	synced := s.hasSynced() // before the journal is read
	answer, found := s.findAnswerOrWait(ctx, id)
	if (!found || answer.Outcome == request.NotRun) && !synced {
		return nil, twirp.NewError(twirp.Unavailable, "the agent has not read the log since its start")
	}
	reply := s.reply(answer, found)
	if s.options.KnownAgents != nil {
		reply.KnownAgents = s.options.KnownAgents()
	}
	return reply, nil
}

// findAnswerOrWait returns the answer of a request, and waits up to MaxLookupWait
// for a pending one. For an unknown request it returns Pending and false.
func (s *Server) findAnswerOrWait(ctx context.Context, id request.Identity) (request.Answer, bool) {
	s.mu.Lock()
	if p := s.pending[id]; p != nil {
		p.waiters++
		s.mu.Unlock()
		return s.await(ctx, p, s.options.MaxLookupWait), true
	}
	defer s.mu.Unlock()
	if answer, found := s.findAnswer(id); found {
		return answer, true
	}
	return request.Answer{Identity: id, Outcome: request.Pending}, false
}

func (s *Server) hasSynced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced
}

// findAnswer returns the known answer of an identity that is not in pending. A
// claim of another agent takes precedence over an open record of this one. A
// claim that is being abandoned is not known any more, because its request did
// not run here, unless a repeat of the request waits for its record. The caller
// holds the mutex.
func (s *Server) findAnswer(id request.Identity) (request.Answer, bool) {
	answer, found := s.storedAnswer(id)
	record, repeated := s.openRecords[id], s.recordWaiters[id] > 0
	if (record == nil && !repeated) || (found && answer.Outcome != request.Pending) {
		return answer, found
	}
	if state, claimed := s.journal.Request(id); claimed && state.Writer != s.writer.Name() {
		return answer, true
	}
	return request.Answer{Identity: id, Outcome: request.Pending}, repeated || !record.abandons
}

// admit joins the pending request of the identity, accepts a new request, or
// returns the answer of a finished or refused one. It waits until no record of
// an earlier run is open, at most until the deadline.
func (s *Server) admit(ctx context.Context, q request.Request) (*pendingRequest, request.Answer) {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	for waited := false; ; waited = true {
		p, answer, recordDone := s.tryAdmit(q, waited)
		if recordDone == nil {
			return p, answer
		}
		select {
		case <-recordDone:
		case <-ctx.Done():
			s.mu.Lock()
			defer s.mu.Unlock()
			s.removeRecordWaiter(q.Identity)
			return nil, s.answer(q.Identity, request.Unknown, "the record of an earlier run is not settled")
		}
	}
}

// tryAdmit is one attempt of admit. It returns a channel to wait for if a
// record of an earlier run of the identity must be appended first. Set waited if
// the last attempt returned a channel.
func (s *Server) tryAdmit(q request.Request, waited bool) (*pendingRequest, request.Answer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if waited {
		s.removeRecordWaiter(q.Identity)
	}
	if p := s.pending[q.Identity]; p != nil {
		p.waiters++
		s.Counters.Joined.Add(1)
		return p, request.Answer{}, nil
	}
	if answer, ok := s.storedAnswer(q.Identity); ok && answer.Outcome != request.Pending {
		s.Counters.RepeatedAnswers.Add(1)
		return nil, answer, nil
	}
	if record := s.openRecords[q.Identity]; record != nil {
		s.recordWaiters[q.Identity]++
		return nil, request.Answer{}, record.done
	}
	if reason, retryable := s.refusal(q); reason != "" {
		s.Counters.Refused.Add(1)
		return nil, s.notRun(q, reason, retryable), nil
	}
	p := &pendingRequest{request: q, waiters: 1, done: make(chan struct{})}
	to := s.ready
	if !q.Idempotent {
		to = s.unclaimed
	}
	s.pending[q.Identity] = p
	s.push(to, p)
	s.Counters.Accepted.Add(1)
	s.wakeDispatcher()
	return p, request.Answer{}, nil
}

// removeRecordWaiter ends the wait of one submission for the record of an earlier
// run. The caller holds the mutex.
func (s *Server) removeRecordWaiter(id request.Identity) {
	s.recordWaiters[id]--
	if s.recordWaiters[id] == 0 {
		delete(s.recordWaiters, id)
	}
}

// storedAnswer returns the answer of an identity from the answer cache or the
// journal. A claim without an outcome returns Pending.
func (s *Server) storedAnswer(id request.Identity) (request.Answer, bool) {
	if answer, ok := s.answers.get(id, time.Now()); ok {
		return answer, true
	}
	state, ok := s.journal.Request(id)
	if !ok {
		return request.Answer{}, false
	}
	return answerFromState(state), true
}

func answerFromState(state journal.RequestState) request.Answer {
	return request.Answer{
		Identity: state.Identity,
		Outcome:  state.Outcome,
		Reason:   state.Reason,
		Body:     state.Body,
		Agent:    state.Writer,
	}
}

// refusal returns why a new request is not accepted, or an empty string, and
// whether the caller may retry it.
func (s *Server) refusal(q request.Request) (reason string, retryable bool) {
	remaining := time.Until(q.Deadline)
	policy := s.policyOf(q.Identity.Organisation)
	waiting := s.unclaimed.Waiting(q.Identity.Organisation) + s.ready.Waiting(q.Identity.Organisation)
	switch {
	case remaining <= 0:
		return "the deadline has passed", false
	case remaining > s.options.MaxDeadline:
		return "the deadline is too far away", false
	case s.group == nil:
		return reasonNotRunning, true
	case s.draining:
		return reasonStopping, true
	case s.minion.draining():
		return reasonMinionDraining, true
	case !s.minion.available:
		return reasonNoMinion, true
	case policy.Limit > 0 && waiting >= policy.Limit:
		return "the queue of the organisation is full", true
	case !q.Idempotent && s.claimLimitReached(q.Identity):
		s.Counters.ClaimLimitRefusals.Add(1)
		return reasonClaimLimit, false
	}
	return "", false
}

// push appends a request to a queue without a limit. The limit is checked at
// admission; a request that was accepted is not refused when it changes queues.
func (s *Server) push(to *queue.Queue[*pendingRequest], p *pendingRequest) {
	policy := queue.Policy{Share: s.policyOf(p.request.Identity.Organisation).Share}
	item, err := to.Push(p.request.Identity.Organisation, policy, p.request.Deadline, p)
	if err == nil {
		p.queue, p.item = to, item
	}
}

// await waits for the answer until ctx ends or limit has passed. Without an
// answer it returns Pending, or Unknown if limit ends after the deadline of the
// request.
func (s *Server) await(ctx context.Context, p *pendingRequest, limit time.Duration) request.Answer {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	outcome := request.Pending
	select {
	case <-p.done:
	case <-ctx.Done():
	case <-timer.C:
		if !time.Now().Before(p.request.Deadline) {
			outcome = request.Unknown
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeWaiter(p)
	if p.finished {
		return p.answer
	}
	return s.answer(p.request.Identity, outcome, "the answer is not there yet")
}

// removeWaiter removes a caller from the waiters. If it was the last one, a
// queued request is dropped, and a request that follows the claim of another
// agent ends.
func (s *Server) removeWaiter(p *pendingRequest) {
	p.waiters--
	if p.waiters > 0 || p.finished {
		return
	}
	switch {
	case p.queue != nil:
		p.queue.Remove(p.item)
		s.Counters.CancelledByCallers.Add(1)
		s.finishUnstarted(p, "the caller has left", true)
	case p.following:
		s.finish(p, s.answer(p.request.Identity, request.Unknown, "claimed by another agent"))
	}
}

func (s *Server) answer(id request.Identity, outcome request.Outcome, reason string) request.Answer {
	return request.Answer{Identity: id, Outcome: outcome, Reason: reason, Agent: s.options.Name}
}

// notRun returns a NotRun answer. If the answer is final and the journal holds
// a claim of another agent, that agent may run the request, so the recorded
// outcome or Unknown is returned instead.
func (s *Server) notRun(q request.Request, reason string, retryable bool) request.Answer {
	a := s.answer(q.Identity, request.NotRun, reason)
	a.Retryable = retryable
	if q.Idempotent || retryable {
		return a
	}
	state, claimed := s.journal.Request(q.Identity)
	switch {
	case !claimed || state.Writer == s.writer.Name():
		return a
	case state.Outcome != request.Pending:
		return answerFromState(state)
	}
	return s.answer(q.Identity, request.Unknown, "claimed by another agent")
}
