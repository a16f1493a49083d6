package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/workload"
)

// Guards against tasks that count as at work although nothing is known of them, and
// against tasks on hosts that answer that count as away.
func TestRemainingDisruptions(t *testing.T) {
	const limit = 3 * time.Second
	heard, silent, starting := sighting{true, limit - 1}, sighting{true, limit}, sighting{false, 0}
	for name, tt := range map[string]struct {
		tasks []sighting
		want  int
	}{
		"all are at work":              {[]sighting{heard, heard, heard}, 1},
		"one is silent":                {[]sighting{heard, silent, heard}, 0},
		"one starts":                   {[]sighting{heard, heard, starting}, 0},
		"one waits":                    {[]sighting{heard, heard}, 0},
		"all are silent":               {[]sighting{silent, silent, silent}, -2},
		"all are adopted, none listed": {[]sighting{starting, starting, starting}, -2},
	} {
		qt.Check(t, remainingDisruptions(3, 1, tt.tasks, limit), qt.Equals, tt.want, qt.Commentf("%s", name))
	}
	for name, tt := range map[string]struct{ notice, stop, want time.Duration }{
		"no notice time":     {0, time.Second, allocation.Never},
		"time for the stop":  {4500 * time.Millisecond, 1100 * time.Millisecond, 3400 * time.Millisecond},
		"one report is late": {time.Second, 1100 * time.Millisecond, renewalWait + silenceTimeout},
	} {
		qt.Check(t, silenceLimit(tt.notice, tt.stop), qt.Equals, tt.want, qt.Commentf("%s", name))
	}
}

// Guards against a task that counts as at work by a report of a former incarnation.
func TestReassignedRunIsNotServing(t *testing.T) {
	r := &run{attempt: &attempt{}, host: &hostState{}, phase: running, reported: true, percent: 100}
	qt.Check(t, r.isServing(), qt.IsTrue)
	(&term{}).reassignRun(r, false)
	qt.Check(t, r.isServing(), qt.IsFalse)
}

// Guards against a stop of members of a gang on hosts that stay, beyond the budget of
// their step, because the host of another member leaves or for more urgent work.
func TestBudgetOfGangs(t *testing.T) {
	for name, tt := range map[string]struct {
		maxUnavailable int
		age            time.Duration // age is that of the last report.
		allLeave       bool
		mayLeave       bool
		allowed        int // allowed is the number of gangs that may be preempted.
	}{
		"budget for one":    {maxUnavailable: 1},
		"budget for both":   {maxUnavailable: 2, mayLeave: true, allowed: 1},
		"silent":            {maxUnavailable: 2, age: time.Minute},
		"both hosts leave":  {maxUnavailable: 1, allLeave: true, mayLeave: true},
		"without a budget":  {mayLeave: true},
		"silent, no budget": {age: time.Minute, mayLeave: true},
	} {
		t.Run(name, func(t *testing.T) {
			tm := newIdleTerm(t, "a", "b")
			tm.Apply(Options{NoticeTime: 4 * time.Second})
			j := &jobState{job: workload.Job{ID: "job", Steps: []workload.Step{{Count: 2, Gang: true, LongRunning: true, MaxUnavailable: tt.maxUnavailable}}}}
			j.progress = workload.NewProgress(j.job)
			a := tm.newAttempt(j, 0)
			tm.hosts["a"].minion.Draining, tm.hosts["b"].minion.Draining = true, tt.allLeave
			for i, name := range []string{"a", "b"} {
				r := tm.addRun(a, j.job.TaskID(0, i), 1, tm.hosts[name], name)
				r.phase, r.reported, r.percent, r.heardAt = running, true, 100, now()-tt.age
			}
			c := qt.New(t)
			c.Check(tm.mayLeave(a), qt.Equals, tt.mayLeave)
			c.Check(tm.preemptibleUnits()[0].DisruptionsAllowed, qt.Equals, tt.allowed)
		})
	}
}
