package group_test

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
)

// Guards against members of a group that keep running after another failed.
func TestFirstErrorStopsTheGroup(t *testing.T) {
	c := qt.New(t)
	failure := errors.New("broken")
	g := group.New(context.Background())
	g.Go("waits", func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	g.Go("fails", func(context.Context) error { return failure })
	err := g.Wait()
	c.Assert(errors.Is(err, failure), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, "fails: broken")
}

// Guards against a planned stop being reported as a failure.
func TestStopIsNotAnError(t *testing.T) {
	c := qt.New(t)
	g := group.New(context.Background())
	g.Go("waits", func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	g.Stop()
	c.Assert(g.Wait(), qt.IsNil)
}
