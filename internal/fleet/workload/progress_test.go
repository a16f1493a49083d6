package workload_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
)

func twoSteps(gang bool) workload.Job {
	return workload.Job{ID: "j", Attempts: 2, Steps: []workload.Step{{Count: 2, Gang: gang}, {Count: 1, DependsOn: []int{0}}}}
}

func task(step, index int) workload.TaskID {
	return workload.TaskID{Job: "j", Step: step, Index: index}
}

// Guards against a gang that uses up its attempts because the failures of several
// members in one run count separately, also across a change of the coordinator.
func TestFailuresOfAGangCountOnceForARun(t *testing.T) {
	for name, tt := range map[string]struct {
		gang  bool
		runs  []int // run numbers of failures, alternating between tasks 0 and 1
		state workload.State
	}{
		"two members in one run":         {true, []int{1, 1}, workload.Running},
		"two runs of a gang":             {true, []int{1, 2}, workload.Failed},
		"two tasks once each":            {false, []int{1, 1}, workload.Running},
		"one task in two runs":           {false, []int{1, 1, 2}, workload.Failed},
		"late failure of an earlier run": {true, []int{2, 1}, workload.Running},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			j := twoSteps(tt.gang)
			p := workload.NewProgress(j)
			for i, run := range tt.runs {
				p.Place(task(0, i%2), run, "h", "m")
				p = p.Clone()
				p.Fail(j, task(0, i%2), run, "saved")
			}
			c.Check(p.State, qt.Equals, tt.state)
			c.Check(p.Steps[0].Tasks[0].Checkpoint, qt.Equals, "saved")
		})
	}
}

// Guards against a job that is shown as running before a task has started, and against
// one that is shown as pending again later.
func TestJobRunsFromTheFirstStart(t *testing.T) {
	place := func(p *workload.Progress) { p.Place(task(0, 0), 1, "h", "m") }
	for name, tt := range map[string]struct {
		changes []func(p *workload.Progress)
		state   workload.State
	}{
		"placed":                  {[]func(*workload.Progress){place}, workload.Pending},
		"start refused":           {[]func(*workload.Progress){place, func(p *workload.Progress) { p.Release(task(0, 0), "") }}, workload.Pending},
		"started":                 {[]func(*workload.Progress){place, func(p *workload.Progress) { p.MarkStarted() }}, workload.Running},
		"started, then released":  {[]func(*workload.Progress){place, func(p *workload.Progress) { p.MarkStarted() }, func(p *workload.Progress) { p.Release(task(0, 0), "") }}, workload.Running},
		"a task has finished":     {[]func(*workload.Progress){place, func(p *workload.Progress) { p.Finish(twoSteps(false), task(0, 0)) }}, workload.Running},
		"a run has failed":        {[]func(*workload.Progress){place, func(p *workload.Progress) { p.Fail(twoSteps(false), task(0, 0), 1, "") }}, workload.Running},
		"cancelled, then started": {[]func(*workload.Progress){place, func(p *workload.Progress) { p.State = workload.Cancelled }, func(p *workload.Progress) { p.MarkStarted() }}, workload.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			p := workload.NewProgress(twoSteps(false))
			for _, change := range tt.changes {
				change(p)
			}
			qt.New(t).Check(p.State, qt.Equals, tt.state)
		})
	}
}

func TestStepsFollowTheirDependencies(t *testing.T) {
	c := qt.New(t)
	j := twoSteps(true)
	p := workload.NewProgress(j)
	c.Check([]bool{p.StepReady(j, 0), p.StepReady(j, 1)}, qt.DeepEquals, []bool{true, false})
	p.Place(task(0, 0), 1, "h", "m")
	p.Place(task(0, 1), 1, "h", "m")
	c.Check(p.HasPlacedTasks(), qt.IsTrue)
	p.Finish(j, task(0, 1)) // One member finishes the whole gang.
	c.Check([]bool{p.StepReady(j, 1), p.HasPlacedTasks()}, qt.DeepEquals, []bool{true, false})
	c.Check(p.State, qt.Equals, workload.Running)
	p.Finish(j, task(1, 0))
	c.Check(p.State, qt.Equals, workload.Done)
}

func TestTaskNames(t *testing.T) {
	c := qt.New(t)
	id := workload.TaskID{Job: "5c0e7a21d94b36f8", Occurrence: 3, Step: 1, Index: 17}
	parsed, err := workload.ParseTaskID(id.String())
	c.Assert(err, qt.IsNil)
	c.Check(parsed, qt.Equals, id)
	for _, bad := range []string{"", "a.0.0", "a.0.0.x", "a.0.0.-1", "a.0.0.0.0"} {
		_, err := workload.ParseTaskID(bad)
		c.Check(err, qt.ErrorMatches, "task name .*", qt.Commentf("%q", bad))
	}
}
