package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
)

func TestSlowRunIsMoved(t *testing.T) {
	const s = time.Second
	for name, tt := range map[string]struct {
		run  slowRun
		want bool
	}{
		"late here, in time elsewhere":      {slowRun{20 * s, 5 * s, 10 * s, true}, true},
		"in time here":                      {slowRun{20 * s, 5 * s, 30 * s, true}, false},
		"late in any case":                  {slowRun{20 * s, 5 * s, 4 * s, true}, false},
		"no room elsewhere":                 {slowRun{20 * s, 5 * s, 10 * s, false}, false},
		"hardly sooner than here":           {slowRun{10 * s, 9 * s, 9 * s, true}, false},
		"too short for a stop to be of use": {slowRun{600 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, true}, false},
	} {
		t.Run(name, func(t *testing.T) { qt.New(t).Check(tt.run.move(), qt.Equals, tt.want) })
	}
}

// Replays a step whose tasks are nearly done after a second, but for those on one host,
// which have done a fifth and would be late there.
func TestRunOnSlowHostMovesIfThereIsRoom(t *testing.T) {
	definition := workload.Step{Estimate: time.Second, Checkpoints: true, Need: workload.Resources{MilliCores: 1000}}
	for name, tt := range map[string]struct {
		adaptive bool
		dataRack string
		free     int // free is the number of tasks for which each host has room.
		others   int // others is the percentage of the tasks on the other hosts.
		want     bool
	}{
		"room":           {true, "", 1, 90, true},
		"no room":        {true, "", 0, 90, false},
		"long tasks":     {true, "", 1, 20, false},
		"away from data": {true, "other", 1, 90, false},
		"not adaptive":   {false, "", 1, 90, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tm := newPaceTerm(t.Name(), tt.adaptive, definition, 20, tt.others)
			for _, h := range tm.hosts {
				h.minion.Service, h.minion.Capacity = "app", workload.Resources{MilliCores: 1000 * (4 + tt.free)}
				h.incarnationKnown, h.lastContact = true, now()
			}
			j := tm.attempts[1].job
			j.job.Steps[0].DataRack = tt.dataRack
			j.job.Service, j.job.Submitted, j.job.Stretch = "app", time.Now().Add(-time.Second), 4
			tm.moveSlowRuns(now())
			c.Check(tm.attempts[1].stopping, qt.Equals, tt.want)
			c.Check(tm.attempts[9].stopping, qt.IsFalse, qt.Commentf("on another host"))
		})
	}
}
