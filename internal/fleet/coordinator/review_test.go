package coordinator_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleethost"
)

const (
	// startOpen is longer than the deadline of a start, with all margins.
	startOpen = 2500 * time.Millisecond
	// slowStop is a stop time in which another run can begin.
	slowStop = 900 * time.Millisecond
	// longLease is the longest lease on the platform.
	longLease = 10 * time.Second
)

// newLeaseFixture starts a fleet whose leases are as long as on the platform.
func newLeaseFixture(t *testing.T, racks ...string) *fixture {
	f := newSlowFixture(t, slowStop, racks...)
	f.maxLease = longLease
	return f
}

// Guards against a second run of a task when the next incarnation of the minion
// carries out an earlier try of the start of a run that the former one has
// reported, and answers only after the deadline of that try.
func TestTaskRunsTwiceAfterLateFirstReportOfNextIncarnation(t *testing.T) {
	t.Parallel()
	f := newLeaseFixture(t, "r1", "r1")
	var held heldStart
	var mute atomic.Bool
	f.hooks.Store(&hooks{
		start: func(m *fleethost.Minion, r host.StartRequest) error {
			if r.Number == 1 && held.hold(m, r) {
				return errNoReply
			}
			return m.Start(context.Background(), r)
		},
		renew: func(m *fleethost.Minion, r host.RenewLeaseRequest) (host.StatusReport, error) {
			if mute.Load() && held.on() == m {
				return host.StatusReport{}, errNoReply
			}
			return renewShortly(m, r)
		},
	})
	time.Sleep(3 * time.Second) // The clock of the minion is ahead of that of its next incarnation.
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, 6*time.Second)
	f.waitFor("the second try is carried out", func() bool { return f.starts("job", 1) == 1 })
	time.Sleep(200 * time.Millisecond) // The minion reports the run.
	mute.Store(true)
	held.on().Restart()
	held.deliver() // within the deadline
	f.c.Assert(held.on().Look().Running, qt.HasLen, 1)
	time.Sleep(startOpen)
	mute.Store(false)
	f.awaitState("job", workload.Done)
}

// Guards against a second run of a task when the report that no minion runs is
// older than the end of the time in which a start may arrive.
func TestTaskRunsTwiceAfterDelayedReportThatMinionIsGone(t *testing.T) {
	t.Parallel()
	f := newLeaseFixture(t, "r1", "r1")
	var held heldStart
	var heldAt, reborn atomic.Int64
	begin := time.Now()
	f.hooks.Store(&hooks{
		start: func(m *fleethost.Minion, r host.StartRequest) error {
			if r.Number == 1 && held.hold(m, r) {
				heldAt.Store(int64(time.Since(begin)))
				return errNoReply
			}
			if held.on() == m {
				return errNoReply
			}
			return m.Start(context.Background(), r)
		},
		stop: func(m *fleethost.Minion, r host.StopRequest) error {
			if held.on() == m {
				return errNoReply
			}
			return m.Stop(context.Background(), r)
		},
		renew: func(m *fleethost.Minion, r host.RenewLeaseRequest) (host.StatusReport, error) {
			if held.on() != m || reborn.Load() > 0 {
				return renewShortly(m, r)
			}
			// The reply takes less than hostlink allows.
			if age := time.Since(begin) - time.Duration(heldAt.Load()); age > 1400*time.Millisecond {
				time.Sleep(startOpen - age)
			}
			return host.StatusReport{Gone: true}, nil
		},
	})
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, 5*time.Second)
	f.waitFor("a start is held", func() bool { return held.on() != nil })
	time.Sleep(time.Until(begin.Add(time.Duration(heldAt.Load()) + 1900*time.Millisecond)))
	held.on().Restart()
	held.deliver()
	reborn.Store(1)
	f.c.Assert(held.on().Look().Running, qt.HasLen, 1)
	time.Sleep(time.Second)
	f.hooks.Store(nil)
	f.awaitState("job", workload.Done)
}

// Guards against a run that is never released: the last try of its start was
// answered as ended, and the minion restarted while an earlier try was open.
func TestRunIsReleasedAfterEndedReplyAndRestart(t *testing.T) {
	t.Parallel()
	f := newLeaseFixture(t, "r1")
	var mute atomic.Bool
	var ended atomic.Bool
	f.hooks.Store(&hooks{
		start: func(m *fleethost.Minion, r host.StartRequest) error {
			if r.Number > 1 {
				return m.Start(context.Background(), r)
			}
			if mute.CompareAndSwap(false, true) {
				time.Sleep(2 * shortDuration) // A renewal may be under way.
				f.c.Check(m.Start(context.Background(), r), qt.IsNil)
				time.Sleep(2 * shortDuration)
				return errNoReply
			}
			m.Settle()
			err := m.Start(context.Background(), r)
			f.c.Check(err, qt.ErrorIs, host.ErrRunEnded)
			ended.Store(true)
			return err
		},
		renew: func(m *fleethost.Minion, r host.RenewLeaseRequest) (host.StatusReport, error) {
			if mute.Load() {
				return host.StatusReport{}, errNoReply
			}
			return renewShortly(m, r)
		},
	})
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, shortDuration)
	f.waitFor("a later try is answered", ended.Load)
	time.Sleep(100 * time.Millisecond)
	f.minionList[0].Restart() // The end is lost.
	f.hooks.Store(nil)
	f.awaitState("job", workload.Done)
}

// Guards against a second run of a task when a start of the former coordinator
// is carried out by the next incarnation, which has seen no fencing token.
func TestTaskRunsTwiceAfterFormerStartReachesNextIncarnation(t *testing.T) {
	t.Parallel()
	f := newLeaseFixture(t, "r1", "r1")
	var held heldStart
	var mute atomic.Bool
	f.hooks.Store(&hooks{
		start: func(m *fleethost.Minion, r host.StartRequest) error {
			if r.Number == 1 && held.hold(m, r) {
				return errNoReply
			}
			return m.Start(context.Background(), r)
		},
		renew: func(m *fleethost.Minion, r host.RenewLeaseRequest) (host.StatusReport, error) {
			if mute.Load() && held.on() == m {
				return host.StatusReport{}, errNoReply
			}
			return renewShortly(m, r)
		},
	})
	stop := f.startCoordinator("one")
	f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, 4*time.Second)
	f.waitFor("the second try is carried out", func() bool { return f.starts("job", 1) == 1 })
	stop()
	defer f.startCoordinator("two")()
	f.waitFor("the successor leads", func() bool { return strings.Contains(f.logs.String(), `event="term begun" token=2`) })
	time.Sleep(300 * time.Millisecond) // The minion reports the run to the successor.
	mute.Store(true)
	held.on().Restart()
	held.deliver()
	f.c.Assert(held.on().Look().Running, qt.HasLen, 1)
	mute.Store(false)
	f.awaitState("job", workload.Done)
}

// Guards against a second run of a task when a start that grants a lease is
// carried out by the next incarnation, whose clock starts anew, and the host is
// silent until the leases have lapsed.
func TestTaskRunsTwiceAfterStartGrantsLeaseOnNextIncarnation(t *testing.T) {
	t.Parallel()
	const maxLease = 4 * time.Second
	f := newFixture(t, "r1", "r1")
	f.maxLease = maxLease
	var held heldStart
	var heldAt atomic.Int64
	begin := time.Now()
	f.hooks.Store(&hooks{
		start: func(m *fleethost.Minion, r host.StartRequest) error {
			switch {
			case r.Number == 1 && held.hold(m, r):
				heldAt.Store(int64(time.Since(begin)))
				return errNoReply
			case held.on() == m:
				return errNoReply
			}
			return m.Start(context.Background(), r)
		},
		stop: func(m *fleethost.Minion, r host.StopRequest) error {
			if held.on() == m {
				return errNoReply
			}
			return m.Stop(context.Background(), r)
		},
		renew: func(m *fleethost.Minion, r host.RenewLeaseRequest) (host.StatusReport, error) {
			if held.on() == m {
				return host.StatusReport{}, errNoReply
			}
			return renewShortly(m, r)
		},
	})
	time.Sleep(maxLease) // The clock of the minion is ahead of that of its next incarnation.
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, 6*time.Second)
	f.waitFor("a start is held", func() bool { return held.on() != nil })
	time.Sleep(time.Until(begin.Add(time.Duration(heldAt.Load()) + 1800*time.Millisecond)))
	held.on().Restart()
	held.request.StartDeadline = min(held.request.StartDeadline, maxLease) // A minion shortens a longer lease.
	held.deliver()
	f.c.Assert(held.on().Look().Running, qt.HasLen, 1)
	time.Sleep(maxLease + 200*time.Millisecond)
	held.on().Settle() // The lease ends.
	f.hooks.Store(nil)
	f.awaitState("job", workload.Done)
}

// Guards against a second run of a task when a start reaches the next
// incarnation after its deadline on the clock of the former one.
func TestTaskRunsTwiceAfterStartOutlivesItsDeadline(t *testing.T) {
	t.Parallel()
	f := newLeaseFixture(t, "r1", "r1")
	var held heldStart
	var reborn atomic.Bool
	f.hooks.Store(&hooks{
		start: func(m *fleethost.Minion, r host.StartRequest) error {
			if r.Number == 1 && (held.hold(m, r) || held.on() == m) {
				return errNoReply
			}
			return m.Start(context.Background(), r)
		},
		renew: func(m *fleethost.Minion, r host.RenewLeaseRequest) (host.StatusReport, error) {
			if held.on() == m && !reborn.Load() {
				return host.StatusReport{Gone: true}, nil
			}
			return renewShortly(m, r)
		},
	})
	time.Sleep(3 * time.Second) // The clock of the minion is ahead of that of its next incarnation.
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, 3*time.Second)
	f.waitFor("a start is held", func() bool { return held.on() != nil })
	time.Sleep(startOpen + 500*time.Millisecond)
	held.on().Restart()
	held.deliver()
	reborn.Store(true)
	f.awaitState("job", workload.Done)
}

// Guards against a best-effort task that stays slow because a call that was not
// answered counts as a call without effect.
func TestBestEffortTaskRegainsSpeedAfterUnansweredThrottle(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	defer f.startCoordinator("one")()
	serving := longRunning(1, 1)
	serving.LatencyTarget = 100 * time.Millisecond
	j := f.submitWork(workload.Job{ID: "serving", Steps: []workload.Step{serving}}, fleethost.Work{Duration: shortDuration, Lasting: true, Latency: 90 * time.Millisecond})
	f.waitFor("it serves", func() bool { return f.servingTasks(j.ID) == 1 })
	var speed atomic.Int64 // speed is that of the only best-effort task; 0 before the first call.
	f.hooks.Store(&hooks{throttle: func(m *fleethost.Minion, r host.ThrottleRequest) error {
		f.c.Check(m.Throttle(context.Background(), r), qt.IsNil)
		if speed.Swap(int64(r.SpeedPercent)) > 0 {
			return nil
		}
		f.cancel(j.ID)
		time.Sleep(600 * time.Millisecond) // A call to a minion takes as long.
		return errNoReply
	}})
	bestEffort := workload.Step{Count: 1, Need: workload.Resources{MilliCores: 40_000, MemoryMB: 10}, BestEffort: true}
	f.submitWork(workload.Job{ID: "filling", Priority: 2, Steps: []workload.Step{bestEffort}}, fleethost.Work{Duration: time.Minute})
	f.waitFor("it is slowed down", func() bool { return speed.Load() == 50 })
	f.awaitState(j.ID, workload.Cancelled)
	f.waitFor("it works at full speed", func() bool { return speed.Load() == 100 })
}

// Guards against a run that is stopped although the minion reports it, because
// the tries of its start were not answered.
func TestReportedRunIsKeptAfterUnansweredStart(t *testing.T) {
	for name, later := range map[string]error{"not answered": errNoReply, "refused": host.ErrDraining} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1", "r1")
			var tries atomic.Int64
			f.hooks.Store(&hooks{start: func(m *fleethost.Minion, r host.StartRequest) error {
				if r.Number > 1 {
					return m.Start(context.Background(), r)
				}
				if tries.Add(1) > 1 {
					return later
				}
				f.c.Check(m.Start(context.Background(), r), qt.IsNil)
				time.Sleep(300 * time.Millisecond) // The minion reports the run before the next try.
				return errNoReply
			}, renew: renewShortly})
			defer f.startCoordinator("one")()
			f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, 2*time.Second)
			f.awaitState("job", workload.Done)
			f.c.Check(f.starts("job", 1), qt.Equals, 1)
			f.c.Check(strings.Contains(f.logs.String(), "event=stop job=job"), qt.IsFalse)
		})
	}
}

// Guards against a run that is never released because its stop is not carried
// out, although the minion has reported after the deadline of its start that it
// has no such run.
func TestRunIsReleasedAfterItsDeadlineWithoutStopReply(t *testing.T) {
	for name, reply := range map[string]error{"not answered": errNoReply, "refused": host.ErrUnhealthy} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1", "r1")
			var chosen atomic.Pointer[fleethost.Minion]
			f.hooks.Store(&hooks{
				start: func(m *fleethost.Minion, r host.StartRequest) error {
					if r.Number > 1 {
						return m.Start(context.Background(), r)
					}
					chosen.Store(m)
					return errNoReply
				},
				stop: func(m *fleethost.Minion, r host.StopRequest) error {
					if chosen.Load() == m {
						return reply
					}
					return m.Stop(context.Background(), r)
				},
			})
			defer f.startCoordinator("one")()
			f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, shortDuration)
			f.awaitState("job", workload.Done)
		})
	}
}

// Guards against resources that are allocated twice while a run that the term
// doesn't know is being stopped and is not reported.
func TestUnexpectedRunHoldsResourcesUntilItHasEnded(t *testing.T) {
	t.Parallel()
	f := newSlowFixture(t, slowStop, "r1")
	f.hooks.Store(&hooks{renew: renewShortly})
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "small", Steps: []workload.Step{step(1, 1)}}, shortDuration)
	f.awaitState("small", workload.Done)
	first, second := step(1, 1), step(1, 8)
	second.DependsOn = []int{0}
	f.submit(workload.Job{ID: "job", Steps: []workload.Step{first, second}}, 3*time.Second)
	f.waitFor("the first step runs", func() bool { return f.starts("job", 1) == 1 })
	f.fleet.SetWork("job", 1, fleethost.Work{Duration: time.Minute, Need: workload.Resources{Accelerators: 7}})
	m := f.minionList[0]
	f.c.Assert(m.Start(context.Background(), host.StartRequest{
		Incarnation: m.Report().Incarnation(), Token: 1, Task: workload.TaskID{Job: "job", Step: 1}, Number: 9, StartDeadline: time.Minute,
	}), qt.IsNil)
	f.waitFor("it is reported", func() bool { return strings.Contains(f.logs.String(), `event="unexpected run"`) })
	f.submit(workload.Job{ID: "next", Steps: []workload.Step{step(1, 7)}}, shortDuration)
	f.awaitState("next", workload.Done)
	f.cancel("job")
	f.awaitState("job", workload.Cancelled)
}

// Guards against a task that waits until the leases have lapsed although its
// minion was known to be gone, because the host became silent afterwards.
func TestTaskOfGoneMinionIsPlacedAgainAfterItsHostIsSilent(t *testing.T) {
	t.Parallel()
	f := newLeaseFixture(t, "r1", "r1")
	f.hooks.Store(&hooks{renew: renewShortly})
	stop := f.startCoordinator("one")
	f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, 2*time.Second)
	f.waitFor("it runs", func() bool { return f.starts("job", 1) == 1 })
	time.Sleep(500 * time.Millisecond)
	stop()
	var minion *fleethost.Minion
	for _, m := range f.minionList {
		if len(m.Look().Running) > 0 {
			minion = m
		}
	}
	minion.Restart() // It ends. Nothing answers there until the test is over.
	var silent atomic.Bool
	f.hooks.Store(&hooks{renew: func(m *fleethost.Minion, r host.RenewLeaseRequest) (host.StatusReport, error) {
		switch {
		case m != minion:
			return renewShortly(m, r)
		case silent.Load():
			return host.StatusReport{}, errNoReply
		default:
			return host.StatusReport{Gone: true}, nil
		}
	}, stop: func(m *fleethost.Minion, r host.StopRequest) error {
		if m == minion {
			return errNoReply
		}
		return m.Stop(context.Background(), r)
	}})
	defer f.startCoordinator("two")()
	f.waitFor("the minion is known to be gone", func() bool { return strings.Contains(f.logs.String(), `event="minion gone"`) })
	silent.Store(true)
	begin := time.Now()
	f.waitFor("it runs again", func() bool { return f.starts("job", 1) == 2 })
	f.c.Check(time.Since(begin) < 6*time.Second, qt.IsTrue, qt.Commentf("after %s", time.Since(begin)))
	f.awaitState("job", workload.Done)
}
