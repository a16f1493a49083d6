package embedded_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/run/deployment"
	"wasabihoist/internal/run/embedded"
)

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
		Cores: 64, MemoryMB: 100, RunTime: runTime.Seconds(),
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
	c.Check(startedTasks(cluster), qt.Equals, members)
	c.Assert(cluster.Stop(), qt.IsNil)
}

func startedTasks(cluster *embedded.Cluster) int {
	count := 0
	for _, w := range cluster.Workers {
		count += len(w.Host.History())
	}
	return count
}
