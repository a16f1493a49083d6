package workload_test

import (
	"math"
	"testing"
	"time"

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

// Guards against sizes that overflow when they are summed, and against jobs whose
// progress does not fit into the memory of an entry.
func TestJobsWithOddSizesAreRejected(t *testing.T) {
	good := workload.Step{Count: 1, Need: workload.Resources{MilliCores: 1000, MemoryMB: 10}, Estimate: time.Second}
	with := func(change func(s *workload.Step)) workload.Job {
		s := good
		change(&s)
		return workload.Job{Steps: []workload.Step{good, s}}
	}
	repeated := func(steps, count int, schedule workload.Schedule) workload.Job {
		j := workload.Job{Schedule: schedule}
		for range steps {
			s := good
			s.Count = count
			j.Steps = append(j.Steps, s)
		}
		return j
	}
	for name, tt := range map[string]struct {
		job   workload.Job
		valid bool
	}{
		"good":                       {with(func(*workload.Step) {}), true},
		"estimate of a month":        {with(func(s *workload.Step) { s.Estimate = workload.MaxEstimate }), true},
		"estimate that overflows":    {with(func(s *workload.Step) { s.Estimate = math.MaxInt64 }), false},
		"cores":                      {with(func(s *workload.Step) { s.Need.MilliCores = math.MaxInt }), false},
		"memory":                     {with(func(s *workload.Step) { s.Need.MemoryMB = math.MaxInt }), false},
		"accelerators":               {with(func(s *workload.Step) { s.Need.Accelerators = math.MaxInt / 2 }), false},
		"latency target":             {with(func(s *workload.Step) { s.LatencyTarget = math.MaxInt64 }), false},
		"repeated dependency":        {with(func(s *workload.Step) { s.DependsOn = make([]int, 10_000) }), false},
		"dependency":                 {with(func(s *workload.Step) { s.DependsOn = []int{0} }), true},
		"yearly":                     {repeated(2, 3, workload.Schedule{Repetitions: 10, First: time.UnixMilli(0), Interval: 365 * 24 * time.Hour}), true},
		"interval that overflows":    {repeated(1, 1, workload.Schedule{Repetitions: 1000, Interval: math.MaxInt64 / 10}), false},
		"first time far away":        {repeated(1, 1, workload.Schedule{Repetitions: 1, First: time.UnixMilli(math.MaxInt64)}), false},
		"first time long ago":        {repeated(1, 1, workload.Schedule{Repetitions: 1, First: time.UnixMilli(math.MinInt64)}), false},
		"tasks of all occurrences":   {repeated(1, workload.MaxTasks, workload.Schedule{Repetitions: workload.MaxOccurrences}), false},
		"steps of all occurrences":   {repeated(1000, 1, workload.Schedule{Repetitions: workload.MaxOccurrences}), false},
		"many steps, few times":      {repeated(50, 2, workload.Schedule{Repetitions: 100}), true},
		"negative number of repeats": {repeated(1, 1, workload.Schedule{Repetitions: math.MinInt}), false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			err := tt.job.Validate()
			c.Check(err == nil, qt.Equals, tt.valid, qt.Commentf("%v", err))
		})
	}
}

// Guards against a due time that wraps around, so that a job with a large stretch
// or objective counts as late at once or as due before it begins.
func TestDueTimesDoNotOverflow(t *testing.T) {
	long := workload.Step{Count: 1, Estimate: workload.MaxEstimate}
	chain := workload.Job{Submitted: time.UnixMilli(0), Stretch: 1}
	for i := range workload.MaxTasks {
		s := long
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		chain.Steps = append(chain.Steps, s)
	}
	for name, change := range map[string]func(j *workload.Job){
		"as it is":       func(*workload.Job) {},
		"large stretch":  func(j *workload.Job) { j.Stretch = 1e308 },
		"not a number":   func(j *workload.Job) { j.Stretch = math.NaN() },
		"objective":      func(j *workload.Job) { j.Objective = math.MaxInt64 },
		"both":           func(j *workload.Job) { j.Stretch, j.Objective = 1e308, math.MaxInt64 },
		"negative":       func(j *workload.Job) { j.Stretch = -1e308 },
		"small negative": func(j *workload.Job) { j.Objective = math.MinInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			j := chain
			change(&j)
			c.Assert(j.Validate(), qt.IsNil)
			begin, due := j.EarliestStart(0), j.Due(0)
			c.Check(due.Before(begin), qt.IsFalse, qt.Commentf("due %s", due))
			// The coordinator multiplies the span by a small factor.
			c.Check(due.Sub(begin) <= math.MaxInt64/4, qt.IsTrue, qt.Commentf("due %s", due))
		})
	}
}
