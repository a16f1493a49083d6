package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/workload"
)

// Guards against work that is stopped although it would end before its host leaves, and
// against work that goes on for long although it will be lost. The minion reports the
// percentage every second, as it does while nothing else changes.
func TestWorkOnLeavingHostIsMovedIfItIsLost(t *testing.T) {
	const report = time.Second
	for _, notice := range []time.Duration{1600 * time.Millisecond, 5500 * time.Millisecond, 30 * time.Second} {
		for work := time.Second; work <= time.Minute; work += 700 * time.Millisecond {
			for age := time.Duration(0); age < work; age += 900 * time.Millisecond {
				movedAfter := allocation.Never
				for at := age; at < min(work, age+notice); at += tickInterval {
					observed := at.Truncate(report)
					percent := int(100 * observed / work)
					p := runProgress{percent: percent, advance: percent, worked: observed, observed: observed, age: at - observed}
					a := leavingAttempt{leavesIn: age + notice - at, roomOnHosts: true}
					if a.low, a.high = p.remaining(); a.shouldMove() {
						movedAfter = at - age
						break
					}
				}
				left := work - age
				commentf := qt.Commentf("%s of work, %s after the start, %s notice, moved after %s", work, age, notice, movedAfter)
				if left <= notice {
					qt.Assert(t, movedAfter, qt.Equals, allocation.Never, commentf)
				}
				if left > 2*notice && notice > 2*report {
					qt.Assert(t, movedAfter < notice/2, qt.IsTrue, commentf)
				}
			}
		}
	}
}

// Guards against decisions that discard what could be kept.
func TestShouldMove(t *testing.T) {
	const second = time.Second
	for name, tt := range map[string]struct {
		attempt leavingAttempt
		want    bool
	}{
		"ends in time":                      {leavingAttempt{leavesIn: 3 * second, low: second, high: 2 * second, roomOnHosts: true}, false},
		"in doubt":                          {leavingAttempt{leavesIn: 3 * second, low: 2 * second, high: 4 * second, roomOnHosts: true}, false},
		"lost, room elsewhere":              {leavingAttempt{leavesIn: 3 * second, low: 4 * second, high: 5 * second, roomOnHosts: true}, true},
		"lost, no room":                     {leavingAttempt{leavesIn: 3 * second, low: 4 * second, high: 5 * second}, false},
		"lost, no room, others held":        {leavingAttempt{leavesIn: 3 * second, low: 4 * second, high: 5 * second, holdsOthers: true}, true},
		"saved, later":                      {leavingAttempt{leavesIn: 3 * second, low: 4 * second, high: 5 * second, savesWork: true}, false},
		"saved, leaves now":                 {leavingAttempt{leavesIn: drainMargin / 2, low: 4 * second, high: 5 * second, savesWork: true}, true},
		"saved, leaves now, ends in time":   {leavingAttempt{leavesIn: drainMargin / 2, high: drainMargin / 3, savesWork: true}, false},
		"long-running, leaves now, no room": {leavingAttempt{leavesIn: drainMargin / 2, low: allocation.Never, high: allocation.Never, savesWork: true}, true},
	} {
		t.Run(name, func(t *testing.T) { qt.Check(t, tt.attempt.shouldMove(), qt.Equals, tt.want) })
	}
}

// Guards against a gang that is held on the hosts that stay until the first of its
// hosts leaves, and against decisions about runs whose start is not known.
func TestGangIsDecidedByTheFirstHostThatLeaves(t *testing.T) {
	const begun = 4 * time.Second // The members have worked for this long.
	for name, tt := range map[string]struct {
		leaves   map[string]time.Duration // leaves holds the time left by draining host.
		percents [2]int
		phases   [2]phase
		fixed    bool // fixed is set where what hosts declare is relied on.
		want     bool
	}{
		"no host leaves":                 {percents: [2]int{20, 20}, phases: [2]phase{running, running}},
		"one host leaves before the end": {leaves: map[string]time.Duration{"a": 5 * time.Second}, percents: [2]int{20, 20}, phases: [2]phase{running, running}, want: true},
		"both leave, the first decides":  {leaves: map[string]time.Duration{"a": 5 * time.Second, "b": time.Minute}, percents: [2]int{20, 20}, phases: [2]phase{running, running}, want: true},
		"one host leaves after the end":  {leaves: map[string]time.Duration{"a": 5 * time.Second}, percents: [2]int{60, 60}, phases: [2]phase{running, running}},
		"the slower member decides":      {leaves: map[string]time.Duration{"a": 5 * time.Second}, percents: [2]int{20, 60}, phases: [2]phase{running, running}, want: true},
		"a member has not started":       {leaves: map[string]time.Duration{"a": 5 * time.Second}, percents: [2]int{20, 0}, phases: [2]phase{running, starting}},
		"declarations are relied on":     {leaves: map[string]time.Duration{"a": 5 * time.Second}, percents: [2]int{20, 20}, phases: [2]phase{running, running}, fixed: true},
	} {
		t.Run(name, func(t *testing.T) {
			tm := newIdleTerm(t, "a", "b", "c", "d")
			tm.Apply(Options{Adaptive: !tt.fixed})
			job := workload.Job{ID: "job", Steps: []workload.Step{{Count: 2, Gang: true, Need: workload.Resources{Accelerators: 8}}}}
			a := tm.newAttempt(&jobState{job: job, progress: workload.NewProgress(job)}, 0)
			for i, name := range []string{"a", "b"} {
				h := tm.hosts[name]
				h.minion.Remaining, h.minion.Draining = tt.leaves[name], tt.leaves[name] > 0
				r := tm.addRun(a, job.TaskID(0, i), 1, h, h.minion.Incarnation())
				r.phase, r.percent, r.startedAt, r.progressedAt = tt.phases[i], tt.percents[i], now()-begun, now()
			}
			tm.checkProgress()
			qt.Check(t, a.stopping, qt.Equals, tt.want)
		})
	}
}

// Guards against several attempts that are moved into the same room.
func TestRoomElsewhereIsTakenOnce(t *testing.T) {
	c := qt.New(t)
	tm := newIdleTerm(t, "leaves", "stays")
	tm.hosts["leaves"].minion.Draining = true
	job := workload.Job{ID: "job", Steps: []workload.Step{{Count: 4, Need: workload.Resources{Accelerators: 4}}}}
	j := &jobState{job: job, progress: workload.NewProgress(job)}
	free := map[*hostState]workload.Resources{tm.hosts["stays"]: tm.hosts["stays"].free()}
	for i, want := range []bool{true, true, false, false} {
		a := tm.newAttempt(j, 0)
		tm.addRun(a, job.TaskID(0, i), 1, tm.hosts["leaves"], "leaves")
		c.Check(takeRoom(a, free), qt.Equals, want)
	}
}
