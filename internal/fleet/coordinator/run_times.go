package coordinator

import (
	"slices"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/fleet/calibration"
	"wasabihoist/internal/fleet/workload"
)

const (
	// minShownRuns is how many tasks of a step, other than a gang, have to show their run
	// time before it replaces that which the queue lets expect. The first ones to end are
	// shorter than the others.
	minShownRuns = 3
	// maxShownRuns bounds how many of them are kept; the oldest go first.
	maxShownRuns = 16
	// runTimeLogInterval is how often the run times of the queues are logged.
	runTimeLogInterval = 10 * time.Second
)

// runTimes is what a term has learned of the run times of the queues. A new term takes
// the jobs at their word until steps have ended in it.
type runTimes struct {
	table    *calibration.Table
	version  int // version counts the changes of table.
	loggedAt time.Duration
	logged   int // logged is the version that was logged last.
}

func newRunTimes() runTimes { return runTimes{table: calibration.NewTable()} }

// expectation is a job with the run times that its steps are expected to take.
type expectation struct {
	job     workload.Job
	known   bool            // known is set while job is up to date with shown.
	version int             // version is that of the run times of the queues in job.
	shown   map[int][]shown // shown holds the run times that tasks of each step have shown; it ends with the job.
}

// shown is the run time of a task on a typical host, from its progress or its end.
type shown struct {
	key     runKey
	runTime time.Duration
}

// recordRunTime records the run time of a task. It replaces what was recorded of the run
// before.
func (j *jobState) recordRunTime(r *run, runTime time.Duration) {
	e := &j.expectation
	if e.shown == nil {
		e.shown = make(map[int][]shown)
	}
	key := runKey{r.task, r.number}
	list := slices.DeleteFunc(e.shown[r.task.Step], func(s shown) bool { return s.key == key })
	if len(list) == maxShownRuns {
		list = slices.Delete(list, 0, 1)
	}
	e.shown[r.task.Step] = append(list, shown{key, runTime})
	e.known = false
}

// shownRunTime returns the median run time that the tasks of a step have shown. It
// reports false if they are too few.
func (j *jobState) shownRunTime(step int) (time.Duration, bool) {
	list := j.expectation.shown[step]
	if len(list) == 0 || len(list) < minShownRuns && !j.job.Step(step).Gang {
		return 0, false
	}
	times := make([]time.Duration, len(list))
	for i, s := range list {
		times[i] = s.runTime
	}
	slices.Sort(times)
	return times[len(times)/2], true
}

// expected returns the job with the run times that its steps are expected to take: as
// their tasks have shown, else as its queue lets expect. Without ObservedRunTimes these
// are the declared ones.
func (t *term) expected(j *jobState) workload.Job {
	e := &j.expectation
	switch {
	case !t.settings().ObservedRunTimes:
		return j.job
	case e.known && e.version == t.runTimes.version:
		return e.job
	}
	e.job, e.known, e.version = j.job, true, t.runTimes.version
	e.job.Steps = slices.Clone(j.job.Steps)
	for i := range e.job.Steps {
		s := &e.job.Steps[i]
		if runTime, ok := j.shownRunTime(i); ok {
			s.Estimate = runTime
		} else if !s.LongRunning && !s.BestEffort {
			s.Estimate = t.runTimes.table.RunTime(j.job.Queue, j.job.Organisation, s.Estimate)
		}
	}
	return e.job
}

// observeStep records the run time of a step that has finished. A step counts once,
// however many tasks it has.
func (t *term) observeStep(j *jobState, step int) {
	if !t.settings().Adaptive || !j.progress.StepFinished(step) {
		return
	}
	if runTime, ok := j.shownRunTime(step % len(j.job.Steps)); ok {
		t.runTimes.table.Observe(j.job.Queue, j.job.Organisation, j.job.Step(step).Estimate, runTime)
		t.runTimes.version++
	}
}

// logRunTimes logs what is known of the queues every runTimeLogInterval, if it has
// changed.
func (t *term) logRunTimes(at time.Duration) {
	if t.runTimes.logged == t.runTimes.version || at-t.runTimes.loggedAt < runTimeLogInterval {
		return
	}
	t.runTimes.loggedAt, t.runTimes.logged = at, t.runTimes.version
	for _, s := range t.runTimes.table.Summaries() {
		_ = level.Info(t.logger).Log("event", "run times", "queue", s.Queue, "ratio", strconv.FormatFloat(s.Ratio, 'f', 2, 64),
			"trust", strconv.FormatFloat(s.Trust, 'f', 2, 64), "steps", int(s.Count))
	}
}
