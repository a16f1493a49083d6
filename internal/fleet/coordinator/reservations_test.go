package coordinator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleethost"
)

// The priorities of the jobs in the tests of reservations.
const (
	ordinaryPriority = 1
	lowPriority      = 2
)

// submitOne submits a job of one step whose estimate may differ from its run time.
func (f *fixture) submitOne(id workload.ID, priority int, s workload.Step, estimate time.Duration, w fleethost.Work) {
	s.Estimate, w.Need = estimate, s.Need
	if s.Gang {
		w.Gang = s.Count
	}
	f.submitEstimated(workload.Job{ID: id, Priority: priority, Steps: []workload.Step{s}}, []fleethost.Work{w})
}

// Guards against jobs that are not started although most hosts are free, because a gang
// waits for hosts with work that does not end soon.
func TestGangThatCannotStartKeepsNoHostsIdle(t *testing.T) {
	const long = time.Minute
	for name, tt := range map[string]struct {
		blocker  workload.Step // blocker is the step whose tasks are in the way of the gang.
		estimate time.Duration // estimate is that of the blocker.
		work     fleethost.Work
	}{
		"long-running tasks":          {longRunning(3, 1), time.Minute, fleethost.Work{Lasting: true}},
		"one long-running task":       {longRunning(1, 1), time.Minute, fleethost.Work{Lasting: true}},
		"long-running gang":           {func() workload.Step { s := gang(3, 1); s.LongRunning = true; return s }(), time.Minute, fleethost.Work{Lasting: true}},
		"long tasks":                  {step(3, 1), long, fleethost.Work{Duration: long}},
		"long tasks without estimate": {step(3, 1), 0, fleethost.Work{Duration: long}},
		"long tasks with a wrong one": {step(3, 1), time.Second, fleethost.Work{Duration: long}},
		"tasks longer than estimated": {step(3, 1), time.Second, fleethost.Work{Duration: 15 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1", "r2", "r3")
			defer f.startCoordinator("one")()
			tt.blocker.SpreadLimit = 1
			f.submitOne("blocker", ordinaryPriority, tt.blocker, tt.estimate, tt.work)
			f.waitFor("it runs", func() bool { return f.starts("blocker", 3) == tt.blocker.Count })
			time.Sleep(500 * time.Millisecond)
			f.submitOne("gang", ordinaryPriority, gang(3, 8), shortDuration, fleethost.Work{Duration: shortDuration})
			time.Sleep(500 * time.Millisecond)
			for i := range 3 {
				f.submitOne(workload.ID(fmt.Sprintf("small-%d", i)), lowPriority, step(1, 1), shortDuration, fleethost.Work{Duration: shortDuration})
			}
			begin := time.Now()
			for i := range 3 {
				f.awaitState(workload.ID(fmt.Sprintf("small-%d", i)), workload.Done)
			}
			f.c.Check(time.Since(begin) < 8*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(begin)))
			f.c.Check(f.starts("gang", 3), qt.Equals, 0)
		})
	}
}

// Guards against a long-running task that is not started although most hosts are free,
// because a gang waits for its hosts.
func TestLongRunningTaskDoesNotWaitForGang(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r2")
	defer f.startCoordinator("one")()
	f.submitOne("work", ordinaryPriority, step(1, 1), 6*time.Second, fleethost.Work{Duration: 6 * time.Second})
	f.waitFor("it runs", func() bool { return f.starts("work", 1) == 1 })
	f.submitOne("gang", ordinaryPriority, gang(2, 8), shortDuration, fleethost.Work{Duration: shortDuration})
	f.waitFor("hosts are reserved", func() bool { return strings.Contains(f.logs.String(), "hosts reserved") })
	begin := time.Now()
	f.submitOne("lasting", lowPriority, longRunning(1, 1), time.Minute, fleethost.Work{Lasting: true})
	f.waitFor("it serves", func() bool { return f.servingTasks("lasting") == 1 })
	f.c.Check(time.Since(begin) < 3*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(begin)))
}

// Guards against a gang that starves behind smaller work that keeps coming, although
// the work on its hosts ends soon, whatever the estimates of that work say.
func TestGangStartsAmongSmallerWork(t *testing.T) {
	const runTime = 1500 * time.Millisecond
	for name, estimate := range map[string]time.Duration{
		"correct estimates": runTime, "far too short ones": runTime / 10, "far too long ones": 2 * runTime, "none": 0,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1", "r2", "r3")
			defer f.startCoordinator("one")()
			count := 0
			submitSmall := func() {
				f.submitOne(workload.ID(fmt.Sprintf("small-%03d", count)), lowPriority, step(1, 2), estimate, fleethost.Work{Duration: runTime})
				count++
			}
			for range 12 {
				submitSmall()
			}
			time.Sleep(runTime / 2)
			begin := time.Now()
			f.submitOne("gang", ordinaryPriority, gang(3, 8), 500*time.Millisecond, fleethost.Work{Duration: 500 * time.Millisecond})
			for f.stateOf("gang") != workload.Done && time.Since(begin) < waitTimeout {
				submitSmall()
				time.Sleep(runTime / 12)
			}
			f.c.Check(time.Since(begin) < 8*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(begin)))
		})
	}
}

// Guards against two waiting gangs that take hosts in turn from each other, so that
// neither starts.
func TestWaitingGangsStartOneAfterTheOther(t *testing.T) {
	t.Parallel()
	const runTime = time.Second
	f := newFixture(t, "r1", "r2", "r3")
	defer f.startCoordinator("one")()
	for i, left := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		f.submitOne(workload.ID(fmt.Sprintf("work-%d", i)), ordinaryPriority, step(1, 8), left, fleethost.Work{Duration: left})
	}
	f.waitFor("the hosts are busy", func() bool { return f.starts("work-0", 1)+f.starts("work-1", 1)+f.starts("work-2", 1) == 3 })
	begin := time.Now()
	// The due times of the gangs pass while they wait, so that their order changes.
	f.submitOne("three", ordinaryPriority, gang(3, 8), runTime, fleethost.Work{Duration: runTime})
	f.waitFor("hosts are reserved", func() bool { return strings.Contains(f.logs.String(), "hosts reserved") })
	for i := range 4 {
		f.submitOne(workload.ID(fmt.Sprintf("two-%d", i)), ordinaryPriority, gang(2, 8), runTime/2, fleethost.Work{Duration: runTime / 2})
	}
	f.awaitState("three", workload.Done)
	f.c.Check(time.Since(begin) < 6*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(begin)))
	for i := range 4 {
		f.awaitState(workload.ID(fmt.Sprintf("two-%d", i)), workload.Done)
	}
}
