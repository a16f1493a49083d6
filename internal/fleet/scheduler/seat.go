package scheduler

import (
	"context"
	"sync"
	"time"

	"wasabihoist/internal/fleet/lease"
	"wasabihoist/internal/fleet/worker"
)

// workerRoute is the way to one worker: the agent that holds its lease now.
type workerRoute struct {
	worker worker.Worker

	mu          sync.Mutex
	lossCount   int // tenure grows with each loss of the worker.
	client      *holderClient
	session     lease.SessionID
	epoch       int64 // epoch of the lease in force; 0 when there is none.
	highestSeen int64 // highest is the last epoch that the term had.
}

// host returns the worker until it is next lost.
func (s *workerRoute) host() leasedWorker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return leasedWorker{s, s.lossCount}
}

// hold records a lease. It goes on with the tenure when the worker kept its
// tasks since the lease before.
func (s *workerRoute) hold(l *holderClient, session lease.SessionID, epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.client, s.session, s.epoch, s.highestSeen = l, session, epoch, epoch
}

// lose ends the tenure.
func (s *workerRoute) lose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossCount++
	s.epoch = 0
}

// highestEpoch returns the last epoch that the term had, or 0.
func (s *workerRoute) highestEpoch() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.highestSeen
}

// leasedWorker is a worker from its lease up to its loss. The lease may move to
// another agent meanwhile, because the tasks go on under the new lease. It
// implements gang.Host.
type leasedWorker struct {
	route     *workerRoute
	lossCount int
}

func (l leasedWorker) do(ctx context.Context, c lease.Call) (worker.Task, error) {
	l.route.mu.Lock()
	holder, tenure := l.route.client, l.route.lossCount
	c.Worker, c.Session, c.Epoch = l.route.worker.Name, l.route.session, l.route.epoch
	l.route.mu.Unlock()
	if tenure != l.lossCount || c.Epoch == 0 {
		return worker.Task{}, worker.ErrStaleLease
	}
	return holder.holder.Do(ctx, c)
}

// Start implements gang.Host.
func (l leasedWorker) Start(ctx context.Context, spec worker.Spec) (worker.Task, error) {
	return l.do(ctx, lease.Call{Kind: lease.Start, Task: spec.Name, Spec: spec})
}

// Throttle implements gang.Host.
func (l leasedWorker) Throttle(ctx context.Context, task string, cores float64) (worker.Task, error) {
	return l.do(ctx, lease.Call{Kind: lease.Throttle, Task: task, Cores: cores})
}

// Stop implements gang.Host.
func (l leasedWorker) Stop(ctx context.Context, task string) (worker.Task, error) {
	return l.do(ctx, lease.Call{Kind: lease.Stop, Task: task})
}

// Checkpoint implements gang.Host.
func (l leasedWorker) Checkpoint(ctx context.Context, task string, limit time.Duration) (worker.Task, error) {
	return l.do(ctx, lease.Call{Kind: lease.Checkpoint, Task: task, Limit: limit})
}

// Abandon implements gang.Host.
func (l leasedWorker) Abandon() {
	l.route.mu.Lock()
	holder, epoch, tenure := l.route.client, l.route.epoch, l.route.lossCount
	l.route.mu.Unlock()
	if tenure == l.lossCount && epoch > 0 {
		holder.abandon(l.route.worker.Name, epoch)
	}
}
