package coordinator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleethost"
)

// Guards against a job that waits beside idle hosts for a rack in which long-running
// tasks leave no room, because other racks are less suitable.
func TestJobDoesNotWaitForRackOfLongRunningTasks(t *testing.T) {
	near := func(s workload.Step) workload.Step { s.DataRack = "r1"; return s }
	for name, tt := range map[string]struct {
		step workload.Step
		work fleethost.Work
	}{
		"task near its data":              {near(step(1, 8)), fleethost.Work{Duration: shortDuration}},
		"gang near its data":              {near(gang(2, 7)), fleethost.Work{Duration: shortDuration}},
		"long-running task near its data": {near(longRunning(1, 8)), fleethost.Work{Lasting: true}},
		"gang in one rack":                {func() workload.Step { s := gang(2, 8); s.RackLocal = true; return s }(), fleethost.Work{Duration: shortDuration}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1", "r2", "r1", "r2")
			defer f.startCoordinator("one")()
			for _, rack := range []string{"r1", "r2"} {
				f.submitOne(workload.ID("lasting-"+rack), ordinaryPriority, labelled(longRunning(1, 1), rack), time.Minute, fleethost.Work{Lasting: true})
			}
			if !tt.step.RackLocal {
				f.submitOne("lasting", ordinaryPriority, labelled(longRunning(1, 8), "r1"), time.Minute, fleethost.Work{Lasting: true})
			}
			f.waitFor("they run", func() bool { return f.servingTasks("lasting-r1")+f.servingTasks("lasting-r2") == 2 })
			f.waitFor("the rack is full", func() bool { return tt.step.RackLocal || f.servingTasks("lasting") == 1 })
			begin := time.Now()
			f.submitOne("job", ordinaryPriority, tt.step, time.Minute, tt.work)
			f.waitFor("it is started", func() bool { return f.starts("job", tt.step.Count) == tt.step.Count })
			f.c.Check(time.Since(begin) < 3*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(begin)))
		})
	}
}
