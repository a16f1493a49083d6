package coordinator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleethost"
)

// Guards against jobs that are not started although most hosts are free, because a burst
// of urgent work that was larger than the fleet has just ended.
func TestHeadroomKeepsNoIdleFleetFree(t *testing.T) {
	for name, tt := range map[string]struct {
		step workload.Step
		work fleethost.Work
	}{
		"ordinary task":     {step(1, 4), fleethost.Work{Duration: shortDuration}},
		"gang":              {gang(2, 4), fleethost.Work{Duration: shortDuration}},
		"long-running task": {longRunning(1, 8), fleethost.Work{Lasting: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1", "r2")
			defer f.startCoordinator("one")()
			f.submit(workload.Job{ID: "burst", Steps: []workload.Step{step(20, 8)}}, time.Minute)
			f.waitFor("it runs", func() bool { return f.starts("burst", 20) == 2 })
			f.cancel("burst")
			f.awaitState("burst", workload.Cancelled)
			begin := time.Now()
			f.submitOne("job", ordinaryPriority, tt.step, time.Minute, tt.work)
			f.waitFor("it is started", func() bool { return f.starts("job", 2) == tt.step.Count })
			f.c.Check(time.Since(begin) < 3*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(begin)))
		})
	}
}
