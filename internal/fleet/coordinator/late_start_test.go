package coordinator_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleethost"
)

// Guards against a second run of a task when the first try of a start, which was not
// answered, arrives seconds later at the next incarnation of the minion. The clock of
// that one starts anew, so the deadline of the start does not protect it.
func TestTaskRunsTwiceAfterLateStartReachesNextIncarnation(t *testing.T) {
	const (
		runTime = 6 * time.Second
		down    = time.Second
	)
	for name, tt := range map[string]struct {
		runTime time.Duration
		// crash restarts the minion. deliver delivers the late start there.
		crash  func(f *fixture, gone *atomic.Bool, m *fleethost.Minion, deliver func())
		starts int // starts is how often the task may start, at most.
	}{
		"after the first report": {runTime: runTime, starts: 2, crash: func(_ *fixture, _ *atomic.Bool, m *fleethost.Minion, deliver func()) {
			m.Restart()
			time.Sleep(down)
			deliver()
		}},
		"before the first report, minion gone for a time": {runTime: runTime, starts: 3, crash: func(_ *fixture, gone *atomic.Bool, m *fleethost.Minion, deliver func()) {
			gone.Store(true)
			time.Sleep(down)
			m.Restart()
			deliver()
			gone.Store(false)
		}},
		"after the run has ended": {runTime: startOpen, starts: 1, crash: func(f *fixture, _ *atomic.Bool, m *fleethost.Minion, deliver func()) {
			f.awaitState("job", workload.Done)
			time.Sleep(200 * time.Millisecond) // The end is acknowledged.
			m.Restart()
			time.Sleep(down)
			deliver()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newLeaseFixture(t, "r1", "r1")
			var held heldStart
			var gone atomic.Bool
			f.hooks.Store(&hooks{
				start: func(m *fleethost.Minion, r host.StartRequest) error {
					if r.Number == 1 && held.hold(m, r) || gone.Load() && held.on() == m {
						return errNoReply
					}
					return m.Start(context.Background(), r)
				},
				stop: func(m *fleethost.Minion, r host.StopRequest) error {
					if gone.Load() && held.on() == m {
						return errNoReply
					}
					return m.Stop(context.Background(), r)
				},
				renew: func(m *fleethost.Minion, r host.RenewLeaseRequest) (host.StatusReport, error) {
					if gone.Load() && held.on() == m {
						return host.StatusReport{Gone: true}, nil
					}
					return renewShortly(m, r)
				},
			})
			time.Sleep(3 * time.Second) // The clock of the minion is ahead of that of its next incarnation.
			defer f.startCoordinator("one")()
			f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, tt.runTime)
			f.waitFor("the second try is carried out", func() bool { return f.starts("job", 1) == 1 })
			time.Sleep(startOpen)
			tt.crash(f, &gone, held.on(), func() { held.deliver(f.c, held.on()) })
			f.awaitState("job", workload.Done)
			f.c.Check(f.starts("job", 1) <= tt.starts, qt.IsTrue, qt.Commentf("%d starts", f.starts("job", 1)))
		})
	}
}
