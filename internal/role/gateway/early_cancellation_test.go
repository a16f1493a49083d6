package gateway_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/role/gateway"
	"wasabihoist/internal/standin/fleetstore"
)

// lateStore leaves appends of jobs unanswered and carries them out when told to.
type lateStore struct {
	*fleetstore.Store

	mu   sync.Mutex
	held bool            // held is set while appends of jobs are held back.
	late []ledger.Record // late are the records that were held back.
}

// Append implements ledger.Store.
func (s *lateStore) Append(ctx context.Context, to ledger.Topic, records []ledger.Record) error {
	s.mu.Lock()
	holdBack := s.held && slices.ContainsFunc(records, func(r ledger.Record) bool { return strings.HasPrefix(r.Key, "job/") })
	if holdBack {
		s.late = append(s.late, records...)
	}
	s.mu.Unlock()
	if holdBack {
		return errors.New("no answer")
	}
	return s.Store.Append(ctx, to, records)
}

func (s *lateStore) hold(held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = held
}

// carryOut appends the records that were held back.
func (s *lateStore) carryOut(c *qt.C) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Assert(s.late, qt.Not(qt.HasLen), 0)
	c.Assert(s.Store.Append(context.Background(), topic, s.late), qt.IsNil)
}

// awaitState waits until a job has a state.
func (f *fixture) awaitState(path, key string, want workload.State) {
	var answer gateway.Answer
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if answer = f.call(gateway.Status, path, key, ""); answer.Outcome == gateway.Known && answer.State == want {
			return
		}
	}
	f.c.Fatalf("%s is not %s: %+v", path, want, answer)
}

// Guards against a job that runs although its client was told that it doesn't exist
// when it cancelled it: the answer to the write of the job was lost, and the write is
// carried out later.
func TestCancelledJobIsNotAcceptedLater(t *testing.T) {
	for name, between := range map[string]func(*fixture, *lateStore){
		"the same entry": func(*fixture, *lateStore) {},
		"another entry":  func(f *fixture, s *lateStore) { f.start(s) },
		"after the store has forgotten its history, all entries are restarted": func(f *fixture, s *lateStore) {
			s.SetFaults(fleetstore.Faults{DropHistory: true})
			f.start(s)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			store := &lateStore{Store: f.store}
			f.start(store)
			store.hold(true)
			f.c.Check(f.call(gateway.Submit, "/q/"+jobID, "key1", "").Outcome, qt.Equals, gateway.Undecided)
			store.hold(false)
			f.c.Check(f.call(gateway.Cancel, "/q/"+jobID, "key1", "").Outcome, qt.Equals, gateway.UnknownJob)
			between(f, store)
			f.c.Check(f.call(gateway.Status, "/q/"+jobID, "key1", "").Outcome, qt.Equals, gateway.UnknownJob)
			store.carryOut(f.c)
			f.awaitState("/q/"+jobID, "key1", workload.Cancelled)
		})
	}
}

// Guards against a submission that is delayed in the network, arrives after its client
// has cancelled the job, and is accepted.
func TestSubmissionAfterItsCancellationIsRefused(t *testing.T) {
	f := newFixture(t)
	f.c.Check(f.call(gateway.Cancel, "/q/"+jobID, "key1", "").Outcome, qt.Equals, gateway.UnknownJob)
	f.start(f.store)
	answer := f.call(gateway.Submit, "/q/"+jobID, "key1", "")
	f.c.Check(answer.Outcome, qt.Equals, gateway.Refused)
	f.c.Check(answer.RetryAfter, qt.Equals, time.Duration(0)) // Another try has the same result.
	f.c.Check(f.call(gateway.Status, "/q/"+jobID, "key1", "").Outcome, qt.Equals, gateway.UnknownJob)
	f.c.Check(f.call(gateway.Submit, "/q/"+scheduledJobID, "key1", "").Outcome, qt.Equals, gateway.Accepted)
}

// Guards against an organisation that cancels the job of another one with the same ID,
// or learns of it.
func TestCancellationConcernsOneOrganisation(t *testing.T) {
	f := newFixture(t)
	f.c.Check(f.call(gateway.Cancel, "/q/"+jobID, "other", "").Outcome, qt.Equals, gateway.UnknownJob)
	f.c.Check(f.call(gateway.Submit, "/q/"+jobID, "key1", "").Outcome, qt.Equals, gateway.Accepted)
	unknown := f.call(gateway.Cancel, "/q/"+scheduledJobID, "other", "")
	f.c.Check(f.call(gateway.Cancel, "/q/"+jobID, "other", ""), qt.DeepEquals, unknown)
	f.start(f.store)
	f.c.Check(f.call(gateway.Cancel, "/q/"+jobID, "other", ""), qt.DeepEquals, unknown)
	f.awaitState("/q/"+jobID, "key1", workload.Pending)
	f.c.Check(f.call(gateway.Cancel, "/q/"+jobID, "key1", "").State, qt.Equals, workload.Cancelled)
}

// Guards against a record for each repetition of a cancellation, and against a
// repetition that relies on a record which is about to be removed.
func TestRepeatedCancellationIsRecordedAnewAfterAWhile(t *testing.T) {
	f := newFixture(t)
	cancel := func() {
		f.c.Check(f.call(gateway.Cancel, "/q/"+jobID, "key1", "").Outcome, qt.Equals, gateway.UnknownJob)
	}
	record, err := ledger.EncodeEarlyCancellation(ledger.NewEarlyCancellation(jobID, "o", time.Now().Add(-time.Minute)))
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(f.store.Append(context.Background(), topic, []ledger.Record{record}), qt.IsNil)
	former := f.store.Appends()
	for range 5 {
		cancel()
	}
	f.c.Check(f.store.Appends(), qt.Equals, former+1)
	f.start(f.store)
	cancel()
	f.c.Check(f.store.Appends(), qt.Equals, former+1)
}

// Guards against a cancellation that is acknowledged although its record is not durable,
// and against one that is not acknowledged because the answer to the first try was lost.
func TestCancellationOfUnknownJobIsAnsweredOnceDurable(t *testing.T) {
	for name, tt := range map[string]struct {
		faults fleetstore.Faults
		want   gateway.Outcome
	}{
		"first answer lost":    {fleetstore.Faults{LoseAppend: 1}, gateway.UnknownJob},
		"first append dropped": {fleetstore.Faults{DropAppend: 1}, gateway.UnknownJob},
		"all appends dropped":  {fleetstore.Faults{DropAppend: 1000}, gateway.Undecided},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.store.SetFaults(tt.faults)
			f.c.Check(f.call(gateway.Cancel, "/q/"+jobID, "key1", "").Outcome, qt.Equals, tt.want)
		})
	}
}
