package scheduler

import (
	"context"
	"sync"
	"time"

	"wasabihoist/internal/fleet/lease"
	"wasabihoist/internal/fleet/worker"
)

// seat is the way to one worker: the agent that holds its lease now.
type seat struct {
	worker worker.Worker

	mu      sync.Mutex
	tenure  int // tenure grows with each loss of the worker.
	link    *link
	session lease.SessionID
	epoch   int64 // epoch of the lease in force; 0 when there is none.
	highest int64 // highest is the last epoch that the term had.
}

// host returns the worker until it is next lost.
func (s *seat) host() leased {
	s.mu.Lock()
	defer s.mu.Unlock()
	return leased{s, s.tenure}
}

// hold records a lease. It goes on with the tenure when the worker kept its
// tasks since the lease before.
func (s *seat) hold(l *link, session lease.SessionID, epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link, s.session, s.epoch, s.highest = l, session, epoch, epoch
}

// lose ends the tenure.
func (s *seat) lose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tenure++
	s.epoch = 0
}

// highestEpoch returns the last epoch that the term had, or 0.
func (s *seat) highestEpoch() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highest
}

// leased is a worker from its lease up to its loss. The lease may move to
// another agent meanwhile, because the tasks go on under the new lease. It
// implements gang.Host.
type leased struct {
	seat   *seat
	tenure int
}

func (l leased) do(ctx context.Context, c lease.Call) (worker.Task, error) {
	l.seat.mu.Lock()
	holder, tenure := l.seat.link, l.seat.tenure
	c.Worker, c.Session, c.Epoch = l.seat.worker.Name, l.seat.session, l.seat.epoch
	l.seat.mu.Unlock()
	if tenure != l.tenure || c.Epoch == 0 {
		return worker.Task{}, worker.ErrStaleLease
	}
	return holder.holder.Do(ctx, c)
}

// Start implements gang.Host.
func (l leased) Start(ctx context.Context, spec worker.Spec) (worker.Task, error) {
	return l.do(ctx, lease.Call{Kind: lease.Start, Task: spec.Name, Spec: spec})
}

// Throttle implements gang.Host.
func (l leased) Throttle(ctx context.Context, task string, cores float64) (worker.Task, error) {
	return l.do(ctx, lease.Call{Kind: lease.Throttle, Task: task, Cores: cores})
}

// Stop implements gang.Host.
func (l leased) Stop(ctx context.Context, task string) (worker.Task, error) {
	return l.do(ctx, lease.Call{Kind: lease.Stop, Task: task})
}

// Checkpoint implements gang.Host.
func (l leased) Checkpoint(ctx context.Context, task string, limit time.Duration) (worker.Task, error) {
	return l.do(ctx, lease.Call{Kind: lease.Checkpoint, Task: task, Limit: limit})
}

// Abandon implements gang.Host.
func (l leased) Abandon() {
	l.seat.mu.Lock()
	holder, epoch, tenure := l.seat.link, l.seat.epoch, l.seat.tenure
	l.seat.mu.Unlock()
	if tenure == l.tenure && epoch > 0 {
		holder.abandon(l.seat.worker.Name, epoch)
	}
}
