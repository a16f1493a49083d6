package agent_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/role/agent"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/standin/minionhost"
	"wasabihoist/internal/traffic/request"
)

// concurrently calls fn with 0 to count-1 at the same time and returns the
// answers.
func concurrently(count int, fn func(i int) request.Answer) []request.Answer {
	answers := make([]request.Answer, count)
	g := group.New(context.Background())
	for i := range count {
		g.Go("call", func(context.Context) error {
			answers[i] = fn(i)
			return nil
		})
	}
	_ = g.Wait()
	return answers
}

// Guards against duplicates that run again or get a different answer, at one
// agent and at several.
func TestDuplicatesRunOnce(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "non-idempotent": false} {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			c := qt.New(t)
			cl := newCluster(t, 2, nil)
			q := cl.request("tally", idempotent, 100*time.Millisecond)
			agents := 1
			if !idempotent {
				agents = 2
			}
			for _, a := range concurrently(6, func(i int) request.Answer { return cl.run(cl.nodes[i%agents], q, testTimeout) }) {
				assertDone(c, q, a)
			}
			assertDone(c, q, cl.run(cl.nodes[0], q, testTimeout))
			c.Assert(cl.executions(q.Identity), qt.Equals, 1)
		})
	}
}

// Guards against a log outage that blocks idempotent requests, and against
// requests that run although they were answered as NotRun.
func TestOutageBeforeTheClaim(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 1, nil)
	n := cl.nodes[0]
	cl.logService.SetFaults(logservice.Faults{Outage: true})
	answers := concurrently(40, func(i int) request.Answer {
		if i%2 == 0 {
			q := cl.request(fmt.Sprint("check-", i), true, 0)
			assertDone(c, q, cl.run(n, q, testTimeout))
			return request.Answer{Outcome: request.NotRun}
		}
		return cl.run(n, cl.request(fmt.Sprint("tally-", i), false, 0), 500*time.Millisecond)
	})
	cl.logService.SetFaults(logservice.Faults{})
	for i, a := range answers {
		c.Assert(a.Outcome, qt.Equals, request.NotRun, qt.Commentf("%s", a.Reason))
		if i%2 == 1 {
			q := cl.request(fmt.Sprint("tally-", i), false, 0)
			c.Assert(cl.executions(q.Identity), qt.Equals, 0)
			assertDone(c, q, cl.run(n, q, testTimeout))
			c.Assert(cl.executions(q.Identity), qt.Equals, 1)
		}
	}
}

// Guards against an answer that is delayed until the deadline or lost because
// the log goes down after the run.
func TestOutageAfterTheRun(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 2, nil)
	q := cl.request("tally", false, 300*time.Millisecond)
	var answer request.Answer
	g := group.New(context.Background())
	g.Go("call", func(context.Context) error {
		answer = cl.run(cl.nodes[0], q, testTimeout)
		return nil
	})
	cl.awaitTrue("the request runs", func() bool { return cl.executions(q.Identity) == 1 })
	cl.logService.SetFaults(logservice.Faults{Outage: true})
	c.Assert(g.Wait(), qt.IsNil)
	assertDone(c, q, answer)
	state, _ := cl.nodes[0].journal.Request(q.Identity)
	c.Assert(state.Outcome, qt.Equals, request.Pending)
	cl.logService.SetFaults(logservice.Faults{})
	assertDone(c, q, cl.run(cl.nodes[1], q, testTimeout))
	c.Assert(cl.executions(q.Identity), qt.Equals, 1)
}

// Guards against a claim that is kept although the request will not run: after
// a refusal by the agent, another agent must be able to run it.
func TestRefusalAbandonsClaim(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 2, func(o *agent.Options) { o.Slots = 1 })
	n := cl.nodes[0]
	answers := concurrently(4, func(i int) request.Answer {
		if i > 0 {
			cl.awaitTrue("the first request runs", func() bool { return n.minion.Executions(cl.request("tally-0", false, 0).Identity) == 1 })
		}
		if i == 3 {
			cl.awaitTrue("the others are claimed", func() bool {
				claimed := 0
				for j := range 3 {
					if _, ok := n.journal.Request(cl.request(fmt.Sprint("tally-", j), false, 0).Identity); ok {
						claimed++
					}
				}
				return claimed == 3
			})
			n.minion.Leave()
			return request.Answer{}
		}
		return cl.run(n, cl.request(fmt.Sprint("tally-", i), false, time.Second), testTimeout)
	})
	c.Assert(answers[0].Outcome, qt.Equals, request.Done)
	for i, a := range answers[1:3] {
		c.Assert(a.Outcome, qt.Equals, request.NotRun)
		c.Assert(a.Retryable, qt.IsTrue)
		q := cl.request(fmt.Sprint("tally-", i+1), false, time.Second)
		assertDone(c, q, cl.run(cl.nodes[1], q, testTimeout))
		c.Assert(cl.executions(q.Identity), qt.Equals, 1)
	}
}

// Guards against refusals with a wrong reason, and against refused or expired
// requests that still run.
func TestRefusalsAndBounds(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 1, func(o *agent.Options) { o.DefaultPolicy.Limit = 5 })
	n := cl.nodes[0]
	late := cl.run(n, cl.request("late", true, 0), -time.Second)
	c.Assert(late.Outcome, qt.Equals, request.NotRun)
	c.Assert(late.Retryable, qt.IsFalse)
	outcomes := map[string]int{}
	var mu sync.Mutex
	concurrently(40, func(i int) request.Answer {
		q := cl.request(fmt.Sprint("check-", i), true, 300*time.Millisecond)
		a := cl.run(n, q, testTimeout)
		mu.Lock()
		defer mu.Unlock()
		outcomes[a.Outcome.String()+a.Reason]++
		c.Check(n.minion.Executions(q.Identity) == 0, qt.Equals, a.Outcome == request.NotRun)
		return a
	})
	full := outcomes["not-runthe queue of the organisation is full"]
	c.Assert(outcomes["done"] >= 5 && full > 0 && outcomes["done"]+full == 40, qt.IsTrue, qt.Commentf("%v", outcomes))
	c.Assert(n.minion.Peak() <= 8, qt.IsTrue)
}

// Guards against requests that stay queued after all their callers have
// cancelled.
func TestCancelledCallers(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 1, func(o *agent.Options) { o.Slots = 1 })
	n := cl.nodes[0]
	ctx, cancel := context.WithCancel(context.Background())
	g := group.New(context.Background())
	for i := range 60 {
		g.Go("call", func(context.Context) error {
			_, err := n.agent.Service().Run(ctx, wireRequest(cl.request(fmt.Sprint("check-", i), i%2 == 0, 500*time.Millisecond), testTimeout))
			return err
		})
	}
	cl.awaitTrue("all wait", func() bool { waiting, running := n.agent.Load(); return running == 1 && waiting > 0 })
	cancel()
	c.Assert(g.Wait(), qt.IsNil)
	cl.awaitTrue("the queue is empty", func() bool { waiting, running := n.agent.Load(); return waiting+running == 0 })
	runs := 0
	for _, count := range n.minion.ExecutionCounts() {
		runs += count
	}
	c.Assert(runs <= 1+2, qt.IsTrue, qt.Commentf("warm-up, the running one and at most one that started meanwhile: %d", runs))
}

// Guards against a planned stop that drops accepted requests.
func TestDrainFinishesAcceptedWork(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(t, 1, nil)
	n := cl.nodes[0]
	var drained error
	answers := concurrently(41, func(i int) request.Answer {
		if i == 40 {
			cl.awaitTrue("work runs", func() bool { waiting, running := n.agent.Load(); return waiting > 0 && running == 8 })
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			drained = n.agent.Drain(ctx)
			return cl.run(n, cl.request("later", true, 0), testTimeout)
		}
		return cl.run(n, cl.request(fmt.Sprint("r-", i), i%2 == 0, 200*time.Millisecond), testTimeout)
	})
	c.Assert(drained, qt.IsNil)
	c.Assert(answers[40].Outcome, qt.Equals, request.NotRun)
	c.Assert(answers[40].Retryable, qt.IsTrue)
	for i, a := range answers[:40] {
		q := cl.request(fmt.Sprint("r-", i), i%2 == 0, 200*time.Millisecond)
		if a.Outcome == request.NotRun {
			c.Assert(cl.executions(q.Identity), qt.Equals, 0)
			continue
		}
		assertDone(c, q, a)
		if !q.Idempotent {
			state, _ := n.journal.Request(q.Identity)
			c.Assert(state.Outcome, qt.Equals, request.Done)
		}
	}
}

// Guards against minion faults that make a request run twice or return a wrong
// answer.
func TestMinionFaults(t *testing.T) {
	tests := map[string]struct {
		faults  minionhost.Faults
		outcome request.Outcome
	}{
		"crossed":           {minionhost.Faults{Cross: true, Times: 1}, request.Done},
		"crossed twice":     {minionhost.Faults{Cross: true, Times: 2}, request.Done},
		"truncated":         {minionhost.Faults{Truncate: true, Times: 1}, request.Done},
		"answer lost":       {minionhost.Faults{LoseAnswer: true, Times: 1}, request.Done},
		"answer lost twice": {minionhost.Faults{LoseAnswer: true, Truncate: true, Times: 2}, request.Done},
		"hang":              {minionhost.Faults{Hang: true}, request.Unknown},
		"fail everything":   {minionhost.Faults{FailAll: true}, request.Failed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			c := qt.New(t)
			cl := newCluster(t, 1, nil)
			cl.nodes[0].minion.SetFaults(tt.faults)
			q := cl.request("tally", false, 0)
			timeout := 3 * time.Second
			a := cl.run(cl.nodes[0], q, timeout)
			c.Assert(a.Outcome, qt.Equals, tt.outcome, qt.Commentf("%s", a.Reason))
			if tt.outcome == request.Done {
				assertDone(c, q, a)
			}
			c.Assert(cl.executions(q.Identity) <= 1, qt.IsTrue)
		})
	}
}
