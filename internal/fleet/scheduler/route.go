package scheduler

import (
	"context"
	"sync"
	"time"

	"wasabihoist/internal/fleet/lease"
	"wasabihoist/internal/fleet/worker"
)

// workerRoute directs calls for one worker to the agent that holds its lease.
type workerRoute struct {
	worker worker.Worker

	mu        sync.Mutex
	lossCount int // lossCount counts the losses of the worker in this term.
	client    *holderClient
	session   lease.SessionID
	epoch     int64 // epoch of the lease in force; 0 when there is none.
	lastEpoch int64 // lastEpoch is the epoch of the last lease in this term; a loss does not reset it.
}

// handle returns a handle for the worker that is valid until the worker is lost.
func (r *workerRoute) handle() leasedWorker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return leasedWorker{r, r.lossCount}
}

// setLease directs calls to the agent with the new lease. Handles stay valid,
// because the worker has kept its tasks since the previous lease.
func (r *workerRoute) setLease(hc *holderClient, session lease.SessionID, epoch int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.client, r.session, r.epoch, r.lastEpoch = hc, session, epoch, epoch
}

// invalidate makes all handles for the worker invalid after its loss.
func (r *workerRoute) invalidate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lossCount++
	r.epoch = 0
}

// lastLeaseEpoch returns the epoch of the last lease in this term, or 0.
func (r *workerRoute) lastLeaseEpoch() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastEpoch
}

// leasedWorker is a handle for a worker that is valid until the worker is lost.
// The lease may move to another agent in between, because the tasks run on under
// the new lease. It implements gang.LeasedWorker.
type leasedWorker struct {
	route     *workerRoute
	lossCount int
}

// do sends a call to the agent that holds the lease. It returns
// worker.ErrStaleLease when the worker was lost or no lease is in force.
func (l leasedWorker) do(ctx context.Context, c lease.Call) (worker.Task, error) {
	l.route.mu.Lock()
	client, lossCount := l.route.client, l.route.lossCount
	c.Worker, c.Session, c.Epoch = l.route.worker.Name, l.route.session, l.route.epoch
	l.route.mu.Unlock()
	if lossCount != l.lossCount || c.Epoch == 0 {
		return worker.Task{}, worker.ErrStaleLease
	}
	return client.holder.Do(ctx, c)
}

// Start implements gang.LeasedWorker.
func (l leasedWorker) Start(ctx context.Context, spec worker.Spec) (worker.Task, error) {
	return l.do(ctx, lease.Call{Kind: lease.Start, Task: spec.Name, Spec: spec})
}

// Throttle implements gang.LeasedWorker.
func (l leasedWorker) Throttle(ctx context.Context, task string, cores float64) (worker.Task, error) {
	return l.do(ctx, lease.Call{Kind: lease.Throttle, Task: task, Cores: cores})
}

// Stop implements gang.LeasedWorker.
func (l leasedWorker) Stop(ctx context.Context, task string) (worker.Task, error) {
	return l.do(ctx, lease.Call{Kind: lease.Stop, Task: task})
}

// Checkpoint implements gang.LeasedWorker.
func (l leasedWorker) Checkpoint(ctx context.Context, task string, limit time.Duration) (worker.Task, error) {
	return l.do(ctx, lease.Call{Kind: lease.Checkpoint, Task: task, CheckpointTimeout: limit})
}

// Abandon implements gang.LeasedWorker. It stops the renewals of the lease, so that the
// lease expires and the worker ends its tasks. It has no effect when the worker
// was lost or no lease is in force.
func (l leasedWorker) Abandon() {
	l.route.mu.Lock()
	client, epoch, lossCount := l.route.client, l.route.epoch, l.route.lossCount
	l.route.mu.Unlock()
	if lossCount == l.lossCount && epoch > 0 {
		client.abandon(l.route.worker.Name, epoch)
	}
}
