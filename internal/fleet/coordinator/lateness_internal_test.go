package coordinator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/run/metrics"
	"wasabihoist/internal/tenancy/catalogue"
)

// newAdaptiveTerm returns a term without hosts whose decisions are adaptive.
func newAdaptiveTerm() *term {
	c := &Coordinator{catalogue: catalogue.NewCurrent("", nil, log.NewNopLogger()), metrics: newMetricSet(metrics.For("adaptive"))}
	c.Apply(Options{Adaptive: true, TaskStopTimeout: 200 * time.Millisecond, CheckpointRestoreTime: 100 * time.Millisecond})
	return &term{Coordinator: c, logger: log.NewNopLogger(), overloads: make(map[competition]overload), workSizes: make(workSizes), jobs: make(map[workload.ID]*jobState), attempts: make(map[int]*attempt), hosts: make(map[string]*hostState)}
}

// addAttempt adds a running task of a job to a term. The job was submitted when the task
// began.
func addAttempt(t *term, estimate, elapsed time.Duration, percent int) *attempt {
	j := &jobState{job: workload.Job{
		ID: "job", Queue: "q", Priority: 1, Stretch: 2, Submitted: time.Now().Add(-elapsed),
		Steps: []workload.Step{{Count: 1, Estimate: estimate, Need: workload.Resources{MilliCores: 1000}}},
	}}
	j.progress = workload.NewProgress(j.job)
	a := t.newAttempt(j, 0)
	h := t.host("h")
	h.lastContact = now()
	r := t.addRun(a, j.job.TaskID(0, 0), 1, h, "m")
	r.phase, r.percent, r.startedAt, r.progressedAt = running, percent, now()-elapsed, now()
	return a
}

// Guards against work that gives way as late because its estimate was too short: its
// objective is a multiple of the time that it takes.
func TestObjectiveFollowsMeasuredTime(t *testing.T) {
	c := qt.New(t)
	tm := newAdaptiveTerm()
	a := addAttempt(tm, time.Second, 3*time.Second, 50)
	due := func() time.Duration { return tm.work(a.job, 0, time.Now()).Due.Round(time.Second) }
	c.Check(due(), qt.Equals, -time.Second)
	tm.measure()
	c.Check(due(), qt.Equals, 9*time.Second)
}

// Replays an overload: three jobs that would each need the whole service, and one that has
// waited for too long. Only the one with the latest due time can be in time after that. By
// latest start it would come third, and all would be late.
func TestOverloadedServiceServesWhatCanBeInTime(t *testing.T) {
	c := qt.New(t)
	tm := newAdaptiveTerm()
	h := tm.host("h")
	h.minion = host.Minion{ID: "m", Service: "app", Capacity: workload.Resources{MilliCores: 1000}}
	h.incarnationKnown, h.lastContact = true, now()
	at := time.Now()
	var list []occurrence
	for i, age := range []time.Duration{0, time.Second, 2 * time.Second, time.Hour} {
		j := &jobState{acceptOrder: int64(i), job: workload.Job{
			ID: workload.ID(fmt.Sprint(i)), Queue: "q", Service: "app", Priority: 1, Stretch: 2, Submitted: at.Add(-age), Organisation: "o",
			Steps: []workload.Step{{Count: 1, Estimate: 4 * time.Second, Need: workload.Resources{MilliCores: 1000}}},
		}} // due 8 s after its submission
		j.progress = workload.NewProgress(j.job)
		tm.jobs[j.job.ID] = j
		list = append(list, occurrence{job: j})
	}
	tm.orderByWorth(list, func(*jobState) allocation.Rank { return allocation.Ordinary }, at)
	var order []workload.ID
	for _, o := range list {
		order = append(order, o.job.job.ID)
	}
	c.Check(order, qt.DeepEquals, []workload.ID{"3", "0", "1", "2"})
}

// Guards against the preemption of work that is about to end, because the last report of
// its host is old: the run seemed to be overdue. Gangs at 90 to 100 % were stopped.
func TestOldReportIsNoSignOfOverdueWork(t *testing.T) {
	for name, tt := range map[string]struct {
		progressed, contact time.Duration // progressed and contact are the ages of the last percentage and of the last report.
		want                bool
	}{
		"reported now":        {0, 0, true},
		"an old report":       {time.Second, time.Second, true},
		"stuck near its end":  {time.Second, 100 * time.Millisecond, false},
		"silent for too long": {2 * time.Second, 1800 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			tm := newAdaptiveTerm()
			a := addAttempt(tm, 4*time.Second, 4*time.Second, 98)
			r := a.runs[0]
			r.progressedAt = now() - tt.progressed
			r.host.lastContact = now() - tt.contact
			qt.New(t).Check(tm.endsSoon(a, now()), qt.Equals, tt.want)
		})
	}
}
