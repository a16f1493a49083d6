package coordinator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/run/metrics"
	"wasabihoist/internal/tenancy/catalogue"
)

// newIdleTerm returns a term with idle hosts of eight accelerators each. All jobs of
// the queue "advised" need the adviser.
func newIdleTerm(t *testing.T, hosts ...string) *term {
	current := catalogue.NewCurrent("config", func([]byte) (*catalogue.Catalogue, error) {
		return &catalogue.Catalogue{Version: 1, Queues: []catalogue.Queue{{Name: "advised", Service: "app", UsesAdviser: true}}}, nil
	}, log.NewNopLogger())
	qt.New(t).Assert(current.Apply(ledger.Page{Records: []ledger.StoredRecord{{Record: ledger.Record{Key: "config", Value: []byte("1")}}}}), qt.IsNil)
	c := &Coordinator{logger: log.NewNopLogger(), metrics: newMetricSet(metrics.For(t.Name())), state: ledger.NewState(), catalogue: current}
	c.Apply(Options{MaxLease: 10 * time.Second})
	tm := newTerm(c, 2, now(), group.New(context.Background()))
	t.Cleanup(func() { tm.group.Stop(); _ = tm.group.Wait() })
	for _, name := range hosts {
		h := tm.host(name)
		h.incarnationKnown, h.lastContact = true, now()
		h.minion = host.Minion{ID: name, Service: "app", Capacity: workload.Resources{Accelerators: 8}}
	}
	return tm
}

// Guards against an advised step that returns to the host on which it has failed
// until its attempts are used up, because no other host has a ticket.
func TestAdviceIsRequestedBeyondFailedHosts(t *testing.T) {
	for name, failed := range map[string]bool{"failed": true, "not failed": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tm := newIdleTerm(t, "a", "b")
			j := &jobState{job: workload.Job{ID: "job", Queue: "advised", Attempts: 3, Steps: []workload.Step{{Count: 1}}}, failuresByStep: make(map[int]*stepFailures)}
			j.progress = workload.NewProgress(j.job)
			j.adviceFor(0).tickets[tm.hosts["a"].minion.Incarnation()] = ticket{"ticket", now() + time.Minute}
			if failed {
				j.failures(0).record("a", now())
			}
			tm.newDemand(j, 0, 1, allocation.Ordinary)
			c.Assert(tm.adviceCalls.next != nil, qt.Equals, failed)
			if failed {
				c.Check(tm.adviceCalls.next.minions, qt.DeepEquals, map[string]string{"b": tm.hosts["b"].minion.Incarnation()})
			}
		})
	}
}

// Guards against an accepted job whose starts lack tickets, because its queue was
// removed or changed afterwards.
func TestAdviserUseIsThatOfTheAcceptance(t *testing.T) {
	tm := newIdleTerm(t, "a")
	for name, tt := range map[string]struct {
		use   workload.AdviserUse
		queue string
		want  bool
	}{
		"used, queue removed":             {workload.AdviserUsed, "removed", true},
		"used, queue uses it":             {workload.AdviserUsed, "advised", true},
		"not used, queue uses it now":     {workload.AdviserNotUsed, "advised", false},
		"older version, queue uses it":    {workload.AdviserNotRecorded, "advised", true},
		"older version, queue is removed": {workload.AdviserNotRecorded, "removed", false},
	} {
		t.Run(name, func(t *testing.T) {
			j := &jobState{job: workload.Job{ID: "job", Queue: tt.queue, Adviser: tt.use, Steps: []workload.Step{{Count: 1}}}, failuresByStep: make(map[int]*stepFailures)}
			j.progress = workload.NewProgress(j.job)
			_, restricted := tm.newDemand(j, 0, 1, allocation.Ordinary).AllowedHosts.Get()
			qt.Check(t, restricted, qt.Equals, tt.want)
		})
	}
}

// Guards against a step that is excluded from every host that can run it, and against
// one that returns to a faulty host while others have room.
func TestAvoidFaultyHosts(t *testing.T) {
	type failure struct {
		host string
		ago  time.Duration
	}
	recent := []failure{{host: "a"}}
	one := workload.Step{Count: 1, Need: workload.Resources{Accelerators: 1}}
	large := workload.Step{Count: 6, Gang: true, Need: workload.Resources{Accelerators: 4}}
	spread := workload.Step{Count: 3, SpreadLimit: 1, Need: workload.Resources{Accelerators: 1}}
	lasting := workload.Step{Count: 1, LongRunning: true, Need: workload.Resources{Accelerators: 1}}
	labelled := workload.Step{Count: 1, Label: "rare", Need: workload.Resources{Accelerators: 1}}
	for name, tt := range map[string]struct {
		step              workload.Step
		attempts          int       // attempts is 3 if it is 0.
		failures          []failure // failures are those of the step.
		probation         []failure // probation lists hosts on probation.
		change            func(hosts map[string]*hostState)
		placed            []string // placed are the hosts of the first tasks of the step.
		avoided, excluded []string
	}{
		"nothing has failed":                {step: one},
		"failed on one host":                {step: one, failures: recent, avoided: []string{"a"}, excluded: []string{"a"}},
		"failed on one host long ago":       {step: one, failures: []failure{{"a", avoidancePeriod}}, avoided: []string{"a"}},
		"failed on most hosts":              {step: one, failures: []failure{{host: "a"}, {host: "b"}}, avoided: []string{"a", "b"}},
		"failed on most hosts, one earlier": {step: one, failures: []failure{{"a", avoidancePeriod}, {host: "b"}}, avoided: []string{"a", "b"}, excluded: []string{"b"}},
		"only host with the label": {
			step: labelled, failures: recent, avoided: []string{"a"},
			change: func(hosts map[string]*hostState) { hosts["a"].minion.Labels = []string{"rare"} },
		},
		"only host of the service": {
			step: one, failures: recent, avoided: []string{"a"},
			change: func(hosts map[string]*hostState) {
				hosts["b"].minion.Service, hosts["c"].minion.Service = "other", "other"
			},
		},
		"only host that is large enough": {
			step: large, failures: recent, avoided: []string{"a"},
			change: func(hosts map[string]*hostState) {
				hosts["b"].minion.Capacity, hosts["c"].minion.Capacity = one.Need, one.Need
			},
		},
		"others drain, are silent or gone": {
			step: one, failures: recent, avoided: []string{"a"},
			change: func(hosts map[string]*hostState) { hosts["b"].minion.Draining, hosts["c"].silent = true, true },
		},
		"another is in quarantine": {
			step: one, failures: recent, avoided: []string{"a"}, excluded: []string{"a"},
			change: func(hosts map[string]*hostState) {
				hosts["b"].health.quarantinedUntil, hosts["c"].gone = now()+time.Minute, true
			},
		},
		"gang that needs all hosts":            {step: large, failures: recent, avoided: []string{"a"}},
		"other hosts have a task of the step":  {step: spread, failures: recent, placed: []string{"b", "c"}, avoided: []string{"a"}},
		"another host has room for the spread": {step: spread, failures: recent, placed: []string{"b"}, avoided: []string{"a"}, excluded: []string{"a"}},
		"probation, attempts left":             {step: one, probation: recent},
		"probation, last attempt":              {step: one, attempts: 1, probation: recent, avoided: []string{"a"}, excluded: []string{"a"}},
		"probation for long, last attempt":     {step: one, attempts: 1, probation: []failure{{"a", avoidancePeriod}}, avoided: []string{"a"}},
		"probation of all, last attempt":       {step: one, attempts: 1, probation: []failure{{host: "a"}, {host: "b"}, {host: "c"}}, avoided: []string{"a", "b", "c"}},
		"probation, long-running":              {step: lasting, attempts: 1, probation: recent},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tm := newIdleTerm(t, "a", "b", "c")
			if tt.change != nil {
				tt.change(tm.hosts)
			}
			j := &jobState{job: workload.Job{ID: "job", Service: "app", Attempts: 3, Steps: []workload.Step{tt.step}}, failuresByStep: make(map[int]*stepFailures)}
			if tt.attempts > 0 {
				j.job.Attempts = tt.attempts
			}
			j.progress = workload.NewProgress(j.job)
			for i, name := range tt.placed {
				j.progress.Place(j.job.TaskID(0, i), 1, name, "m")
			}
			for _, f := range tt.failures {
				j.failures(0).record(f.host, now()-f.ago)
			}
			for _, f := range tt.probation {
				tm.hosts[f.host].health.recordFailure("other", false, 0, now()-f.ago)
			}
			d := tm.newDemand(j, 0, len(tm.waitingTasks(j, 0, now())), allocation.Ordinary)
			c.Check(d.AvoidedHosts.Sorted(), qt.DeepEquals, append([]string{}, tt.avoided...))
			c.Check(d.ExcludedHosts.Sorted(), qt.DeepEquals, append([]string{}, tt.excluded...))
		})
	}
}
