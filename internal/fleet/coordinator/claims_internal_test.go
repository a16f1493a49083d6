package coordinator

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/workload"
)

// Replays a burst in which a job within a guarantee arrives while work is being stopped
// for an urgent job, as on trouble-1 of kowhai-ledger-grown: the urgent job with half a
// second of slack lost its hosts to one with six seconds, and started 1.6 s later.
func TestReleasedRoomStaysWithItsClaim(t *testing.T) {
	const at = 10 * time.Second
	keys := make(map[string]stepKey)
	for _, name := range []string{"guaranteed", "first", "second", "urgent"} {
		keys[name] = stepKey{&jobState{job: workload.Job{ID: workload.ID(name)}}, 0}
	}
	for name, tt := range map[string]struct {
		firstAge, waited time.Duration // firstAge is the age of the first claim, waited that of the guaranteed step.
		want             []string
	}{
		"claims first":                {300 * time.Millisecond, 100 * time.Millisecond, []string{"first", "second", "guaranteed", "urgent"}},
		"a guarantee that has waited": {300 * time.Millisecond, 700 * time.Millisecond, []string{"guaranteed", "first", "second", "urgent"}},
		"a claim that has timed out":  {1600 * time.Millisecond, 100 * time.Millisecond, []string{"second", "guaranteed", "first", "urgent"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := make(claims)
			c.add(keys["first"], at-tt.firstAge)
			c.add(keys["first"], at) // A further preemption doesn't renew the claim.
			c.add(keys["second"], at-200*time.Millisecond)
			got := []string{"guaranteed", "first", "second", "urgent"} // By rank and latest start.
			slices.SortStableFunc(got, func(a, b string) int {
				of := func(name string) precedence {
					if name == "guaranteed" {
						return c.precedenceOf(keys[name], allocation.Guaranteed, tt.waited, at)
					}
					return c.precedenceOf(keys[name], allocation.Urgent, tt.waited, at)
				}
				return of(a).compare(of(b))
			})
			qt.New(t).Check(got, qt.DeepEquals, tt.want)
			c.keep([]waitingStep{{job: keys["second"].job}})
			qt.New(t).Check(c, qt.HasLen, 1)
		})
	}
}

// Replays two urgent jobs, of which the second has less slack: the host that is released
// for the first stays with it, and work on the other host is stopped for the second.
func TestPlanKeepsReleasedHostForItsClaim(t *testing.T) {
	c := qt.New(t)
	tm := newIdleTerm(t, "a", "b")
	tm.Apply(Options{Adaptive: true, MaxLease: 10 * time.Second})
	add := func(id workload.ID, priority int, objective time.Duration) *jobState {
		j := &jobState{job: workload.Job{
			ID: id, Service: "app", Priority: priority, Submitted: time.Now(), Objective: objective, Attempts: 1,
			Steps: []workload.Step{{Count: 1, Estimate: time.Second, Need: workload.Resources{Accelerators: 8}}},
		}, failuresByStep: make(map[int]*stepFailures)}
		j.progress = workload.NewProgress(j.job)
		tm.jobs[id] = j
		tm.plan()
		return j
	}
	hostOf := func(j *jobState) string { return j.progress.Steps[0].Tasks[0].Host }
	running := map[string]*jobState{}
	for _, id := range []workload.ID{"bulk-1", "bulk-2"} {
		j := add(id, 2, time.Hour)
		running[hostOf(j)] = j
	}
	first := add("first", 0, 10*time.Second)
	for _, a := range tm.attempts {
		if a.stopping {
			tm.requeueRun(a.runs[0], "")
		}
	}
	second := add("second", 0, 5*time.Second)
	c.Check(hostOf(first), qt.Not(qt.Equals), "")
	c.Check(hostOf(second), qt.Equals, "")
	for _, a := range tm.attempts {
		c.Check(a.stopping, qt.Equals, a.job.job.Priority == 2, qt.Commentf("%s", a.job.job.ID))
	}
}
