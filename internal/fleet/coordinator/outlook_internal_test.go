package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/lateness"
	"wasabihoist/internal/fleet/outlook"
	"wasabihoist/internal/fleet/workload"
)

// Guards against the refusal of jobs that fit the hosts of a service, because some of
// them have not been found yet or are away for a moment.
func TestHostsAreKnownOnceSettled(t *testing.T) {
	c := qt.New(t)
	o := newOutlooks()
	kind := func(n int) outlook.HostKind {
		return outlook.HostKind{Capacity: workload.Resources{Accelerators: n}}
	}
	count := func(at time.Duration) int {
		sum := 0
		for _, k := range o.kindsOf("app", 0, at) {
			sum += k.Count
		}
		return sum
	}
	o.see("h1", "app", kind(8), time.Second)
	o.see("h2", "app", kind(8), 10*time.Second)
	o.see("h3", "other", kind(8), 10*time.Second)
	c.Check(count(20*time.Second), qt.Equals, 0, qt.Commentf("found lately"))
	c.Check(count(25*time.Second), qt.Equals, 2)
	o.see("h1", "app", kind(8), 26*time.Second)
	c.Check(count(26*time.Second), qt.Equals, 2, qt.Commentf("h2 may come back"))
	c.Check(o.kindsOf("app", 20*time.Second, 26*time.Second), qt.HasLen, 0, qt.Commentf("the term has just begun"))
	o.see("h1", "app", kind(4), 30*time.Second)
	c.Check(count(31*time.Second), qt.Equals, 0, qt.Commentf("h1 has changed"))
	c.Check(count(10*time.Second+hostMemory+time.Second), qt.Equals, 1, qt.Commentf("h2 doesn't come back"))
}

// Guards against a write with each change of the load, and against outlooks that expire
// while nothing changes.
func TestOutlookIsPublishedWhenItTellsSomethingNew(t *testing.T) {
	c := qt.New(t)
	o := newOutlooks()
	publish := func(count int, at time.Duration) int {
		_, err := o.publish(outlook.Outlook{Service: "app", Kinds: []outlook.HostKind{{Count: count}}}, at)
		c.Assert(err, qt.IsNil)
		return len(o.take())
	}
	c.Check(publish(1, 0), qt.Equals, 1)
	c.Check(publish(1, time.Second), qt.Equals, 0)
	c.Check(publish(2, 2*time.Second), qt.Equals, 1)
	c.Check(publish(2, 2*time.Second+outlookRenewal), qt.Equals, 1)
}

// Replays a backlog of urgent and ordinary work: only what certainly goes before a new job
// counts, so that no job is refused because of work that gives way to it.
func TestWaitsCountWorkThatGoesFirst(t *testing.T) {
	for name, tt := range map[string]struct {
		priority int
		age      time.Duration
		want     map[lateness.Class]time.Duration
	}{
		"urgent":           {0, 0, map[lateness.Class]time.Duration{lateness.Ordinary: 32 * time.Second, lateness.Low: 32 * time.Second}},
		"ordinary":         {1, 0, map[lateness.Class]time.Duration{lateness.Low: 32 * time.Second}},
		"bulk":             {2, 0, map[lateness.Class]time.Duration{}},
		"worthless urgent": {0, time.Hour, map[lateness.Class]time.Duration{}},
	} {
		t.Run(name, func(t *testing.T) {
			tm := newAdaptiveTerm()
			h := tm.host("h")
			h.minion = host.Minion{ID: "m", Service: "app", Capacity: workload.Resources{MilliCores: 1000}}
			h.incarnationKnown, h.lastContact = true, now()
			j := &jobState{job: workload.Job{
				ID: "job", Service: "app", Priority: tt.priority, Stretch: 2, Submitted: time.Now().Add(-tt.age),
				Steps: []workload.Step{{Count: 10, Estimate: 5 * time.Second, Need: workload.Resources{MilliCores: 1000}}},
			}} // takes the host for 50 s
			j.progress = workload.NewProgress(j.job)
			tm.jobs[j.job.ID] = j
			qt.New(t).Check(tm.waits("app"), qt.DeepEquals, tt.want)
		})
	}
}
