package lease_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/lease"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/standin/workerhost"
)

const awaitTimeout = 10 * time.Second

var times = lease.Times{
	TTL: 600 * time.Millisecond, RenewInterval: 50 * time.Millisecond, CallTimeout: 200 * time.Millisecond, RetryDelay: 20 * time.Millisecond,
	SessionTTL: 300 * time.Millisecond, FirstContactTimeout: 800 * time.Millisecond, UsageInterval: time.Second,
}

type fixture struct {
	c            *qt.C
	host         *workerhost.Host
	worker       worker.Worker
	loseRenewals atomic.Bool // loseRenewals makes the worker carry out renewals without an answer.
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{c: qt.New(t), host: workerhost.New(worker.Resources{Memory: 100}, nil)}
	handler := f.host.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == worker.PathLease && f.loseRenewals.Load() {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	f.worker = worker.Worker{Name: "w", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	return f
}

func (f *fixture) startTable(t *testing.T) *lease.Table {
	table, work := lease.NewTable(), group.New(context.Background())
	work.Go(table.String(), table.Run)
	t.Cleanup(func() {
		work.Stop()
		_ = work.Wait()
	})
	return table
}

// query returns the first query of a session, which assigns the worker. The
// generation is also the session number.
func (f *fixture) query(owner string, generation, epoch int64) lease.Query {
	return lease.Query{
		Session: lease.SessionID{Owner: owner, DataCentre: "acari", Number: generation}, Extend: true, Wait: times.SessionTTL / 3,
		Assignment: &lease.Assignment{Version: 1, Times: times, Workers: []lease.WorkerAssignment{{Worker: f.worker, Generation: generation, Epoch: epoch}}},
	}
}

// awaitState polls until the lease has the given state and returns its epoch.
func (f *fixture) awaitState(table *lease.Table, q lease.Query, state lease.State) int64 {
	f.c.Helper()
	q.Wait = times.RetryDelay
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); {
		changes, err := table.Watch(context.Background(), q)
		f.c.Assert(err, qt.IsNil)
		if len(changes.Workers) == 1 && changes.Workers[0].State == state {
			return changes.Workers[0].Epoch
		}
		time.Sleep(times.RetryDelay)
	}
	f.c.Fatalf("the lease is not in state %d", state)
	return 0
}

func (f *fixture) start(table *lease.Table, q lease.Query, epoch int64, task string) error {
	_, err := table.Do(context.Background(), lease.Call{
		Session: q.Session, Worker: "w", Epoch: epoch, Kind: lease.Start, Task: task,
		Spec: worker.Spec{Name: task, RunTime: time.Minute},
	})
	return err
}

// Guards against a holder that renews leases for a scheduler that no longer sends
// queries, and against a delayed query that reopens an expired session.
func TestSessionEndsWithoutQueries(t *testing.T) {
	f := newFixture(t)
	table, q := f.startTable(t), f.query("a", 1, 0)
	epoch := f.awaitState(table, q, lease.Held)
	f.c.Assert(f.start(table, q, epoch, "t"), qt.IsNil)
	time.Sleep(times.SessionTTL + times.TTL + times.CallTimeout)
	f.c.Check(f.host.History()[0].Ended.IsZero(), qt.IsFalse)
	f.c.Check(f.start(table, q, epoch, "late"), qt.ErrorIs, worker.ErrStaleLease)
	q.After, q.Assignment = 1, nil
	_, err := table.Watch(context.Background(), q)
	f.c.Check(err, qt.ErrorIs, lease.ErrNoSession)
}

// Guards against queries without Extend that keep a session alive. A scheduler
// sends such queries while its earlier queries are unanswered.
func TestQueryThatDoesNotExtend(t *testing.T) {
	f := newFixture(t)
	table, q := f.startTable(t), f.query("a", 1, 0)
	f.awaitState(table, q, lease.Held)
	q.Extend = false
	for end := time.Now().Add(2 * times.SessionTTL); time.Now().Before(end); time.Sleep(times.RetryDelay) {
		_, _ = table.Watch(context.Background(), lease.Query{Session: q.Session, After: 1})
	}
	_, err := table.Watch(context.Background(), lease.Query{Session: q.Session, After: 1})
	f.c.Assert(err, qt.ErrorIs, lease.ErrNoSession)
}

// Guards against calls under a lease that has moved to another agent, and against
// the former holder acquiring it again.
func TestLeaseMovesToAnotherHolder(t *testing.T) {
	f := newFixture(t)
	before, after := f.startTable(t), f.startTable(t)
	first, second := f.query("a", 1, 0), f.query("a", 2, 0)
	old := f.awaitState(before, first, lease.Held)
	f.c.Assert(f.start(before, first, old, "t"), qt.IsNil)
	epoch := f.awaitState(after, second, lease.Held)
	f.c.Assert(epoch > old, qt.IsTrue)
	f.c.Check(f.start(before, first, old, "stale"), qt.ErrorIs, worker.ErrStaleLease)
	f.awaitState(before, first, lease.Superseded)
	f.c.Check(f.start(after, second, epoch, "new"), qt.IsNil)
	f.c.Check(f.host.History(), qt.HasLen, 2)
	for _, interval := range f.host.History() {
		f.c.Check(interval.Ended.IsZero(), qt.IsTrue)
	}
}

// Guards against a scheduler that lost its session and acquires the lease again
// from the scheduler that succeeded it.
func TestFormerSchedulerDoesNotReacquireLease(t *testing.T) {
	f := newFixture(t)
	table := f.startTable(t)
	first := f.query("a", 1, 0)
	epoch := f.awaitState(table, first, lease.Held)
	f.awaitState(table, f.query("b", 1, 0), lease.Held)
	f.awaitState(table, f.query("a", 2, epoch), lease.Superseded)
}

// Guards against a delayed query with an older assignment that removes workers
// from the holder, so that their leases lapse unnoticed.
func TestDelayedAssignmentHasNoEffect(t *testing.T) {
	f := newFixture(t)
	table, q := f.startTable(t), f.query("a", 1, 0)
	q.Assignment.Version = 2
	epoch := f.awaitState(table, q, lease.Held)
	late := q
	late.Wait, late.Assignment = 0, &lease.Assignment{Version: 1, Times: times}
	_, err := table.Watch(context.Background(), late)
	f.c.Assert(err, qt.IsNil)
	f.c.Check(f.start(table, q, epoch, "t"), qt.IsNil)
}

// Guards against a call that was decided under an earlier lease but is carried out
// under the present one.
func TestCallUnderAnEarlierEpoch(t *testing.T) {
	f := newFixture(t)
	table, q := f.startTable(t), f.query("a", 1, 0)
	epoch := f.awaitState(table, q, lease.Held)
	f.c.Check(f.start(table, q, epoch-1, "t"), qt.ErrorIs, worker.ErrStaleLease)
	f.c.Check(f.host.History(), qt.HasLen, 0)
}

// Guards against a delayed first query of an earlier session that ends the later
// session or runs beside it.
func TestDelayedSessionIsRefused(t *testing.T) {
	f := newFixture(t)
	table := f.startTable(t)
	f.awaitState(table, f.query("a", 2, 0), lease.Held)
	_, err := table.Watch(context.Background(), f.query("a", 1, 0))
	f.c.Assert(err, qt.ErrorIs, lease.ErrNoSession)
}

// Guards against a worker that is reported lost while its tasks go on, because the
// answers to the renewals of a new holder were lost.
func TestLostWorkerHasEndedItsTasks(t *testing.T) {
	f := newFixture(t)
	before, after := f.startTable(t), f.startTable(t)
	first := f.query("a", 1, 0)
	f.c.Assert(f.start(before, first, f.awaitState(before, first, lease.Held), "t"), qt.IsNil)
	f.loseRenewals.Store(true)
	f.awaitState(after, f.query("a", 2, 0), lease.Lost)
	f.c.Assert(f.host.History()[0].Ended.IsZero(), qt.IsFalse)
}
