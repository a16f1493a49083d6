package placement_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/tenancy/organisation"
)

// Guards against a long backlog in which small jobs wait behind a large one,
// and against the deferral of a large job although the backlog is short.
func TestLargestJobIsDeferredInALongBacklog(t *testing.T) {
	tests := map[string]struct {
		fleetAccelerators int
		firstStarted      string
		noBudget          bool // noBudget limits the deferral budget to less than one job.
	}{
		"long for this data centre":      {fleetAccelerators: 4, firstStarted: "small-0"},
		"long, but none may be deferred": {fleetAccelerators: 4, firstStarted: "large", noBudget: true},
		"short for the whole fleet":      {fleetAccelerators: 40, firstStarted: "large"},
		"fleet unknown, so only its own": {firstStarted: "small-0"},
		"fleet smaller than data centre": {fleetAccelerators: 1, firstStarted: "small-0"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			o := placement.Default()
			o.BacklogLimit, o.DeferredShare = time.Hour, 1
			if tt.noBudget {
				o.DeferredShare = 0.1
			}
			p := placement.New(placement.CompletionFirst{}, o)
			p.SetFleetAccelerators(tt.fleetAccelerators)
			p.AddWorker(newWorker("a", "1", 4))
			running := newGang("ana", "running", 1, 4, organisation.WithinWorker)
			p.Adopt(running, []string{"a"}, epoch)
			large := newGang("ana", "large", 1, 4, organisation.WithinWorker)
			large.RunTime, large.Deadline = 2*time.Hour, epoch.Add(3*time.Hour)
			p.Submit(large)
			for i := range 8 {
				j := newGang("ana", fmt.Sprintf("small-%d", i), 1, 1, organisation.WithinWorker)
				j.RunTime, j.Deadline = 10*time.Minute, epoch.Add(5*time.Hour)
				p.Submit(j)
			}
			c.Assert(p.Decide(epoch), qt.HasLen, 0)
			p.Cancel(running.Identity)
			decisions := p.Decide(epoch.Add(time.Minute))
			c.Assert(len(decisions) > 0, qt.IsTrue)
			c.Assert(decisions[0].Job.ID, qt.Equals, tt.firstStarted)
		})
	}
}

// Guards against a long backlog of equal jobs in which the first ones are
// deferred, so that jobs submitted later start earlier.
func TestEqualJobsKeepTheirOrderInALongBacklog(t *testing.T) {
	c := qt.New(t)
	o := placement.Default()
	o.BacklogLimit, o.DeferredShare = time.Hour, 0.5
	p := placement.New(placement.CompletionFirst{}, o)
	p.AddWorker(newWorker("a", "1", 4))
	running := newGang("ana", "running", 1, 4, organisation.WithinWorker)
	p.Adopt(running, []string{"a"}, epoch)
	const jobs = 6
	for i := range jobs {
		p.Submit(newGang("ana", fmt.Sprint(i), 1, 4, organisation.WithinWorker))
	}
	now := epoch
	c.Assert(p.Decide(now), qt.HasLen, 0)
	p.Cancel(running.Identity)
	for i := range jobs {
		now = now.Add(time.Minute)
		decisions := p.Decide(now)
		c.Assert(decisions, qt.HasLen, 1)
		c.Assert(decisions[0].Job.ID, qt.Equals, fmt.Sprint(i))
		p.Cancel(decisions[0].Job)
	}
}
