package agent_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/role/agent"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/standin/minionhost"
	"wasabihoist/internal/traffic/request"
	"wasabihoist/internal/traffic/routing"
)

// entryClient is the routing client of an entry, with the list of agents that
// it knows.
type entryClient struct {
	*routing.Client
	logGate *gate
	agents  []routing.Agent
}

// startClient starts a routing client. Its list of agents never changes, as if
// membership had not noticed any failure yet.
func (cl *cluster) startClient(name string) *routing.Client {
	cl.t.Helper()
	return cl.startEntryClient(name).Client
}

// startEntryClient starts a routing client whose list of agents the test may
// change, with its own journal.
func (cl *cluster) startEntryClient(name string, adjust ...func(*routing.Options)) *entryClient {
	cl.t.Helper()
	g := group.New(context.Background())
	e := &entryClient{logGate: newGate(), agents: cl.routingAgents()}
	j, w := cl.startJournal(g, name, gatedLog{cl.log, e.logGate})
	options := routing.Default()
	options.Region, options.DataCentre = "serido", "caico"
	options.LookupDelay = 200 * time.Millisecond
	for _, change := range adjust {
		change(&options)
	}
	barrier := func(ctx context.Context) error {
		_, err := w.Append(ctx, journal.Barrier{})
		return err
	}
	e.Client = routing.New(options, func() []routing.Agent { return e.agents }, j, barrier, nil)
	cl.t.Cleanup(func() {
		e.logGate.open()
		g.Stop()
		_ = g.Wait()
		e.Close()
	})
	return e
}

func (cl *cluster) routingAgents() []routing.Agent {
	agents := make([]routing.Agent, 0, len(cl.nodes))
	for _, n := range cl.nodes {
		agents = append(agents, cl.routingAgent(n))
	}
	return agents
}

// clusterSlots bounds the clusters that run at the same time.
var clusterSlots = make(chan struct{}, 8)

// parallel runs the test in parallel with others, within clusterSlots.
func parallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
}

func (cl *cluster) routingAgent(n *node) routing.Agent {
	cl.t.Helper()
	return routing.Agent{
		Name: n.name, Region: "serido", DataCentre: "caico", Service: "folha-app",
		Address: netip.MustParseAddrPort(n.server.Listener.Addr().String()),
	}
}

func submit(client *routing.Client, q request.Request, timeout time.Duration) request.Answer {
	q.Deadline = time.Now().Add(timeout)
	return client.Run(context.Background(), q)
}

// Guards against replies between processes that are lost, mismatched or
// truncated and cause a second run, a wrong answer or no answer.
func TestDamagedReplies(t *testing.T) {
	for _, fault := range []string{"crossed", "truncated", "lost"} {
		for _, times := range []int{1, 2} {
			for name, idempotent := range map[string]bool{"idempotent": true, "non-idempotent": false} {
				t.Run(fmt.Sprintf("%s %d %s", fault, times, name), func(t *testing.T) {
					parallel(t)
					c := qt.New(t)
					cl := newCluster(t, 1, nil)
					client := cl.startClient("entry")
					cl.nodes[0].network.setFault(fault, times)
					q := cl.request("tally", idempotent, 50*time.Millisecond)
					assertDone(c, q, submit(client, q, testTimeout))
					c.Assert(cl.executions(q.Identity), qt.Equals, 1)
				})
			}
		}
	}
}

// Guards against requests that wait until their deadline on connections that
// stopped answering, although new connections work.
func TestSilentConnections(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "non-idempotent": false} {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			c := qt.New(t)
			cl := newCluster(t, 1, nil)
			client := cl.startClient("entry")
			assertDone(c, cl.request("first", true, 0), submit(client, cl.request("first", true, 0), testTimeout))
			cl.nodes[0].network.silence()
			cl.nodes[0].minion.SilenceConnections()
			q := cl.request("tally", idempotent, 0)
			assertDone(c, q, submit(client, q, testTimeout))
			// The connections stop answering while the second request runs.
			q = cl.request("tally-2", idempotent, 500*time.Millisecond)
			g := group.New(context.Background())
			g.Go("silence", func(context.Context) error {
				cl.awaitTrue("the request runs", func() bool { return cl.executions(q.Identity) == 1 })
				cl.nodes[0].network.silence()
				cl.nodes[0].minion.SilenceConnections()
				return nil
			})
			assertDone(c, q, submit(client, q, testTimeout))
			c.Assert(g.Wait(), qt.IsNil)
			c.Assert(cl.executions(q.Identity), qt.Equals, 1)
		})
	}
}

// Guards against a request that runs after its deadline because the agent was
// paused between the claim and the start.
func TestPausedBetweenClaimAndStart(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 1, nil)
	n := cl.nodes[0]
	client := cl.startClient("entry")
	g := group.New(context.Background())
	q := cl.request("tally", false, 0)
	cl.logService.SetFaults(logservice.Faults{Delay: 200 * time.Millisecond})
	g.Go("pause", func(context.Context) error {
		cl.awaitTrue("the request is accepted", func() bool { return n.agent.Counters.Accepted.Value() == 2 })
		n.pause()
		time.Sleep(1200 * time.Millisecond)
		n.resume()
		return nil
	})
	a := submit(client, q, 800*time.Millisecond)
	c.Assert(a.Outcome, qt.Equals, request.Unknown)
	c.Assert(g.Wait(), qt.IsNil)
	cl.logService.SetFaults(logservice.Faults{})
	// The records of an agent are folded in order, so those of the first
	// request precede those of the next.
	next := cl.request("tally-2", false, 0)
	assertDone(c, next, submit(client, next, testTimeout))
	_, claimed := n.journal.Request(q.Identity)
	c.Assert(claimed, qt.IsFalse)
	c.Assert(cl.executions(q.Identity), qt.Equals, 0)
}

// Guards against any step at which an agent crash causes a second run, a NotRun
// answer for a request that ran, or an idempotent request without an answer.
func TestAgentKilledAtEachStep(t *testing.T) {
	tests := map[string]struct {
		work   time.Duration
		outage bool                                    // outage keeps the claim from being appended.
		when   func(n *node, id request.Identity) bool // when reports whether the step is reached.
		lost   bool                                    // lost drops all replies, so that only the journal can answer.
		after  logservice.Faults                       // after are the log faults that are set once the request runs.
	}{
		"before the claim": {outage: true, when: func(n *node, _ request.Identity) bool { return n.agent.Counters.Accepted.Value() > 1 }},
		"after the claim":  {work: 300 * time.Millisecond, when: func(n *node, id request.Identity) bool { _, ok := n.journal.Request(id); return ok }},
		"during the run":   {work: 300 * time.Millisecond, when: func(n *node, id request.Identity) bool { return n.minion.Executions(id) > 0 }},
		"after the record": {lost: true, when: func(n *node, id request.Identity) bool {
			s, _ := n.journal.Request(id)
			return s.Outcome == request.Done
		}},
		"before the record": {work: 100 * time.Millisecond, after: logservice.Faults{Outage: true}, when: func(n *node, _ request.Identity) bool { _, running := n.agent.Load(); return running == 0 }},
	}
	for name, tt := range tests {
		for kind, idempotent := range map[string]bool{"idempotent": true, "non-idempotent": false} {
			t.Run(name+" "+kind, func(t *testing.T) {
				parallel(t)
				c := qt.New(t)
				cl := newCluster(t, 2, nil)
				clients := []*routing.Client{cl.startClient("entry-1"), cl.startClient("entry-2")}
				q := cl.request("tally", idempotent, tt.work)
				cl.logService.SetFaults(logservice.Faults{Outage: tt.outage})
				for _, n := range cl.nodes {
					if tt.lost && !idempotent {
						n.network.setFault("lost", 1000)
					}
				}
				g := group.New(context.Background())
				g.Go("kill", func(context.Context) error {
					n := cl.awaitNode("the agent has the request", func(n *node) bool { return n.agent.Counters.Accepted.Value() > 1 })
					if tt.after != (logservice.Faults{}) {
						cl.awaitTrue("the request runs", func() bool { return n.minion.Executions(q.Identity) > 0 })
						cl.logService.SetFaults(tt.after)
					}
					end := time.Now().Add(time.Second)
					for !tt.when(n, q.Identity) && time.Now().Before(end) {
						time.Sleep(time.Millisecond)
					}
					n.kill()
					return nil
				})
				first := submit(clients[0], q, 2*time.Second)
				c.Assert(g.Wait(), qt.IsNil)
				cl.logService.SetFaults(logservice.Faults{})
				for _, n := range cl.nodes {
					n.network.setFault("", 0)
				}
				cl.checkAnswers(c, q, first)
				second := submit(clients[1], q, 2*time.Second)
				// A NotRun answer was right when it was given; the repeat may run
				// afterwards.
				if first.Outcome != request.NotRun || second.Outcome == request.NotRun {
					cl.checkAnswers(c, q, first)
				}
				cl.checkAnswers(c, q, second)
				if idempotent || tt.lost {
					assertDone(c, q, first)
				}
				cl.checkRepeat(c, q, tt.after.Outage, first, second)
			})
		}
	}
}

func (cl *cluster) awaitNode(what string, condition func(n *node) bool) *node {
	cl.t.Helper()
	var found *node
	cl.awaitTrue(what, func() bool {
		for _, n := range cl.nodes {
			if condition(n) {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

// checkAnswers checks what must hold under any failure: every request has an
// answer, a non-idempotent one runs at most once, a Done answer is complete,
// and a NotRun answer means that the request did not run.
func (cl *cluster) checkAnswers(c *qt.C, q request.Request, answers ...request.Answer) {
	c.Helper()
	runs := cl.executions(q.Identity)
	if !q.Idempotent {
		c.Assert(runs <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", q.Identity, runs))
	}
	for _, a := range answers {
		switch a.Outcome {
		case request.Done:
			assertDone(c, q, a)
			c.Assert(runs >= 1, qt.IsTrue)
		case request.NotRun:
			c.Assert(runs, qt.Equals, 0, qt.Commentf("%s: %s", q.Identity, a.Reason))
		case request.Pending:
			c.Fatalf("%s has no answer", q.Identity)
		}
	}
}

// Guards against a minion failure during a run that causes a second run or a
// wrong answer.
func TestMinionFailsDuringTheRun(t *testing.T) {
	tests := map[string]struct {
		fail  func(n *node)
		clear func(n *node)
	}{
		"crash":                    {func(n *node) { n.minion.Crash() }, func(n *node) { n.startMinion() }},
		"crash and return at once": {func(n *node) { n.minion.Crash(); time.Sleep(20 * time.Millisecond); n.startMinion() }, func(*node) {}},
		"freeze":                   {func(n *node) { n.minion.SetFaults(minionhost.Faults{Freeze: true}) }, func(n *node) { n.minion.SetFaults(minionhost.Faults{}) }},
		"silence":                  {func(n *node) { n.minion.SilenceConnections() }, func(*node) {}},
	}
	for name, tt := range tests {
		for kind, idempotent := range map[string]bool{"idempotent": true, "non-idempotent": false} {
			t.Run(name+" "+kind, func(t *testing.T) {
				parallel(t)
				c := qt.New(t)
				cl := newCluster(t, 2, nil)
				client := cl.startClient("entry")
				q := cl.request("tally", idempotent, 300*time.Millisecond)
				g := group.New(context.Background())
				g.Go("fail", func(context.Context) error {
					n := cl.awaitNode("the request runs", func(n *node) bool { return n.minion.Executions(q.Identity) > 0 })
					tt.fail(n)
					time.Sleep(time.Second)
					tt.clear(n)
					return nil
				})
				a := submit(client, q, 4*time.Second)
				c.Assert(g.Wait(), qt.IsNil)
				cl.checkAnswers(c, q, a)
				if idempotent || name == "freeze" || name == "silence" {
					assertDone(c, q, a)
				}
			})
		}
	}
}

// Guards against a request that no other entry can answer after the entry that
// submitted it has failed.
func TestRepeatAfterEntryFailure(t *testing.T) {
	for kind, idempotent := range map[string]bool{"idempotent": true, "non-idempotent": false} {
		t.Run(kind, func(t *testing.T) {
			parallel(t)
			c := qt.New(t)
			cl := newCluster(t, 3, nil)
			first, second := cl.startClient("entry-1"), cl.startClient("entry-2")
			q := cl.request("tally", idempotent, 300*time.Millisecond)
			ctx, cancel := context.WithCancel(context.Background())
			g := group.New(context.Background())
			g.Go("first", func(context.Context) error {
				lost := q
				lost.Deadline = time.Now().Add(testTimeout)
				first.Run(ctx, lost)
				return nil
			})
			cl.awaitTrue("the request runs", func() bool { return cl.executions(q.Identity) == 1 })
			cancel()
			c.Assert(g.Wait(), qt.IsNil)
			assertDone(c, q, submit(second, q, testTimeout))
			c.Assert(cl.executions(q.Identity), qt.Equals, 1)
			again, found := second.Lookup(context.Background(), q.Identity)
			c.Assert(found, qt.IsTrue)
			assertDone(c, q, again)
		})
	}
}

// Guards against a planned stop under full load that truncates a long answer, and
// against a second run that no lost reply explains.
func TestDrainUnderFullLoad(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 2, func(o *agent.Options) { o.DefaultPolicy.Limit = 1000 })
	client := cl.startEntryClient("entry")
	requests := make([]request.Request, 100)
	for i := range requests {
		requests[i] = cl.request(fmt.Sprint("r-", i), i%3 != 0, 0)
		size := 200_000
		if !requests[i].Idempotent {
			size = 20_000 // the answer is also recorded in the log
		}
		requests[i].Body = minionhost.Body(50*time.Millisecond, size)
	}
	g := group.New(context.Background())
	g.Go("drain", func(ctx context.Context) error {
		cl.awaitTrue("the slots are full", func() bool { waiting, running := cl.nodes[0].agent.Load(); return running == 8 && waiting > 0 })
		return cl.nodes[0].agent.Drain(ctx)
	})
	answers := concurrently(len(requests), func(i int) request.Answer { return submit(client.Client, requests[i], testTimeout) })
	c.Assert(g.Wait(), qt.IsNil)
	repeated := 0
	for i, a := range answers {
		assertDone(c, requests[i], a)
		runs := cl.executions(requests[i].Identity)
		if requests[i].Idempotent {
			repeated += runs - 1
			continue
		}
		c.Assert(runs, qt.Equals, 1, qt.Commentf("%s", requests[i].Identity))
	}
	lost := int(client.Counters.LostReplies.Value() + client.Counters.DiscardedReplies.Value())
	c.Assert(repeated <= lost, qt.IsTrue, qt.Commentf("%d second runs, %d lost replies", repeated, lost))
}

// fault injects a fault into the cluster or into one of its nodes, and clears it.
type fault struct {
	inject func(cl *cluster, n *node)
	clear  func(cl *cluster, n *node)
}

func minionFault(f minionhost.Faults) fault {
	return fault{
		func(_ *cluster, n *node) { n.minion.SetFaults(f) },
		func(_ *cluster, n *node) { n.minion.SetFaults(minionhost.Faults{}) },
	}
}

func logFault(f logservice.Faults) fault {
	return fault{
		func(cl *cluster, _ *node) { cl.logService.SetFaults(f) },
		func(cl *cluster, _ *node) { cl.logService.SetFaults(logservice.Faults{}) },
	}
}

func noAction(*cluster, *node) {}

var faults = map[string]fault{
	"log outage":          logFault(logservice.Faults{Outage: true}),
	"log answers lost":    logFault(logservice.Faults{LoseAnswer: 0.5}),
	"log hangs":           logFault(logservice.Faults{Hang: true}),
	"minion crash":        {func(_ *cluster, n *node) { n.minion.Crash() }, func(_ *cluster, n *node) { n.startMinion() }},
	"minion freeze":       minionFault(minionhost.Faults{Freeze: true}),
	"minion crossed":      minionFault(minionhost.Faults{Cross: true}),
	"minion truncated":    minionFault(minionhost.Faults{Truncate: true}),
	"minion answers lost": minionFault(minionhost.Faults{LoseAnswer: true}),
	"minion silent":       {func(_ *cluster, n *node) { n.minion.SilenceConnections() }, noAction},
	"agent killed":        {func(_ *cluster, n *node) { n.kill() }, noAction},
	"agent paused":        {func(_ *cluster, n *node) { n.pause() }, func(_ *cluster, n *node) { n.resume() }},
	"agent silent":        {func(_ *cluster, n *node) { n.network.silence() }, noAction},
	"replies lost":        {func(_ *cluster, n *node) { n.network.setFault("lost", 20) }, noAction},
	"replies crossed":     {func(_ *cluster, n *node) { n.network.setFault("crossed", 20) }, noAction},
}

// Guards against guarantees that hold under one fault and break under two at
// once or under the same one twice.
func TestTwoFaults(t *testing.T) {
	for name1, first := range faults {
		for name2, second := range faults {
			if name2 < name1 {
				continue
			}
			t.Run(name1+" and "+name2, func(t *testing.T) {
				parallel(t)
				testTwoFaults(t, first, second, strings.Contains(name1+name2, "agent killed") && strings.Contains(name1+name2, "log "))
			})
		}
	}
}

// submission is a request with all answers to it.
type submission struct {
	request request.Request
	mu      sync.Mutex
	answers []request.Answer
}

// testTwoFaults submits requests while the first fault affects node 0 and the
// second one node 1, and submits them again after the faults. Set recordsLost if
// an agent is killed while the log is faulty.
func testTwoFaults(t *testing.T, first, second fault, recordsLost bool) {
	c := qt.New(t)
	cl := newCluster(t, 3, nil)
	clients := []*routing.Client{cl.startClient("entry-1"), cl.startClient("entry-2")}
	const timeout = 1200 * time.Millisecond
	// A hanging append times out after 2 s and a hanging read after 3 s; the
	// records that they delayed are folded after that.
	const repeatTimeout = 6 * time.Second
	submissions := make([]*submission, 24)
	g := group.New(context.Background())
	submitLater := func(s *submission, client *routing.Client, after, timeout time.Duration) {
		g.Go("ask", func(context.Context) error {
			time.Sleep(after)
			start := time.Now()
			a := submit(client, s.request, timeout)
			// An answer is due by the deadline plus the grace period of the
			// client; the rest of the bound allows for a busy machine.
			c.Check(time.Since(start) < timeout+2*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
			s.mu.Lock()
			defer s.mu.Unlock()
			s.answers = append(s.answers, a)
			return nil
		})
	}
	for i := range submissions {
		s := &submission{request: cl.request(fmt.Sprint("r-", i), i%4 == 0, 60*time.Millisecond)}
		submissions[i] = s
		submitLater(s, clients[i%2], time.Duration(i)*20*time.Millisecond, timeout)
		if i%3 == 1 && !s.request.Idempotent {
			submitLater(s, clients[(i+1)%2], time.Duration(i)*20*time.Millisecond, timeout)
		}
	}
	time.Sleep(150 * time.Millisecond)
	first.inject(cl, cl.nodes[0])
	time.Sleep(100 * time.Millisecond)
	second.inject(cl, cl.nodes[1])
	time.Sleep(400 * time.Millisecond)
	first.clear(cl, cl.nodes[0])
	second.clear(cl, cl.nodes[1])
	c.Assert(g.Wait(), qt.IsNil)
	for _, s := range submissions {
		cl.checkAnswers(c, s.request, s.answers...)
	}
	for i, s := range submissions {
		submitLater(s, clients[(i+1)%2], 0, repeatTimeout)
	}
	c.Assert(g.Wait(), qt.IsNil)
	for _, s := range submissions {
		last := len(s.answers) - 1
		for _, earlier := range s.answers[:last] {
			cl.checkRepeat(c, s.request, recordsLost, earlier, s.answers[last])
		}
	}
}

// checkRepeat checks the answer to a repeat after the faults. After a NotRun
// answer, the repeat may run. Records are lost if an agent dies while the log
// is down; the outcome then stays unknown.
func (cl *cluster) checkRepeat(c *qt.C, q request.Request, recordsLost bool, earlier, repeat request.Answer) {
	c.Helper()
	cl.checkAnswers(c, q, repeat)
	if earlier.Outcome != request.Done || (recordsLost && repeat.Outcome == request.Unknown) {
		return
	}
	assertDone(c, q, repeat)
}

// Guards against a Done answer of an agent that stops before the record of the
// outcome is in the log: a repeat would then be answered as Unknown.
func TestNoAnswerWithoutRecordAtStop(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 1, nil)
	n := cl.nodes[0]
	q := cl.request("tally", false, 50*time.Millisecond)
	g := group.New(context.Background())
	g.Go("stop", func(context.Context) error {
		cl.awaitTrue("the request runs", func() bool { return cl.executions(q.Identity) == 1 })
		cl.logService.SetFaults(logservice.Faults{Outage: true})
		cl.awaitTrue("the minion has answered", func() bool { _, running := n.agent.Load(); return running == 0 })
		n.process.Stop()
		return nil
	})
	a := cl.run(n, q, testTimeout)
	c.Assert(g.Wait(), qt.IsNil)
	c.Assert(a.Outcome, qt.Equals, request.Unknown, qt.Commentf("%s", a.Reason))
}
