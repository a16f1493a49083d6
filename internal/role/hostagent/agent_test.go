package hostagent_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/role/hostagent"
	"wasabihoist/internal/run/metrics"
	"wasabihoist/internal/standin/fleethost"
	"wasabihoist/platform"
)

const token = 5

var task = workload.TaskID{Job: "0123456789abcdef"}

// fixture is an agent with a stand-in of its minion that is served over HTTP.
type fixture struct {
	fleet  *fleethost.Fleet
	minion *fleethost.Minion
	agent  *hostagent.Agent
}

func newFixture(c *qt.C) *fixture {
	f := &fixture{fleet: fleethost.NewFleet(time.Millisecond)}
	f.minion = fleethost.NewMinion(f.fleet, host.Minion{ID: "m-1", Service: "app", Capacity: workload.Resources{MilliCores: 1000}})
	f.fleet.SetWork(task.Job, 0, fleethost.Work{Duration: time.Millisecond})
	s := httptest.NewUnstartedServer(nil)
	s.Config = platform.MinionServer(f.minion)
	s.Start()
	c.Cleanup(s.Close)
	address := netip.MustParseAddrPort(s.Listener.Addr().String())
	connect := func() hostagent.Connection { return platform.NewMinionConnection(address) }
	f.agent = hostagent.New(platform.NewMinionClient(address), connect, metrics.For(c.Name()), log.NewNopLogger())
	return f
}

// runTask runs the task to its end.
func (f *fixture) runTask(c *qt.C, number int) {
	r := host.StartRequest{Incarnation: f.minion.Report().Incarnation(), Token: token, Task: task, Number: number, StartDeadline: time.Minute}
	err := f.agent.Start(context.Background(), r)
	if err != nil { // The idle connection ended with the former incarnation.
		err = f.agent.Start(context.Background(), r)
	}
	c.Assert(err, qt.IsNil)
	time.Sleep(5 * time.Millisecond)
}

func (f *fixture) renew(incarnation string, acknowledged int64, wait time.Duration) (host.StatusReport, error) {
	return f.agent.RenewLease(context.Background(), host.RenewLeaseRequest{
		Incarnation: incarnation, Token: token, LeaseUntil: time.Minute, AcknowledgedSequence: acknowledged, Wait: wait,
	})
}

// Guards against lost reports of ended runs: a renewal that acknowledges ended
// runs of a former incarnation must not reach a minion that was restarted under
// the same id, because the minion would forget its own ended runs.
func TestAcknowledgementsStayWithTheirIncarnation(t *testing.T) {
	tests := map[string]struct{ waiting bool }{
		"renewal after restart":        {false},
		"renewal waits during restart": {true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(c)
			former := f.minion.Report().Incarnation()
			f.runTask(c, 1)
			status, err := f.renew(former, 0, 0)
			c.Assert(err, qt.IsNil)
			c.Assert(status.EndedRuns, qt.HasLen, 1)
			if tt.waiting {
				time.AfterFunc(20*time.Millisecond, f.minion.Restart)
				_, err = f.renew(former, 1, time.Second)
				c.Check(err, qt.IsNotNil)
			} else {
				_, err = f.renew(former, 1, 0)
				c.Assert(err, qt.IsNil)
				f.minion.Restart()
			}
			f.runTask(c, 2)
			for range 2 { // The first call may find that the connection is closed.
				if status, err = f.renew(former, 1, 0); err == nil {
					break
				}
			}
			c.Assert(err, qt.IsNil)
			c.Check(host.IncarnationStartedAt(former, status.Minion.StartedAt), qt.IsFalse)
			c.Check(status.EndedRuns, qt.HasLen, 1)
			status, err = f.renew(f.minion.Report().Incarnation(), 0, 0)
			c.Assert(err, qt.IsNil)
			c.Check(status.EndedRuns, qt.HasLen, 1)
		})
	}
}

// Guards against renewals of two coordinators that block or break each other.
func TestConcurrentRenewals(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	incarnation := f.minion.Report().Incarnation()
	const wait = 300 * time.Millisecond
	waiting := make(chan error, 1)
	time.AfterFunc(0, func() {
		_, err := f.renew(incarnation, 0, wait)
		waiting <- err
	})
	time.Sleep(wait / 3)
	begin := time.Now()
	_, err := f.renew(incarnation, 0, 0)
	c.Assert(err, qt.IsNil)
	c.Check(time.Since(begin) < wait/3, qt.IsTrue)
	c.Check(<-waiting, qt.IsNil)
	_, err = f.renew(incarnation, 0, 0)
	c.Check(err, qt.IsNil)
}
