package workload_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
)

// Guards against task names from other writers whose numbers overflow when they
// are converted to the index of a step.
func TestTaskNamesWithLargeNumbersAreOfNoStep(t *testing.T) {
	j := workload.Job{ID: "j", Steps: []workload.Step{{Count: 1}, {Count: 1}, {Count: 1}}}
	for name, id := range map[string]workload.TaskID{
		"occurrence":             {Job: "j", Occurrence: 1},
		"wraps to negative":      {Job: "j", Occurrence: 4_000_000_000_000_000_000},
		"wraps to zero":          {Job: "j", Occurrence: math.MaxInt/3 + 1, Step: 1},
		"largest":                {Job: "j", Occurrence: math.MaxInt, Step: 2},
		"step":                   {Job: "j", Step: 3},
		"negative occurrence":    {Job: "j", Occurrence: -1},
		"negative step":          {Job: "j", Step: -1},
		"step beyond occurrence": {Job: "j", Occurrence: 1, Step: math.MaxInt},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(j.StepOf(id), qt.Equals, j.StepCount())
		})
	}
	c := qt.New(t)
	for _, name := range []string{"j.4000000000000000000.0.0", "j.0.4000000000000000000.0", "j.0.0.4000000000000000000", "j.+1.0.0", "j.01.0.0", "j.0.0"} {
		_, err := workload.ParseTaskID(name)
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", name))
	}
	id := workload.TaskID{Job: "j", Occurrence: workload.MaxOccurrences - 1, Step: 7, Index: workload.MaxTasks - 1}
	parsed, err := workload.ParseTaskID(id.String())
	c.Assert(err, qt.IsNil)
	c.Check(parsed, qt.Equals, id)
}
