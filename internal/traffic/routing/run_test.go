package routing

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/traffic/request"
)

// droppingAgent drops the connections of the first requests, as an agent without
// processor time does, and executes later requests.
type droppingAgent struct {
	refusingAgent
	remainingDrops atomic.Int64 // remainingDrops is how many more requests are dropped.
}

func (a *droppingAgent) Run(_ context.Context, r *wire.RunRequest) (*wire.RunReply, error) {
	if a.remainingDrops.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	return &wire.RunReply{Identity: r.GetIdentity(), Outcome: int32(request.Done), Checksum: emptyChecksum}, nil
}

// Guards against an idempotent request that is answered as unknown long before
// its deadline, because many replies were lost at the same time and the retry
// budget is empty.
func TestLostRepliesWaitForTheBudget(t *testing.T) {
	tests := map[string]struct {
		lost     int64
		deadline time.Duration
		want     request.Outcome
	}{
		"budget refills in time":     {lost: 1, deadline: 20 * time.Second, want: request.Done},
		"several replies lost":       {lost: 3, deadline: 20 * time.Second, want: request.Done},
		"deadline before the refill": {lost: 1, deadline: 100 * time.Millisecond, want: request.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			agent := &droppingAgent{}
			agent.remainingDrops.Store(tt.lost)
			server := httptest.NewServer(wire.NewAgentServer(agent))
			t.Cleanup(server.Close)
			target := testAgent("agent", "region-0", "dc-0", Alive)
			target.Address = netip.MustParseAddrPort(server.Listener.Addr().String())
			options := Default()
			options.Region, options.RetryBurst, options.RetryRatio, options.RetryPerSecond = "region-0", 1, 0, 2
			client := New(options, func() []Agent { return []Agent{target} }, journal.New(), nil, nil)
			defer client.Close()
			for client.budget.TryTake(time.Now()) {
			}
			q := testRequest("photo")
			q.Idempotent, q.Deadline = true, time.Now().Add(tt.deadline)
			answer := client.Run(t.Context(), q)
			c.Assert(answer.Outcome, qt.Equals, tt.want, qt.Commentf("%s", answer.Reason))
			c.Assert(client.Counters.Retries.Value() <= tt.lost, qt.IsTrue)
		})
	}
}

// hangingAgent never replies to a request, and calls onRequest when it gets one.
type hangingAgent struct {
	refusingAgent
	onRequest func()
}

func (a *hangingAgent) Run(ctx context.Context, _ *wire.RunRequest) (*wire.RunReply, error) {
	a.onRequest()
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a NotRun answer for a request that was sent, if only the lookup
// could not be sent, because the agent accepts no further connection.
func TestUnreachableAfterTheRequestWasSent(t *testing.T) {
	tests := map[string]bool{"idempotent": true, "non-idempotent": false}
	for name, idempotent := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			agent := &hangingAgent{}
			server := httptest.NewServer(wire.NewAgentServer(agent))
			t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
			agent.onRequest = func() { _ = server.Listener.Close() }
			target := testAgent("agent", "region-0", "dc-0", Alive)
			target.Address = netip.MustParseAddrPort(server.Listener.Addr().String())
			options := Default()
			options.Region, options.LookupDelay = "region-0", 50*time.Millisecond
			barrier := func(context.Context) error { return nil }
			client := New(options, func() []Agent { return []Agent{target} }, journal.New(), barrier, nil)
			defer client.Close()
			q := testRequest("photo")
			q.Idempotent, q.Deadline = idempotent, time.Now().Add(time.Second)
			answer := client.Run(t.Context(), q)
			c.Assert(answer.Outcome, qt.Equals, request.Unknown, qt.Commentf("%s", answer.Reason))
		})
	}
}

// drainingAgent drops the connection of the first request that any agent of its
// deployment gets, then refuses all work, and knows no request.
type drainingAgent struct {
	refusingAgent
	dropped  *atomic.Bool // dropped is set by the first request of the deployment.
	draining atomic.Bool
}

func (a *drainingAgent) Run(_ context.Context, r *wire.RunRequest) (*wire.RunReply, error) {
	reply := &wire.RunReply{Identity: r.GetIdentity(), Outcome: int32(request.Done), Checksum: emptyChecksum}
	switch {
	case a.dropped.CompareAndSwap(false, true):
		a.draining.Store(true)
		panic(http.ErrAbortHandler)
	case a.draining.Load():
		reply.Outcome, reply.Retryable, reply.Leaving = int32(request.NotRun), true, true
	}
	return reply, nil
}

// Guards against a non-idempotent request that is sent to the same draining agent
// until its deadline, after that agent has lost it.
func TestLostRequestMovesFromADrainingAgent(t *testing.T) {
	c := qt.New(t)
	var first atomic.Bool
	var targets []Agent
	for _, name := range []string{"agent-0", "agent-1"} {
		server := httptest.NewServer(wire.NewAgentServer(&drainingAgent{dropped: &first}))
		t.Cleanup(server.Close)
		target := testAgent(name, "region-0", "dc-0", Alive)
		target.Address = netip.MustParseAddrPort(server.Listener.Addr().String())
		targets = append(targets, target)
	}
	options := Default()
	options.Region = "region-0"
	barrier := func(context.Context) error { return nil }
	client := New(options, func() []Agent { return targets }, journal.New(), barrier, nil)
	defer client.Close()
	q := testRequest("pay")
	q.Deadline = time.Now().Add(5 * time.Second)
	answer := client.Run(t.Context(), q)
	c.Assert(answer.Outcome, qt.Equals, request.Done, qt.Commentf("%s", answer.Reason))
}

// lateAgent gets its first request only when late is closed, and then runs it. It
// refuses other requests, and has refused another submission of the first one.
type lateAgent struct {
	refusingAgent
	calls atomic.Int64
	late  chan struct{}
	runs  atomic.Int64
}

func (a *lateAgent) Run(ctx context.Context, r *wire.RunRequest) (*wire.RunReply, error) {
	if a.calls.Add(1) > 1 {
		return a.refusingAgent.Run(ctx, r)
	}
	<-a.late
	a.runs.Add(1)
	return &wire.RunReply{Identity: r.GetIdentity(), Outcome: int32(request.Done), Checksum: emptyChecksum}, nil
}

func (a *lateAgent) Lookup(_ context.Context, r *wire.LookupRequest) (*wire.RunReply, error) {
	return &wire.RunReply{Identity: r.GetIdentity(), Outcome: int32(request.NotRun), Found: true, Checksum: emptyChecksum}, nil
}

// Guards against a NotRun answer for a request that is still on its way to an
// agent, because the agent has refused another submission of the same identity.
func TestRefusalOfAnotherSubmission(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "non-idempotent": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			agent := &lateAgent{late: make(chan struct{})}
			server := httptest.NewServer(wire.NewAgentServer(agent))
			t.Cleanup(server.Close)
			target := testAgent("agent", "region-0", "dc-0", Alive)
			target.Address = netip.MustParseAddrPort(server.Listener.Addr().String())
			options := Default()
			options.Region, options.LookupDelay = "region-0", 50*time.Millisecond
			barrier := func(context.Context) error { return nil }
			client := New(options, func() []Agent { return []Agent{target} }, journal.New(), barrier, nil)
			defer client.Close()
			q := testRequest("pay")
			q.Idempotent, q.Deadline = idempotent, time.Now().Add(time.Second)
			answer := client.Run(t.Context(), q)
			close(agent.late)
			for end := time.Now().Add(5 * time.Second); agent.runs.Load() == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			c.Assert(agent.runs.Load(), qt.Equals, int64(1))
			c.Assert(answer.Outcome, qt.Equals, request.Unknown, qt.Commentf("%s", answer.Reason))
		})
	}
}
