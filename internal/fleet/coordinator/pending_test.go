package coordinator_test

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleethost"
)

// Guards against jobs that are missing in the number of pending jobs and shown as
// running although no task of them has started, because a placement counts as a start.
func TestJobStaysPendingUntilATaskStarts(t *testing.T) {
	for name, reply := range map[string]error{
		"minion is unhealthy": host.ErrUnhealthy,
		"minion has no room":  host.ErrNoCapacity,
		"start is too late":   host.ErrStartTooLate,
		"start is lost":       errNoReply,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1")
			var tries atomic.Int32
			f.hooks.Store(&hooks{start: func(*fleethost.Minion, host.StartRequest) error {
				tries.Add(1)
				return reply
			}})
			f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 1)}}, time.Second)
			f.awaitState("job", workload.Pending)
			defer f.startCoordinator("one")()
			f.waitFor("two starts have failed", func() bool {
				f.c.Assert(f.state.PendingCount("q"), qt.Equals, 1)
				f.c.Assert(f.stateOf("job"), qt.Equals, workload.Pending)
				return tries.Load() >= 2
			})
			f.hooks.Store(nil)
			f.awaitState("job", workload.Running)
			f.c.Check(f.state.PendingCount("q"), qt.Equals, 0)
			f.awaitState("job", workload.Done)
		})
	}
}

// Guards against a job that stays among the pending ones although a task of it runs.
func TestStartedJobIsNotPending(t *testing.T) {
	const maxAge = 2 * time.Second // maxAge is how old the number of pending jobs may be.
	for name, tt := range map[string]struct {
		loseStarts int  // loseStarts is the number of starts carried out without an answer.
		replace    bool // replace lets another coordinator take over after the start.
		count      int
	}{
		"start answered":     {count: 1},
		"start not answered": {count: 1, loseStarts: 1},
		"other tasks wait":   {count: 9},
		"new coordinator":    {count: 1, replace: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1")
			f.minionList[0].SetFaults(fleethost.Faults{LoseStarts: tt.loseStarts})
			stop := f.startCoordinator("one")
			f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(tt.count, 1)}}, 3*time.Second)
			f.waitFor("it runs", func() bool { return f.starts("job", tt.count) > 0 })
			begin := time.Now()
			if tt.replace {
				stop()
				stop = f.startCoordinator("two")
			}
			defer stop()
			f.awaitState("job", workload.Running)
			f.c.Check(time.Since(begin) < maxAge, qt.IsTrue, qt.Commentf("took %s", time.Since(begin)))
			f.c.Check(f.state.PendingCount("q"), qt.Equals, 0)
			f.awaitState("job", workload.Done)
		})
	}
}

// Guards against a job that is shown as pending again after it was shown as running.
func TestStartedJobStaysRunning(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 1)}}, 2*time.Second)
	f.awaitState("job", workload.Running)
	f.hooks.Store(&hooks{start: func(*fleethost.Minion, host.StartRequest) error { return host.ErrUnhealthy }})
	f.minionList[0].Restart()
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		f.c.Assert(f.stateOf("job"), qt.Equals, workload.Running)
	}
	f.hooks.Store(nil)
	f.awaitState("job", workload.Done)
}
