package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/role/gateway"
	"wasabihoist/internal/run/metrics"
	"wasabihoist/internal/standin/fleetstore"
	"wasabihoist/internal/tenancy/catalogue"
)

const (
	topic     ledger.Topic  = "fleet"
	operators ledger.Topic  = "operators"
	fresh     time.Duration = 300 * time.Millisecond
	id                      = "00112233445566aa"
	timedID                 = "00112233445566bb"
)

// peer is another entry that answers with what the test says.
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
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{c: qt.New(t), store: fleetstore.New(), peer: &peer{err: errors.New("no peer")}}
	f.configure("1")
	state := ledger.NewState()
	current := catalogue.NewCurrent("config", func(value []byte) (*catalogue.Catalogue, error) {
		return &catalogue.Catalogue{
			Version:       int64(value[0] - '0'),
			Queues:        []catalogue.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "app", Attempts: 1}, {Name: "a", Host: "h", PathPrefix: "/advised/", Service: "app", Attempts: 1, UsesAdviser: true}},
			Organisations: []catalogue.Organisation{{Name: "o", Keys: []string{"key" + string(value)}}, {Name: "p", Keys: []string{"other"}}},
		}, nil
	}, log.NewNopLogger())
	jobs := ledger.NewReader(f.store, topic, state, 20*time.Millisecond, log.NewNopLogger())
	plans := ledger.NewReader(f.store, operators, current, 20*time.Millisecond, log.NewNopLogger())
	f.gateway = gateway.New(gateway.Options{
		Topic: topic, MaxConfigAge: fresh, Registry: metrics.For(f.c.Name()),
		Decode: func(body []byte) (gateway.Submission, error) {
			if string(body) == "bad" {
				return gateway.Submission{}, errors.New("cannot be read")
			}
			s := gateway.Submission{Steps: []workload.Step{{Count: 1}}}
			if string(body) == "timed" {
				s.Schedule = workload.Schedule{Repetitions: 3}
			}
			return s, nil
		},
		Peers: func() []gateway.Peer { return []gateway.Peer{f.peer} },
	}, f.store, state, jobs, plans, current, log.NewNopLogger())
	g := group.New(context.Background())
	g.Go("jobs", jobs.Run)
	g.Go("plans", plans.Run)
	f.c.Cleanup(func() {
		g.Stop()
		f.c.Check(g.Wait(), qt.IsNil)
	})
	<-jobs.Loaded()
	<-plans.Loaded()
	return f
}

func (f *fixture) configure(version string) {
	f.c.Assert(f.store.Append(context.Background(), operators, []ledger.Record{{Key: "config", Value: []byte(version)}}), qt.IsNil)
}

func (f *fixture) call(m gateway.Method, path, key, body string) gateway.Answer {
	return f.gateway.Serve(context.Background(), gateway.Call{Method: m, Host: "h", Path: path, Key: key, Wait: time.Second, Body: []byte(body)})
}

func TestCalls(t *testing.T) {
	f := newFixture(t)
	for _, tt := range []struct { // in order: later calls see what earlier ones did
		method    gateway.Method
		path, key string
		body      string
		want      gateway.Outcome
		state     workload.State
	}{
		{gateway.Status, "/q/" + id, "key1", "", gateway.UnknownJob, 0},
		{gateway.Submit, "/q/" + id, "key1", "bad", gateway.Invalid, 0},
		{gateway.Submit, "/advised/" + id, "key1", "", gateway.Refused, 0},
		{gateway.Submit, "/q/" + timedID, "key1", "timed", gateway.Accepted, 0},
		{gateway.Status, "/q/" + id, "key1", "", gateway.UnknownJob, 0},
		{gateway.Submit, "/q/" + id, "key1", "", gateway.Accepted, 0},
		{gateway.Submit, "/q/" + id, "key1", "", gateway.Accepted, 0},
		{gateway.Status, "/q/" + id, "key1", "", gateway.Known, workload.Pending},
		{gateway.Status, "/q/" + id, "other", "", gateway.UnknownJob, 0},
		{gateway.Status, "/q/" + id, "nobody", "", gateway.Unauthorised, 0},
		{gateway.Status, "/x/" + id, "key1", "", gateway.UnknownQueue, 0},
		{gateway.Submit, "/q/short", "key1", "", gateway.Invalid, 0},
		{gateway.Count, "/q/", "key1", "", gateway.Counted, 0},
		{gateway.Cancel, "/q/" + id, "key1", "", gateway.Known, workload.Cancelled},
		{gateway.Cancel, "/q/0000000000000000", "key1", "", gateway.UnknownJob, 0},
	} {
		answer := f.call(tt.method, tt.path, tt.key, tt.body)
		f.c.Check(answer.Outcome, qt.Equals, tt.want, qt.Commentf("%s %s %s: %+v", tt.method, tt.path, tt.key, answer))
		f.c.Check(answer.State, qt.Equals, tt.state)
	}
}

// Guards against a refusal that is not true: after a try whose fate is open, no
// other entry's refusal proves that the job never runs. One day of the users'
// bench ran a job that had been rejected that way.
func TestOpenSubmissionIsNotDenied(t *testing.T) {
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
			answer := f.call(gateway.Submit, "/q/"+id, "key1", "")
			f.c.Check(answer.Outcome, qt.Equals, tt.want, qt.Commentf("%+v", answer))
			if tt.want == gateway.Refused {
				f.c.Check(answer.RetryAfter > 0, qt.IsTrue)
			}
		})
	}
}

// Guards against appends that are repeated although the store is only slow, or
// although the ledger shows the record: each repetition makes a slow store
// slower. On a day of the users' bench the store refused the coordinator for
// that reason.
func TestSlowAppendsAreNotRepeated(t *testing.T) {
	for name, tt := range map[string]struct {
		first []fleetstore.Faults // first are the faults during one submission each, before those that count.
		then  fleetstore.Faults
	}{
		"slow answers": {
			first: slices.Repeat([]fleetstore.Faults{{AppendDelay: 500 * time.Millisecond}}, 3),
			then:  fleetstore.Faults{AppendDelay: 900 * time.Millisecond},
		},
		"lost answer": {then: fleetstore.Faults{LoseAnswer: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			for i, faults := range append(tt.first, tt.then) {
				f.store.SetFaults(faults)
				before := f.store.Appends()
				call := gateway.Call{Method: gateway.Submit, Host: "h", Path: fmt.Sprintf("/q/%016d", i), Key: "key1", Wait: 5 * time.Second}
				f.c.Check(f.gateway.Serve(context.Background(), call).Outcome, qt.Equals, gateway.Accepted)
				f.c.Check(f.store.Appends()-before, qt.Equals, 1)
			}
		})
	}
}

// Guards against work for a key that was taken away while an entry cannot read
// the configuration, and against entries that report themselves ready then.
func TestKeysAreNotServedWithoutWordFromTheStore(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.c.Check(f.gateway.Ready(), qt.IsTrue)
	f.c.Check(f.call(gateway.Count, "/q/", "key1", "").Outcome, qt.Equals, gateway.Counted)
	f.store.SetFaults(fleetstore.Faults{Down: true})
	time.Sleep(2 * fresh)
	f.c.Check(f.gateway.Ready(), qt.IsFalse)
	f.c.Check(f.call(gateway.Count, "/q/", "key1", "").Outcome, qt.Equals, gateway.Refused)
	f.c.Check(f.peer.calls, qt.Equals, 1)
	f.store.SetFaults(fleetstore.Faults{})
	f.configure("2")
	f.c.Check(f.call(gateway.Count, "/q/", "key1", "").Outcome, qt.Equals, gateway.Unauthorised)
	f.c.Check(f.call(gateway.Count, "/q/", "key2", "").Outcome, qt.Equals, gateway.Counted)
}

// Guards against a configuration that goes back when an older record arrives.
func TestConfigurationNeverGoesBack(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.configure("3")
	f.configure("2")
	f.c.Check(f.call(gateway.Count, "/q/", "key3", "").Outcome, qt.Equals, gateway.Counted)
	f.c.Check(f.call(gateway.Count, "/q/", "key2", "").Outcome, qt.Equals, gateway.Unauthorised)
}

// Guards against an entry that answers by an older configuration than one whose
// effect a client has seen through it: a hunted day (mix, seed 267494360390 on
// magnolia-hoist) went back that way after an answer from another entry.
func TestForwardedAnswersBindTheConfiguration(t *testing.T) {
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

// Guards against an answer by an older configuration while a denial waits for a
// newer one: calls that come after the denied one wait for the same read.
func TestUnconfirmedDenialHoldsLaterCalls(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.store.SetFaults(fleetstore.Faults{Down: true})
	f.c.Check(f.call(gateway.Count, "/new/", "key1", "").Outcome, qt.Equals, gateway.Refused)
	f.c.Check(f.call(gateway.Count, "/q/", "key1", "").Outcome, qt.Equals, gateway.Refused)
	f.store.SetFaults(fleetstore.Faults{})
	f.c.Check(f.call(gateway.Count, "/q/", "key1", "").Outcome, qt.Equals, gateway.Counted)
}

func TestLeavingEntryIsNotReadyAndAnswers(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.gateway.Drain()
	f.c.Check(f.gateway.Ready(), qt.IsFalse)
	f.c.Check(f.call(gateway.Submit, "/q/"+id, "key1", "").Outcome, qt.Equals, gateway.Accepted)
}
