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

const short = 50 * time.Millisecond

// Guards against steps that start before those that they depend on, and gangs
// or sets of tasks that do not run to their end.
func TestJobsRunToTheirEnd(t *testing.T) {
	dependent := step(2, 1)
	dependent.DependsOn = []int{0}
	for name, steps := range map[string][]workload.Step{
		"one task":                   {step(1, 8)},
		"more tasks than there fit":  {step(40, 1)},
		"gang across hosts":          {gang(3, 8)},
		"steps that depend on steps": {step(3, 1), dependent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1", "r1", "r2")
			defer f.lead("one")()
			f.submit(workload.Job{ID: "job", Steps: steps}, short)
			f.await("job", workload.Done)
		})
	}
}

// Guards against tasks that run twice, and resources that are given out twice,
// when another process takes the lead in the middle of the work.
func TestSuccessorGoesOnWithWhatRuns(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r2")
	stop := f.lead("one")
	f.submit(workload.Job{ID: "long", Steps: []workload.Step{step(2, 8)}}, 1500*time.Millisecond)
	f.await("long", workload.Running)
	f.until("both tasks run", func() bool { return f.starts("long", 2) == 2 })
	stop()
	f.submit(workload.Job{ID: "next", Steps: []workload.Step{step(2, 8)}}, short)
	defer f.lead("two")()
	f.await("long", workload.Done)
	f.await("next", workload.Done)
	f.c.Assert(f.starts("long", 2), qt.Equals, 2)
}

func (f *fixture) starts(job workload.ID, tasks int) int {
	sum := 0
	for i := range tasks {
		sum += f.fleet.Starts(workload.TaskID{Job: job, Index: i})
	}
	return sum
}

// Guards against a successor that gives out the resources of a cancelled job
// whose runs are still being stopped: a day of the users' bench broke the limit
// of a host that way.
func TestSuccessorCountsRunsOfEndedJobs(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	stop := f.lead("one")
	f.submit(workload.Job{ID: "cancelled", Steps: []workload.Step{step(1, 8)}}, time.Minute)
	f.until("it runs", func() bool { return f.starts("cancelled", 1) == 1 })
	f.list[0].SetFaults(fleethost.Faults{Silent: true}) // The stop does not arrive.
	f.cancel("cancelled")
	f.await("cancelled", workload.Cancelled)
	time.Sleep(short)
	stop()
	f.submit(workload.Job{ID: "next", Steps: []workload.Step{step(1, 8)}}, short)
	f.list[0].SetFaults(fleethost.Faults{})
	defer f.lead("two")()
	f.await("next", workload.Done)
}

// Guards against a successor that takes a run for gone that the former
// coordinator is having stopped: it is not listed, and holds its resources.
func TestSuccessorWaitsForRunsThatAreStopping(t *testing.T) {
	t.Parallel()
	f := newSlowFixture(t, time.Second, "r1")
	stop := f.lead("one")
	f.submit(workload.Job{ID: "borrowed", Priority: 2, Organisation: "other", Steps: []workload.Step{step(1, 8)}}, time.Minute)
	f.until("it runs", func() bool { return f.starts("borrowed", 1) == 1 })
	f.submit(workload.Job{ID: "owned", Priority: 0, Organisation: "owner", Steps: []workload.Step{gang(2, 4)}}, short)
	time.Sleep(300 * time.Millisecond) // the stop was sent
	stop()
	defer f.lead("two")()
	f.await("owned", workload.Done)
}

// Guards against a second run while a start without an answer may have been
// carried out.
func TestStartWithoutAnswerIsNotDoubled(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r1")
	for _, m := range f.list {
		m.SetFaults(fleethost.Faults{LoseStarts: 3})
	}
	defer f.lead("one")()
	for i := range 4 {
		f.submit(workload.Job{ID: workload.ID(fmt.Sprintf("job-%d", i)), Steps: []workload.Step{gang(2, 2)}}, short)
	}
	for i := range 4 {
		f.await(workload.ID(fmt.Sprintf("job-%d", i)), workload.Done)
	}
}

// Guards against work that waits for ever for a host that is gone, and against
// a second run while the first may still hold its lease.
func TestWorkOfSilentHostRunsElsewhereAfterItsLease(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r2")
	defer f.lead("one")()
	f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, 4*time.Second)
	f.until("it runs", func() bool { return f.starts("job", 1) == 1 })
	for _, m := range f.list[:1] {
		m.SetFaults(fleethost.Faults{Silent: true})
	}
	f.await("job", workload.Done)
}

// Guards against runs of a former life of a minion that are waited for.
func TestRestartedMinionGetsWorkAgain(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	defer f.lead("one")()
	f.submit(workload.Job{ID: "job", Steps: []workload.Step{gang(2, 4)}}, time.Second)
	f.until("it runs", func() bool { return f.starts("job", 2) == 2 })
	f.list[0].Restart()
	f.await("job", workload.Done)
	f.c.Assert(f.starts("job", 2), qt.Equals, 4)
}

// Guards against a task that is started again while it runs: a start that was
// sent to one life of a minion is carried out by the next one.
func TestStartCarriedOutByTheNextLife(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	defer f.lead("one")()
	f.submit(workload.Job{ID: "first", Steps: []workload.Step{step(1, 1)}}, short)
	f.await("first", workload.Done)
	f.list[0].Restart() // The coordinator learns of it with the next listing.
	f.submit(workload.Job{ID: "second", Steps: []workload.Step{step(4, 1)}}, 2*time.Second)
	f.await("second", workload.Done)
	f.c.Assert(f.starts("second", 4), qt.Equals, 4)
}

// Guards against a coordinator that goes on deciding after another one has
// taken over, and against decisions that are lost when an append has no answer.
func TestStoreFaultsNeitherDoubleNorLoseWork(t *testing.T) {
	for name, faults := range map[string]fleetstore.Faults{
		"answers lost":       {LoseAppend: 5},
		"appends dropped":    {DropAppend: 5},
		"some of each":       {LoseAppend: 2, DropAppend: 2},
		"down for a while":   {Down: true},
		"nothing goes wrong": {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1", "r1")
			defer f.lead("one")()
			f.submit(workload.Job{ID: "first", Steps: []workload.Step{step(20, 1)}}, short)
			f.await("first", workload.Running)
			f.store.SetFaults(faults)
			time.Sleep(3 * short)
			f.store.SetFaults(fleetstore.Faults{LoseAppend: faults.LoseAppend, DropAppend: faults.DropAppend})
			f.await("first", workload.Done)
		})
	}
}

// Guards against a deposed coordinator that still starts work.
func TestDeposedCoordinatorStops(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	defer f.lead("one")()
	f.submit(workload.Job{ID: "first", Steps: []workload.Step{step(1, 1)}}, short)
	f.await("first", workload.Done)
	f.store.Depose(topic, "nobody")
	time.Sleep(time.Second) // longer than between two claims
	f.submit(workload.Job{ID: "second", Steps: []workload.Step{step(1, 1)}}, short)
	time.Sleep(time.Second)
	f.c.Assert(f.stateOf("second"), qt.Equals, workload.Pending)
	f.store.Depose(topic, "one")
	f.await("second", workload.Done)
}

// Guards against cancelled work that goes on.
func TestCancelledJobStops(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	defer f.lead("one")()
	f.submit(workload.Job{ID: "long", Steps: []workload.Step{gang(2, 4)}}, time.Minute)
	f.until("it runs", func() bool { return f.starts("long", 2) == 2 })
	f.cancel("long")
	f.submit(workload.Job{ID: "next", Steps: []workload.Step{step(1, 8)}}, short)
	f.await("next", workload.Done)
	f.await("long", workload.Cancelled)
}

// Guards against a guarantee that waits for borrowed capacity.
func TestGuaranteedJobTakesBorrowedCapacityBack(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	defer f.lead("one")()
	f.submit(workload.Job{ID: "borrowed", Priority: 2, Organisation: "other", Steps: []workload.Step{step(8, 1)}}, time.Minute)
	f.until("it runs", func() bool { return f.starts("borrowed", 8) == 8 })
	begin := time.Now()
	f.submit(workload.Job{ID: "owned", Priority: 0, Organisation: "owner", Steps: []workload.Step{gang(2, 4)}}, short)
	f.await("owned", workload.Done)
	f.c.Assert(time.Since(begin) < 2*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(begin)))
}

// Guards against work that is thrown away although it ends as soon as a stop
// would: a day of the users' bench stopped runs that were 94 percent done.
func TestRunThatEndsSoonIsNotStopped(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	defer f.lead("one")()
	const duration = 3 * time.Second
	f.submit(workload.Job{ID: "borrowed", Priority: 2, Organisation: "other", Steps: []workload.Step{step(1, 8)}}, duration)
	f.until("it runs", func() bool { return f.starts("borrowed", 1) == 1 })
	time.Sleep(duration - 200*time.Millisecond)
	f.submit(workload.Job{ID: "owned", Priority: 0, Organisation: "owner", Steps: []workload.Step{gang(1, 8)}}, short)
	f.await("owned", workload.Done)
	f.await("borrowed", workload.Done)
	f.c.Assert(f.starts("borrowed", 1), qt.Equals, 1)
}

// Guards against hosts that were replaced and are called for ever.
func TestSilentHostIsForgotten(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r2")
	f.forgetTime = 1500 * time.Millisecond
	f.list[0].SetFaults(fleethost.Faults{Silent: true})
	defer f.lead("one")()
	members := func() int { return len(f.state.Members(ledger.AgentRole)) }
	f.until("both are known", func() bool { return members() == 2 })
	f.until("one is forgotten", func() bool { return members() == 1 })
	f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, short)
	f.await("job", workload.Done)
}

// Guards against a job that fails for ever, and against one that is failed
// because of a host that fails everything.
func TestFailuresAreCounted(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r1")
	f.list[0].SetFaults(fleethost.Faults{FailAll: true})
	defer f.lead("one")()
	f.submit(workload.Job{ID: "good", Attempts: 2, Steps: []workload.Step{step(1, 8)}}, short)
	f.await("good", workload.Done)
	f.list[1].SetFaults(fleethost.Faults{FailAll: true})
	f.submit(workload.Job{ID: "bad", Attempts: 3, Steps: []workload.Step{step(1, 8)}}, short)
	f.await("bad", workload.Failed)
	f.c.Assert(f.starts("bad", 1), qt.Equals, 3)
}

// Guards against runs that stand still for ever.
func TestStalledRunIsMoved(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r1")
	defer f.lead("one")()
	f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 8)}}, short)
	for _, m := range f.list {
		m.SetFaults(fleethost.Faults{Stall: true})
	}
	f.until("it is moved", func() bool { return f.starts("job", 1) > 1 })
	for _, m := range f.list {
		m.SetFaults(fleethost.Faults{})
	}
	f.await("job", workload.Done)
}

// Guards against a run that stands still for ever because it was given out by a
// former coordinator.
func TestSuccessorStopsRunsThatStandStill(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r1")
	stop := f.lead("one")
	f.submit(workload.Job{ID: "stuck", Steps: []workload.Step{step(1, 8)}}, short)
	for _, m := range f.list {
		m.SetFaults(fleethost.Faults{Stall: true})
	}
	f.until("it runs", func() bool { return f.starts("stuck", 1) == 1 })
	stop()
	defer f.lead("two")()
	f.until("it is started again", func() bool { return f.starts("stuck", 1) > 1 })
	for _, m := range f.list {
		m.SetFaults(fleethost.Faults{})
	}
	f.await("stuck", workload.Done)
}
