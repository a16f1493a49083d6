package gateway_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/role/gateway"
	"wasabihoist/internal/standin/fleetstore"
)

// atOnce is longer than a call takes that waits for nothing, and shorter than the
// reads and appends that wait for a silent store.
const atOnce = 250 * time.Millisecond

// silenceStore makes the store silent and waits until the readers have noticed.
func (f *fixture) silenceStore() {
	f.store.SetFaults(fleetstore.Faults{Delay: time.Hour})
	deadline := time.Now().Add(5 * time.Second)
	for !f.configReader.Failing() || !f.jobReader.Failing() {
		f.c.Assert(time.Now().Before(deadline), qt.IsTrue)
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against entries that wait for a store that is known to be out of reach. While
// a third of the entries were cut off from the store, a call that was forwarded to one
// of them lost half a second there, and one that a client sent there lost it too.
func TestKnownOutageIsNotWaitedFor(t *testing.T) {
	for name, tt := range map[string]struct {
		method       gateway.Method
		forwarded    bool
		configIsOld  bool
		peer         gateway.Answer
		want         gateway.Outcome
		wantForwards int
	}{
		"forwarded query":      {gateway.Status, true, true, gateway.Answer{}, gateway.Refused, 0},
		"forwarded submission": {gateway.Submit, true, false, gateway.Answer{}, gateway.Refused, 0},
		"query":                {gateway.Status, false, true, gateway.Answer{Outcome: gateway.Known, Version: 1}, gateway.Known, 1},
		"submission":           {gateway.Submit, false, false, gateway.Answer{Outcome: gateway.Accepted, Version: 1}, gateway.Accepted, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.silenceStore()
			if !tt.configIsOld {
				f.gateway.SetMaxConfigAge(time.Hour)
			}
			f.peer.answer, f.peer.err = tt.peer, nil
			begin := time.Now()
			answer := f.gateway.Serve(context.Background(), gateway.Call{Method: tt.method, Host: "h", Path: "/q/" + jobID, Key: "key1", Wait: 3 * time.Second, Forwarded: tt.forwarded})
			f.c.Check(answer.Outcome, qt.Equals, tt.want, qt.Commentf("%+v", answer))
			f.c.Check(time.Since(begin) < atOnce, qt.IsTrue, qt.Commentf("took %s", time.Since(begin)))
			f.c.Check(f.peer.calls, qt.Equals, tt.wantForwards)
		})
	}
}

// Guards against a storm of forwarded calls while the store is down for all entries,
// and against a call that is held back although nobody can serve it.
func TestForwardedCallsAreBounded(t *testing.T) {
	f := newFixture(t)
	const count = 100
	peers := make([]*peer, count)
	f.peers = nil
	for i := range peers {
		peers[i] = &peer{answer: gateway.Answer{Outcome: gateway.Refused}}
		f.peers = append(f.peers, peers[i])
	}
	f.silenceStore()
	begin := time.Now()
	answer := f.gateway.Serve(context.Background(), gateway.Call{Method: gateway.Status, Host: "h", Path: "/q/" + jobID, Key: "key1", Wait: 4 * time.Second})
	f.c.Check(answer.Outcome, qt.Equals, gateway.Refused)
	f.c.Check(answer.RetryAfter > 0, qt.IsTrue)
	f.c.Check(time.Since(begin) < atOnce, qt.IsTrue, qt.Commentf("took %s", time.Since(begin)))
	sum := 0
	for _, p := range peers {
		f.c.Check(p.calls <= 1, qt.IsTrue)
		sum += p.calls
	}
	f.c.Check(sum, qt.Equals, 8)
}
