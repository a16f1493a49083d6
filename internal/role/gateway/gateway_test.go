package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/boottime"
	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/outlook"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/role/gateway"
	"wasabihoist/internal/run/metrics"
	"wasabihoist/internal/standin/fleetstore"
	"wasabihoist/internal/tenancy/catalogue"
)

const (
	topic          ledger.Topic  = "fleet"
	operatorsTopic ledger.Topic  = "operators"
	maxConfigAge   time.Duration = 300 * time.Millisecond
	jobID                        = "00112233445566aa"
	scheduledJobID               = "00112233445566bb"
)

// peer is a stub of another entry with a fixed answer.
type peer struct {
	answer gateway.Answer
	err    error
	calls  int
}

func (p *peer) Forward(context.Context, gateway.Call) (gateway.Answer, error) {
	p.calls++
	return p.answer, p.err
}

type fixture struct {
	c       *qt.C
	store   *fleetstore.Store
	gateway *gateway.Gateway
	peer    *peer

	jobReader, configReader *ledger.Reader
	suspended               atomic.Int64 // suspended is how long the host was suspended, in nanoseconds.

	peers []gateway.Peer // peers are the other entries; only peer unless a test replaces them.
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{c: qt.New(t), store: fleetstore.New(), peer: &peer{err: errors.New("no peer")}}
	f.peers = []gateway.Peer{f.peer}
	f.configure("1")
	f.start(f.store)
	return f
}

// start starts the gateway with its view of the store.
func (f *fixture) start(store ledger.Store) {
	state := ledger.NewState()
	current := catalogue.NewCurrent("config", func(value []byte) (*catalogue.Catalogue, error) {
		return &catalogue.Catalogue{
			Version:       int64(value[0] - '0'),
			Queues:        []catalogue.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "app", Attempts: 1}, {Name: "a", Host: "h", PathPrefix: "/advised/", Service: "app", Attempts: 1, UsesAdviser: true}},
			Organisations: []catalogue.Organisation{{Name: "o", Keys: []string{"key" + string(value)}}, {Name: "p", Keys: []string{"other"}}},
		}, nil
	}, log.NewNopLogger())
	jobReader := ledger.NewReader(store, topic, state, 20*time.Millisecond, log.NewNopLogger())
	configReader := ledger.NewReader(store, operatorsTopic, current, 20*time.Millisecond, log.NewNopLogger())
	configReader.SetClock(func() time.Duration { return boottime.Now() + time.Duration(f.suspended.Load()) })
	f.gateway = gateway.New(gateway.Options{
		Topic: topic, MaxConfigAge: maxConfigAge, Registry: metrics.For(f.c.Name()),
		Decode: func(body []byte) (gateway.Submission, error) {
			if string(body) == "bad" {
				return gateway.Submission{}, errors.New("cannot be read")
			}
			s := gateway.Submission{Steps: []workload.Step{{Count: 1}}}
			if string(body) == "large" {
				s.Steps[0].Need.MemoryMB = 10
			}
			if string(body) == "timed" {
				s.Schedule = workload.Schedule{Repetitions: 3}
			}
			return s, nil
		},
		Peers: func() []gateway.Peer { return f.peers },
	}, store, state, jobReader, configReader, current, log.NewNopLogger())
	f.jobReader, f.configReader = jobReader, configReader
	g := group.New(context.Background())
	g.Go("jobs", jobReader.Run)
	g.Go("plans", configReader.Run)
	f.c.Cleanup(func() {
		g.Stop()
		f.c.Check(g.Wait(), qt.IsNil)
	})
	<-jobReader.Loaded()
	<-configReader.Loaded()
}

func (f *fixture) configure(version string) {
	f.c.Assert(f.store.Append(context.Background(), operatorsTopic, []ledger.Record{{Key: "config", Value: []byte(version)}}), qt.IsNil)
}

func (f *fixture) call(m gateway.Method, path, key, body string) gateway.Answer {
	return f.gateway.Serve(context.Background(), gateway.Call{Method: m, Host: "h", Path: path, Key: key, Wait: time.Second, Body: []byte(body)})
}

func TestCalls(t *testing.T) {
	f := newFixture(t)
	for _, tt := range []struct { // ordered: later calls see the effects of earlier ones
		method    gateway.Method
		path, key string
		body      string
		want      gateway.Outcome
		state     workload.State
	}{
		{gateway.Status, "/q/" + jobID, "key1", "", gateway.UnknownJob, 0},
		{gateway.Submit, "/q/" + jobID, "key1", "bad", gateway.Invalid, 0},
		{gateway.Submit, "/advised/" + jobID, "key1", "", gateway.Refused, 0},
		{gateway.Submit, "/q/" + scheduledJobID, "key1", "timed", gateway.Accepted, 0},
		{gateway.Status, "/q/" + jobID, "key1", "", gateway.UnknownJob, 0},
		{gateway.Submit, "/q/" + jobID, "key1", "", gateway.Accepted, 0},
		{gateway.Submit, "/q/" + jobID, "key1", "", gateway.Accepted, 0},
		{gateway.Status, "/q/" + jobID, "key1", "", gateway.Known, workload.Pending},
		{gateway.Status, "/q/" + jobID, "other", "", gateway.UnknownJob, 0},
		{gateway.Status, "/q/" + jobID, "nobody", "", gateway.Unauthorised, 0},
		{gateway.Status, "/x/" + jobID, "key1", "", gateway.UnknownQueue, 0},
		{gateway.Submit, "/q/short", "key1", "", gateway.Invalid, 0},
		{gateway.Count, "/q/", "key1", "", gateway.Counted, 0},
		{gateway.Cancel, "/q/" + jobID, "key1", "", gateway.Known, workload.Cancelled},
		{gateway.Cancel, "/q/0000000000000000", "key1", "", gateway.UnknownJob, 0},
	} {
		answer := f.call(tt.method, tt.path, tt.key, tt.body)
		f.c.Check(answer.Outcome, qt.Equals, tt.want, qt.Commentf("%s %s %s: %+v", tt.method, tt.path, tt.key, answer))
		f.c.Check(answer.State, qt.Equals, tt.state)
	}
}

// Guards against reporting a job as rejected that still runs. After an append with
// an unknown outcome, a refusal or denial by another entry does not prove that the
// job never runs.
func TestUndecidedSubmissionIsNotDenied(t *testing.T) {
	for name, tt := range map[string]struct {
		faults fleetstore.Faults
		peer   peer
		want   gateway.Outcome
	}{
		"answer lost, the peer denies":         {fleetstore.Faults{DropAppend: 1000}, peer{answer: gateway.Answer{Outcome: gateway.Unauthorised}}, gateway.Undecided},
		"answer lost, the peer refuses":        {fleetstore.Faults{DropAppend: 1000}, peer{answer: gateway.Answer{Outcome: gateway.Refused}}, gateway.Undecided},
		"answer lost, the peer accepts":        {fleetstore.Faults{DropAppend: 1000}, peer{answer: gateway.Answer{Outcome: gateway.Accepted}}, gateway.Accepted},
		"store down, the peer refuses":         {fleetstore.Faults{Down: true}, peer{answer: gateway.Answer{Outcome: gateway.Refused}}, gateway.Refused},
		"store down, the peer does not answer": {fleetstore.Faults{Down: true}, peer{err: errors.New("no answer")}, gateway.Undecided},
		"store down, the peer accepts":         {fleetstore.Faults{Down: true}, peer{answer: gateway.Answer{Outcome: gateway.Accepted}}, gateway.Accepted},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			*f.peer = tt.peer
			f.store.SetFaults(tt.faults)
			answer := f.call(gateway.Submit, "/q/"+jobID, "key1", "")
			f.c.Check(answer.Outcome, qt.Equals, tt.want, qt.Commentf("%+v", answer))
			if tt.want == gateway.Refused {
				f.c.Check(answer.RetryAfter > 0, qt.IsTrue)
			}
		})
	}
}

// Guards against retried appends while the store is only slow or the ledger already
// shows the record. Retries slow a slow store down further, until it rejects the
// appends of the coordinator.
func TestSlowAppendsAreNotRepeated(t *testing.T) {
	for name, tt := range map[string]struct {
		warmup []fleetstore.Faults // warmup holds the faults of one earlier submission each.
		final  fleetstore.Faults
	}{
		"slow answers": {
			warmup: slices.Repeat([]fleetstore.Faults{{AppendDelay: 500 * time.Millisecond}}, 3),
			final:  fleetstore.Faults{AppendDelay: 900 * time.Millisecond},
		},
		"lost answer": {final: fleetstore.Faults{LoseAnswer: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			for i, faults := range append(tt.warmup, tt.final) {
				f.store.SetFaults(faults)
				before := f.store.Appends()
				call := gateway.Call{Method: gateway.Submit, Host: "h", Path: fmt.Sprintf("/q/%016d", i), Key: "key1", Wait: 5 * time.Second}
				f.c.Check(f.gateway.Serve(context.Background(), call).Outcome, qt.Equals, gateway.Accepted)
				f.c.Check(f.store.Appends()-before, qt.Equals, 1)
			}
		})
	}
}

// Guards against accepting a revoked key while an entry cannot read the
// configuration, and against reporting the entry as ready meanwhile.
func TestUnconfirmedConfigurationServesNoKeys(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.c.Check(f.gateway.Ready(), qt.IsTrue)
	f.c.Check(f.call(gateway.Count, "/q/", "key1", "").Outcome, qt.Equals, gateway.Counted)
	f.store.SetFaults(fleetstore.Faults{Down: true})
	time.Sleep(2 * maxConfigAge)
	f.c.Check(f.gateway.Ready(), qt.IsFalse)
	f.c.Check(f.call(gateway.Count, "/q/", "key1", "").Outcome, qt.Equals, gateway.Refused)
	f.c.Check(f.peer.calls, qt.Equals, 1)
	f.store.SetFaults(fleetstore.Faults{})
	f.configure("2")
	f.c.Check(f.call(gateway.Count, "/q/", "key1", "").Outcome, qt.Equals, gateway.Unauthorised)
	f.c.Check(f.call(gateway.Count, "/q/", "key2", "").Outcome, qt.Equals, gateway.Counted)
}

// Guards against accepting a key that was withdrawn while the host was suspended, and
// against reporting the entry as ready then.
func TestSuspendMakesTheConfigurationOld(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.gateway.SetMaxConfigAge(time.Minute)
	f.store.SetFaults(fleetstore.Faults{Down: true})
	f.c.Check(f.call(gateway.Count, "/q/", "key1", "").Outcome, qt.Equals, gateway.Counted)
	f.suspended.Store(int64(time.Minute))
	f.c.Check(f.gateway.Ready(), qt.IsFalse)
	f.c.Check(f.call(gateway.Count, "/q/", "key1", "").Outcome, qt.Equals, gateway.Refused)
	f.store.SetFaults(fleetstore.Faults{})
	f.configure("2")
	f.c.Check(f.call(gateway.Count, "/q/", "key1", "").Outcome, qt.Equals, gateway.Unauthorised)
	f.c.Check(f.call(gateway.Count, "/q/", "key2", "").Outcome, qt.Equals, gateway.Counted)
}

// Guards against returning to an older configuration when its record arrives late.
func TestConfigurationNeverGoesBack(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.configure("3")
	f.configure("2")
	f.c.Check(f.call(gateway.Count, "/q/", "key3", "").Outcome, qt.Equals, gateway.Counted)
	f.c.Check(f.call(gateway.Count, "/q/", "key2", "").Outcome, qt.Equals, gateway.Unauthorised)
}

// Guards against an entry that answers by an older configuration after it has passed
// on an answer of another entry that was based on a newer one. First seen in a
// simulated day ("mix") with seed 267494360390 on magnolia-hoist.
func TestForwardedAnswerRequiresItsConfiguration(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.peer.err = nil
	f.peer.answer = gateway.Answer{Outcome: gateway.Counted, Version: 2}
	f.store.SetFaults(fleetstore.Faults{Down: true})
	f.c.Check(f.call(gateway.Count, "/new/", "key2", "").Outcome, qt.Equals, gateway.Counted)
	f.c.Check(f.peer.calls, qt.Equals, 1)
	f.c.Check(f.gateway.Ready(), qt.IsFalse)
	f.call(gateway.Count, "/q/", "key1", "")
	f.c.Check(f.peer.calls, qt.Equals, 2)
	f.store.SetFaults(fleetstore.Faults{})
	f.configure("2")
	f.c.Check(f.call(gateway.Count, "/q/", "key2", "").Outcome, qt.Equals, gateway.Counted)
	f.c.Check(f.peer.calls, qt.Equals, 2)
}

// Guards against answers by an outdated configuration while the confirmation of a
// denial is pending: later calls must wait for the same read.
func TestUnconfirmedDenialHoldsLaterCalls(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.store.SetFaults(fleetstore.Faults{Down: true})
	f.c.Check(f.call(gateway.Count, "/new/", "key1", "").Outcome, qt.Equals, gateway.Refused)
	f.c.Check(f.call(gateway.Count, "/q/", "key1", "").Outcome, qt.Equals, gateway.Refused)
	f.store.SetFaults(fleetstore.Faults{})
	f.c.Check(f.call(gateway.Count, "/q/", "key1", "").Outcome, qt.Equals, gateway.Counted)
}

// Guards against a job that follows what its queue says after it was accepted.
func TestJobRecordsTheUseOfTheAdviser(t *testing.T) {
	f := newFixture(t)
	for queue, want := range map[string]workload.AdviserUse{"/q/": workload.AdviserNotUsed, "/advised/": workload.AdviserUsed} {
		job, err := f.gateway.Describe(gateway.Call{Method: gateway.Submit, Host: "h", Path: queue + jobID, Key: "key1"})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, job.Adviser, qt.Equals, want)
	}
}

func TestDrainingEntryAnswersButIsNotReady(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.gateway.Drain()
	f.c.Check(f.gateway.Ready(), qt.IsFalse)
	f.c.Check(f.call(gateway.Submit, "/q/"+jobID, "key1", "").Outcome, qt.Equals, gateway.Accepted)
}

// Guards against bodies that are read, and held, for calls that are refused in any case.
func TestBodyIsReadOnlyIfNeeded(t *testing.T) {
	f := newFixture(t)
	for name, tt := range map[string]struct {
		path, key string
		unread    *gateway.Answer
		want      gateway.Outcome
		reads     int
	}{
		"no queue":       {"/x/" + jobID, "key1", nil, gateway.UnknownQueue, 0},
		"no key":         {"/q/" + jobID, "nobody", nil, gateway.Unauthorised, 0},
		"no job":         {"/q/short", "key1", nil, gateway.Invalid, 0},
		"no adviser":     {"/advised/" + jobID, "key1", nil, gateway.Refused, 0},
		"cannot be read": {"/q/" + jobID, "key1", &gateway.Answer{Outcome: gateway.TooLarge}, gateway.TooLarge, 1},
		"job":            {"/q/" + scheduledJobID, "key1", nil, gateway.Accepted, 1},
	} {
		t.Run(name, func(t *testing.T) {
			reads := 0
			answer := f.gateway.Serve(t.Context(), gateway.Call{
				Method: gateway.Submit, Host: "h", Path: tt.path, Key: tt.key, Wait: time.Second,
				ReadBody: func() ([]byte, *gateway.Answer) { reads++; return []byte("{}"), tt.unread },
			})
			qt.Check(t, answer.Outcome, qt.Equals, tt.want)
			qt.Check(t, reads, qt.Equals, tt.reads)
		})
	}
}

// Guards against a panic while an odd value is logged.
func TestOddValuesHaveNames(t *testing.T) {
	c := qt.New(t)
	c.Check(gateway.Method(99).String(), qt.Equals, "method(99)")
	c.Check(gateway.Method(-1).String(), qt.Equals, "method(-1)")
	c.Check(gateway.Outcome(99).String(), qt.Equals, "outcome(99)")
	c.Check(gateway.Outcome(-1).String(), qt.Equals, "outcome(-1)")
}

// Guards against jobs that are accepted although no host can run them, and against the
// refusal of jobs that are accepted already or of which the ledger may know more.
func TestJobsThatCannotBeServedAreRefused(t *testing.T) {
	publish := func(f *fixture, kinds ...outlook.HostKind) {
		record, err := ledger.EncodeOutlook(outlook.Outlook{Service: "app", At: time.Now(), Kinds: kinds})
		f.c.Assert(err, qt.IsNil)
		f.c.Assert(f.store.Append(context.Background(), topic, []ledger.Record{record}), qt.IsNil)
		f.c.Assert(f.jobReader.Refresh(context.Background()), qt.IsNil)
	}
	small := outlook.HostKind{Capacity: workload.Resources{MemoryMB: 5}, Count: 3}
	for name, tt := range map[string]struct {
		prepare func(*fixture)
		want    gateway.Outcome
	}{
		"no outlook": {func(*fixture) {}, gateway.Accepted},
		"not known":  {func(f *fixture) { publish(f) }, gateway.Accepted},
		"fits":       {func(f *fixture) { publish(f, outlook.HostKind{Capacity: workload.Resources{MemoryMB: 10}, Count: 1}) }, gateway.Accepted},
		"too large":  {func(f *fixture) { publish(f, small) }, gateway.Refused},
		"is known":   {func(f *fixture) { f.call(gateway.Submit, "/q/"+jobID, "key1", "large"); publish(f, small) }, gateway.Accepted},
		"ledger can't be read": {func(f *fixture) {
			publish(f, small)
			f.store.SetFaults(fleetstore.Faults{Down: true})
			time.Sleep(100 * time.Millisecond)
		}, gateway.Undecided},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			tt.prepare(f)
			answer := f.call(gateway.Submit, "/q/"+jobID, "key1", "large")
			f.c.Check(answer.Outcome, qt.Equals, tt.want, qt.Commentf("%+v", answer))
			if tt.want == gateway.Refused {
				f.c.Check(answer.RetryAfter > 0, qt.IsTrue)
				f.store.SetFaults(fleetstore.Faults{})
				f.c.Check(f.call(gateway.Status, "/q/"+jobID, "key1", "").Outcome, qt.Equals, gateway.UnknownJob)
			}
		})
	}
}
