package coordinator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
)

// Guards against occurrences that start early, never, or again after a change
// of leader, and against a job that is done before its last occurrence.
func TestScheduledJob(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	stop := f.startCoordinator("one")
	dependent := step(1, 1)
	dependent.DependsOn = []int{0}
	const interval = 600 * time.Millisecond
	begin := time.Now().Add(interval)
	j := f.submit(workload.Job{
		ID: "timed", Steps: []workload.Step{step(2, 2), dependent},
		Schedule: workload.Schedule{Repetitions: 3, First: begin, Interval: interval},
	}, shortDuration)
	started := func(occurrence int) int {
		return f.fleet.Starts(workload.TaskID{Job: j.ID, Occurrence: occurrence}) + f.fleet.Starts(workload.TaskID{Job: j.ID, Occurrence: occurrence, Index: 1})
	}
	for occurrence := range 3 {
		f.waitFor("the occurrence starts", func() bool { return started(occurrence) == 2 })
		f.c.Check(time.Now().Before(begin.Add(time.Duration(occurrence)*interval)), qt.IsFalse)
		if occurrence == 1 {
			stop()
			stop = f.startCoordinator("two")
		}
	}
	defer func() { stop() }()
	f.awaitState(j.ID, workload.Done)
	for occurrence := range 3 {
		f.c.Check(started(occurrence), qt.Equals, 2)
		f.c.Check(f.fleet.Finished(workload.TaskID{Job: j.ID, Occurrence: occurrence, Step: 1}), qt.IsTrue)
	}
}
