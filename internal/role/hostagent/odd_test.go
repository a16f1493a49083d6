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

func (m *scriptedMinion) Start(context.Context, host.StartRequest) error { return nil }

func (m *scriptedMinion) Stop(context.Context, host.StopRequest) error { return nil }

func (m *scriptedMinion) Throttle(context.Context, host.ThrottleRequest) error { return nil }

func (m *scriptedMinion) Close() {}

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
