// Package group runs goroutines that start and stop together. It is the only
// package that starts goroutines; everything else goes through a Group.
package group

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
)

// Group runs functions under one context. The first function that returns an
// error cancels the context of all the others.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	eg     *errgroup.Group
}

// New returns a group whose context is derived from ctx.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	eg, egCtx := errgroup.WithContext(ctx)
	return &Group{ctx: egCtx, cancel: cancel, eg: eg}
}

// Context returns the context that is cancelled when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts run in the group. A non-nil error stops the group; cancellation of
// the group's own context does not count as an error.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.eg.Go(func() error {
		err := run(g.ctx)
		cancelled := errors.Is(err, context.Canceled) && g.ctx.Err() != nil
		if err != nil && !cancelled {
			return fmt.Errorf("%s: %w", name, err)
		}
		return nil
	})
}

// Every starts a function that is called once per interval until the group
// stops or the function fails.
func (g *Group) Every(name string, interval time.Duration, step func(ctx context.Context) error) {
	g.Go(name, func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
			if err := step(ctx); err != nil {
				return err
			}
		}
	})
}

// Stop cancels the context of the group without waiting.
func (g *Group) Stop() { g.cancel() }

// Wait blocks until all functions have returned and returns the first error.
func (g *Group) Wait() error {
	defer g.cancel()
	return g.eg.Wait()
}

// Pause waits for a while, or until ctx ends; then it returns the error of ctx.
func Pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
