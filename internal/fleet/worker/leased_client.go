package worker

import (
	"context"
	"time"
)

// LeasedClient makes calls to one worker under one lease. See Client for the calls.
type LeasedClient struct {
	Client *Client
	Lease  Lease
}

// Start starts a task.
func (c LeasedClient) Start(ctx context.Context, spec Spec) (Task, error) {
	return c.Client.Start(ctx, c.Lease, spec)
}

// Throttle limits a task to a number of cores.
func (c LeasedClient) Throttle(ctx context.Context, task string, cores float64) (Task, error) {
	return c.Client.Throttle(ctx, c.Lease, task, cores)
}

// Stop ends a task.
func (c LeasedClient) Stop(ctx context.Context, task string) (Task, error) {
	return c.Client.Stop(ctx, c.Lease, task)
}

// Checkpoint pauses a task and saves its progress.
func (c LeasedClient) Checkpoint(ctx context.Context, task string, timeout time.Duration) (Task, error) {
	return c.Client.Checkpoint(ctx, c.Lease, task, timeout)
}
