package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/workload"
)

// Guards against work that is planned or reserved on evacuated hosts, and against room
// for it that is counted there.
func TestEvacuatedHostsHaveNoRoom(t *testing.T) {
	c := qt.New(t)
	tm := newIdleTerm(t, "a", "b")
	tm.hosts["a"].minion.DataCentre, tm.hosts["b"].dataCentre = "x", "y"
	need := workload.Resources{Accelerators: 8}
	for name, tt := range map[string]struct {
		evacuated []string
		open      []string
	}{
		"none":                      {nil, []string{"a", "b"}},
		"data centre of the minion": {[]string{"x"}, []string{"b"}},
		"data centre of the agent":  {[]string{"y"}, []string{"a"}},
		"both":                      {[]string{"x", "y"}, nil},
		"another":                   {[]string{"z"}, []string{"a", "b"}},
	} {
		c.Run(name, func(c *qt.C) {
			tm.evacuations.dataCentres = collection.NewSet(tt.evacuated...)
			var open, room []string
			for _, name := range []string{"a", "b"} {
				h := tm.hosts[name]
				h.evacuated = tm.evacuations.include(h)
				if h.canRun(&allocation.Demand{Service: "app", Need: need}) {
					room = append(room, name)
				}
			}
			hosts := tm.hostModel()
			for _, h := range hosts {
				if h.Open {
					open = append(open, h.Name)
				}
			}
			c.Check(open, qt.DeepEquals, tt.open)
			c.Check(room, qt.DeepEquals, tt.open)
			if len(open) > 0 { // The cap does not apply without any room.
				c.Check(tm.headroomOf("app", 100), qt.Equals, 4*len(open))
			}
			gang := allocation.Demand{Rank: allocation.Ordinary, Service: "app", Need: need, Tasks: 2, Gang: true, RunTime: time.Second}
			plan := allocation.Decide(hosts, nil, []allocation.Demand{gang})
			c.Check(len(plan.Placements), qt.Equals, len(open)/2)
			c.Check(plan.Reservations, qt.HasLen, 0)
		})
	}
}

// Guards against starts that are carried out after the bound on evacuations, and
// against deployments with a short one in which none is ever sent.
func TestReadingAgeLeavesTimeForTheStart(t *testing.T) {
	for _, timeout := range []time.Duration{time.Second, 2500 * time.Millisecond, 5 * time.Second, time.Minute} {
		tm := newIdleTerm(t)
		tm.Apply(Options{EvacuationTimeout: timeout})
		validity := tm.startValidity()
		age := maxReadingAge(timeout, validity)
		qt.Check(t, age > 0, qt.IsTrue)
		qt.Check(t, age+time.Duration(float64(validity)*(1+maxClockDrift)) < timeout, qt.IsTrue)
		tm.operatorsReadAt = func() time.Duration { return now() - age - time.Millisecond }
		qt.Check(t, tm.startsHeld(), qt.IsTrue)
		tm.operatorsReadAt = func() time.Duration { return now() - age/2 }
		qt.Check(t, tm.startsHeld(), qt.IsFalse)
		tm.operatorsReadAt = func() time.Duration { return 0 }
		qt.Check(t, tm.startsHeld(), qt.IsTrue)
	}
}
