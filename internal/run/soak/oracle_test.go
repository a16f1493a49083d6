package soak

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
)

// history is a recorded history of the minions.
type history struct {
	starts    int
	lastStart time.Time
	finished  bool
}

func (h *history) Starts(workload.TaskID) int          { return h.starts }
func (h *history) LastStart(workload.TaskID) time.Time { return h.lastStart }
func (h *history) Finished(workload.TaskID) bool       { return h.finished }

// Guards against checks that cannot fail, and against findings in a history
// that is allowed.
func TestOracle(t *testing.T) {
	job := workload.Job{ID: "0000000000000001", Steps: []workload.Step{{Count: 1}}}
	for name, tt := range map[string]struct {
		play    func(o *oracle, h *history)
		finding string // finding is empty when the history is allowed.
	}{
		"done": {play: func(o *oracle, h *history) {
			o.submitted(job, true, false)
			h.starts, h.finished = 1, true
			o.shown(job.ID, "running")
			o.shown(job.ID, "done")
		}},
		"refused and not started": {play: func(o *oracle, _ *history) { o.submitted(job, false, true) }},
		"open and started":        {play: func(o *oracle, h *history) { o.submitted(job, false, false); h.starts = 1 }},
		"refused and started": {
			play:    func(o *oracle, h *history) { o.submitted(job, false, true); h.starts = 1 },
			finding: ".*was refused, and 1 tasks have started",
		},
		"done too early": {
			play:    func(o *oracle, _ *history) { o.submitted(job, true, false); o.shown(job.ID, "done") },
			finding: ".*is done, and task .* has not finished",
		},
		"state goes back": {
			play: func(o *oracle, h *history) {
				h.finished = true
				o.submitted(job, true, false)
				o.shown(job.ID, "done")
				o.shown(job.ID, "running")
				o.shown(job.ID, "done")
			},
			finding: ".*was done and is running",
		},
		"starts again long after it was shown as done": {
			play: func(o *oracle, h *history) {
				o.submitted(job, true, false)
				h.finished = true
				o.shown(job.ID, "done")
				h.lastStart = time.Now().Add(startedLate + time.Second)
			},
			finding: ".*was shown as done, and task .* has started 2s later",
		},
		"starts when it is shown as done": {play: func(o *oracle, h *history) {
			o.submitted(job, true, false)
			h.finished = true
			o.shown(job.ID, "done")
			h.lastStart = time.Now().Add(startedLate / 2)
		}},
		"failed without cause": {
			play:    func(o *oracle, _ *history) { o.submitted(job, true, false); o.shown(job.ID, "failed") },
			finding: ".*has failed without a failed run",
		},
		"cancelled by nobody": {
			play:    func(o *oracle, _ *history) { o.submitted(job, true, false); o.shown(job.ID, "cancelled") },
			finding: ".*nobody has cancelled it",
		},
		"starts long after its cancellation": {
			play: func(o *oracle, h *history) {
				o.submitted(job, true, false)
				o.cancel(job.ID)
				o.shown(job.ID, "cancelled")
				o.cancelSettled(job.ID)
				h.starts = 1
			},
			finding: ".*started 1 tasks long after it was cancelled",
		},
		"starts long after the cancellation of an unknown job": {
			play: func(o *oracle, h *history) {
				o.submitted(job, false, false)
				o.cancel(job.ID)
				o.cancelSettled(job.ID)
				h.starts = 1
			},
			finding: ".*started 1 tasks long after it was cancelled",
		},
		"lost": {
			play:    func(o *oracle, _ *history) { o.submitted(job, true, false); o.shown(job.ID, "running") },
			finding: `.*was accepted and has not ended; it is shown as "running"`,
		},
		"not known": {
			play: func(o *oracle, h *history) {
				h.finished = true
				o.submitted(job, true, false)
				o.unknown(job.ID, time.Second)
				o.unknown(job.ID, visibleTime+time.Second)
				o.shown(job.ID, "done")
			},
			finding: ".*is not known 4s after it was accepted",
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := &history{}
			o := newOracle(h)
			tt.play(o, h)
			findings := o.finish()
			if tt.finding == "" {
				c.Assert(findings, qt.HasLen, 0)
				return
			}
			c.Assert(findings, qt.HasLen, 1)
			c.Check(findings[0], qt.Matches, tt.finding)
		})
	}
}

// Guards against seeds that play something else the next time, and against
// kinds of faults that are never drawn.
func TestSchedule(t *testing.T) {
	c := qt.New(t)
	drawn := make(map[Kind]int)
	for seed := range uint64(50) {
		faults := Draw(LatestDraw, seed, 20*time.Second)
		c.Assert(Draw(LatestDraw, seed, 20*time.Second), qt.DeepEquals, faults)
		for i, f := range faults {
			drawn[f.Kind]++
			c.Assert(f.At < 20*time.Second, qt.IsTrue)
			c.Assert(i == 0 || faults[i-1].At <= f.At, qt.IsTrue)
		}
	}
	for k := range kinds {
		c.Check(drawn[k] > 0, qt.IsTrue, qt.Commentf("%s", k))
	}
}

// Guards against changes of a draw: the seeds that have failed once would then
// play something else.
func TestDrawsStay(t *testing.T) {
	for name, tt := range map[string]struct {
		draw   int
		seed   uint64
		count  int
		faults map[int]string
	}{
		"first":  {FirstDraw, 113, 30, map[int]string{0: "   0.74s link-one-way         target 585 for 1.763s", 5: "   2.76s minion-reborn        target 967 for 0s", 29: "  19.45s link-silent          target 184 for 2.538s"}},
		"second": {LatestDraw, 2000, 153, map[int]string{0: "   0.08s minion-silent        target 906 for 5.438s share 0.64", 5: "   0.77s link-stale           target 211 for 0s share 0.96", 152: "  19.89s store-forgets        target 605 for 0s share 0.78"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			faults := Draw(tt.draw, tt.seed, 20*time.Second)
			c.Assert(faults, qt.HasLen, tt.count)
			for i, text := range tt.faults {
				c.Check(faults[i].String(), qt.Equals, text)
			}
		})
	}
}
