package scheduler

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/record/journal"
)

// timePattern matches a time in an explanation.
const timePattern = `\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`

// Guards against explanations of jobs unknown to the planner that do not name the
// data centre, worker or claim they wait for, or what would let them start.
func TestExplanationOutsideThePlanner(t *testing.T) {
	small := gangOf("ana", "1", 1, time.Second)
	large := gangOf("ana", "1", 3, time.Second)
	elsewhere := small
	elsewhere.DataCentre = "caico"
	tests := map[string]struct {
		job        job.Job
		prepare    func(tm *term, js journal.JobState)
		claimed    bool
		waitsFor   string
		blockedBy  string
		wouldStart string
	}{
		"delayed for the preferred data centre": {
			job:        elsewhere,
			waitsFor:   "its turn in data centre acari at " + timePattern,
			blockedBy:  "the earlier turn of data centre caico, which the job prefers",
			wouldStart: "it is " + timePattern + ", no other data centre has claimed the job, and a place is free",
		},
		"delayed because the workers do not fit": {
			job: small,
			prepare: func(tm *term, js journal.JobState) {
				tm.start(js.Job.Identity, []string{"w0"}, "test")
			},
			waitsFor:   "its turn in data centre acari at " + timePattern,
			blockedBy:  "the workers that were chosen: worker w0 is not available",
			wouldStart: "it is " + timePattern + ", no other data centre has claimed the job, and a place is free",
		},
		"delayed because it fits nowhere": {
			job:       large,
			waitsFor:  "workers on which it fits; without them it ends as not-run at " + timePattern,
			blockedBy: "no data centre can run the job: .*",
			wouldStart: "workers with room for 3x2 within rack, each member with 1 cores and 0 MB, are added before " +
				timePattern,
		},
		"unsettled, worker not heard of": {
			job: small, claimed: true,
			waitsFor:   "reports of its workers: it is not known yet whether its gang runs",
			blockedBy:  "the claim of the earlier scheduler a@1 on worker w0, which does not answer",
			wouldStart: "worker w0 answers, or stays silent until its lease of 1s has lapsed",
		},
		"unsettled, worker known": {
			job: small, claimed: true,
			prepare:    func(tm *term, _ journal.JobState) { tm.workers["w0"].leased = true },
			waitsFor:   "reports of its workers: it is not known yet whether its gang runs",
			blockedBy:  "the claim of the earlier scheduler a@1",
			wouldStart: "the next report of its workers arrives",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, nil)
			far := f.workers[0]
			far.Name, far.DataCentre = "x0", "caico"
			f.workers = append(f.workers, far)
			p := f.process(t, "a@1") // Its duty does not run, so nothing changes between the steps.
			id := p.submit(tt.job)
			if tt.claimed {
				p.append(journal.JobClaimed{Identity: id, DataCentre: "acari", Workers: []string{"w0"}})
			}
			work := group.New(context.Background())
			t.Cleanup(work.Stop)
			tm := newTerm(p.scheduler, work)
			js, _ := p.journal.Job(id)
			tm.reconcileJob(id)
			if tt.prepare != nil {
				tt.prepare(tm, js)
			}
			x, known := tm.explain(id)
			c := qt.New(t)
			c.Assert(known, qt.IsTrue)
			c.Check(x.WaitsFor, qt.Matches, tt.waitsFor)
			c.Check(x.BlockedBy, qt.Matches, tt.blockedBy)
			c.Check(x.WouldStartIf, qt.Matches, tt.wouldStart)
		})
	}
}
