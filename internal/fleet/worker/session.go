package worker

import (
	"context"
	"time"
)

// Session makes calls to one worker under one lease. See Client for the calls.
type Session struct {
	Client *Client
	Lease  Lease
}

// Start starts a task.
func (s Session) Start(ctx context.Context, spec Spec) (Task, error) {
	return s.Client.Start(ctx, s.Lease, spec)
}

// Throttle limits a task to a number of cores.
func (s Session) Throttle(ctx context.Context, task string, cores float64) (Task, error) {
	return s.Client.Throttle(ctx, s.Lease, task, cores)
}

// Stop ends a task.
func (s Session) Stop(ctx context.Context, task string) (Task, error) {
	return s.Client.Stop(ctx, s.Lease, task)
}

// Checkpoint pauses a task and saves its progress.
func (s Session) Checkpoint(ctx context.Context, task string, limit time.Duration) (Task, error) {
	return s.Client.Checkpoint(ctx, s.Lease, task, limit)
}
