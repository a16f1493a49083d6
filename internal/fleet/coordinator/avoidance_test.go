package coordinator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleethost"
)

// labelled returns a step whose tasks run in one rack only, because the minions of a
// fixture have the name of their rack as a label.
func labelled(s workload.Step, label string) workload.Step {
	s.Label = label
	return s
}

// Guards against a job that is never started again after a failure, because it avoids
// every host that can run it.
func TestFailedJobReturnsToTheOnlyHostsThatCanRunIt(t *testing.T) {
	for name, tt := range map[string]struct {
		racks    []string
		step     workload.Step
		failures int // failures is how many runs of the job fail on the hosts with the label.
	}{
		"one failure":            {racks: []string{"rare", "r1", "r1", "r1", "r2"}, step: labelled(step(1, 1), "rare"), failures: 1},
		"last attempt":           {racks: []string{"rare", "r1", "r1", "r1", "r2"}, step: labelled(step(1, 1), "rare"), failures: 2},
		"gang on all such hosts": {racks: []string{"rare", "rare", "r1", "r1", "r2"}, step: labelled(gang(2, 8), "rare"), failures: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, tt.racks...)
			setFaults := func(faults fleethost.Faults) {
				for i, rack := range tt.racks {
					if rack == tt.step.Label {
						f.minionList[i].SetFaults(faults)
					}
				}
			}
			setFaults(fleethost.Faults{FailAll: true})
			defer f.startCoordinator("one")()
			begin := time.Now()
			work := fleethost.Work{Duration: shortDuration, Need: tt.step.Need}
			if tt.step.Gang {
				work.Gang = tt.step.Count
			}
			f.submitWorks(workload.Job{ID: "job", Attempts: 3, Steps: []workload.Step{tt.step}}, []fleethost.Work{work})
			f.waitFor("it has failed", func() bool { return f.failures("job") >= tt.failures })
			setFaults(fleethost.Faults{})
			f.awaitState("job", workload.Done)
			f.c.Check(time.Since(begin) < 8*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(begin)))
		})
	}
}

// Guards against a job that waits for as long as other jobs run, because it avoids the
// only host with free resources that can run it.
func TestFailedJobDoesNotWaitForBusyHosts(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "rare", "rare", "r1", "r1", "r2")
	f.minionList[0].SetFaults(fleethost.Faults{Silent: true})
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "long", Steps: []workload.Step{labelled(step(1, 8), "rare")}}, time.Minute)
	f.waitFor("it runs", func() bool { return f.starts("long", 1) == 1 })
	f.minionList[0].SetFaults(fleethost.Faults{FailAll: true})
	f.submit(workload.Job{ID: "job", Attempts: 3, Steps: []workload.Step{labelled(step(1, 1), "rare")}}, shortDuration)
	f.waitFor("it has failed", func() bool { return f.failures("job") > 0 })
	f.minionList[0].SetFaults(fleethost.Faults{})
	f.awaitState("job", workload.Done)
}

// Guards against a job that fails for good because its last attempt does not wait for a
// host that works.
func TestLastAttemptWaitsForAnotherHost(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "rare", "rare", "r1", "r1", "r2")
	f.minionList[0].SetFaults(fleethost.Faults{Silent: true})
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "long", Steps: []workload.Step{labelled(step(1, 8), "rare")}}, 4*time.Second)
	f.waitFor("it runs", func() bool { return f.starts("long", 1) == 1 })
	f.minionList[0].SetFaults(fleethost.Faults{FailAll: true})
	f.submit(workload.Job{ID: "job", Attempts: 2, Steps: []workload.Step{labelled(step(1, 1), "rare")}}, shortDuration)
	f.awaitState("job", workload.Done)
	f.c.Check(f.starts("job", 1), qt.Equals, 2)
}

// Guards against a job that fails wherever it can run and is never shown as failed,
// because its remaining attempts are not started.
func TestJobFailsAfterItsAttemptsOnItsOnlyHost(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "rare", "r1", "r1", "r1", "r2")
	f.minionList[0].SetFaults(fleethost.Faults{FailAll: true})
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "job", Attempts: 3, Steps: []workload.Step{labelled(step(1, 1), "rare")}}, shortDuration)
	f.awaitState("job", workload.Failed)
	f.c.Check(f.starts("job", 1), qt.Equals, 3)
}

// failures returns the number of failures recorded for a job.
func (f *fixture) failures(id workload.ID) int {
	sum := 0
	if e, ok := f.state.Job(id); ok && e.Progress != nil {
		for _, s := range e.Progress.Steps {
			sum += s.Failures
			for _, task := range s.Tasks {
				sum += task.Failures
			}
		}
	}
	return sum
}
