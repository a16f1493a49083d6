package coordinator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/pace"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/run/metrics"
)

// newPaceTerm returns a term in which the tasks of a step run on five hosts, four on each.
// They have reached a percentage of the work on the first host and on the others.
func newPaceTerm(name string, adaptive bool, definition workload.Step, first, others int) *term {
	t := &term{
		Coordinator: &Coordinator{metrics: newMetricSet(metrics.For(name))}, logger: log.NewNopLogger(),
		hosts: make(map[string]*hostState), attempts: make(map[int]*attempt), paces: newHostPaces(),
	}
	t.options.Store(&Options{Adaptive: adaptive})
	definition.Count = 20
	j := workload.Job{ID: "job", Steps: []workload.Step{definition}}
	state := &jobState{job: j, progress: workload.NewProgress(j)}
	for i := range definition.Count {
		h := t.host(fmt.Sprint("host-", i/4))
		a := t.newAttempt(state, 0)
		r := t.addRun(a, j.TaskID(0, i), 1, h, h.minion.Incarnation())
		r.phase, r.reported, r.startedAt = running, true, now()-time.Second
		r.moved = progressPoint{1, r.startedAt}
		percent := others
		if i < 4 {
			percent = first
		}
		r.update(host.Run{Task: r.task, Number: 1, ProgressPercent: percent})
		t.observeProgress(r)
	}
	t.updatePaces(now() + paceInterval)
	return t
}

// Replays a step on a slow host and four others. Runs that are slow for another reason
// than their host say nothing about it.
func TestPaceIsLearnedFromRuns(t *testing.T) {
	for name, tt := range map[string]struct {
		adaptive bool
		step     workload.Step
		want     pace.Class
	}{
		"tasks":             {true, workload.Step{}, pace.Slow},
		"not adaptive":      {false, workload.Step{}, pace.Typical},
		"gang":              {true, workload.Step{Gang: true}, pace.Slow},
		"idle cores":        {true, workload.Step{BestEffort: true}, pace.Typical},
		"away from data":    {true, workload.Step{DataRack: "other"}, pace.Typical},
		"long-running task": {true, workload.Step{LongRunning: true}, pace.Typical},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tm := newPaceTerm(t.Name(), tt.adaptive, tt.step, 25, 50)
			c.Check(tm.paceOf(tm.hosts["host-0"]), qt.Equals, tt.want)
			c.Check(tm.paceOf(tm.hosts["host-1"]), qt.Equals, pace.Typical)
		})
	}
}

func TestPacePreference(t *testing.T) {
	for name, tt := range map[string]struct {
		rank      allocation.Rank
		slack     time.Duration
		remaining time.Duration
		want      allocation.PacePreference
	}{
		"urgent":               {allocation.Urgent, time.Minute, time.Second, allocation.PreferFast},
		"just in time":         {allocation.Ordinary, time.Second, 10 * time.Second, allocation.PreferFast},
		"time to spare":        {allocation.Ordinary, 20 * time.Second, 10 * time.Second, allocation.SpareFast},
		"too late in any case": {allocation.Ordinary, -time.Second, 10 * time.Second, allocation.SpareFast},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(pacePreference(tt.rank, tt.slack, tt.remaining), qt.Equals, tt.want)
		})
	}
}
