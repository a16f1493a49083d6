package coordinator_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleethost"
)

// Guards against each of three leader changes that starts the time anew in which a host
// that is gone may still run its task, and against a second run of a task on a host that
// is silent for a while only.
func TestLeaderChangesBesideSilentHosts(t *testing.T) {
	const (
		between = 2 * time.Second
		changes = 3
		// anew is the least time after the begin of a term at which its predecessor may
		// still have a lease in force, if nothing is known of the predecessor.
		anew = 4*time.Second + lease
	)
	t.Parallel()
	f := newFixture(t, "r1", "r1", "r1")
	var gone, mute atomic.Pointer[fleethost.Minion]
	silent := func(m *fleethost.Minion) bool { return m == gone.Load() || m == mute.Load() }
	f.hooks.Store(&hooks{
		start: func(m *fleethost.Minion, r host.StartRequest) error {
			if silent(m) {
				return errNoReply
			}
			return m.Start(context.Background(), r)
		},
		renew: func(m *fleethost.Minion, r host.RenewLeaseRequest) (host.StatusReport, error) {
			if silent(m) {
				return host.StatusReport{}, errNoReply
			}
			return renewShortly(m, r)
		},
	})
	stop := f.startCoordinator("leader-0")
	for _, id := range []workload.ID{"gone", "silent"} {
		f.submit(workload.Job{ID: id, Attempts: 3, Steps: []workload.Step{step(1, 8)}}, shortDuration*100)
		f.waitFor(string(id)+" runs", func() bool { return f.starts(id, 1) == 1 })
	}
	minionOf := func(id workload.ID) *fleethost.Minion {
		for _, m := range f.minionList {
			if running := m.Look().Running; len(running) > 0 && running[0].Task.Job == id {
				return m
			}
		}
		return nil
	}
	leaving, living := minionOf("gone"), minionOf("silent")
	time.Sleep(between) // The leader writes its record.
	gone.Store(leaving)
	mute.Store(living)
	leaving.Leave()
	f.group.Every("leases of the silent minion", 10*time.Millisecond, func(context.Context) error { living.Settle(); return nil })
	for i := 1; i <= changes; i++ {
		next := f.startCoordinator(fmt.Sprintf("leader-%d", i))
		stop()
		stop = next
		f.waitFor("the next one leads", func() bool { return strings.Count(f.logs.String(), `event="term begun"`) == i+1 })
		if i < changes {
			time.Sleep(between)
		}
	}
	defer func() { stop() }()
	begun := time.Now()
	f.c.Check(f.starts("gone", 1), qt.Equals, 1)
	f.waitFor("the task of the host that is gone is started elsewhere", func() bool { return f.starts("gone", 1) == 2 })
	f.c.Check(time.Since(begun) < anew, qt.IsTrue, qt.Commentf("%s after the last leader change", time.Since(begun)))
}
