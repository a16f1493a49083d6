package coordinator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
)

// cancelEarly records the cancellation of a job that its organisation does not find.
func (f *fixture) cancelEarly(id workload.ID, organisation string) {
	record, err := ledger.EncodeEarlyCancellation(ledger.NewEarlyCancellation(id, organisation, time.Now()))
	f.c.Assert(err, qt.IsNil)
	f.append(topic, record)
}

// Guards against tasks that start, or run on, although the cancelling of their job was
// acknowledged before the coordinator knew the job.
func TestEarlyCancelledJobDoesNotRun(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	stop := f.startCoordinator("one")
	f.cancelEarly("late", "owner")
	f.cancelEarly("running", "other")
	f.submit(workload.Job{ID: "late", Organisation: "owner", Steps: []workload.Step{step(1, 1)}}, time.Minute)
	f.submit(workload.Job{ID: "running", Organisation: "owner", Steps: []workload.Step{step(1, 1)}}, time.Minute)
	f.waitFor("the job of another organisation runs", func() bool { return f.starts("running", 1) == 1 })
	f.awaitState("late", workload.Cancelled)
	f.cancelEarly("running", "owner")
	f.awaitState("running", workload.Cancelled)
	f.waitFor("nothing runs", func() bool { return len(f.running(0, "running")) == 0 })
	stop()
	f.store.Forget(topic)
	f.cancelEarly("later", "owner")
	defer f.startCoordinator("two")()
	f.submit(workload.Job{ID: "later", Organisation: "owner", Steps: []workload.Step{step(1, 1)}}, time.Minute)
	f.awaitState("later", workload.Cancelled)
	f.c.Check(f.starts("late", 1)+f.starts("later", 1), qt.Equals, 0)
}
