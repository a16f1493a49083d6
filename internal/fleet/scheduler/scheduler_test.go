package scheduler

import (
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
	first, second := gangOf("ana", "1", 2, 200*time.Millisecond), once(gangOf("rui", "2", 2, 200*time.Millisecond))
	for _, j := range []job.Job{first, second} {
		p.submit(j)
	}
	for _, j := range []job.Job{first, second} {
		js := p.awaitState(j.Identity, job.Ended)
		f.c.Assert(js.Outcome, qt.Equals, request.Done, qt.Commentf("%s", js.Reason))
		f.c.Assert(f.runs(j), qt.Equals, 1)
	}
}
