package allocation_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/pace"
)

func withPace(h allocation.Host, class pace.Class) allocation.Host { h.Pace = class; return h }

// Replays a fleet in which some hosts work slower or faster than the others. The members
// of a gang end together.
func TestHostsAreChosenByPace(t *testing.T) {
	host := func(name, rack string, free int, class pace.Class) allocation.Host {
		return withPace(newHost(name, rack, free, free), class)
	}
	mixed := []allocation.Host{
		host("a-slow", "a", 4, pace.Slow), host("a-typical", "a", 8, pace.Typical), host("a-typical-2", "a", 8, pace.Typical),
		host("b-fast", "b", 8, pace.Fast), host("b-fast-2", "b", 8, pace.Fast), host("b-slow", "b", 8, pace.Slow),
	}
	gang := func(rank allocation.Rank, tasks int, preference allocation.PacePreference) allocation.Demand {
		d := newGang(0, rank, tasks, 8)
		d.Pace = preference
		return d
	}
	tasks := func(n, each int, preference allocation.PacePreference) allocation.Demand {
		d := newDemand(0, allocation.Ordinary, n, each)
		d.Pace = preference
		return d
	}
	equal := []allocation.Host{host("x", "a", 8, pace.Fast), host("y", "a", 4, pace.Fast)}
	for name, tt := range map[string]struct {
		hosts  []allocation.Host
		demand allocation.Demand
		want   []string
	}{
		"without preference the tightest":      {mixed, tasks(1, 1, allocation.AnyPace), []string{"a-slow"}},
		"urgent gang":                          {mixed, gang(allocation.Urgent, 2, allocation.PreferFast), []string{"b-fast", "b-fast-2"}},
		"urgent gang in one rack":              {mixed, rackLocal(gang(allocation.Urgent, 2, allocation.PreferFast)), []string{"b-fast", "b-fast-2"}},
		"gang that needs two paces":            {mixed, gang(allocation.Urgent, 3, allocation.PreferFast), []string{"a-typical", "a-typical-2", "b-fast"}},
		"slow is better than waiting":          {mixed, gang(allocation.Urgent, 5, allocation.PreferFast), []string{"a-typical", "a-typical-2", "b-slow", "b-fast", "b-fast-2"}},
		"gang with slack in one rack":          {mixed, rackLocal(gang(allocation.Ordinary, 2, allocation.SpareFast)), []string{"a-typical", "a-typical-2"}},
		"gang with slack spares fast hosts":    {mixed, gang(allocation.Ordinary, 3, allocation.SpareFast), []string{"a-typical", "a-typical-2", "b-slow"}},
		"gang with slack uses them at need":    {mixed, gang(allocation.Ordinary, 4, allocation.SpareFast), []string{"a-typical", "a-typical-2", "b-slow", "b-fast"}},
		"task with slack spares fast hosts":    {mixed, tasks(4, 8, allocation.SpareFast), []string{"a-typical", "a-typical-2", "b-slow", "b-fast"}},
		"task without slack takes the fast":    {mixed, tasks(1, 1, allocation.PreferFast), []string{"b-fast"}},
		"the tightest among hosts of one pace": {equal, tasks(1, 2, allocation.PreferFast), []string{"y"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			plan := allocation.Decide(tt.hosts, nil, []allocation.Demand{tt.demand})
			c.Assert(plan.Placements, qt.HasLen, 1)
			c.Check(plan.Placements[0].Hosts, qt.DeepEquals, tt.want)
		})
	}
}

// Guards against preemption on a slow host where the same costs make room on a fast one.
func TestPreemptionAtEqualCostPrefersThePace(t *testing.T) {
	c := qt.New(t)
	hosts := []allocation.Host{withPace(newHost("slow", "a", 0, 0), pace.Slow), withPace(newHost("typical", "a", 0, 0), pace.Typical)}
	units := []allocation.Unit{
		newUnit(1, allocation.Ordinary, 5, map[string]int{"slow": 8}),
		newUnit(2, allocation.Ordinary, 5, map[string]int{"typical": 8}),
	}
	d := newDemand(0, allocation.Urgent, 1, 8)
	d.Pace = allocation.PreferFast
	c.Check(allocation.Decide(hosts, units, []allocation.Demand{d}).Preempted, qt.DeepEquals, []int{2})
}
