package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/standin/fleethost"
	"wasabihoist/internal/standin/fleetstore"
)

const shortDuration = 50 * time.Millisecond

// Guards against steps that start before the steps they depend on, and against
// gangs or sets of tasks that do not run to completion.
func TestJobsRunToCompletion(t *testing.T) {
	dependent := step(2, 1)
	dependent.DependsOn = []int{0}
	for name, steps := range map[string][]workload.Step{
		"one task":                   {step(1, 8)},
		"more tasks than fit":        {step(40, 1)},
		"gang across hosts":          {gang(3, 8)},
		"steps that depend on steps": {step(3, 1), dependent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1", "r1", "r2")
			defer f.startCoordinator("one")()
			f.submit(workload.Job{ID: "job", Steps: steps}, shortDuration)
			f.awaitState("job", workload.Done)
		})
	}
}

// Guards against tasks that run twice and resources that are allocated twice
// when another process takes over the leadership while tasks run.
func TestSuccessorAdoptsRunningTasks(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r2")
	stop := f.startCoordinator("one")
	f.submit(workload.Job{ID: "long", Steps: []workload.Step{step(2, 8)}}, 1500*time.Millisecond)
	f.awaitState("long", workload.Running)
	f.waitFor("both tasks run", func() bool { return f.starts("long", 2) == 2 })
	stop()
	f.submit(workload.Job{ID: "next", Steps: []workload.Step{step(2, 8)}}, shortDuration)
	defer f.startCoordinator("two")()
	f.awaitState("long", workload.Done)
	f.awaitState("next", workload.Done)
	f.c.Assert(f.starts("long", 2), qt.Equals, 2)
}

func (f *fixture) starts(job workload.ID, tasks int) int {
	sum := 0
	for i := range tasks {
		sum += f.fleet.Starts(workload.TaskID{Job: job, Index: i})
	}
	return sum
}

// Guards against a successor that allocates the resources of a cancelled job
// whose runs are still being stopped. That exceeded the capacity of a host.
func TestSuccessorCountsRunsOfEndedJobs(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	stop := f.startCoordinator("one")
	f.submit(workload.Job{ID: "cancelled", Steps: []workload.Step{step(1, 8)}}, time.Minute)
	f.waitFor("it runs", func() bool { return f.starts("cancelled", 1) == 1 })
	f.minionList[0].SetFaults(fleethost.Faults{Silent: true}) // The stop does not arrive.
	f.cancel("cancelled")
	f.awaitState("cancelled", workload.Cancelled)
	time.Sleep(shortDuration)
	stop()
	f.submit(workload.Job{ID: "next", Steps: []workload.Step{step(1, 8)}}, shortDuration)
	f.minionList[0].SetFaults(fleethost.Faults{})
	defer f.startCoordinator("two")()
	f.awaitState("next", workload.Done)
}

// Guards against a successor that considers a run ended while a stop of the
// former coordinator is in progress: the run is no longer reported, but still
// holds its resources.
func TestSuccessorWaitsForRunsThatAreStopping(t *testing.T) {
	t.Parallel()
	f := newSlowFixture(t, time.Second, "r1")
	stop := f.startCoordinator("one")
	f.submit(workload.Job{ID: "borrowed", Priority: 2, Organisation: "other", Steps: []workload.Step{step(1, 8)}}, time.Minute)
	f.waitFor("it runs", func() bool { return f.starts("borrowed", 1) == 1 })
	f.submit(workload.Job{ID: "owned", Priority: 0, Organisation: "owner", Steps: []workload.Step{gang(2, 4)}}, shortDuration)
	time.Sleep(300 * time.Millisecond) // the stop was sent
	stop()
	defer f.startCoordinator("two")()
	f.awaitState("owned", workload.Done)
}

// Guards against a second run of a task whose start was not answered but may
// have been carried out.
func TestUnansweredStartIsNotDuplicated(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r1")
	for _, m := range f.minionList {
		m.SetFaults(fleethost.Faults{LoseStarts: 3})
	}
	defer f.startCoordinator("one")()
	for i := range 4 {
		f.submit(workload.Job{ID: workload.ID(fmt.Sprintf("job-%d", i)), Steps: []workload.Step{gang(2, 2)}}, shortDuration)
	}
	for i := range 4 {
		f.awaitState(workload.ID(fmt.Sprintf("job-%d", i)), workload.Done)
	}
}

// Guards against work that waits forever for a host that is gone, and against a
// second run while the first may still hold its lease.
func TestWorkOfSilentHostRunsElsewhereAfterItsLease(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r2")
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, 4*time.Second)
	f.waitFor("it runs", func() bool { return f.starts("job", 1) == 1 })
	for _, m := range f.minionList[:1] {
		m.SetFaults(fleethost.Faults{Silent: true})
	}
	f.awaitState("job", workload.Done)
}

// Guards against waiting for runs of a former incarnation of a minion.
func TestRestartedMinionGetsWorkAgain(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "job", Steps: []workload.Step{gang(2, 4)}}, time.Second)
	f.waitFor("it runs", func() bool { return f.starts("job", 2) == 2 })
	f.minionList[0].Restart()
	f.awaitState("job", workload.Done)
	f.c.Assert(f.starts("job", 2), qt.Equals, 4)
}

// Guards against a task that is started again while it runs, because a start
// that was sent to one incarnation of a minion is carried out by the next one.
func TestStartCarriedOutByTheNextLife(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "first", Steps: []workload.Step{step(1, 1)}}, shortDuration)
	f.awaitState("first", workload.Done)
	f.minionList[0].Restart() // The coordinator learns of it with the next status report.
	f.submit(workload.Job{ID: "second", Steps: []workload.Step{step(4, 1)}}, 2*time.Second)
	f.awaitState("second", workload.Done)
	f.c.Assert(f.starts("second", 4), qt.Equals, 4)
}

// Guards against a coordinator that continues to make decisions after another
// one has taken over, and against decisions that are lost when an append is not
// answered.
func TestStoreFaultsNeitherDoubleNorLoseWork(t *testing.T) {
	for name, faults := range map[string]fleetstore.Faults{
		"answers lost":     {LoseAppend: 5},
		"appends dropped":  {DropAppend: 5},
		"some of each":     {LoseAppend: 2, DropAppend: 2},
		"down for a while": {Down: true},
		"no faults":        {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1", "r1")
			defer f.startCoordinator("one")()
			f.submit(workload.Job{ID: "first", Steps: []workload.Step{step(20, 1)}}, shortDuration)
			f.awaitState("first", workload.Running)
			f.store.SetFaults(faults)
			time.Sleep(3 * shortDuration)
			f.store.SetFaults(fleetstore.Faults{LoseAppend: faults.LoseAppend, DropAppend: faults.DropAppend})
			f.awaitState("first", workload.Done)
		})
	}
}

// Guards against a deposed coordinator that still starts work.
func TestDeposedCoordinatorStops(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "first", Steps: []workload.Step{step(1, 1)}}, shortDuration)
	f.awaitState("first", workload.Done)
	f.store.Depose(topic, "nobody")
	time.Sleep(time.Second) // longer than the time between two claims
	f.submit(workload.Job{ID: "second", Steps: []workload.Step{step(1, 1)}}, shortDuration)
	time.Sleep(time.Second)
	f.c.Assert(f.stateOf("second"), qt.Equals, workload.Pending)
	f.store.Depose(topic, "one")
	f.awaitState("second", workload.Done)
}

// Guards against cancelled work that continues.
func TestCancelledJobStops(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "long", Steps: []workload.Step{gang(2, 4)}}, time.Minute)
	f.waitFor("it runs", func() bool { return f.starts("long", 2) == 2 })
	f.cancel("long")
	f.submit(workload.Job{ID: "next", Steps: []workload.Step{step(1, 8)}}, shortDuration)
	f.awaitState("next", workload.Done)
	f.awaitState("long", workload.Cancelled)
}

// Guards against guaranteed work that waits for borrowed capacity.
func TestGuaranteedJobReclaimsBorrowedCapacity(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "borrowed", Priority: 2, Organisation: "other", Steps: []workload.Step{step(8, 1)}}, time.Minute)
	f.waitFor("it runs", func() bool { return f.starts("borrowed", 8) == 8 })
	begin := time.Now()
	f.submit(workload.Job{ID: "owned", Priority: 0, Organisation: "owner", Steps: []workload.Step{gang(2, 4)}}, shortDuration)
	f.awaitState("owned", workload.Done)
	f.c.Assert(time.Since(begin) < 2*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(begin)))
}

// Guards against preemption of a run that would end by itself as soon as a stop
// would take effect. Runs that were 94 percent done were stopped that way.
func TestRunThatEndsSoonIsNotStopped(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	defer f.startCoordinator("one")()
	const duration = 3 * time.Second
	f.submit(workload.Job{ID: "borrowed", Priority: 2, Organisation: "other", Steps: []workload.Step{step(1, 8)}}, duration)
	f.waitFor("it runs", func() bool { return f.starts("borrowed", 1) == 1 })
	time.Sleep(duration - 200*time.Millisecond)
	f.submit(workload.Job{ID: "owned", Priority: 0, Organisation: "owner", Steps: []workload.Step{gang(1, 8)}}, shortDuration)
	f.awaitState("owned", workload.Done)
	f.awaitState("borrowed", workload.Done)
	f.c.Assert(f.starts("borrowed", 1), qt.Equals, 1)
}

// Guards against calling replaced hosts forever.
func TestSilentHostIsRemoved(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r2")
	f.silentHostRetention = 1500 * time.Millisecond
	f.minionList[0].SetFaults(fleethost.Faults{Silent: true})
	defer f.startCoordinator("one")()
	members := func() int { return len(f.state.Members(ledger.AgentRole)) }
	f.waitFor("both are known", func() bool { return members() == 2 })
	f.waitFor("one is removed", func() bool { return members() == 1 })
	f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, shortDuration)
	f.awaitState("job", workload.Done)
}

// Guards against a job that is retried forever, and against one that fails
// because of a host that fails everything.
func TestFailuresAreCounted(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r1")
	f.minionList[0].SetFaults(fleethost.Faults{FailAll: true})
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "good", Attempts: 2, Steps: []workload.Step{step(1, 8)}}, shortDuration)
	f.awaitState("good", workload.Done)
	f.minionList[1].SetFaults(fleethost.Faults{FailAll: true})
	f.submit(workload.Job{ID: "bad", Attempts: 3, Steps: []workload.Step{step(1, 8)}}, shortDuration)
	f.awaitState("bad", workload.Failed)
	f.c.Assert(f.starts("bad", 1), qt.Equals, 3)
}

// Guards against stalled runs that are never stopped.
func TestStalledRunIsMoved(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r1")
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, shortDuration)
	for _, m := range f.minionList {
		m.SetFaults(fleethost.Faults{Stall: true})
	}
	f.waitFor("it is restarted", func() bool { return f.starts("job", 1) > 1 })
	for _, m := range f.minionList {
		m.SetFaults(fleethost.Faults{})
	}
	f.awaitState("job", workload.Done)
}

// Guards against a stalled run that is never stopped because a former
// coordinator started it.
func TestSuccessorStopsStalledRuns(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r1")
	stop := f.startCoordinator("one")
	f.submit(workload.Job{ID: "stuck", Steps: []workload.Step{step(1, 8)}}, shortDuration)
	for _, m := range f.minionList {
		m.SetFaults(fleethost.Faults{Stall: true})
	}
	f.waitFor("it runs", func() bool { return f.starts("stuck", 1) == 1 })
	stop()
	defer f.startCoordinator("two")()
	f.waitFor("it is started again", func() bool { return f.starts("stuck", 1) > 1 })
	for _, m := range f.minionList {
		m.SetFaults(fleethost.Faults{})
	}
	f.awaitState("stuck", workload.Done)
}
