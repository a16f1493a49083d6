package coordinator_test

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleetstore"
)

// longLeadership is a TTL that does not expire during a test, so that only
// other causes end the leadership.
const longLeadership = time.Hour

// Guards against a change of leader because another entry starts: each change
// interrupts placements for a while.
func TestStartingEntryDoesNotTakeTheLeadership(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	defer f.startCoordinator("one")()
	f.submit(workload.Job{ID: "first", Steps: []workload.Step{step(1, 1)}}, shortDuration)
	f.awaitState("first", workload.Done)
	defer f.startCoordinator("two")()
	time.Sleep(time.Second) // longer than the time between two claims
	holder, err := f.store.Leader(context.Background(), topic)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(holder, qt.Equals, "one")
	f.submit(workload.Job{ID: "second", Steps: []workload.Step{step(1, 1)}}, shortDuration)
	f.awaitState("second", workload.Done)
}

// Guards against a succession that takes as long as the store is slow. A
// rolling restart of all entries interrupted placements for eight seconds that
// way.
func TestSuccessionWhileTheStoreIsSlow(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	stop := f.startCoordinator("one")
	f.submit(workload.Job{ID: "first", Steps: []workload.Step{step(1, 1)}}, shortDuration)
	f.awaitState("first", workload.Done)
	defer f.startCoordinator("two")()
	f.store.SetFaults(fleetstore.Faults{Delay: 350 * time.Millisecond})
	stop()
	f.submit(workload.Job{ID: "second", Steps: []workload.Step{step(1, 1)}}, shortDuration)
	f.awaitState("second", workload.Done)
}

// Guards against waiting for a leader that has certainly ended, and against
// replacing one that only does not answer.
func TestSuccession(t *testing.T) {
	const address = "10.9.0.1:1"
	started := time.UnixMilli(1_700_000_000_000)
	for name, tt := range map[string]struct {
		refuses  bool
		restarts bool
		replaced bool
	}{
		"its host refuses connections": {refuses: true, replaced: true},
		"it has started again":         {restarts: true, replaced: true},
		"it is silent":                 {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1")
			leader := f.addEntry("front", address, started)
			_, err := f.store.Campaign(context.Background(), topic, leader, 0, longLeadership)
			f.c.Assert(err, qt.IsNil)
			defer f.startCoordinator("two")()
			if tt.refuses {
				a := netip.MustParseAddrPort(address)
				f.refusedAddress.Store(&a)
			}
			if tt.restarts {
				f.addEntry("front", address, started.Add(time.Second))
			}
			f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 1)}}, shortDuration)
			if tt.replaced {
				f.awaitState("job", workload.Done)
				return
			}
			time.Sleep(time.Second) // longer than between two claims
			f.c.Assert(f.stateOf("job"), qt.Equals, workload.Pending)
		})
	}
}

// Guards against a live leader that is removed again and again, because of an odd
// record of its member.
func TestLiveLeaderIsRemovedOnceAtMost(t *testing.T) {
	const address = "10.9.0.1:1"
	started := time.UnixMilli(1_700_000_000_000)
	for name, refuses := range map[string]bool{"later start": false, "address of no process": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, "r1")
			leader := f.addEntry("front", address, started)
			f.group.Go("leader", func(ctx context.Context) error {
				for ctx.Err() == nil {
					if _, err := f.store.Campaign(ctx, topic, leader, 0, longLeadership); err != nil {
						return err
					}
					_ = group.Pause(ctx, 20*time.Millisecond)
				}
				return nil
			})
			f.waitFor("it leads", func() bool {
				holder, err := f.store.Leader(context.Background(), topic)
				return err == nil && holder == leader
			})
			if refuses {
				a := netip.MustParseAddrPort(address)
				f.refusedAddress.Store(&a)
			} else {
				f.addEntry("front", address, started.Add(time.Hour))
			}
			defer f.startCoordinator("two")()
			f.waitFor("it is removed", func() bool { return strings.Contains(f.logs.String(), `event="leader removed"`) })
			time.Sleep(2 * time.Second) // 20 lookups of the leader
			f.c.Check(strings.Count(f.logs.String(), `event="leader removed"`), qt.Equals, 1)
		})
	}
}
