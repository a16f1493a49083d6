package scheduler

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/standin/workerhost"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// longRunTime is the run time of jobs that should not end during a test.
const longRunTime = time.Minute

// Guards against a successor that stops, loses or restarts a running gang after
// the scheduler has died or was stopped.
func TestSuccessorAdoptsRunningGangs(t *testing.T) {
	for name, stop := range map[string]func(p *process){
		"killed":             func(p *process) { p.kill() },
		"stopped as planned": func(p *process) { p.dutyGroup.Stop() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, nil)
			a := f.process(t, "a@1").run()
			j := nonIdempotent(gangOf("ana", "1", 2, 3*time.Second))
			a.submit(j)
			a.awaitState(j.Identity, job.Running)
			stop(a)
			b := f.process(t, "b@1").run()
			js := b.awaitState(j.Identity, job.Ended)
			f.c.Assert(js.Outcome, qt.Equals, request.Done, qt.Commentf("%s", js.Reason))
			f.c.Assert(f.attempts(j), qt.HasLen, 1)
		})
	}
}

// Guards against a planned stop during a start that leaves a gang running in
// part, runs it twice or loses it. The start either finishes within DrainTimeout
// or is settled by the successor.
func TestPlannedStopDuringAStart(t *testing.T) {
	tests := map[string]struct{ frozen time.Duration }{
		"finished while draining": {frozen: testTiming().DrainTimeout / 4},
		"left to the successor":   {frozen: 2 * testTiming().DrainTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, nil)
			a := f.process(t, "a@1").run()
			f.await("workers are leased", func() bool { return a.scheduler.Summary().LeasedWorkers == 2 })
			f.hosts["w1"].SetFaults(workerhost.Faults{Freeze: true})
			j := nonIdempotent(gangOf("ana", "1", 2, 100*time.Millisecond))
			a.submit(j)
			f.await("one member is held", func() bool { return f.live(j) >= 1 })
			a.dutyGroup.Stop()
			time.Sleep(tt.frozen)
			f.hosts["w1"].SetFaults(workerhost.Faults{})
			<-a.result // a successor begins when the duty has been handed over
			b := f.process(t, "b@1").run()
			js := b.awaitState(j.Identity, job.Ended)
			f.c.Assert(js.Outcome, qt.Equals, request.Done, qt.Commentf("%s", js.Reason))
			f.c.Assert(f.runs(j), qt.Equals, 1)
		})
	}
}

// Guards against jobs that are lost, run twice or run in part when the scheduler
// dies during a start. The job does not run before the successor settles it, so
// it must run once after that.
func TestSchedulerDiesDuringAStart(t *testing.T) {
	tests := map[string]struct {
		fault   workerhost.Faults
		members int // members that have been started when the scheduler dies
	}{
		"claimed": {fault: workerhost.Faults{Freeze: true}, members: 0},
		"held":    {fault: workerhost.Faults{Freeze: true}, members: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, nil)
			a := f.process(t, "a@1").run()
			f.await("workers are leased", func() bool { return a.scheduler.Summary().LeasedWorkers == 2 })
			for i := tt.members; i < 2; i++ {
				f.hosts[fmt.Sprintf("w%d", i)].SetFaults(tt.fault)
			}
			j := nonIdempotent(gangOf("ana", "1", 2, 100*time.Millisecond))
			a.submit(j)
			a.awaitState(j.Identity, job.Claimed)
			f.await("members are held", func() bool { return f.live(j) >= tt.members })
			a.kill()
			for _, h := range f.hosts {
				h.SetFaults(workerhost.Faults{})
			}
			b := f.process(t, "b@1").run()
			js := b.awaitState(j.Identity, job.Ended)
			f.c.Assert(js.Outcome, qt.Equals, request.Done, qt.Commentf("%s", js.Reason))
			f.c.Assert(f.runs(j), qt.Equals, 1)
		})
	}
}

// Guards against a second run of a job when the scheduler dies after the release
// of its gang and before the running record. The workers may have restarted and
// forgotten the gang.
func TestSchedulerDiesBeforeTheRunningRecord(t *testing.T) {
	for name, forget := range map[string]bool{"workers know": false, "workers forgot": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, nil)
			a := f.process(t, "a@1").run()
			f.await("workers are leased", func() bool { return a.scheduler.Summary().LeasedWorkers == 2 })
			f.hosts["w1"].SetFaults(workerhost.Faults{Freeze: true})
			j := nonIdempotent(gangOf("ana", "1", 2, 2*time.Second))
			a.submit(j)
			a.awaitState(j.Identity, job.Claimed)
			f.log.SetFaults(logservice.Faults{Outage: true})
			f.hosts["w1"].SetFaults(workerhost.Faults{})
			f.await("the gang runs", func() bool { return f.live(j) == 2 && f.released(j) == 2 })
			a.kill()
			for _, h := range f.hosts {
				if forget {
					h.Crash()
					h.Restart()
				}
			}
			f.log.SetFaults(logservice.Faults{})
			b := f.process(t, "b@1").run()
			want := request.Done
			if forget {
				want = request.Unknown
			}
			f.c.Assert(b.awaitState(j.Identity, job.Ended).Outcome, qt.Equals, want)
			f.c.Assert(f.runs(j), qt.Equals, 1)
		})
	}
}

// Guards against a job whose end is lost when the scheduler dies before recording
// it.
func TestEndIsFoundByTheSuccessor(t *testing.T) {
	f := newFixture(t, 2, nil)
	a := f.process(t, "a@1").run()
	j := nonIdempotent(gangOf("ana", "1", 2, 500*time.Millisecond))
	a.submit(j)
	a.awaitState(j.Identity, job.Running)
	a.kill()
	f.await("the gang ends", func() bool { return f.live(j) == 0 })
	b := f.process(t, "b@1").run()
	f.c.Assert(b.awaitState(j.Identity, job.Ended).Outcome, qt.Equals, request.Done)
	f.c.Assert(f.runs(j), qt.Equals, 1)
}

// Guards against two schedulers of one data centre that start jobs twice or keep
// stopping each other's gangs.
func TestTwoSchedulersAtOnce(t *testing.T) {
	f := newFixture(t, 4, nil)
	a, b := f.process(t, "a@1").run(), f.process(t, "b@1").run()
	var jobs []job.Job
	for i := range 6 {
		jobs = append(jobs, nonIdempotent(gangOf("ana", fmt.Sprint(i), 2, 200*time.Millisecond)))
		a.submit(jobs[i])
	}
	f.await("one of the schedulers steps down", func() bool { return len(a.result)+len(b.result) > 0 })
	// Both may have stepped down, so a third scheduler takes over. A remaining one
	// may supersede the third, which then runs again as the holder of the duty
	// does.
	third := f.process(t, "c@1")
	third.runUntilStopped()
	for _, j := range jobs {
		third.awaitState(j.Identity, job.Ended)
		f.c.Assert(f.runs(j) <= 1, qt.IsTrue, qt.Commentf("%s ran more than once", j.Identity))
	}
}

// Guards against a scheduler that acts on its old leases after a pause.
func TestHolderPausedBeyondItsLease(t *testing.T) {
	f := newFixture(t, 2, nil)
	a := f.process(t, "a@1").run()
	running := gangOf("ana", "1", 2, 2*time.Second)
	a.submit(running)
	a.awaitState(running.Identity, job.Running)
	f.gate.pause("a@1")
	b := f.process(t, "b@1").run()
	waiting := nonIdempotent(gangOf("rui", "2", 2, 100*time.Millisecond))
	b.submit(waiting)
	time.Sleep(2 * testTiming().TTL)
	f.gate.resume()
	select {
	case err := <-a.result:
		f.c.Assert(errors.Is(err, ErrSuperseded), qt.IsTrue, qt.Commentf("%v", err))
	case <-time.After(stateTimeout):
		f.c.Fatal("the superseded scheduler did not step down")
	}
	for _, j := range []job.Job{running, waiting} {
		f.c.Assert(b.awaitState(j.Identity, job.Ended).Outcome, qt.Equals, request.Done)
		f.c.Assert(f.runs(j) <= 2, qt.IsTrue)
	}
	f.c.Assert(f.runs(waiting), qt.Equals, 1)
}

// Guards against members that run on alone when a worker is lost, and against
// a second run of a job that must run at most once.
func TestWorkerLostWhileAGangRuns(t *testing.T) {
	for name, fault := range map[string]func(h *workerhost.Host){
		"crashed": func(h *workerhost.Host) { h.Crash() },
		"frozen":  func(h *workerhost.Host) { h.SetFaults(workerhost.Faults{Freeze: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 4, nil)
			p := f.process(t, "a@1").run()
			idempotent, once := gangOf("ana", "1", 2, longRunTime), nonIdempotent(gangOf("rui", "2", 2, longRunTime))
			p.submit(idempotent)
			p.awaitState(idempotent.Identity, job.Running)
			p.submit(once)
			p.awaitState(once.Identity, job.Running)
			for _, j := range []job.Job{idempotent, once} {
				js, _ := p.journal.Job(j.Identity)
				fault(f.hosts[js.Workers[0]])
			}
			js := p.awaitState(once.Identity, job.Ended)
			f.c.Assert(js.Outcome, qt.Equals, request.Unknown)
			f.await("the gangs end whole", func() bool { return f.live(once)+f.live(idempotent) == 0 })
			f.c.Assert(f.runs(once), qt.Equals, 1)
			for _, h := range f.hosts {
				h.SetFaults(workerhost.Faults{})
				h.Restart()
			}
			f.await("the idempotent job runs again", func() bool { return f.runs(idempotent) == 2 && f.live(idempotent) == 2 })
		})
	}
}

// Guards against a worker that fails every task quickly, is therefore always free,
// and receives and fails most jobs.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.hosts["w0"].SetFaults(workerhost.Faults{FailTasks: true})
	p := f.process(t, "a@1").run()
	var jobs []job.Job
	for i := range 8 {
		j := gangOf([]string{"ana", "rui"}[i%2], fmt.Sprint(i), 1, 500*time.Millisecond)
		jobs = append(jobs, j)
		p.submit(j)
	}
	for _, j := range jobs {
		js := p.awaitState(j.Identity, job.Ended)
		f.c.Assert(js.Outcome, qt.Equals, request.Done, qt.Commentf("%s: %s", j.Identity, js.Reason))
	}
	// A worker is quarantined only after enough failures, so more jobs follow.
	for i := 0; len(p.scheduler.Summary().Quarantined) == 0 && i < 40; i++ {
		j := gangOf([]string{"ana", "rui"}[i%2], fmt.Sprint("more", i), 1, 400*time.Millisecond)
		p.submit(j)
		time.Sleep(200 * time.Millisecond)
	}
	f.c.Assert(p.scheduler.Summary().Quarantined, qt.DeepEquals, []string{"w0"})
	f.hosts["w0"].SetFaults(workerhost.Faults{})
	for i := 0; len(p.scheduler.Summary().Quarantined) > 0 && i < 60; i++ {
		p.submit(gangOf("ana", fmt.Sprint("probe", i), 1, 400*time.Millisecond))
		time.Sleep(200 * time.Millisecond)
	}
	f.c.Assert(p.scheduler.Summary().Quarantined, qt.HasLen, 0)
}

// Guards against jobs that are placed repeatedly on a worker that refuses starts,
// while other workers are free.
func TestRefusingWorkerIsAvoided(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.hosts["w0"].SetFaults(workerhost.Faults{RefuseStarts: true})
	p := f.process(t, "a@1").run()
	j := nonIdempotent(gangOf("ana", "1", 2, 50*time.Millisecond))
	p.submit(j)
	js := p.awaitState(j.Identity, job.Ended)
	f.c.Assert(js.Outcome, qt.Equals, request.Done)
	f.c.Assert(js.Attempt, qt.Equals, 2)
}

// Guards against a moved job that loses its progress or is lost.
func TestMoveKeepsProgress(t *testing.T) {
	f := newFixture(t, 4, nil)
	p := f.process(t, "a@1").run()
	j := nonIdempotent(gangOf("ana", "1", 2, 1500*time.Millisecond))
	p.submit(j)
	js := p.awaitState(j.Identity, job.Running)
	time.Sleep(300 * time.Millisecond)
	target := []string{"w2", "w3"}
	if js.Workers[0] == "w2" {
		target = []string{"w0", "w1"}
	}
	p.inLoop(func(t *term) {
		t.reclaim(placement.Decision{Kind: placement.Move, Job: j.Identity, Workers: target, Checkpoint: true, CheckpointTimeout: longRunTime}, target)
	})
	f.await("the job runs on its new workers", func() bool {
		now, _ := p.journal.Job(j.Identity)
		return now.State == job.Running && now.Attempt == 2
	})
	now, _ := p.journal.Job(j.Identity)
	f.c.Assert(now.Workers, qt.DeepEquals, target)
	f.c.Assert(now.Progress >= 300*time.Millisecond, qt.IsTrue, qt.Commentf("%s", now.Progress))
	f.c.Assert(p.awaitState(j.Identity, job.Ended).Outcome, qt.Equals, request.Done)
}

// Guards against a placement that exceeds the capacity of a worker, because the
// worker has a task unknown to the planner. Workers do not refuse such a start.
func TestSchedulerChecksFit(t *testing.T) {
	f := newFixture(t, 2, nil)
	p := f.process(t, "a@1").run()
	f.await("workers are leased", func() bool { return p.scheduler.Summary().LeasedWorkers == 2 })
	foreign := worker.Task{Name: "other/1/1/0", State: worker.Running, Resources: worker.Resources{Memory: 80}}
	p.inLoop(func(t *term) { t.workers["w0"].tasks[foreign.Name] = foreign })
	j := gangOf("ana", "1", 2, 50*time.Millisecond)
	p.submit(j)
	f.await("the placement is rejected", func() bool { return p.scheduler.Counters().RejectedPlacements.Value() > 0 })
	f.c.Assert(f.attempts(j), qt.HasLen, 0)
	p.inLoop(func(t *term) { delete(t.workers["w0"].tasks, foreign.Name) })
	f.c.Assert(p.awaitState(j.Identity, job.Ended).Outcome, qt.Equals, request.Done)
}

// Guards against a job that is overtaken by one submitted after it, because the
// workers chosen for it are not free yet.
func TestJobKeepsItsTurnAfterARejectedPlacement(t *testing.T) {
	f := newFixture(t, 2, nil)
	timing := testTiming()
	timing.RetryDelay = time.Second
	p := f.processWithTiming(t, "a@1", timing).run()
	f.await("workers are leased", func() bool { return p.scheduler.Summary().LeasedWorkers == 2 })
	foreign := worker.Task{Name: "other/1/1/0", State: worker.Running, Resources: worker.Resources{Memory: 80}}
	p.inLoop(func(t *term) { t.workers["w0"].tasks[foreign.Name] = foreign })
	first, second := gangOf("ana", "1", 2, longRunTime), gangOf("ana", "2", 2, longRunTime)
	p.submit(first)
	f.await("the placement is rejected", func() bool { return p.scheduler.Counters().RejectedPlacements.Value() > 0 })
	p.inLoop(func(t *term) { delete(t.workers["w0"].tasks, foreign.Name) })
	p.submit(second)
	p.awaitState(first.Identity, job.Running)
	f.c.Assert(f.attempts(second), qt.HasLen, 0)
}

// Guards against decisions without an entry in the audit trail.
func TestDecisionsAreAudited(t *testing.T) {
	f := newFixture(t, 2, nil)
	p := f.process(t, "a@1").run()
	j := gangOf("ana", "1", 2, 50*time.Millisecond)
	p.submit(j)
	p.awaitState(j.Identity, job.Ended)
	f.await("the entries are in the trail", func() bool {
		actions := map[string]bool{}
		for _, e := range p.journal.AuditTrail() {
			actions[e.Audit.Action] = e.Audit.Reason != ""
		}
		return actions["takeover"] && actions["start"]
	})
}

// Guards against a job that fails everywhere and is retried without end.
func TestJobThatFailsOnTwoWorkersFails(t *testing.T) {
	f := newFixture(t, 4, func(s worker.Spec) (time.Duration, bool) {
		return s.RunTime, !strings.Contains(s.Name, "broken")
	})
	p := f.process(t, "a@1").run()
	j := gangOf("ana", "broken", 1, 20*time.Millisecond)
	p.submit(j)
	f.c.Assert(p.awaitState(j.Identity, job.Ended).Outcome, qt.Equals, request.Failed)
	f.c.Assert(f.runs(j), qt.Equals, 2)
}

// Guards against a log outage that stops running jobs, or loses their ends.
func TestLogOutage(t *testing.T) {
	f := newFixture(t, 4, nil)
	p := f.process(t, "a@1").run()
	ends, continues := nonIdempotent(gangOf("ana", "1", 2, 800*time.Millisecond)), gangOf("rui", "2", 2, longRunTime)
	for _, j := range []job.Job{ends, continues} {
		p.submit(j)
		p.awaitState(j.Identity, job.Running)
	}
	f.log.SetFaults(logservice.Faults{Outage: true})
	f.await("the job ends during the outage", func() bool { return f.live(ends) == 0 })
	time.Sleep(2 * testTiming().TTL)
	f.c.Assert(f.live(continues), qt.Equals, 2)
	f.log.SetFaults(logservice.Faults{})
	f.c.Assert(p.awaitState(ends.Identity, job.Ended).Outcome, qt.Equals, request.Done)
	f.c.Assert(f.runs(ends), qt.Equals, 1)
	f.c.Assert(f.runs(continues), qt.Equals, 1)
}

// Guards against a successor that stops running gangs because its journal is
// behind, when the log is down at the takeover.
func TestTakeoverDuringALogOutage(t *testing.T) {
	f := newFixture(t, 2, nil)
	a := f.process(t, "a@1").run()
	j := nonIdempotent(gangOf("ana", "1", 2, 4*time.Second))
	a.submit(j)
	a.awaitState(j.Identity, job.Running)
	a.kill()
	f.log.SetFaults(logservice.Faults{Outage: true})
	b := f.process(t, "b@1").run() // its journal is empty
	time.Sleep(2 * testTiming().TTL)
	f.c.Assert(f.live(j), qt.Equals, 2)
	f.log.SetFaults(logservice.Faults{})
	f.c.Assert(b.awaitState(j.Identity, job.Ended).Outcome, qt.Equals, request.Done)
	f.c.Assert(f.runs(j), qt.Equals, 1)
}

// Guards against a log outage between claim and start that loses jobs or runs
// them twice.
func TestLogOutageDuringTheClaim(t *testing.T) {
	f := newFixture(t, 2, nil)
	p := f.process(t, "a@1").run()
	f.await("workers are leased", func() bool { return p.scheduler.Summary().LeasedWorkers == 2 })
	jobs := []job.Job{nonIdempotent(gangOf("ana", "1", 2, 50*time.Millisecond)), nonIdempotent(gangOf("ana", "2", 2, 50*time.Millisecond))}
	for _, j := range jobs {
		p.submit(j)
		f.log.SetFaults(logservice.Faults{LoseAnswer: 1})
		time.Sleep(100 * time.Millisecond)
		f.log.SetFaults(logservice.Faults{Outage: true})
		time.Sleep(testTiming().TTL)
		f.log.SetFaults(logservice.Faults{})
	}
	for _, j := range jobs {
		f.c.Assert(p.awaitState(j.Identity, job.Ended).Outcome, qt.Equals, request.Done)
		f.c.Assert(f.runs(j), qt.Equals, 1)
	}
}

// Guards against cancelled jobs that run on, and against workers that stay
// occupied after many cancellations.
func TestCancellationWave(t *testing.T) {
	f := newFixture(t, 4, nil)
	p := f.process(t, "a@1").run()
	var jobs []job.Job
	for i := range 20 {
		jobs = append(jobs, gangOf("ana", fmt.Sprint(i), 2, longRunTime))
		p.submit(jobs[i])
	}
	f.await("two gangs run", func() bool { return f.live(jobs[0])+f.live(jobs[1]) == 4 })
	for _, j := range jobs {
		p.append(journal.JobCancelled{Identity: j.Identity})
	}
	ran := 0
	for _, j := range jobs {
		js := p.awaitState(j.Identity, job.Ended)
		ran += f.runs(j)
		f.c.Assert(js.Outcome == request.NotRun, qt.Equals, f.runs(j) == 0, qt.Commentf("%s: %s", js.Outcome, js.Reason))
		f.c.Assert(f.live(j), qt.Equals, 0)
	}
	f.c.Assert(ran >= 2, qt.IsTrue)
	next := gangOf("ana", "next", 2, 50*time.Millisecond)
	p.submit(next)
	f.c.Assert(p.awaitState(next.Identity, job.Ended).Outcome, qt.Equals, request.Done)
}

// Guards against a job that waits without end although it can never run.
func TestJobThatCanNeverRunEndsNotRun(t *testing.T) {
	f := newFixture(t, 2, nil)
	p := f.process(t, "a@1").run()
	j := gangOf("ana", "1", 3, time.Second)
	p.submit(j)
	js := p.awaitState(j.Identity, job.Ended)
	f.c.Assert(js.Outcome, qt.Equals, request.NotRun)
	f.c.Assert(js.Reason, qt.Matches, "no data centre can run the job: .*")
}

// Guards against an urgent job that waits behind borrowed accelerators whose
// checkpoint hangs. It runs with the timing of production.
func TestUrgentJobStartsInTime(t *testing.T) {
	const target = 9100 * time.Millisecond
	f := newFixture(t, 2, nil)
	p := f.processWithTiming(t, "a@1", DefaultTiming()).run()
	plan := organisation.Plan{Name: "gold", Kinds: []string{"match"}, Share: 1, Urgent: true, AcceleratorLimit: 8}
	p.append(journal.ConfigurationPublished{
		Operator:      "test",
		Organisations: []organisation.Organisation{{Name: "ana", Plan: "gold"}, {Name: "rui", Plan: "gold"}},
		Plans:         []organisation.Plan{plan},
	})
	borrowed := gangOf("rui", "1", 2, longRunTime)
	p.submit(borrowed)
	p.awaitState(borrowed.Identity, job.Running)
	f.hosts["w1"].SetFaults(workerhost.Faults{CheckpointDelay: -1})
	urgent := gangOf("ana", "1", 2, longRunTime)
	urgent.Urgent = true
	submitted := time.Now()
	p.submit(urgent)
	p.awaitState(urgent.Identity, job.Running)
	for _, i := range f.attempts(urgent)[1] {
		f.c.Assert(i.Released.Sub(submitted) < target, qt.IsTrue, qt.Commentf("started after %s", i.Released.Sub(submitted)))
	}
	f.c.Assert(f.live(borrowed), qt.Equals, 0)
	js, _ := p.journal.Job(borrowed.Identity)
	f.c.Assert(js.State, qt.Equals, job.Queued)
	f.c.Assert(js.Failures, qt.Equals, 0)
}

// Guards against a data centre that takes a job before the preferred one has had
// its time, and against a job that waits for a data centre without scheduler.
func TestPreferredDataCentreClaimsFirst(t *testing.T) {
	f := newFixture(t, 2, nil)
	elsewhere := f.workers[0]
	elsewhere.Name, elsewhere.DataCentre = "x0", "caico"
	f.workers = append(f.workers, elsewhere)
	p := f.process(t, "a@1").run()
	f.await("workers are leased", func() bool { return p.scheduler.Summary().LeasedWorkers == 2 })
	j := gangOf("ana", "1", 1, 50*time.Millisecond)
	j.DataCentre = "caico"
	submitted := time.Now()
	p.submit(j)
	f.c.Assert(p.awaitState(j.Identity, job.Ended).Outcome, qt.Equals, request.Done)
	f.c.Assert(f.attempts(j)[1][0].Started.Sub(submitted) >= testTiming().ClaimDelay, qt.IsTrue)
}

// Guards against a NotRun outcome for a job that ran, if the record of its start
// was lost, a reclaim has ended the run with a checkpoint, and the job is cancelled
// before it runs again.
func TestCancelledJobWithoutRunningRecord(t *testing.T) {
	f := newFixture(t, 1, nil)
	p := f.process(t, "a")
	p.run()
	host := f.hosts["w0"]
	f.await("the worker is leased", func() bool { return p.scheduler.Summary().LeasedWorkers == 1 })
	host.SetFaults(workerhost.Faults{HoldStarts: true})
	j := gangOf("serido", "match", 1, time.Minute)
	p.submit(j)
	p.awaitState(j.Identity, job.Claimed)
	f.log.SetFaults(logservice.Faults{Hang: true})
	host.SetFaults(workerhost.Faults{})
	f.await("the job runs", func() bool { return f.released(j) == 1 })
	sleep(t.Context(), 100*time.Millisecond) // the running record is on its way to the log
	p.inLoop(func(t *term) { t.attempts[j.Identity].gang.Reclaim(time.Second, "guarantee") })
	f.await("the job is stopped", func() bool { return f.live(j) == 0 })
	host.SetFaults(workerhost.Faults{RefuseStarts: true})
	f.log.SetFaults(logservice.Faults{})
	p.awaitState(j.Identity, job.Queued)
	p.append(journal.JobCancelled{Identity: j.Identity})
	f.c.Assert(p.awaitState(j.Identity, job.Ended).Outcome, qt.Equals, request.Failed)
	f.c.Assert(f.runs(j), qt.Equals, 1)
}
