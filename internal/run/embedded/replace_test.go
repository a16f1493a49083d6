package embedded_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/run/embedded"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/standin/minionhost"
	"wasabihoist/internal/traffic/request"
)

// outageHold is long enough for the leases of several renewals and short of the
// time (15 s) after which a process that can learn nothing ends.
const outageHold = 3 * time.Second

// Guards promises 5 and 8 and accepted jobs against the replacement of all
// processes at once while the log is down: nobody is left who knows anything
// until the outage ends.
func TestAllProcessesReplacedDuringAnOutage(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cluster := startCluster(c, oneSite(3, 2))
	ctx, cancel := context.WithTimeout(context.Background(), 2*callLimit)
	defer cancel()
	version := cluster.OldestVersion()
	before := cluster.Caller(cluster.Entries[0], organisation)
	finished, interrupted := nonIdempotent("finished", 0), nonIdempotent("interrupted", callLimit)
	assertOutcome(c, before, finished, "done")
	running := restapi.Job{ID: "running", Kind: "photo-check", Members: 2, Accelerators: 1, Adjacency: "rack", Cores: 1, MemoryMB: 100, RunTimeSeconds: 5}
	_, err := before.Submit(ctx, running)
	c.Assert(err, qt.IsNil)
	// A start may fail while the scheduler duty moves after the start of the
	// deployment. From the attempt that runs on, there is no other one.
	attempt := 0
	awaitTrue(c, "the job runs", func() bool {
		status, err := before.Job(ctx, running.ID, 0)
		attempt = status.Attempt
		return err == nil && status.State == "running"
	})
	calls := group.New(ctx)
	calls.Go("interrupted", func(ctx context.Context) error {
		_, _ = before.Run(ctx, interrupted) // the call breaks with its entry
		return nil
	})
	awaitTrue(c, "the request runs", func() bool { return executions(cluster, interrupted) == 1 })

	cluster.Log.SetFaults(logservice.Faults{Outage: true})
	replaceAll(c, cluster)
	c.Assert(calls.Wait(), qt.IsNil)
	for _, e := range cluster.Entries {
		_, err := cluster.Caller(e, organisation).Run(ctx, finished)
		c.Assert(err, qt.ErrorMatches, ".*has not read the log yet.*")
	}
	time.Sleep(outageHold)
	cluster.Log.SetFaults(logservice.Faults{})

	ended := time.Now()
	for _, e := range cluster.Entries {
		awaitTrue(c, e.Name+" serves", func() bool {
			_, err := cluster.Caller(e, organisation).Run(ctx, finished)
			return err == nil
		})
		after := cluster.Caller(e, organisation)
		assertOutcome(c, after, finished, "done")
		fresh := nonIdempotent("fresh-"+e.Name, 0)
		awaitTrue(c, "fresh work is done", func() bool {
			answer, err := after.Run(ctx, fresh)
			return err == nil && answer.Outcome == "done"
		})
		c.Assert(executions(cluster, fresh), qt.Equals, 1)
	}
	t.Logf("measured: both entries serve %s after the outage", time.Since(ended).Round(time.Millisecond))
	for _, e := range cluster.Entries {
		assertOutcome(c, cluster.Caller(e, organisation), interrupted, "unknown")
	}
	c.Assert(executions(cluster, finished), qt.Equals, 1)
	c.Assert(executions(cluster, interrupted), qt.Equals, 1)
	awaitTrue(c, "the configuration is in force everywhere", func() bool { return cluster.OldestVersion() == version })
	awaitTrue(c, "the job has ended", func() bool {
		status, err := before.Job(ctx, running.ID, time.Second)
		c.Assert(status.State != "ended" || status.Outcome == "done" && status.Attempt == attempt, qt.IsTrue, qt.Commentf("%+v", status))
		return err == nil && status.State == "ended"
	})
	c.Assert(cluster.Stop(), qt.IsNil)
}

// Guards promise 4 in a whole deployment: during an outage of the log a request
// that was never started is refused as not run while all agents work, and is
// unknown once one of them is dead, because nothing tells what that one ran.
func TestRefusalDuringAnOutage(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cluster := startCluster(c, oneSite(3, 2))
	client := cluster.Caller(cluster.Entries[0], organisation)
	assertOutcome(c, client, nonIdempotent("before", 0), "done")
	// Before its first proof that it is current, an entry answers unknown.
	awaitTrue(c, "the refusal is proved", func() bool {
		time.Sleep(time.Second) // with the log, for that proof
		cluster.Log.SetFaults(logservice.Faults{Outage: true})
		defer cluster.Log.SetFaults(logservice.Faults{})
		return refusedAs(c, cluster, client) == "not-run"
	})
	cluster.Log.SetFaults(logservice.Faults{Outage: true})
	c.Assert(cluster.KillAgent(cluster.Minions[0]), qt.IsNil)
	c.Assert(refusedAs(c, cluster, client), qt.Equals, "unknown")
	c.Assert(cluster.StartAgent(cluster.Minions[0]), qt.IsNil)
	c.Assert(refusedAs(c, cluster, client), qt.Equals, "unknown")
	cluster.Log.SetFaults(logservice.Faults{})
	c.Assert(cluster.Stop(), qt.IsNil)
}

// refusedAs returns the outcome of a new request that cannot be claimed before
// its deadline.
func refusedAs(c *qt.C, cluster *embedded.Cluster, client *restapi.Client) string {
	c.Helper()
	q := nonIdempotent(fmt.Sprintf("refused-%d", time.Now().UnixNano()), 0)
	q.Deadline = time.Now().Add(500 * time.Millisecond)
	answer, err := client.Run(context.Background(), q)
	c.Assert(err, qt.IsNil)
	c.Assert(executions(cluster, q), qt.Equals, 0)
	return answer.Outcome
}

func nonIdempotent(id string, work time.Duration) restapi.Request {
	return restapi.Request{
		ID: id, Service: "folha-app", Kind: "moth-check", Deadline: time.Now().Add(callLimit / 8), Body: minionhost.Body(work, 0),
	}
}

func identityOf(q restapi.Request) request.Identity {
	return request.Identity{Organisation: organisation, ID: q.ID}
}

func executions(cluster *embedded.Cluster, q restapi.Request) int {
	count := 0
	for _, m := range cluster.Minions {
		count += m.Host.Executions(identityOf(q))
	}
	return count
}

func assertOutcome(c *qt.C, client *restapi.Client, q restapi.Request, outcome string) {
	c.Helper()
	answer, err := client.Run(context.Background(), q)
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Outcome, qt.Equals, outcome, qt.Commentf("%s: %s", q.ID, answer.Reason))
	if outcome == "done" {
		c.Assert(bytes.Equal(answer.Body, minionhost.Answer(identityOf(q), q.Body)), qt.IsTrue)
	}
}

// replaceAll kills all processes at once and starts others at their addresses.
func replaceAll(c *qt.C, cluster *embedded.Cluster) {
	all := group.New(context.Background())
	for _, e := range cluster.Entries {
		all.Go(e.Name, func(context.Context) error { return cluster.KillEntry(e) })
	}
	for _, m := range cluster.Minions {
		all.Go(m.Settings.Name, func(context.Context) error { return cluster.KillAgent(m) })
	}
	c.Assert(all.Wait(), qt.IsNil)
	for _, e := range cluster.Entries {
		c.Assert(cluster.StartEntry(e), qt.IsNil)
	}
	for _, m := range cluster.Minions {
		c.Assert(cluster.StartAgent(m), qt.IsNil)
	}
}
