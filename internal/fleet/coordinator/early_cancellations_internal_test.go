package coordinator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/standin/fleetstore"
)

// Guards against early cancellations that are kept for good, that are removed while a
// write of their job may still be late, or whose removal is not repeated after a failure.
func TestEarlyCancellationsAreRemoved(t *testing.T) {
	const topic = ledger.Topic("fleet")
	c := qt.New(t)
	store, state := fleetstore.New(), ledger.NewState()
	reader := ledger.NewReader(store, topic, state, 0, log.NewNopLogger())
	record := func(id workload.ID) {
		r, err := ledger.EncodeEarlyCancellation(ledger.NewEarlyCancellation(id, "o", time.Now().Add(-time.Hour)))
		c.Assert(err, qt.IsNil)
		c.Assert(store.Append(context.Background(), topic, []ledger.Record{r}), qt.IsNil)
		c.Assert(reader.Refresh(context.Background()), qt.IsNil)
	}
	coordinator := &Coordinator{store: store, topic: topic, state: state, reader: reader, logger: log.NewNopLogger()}
	coordinator.Apply(Options{StatusRetention: time.Second})
	tm := &term{Coordinator: coordinator, logger: log.NewNopLogger(), jobs: map[workload.ID]*jobState{"active": {}}}
	// remaining returns how many are left after the removal of a time.
	remaining := func(at time.Duration) int {
		tm.group = group.New(context.Background())
		tm.removeEarlyCancellations(at)
		c.Assert(tm.group.Wait(), qt.IsNil)
		c.Assert(reader.Refresh(context.Background()), qt.IsNil)
		return len(state.EarlyCancellations())
	}
	record("first")
	record("active")
	const begin, kept = time.Hour, minEarlyCancellationRetention + retentionMargin
	c.Check(remaining(begin), qt.Equals, 2)
	record("second")
	c.Check(remaining(begin+time.Minute), qt.Equals, 3)
	c.Check(remaining(begin+kept-time.Second), qt.Equals, 3)
	store.SetFaults(fleetstore.Faults{Down: true})
	tm.group = group.New(context.Background())
	tm.removeEarlyCancellations(begin + kept)
	c.Assert(tm.group.Wait(), qt.IsNil)
	store.SetFaults(fleetstore.Faults{})
	c.Check(remaining(begin+kept+time.Second), qt.Equals, 2) // The job of one of them is active.
	delete(tm.jobs, "active")
	c.Check(remaining(begin+kept+2*time.Second), qt.Equals, 1)
	c.Check(remaining(begin+kept+time.Minute), qt.Equals, 0)
	c.Check(tm.early.removeAt, qt.HasLen, 1) // It is forgotten with the next look.
	remaining(begin + kept + 2*time.Minute)
	c.Check(tm.early.removeAt, qt.HasLen, 0)
}
