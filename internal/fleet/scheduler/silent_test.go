package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/standin/workerhost"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// urgentTarget is the time within which urgent jobs must start.
const urgentTarget = 9100 * time.Millisecond

// publishUrgentPlan lets ana and rui submit urgent jobs.
func (p *process) publishUrgentPlan() {
	p.c.Helper()
	plan := organisation.Plan{Name: "gold", Kinds: []string{"match"}, Share: 1, Urgent: true, AcceleratorLimit: 16}
	p.append(journal.ConfigurationPublished{
		Operator:      "test",
		Organisations: []organisation.Organisation{{Name: "ana", Plan: "gold"}, {Name: "rui", Plan: "gold"}},
		Plans:         []organisation.Plan{plan},
	})
}

// startedAfter waits until all members of an attempt of the job were released,
// and returns how long that was after the submission.
func (f *fixture) startedAfter(j job.Job, submitted time.Time) time.Duration {
	f.c.Helper()
	var last time.Time
	f.await(j.Identity.String()+" starts", func() bool {
		for _, members := range f.attempts(j) {
			last = time.Time{}
			for _, i := range members {
				if i.Released.IsZero() {
					last = time.Time{}
					break
				}
				if i.Released.After(last) {
					last = i.Released
				}
			}
			if !last.IsZero() {
				return true
			}
		}
		return false
	})
	return last.Sub(submitted)
}

// Guards against an urgent job that waits until the lease of a silent worker
// expires, and against a second run of a job whose placement was given up. It
// runs with the timing of production.
func TestUrgentJobDoesNotWaitForASilentWorker(t *testing.T) {
	wide := gangOf("rui", "wide", 2, longRunTime)
	wide.Shape.Adjacency = organisation.WithinDataCentre
	tests := map[string]struct {
		running []job.Job // running jobs are borrowed; the urgent job takes the workers of the youngest.
		silent  string
		delay   time.Duration // delay between the submission and the fault.
		hangs   bool          // hangs makes checkpoints on the worker hang until the fault.
		members int
	}{
		"member starts there":             {silent: "w1", members: 2},
		"reclaim there":                   {running: []job.Job{gangOf("rui", "1", 2, longRunTime), gangOf("rui", "2", 2, longRunTime)}, silent: "w2", members: 2},
		"silent during a reclaim":         {running: []job.Job{gangOf("rui", "1", 2, longRunTime), gangOf("rui", "2", 2, longRunTime)}, silent: "w2", delay: 2 * time.Second, hangs: true, members: 2},
		"silent at the end of a reclaim":  {running: []job.Job{gangOf("rui", "1", 2, longRunTime), gangOf("rui", "2", 2, longRunTime)}, silent: "w2", delay: 3800 * time.Millisecond, hangs: true, members: 2},
		"sibling of the reclaimed member": {running: []job.Job{gangOf("rui", "1", 2, longRunTime), wide}, silent: "w3", members: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 4, nil)
			p := f.processWithTiming(t, "a@1", DefaultTiming()).run()
			p.publishUrgentPlan()
			f.await("workers are leased", func() bool { return p.scheduler.Summary().LeasedWorkers == 4 })
			for _, j := range tt.running {
				p.submit(j)
				p.awaitState(j.Identity, job.Running)
			}
			if tt.hangs {
				f.hosts[tt.silent].SetFaults(workerhost.Faults{CheckpointDelay: -1})
			}
			urgent := nonIdempotent(gangOf("ana", "1", tt.members, longRunTime))
			urgent.Urgent = true
			time.AfterFunc(tt.delay, func() { f.hosts[tt.silent].SetFaults(workerhost.Faults{Hang: true}) })
			submitted := time.Now()
			p.submit(urgent)
			took := f.startedAfter(urgent, submitted)
			t.Logf("started after %s", took.Round(time.Millisecond))
			f.c.Check(took < urgentTarget, qt.IsTrue, qt.Commentf("started after %s", took))
			f.hosts[tt.silent].SetFaults(workerhost.Faults{})
			f.await("the gang of the abandoned placement has ended", func() bool { return f.live(urgent) == tt.members })
			f.c.Check(f.runs(urgent), qt.Equals, 1)
			for _, j := range tt.running {
				f.c.Check(f.runs(j) <= 2, qt.IsTrue)
			}
			js, _ := p.journal.Job(request.Identity{Organisation: "ana", ID: "1"})
			f.c.Check(js.State != job.Ended, qt.IsTrue)
		})
	}
}

// Guards against an urgent job for which several data centres reclaim workers at
// once, and against one that waits for a data centre which does not start it.
func TestUrgentJobReclaimsInOneDataCentreAtATime(t *testing.T) {
	for name, first := range map[string]bool{"the first delivers": true, "the first has no scheduler": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 4, nil)
			timing := testTiming()
			timing.ReclaimInterval = 3 * time.Second
			for i := range f.workers {
				f.workers[i].DataCentre = []string{"acari", "caico"}[i/2]
			}
			a := f.processInDataCentre(t, "a@1", "acari", timing).run()
			b := f.processInDataCentre(t, "b@1", "caico", timing).run()
			a.publishUrgentPlan()
			f.await("workers are leased", func() bool { return a.scheduler.Summary().LeasedWorkers+b.scheduler.Summary().LeasedWorkers == 4 })
			for _, id := range []string{"1", "2"} {
				j := gangOf("rui", id, 2, longRunTime)
				a.submit(j)
				a.awaitState(j.Identity, job.Running)
			}
			for _, h := range f.hosts {
				h.SetFaults(workerhost.Faults{CheckpointDelay: 800 * time.Millisecond})
			}
			urgent := gangOf("ana", "1", 2, longRunTime)
			urgent.Urgent, urgent.DataCentre = true, "acari"
			if !first {
				a.dutyGroup.Stop()
				<-a.result
			}
			submitted := time.Now()
			a.submit(urgent)
			took := f.startedAfter(urgent, submitted)
			t.Logf("started after %s", took.Round(time.Millisecond))
			f.c.Check(took < urgentTarget, qt.IsTrue, qt.Commentf("started after %s", took))
			f.c.Check(took < timing.ReclaimInterval, qt.Equals, first)
			reclaimed := a.scheduler.Counters().Reclaimed.Value() + b.scheduler.Counters().Reclaimed.Value()
			f.c.Check(reclaimed, qt.Equals, int64(1))
		})
	}
}

// Guards against a worker that answers again but stays marked as silent until all
// workers of its lease holder are renewed and the next query ends, or until its
// next renewal when only the start of a task had no answer.
func TestWorkerAnswersAgain(t *testing.T) {
	longRenewals := DefaultTiming()
	longRenewals.RenewInterval, longRenewals.TTL = 8*time.Second, 30*time.Second
	tests := map[string]struct {
		timing Timing
		start  bool // start begins a gang between two renewals.
	}{
		"no answer to a renewal": {timing: DefaultTiming()},
		"no answer to a start":   {timing: longRenewals, start: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 2, nil)
			p := f.processWithTiming(t, "a@1", tt.timing).run()
			f.await("workers are leased", func() bool { return p.scheduler.Summary().LeasedWorkers == 2 })
			silent := func() (mark bool) {
				p.inLoop(func(t *term) { mark = t.workers["w0"].isSilent() })
				return mark
			}
			f.hosts["w0"].SetFaults(workerhost.Faults{Hang: true})
			if tt.start {
				p.submit(gangOf("ana", "1", 2, longRunTime))
			}
			f.await("the worker is marked as silent", silent)
			f.hosts["w0"].SetFaults(workerhost.Faults{})
			answers := time.Now()
			f.await("the mark is gone", func() bool { return !silent() })
			took := time.Since(answers)
			t.Logf("the mark was gone after %s", took.Round(time.Millisecond))
			f.c.Check(took < DefaultTiming().RenewInterval, qt.IsTrue, qt.Commentf("after %s", took))
		})
	}
}

// Guards against a worker that stays marked as silent because its lease holder
// repeats the report of a missed renewal. The worker has answered a renewal that was
// sent between the two reports.
func TestRepeatedReportOfSilence(t *testing.T) {
	c := qt.New(t)
	ws, first := &workerState{leased: true}, time.Now()
	ws.recordMissedRenewal(first)
	ws.recordMissedRenewal(first.Add(2 * time.Second))
	c.Check(ws.isSilent(), qt.IsTrue)
	ws.recordAnswer(first.Add(time.Second))
	c.Check(ws.isSilent(), qt.IsFalse)
}
