package hostagent_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/role/hostagent"
	"wasabihoist/internal/run/metrics"
)

// scriptedMinion returns prepared status reports and accepts all other calls. It
// implements hostagent.Connection.
type scriptedMinion struct {
	mu     sync.Mutex
	report host.StatusReport
	calls  int
}

func (m *scriptedMinion) RenewLease(context.Context, host.RenewLeaseRequest) (host.StatusReport, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	report := m.report
	report.Running = append([]host.Run(nil), report.Running...)
	return report, nil
}

func (m *scriptedMinion) Start(context.Context, host.StartRequest) error       { return nil }
func (m *scriptedMinion) Stop(context.Context, host.StopRequest) error         { return nil }
func (m *scriptedMinion) Throttle(context.Context, host.ThrottleRequest) error { return nil }
func (m *scriptedMinion) Close()                                               {}

func newScriptedAgent(c *qt.C) (*hostagent.Agent, *scriptedMinion) {
	m := &scriptedMinion{report: host.StatusReport{Minion: host.Minion{StartedAt: born}}}
	connect := func() hostagent.Connection { return m }
	return hostagent.New(m, connect, metrics.For(c.Name()), log.NewNopLogger()), m
}

var born = time.UnixMilli(1700000000123)

func minionNamed(id string, startedAt time.Time) host.Minion {
	return host.Minion{ID: id, StartedAt: startedAt, Service: "app", Capacity: workload.Resources{MilliCores: 1000}}
}

// Guards against a heartbeat of another writer that replaces that of the minion,
// whose own heartbeats then count as those of a former incarnation for ever.
func TestOddHeartbeatDoesNotHideTheMinion(t *testing.T) {
	good := minionNamed("m-1", born)
	heartbeats := func(list ...host.Minion) []host.Minion { return list }
	var flood []host.Minion
	for i := range 1000 {
		flood = append(flood, minionNamed(fmt.Sprintf("odd-%d", i), born.Add(time.Duration(i+1)*time.Minute)))
	}
	for name, list := range map[string][]host.Minion{
		"other id, born later":           heartbeats(good, minionNamed("odd", born.Add(time.Minute))),
		"other id, born later, first":    heartbeats(minionNamed("odd", born.Add(time.Minute)), good),
		"same id, born later":            heartbeats(good, minionNamed("m-1", born.Add(time.Minute))),
		"other id, born at once":         heartbeats(good, minionNamed("odd", born)),
		"born before":                    heartbeats(good, minionNamed("odd", time.UnixMilli(0))),
		"born before, first":             heartbeats(minionNamed("odd", time.UnixMilli(0)), good),
		"many others before the minion":  append(flood, good),
		"others between two heartbeats":  append(append(heartbeats(good), flood[:5]...), good),
		"many others, and then the same": append(append(heartbeats(good), flood...), good),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			agent, _ := newScriptedAgent(c)
			for i, m := range list {
				agent.Heartbeat(m, int64(i+1))
			}
			status, err := agent.RenewLease(context.Background(), host.RenewLeaseRequest{Token: token})
			c.Assert(err, qt.IsNil)
			c.Check(status.Minion, qt.DeepEquals, good)
		})
	}
}

// Guards against a minion that is told to be ready by a heartbeat of another
// writer after it has reported that it drains.
func TestOddHeartbeatDoesNotEndTheDraining(t *testing.T) {
	c := qt.New(t)
	agent, _ := newScriptedAgent(c)
	draining := minionNamed("m-1", born)
	draining.Draining, draining.Remaining = true, time.Minute
	agent.Heartbeat(draining, 7)
	agent.Heartbeat(minionNamed("odd", born.Add(time.Minute)), 1)
	agent.Heartbeat(minionNamed("m-1", born), 6) // A late one.
	err := agent.Start(context.Background(), host.StartRequest{Incarnation: draining.Incarnation(), Token: token, Task: task, Number: 1})
	c.Check(errors.Is(err, host.ErrDraining), qt.IsTrue)
	agent.Deregister("odd")
	agent.Deregister("unknown")
	status, err := agent.RenewLease(context.Background(), host.RenewLeaseRequest{Token: token})
	c.Assert(err, qt.IsNil)
	c.Check(status.Minion.Remaining > 0, qt.IsTrue)
	agent.Deregister("m-1")
	status, err = agent.RenewLease(context.Background(), host.RenewLeaseRequest{Token: token})
	c.Assert(err, qt.IsNil)
	c.Check(status.Minion.Remaining, qt.Equals, time.Duration(0))
}

// Guards against a running run whose row can't be read and that counts as ended,
// so that its task is started a second time.
func TestUnreadableRowIsNoProofThatARunEnded(t *testing.T) {
	run := func(index int) host.Run {
		return host.Run{Task: workload.TaskID{Job: task.Job, Index: index}, Number: 1, Checkpoint: "cp"}
	}
	ended := func(index int) host.EndedRun {
		return host.EndedRun{Sequence: int64(index), Task: run(index).Task, Number: 1}
	}
	runs := func(list ...host.Run) host.StatusReport { return host.StatusReport{Running: list} }
	unreadable := host.Unreadable{Runs: 1, Err: errors.New("row 0")}
	odd := func(report host.StatusReport) host.StatusReport {
		report.Unreadable = unreadable
		return report
	}
	withEnds := func(report host.StatusReport, ends ...host.EndedRun) host.StatusReport {
		report.EndedRuns = ends
		return report
	}
	for name, tt := range map[string]struct {
		reports []host.StatusReport
		start   int // start is the index of a task that is started after the first report; 0 for none.
		born    time.Time
		want    []int // want has the tasks that the last report must list; nil if it must fail.
	}{
		"known before":                   {reports: []host.StatusReport{runs(run(1), run(2)), odd(runs(run(1)))}, want: []int{1, 2}},
		"known before, then all odd":     {reports: []host.StatusReport{runs(run(1), run(2)), odd(runs()), odd(runs())}, want: []int{1, 2}},
		"ended meanwhile":                {reports: []host.StatusReport{runs(run(1), run(2)), withEnds(odd(runs(run(1))), ended(2))}, want: []int{1}},
		"ended and forgotten":            {reports: []host.StatusReport{runs(run(1), run(2)), withEnds(runs(run(1)), ended(2)), odd(runs())}, want: []int{1}},
		"ended in an odd report":         {reports: []host.StatusReport{runs(run(1), run(2)), withEnds(odd(runs(run(1))), ended(2)), odd(runs(run(1)))}, want: []int{1}},
		"first seen in an odd report":    {reports: []host.StatusReport{runs(run(1)), odd(runs(run(1), run(2))), odd(runs(run(1)))}, want: []int{1, 2}},
		"started meanwhile":              {reports: []host.StatusReport{runs(run(1)), odd(runs(run(1)))}, start: 3, want: []int{1, 3}},
		"started and listed":             {reports: []host.StatusReport{runs(run(1)), odd(runs(run(1), run(3)))}, start: 3, want: []int{1, 3}},
		"nothing known":                  {reports: []host.StatusReport{odd(runs(run(1)))}},
		"nothing known of another":       {reports: []host.StatusReport{runs(run(1), run(2)), odd(runs(run(1)))}, born: born.Add(time.Minute)},
		"readable again":                 {reports: []host.StatusReport{runs(run(1), run(2)), odd(runs(run(1))), runs(run(1))}, want: []int{1}},
		"only an optional value is lost": {reports: []host.StatusReport{runs(run(1), run(2)), {Running: []host.Run{run(1)}, Unreadable: host.Unreadable{Err: unreadable.Err}}}, want: []int{1}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			agent, minion := newScriptedAgent(c)
			var status host.StatusReport
			var err error
			for i, report := range tt.reports {
				report.Minion.StartedAt = born
				if i > 0 && !tt.born.IsZero() {
					report.Minion.StartedAt = tt.born
				}
				minion.report = report
				status, err = agent.RenewLease(context.Background(), host.RenewLeaseRequest{Token: token})
				if i == 0 && tt.start > 0 {
					c.Assert(agent.Start(context.Background(), host.StartRequest{Token: token, Task: run(tt.start).Task, Number: 1, Checkpoint: "cp"}), qt.IsNil)
				}
			}
			if tt.want == nil {
				c.Check(err, qt.ErrorMatches, `1 running runs can't be read: row 0`)
				return
			}
			c.Assert(err, qt.IsNil)
			listed := make(map[int]host.Run)
			for _, r := range status.Running {
				listed[r.Task.Index] = r
			}
			c.Check(status.Running, qt.HasLen, len(tt.want))
			for _, index := range tt.want {
				c.Check(listed[index], qt.Equals, run(index))
			}
		})
	}
}

// Guards against a minion that answers at once because of an end that can't be
// acknowledged, so that it is asked again without a pause.
func TestEndWithoutNumberDoesNotSpinRenewals(t *testing.T) {
	c := qt.New(t)
	agent, minion := newScriptedAgent(c)
	minion.report.Unreadable = host.Unreadable{Ends: 1, Err: errors.New("row 0")}
	begin := time.Now()
	for range 3 {
		_, err := agent.RenewLease(context.Background(), host.RenewLeaseRequest{Token: token, Wait: 100 * time.Millisecond})
		c.Assert(err, qt.IsNil)
	}
	c.Check(time.Since(begin) >= 250*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(begin)))
	minion.report.EndedRuns = []host.EndedRun{{Sequence: 5}}
	begin = time.Now()
	_, err := agent.RenewLease(context.Background(), host.RenewLeaseRequest{Token: token, Wait: time.Minute, AcknowledgedSequence: 4})
	c.Assert(err, qt.IsNil)
	c.Check(time.Since(begin) < 5*time.Second, qt.IsTrue)
}

// Guards against a host that stays silent as long as the minion's list has a row
// that can't be read, although no run can be hidden by it.
func TestLastingUnreadableRowDoesNotKeepTheHostSilent(t *testing.T) {
	unreadable := host.Unreadable{Runs: 1, Err: errors.New("row 0")}
	run := host.Run{Task: task, Number: 1}
	renew := func(a *hostagent.Agent) (host.StatusReport, error) {
		return a.RenewLease(context.Background(), host.RenewLeaseRequest{Token: token})
	}
	t.Run("incarnation is younger than the agent", func(t *testing.T) {
		c := qt.New(t)
		agent, minion := newScriptedAgent(c)
		minion.report = host.StatusReport{Minion: host.Minion{StartedAt: time.Now().Add(time.Millisecond)}, Unreadable: unreadable}
		time.Sleep(2 * time.Millisecond)
		c.Assert(agent.Start(context.Background(), host.StartRequest{Token: token, Task: task, Number: 1}), qt.IsNil)
		status, err := renew(agent)
		c.Assert(err, qt.IsNil)
		c.Check(status.Running, qt.DeepEquals, []host.Run{run}) // The first report must not forget the start.
	})
	t.Run("leases of unknown runs have expired", func(t *testing.T) {
		c := qt.New(t)
		agent, minion := newScriptedAgent(c)
		const lease = 500 * time.Millisecond
		agent.SetMaxLease(lease)
		minion.report.Unreadable = unreadable
		begin := time.Now()
		_, err := renew(agent)
		for ; err != nil && time.Since(begin) < 20*time.Second; _, err = renew(agent) {
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(err, qt.IsNil)
		c.Check(time.Since(begin) > lease, qt.IsTrue, qt.Commentf("after %s", time.Since(begin)))
	})
}
