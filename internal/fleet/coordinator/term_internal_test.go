package coordinator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/run/metrics"
)

// Guards against a term that never ends because a call waits for a reply from a
// loop that has stopped. 2 of 12 test runs hung that way.
func TestQueuedCallEndsWithTheTerm(t *testing.T) {
	c := qt.New(t)
	g := group.New(context.Background())
	stopped := &term{group: g, events: make(chan func(), eventBacklog)} // Nothing receives its events.
	answered := make(chan bool, 1)
	g.Go("call", func(ctx context.Context) error {
		_, ok := callLoop(ctx, stopped, func() int { return 1 })
		answered <- ok
		return nil
	})
	for len(stopped.events) == 0 {
		time.Sleep(time.Millisecond)
	}
	g.Stop()
	select {
	case ok := <-answered:
		c.Check(ok, qt.IsFalse)
	case <-time.After(10 * time.Second):
		c.Fatal("the function call is still waiting")
	}
	c.Assert(g.Wait(), qt.IsNil)
}

// Guards against a run that is given up while it is being stopped, because its
// start was answered long ago. Its resources were allocated again before they
// were free.
func TestStoppingRunIsSettledByItsStop(t *testing.T) {
	const sent = 10 * time.Second
	for name, tt := range map[string]struct {
		stopping                    bool
		startAnswered, stopAnswered time.Duration
		provenEnded                 bool
	}{
		"started":             {startAnswered: 9 * time.Second, provenEnded: true},
		"start not answered":  {},
		"stop not answered":   {stopping: true, startAnswered: time.Second},
		"stop answered":       {stopping: true, startAnswered: time.Second, stopAnswered: 8 * time.Second, provenEnded: true},
		"stop just answered":  {stopping: true, startAnswered: time.Second, stopAnswered: 9900 * time.Millisecond},
		"neither is answered": {stopping: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := &Coordinator{}
			c.Apply(Options{TaskStopTimeout: 200 * time.Millisecond})
			r := &run{task: workload.TaskID{}, phase: running, attempt: &attempt{stopping: tt.stopping}, startAnswered: tt.startAnswered, stopAnswered: tt.stopAnswered}
			qt.New(t).Check((&term{Coordinator: c}).provenEnded(r, sent), qt.Equals, tt.provenEnded)
		})
	}
}

// Guards against members of a gang that give up waiting while the start of
// another member is still being retried.
func TestStartRetryLimit(t *testing.T) {
	for name, tt := range map[string]struct{ gangTimeout, want time.Duration }{
		"no limit":   {0, startTimeout},
		"as usual":   {3 * time.Second, startTimeout},
		"short wait": {time.Second, 500 * time.Millisecond},
		"long wait":  {time.Minute, startTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(startRetryLimit(tt.gangTimeout), qt.Equals, tt.want)
		})
	}
}

// Guards against guaranteed work that waits for a gang that wrongly counts as
// about to end: one of its members is done and waits for the others, or it no
// longer progresses as estimated.
func TestEndsSoon(t *testing.T) {
	const at = 20 * time.Second
	at100 := &run{phase: running, percent: 100, startedAt: 10 * time.Second, progressedAt: 20 * time.Second}
	at60 := &run{phase: running, percent: 60, startedAt: 10 * time.Second, progressedAt: 19900 * time.Millisecond}
	at99 := &run{phase: running, percent: 99, startedAt: 10 * time.Second, progressedAt: 20 * time.Second}
	stuck := &run{phase: running, percent: 99, startedAt: 0, progressedAt: 10 * time.Second}
	fresh := &run{phase: running, percent: 2, startedAt: 19 * time.Second, progressedAt: 20 * time.Second}
	for name, tt := range map[string]struct {
		runs        []*run
		longRunning bool
		want        bool
	}{
		"long-running":                  {runs: []*run{at99}, longRunning: true},
		"nearly done":                   {runs: []*run{at99}, want: true},
		"half done":                     {runs: []*run{at60}},
		"too early to tell":             {runs: []*run{fresh}},
		"all members nearly done":       {runs: []*run{at100, at99}, want: true},
		"a member waits for the others": {runs: []*run{at100, at60}},
		"should have ended long ago":    {runs: []*run{stuck}},
	} {
		t.Run(name, func(t *testing.T) {
			c := &Coordinator{}
			c.Apply(Options{TaskStopTimeout: 200 * time.Millisecond})
			j := &jobState{job: workload.Job{Steps: []workload.Step{{Count: 1, LongRunning: tt.longRunning}}}}
			qt.New(t).Check((&term{Coordinator: c}).endsSoon(&attempt{job: j, runs: tt.runs}, at), qt.Equals, tt.want)
		})
	}
}

// Guards against leases that are considered lapsed while a later try of a start
// may still be carried out.
func TestLaterTryOfStartProlongsLease(t *testing.T) {
	c := qt.New(t)
	job := workload.Job{ID: "job", Steps: []workload.Step{{Count: 1}}}
	h := &hostState{name: "host", runs: make(map[runKey]*run), lastContact: now()}
	term := &term{Coordinator: &Coordinator{}}
	term.Apply(Options{})
	a := &attempt{job: &jobState{job: job, progress: workload.NewProgress(job)}}
	r := term.addRun(a, job.TaskID(0, 0), 1, h, "minion@start")
	for range 2 {
		h.leaseExpiry = now() // as if all earlier leases ended now
		request := term.startRequest(r)
		c.Check(request.StartDeadline <= h.minionClockNow()+startValidity, qt.IsTrue)
		c.Check(h.leaseExpiry > now()+startValidity, qt.IsTrue)
	}
}

// Guards against a run that counts as ended because its end did not fit in the
// status report.
func TestFullStatusReportIsNoProofThatRunEnded(t *testing.T) {
	for name, tt := range map[string]struct {
		ended int
		held  bool
	}{"full": {host.MaxEndedRuns, true}, "not full": {host.MaxEndedRuns - 1, false}} {
		t.Run(name, func(t *testing.T) {
			job := workload.Job{ID: "job", Steps: []workload.Step{{Count: 1}}}
			h := &hostState{name: "host", runs: make(map[runKey]*run)}
			c := &Coordinator{logger: log.NewNopLogger(), metrics: newMetricSet(metrics.For(t.Name()))}
			c.Apply(Options{})
			term := &term{Coordinator: c, logger: c.logger, jobs: make(map[workload.ID]*jobState), attempts: make(map[int]*attempt), dirty: collection.NewSet[workload.ID]()}
			j := &jobState{job: job, progress: workload.NewProgress(job)}
			r := term.addRun(term.newAttempt(j, 0), job.TaskID(0, 0), 1, h, "minion@start")
			r.phase, r.reported = running, true
			term.loseMissingRuns(h, host.StatusReport{EndedRuns: make([]host.EndedRun, tt.ended)}, now())
			qt.New(t).Check(r.held(), qt.Equals, tt.held)
		})
	}
}
