package scheduler

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/traffic/request"
)

// Guards against accepted jobs that are lost, and against gangs that do not
// start on free workers.
func TestJobsRunToTheirEnd(t *testing.T) {
	f := newFixture(t, 4, nil)
	p := f.process(t, "a@1").run()
	first, second := gangOf("ana", "1", 2, 200*time.Millisecond), nonIdempotent(gangOf("rui", "2", 2, 200*time.Millisecond))
	for _, j := range []job.Job{first, second} {
		p.submit(j)
	}
	for _, j := range []job.Job{first, second} {
		js := p.awaitState(j.Identity, job.Ended)
		f.c.Assert(js.Outcome, qt.Equals, request.Done, qt.Commentf("%s", js.Reason))
		f.c.Assert(f.runs(j), qt.Equals, 1)
	}
}

// Guards against planner explanations that do not reach callers, and against a
// running job that is explained as waiting.
func TestExplanationNamesTheRunningJobInTheWay(t *testing.T) {
	f := newFixture(t, 2, nil)
	p := f.process(t, "a@1").run()
	running, waiting := gangOf("ana", "1", 2, time.Second), gangOf("rui", "2", 2, 100*time.Millisecond)
	p.submit(running)
	p.awaitState(running.Identity, job.Running)
	x, known := p.scheduler.Explain(running.Identity)
	f.c.Assert(known, qt.IsTrue)
	f.c.Assert(x.WaitsFor, qt.Matches, "nothing: the job is .* on worker w0, w1")
	p.submit(waiting)
	f.await("the job in the way is named", func() bool {
		x, _ := p.scheduler.Explain(waiting.Identity)
		return x.BlockedBy == "job ana/1 in rack "+f.workers[0].Rack && strings.Contains(x.WouldStartIf, "(job ana/1 ends)")
	})
	p.awaitState(waiting.Identity, job.Ended)
}

// Guards against a data race in callLoop: the loop runs the function after the
// caller has given up, and writes a result that the caller reads.
func TestCallOfTheLoopAnsweredTooLate(t *testing.T) {
	f := newFixture(t, 2, nil)
	p := f.process(t, "a@1").run()
	f.await("workers are leased", func() bool { return p.scheduler.Summary().LeasedWorkers == 2 })
	// A sleep blocks the loop. A channel would order the late write after the read and
	// hide the race from the race detector.
	p.scheduler.current.Load().post(context.Background(), func(*term) { time.Sleep(callLoopTimeout * 5 / 4) })
	f.c.Assert(p.scheduler.Summary(), qt.DeepEquals, Summary{})
	f.await("calls reach the loop again", func() bool { return p.scheduler.Summary().LeasedWorkers == 2 })
}
