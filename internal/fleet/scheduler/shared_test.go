package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/standin/workerhost"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// acrossRacks returns a job that needs all four workers, and so two lease
// holders.
func acrossRacks(org, id string, runTime time.Duration) job.Job {
	j := nonIdempotent(gangOf(org, id, 4, runTime))
	j.Shape.Adjacency = organisation.WithinDataCentre
	return j
}

// startShared starts a scheduler whose four workers are divided among lease
// holders.
func startShared(t *testing.T) (*fixture, *process) {
	t.Helper()
	f := newFixture(t, 4, nil).shareLeases(t, 4)
	p := f.processWithTiming(t, "a@1", sharedTiming()).run()
	p.awaitShared()
	return f, p
}

// Guards against a gang that ends, runs in part or runs again because one of its
// lease holders fails while it runs.
func TestHolderFailsWhileAGangRuns(t *testing.T) {
	for name, tt := range holderFaults() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, p := startShared(t)
			j := acrossRacks("ana", "1", 8*time.Second)
			p.submit(j)
			p.awaitState(j.Identity, job.Running)
			a, leases := p.holderOf("w0")
			tt.begin(f, a, leases)
			time.Sleep(sharedTiming().TTL + sharedTiming().sessionTTL())
			f.c.Check(f.live(j), qt.Equals, 4)
			tt.end(f, a)
			js := p.awaitState(j.Identity, job.Ended)
			f.c.Assert(js.Outcome, qt.Equals, request.Done, qt.Commentf("%s", js.Reason))
			f.c.Assert(f.attempts(j), qt.HasLen, 1)
			f.c.Assert(p.scheduler.Counters().MovedLeases.Value() >= 2, qt.IsTrue)
		})
	}
}

// Guards against a gang that runs in part, is lost or runs twice because one of
// its lease holders fails during the start. When the holder fails before the
// release, nothing has run, so the job must run once after that. When it fails
// while the gang is released, the job may have run and must not run again.
func TestHolderFailsDuringAGangStart(t *testing.T) {
	for name, tt := range holderFaults() {
		for phase, freeze := range map[string]time.Duration{"before the release": 3 * sharedTiming().CallTimeout, "at the release": 0} {
			t.Run(name+" "+phase, func(t *testing.T) {
				t.Parallel()
				f, p := startShared(t)
				f.hosts["w0"].SetFaults(workerhost.Faults{Freeze: true})
				j := acrossRacks("ana", "1", 300*time.Millisecond)
				p.submit(j)
				f.await("the other members are held", func() bool { return f.live(j) == 3 })
				a, leases := p.holderOf("w0")
				tt.begin(f, a, leases)
				time.Sleep(freeze)
				f.hosts["w0"].SetFaults(workerhost.Faults{})
				time.Sleep(2 * sharedTiming().sessionTTL())
				tt.end(f, a)
				js := p.awaitState(j.Identity, job.Ended)
				f.c.Assert(f.live(j), qt.Equals, 0)
				if freeze > 0 || js.Outcome != request.Unknown {
					f.c.Assert(js.Outcome, qt.Equals, request.Done, qt.Commentf("%s", js.Reason))
					f.c.Assert(f.runs(j), qt.Equals, 1)
				}
				f.c.Assert(f.runs(j) <= 1, qt.IsTrue)
			})
		}
	}
}

// Guards against a successor that stops, loses or repeats running gangs when a
// lease holder fails together with the scheduler.
func TestHolderFailsDuringATakeover(t *testing.T) {
	for name, tt := range holderFaults() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, first := startShared(t)
			j := acrossRacks("ana", "1", 8*time.Second)
			first.submit(j)
			first.awaitState(j.Identity, job.Running)
			a, leases := first.holderOf("w0")
			first.kill()
			b := f.processWithTiming(t, "b@1", sharedTiming()).run()
			tt.begin(f, a, leases)
			time.Sleep(sharedTiming().TTL + sharedTiming().sessionTTL())
			tt.end(f, a)
			js := b.awaitState(j.Identity, job.Ended)
			f.c.Assert(js.Outcome, qt.Equals, request.Done, qt.Commentf("%s", js.Reason))
			f.c.Assert(f.attempts(j), qt.HasLen, 1)
			f.c.Assert(b.scheduler.Counters().Adopted.Value(), qt.Equals, int64(1))
		})
	}
}

// Guards against a gang that runs in part or twice when the scheduler dies or
// pauses during a start, and against a scheduler that continues with its old
// leases after the pause.
func TestSchedulerFailsDuringASharedGangStart(t *testing.T) {
	for name, pauses := range map[string]bool{"dies": false, "pauses": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, first := startShared(t)
			// The lists of the workers must reach back to before the claim.
			time.Sleep(sharedTiming().sessionTTL())
			f.hosts["w0"].SetFaults(workerhost.Faults{Freeze: true})
			j := acrossRacks("ana", "1", 300*time.Millisecond)
			first.submit(j)
			f.await("the other members are held", func() bool { return f.live(j) == 3 })
			resume := func() {}
			if pauses {
				resume = first.pause()
			} else {
				first.kill()
			}
			f.hosts["w0"].SetFaults(workerhost.Faults{})
			b := f.processWithTiming(t, "b@1", sharedTiming()).run()
			f.await("all workers have a new lease", func() bool { return b.scheduler.Summary().LeasedWorkers == 4 })
			resume()
			js := b.awaitState(j.Identity, job.Ended)
			f.c.Assert(js.Outcome, qt.Equals, request.Done, qt.Commentf("%s", js.Reason))
			f.c.Assert(f.runs(j), qt.Equals, 1)
			if pauses {
				first.awaitStepDown()
			}
		})
	}
}

// Guards against a scheduler that takes the leases back after it was cut off from
// its lease holders for longer than their sessions last.
func TestSchedulerPausedBeyondItsSessions(t *testing.T) {
	f, first := startShared(t)
	j := acrossRacks("ana", "1", 6*time.Second)
	first.submit(j)
	first.awaitState(j.Identity, job.Running)
	resume := first.pause()
	b := f.processWithTiming(t, "b@1", sharedTiming()).run()
	f.await("the gang is adopted", func() bool { return b.scheduler.Counters().Adopted.Value() == 1 })
	time.Sleep(2 * sharedTiming().sessionTTL())
	resume()
	first.awaitStepDown()
	f.c.Assert(b.awaitState(j.Identity, job.Ended).Outcome, qt.Equals, request.Done)
	f.c.Assert(f.attempts(j), qt.HasLen, 1)
}

// Guards against lease holders that keep tasks running without limit when the
// scheduler is gone and none takes over.
func TestLeasesExpireWithoutAScheduler(t *testing.T) {
	f := newFixture(t, 4, nil).shareLeases(t, 4)
	p := f.process(t, "a@1").run()
	p.awaitShared()
	j := acrossRacks("ana", "1", longRunTime)
	p.submit(j)
	p.awaitState(j.Identity, job.Running)
	p.kill()
	timing := testTiming()
	time.Sleep(timing.sessionTTL() + timing.TTL + 2*timing.CallTimeout)
	f.c.Assert(f.live(j), qt.Equals, 0)
}

// Guards against lease holders that report to the scheduler although nothing has
// changed.
func TestHoldersReportChangesOnly(t *testing.T) {
	f := newFixture(t, 8, nil).shareLeases(t, 5)
	p := f.processWithTiming(t, "a@1", sharedTiming()).run()
	p.awaitShared()
	time.Sleep(2 * sharedTiming().RenewInterval)
	queries := func() int64 {
		sum := int64(0)
		for _, a := range f.agents.list {
			sum += a.queries.Load()
		}
		return sum
	}
	before := queries()
	const rounds = 10
	time.Sleep(rounds * sharedTiming().RenewInterval)
	holders := int64(8 / workersPerAgent)
	f.c.Assert(queries()-before <= (rounds+1)*holders, qt.IsTrue, qt.Commentf("%d queries", queries()-before))
}

// Guards against a data centre whose leases are divided among other agents although
// the scheduler's own process can hold all of them.
func TestSmallDataCentreHasOneHolder(t *testing.T) {
	f := newFixture(t, workersPerAgent, nil).shareLeases(t, 3)
	p := f.processWithTiming(t, "a@1", sharedTiming()).run()
	f.await("workers are leased", func() bool { return p.scheduler.Summary().LeasedWorkers == workersPerAgent })
	for _, a := range f.agents.list {
		f.c.Assert(a.queries.Load(), qt.Equals, int64(0))
	}
}

// Guards against a lease holder that keeps its partition however many tasks run
// there, and against a gang that ends or runs again because its leases move.
func TestManyTasksDivideTheLeases(t *testing.T) {
	f := newFixture(t, 4, nil).shareLeases(t, 4)
	p := f.processWithTiming(t, "a@1", sharedTiming())
	p.scheduler.options.WorkersPerHolder = 4
	p.run()
	j := acrossRacks("ana", "1", 4*time.Second)
	p.submit(j)
	p.awaitState(j.Identity, job.Running)
	p.inLoop(func(t *term) {
		f.c.Assert(t.workers["w0"].holder, qt.Equals, t.workers["w2"].holder)
		for _, name := range []string{"w0", "w2"} {
			for i := range 60 {
				task := worker.Task{Name: taskName(request.Identity{Organisation: "rui", ID: name}, 1, i), State: worker.Running}
				t.workers[name].tasks[task.Name] = task
			}
		}
	})
	f.await("the leases have moved", func() bool { return p.scheduler.Counters().MovedLeases.Value() == 4 })
	js := p.awaitState(j.Identity, job.Ended)
	f.c.Assert(js.Outcome, qt.Equals, request.Done, qt.Commentf("%s", js.Reason))
	f.c.Assert(f.attempts(j), qt.HasLen, 1)
	f.c.Assert(p.scheduler.Counters().MovedLeases.Value(), qt.Equals, int64(4))
}
