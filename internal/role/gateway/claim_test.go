package gateway_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/role/gateway"
	"wasabihoist/internal/standin/fleetstore"
)

// slowStore shows nothing new to its readers while held is set.
type slowStore struct {
	*fleetstore.Store

	held atomic.Bool
}

// Read implements ledger.Store.
func (s *slowStore) Read(ctx context.Context, t ledger.Topic, from int64, wait time.Duration) (ledger.Page, error) {
	page, err := s.Store.Read(ctx, t, from, wait)
	if t == topic && s.held.Load() {
		time.Sleep(time.Millisecond)
		return ledger.Page{Next: from, End: from}, nil
	}
	return page, err
}

// another returns a further entry with its view of the store.
func (f *fixture) another(store ledger.Store) *fixture {
	other := &fixture{c: f.c, store: f.store, peer: f.peer, peers: f.peers}
	other.start(store)
	return other
}

// Guards against an organisation that takes over the ID of another one, learns of its
// job or cancels it, at any entry and after a restart, and against an acceptance of a job
// that does not run.
func TestIDIsNotSharedByOrganisations(t *testing.T) {
	const path = "/q/" + jobID
	for name, tt := range map[string]struct {
		second   func(f *fixture) *fixture // second returns the entry at which the other organisation submits.
		cancel   bool                      // cancel is set if the first job is cancelled before.
		atOnce   bool                      // atOnce is set if the entry learns of the first job only after its append.
		state    workload.State
		restored bool // restored is set if the coordinator would have to restore the record of the first job.
	}{
		"at the same entry":            {second: func(f *fixture) *fixture { return f }},
		"at another entry":             {second: func(f *fixture) *fixture { return f.another(f.store) }},
		"after the job was cancelled":  {second: func(f *fixture) *fixture { return f }, cancel: true, state: workload.Cancelled},
		"after the history is dropped": {second: func(f *fixture) *fixture { f.store.Forget(topic); return f.another(f.store) }},
		"at the same time":             {second: func(f *fixture) *fixture { return f.another(f.store) }, atOnce: true, restored: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			view := &slowStore{Store: f.store}
			second := f.another(view)
			view.held.Store(tt.atOnce)
			f.c.Assert(f.call(gateway.Submit, path, "key1", "").Outcome, qt.Equals, gateway.Accepted)
			if tt.cancel {
				f.c.Assert(f.call(gateway.Cancel, path, "key1", "").Outcome, qt.Equals, gateway.Known)
			}
			if tt.atOnce {
				appends := f.store.Appends()
				calls := group.New(f.c.Context())
				defer func() { f.c.Check(calls.Wait(), qt.IsNil) }()
				calls.Go("release", func(context.Context) error {
					for f.store.Appends() == appends {
						time.Sleep(time.Millisecond)
					}
					view.held.Store(false)
					return nil
				})
			} else {
				second = tt.second(f)
			}
			answer := second.call(gateway.Submit, path, "other", "")
			f.c.Check(answer.Outcome, qt.Equals, gateway.Refused)
			f.c.Check(answer.RetryAfter, qt.Equals, time.Duration(0))
			fresh := f.another(f.store)
			for _, entry := range []*fixture{f, second, fresh} {
				f.c.Check(entry.call(gateway.Status, path, "other", "").Outcome, qt.Equals, gateway.UnknownJob)
				f.c.Check(entry.call(gateway.Cancel, path, "other", "").Outcome, qt.Equals, gateway.UnknownJob)
			}
			f.awaitState(path, "key1", tt.state)
			if !tt.restored {
				fresh.awaitState(path, "key1", tt.state)
				f.another(f.store).awaitState(path, "key1", tt.state)
			}
		})
	}
}

// Guards against an acceptance of a job whose record another organisation has replaced
// before any entry could read it.
func TestJobIsAcceptedOnceTheLedgerShowsIt(t *testing.T) {
	f := newFixture(t)
	view := &slowStore{Store: f.store}
	f.start(view)
	other := f.another(view)
	view.held.Store(true)
	answers := make(chan gateway.Answer)
	calls := group.New(f.c.Context())
	submit := func(entry *fixture, key string) {
		appends := f.store.Appends()
		calls.Go("submit", func(context.Context) error {
			answers <- entry.call(gateway.Submit, "/q/"+jobID, key, "")
			return nil
		})
		for f.store.Appends() == appends {
			time.Sleep(time.Millisecond)
		}
	}
	submit(f, "key1")
	submit(other, "other")
	f.store.Forget(topic)
	view.held.Store(false)
	f.c.Check([]gateway.Outcome{(<-answers).Outcome, (<-answers).Outcome}, qt.ContentEquals, []gateway.Outcome{gateway.Refused, gateway.Undecided})
	f.c.Check(calls.Wait(), qt.IsNil)
	f.c.Check(f.call(gateway.Submit, "/q/"+jobID, "key1", "").Outcome, qt.Equals, gateway.Accepted)
	f.another(f.store).awaitState("/q/"+jobID, "key1", workload.Pending)
	f.c.Check(other.call(gateway.Status, "/q/"+jobID, "other", "").Outcome, qt.Equals, gateway.UnknownJob)
}
