package agent_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/role/agent"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/traffic/request"
	"wasabihoist/internal/traffic/routing"
)

// patient makes a client wait for the replies of agents on a busy machine. After a
// lost reply, the outcome of a non-idempotent request is never NotRun.
func patient(o *routing.Options) {
	o.LookupDelay, o.DeadlineGrace, o.ProofTimeout = testTimeout, testTimeout, testTimeout
}

// Guards against a NotRun answer of an entry whose journal is behind the log,
// for a request that ran for another entry. The log is down, so that no journal
// can catch up, and the agent that ran the request has failed in a way that
// leaves no other process that knows of the run.
func TestNotRunIsProvedByTheAgents(t *testing.T) {
	const shortTimeout = 300 * time.Millisecond
	tests := map[string]struct {
		unlisted bool                              // unlisted removes the agent that runs the request from the list of the entry.
		after    func(cl *cluster, e *entryClient) // after is called after the run.
		proved   request.Outcome                   // proved is the expected outcome of a request that no agent knows.
	}{
		"agent works": {
			after:  func(_ *cluster, e *entryClient) { e.agents[0].State = routing.Draining },
			proved: request.NotRun,
		},
		"agent restarted without the log": {
			after: func(cl *cluster, e *entryClient) {
				cl.nodes[0].kill()
				e.agents[0] = cl.routingAgent(cl.startNode(cl.nodes[0].name, nil))
			},
			proved: request.Unknown,
		},
		"agent dead": {
			after: func(cl *cluster, e *entryClient) {
				cl.nodes[0].kill()
				e.agents[0].State = routing.Dead
				cl.knownDigest.Store(routing.AgentListDigest(e.agents))
			},
			proved: request.Unknown,
		},
		"agent forgotten": {
			after: func(cl *cluster, e *entryClient) {
				cl.nodes[0].kill()
				e.agents = e.agents[1:]
				cl.knownDigest.Store(routing.AgentListDigest(e.agents))
			},
			proved: request.Unknown,
		},
		"agent never listed": {unlisted: true, after: func(*cluster, *entryClient) {}, proved: request.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			c := qt.New(t)
			cl := newCluster(t, 2, nil)
			e, other := cl.startEntryClient("entry", patient), cl.nodes[1]
			if tt.unlisted {
				e.agents = e.agents[1:]
			}
			cl.awaitTrue("the entry is current", func() bool { return e.CatchUp(t.Context()) == nil })
			e.logGate.close()
			other.logGate.close()
			q := cl.request("tally", false, 0)
			assertDone(c, q, cl.run(cl.nodes[0], q, testTimeout))
			cl.logService.SetFaults(logservice.Faults{Outage: true})
			tt.after(cl, e)
			other.minion.Leave()
			cl.awaitTrue("the other agent takes no work", other.agent.Draining)

			c.Assert(submit(e.Client, q, shortTimeout).Outcome, qt.Equals, request.Unknown)
			fresh := submit(e.Client, cl.request("fresh", false, 0), shortTimeout)
			c.Assert(fresh.Outcome, qt.Equals, tt.proved, qt.Commentf("%s", fresh.Reason))

			cl.logService.SetFaults(logservice.Faults{})
			e.logGate.open()
			other.logGate.open()
			cl.awaitTrue("the entry is current", func() bool { return e.CatchUp(context.Background()) == nil })
			assertDone(c, q, submit(e.Client, q, shortTimeout))
			e.agents = e.agents[len(e.agents)-1:]
			last := submit(e.Client, cl.request("last", false, 0), shortTimeout)
			c.Assert(last.Outcome, qt.Equals, request.NotRun, qt.Commentf("%s", last.Reason))
			c.Assert(cl.executions(q.Identity), qt.Equals, 1)
		})
	}
}

// isPending reports whether an agent answers a lookup that it has the request
// without an outcome.
func (cl *cluster) isPending(n *node, q request.Request) bool {
	cl.t.Helper()
	reply, err := n.agent.Service().Lookup(context.Background(), &wire.LookupRequest{
		Identity: &wire.Identity{Organisation: q.Identity.Organisation, Id: q.Identity.ID},
	})
	if err != nil {
		cl.t.Error(err)
	}
	return reply.GetFound() && request.Outcome(reply.GetOutcome()) == request.Pending
}

// Guards against a NotRun answer for a request that waits at an agent until the
// record of its abandoned claim is folded, and then runs.
func TestRefusalWhileARepeatWaitsForTheAbandonedClaim(t *testing.T) {
	parallel(t)
	c := qt.New(t)
	cl := newCluster(t, 2, nil)
	n, e := cl.nodes[0], cl.startEntryClient("entry")
	q := cl.request("tally", false, 0)
	n.logGate.close()
	cl.run(n, q, 100*time.Millisecond)
	cl.awaitTrue("the claim is given up", func() bool { return !cl.isPending(n, q) })
	var repeated request.Answer
	g := group.New(context.Background())
	g.Go("repeat", func(context.Context) error {
		repeated = cl.run(n, q, 2*testTimeout)
		return nil
	})
	for end := time.Now().Add(testTimeout); time.Now().Before(end) && !cl.isPending(n, q); {
		time.Sleep(time.Millisecond)
	}
	refused := e.Refuse(context.Background(), q, "the plan has closed")
	n.logGate.open()
	c.Assert(g.Wait(), qt.IsNil)
	assertDone(c, q, repeated)
	cl.checkAnswers(c, q, refused)
}

// Guards against a status of NotRun for a request that one agent has refused and
// another one runs.
func TestStatusOfARequestThatMovesToAnotherAgent(t *testing.T) {
	for kind, idempotent := range map[string]bool{"idempotent": true, "non-idempotent": false} {
		t.Run(kind, func(t *testing.T) {
			parallel(t)
			c := qt.New(t)
			cl := newCluster(t, 2, func(o *agent.Options) { o.Slots = 1 })
			n, e := cl.nodes[0], cl.startEntryClient("entry")
			e.agents[1].DataCentre = "acari"
			blocker, q := cl.request("blocker", true, time.Second), cl.request("tally", idempotent, 0)
			var answer, status request.Answer
			g := group.New(context.Background())
			g.Go("blocker", func(context.Context) error { cl.run(n, blocker, testTimeout); return nil })
			cl.awaitTrue("the slot is taken", func() bool { return n.minion.Executions(blocker.Identity) == 1 })
			g.Go("submit", func(context.Context) error { answer = submit(e.Client, q, testTimeout); return nil })
			cl.awaitTrue("the request waits", func() bool { waiting, _ := n.agent.Load(); return waiting == 1 })
			g.Go("status", func(context.Context) error { status, _ = e.Lookup(context.Background(), q.Identity); return nil })
			time.Sleep(100 * time.Millisecond) // the lookup waits at the agent
			n.minion.Leave()
			c.Assert(g.Wait(), qt.IsNil)
			assertDone(c, q, answer)
			c.Assert(status.Outcome, qt.Not(qt.Equals), request.NotRun, qt.Commentf("%s", status.Reason))
		})
	}
}
