package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/standin/workerhost"
	"wasabihoist/internal/traffic/request"
)

// holdStarts delays the starts of members on the workers until their faults are
// cleared, so that a gang start stops after the first held members.
func (f *fixture) holdStarts(workers ...string) {
	for _, name := range workers {
		f.hosts[name].SetFaults(workerhost.Faults{HoldStarts: true})
	}
}

// awaitHeld waits for a started member in an attempt later than the given one, and
// returns the number of its attempt.
func (f *fixture) awaitHeld(j job.Job, after int) int {
	f.c.Helper()
	latest := 0
	f.await(fmt.Sprintf("a member is held after attempt %d", after), func() bool {
		for n, members := range f.attempts(j) {
			for _, i := range members {
				if i.Ended.IsZero() && n > after {
					latest = n
				}
			}
		}
		return latest > after
	})
	return latest
}

// Guards against a gang that starts in part, or a job that runs more than once,
// when a worker fails in two starts of the gang and the delayed calls of those
// starts arrive afterwards.
func TestWorkerKilledTwiceDuringAStart(t *testing.T) {
	f := newFixture(t, 2, nil)
	p := f.process(t, "a@1").run()
	f.holdStarts("w0")
	j := nonIdempotent(gangOf("ana", "1", 2, 100*time.Millisecond))
	p.submit(j)
	attempt := 0
	for range 2 {
		attempt = f.awaitHeld(j, attempt)
		f.hosts["w1"].Crash()
		f.hosts["w1"].Restart()
	}
	f.awaitHeld(j, attempt) // the scheduler has given up the second attempt
	f.hosts["w0"].SetFaults(workerhost.Faults{})
	js := p.awaitState(j.Identity, job.Ended)
	f.c.Assert(js.Outcome, qt.Equals, request.Done, qt.Commentf("%s", js.Reason))
	f.c.Assert(f.runs(j), qt.Equals, 1)
	f.c.Assert(f.live(j), qt.Equals, 0)
}

// Guards against a gang that starts in part, or a job that runs more than once,
// when the scheduler dies in two consecutive starts of the gang.
func TestSchedulerKilledTwiceDuringAStart(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.holdStarts("w0")
	j := nonIdempotent(gangOf("ana", "1", 2, 100*time.Millisecond))
	attempt := 0
	for i, name := range []string{"a@1", "b@1"} {
		p := f.process(t, name).run()
		if i == 0 {
			p.submit(j)
		}
		attempt = f.awaitHeld(j, attempt)
		p.kill()
	}
	f.hosts["w0"].SetFaults(workerhost.Faults{})
	last := f.process(t, "c@1").run()
	js := last.awaitState(j.Identity, job.Ended)
	f.c.Assert(js.Outcome, qt.Equals, request.Done, qt.Commentf("%s", js.Reason))
	f.c.Assert(f.runs(j), qt.Equals, 1)
	f.c.Assert(f.live(j), qt.Equals, 0)
}

// Guards against gangs that run in part, that run although their outcome is
// not-run, or that keep their workers, when many cancellations arrive during
// their starts.
func TestCancellationWaveDuringStarts(t *testing.T) {
	const (
		jobs = 24
		seed = 5
	)
	tests := map[string]struct {
		hold  bool          // hold keeps every start from completing before the cancellations.
		delay time.Duration // delay is the longest time between a claim and its cancellation.
	}{
		"before all are held": {hold: true},
		"at any step":         {delay: 40 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 4, nil)
			p := f.process(t, "a@1").run()
			f.await("workers are leased", func() bool { return p.scheduler.Summary().LeasedWorkers == 4 })
			if tt.hold {
				f.holdStarts("w1", "w3")
			}
			random := rand.New(rand.NewPCG(seed, 0))
			var all []job.Job
			for i := range jobs {
				all = append(all, nonIdempotent(gangOf("ana", fmt.Sprint(i), 2, longRunTime)))
				p.submit(all[i])
			}
			for _, j := range all {
				if !tt.hold {
					p.awaitClaim(j)
					time.Sleep(time.Duration(random.Int64N(int64(tt.delay))))
				}
				p.append(journal.JobCancelled{Identity: j.Identity})
			}
			f.forEachWorker("acari", func(h *workerhost.Host) { h.SetFaults(workerhost.Faults{}) })
			for _, j := range all {
				js := p.awaitState(j.Identity, job.Ended)
				f.c.Assert(js.Outcome == request.NotRun, qt.Equals, f.runs(j) == 0, qt.Commentf("%s: %s", js.Outcome, js.Reason))
				f.c.Assert(f.live(j), qt.Equals, 0)
				f.c.Assert(!tt.hold || f.runs(j) == 0, qt.IsTrue)
			}
			next := gangOf("ana", "next", 2, 50*time.Millisecond)
			p.submit(next)
			f.c.Assert(p.awaitState(next.Identity, job.Ended).Outcome, qt.Equals, request.Done)
		})
	}
}

// awaitClaim waits until the job is claimed, runs or has ended.
func (p *process) awaitClaim(j job.Job) {
	p.c.Helper()
	p.await(j.Identity.String()+" is claimed", func() bool {
		js, _ := p.journal.Job(j.Identity)
		return js.State != job.Queued && js.State != 0
	})
}
