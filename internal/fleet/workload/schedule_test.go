package workload_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
)

// Guards against mixing up the steps or times of different occurrences.
func TestOccurrences(t *testing.T) {
	c := qt.New(t)
	first := time.Unix(1000, 0)
	j := workload.Job{
		ID: "j", Attempts: 1, Stretch: 2, Objective: time.Second, Submitted: first.Add(-time.Minute),
		Steps:    []workload.Step{{Count: 2, Estimate: 3 * time.Second}, {Count: 1, DependsOn: []int{0}, Estimate: time.Second}},
		Schedule: workload.Schedule{Repetitions: 3, First: first, Interval: 5 * time.Second},
	}
	c.Assert(j.Validate(), qt.IsNil)
	c.Check(j.StepCount(), qt.Equals, 6)
	c.Check(j.TaskID(3, 0).String(), qt.Equals, "j.1.1.0")
	c.Check(j.StepOf(j.TaskID(3, 0)), qt.Equals, 3)
	c.Check(j.StepOf(workload.TaskID{Job: "j", Step: 2}) >= j.StepCount(), qt.IsTrue)
	c.Check(j.DependsOn(3), qt.DeepEquals, []int{2})
	c.Check(j.EarliestStart(2), qt.Equals, first.Add(10*time.Second))
	c.Check(j.Due(1), qt.Equals, first.Add(5*time.Second).Add(9*time.Second))
	late := j
	late.Submitted = first.Add(time.Hour)
	c.Check(late.Due(0), qt.Equals, late.Submitted.Add(9*time.Second))

	p := workload.NewProgress(j)
	c.Check(p.Matches(j), qt.IsTrue)
	for step := range 4 {
		for i := range j.Step(step).Count {
			p.Place(j.TaskID(step, i), 1, "h", "m")
			p.Finish(j, j.TaskID(step, i))
		}
	}
	c.Check(p.State, qt.Equals, workload.Running)
	c.Check([]bool{p.StepFinished(3), p.StepFinished(4), p.StepReady(j, 4), p.StepReady(j, 5)}, qt.DeepEquals, []bool{true, false, true, false})
	for step := 4; step < 6; step++ {
		for i := range j.Step(step).Count {
			p.Finish(j, j.TaskID(step, i))
		}
	}
	c.Check(p.State, qt.Equals, workload.Done)
}

// Guards against jobs whose progress does not fit into a record of the ledger.
func TestJobsAreBounded(t *testing.T) {
	for name, tt := range map[string]struct {
		count, repetitions int
		valid              bool
	}{
		"largest":              {workload.MaxTasks, 0, true},
		"too many tasks":       {workload.MaxTasks + 1, 0, false},
		"most occurrences":     {100, workload.MaxOccurrences, true},
		"too many occurrences": {1, workload.MaxOccurrences + 1, false},
		"overflow":             {1 << 62, 1 << 62, false},
	} {
		t.Run(name, func(t *testing.T) {
			j := workload.Job{Steps: []workload.Step{{Count: tt.count}}, Schedule: workload.Schedule{Repetitions: tt.repetitions}}
			qt.New(t).Check(j.Validate() == nil, qt.Equals, tt.valid)
		})
	}
}
