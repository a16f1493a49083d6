package coordinator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/standin/fleetstore"
)

// Guards against a job whose record is lost to one of another organisation with the same
// ID, against claims that stay when their job is removed or was never stored, and against
// the removal of a job that has the ID of one that a former term has removed.
func TestJobsKeepTheirRecordsAndClaims(t *testing.T) {
	const topic = ledger.Topic("fleet")
	c := qt.New(t)
	store, state := fleetstore.New(), ledger.NewState()
	reader := ledger.NewReader(store, topic, state, 0, log.NewNopLogger())
	coordinator := &Coordinator{store: store, topic: topic, state: state, reader: reader, logger: log.NewNopLogger()}
	coordinator.Apply(Options{StatusRetention: time.Second})
	put := func(records ...ledger.Record) {
		c.Assert(store.Append(context.Background(), topic, records), qt.IsNil)
		c.Assert(reader.Refresh(context.Background()), qt.IsNil)
	}
	submit := func(id workload.ID, organisation string, withJob bool) {
		claim, err := ledger.EncodeClaim(ledger.NewClaim(id, organisation))
		c.Assert(err, qt.IsNil)
		job, err := ledger.EncodeJob(workload.Job{ID: id, Queue: "q", Organisation: organisation, Service: "app", Attempts: 1, Stretch: 1, Steps: []workload.Step{{Count: 1}}})
		c.Assert(err, qt.IsNil)
		put([]ledger.Record{claim, job}[:map[bool]int{false: 1, true: 2}[withJob]]...)
	}
	// owner returns whose job a process has that starts now, empty if none.
	owner := func(id workload.ID) string {
		fresh := ledger.NewState()
		c.Assert(ledger.NewReader(store, topic, fresh, 0, log.NewNopLogger()).Refresh(context.Background()), qt.IsNil)
		e, _ := fresh.Job(id)
		return e.Job.Organisation
	}
	tm := &term{Coordinator: coordinator, logger: log.NewNopLogger(), jobs: make(map[workload.ID]*jobState), endedIDs: collection.NewSet[workload.ID](), restoring: collection.NewSet[workload.ID](), events: make(chan func(), 1)}
	run := func(step func()) {
		tm.group = group.New(context.Background())
		step()
		for store.Forget(topic); tm.restoring.Has("j"); c.Assert(reader.Refresh(context.Background()), qt.IsNil) {
			select {
			case event := <-tm.events:
				event()
			case <-time.After(time.Millisecond):
			}
		}
		c.Assert(tm.group.Wait(), qt.IsNil)
		c.Assert(reader.Refresh(context.Background()), qt.IsNil)
	}
	submit("j", "o", true)
	submit("j", "p", true)
	c.Check(owner("j"), qt.Equals, "")
	run(func() { e, _ := state.Job("j"); tm.restore(e); tm.restore(e) })
	c.Check(owner("j"), qt.Equals, "o")

	tm.endedJobs = []endedJob{{id: "j"}}
	run(tm.removeEndedJobs)
	c.Check(owner("j"), qt.Equals, "o") // It has not ended.
	progress, err := ledger.EncodeProgress(&workload.Progress{Job: "j", State: workload.Done})
	c.Assert(err, qt.IsNil)
	put(progress)
	tm.endedJobs = []endedJob{{id: "j"}}
	run(tm.removeEndedJobs)
	c.Check(owner("j"), qt.Equals, "")
	c.Check(state.Claims("j"), qt.HasLen, 0)

	submit("unsent", "o", false)
	submit("used", "o", true)
	run(func() { tm.removeEarlyCancellations(time.Hour) })
	c.Check(state.ClaimsWithoutJob(), qt.HasLen, 1)
	run(func() { tm.removeEarlyCancellations(time.Hour + minEarlyCancellationRetention + retentionMargin) })
	c.Check(state.ClaimsWithoutJob(), qt.HasLen, 0)
	c.Check(state.Claims("used"), qt.HasLen, 1)

	submit("lost", "o", true) // A coordinator that starts now can't restore it.
	submit("lost", "p", true)
	tm.state = ledger.NewState()
	tm.reader = ledger.NewReader(store, topic, tm.state, 0, log.NewNopLogger())
	c.Assert(tm.reader.Refresh(context.Background()), qt.IsNil)
	run(func() { tm.removeEarlyCancellations(2 * time.Hour) })
	c.Check(tm.state.ClaimsWithoutJob(), qt.HasLen, 3)
	run(func() { tm.removeEarlyCancellations(3 * time.Hour) })
	c.Check(state.Claims("lost"), qt.HasLen, 0)
	c.Check(owner("lost"), qt.Equals, "")
}
