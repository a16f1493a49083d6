package coordinator_test

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/coordinator"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleethost"
)

// forecast waits until the coordinator leads and knows all hosts, and returns where a
// job of one step would go.
func (f *fixture) forecast(priority int, s workload.Step) coordinator.StepForecast {
	s.Estimate = time.Second
	job := workload.Job{ID: "forecast", Queue: "q", Service: "app", Organisation: "owner", Submitted: time.Now(), Priority: priority, Attempts: 1, Stretch: 2, Objective: time.Second, Steps: []workload.Step{s}}
	var forecast coordinator.Forecast
	f.waitFor("the fleet is known", func() bool {
		var err error
		forecast, err = f.newest.Forecast(context.Background(), job)
		if err != nil || len(forecast.Steps) != 1 {
			return false
		}
		known := 0
		for _, n := range forecast.Steps[0].Fits {
			known += n
		}
		return known-forecast.Steps[0].Fits[allocation.Closed] == len(f.minionList)
	})
	return forecast.Steps[0]
}

func TestForecast(t *testing.T) {
	for name, tt := range map[string]struct {
		busy     workload.Step // busy runs before; no task if it has none.
		priority int
		step     workload.Step
		check    func(c *qt.C, s coordinator.StepForecast)
	}{
		"room": {step: step(2, 8), check: func(c *qt.C, s coordinator.StepForecast) {
			c.Check(s.Hosts, qt.DeepEquals, []string{"host-0", "host-1"})
			c.Check(s.Fits, qt.DeepEquals, map[allocation.Fit]int{allocation.Free: 2})
		}},
		"no host has the label": {step: labelled(step(1, 1), "nowhere"), check: func(c *qt.C, s coordinator.StepForecast) {
			c.Check(s.Hosts, qt.HasLen, 0)
			c.Check(s.Fits, qt.DeepEquals, map[allocation.Fit]int{allocation.Unsuitable: 2})
		}},
		"full": {busy: step(2, 8), priority: ordinaryPriority, step: step(1, 1), check: func(c *qt.C, s coordinator.StepForecast) {
			c.Check(s.Hosts, qt.HasLen, 0)
			c.Check(s.Stops, qt.HasLen, 0)
			c.Check(s.Fits, qt.DeepEquals, map[allocation.Fit]int{allocation.Full: 2})
		}},
		"urgent work stops other work": {busy: step(2, 8), step: step(1, 8), check: func(c *qt.C, s coordinator.StepForecast) {
			c.Check(s.Stops, qt.DeepEquals, []workload.ID{"busy"})
			c.Check(s.Waits, qt.IsTrue)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1", "r2")
			defer f.startCoordinator("one")()
			if tt.busy.Count > 0 {
				f.submitOne("busy", ordinaryPriority, tt.busy, time.Minute, fleethost.Work{Duration: time.Minute})
				f.waitFor("it runs", func() bool { return f.starts("busy", tt.busy.Count) == tt.busy.Count })
			}
			tt.check(f.c, f.forecast(tt.priority, tt.step))
			tt.check(f.c, f.forecast(tt.priority, tt.step))
			f.c.Check(f.starts("forecast", 2), qt.Equals, 0)
			f.c.Check(f.stateOf("forecast"), qt.Equals, workload.State(-1), qt.Commentf("a forecast records nothing"))
		})
	}
}

// Guards against a forecast of a process that knows no fleet.
func TestForecastNeedsALeader(t *testing.T) {
	f := newFixture(t)
	stop := f.startCoordinator("one")
	stop()
	_, err := f.newest.Forecast(context.Background(), workload.Job{ID: "forecast"})
	f.c.Check(errors.Is(err, coordinator.ErrNotLeading), qt.IsTrue, qt.Commentf("%v", err))
}
