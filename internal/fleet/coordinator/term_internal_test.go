package coordinator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
)

// Guards against a term that never ends because an order waits for an answer
// from a loop that has stopped: 2 of 12 runs of the tests hung that way.
func TestQuestionInTheBacklogEndsWithTheTerm(t *testing.T) {
	c := qt.New(t)
	g := group.New(context.Background())
	stopped := &term{group: g, events: make(chan func(), eventBacklog)} // Nobody takes its events.
	answered := make(chan bool, 1)
	g.Go("order", func(ctx context.Context) error {
		_, ok := ask(ctx, stopped, func() int { return 1 })
		answered <- ok
		return nil
	})
	for len(stopped.events) == 0 {
		time.Sleep(time.Millisecond)
	}
	g.Stop()
	select {
	case ok := <-answered:
		c.Check(ok, qt.IsFalse)
	case <-time.After(10 * time.Second):
		c.Fatal("the question still waits")
	}
	c.Assert(g.Wait(), qt.IsNil)
}
