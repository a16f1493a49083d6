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

// answerGrace is how long a caller waits after the deadline for the answer
// that the deadline brings about.
const answerGrace = 100 * time.Millisecond

// service implements wire.Agent. It is a type of its own, because Run of the
// server is that of a controller.
type service struct{ *Server }

// Service returns the service that other processes call.
func (s *Server) Service() wire.Agent { return service{s} }

// Reasons of refusals that do not depend on the request.
const (
	reasonNotRunning    = "the agent is not running"
	reasonStopping      = "draining: the agent is stopping"
	reasonMinionLeaving = "draining: the minion is leaving"
	reasonNoMinion      = "the minion is not available"
)

var leavingReasons = collection.NewSet(reasonNotRunning, reasonStopping, reasonMinionLeaving, reasonNoMinion)

// Run implements wire.Agent.
func (s service) Run(ctx context.Context, r *wire.RunRequest) (*wire.RunReply, error) {
	q, err := requestFromWire(r)
	if err != nil {
		return nil, err
	}
	e, answer := s.admit(ctx, q)
	if e != nil {
		answer = s.await(ctx, e, time.Until(q.Deadline)+answerGrace)
	}
	return s.reply(answer, true), nil
}

// Lookup implements wire.Agent. It waits for a while for a request that is
// running. It does not say that a request did not run before this process has
// read the log, because an earlier one may have run it.
func (s service) Lookup(ctx context.Context, r *wire.LookupRequest) (*wire.RunReply, error) {
	id, err := identityFromWire(r.GetIdentity())
	if err != nil {
		return nil, err
	}
	synced := s.hasSynced() // before the journal is read
	answer, found := s.find(ctx, id)
	if (!found || answer.Outcome == request.NotRun) && !synced {
		return nil, twirp.NewError(twirp.Unavailable, "the agent has not read the log since its start")
	}
	reply := s.reply(answer, found)
	if s.options.KnownAgents != nil {
		reply.KnownAgents = s.options.KnownAgents()
	}
	return reply, nil
}

// find returns the answer of a request, for which it may wait, or Pending.
func (s *Server) find(ctx context.Context, id request.Identity) (request.Answer, bool) {
	s.mu.Lock()
	if e := s.entries[id]; e != nil {
		e.waiters++
		s.mu.Unlock()
		return s.await(ctx, e, s.options.LookupWait), true
	}
	defer s.mu.Unlock()
	if answer, found := s.lookup(id); found {
		return answer, true
	}
	return request.Answer{Identity: id, Outcome: request.Pending}, false
}

func (s *Server) hasSynced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.synced
}

// lookup returns what is known of an identity without an entry. A claim that is
// being given back proves that the request did not run here.
func (s *Server) lookup(id request.Identity) (request.Answer, bool) {
	answer, found := s.known(id)
	record := s.settling[id]
	if record == nil || (found && answer.Outcome != request.Pending) {
		return answer, found
	}
	if state, claimed := s.journal.Request(id); claimed && state.Writer != s.writer.Name() {
		return answer, true
	}
	if record.abandons {
		return s.answer(id, request.NotRun, "the claim is being given back"), true
	}
	return request.Answer{Identity: id, Outcome: request.Pending}, true
}

// admit joins the entry of the identity, accepts a new one, or returns an
// answer.
func (s *Server) admit(ctx context.Context, q request.Request) (*entry, request.Answer) {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	for {
		e, answer, settled := s.tryAdmit(q)
		if settled == nil {
			return e, answer
		}
		select {
		case <-settled:
		case <-ctx.Done():
			return nil, s.answer(q.Identity, request.Unknown, "the record of an earlier run is not settled")
		}
	}
}

// tryAdmit returns a channel to wait for when a record of an earlier run of
// the identity must be appended first.
func (s *Server) tryAdmit(q request.Request) (*entry, request.Answer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[q.Identity]; e != nil {
		e.waiters++
		s.Counters.Joined.Add(1)
		return e, request.Answer{}, nil
	}
	if answer, ok := s.known(q.Identity); ok && answer.Outcome != request.Pending {
		s.Counters.Repeated.Add(1)
		return nil, answer, nil
	}
	if record := s.settling[q.Identity]; record != nil {
		return nil, request.Answer{}, record.settled
	}
	if reason, retryable := s.refusal(q); reason != "" {
		s.Counters.Refused.Add(1)
		return nil, s.notRun(q, reason, retryable), nil
	}
	e := &entry{request: q, waiters: 1, done: make(chan struct{})}
	to := s.ready
	if !q.Idempotent {
		to = s.unclaimed
	}
	s.entries[q.Identity] = e
	s.push(to, e)
	s.Counters.Accepted.Add(1)
	s.signal()
	return e, request.Answer{}, nil
}

// known returns the kept or journaled answer of an identity.
func (s *Server) known(id request.Identity) (request.Answer, bool) {
	if answer, ok := s.kept.get(id, time.Now()); ok {
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

// refusal returns why a new request is not accepted, or an empty string.
func (s *Server) refusal(q request.Request) (reason string, retryable bool) {
	remaining := time.Until(q.Deadline)
	terms := s.termsOf(q.Identity.Organisation)
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
	case s.minion.leaving():
		return reasonMinionLeaving, true
	case !s.minion.up:
		return reasonNoMinion, true
	case terms.Limit > 0 && waiting >= terms.Limit:
		return "the queue of the organisation is full", true
	case !q.Idempotent && s.boundReached(q.Identity):
		s.Counters.ClaimsFull.Add(1)
		return reasonClaims, false
	}
	return "", false
}

// push puts an entry at the end of a queue. The limit was checked at
// admission; an entry that was accepted is not refused when it changes queues.
func (s *Server) push(to *queue.Queue[*entry], e *entry) {
	terms := queue.Policy{Share: s.termsOf(e.request.Identity.Organisation).Share}
	item, err := to.Push(e.request.Identity.Organisation, terms, e.request.Deadline, e)
	if err == nil {
		e.queue, e.item = to, item
	}
}

// await waits for the answer, and gives it up when the caller leaves or after
// the limit.
func (s *Server) await(ctx context.Context, e *entry, limit time.Duration) request.Answer {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	outcome := request.Pending
	select {
	case <-e.done:
	case <-ctx.Done():
	case <-timer.C:
		if !time.Now().Before(e.request.Deadline) {
			outcome = request.Unknown
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leave(e)
	if e.finished {
		return e.answer
	}
	return s.answer(e.request.Identity, outcome, "the answer is not there yet")
}

// leave drops the entry when nobody waits for it any more and it was not
// started.
func (s *Server) leave(e *entry) {
	e.waiters--
	if e.waiters > 0 || e.finished {
		return
	}
	switch {
	case e.queue != nil:
		e.queue.Remove(e.item)
		s.Counters.CallersLeft.Add(1)
		s.drop(e, "the caller has left", true)
	case e.following:
		s.finish(e, s.answer(e.request.Identity, request.Unknown, "claimed by another agent"))
	}
}

func (s *Server) answer(id request.Identity, outcome request.Outcome, reason string) request.Answer {
	return request.Answer{Identity: id, Outcome: outcome, Reason: reason, Agent: s.options.Name}
}

// notRun returns a NotRun answer, unless the journal shows that another agent
// holds a claim and so may run the request.
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
