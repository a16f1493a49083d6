package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
)

// Guards against a new coordinator that takes all work of its predecessor for work that
// has just begun, and preempts what is nearly done.
func TestAdoptedWorkIsNotCheap(t *testing.T) {
	const estimate = 10 * time.Second
	for name, tt := range map[string]struct {
		percent     int // percent is that of the first report; -1 if there is none.
		checkpoints bool
		termAge     time.Duration
		fixed       bool // fixed is set where what hosts declare is relied on.
		preemptible bool
		cost        time.Duration // cost is the work time discarded.
	}{
		"not reported yet":           {percent: -1},
		"not reported for long":      {percent: -1, termAge: adoptionGrace, preemptible: true},
		"just begun":                 {percent: 0, preemptible: true},
		"half done":                  {percent: 50, preemptible: true, cost: estimate / 2},
		"nearly done":                {percent: 90, preemptible: true, cost: 9 * time.Second},
		"nearly done, saved":         {percent: 90, checkpoints: true, preemptible: true},
		"declarations are relied on": {percent: -1, fixed: true, preemptible: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tm := newIdleTerm(t, "a")
			tm.Apply(Options{Adaptive: !tt.fixed})
			tm.begunAt = now() - tt.termAge
			need := workload.Resources{MilliCores: 1000}
			job := workload.Job{ID: "job", Priority: 1, Steps: []workload.Step{{Count: 1, Need: need, Estimate: estimate, Checkpoints: tt.checkpoints}}}
			r := tm.addRun(tm.newAttempt(&jobState{job: job, progress: workload.NewProgress(job)}, 0), job.TaskID(0, 0), 1, tm.hosts["a"], "a")
			r.phase = adopted
			if tt.percent >= 0 {
				tm.markRunning(r)
				r.update(host.Run{Task: r.task, Number: 1, ProgressPercent: tt.percent})
			}
			units := tm.preemptibleUnits()
			c.Assert(len(units) == 1, qt.Equals, tt.preemptible)
			if tt.preemptible {
				cost := tm.preemptionCost(r.attempt, now())
				c.Check(cost >= tt.cost.Seconds() && cost < tt.cost.Seconds()+0.5, qt.IsTrue, qt.Commentf("%v", cost))
			}
		})
	}
}
