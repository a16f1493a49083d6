package coordinator

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/run/metrics"
)

// countedStarts counts starts and answers none.
type countedStarts struct {
	host.Client
	count atomic.Int64
}

// Start implements host.Client.
func (s *countedStarts) Start(ctx context.Context, _ host.StartRequest) error {
	s.count.Add(1)
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a start that is sent long after another term has begun, because the
// process was suspended between the reply to the append and the start.
func TestStartIsNotSentWithoutRecentConfirmation(t *testing.T) {
	for name, tt := range map[string]struct {
		age  time.Duration // age is that of the last confirmation of the term.
		sent bool
	}{
		"just confirmed":      {0, true},
		"within the window":   {formerStartWindow / 2, true},
		"outside the window":  {formerStartWindow, false},
		"suspended for hours": {3 * time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			co := &Coordinator{logger: log.NewNopLogger(), metrics: newMetricSet(metrics.For(t.Name()))}
			co.Apply(Options{})
			tm := &term{
				Coordinator: co, logger: co.logger, group: group.New(context.Background()), events: make(chan func(), eventBacklog),
				hosts: make(map[string]*hostState), attempts: make(map[int]*attempt),
			}
			tm.confirm(now() - tt.age)
			client := &countedStarts{}
			h := tm.host("host")
			h.client, h.lastContact = client, now()
			job := workload.Job{ID: "job", Steps: []workload.Step{{Count: 1}}}
			a := tm.newAttempt(&jobState{job: job, progress: workload.NewProgress(job)}, 0)
			r := tm.addRun(a, job.TaskID(0, 0), 1, h, "minion@start")
			tm.startAttempt(a)
			tm.group.Go("loop", func(ctx context.Context) error {
				for {
					select {
					case event := <-tm.events:
						event()
					case <-ctx.Done():
						return nil
					}
				}
			})
			if tt.sent {
				waitUntil(c, func() bool { return client.count.Load() == 1 })
			} else {
				time.Sleep(3 * callRetryDelay)
				c.Check(client.count.Load(), qt.Equals, int64(0))
			}
			sent, ok := callLoop(context.Background(), tm, func() int { return r.tries.sent })
			c.Check(ok, qt.IsTrue)
			c.Check(sent == 1, qt.Equals, tt.sent)
			tm.confirm(now())
			waitUntil(c, func() bool { return client.count.Load() == 1 })
			time.Sleep(callRetryDelay)
			c.Check(client.count.Load(), qt.Equals, int64(1))
			tm.group.Stop()
			_ = tm.group.Wait()
		})
	}
}
