// Package agent is the role beside each minion. It is the only process that
// starts work on its minion; it queues requests, bounds what runs, and makes
// sure that non-idempotent requests run at most once.
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

// entry is a request that was accepted and has no answer yet. Its fields are
// guarded by the mutex of the server, except for answer, which is set before
// done is closed.
type entry struct {
	request   request.Request
	waiters   int                  // waiters is the number of callers that wait for the answer.
	queue     *queue.Queue[*entry] // queue holds the entry; nil when it is in none.
	item      *queue.Item[*entry]
	claimed   bool // claimed entries hold the first claim in the journal.
	started   bool // started entries were or may have been sent to the minion.
	following bool // following entries wait for the outcome of another's claim.
	finished  bool
	answer    request.Answer
	done      chan struct{}
}

// openRecord is a record that must still be appended.
type openRecord struct {
	abandons bool          // abandons is set for a record that gives back a claim.
	settled  chan struct{} // settled is closed once the record is folded or the agent stops.
	folded   bool          // folded is set before settled is closed.
}

// Server queues and runs requests on the minion beside it.
type Server struct {
	options  Options
	journal  *journal.Journal
	writer   *journal.Writer
	Counters Counters

	wake chan struct{} // wake is signalled when the dispatcher has something to do.

	mu        sync.Mutex
	group     *group.Group // group is nil before Run and after its end.
	entries   map[request.Identity]*entry
	unclaimed *queue.Queue[*entry] // unclaimed holds non-idempotent requests without a claim.
	ready     *queue.Queue[*entry] // ready holds requests that may be started.
	ahead     int                  // ahead counts entries that are being claimed or are claimed and wait.
	running   int                  // running counts occupied slots.
	kept      *answers
	settling  map[request.Identity]*openRecord // settling has the records that must still be appended.
	draining  bool
	synced    bool // synced is set once the journal has folded a barrier of this process.
	minion    minionState
	changed   chan struct{} // changed is closed when an entry or a record is done, and then replaced.
}

// New returns an agent whose claims go through writer and whose view of other
// claims is journal.
func New(options Options, j *journal.Journal, w *journal.Writer) *Server {
	return &Server{
		options:   options,
		journal:   j,
		writer:    w,
		wake:      make(chan struct{}, 1),
		entries:   map[request.Identity]*entry{},
		unclaimed: queue.New[*entry](),
		ready:     queue.New[*entry](),
		kept:      newAnswers(options.KeepAnswers, options.KeepBytes),
		settling:  map[request.Identity]*openRecord{},
		changed:   make(chan struct{}),
	}
}

// String names the controller.
func (s *Server) String() string { return "agent " + s.options.Name }

// Run serves until ctx ends or Drain has finished. An end of ctx cuts off what
// is running; a planned stop uses Drain.
func (s *Server) Run(ctx context.Context) error {
	g := group.New(ctx)
	s.mu.Lock()
	s.group = g
	s.expectMinion()
	s.mu.Unlock()
	g.Go("dispatch", s.dispatch)
	g.Every("probe", s.options.ProbeEvery, s.probe)
	g.Go("barrier", s.sync)
	return g.Wait()
}

// sync folds a barrier. The journal then has every claim of earlier processes
// beside the minion.
func (s *Server) sync(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, err := s.writer.Append(ctx, journal.Barrier{}); err == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.synced = true
			return nil
		}
		pause(ctx, s.options.JournalRetry)
	}
	return nil
}

// Drain refuses new work, waits until everything accepted is answered and
// recorded, and then ends Run. It returns an error when ctx ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for {
		s.mu.Lock()
		left, records, changed, g := len(s.entries), len(s.settling), s.changed, s.group
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

// Load returns the number of requests that wait and that run.
func (s *Server) Load() (waiting, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unclaimed.Len() + s.ready.Len(), s.running
}

// Draining reports whether new work is refused because the agent or its
// minion is leaving.
func (s *Server) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining || s.minion.leaving()
}

// spawn starts a function in the group. It needs the mutex, so that nothing is
// started after the group has ended.
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

func (s *Server) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// notify wakes Drain. It needs the mutex.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) termsOf(organisation string) queue.Policy {
	_, plan, ok := s.journal.Configuration().PlanOf(organisation)
	if !ok {
		return s.options.Terms
	}
	terms := queue.Policy{Limit: plan.QueueLimit, Share: plan.Share}
	if terms.Limit == 0 {
		terms.Limit = s.options.Terms.Limit
	}
	return terms
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
