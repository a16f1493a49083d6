package coordinator_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/standin/fleetstore"
)

// longLeadership is how long a holder keeps the leadership that does not renew
// it, in the tests of what may end it before.
const longLeadership = time.Hour

// Guards against a leader that is replaced because another entry starts: each
// change stops placements for a while.
func TestStartingEntryDoesNotTakeTheLeadership(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	defer f.lead("one")()
	f.submit(workload.Job{ID: "first", Steps: []workload.Step{step(1, 1)}}, short)
	f.await("first", workload.Done)
	defer f.lead("two")()
	time.Sleep(time.Second) // longer than between two claims
	holder, err := f.store.Leader(context.Background(), topic)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(holder, qt.Equals, "one")
	f.submit(workload.Job{ID: "second", Steps: []workload.Step{step(1, 1)}}, short)
	f.await("second", workload.Done)
}

// Guards against a fleet without a coordinator for as long as the store is slow.
// On a day of the users' bench whose entries were stopped one after the other
// nothing was placed for eight seconds.
func TestSuccessionWhileTheStoreIsSlow(t *testing.T) {
	t.Parallel()
	f := newFixture(t, "r1")
	stop := f.lead("one")
	f.submit(workload.Job{ID: "first", Steps: []workload.Step{step(1, 1)}}, short)
	f.await("first", workload.Done)
	defer f.lead("two")()
	f.store.SetFaults(fleetstore.Faults{Delay: 350 * time.Millisecond})
	stop()
	f.submit(workload.Job{ID: "second", Steps: []workload.Step{step(1, 1)}}, short)
	f.await("second", workload.Done)
}

// Guards against a process that is waited for although it has certainly ended,
// and against one that is replaced although it only does not answer.
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
			leader := f.enter("front", address, started)
			_, err := f.store.Campaign(context.Background(), topic, leader, 0, longLeadership)
			f.c.Assert(err, qt.IsNil)
			defer f.lead("two")()
			if tt.refuses {
				a := netip.MustParseAddrPort(address)
				f.refusing.Store(&a)
			}
			if tt.restarts {
				f.enter("front", address, started.Add(time.Second))
			}
			f.submit(workload.Job{ID: "job", Steps: []workload.Step{step(1, 1)}}, short)
			if tt.replaced {
				f.await("job", workload.Done)
				return
			}
			time.Sleep(time.Second) // longer than between two claims
			f.c.Assert(f.stateOf("job"), qt.Equals, workload.Pending)
		})
	}
}
