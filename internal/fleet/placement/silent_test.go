package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/tenancy/organisation"
)

// Guards against a job that waits until the lease of a silent worker expires,
// and against a guarantee that counts as fulfilled there.
func TestJobReleasesItsPlacementOnASilentWorker(t *testing.T) {
	for name, urgent := range map[string]bool{"guaranteed": false, "urgent and guaranteed": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			o := placement.Default()
			p := placement.New(placement.FirstFit{}, o)
			p.AddWorker(newWorker("a", "1", 4))
			p.AddWorker(newWorker("b", "1", 4))
			p.SetConfiguration(guaranteePlans(map[string]int{"ana": 4}))
			old, young := newGang("bento", "old", 1, 4, organisation.WithinWorker), newGang("bento", "young", 1, 4, organisation.WithinWorker)
			p.Adopt(old, []string{"a"}, epoch.Add(-time.Hour))
			p.Adopt(young, []string{"b"}, epoch.Add(-time.Minute))
			wanted := newGang("ana", "1", 1, 4, organisation.WithinWorker)
			wanted.Urgent = urgent
			p.Submit(wanted)
			decisions := p.Decide(epoch)
			c.Assert(decisions, qt.HasLen, 1)
			c.Assert(decisions[0].Job, qt.Equals, young.Identity)

			p.SetSilent("b", true)
			decisions = p.Decide(epoch.Add(3 * time.Second))
			c.Assert(decisions, qt.HasLen, 1)
			c.Assert(decisions[0].Job, qt.Equals, old.Identity)
			want := o.CheckpointTimeout
			if urgent {
				want = o.MinUrgentCheckpointTimeout
			}
			c.Assert(decisions[0].CheckpointTimeout, qt.Equals, want)
			x, _ := p.Explain(wanted.Identity, epoch)
			c.Assert(x.Workers, qt.DeepEquals, []string{"a"})
			c.Assert(x.Guaranteed, qt.IsTrue)
		})
	}
}

// Guards against a guaranteed shape that counts as fulfilled while its job is
// on a silent worker, and against a job that does not become guaranteed again
// when the worker answers.
func TestNoGuaranteeCountsOnASilentWorker(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.FirstFit{}, placement.Default())
	p.AddWorker(newWorker("a", "1", 4))
	p.AddWorker(newWorker("b", "1", 2))
	p.SetConfiguration(guaranteePlans(map[string]int{"ana": 4}))
	j := newGang("ana", "1", 1, 4, organisation.WithinWorker)
	p.Adopt(j, []string{"a"}, epoch)
	p.Decide(epoch)
	guaranteed := func() bool {
		x, _ := p.Explain(j.Identity, epoch)
		return x.Guaranteed
	}
	c.Assert(guaranteed(), qt.IsTrue)
	p.SetSilent("a", true)
	p.Submit(newGang("bento", "1", 1, 2, organisation.WithinWorker))
	c.Assert(p.Decide(epoch), qt.HasLen, 0)
	c.Assert(p.Verdict().Holds, qt.IsFalse)
	c.Assert(guaranteed(), qt.IsFalse)
	p.SetSilent("a", false)
	c.Assert(p.Decide(epoch), qt.HasLen, 1)
	c.Assert(p.Verdict().Holds, qt.IsTrue)
	c.Assert(guaranteed(), qt.IsTrue)
}

// Guards against an urgent job that reclaims others before the given time, or
// that does not reclaim them afterwards.
func TestReclaimIsDelayed(t *testing.T) {
	for name, c := range map[string]organisation.Configuration{
		"borrowed":   guaranteePlans(map[string]int{"ana": 1, "bento": 1}),
		"guaranteed": guaranteePlans(map[string]int{"ana": 4}),
	} {
		t.Run(name, func(t *testing.T) {
			p := placement.New(placement.FirstFit{}, placement.Default())
			p.AddWorker(newWorker("a", "1", 4))
			p.AddWorker(newWorker("b", "1", 4))
			p.SetConfiguration(c)
			for _, name := range []string{"a", "b"} {
				p.Adopt(newGang("bento", name, 1, 3, organisation.WithinWorker), []string{name}, epoch.Add(-time.Hour))
			}
			wanted := newGang("ana", "1", 1, 4, organisation.WithinWorker)
			wanted.Urgent = true
			p.Submit(wanted)
			p.DelayReclaim(wanted.Identity, epoch.Add(5*time.Second))
			qt.Assert(t, p.Decide(epoch), qt.HasLen, 0)
			qt.Assert(t, p.Decide(epoch.Add(4*time.Second)), qt.HasLen, 0)
			decisions := p.Decide(epoch.Add(5 * time.Second))
			qt.Assert(t, decisions, qt.HasLen, 1)
			qt.Assert(t, decisions[0].Kind, qt.Equals, placement.Reclaim)
		})
	}
}
