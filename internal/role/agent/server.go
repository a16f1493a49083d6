// Package agent implements the role that runs beside each minion. The agent is
// the only process that starts work on its minion: it queues requests, bounds
// what runs at the same time, and ensures that non-idempotent requests run at
// most once.
package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/traffic/queue"
	"wasabihoist/internal/traffic/request"
)

// pendingRequest is an accepted request without an answer. Its fields are
// guarded by the mutex of the server, except for answer, which is set before
// done is closed.
type pendingRequest struct {
	request   request.Request
	waiters   int                           // waiters is the number of callers that wait for the answer.
	queue     *queue.Queue[*pendingRequest] // queue is the queue that holds the request; nil if it is in none.
	item      *queue.Item[*pendingRequest]
	claimed   bool // claimed is set if the journal holds the claim as the first for the identity.
	started   bool // started is set if the request was sent to the minion or may have been.
	following bool // following is set while the request waits for the outcome of another agent's claim.
	finished  bool
	answer    request.Answer
	done      chan struct{}
}

// openRecord is a record that is not folded yet.
type openRecord struct {
	abandons bool          // abandons is set for a record that abandons a claim.
	done     chan struct{} // done is closed once the record is folded or the agent stops.
	folded   bool          // folded is set before done is closed.
}

// Server queues requests and runs them on the minion beside it.
type Server struct {
	options  Options
	journal  *journal.Journal
	writer   *journal.Writer
	Counters Counters // Counters are safe for concurrent use.

	wake chan struct{} // wake is signalled when the dispatcher has work.

	mu            sync.Mutex
	group         *group.Group // group is nil before Run and after its end.
	pending       map[request.Identity]*pendingRequest
	unclaimed     *queue.Queue[*pendingRequest] // unclaimed holds non-idempotent requests without a claim.
	ready         *queue.Queue[*pendingRequest] // ready holds requests that may be started.
	claimsAhead   int                           // claimsAhead counts requests that are being claimed, or are claimed and not started.
	running       int                           // running counts occupied slots.
	answers       *answerCache
	openRecords   map[request.Identity]*openRecord // openRecords are the records that must still be appended, by identity of their request.
	recordWaiters map[request.Identity]int         // recordWaiters counts the submissions that are admitted only after an open record.
	draining      bool
	synced        bool // synced is set once the journal has folded a barrier of this process.
	minion        minionState
	changed       chan struct{} // changed is closed and replaced when a request or a record is done.
}

// New returns an agent that appends claims with w and reads the claims of other
// agents from j.
func New(options Options, j *journal.Journal, w *journal.Writer) *Server {
	return &Server{
		options:       options,
		journal:       j,
		writer:        w,
		wake:          make(chan struct{}, 1),
		pending:       map[request.Identity]*pendingRequest{},
		unclaimed:     queue.New[*pendingRequest](),
		ready:         queue.New[*pendingRequest](),
		answers:       newAnswerCache(options.AnswerRetention, options.MaxAnswerBytes),
		openRecords:   map[request.Identity]*openRecord{},
		recordWaiters: map[request.Identity]int{},
		changed:       make(chan struct{}),
	}
}

// String returns "agent" and the member name.
func (s *Server) String() string { return "agent " + s.options.Name }

// Run serves until ctx ends or Drain has finished. The end of ctx cancels
// running requests; a planned stop uses Drain.
func (s *Server) Run(ctx context.Context) error {
	g := group.New(ctx)
	s.mu.Lock()
	s.group = g
	s.setConfiguredMinion()
	s.mu.Unlock()
	g.Go("dispatch", s.dispatch)
	g.Every("probe", s.options.ProbeInterval, s.probe)
	g.Go("barrier", s.appendBarrier)
	return g.Wait()
}

// appendBarrier appends a barrier and retries until the journal has folded it.
// The journal then has every claim of earlier agent processes beside the
// minion.
func (s *Server) appendBarrier(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, err := s.writer.Append(ctx, journal.Barrier{}); err == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.synced = true
			return nil
		}
		pause(ctx, s.options.JournalRetryDelay)
	}
	return nil
}

// Drain refuses new work, waits until all accepted requests are answered and
// their records are appended, and then ends Run. It returns an error if ctx
// ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for {
		s.mu.Lock()
		left, records, changed, g := len(s.pending), len(s.openRecords), s.changed, s.group
		s.mu.Unlock()
		if left+records == 0 {
			if g != nil {
				g.Stop()
			}
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("drain %s: %d requests and %d records left: %w", s, left, records, ctx.Err())
		}
	}
}

// Load returns the number of queued and of running requests.
func (s *Server) Load() (waiting, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unclaimed.Len() + s.ready.Len(), s.running
}

// Draining reports whether new work is refused because the agent or its minion
// is draining.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || s.minion.draining()
}

// spawn starts a function in the group, or returns false if the agent is not
// running. The caller holds the mutex, so that nothing is started after the group
// has ended.
func (s *Server) spawn(name string, run func(ctx context.Context)) bool {
	if s.group == nil {
		return false
	}
	s.group.Go(name, func(ctx context.Context) error {
		run(ctx)
		return nil
	})
	return true
}

func (s *Server) wakeDispatcher() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// notifyDrain wakes Drain. The caller holds the mutex.
func (s *Server) notifyDrain() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// policyOf returns the queue policy of an organisation: that of its plan, or
// the default.
func (s *Server) policyOf(organisation string) queue.Policy {
	_, plan, ok := s.journal.Configuration().PlanOf(organisation)
	if !ok {
		return s.options.DefaultPolicy
	}
	policy := queue.Policy{Limit: plan.QueueLimit, Share: plan.Share}
	if policy.Limit == 0 {
		policy.Limit = s.options.DefaultPolicy.Limit
	}
	return policy
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
