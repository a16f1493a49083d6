package coordinator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/workload"
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

// Guards against a run that is given up while it is being stopped, because its
// start was answered long ago: its room was given away before it was free.
func TestStoppingRunIsSettledByItsStop(t *testing.T) {
	const sent = 10 * time.Second
	for name, tt := range map[string]struct {
		stopping          bool
		answered, stopped time.Duration
		settled           bool
	}{
		"started":             {answered: 9 * time.Second, settled: true},
		"start not answered":  {},
		"stop not answered":   {stopping: true, answered: time.Second},
		"stop answered":       {stopping: true, answered: time.Second, stopped: 8 * time.Second, settled: true},
		"stop just answered":  {stopping: true, answered: time.Second, stopped: 9900 * time.Millisecond},
		"neither is answered": {stopping: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := &Coordinator{}
			c.Apply(Options{TaskStopTime: 200 * time.Millisecond})
			r := &run{task: workload.TaskID{}, phase: running, attempt: &attempt{stopping: tt.stopping}, answered: tt.answered, stopAnswered: tt.stopped}
			qt.New(t).Check((&term{Coordinator: c}).settled(r, sent), qt.Equals, tt.settled)
		})
	}
}

// Guards against members of a gang that give up waiting while the start of
// another one is still tried.
func TestStartLimitFitsTheWaitOfGangs(t *testing.T) {
	for name, tt := range map[string]struct{ gang, want time.Duration }{
		"no limit":   {0, startTime},
		"as usual":   {3 * time.Second, startTime},
		"short wait": {time.Second, 500 * time.Millisecond},
		"long wait":  {time.Minute, startTime},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(startLimit(tt.gang), qt.Equals, tt.want)
		})
	}
}
