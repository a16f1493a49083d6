package coordinator_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/coordinator"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleethost"
)

func longRunning(count, accelerators int) workload.Step {
	s := step(count, accelerators)
	s.LongRunning = true
	return s
}

// submitWork submits a job of one step that runs on the minions as described by
// w.
func (f *fixture) submitWork(j workload.Job, w fleethost.Work) workload.Job {
	w.Need = j.Steps[0].ReservedResources()
	return f.submitWorks(j, []fleethost.Work{w})
}

// running returns the reported runs of a job on a minion.
func (f *fixture) running(m int, job workload.ID) (list []reportedRun) {
	for _, r := range f.minionList[m].Look().Running {
		if r.Task.Job == job {
			list = append(list, reportedRun{r.Task.Index, r.ProgressPercent, r.Load})
		}
	}
	return list
}

type reportedRun struct{ index, percent, load int }

func (f *fixture) servingTasks(job workload.ID) int {
	count := 0
	for m := range f.minionList {
		for _, r := range f.running(m, job) {
			if r.percent == 100 {
				count++
			}
		}
	}
	return count
}

// Guards against long-running tasks that are not restarted after a failure,
// count as done, or continue after their job was cancelled.
func TestLongRunningTasksAreRestarted(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r2")
	defer f.startCoordinator("one")()
	j := f.submitWork(workload.Job{ID: "lasting", Attempts: 1, Steps: []workload.Step{longRunning(2, 8)}}, fleethost.Work{Duration: shortDuration, Lasting: true})
	f.waitFor("both are serving", func() bool { return f.servingTasks(j.ID) == 2 })
	f.minionList[0].Restart()
	f.waitFor("both are serving again", func() bool { return f.servingTasks(j.ID) == 2 && f.starts(j.ID, 2) == 3 })
	f.minionList[1].End(j.TaskID(0, f.running(1, j.ID)[0].index))
	f.waitFor("both are serving after the second restart", func() bool { return f.servingTasks(j.ID) == 2 && f.starts(j.ID, 2) == 4 })
	f.c.Check(f.stateOf(j.ID), qt.Equals, workload.Running)
	f.cancel(j.ID)
	f.awaitState(j.ID, workload.Cancelled)
	f.waitFor("nothing runs", func() bool { return len(f.running(0, j.ID))+len(f.running(1, j.ID)) == 0 })
}

// Guards against hosts that get no further task while long-running tasks last there that
// have failed once at their start: no task ends there that could end the probation.
func TestHostsOfLongRunningTasksLeaveProbation(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r2")
	defer f.startCoordinator("one")()
	s := longRunning(2, 1)
	s.SpreadLimit = 1
	j := f.submitWork(workload.Job{ID: "first", Steps: []workload.Step{s}}, fleethost.Work{Duration: shortDuration, Lasting: true})
	f.waitFor("both are serving", func() bool { return f.servingTasks(j.ID) == 2 })
	for m := range f.minionList {
		f.minionList[m].End(j.TaskID(0, f.running(m, j.ID)[0].index)) // early
	}
	f.waitFor("both are serving again", func() bool { return f.servingTasks(j.ID) == 2 && f.starts(j.ID, 2) == 4 })
	f.submitWork(workload.Job{ID: "second", Steps: []workload.Step{longRunning(1, 1)}}, fleethost.Work{Duration: shortDuration, Lasting: true})
	f.waitFor("the second one serves", func() bool { return f.servingTasks("second") == 1 })
}

// Guards against preempting more tasks of a long-running step than may be
// unavailable at a time.
func TestDisruptionBudget(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r2", "r3")
	defer f.startCoordinator("one")()
	s := longRunning(3, 8)
	s.MaxUnavailable = 1
	j := f.submitWork(workload.Job{ID: "lasting", Priority: 2, Organisation: "other", Steps: []workload.Step{s}}, fleethost.Work{Duration: shortDuration, Lasting: true})
	f.waitFor("all are serving", func() bool { return f.servingTasks(j.ID) == 3 })
	f.submit(workload.Job{ID: "urgent", Organisation: "owner", Steps: []workload.Step{step(3, 8)}}, 300*time.Millisecond)
	least := 3
	f.waitFor("the urgent job is done", func() bool {
		least = min(least, f.servingTasks(j.ID))
		return f.stateOf("urgent") == workload.Done
	})
	f.c.Check(least, qt.Equals, 2)
	f.waitFor("all are serving again", func() bool { return f.servingTasks(j.ID) == 3 })
}

// Guards against a stop of the last task at work while the host of the other one is
// silent, also after a takeover, and against a budget that stays used up when the host
// answers again.
func TestDisruptionBudgetCountsSilentTasks(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r2")
	f.maxLease, f.noticeTime = 20*time.Second, 3*time.Second
	stop := f.startCoordinator("one")
	s := longRunning(2, 8)
	s.MaxUnavailable = 1
	j := f.submitWork(workload.Job{ID: "lasting", Priority: 2, Organisation: "other", Steps: []workload.Step{s}}, fleethost.Work{Duration: shortDuration, Lasting: true})
	f.waitFor("both are serving", func() bool { return f.servingTasks(j.ID) == 2 })
	time.Sleep(1200 * time.Millisecond) // Until the coordinator knows that, with the next report.
	f.minionList[0].SetFaults(fleethost.Faults{Silent: true})
	time.Sleep(f.noticeTime)
	f.submit(workload.Job{ID: "urgent", Organisation: "owner", Steps: []workload.Step{step(1, 8)}}, 300*time.Millisecond)
	serves := func(after string) {
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			f.c.Assert(f.running(1, j.ID), qt.HasLen, 1, qt.Commentf("after %s", after))
		}
	}
	serves("the notice time")
	stop()
	defer f.startCoordinator("two")()
	serves("the takeover")
	f.minionList[0].SetFaults(fleethost.Faults{})
	f.awaitState("urgent", workload.Done)
	f.waitFor("both are serving again", func() bool { return f.servingTasks(j.ID) == 2 })
}

// Guards against best-effort tasks that slow down tasks that serve users, also
// when a former coordinator has throttled them and its successor doesn't know
// their speed.
func TestBestEffortTasksAreThrottled(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	stop := f.startCoordinator("one")
	serving := longRunning(1, 1)
	serving.LatencyTarget = 100 * time.Millisecond
	j := f.submitWork(workload.Job{ID: "serving", Steps: []workload.Step{serving}}, fleethost.Work{Duration: shortDuration, Lasting: true, Latency: 40 * time.Millisecond})
	f.waitFor("it serves", func() bool { return f.servingTasks(j.ID) == 1 })
	bestEffort := workload.Step{Count: 2, Need: workload.Resources{MilliCores: 40_000, MemoryMB: 10}, BestEffort: true}
	f.submitWork(workload.Job{ID: "filling", Priority: 2, Steps: []workload.Step{bestEffort}}, fleethost.Work{Duration: time.Minute, Disturbs: 50 * time.Millisecond})
	f.waitFor("both best-effort tasks run", func() bool { return len(f.running(0, "filling")) == 2 })
	latency := func() int { return f.running(0, j.ID)[0].load }
	f.waitFor("the target is kept", func() bool { return latency() < 100 })
	stop()
	defer f.startCoordinator("two")()
	f.minionList[0].Quicken()
	f.waitFor("the successor keeps it too", func() bool { return latency() < 100 })
	f.c.Check(len(f.running(0, "filling")), qt.Equals, 2)
}

// adviser permits a step on some minions only.
type adviser struct {
	permitted []string
	validity  time.Duration
	calls     chan int // calls receives the number of minions in each call.
}

// Advise implements coordinator.Adviser.
func (a *adviser) Advise(_ context.Context, step workload.StepID, minions []string) (coordinator.Advice, error) {
	a.calls <- len(minions)
	answer := coordinator.Advice{Tickets: make(map[string]string), Validity: a.validity}
	for _, id := range minions {
		for _, permitted := range a.permitted {
			if id == permitted {
				answer.Tickets[id] = fleethost.Ticket(id, step)
			}
		}
	}
	return answer, nil
}

// Guards against starts that the adviser does not permit, starts without a
// valid ticket, and needless calls to the adviser.
func TestAdvice(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1", "r1", "r2")
	a := &adviser{permitted: []string{"m-1"}, validity: time.Second, calls: make(chan int, 100)}
	f.adviser = a
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "everywhere", Steps: []workload.Step{step(3, 8)}}, shortDuration)
	f.awaitState("everywhere", workload.Done) // All hosts are known by then.
	work := fleethost.Work{Duration: shortDuration, Ticketed: true}
	first := f.submitWork(workload.Job{ID: "advised-1", Queue: advised, Steps: []workload.Step{step(2, 4)}}, work)
	f.awaitState(first.ID, workload.Done)
	f.c.Check(len(a.calls), qt.Equals, 1)
	blocker := f.submit(workload.Job{ID: "blocker", Priority: 0, Organisation: "owner", Steps: []workload.Step{step(3, 8)}}, 1500*time.Millisecond)
	f.waitFor("the hosts are taken", func() bool { return f.starts(blocker.ID, 3) == 3 })
	second := f.submitWork(workload.Job{ID: "advised-2", Queue: advised, Priority: 2, Steps: []workload.Step{step(3, 4)}}, work)
	f.awaitState(second.ID, workload.Done)
	f.c.Check(f.starts(second.ID, 3), qt.Equals, 3)
	removed := f.submitWork(workload.Job{ID: "advised-3", Queue: "removed", Adviser: workload.AdviserUsed, Steps: []workload.Step{step(1, 4)}}, work)
	f.awaitState(removed.ID, workload.Done)
}
