package embedded_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/run/deployment"
	"wasabihoist/internal/run/embedded"
	"wasabihoist/internal/standin/workerhost"
)

// traceTime is the layout of the times in a trace of starts.
const traceTime = "15:04:05.000"

// Guards against a running gang that ends or runs twice when the agents of a
// data centre that shares its leases die one after another, whether they place
// jobs or hold leases.
func TestGangSurvivesTheAgentsThatHoldItsLeases(t *testing.T) {
	t.Parallel()
	const (
		members  = 40 // members are on as many workers, more than one holder has.
		runTime  = 25 * time.Second
		takeover = 7 * time.Second
	)
	c := qt.New(t)
	d := deployment.Magnolia()
	d.Sites[0].Workers = 60
	cluster := startCluster(c, d)
	ctx, cancel := context.WithTimeout(context.Background(), 2*callLimit)
	defer cancel()
	client := cluster.Caller(cluster.Entries[1], "corner-catalog")
	status, err := client.Submit(ctx, restapi.Job{
		ID: "wide", Kind: "catalog-render", Members: members, Accelerators: 1, Adjacency: "data-centre",
		Cores: 64, MemoryMB: 100, RunTimeSeconds: runTime.Seconds(),
	})
	c.Assert(err, qt.IsNil)
	c.Assert(status.State, qt.Not(qt.Equals), "", qt.Commentf("the submission was not accepted: %+v", status))
	for err == nil && status.State != "running" {
		status, err = client.Job(ctx, "wide", time.Second)
	}
	c.Assert(err, qt.IsNil)
	killed := 0
	for _, m := range cluster.Minions {
		if m.Site.Name == "mobile-back" && killed < m.Site.Minions-1 {
			killed++
			c.Assert(cluster.KillAgent(m), qt.IsNil)
			time.Sleep(takeover)
		}
	}
	for err == nil && status.State != "ended" {
		status, err = client.Job(ctx, "wide", time.Second)
	}
	c.Assert(err, qt.IsNil)
	c.Check(status.Outcome, qt.Equals, "done", qt.Commentf("%+v", status))
	released, trace := releasedTasks(cluster)
	c.Check(released, qt.Equals, members, qt.Commentf("starts: %s", trace))
	c.Assert(cluster.Stop(), qt.IsNil)
}

// Shows that a start that is given up leaves held members behind that never
// ran: they count as starts of their workers, but not as runs of the gang.
func TestStartThatIsGivenUpRunsNoMember(t *testing.T) {
	t.Parallel()
	const members = 40
	c := qt.New(t)
	d := deployment.Magnolia()
	d.Sites[0].Workers = 60
	cluster := startCluster(c, d)
	for _, w := range cluster.Workers[:4] {
		w.Host.SetFaults(workerhost.Faults{HoldStarts: true})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*callLimit)
	defer cancel()
	client := cluster.Caller(cluster.Entries[1], "corner-catalog")
	status, err := client.Submit(ctx, restapi.Job{
		ID: "wide", Kind: "catalog-render", Members: members, Accelerators: 1, Adjacency: "data-centre",
		Cores: 64, MemoryMB: 100, RunTimeSeconds: 1,
	})
	for err == nil && status.State != "ended" {
		status, err = client.Job(ctx, "wide", time.Second)
	}
	c.Assert(err, qt.IsNil)
	c.Check(status.Outcome, qt.Equals, "done", qt.Commentf("%+v", status))
	released, trace := releasedTasks(cluster)
	c.Check(released, qt.Equals, members, qt.Commentf("starts: %s", trace))
	starts := strings.Count(trace, "started")
	c.Check(starts > members, qt.IsTrue, qt.Commentf("%d starts: %s", starts, trace))
	for _, w := range cluster.Workers[:4] {
		w.Host.SetFaults(workerhost.Faults{})
	}
	c.Assert(cluster.Stop(), qt.IsNil)
}

// releasedTasks counts the tasks that ran: a member that was started held and
// given up before its release never ran. The trace lists every start.
func releasedTasks(cluster *embedded.Cluster) (int, string) {
	count := 0
	var trace strings.Builder
	for _, w := range cluster.Workers {
		for _, i := range w.Host.History() {
			if !i.Released.IsZero() {
				count++
			}
			fmt.Fprintf(&trace, "\n%s started %s released %s ended %s as %s", i.Task,
				i.Started.Format(traceTime), i.Released.Format(traceTime), i.Ended.Format(traceTime), i.End)
		}
	}
	return count, trace.String()
}
