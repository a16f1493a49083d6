package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
)

// Replays a job whose step was declared with a tenth of its run time. What its own tasks
// show comes before what was declared.
func TestExpectedRunTime(t *testing.T) {
	const declared = 200 * time.Millisecond
	for name, tt := range map[string]struct {
		adaptive bool
		step     workload.Step
		min, max time.Duration
	}{
		"progress of the tasks": {true, workload.Step{Estimate: declared}, 1900 * time.Millisecond, 2200 * time.Millisecond},
		"progress of the gang":  {true, workload.Step{Estimate: declared, Gang: true}, 1900 * time.Millisecond, 2200 * time.Millisecond},
		"not adaptive":          {false, workload.Step{Estimate: declared}, declared, declared},
		"idle cores":            {true, workload.Step{Estimate: declared, BestEffort: true}, declared, declared},
		"away from data":        {true, workload.Step{Estimate: declared, DataRack: "other"}, declared, declared},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tm := newPaceTerm(t.Name(), tt.adaptive, tt.step, 25, 50)
			j := tm.attempts[1].job
			expected := tm.expected(j).Step(0).Estimate
			c.Check(expected >= tt.min && expected <= tt.max, qt.IsTrue, qt.Commentf("%s", expected))
			c.Check(j.job.Step(0).Estimate, qt.Equals, declared)
		})
	}
}

// Guards against further jobs of a queue that are taken at their word although its steps
// took ten times as long.
func TestRunTimesOfQueueAreLearned(t *testing.T) {
	c := qt.New(t)
	const declared = 200 * time.Millisecond
	tm := newPaceTerm(t.Name(), true, workload.Step{Estimate: declared}, 25, 50)
	j := tm.attempts[1].job
	next := &jobState{job: j.job, progress: workload.NewProgress(j.job)}
	c.Assert(tm.expected(next).Step(0).Estimate, qt.Equals, declared)
	for range 20 {
		for i := range j.job.Steps[0].Count {
			j.progress.Finish(j.job, j.job.TaskID(0, i))
		}
		tm.observeStep(j, 0)
	}
	c.Check(tm.expected(next).Step(0).Estimate > 5*declared, qt.IsTrue)
}
