package embedded_test

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/run/deployment"
	"wasabihoist/internal/run/embedded"
	"wasabihoist/internal/standin/minionhost"
	"wasabihoist/internal/traffic/request"
)

// oneSite is a deployment in one data centre, so that each entry may choose
// every agent.
func oneSite(minions, entries int) deployment.Deployment {
	d := deployment.FolhaViva()
	d.Sites = []deployment.Site{{Name: "caico", Region: d.LogRegion, Workers: 11, Minions: minions, Entries: entries}}
	return d
}

// Guards promises 3, 5 and 6 against a partition between one entry and one
// agent, both of which reach everyone else: open and new connections between
// them carry nothing, and what was sent arrives when the partition heals.
func TestEntryThatCannotReachAnAgent(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cluster := startCluster(c, oneSite(3, 2))
	parted, other, behind := cluster.Entries[0], cluster.Entries[1], cluster.Minions[0]
	setSilent, err := cluster.Relay(parted, behind)
	c.Assert(err, qt.IsNil)
	awaitTrue(c, "the agent serves the entry through the forwarder", func() bool {
		submitBatch(c, cluster, parted, "warm")
		return len(behind.Host.ExecutionCounts()) >= 4
	})

	setSilent(true)
	before := behind.Host.ExecutionCounts()
	submitBatch(c, cluster, parted, "parted")
	c.Assert(behind.Host.ExecutionCounts(), qt.DeepEquals, before, qt.Commentf("the partition lets work through"))
	awaitTrue(c, "the agent serves the other entry", func() bool {
		submitBatch(c, cluster, other, "other")
		return len(behind.Host.ExecutionCounts()) > len(before)
	})
	setSilent(false)
	submitBatch(c, cluster, parted, "healed")
	assertRunOnce(c, cluster)

	setSilent(true)
	behind.Host.Leave()
	left := time.Now()
	for _, e := range cluster.Entries {
		awaitTrue(c, e.Name+" knows that the minion leaves", func() bool { return memberState(c, cluster, e, behind) == "draining" })
	}
	t.Logf("all entries know after %s", time.Since(left).Round(time.Millisecond))
	before = behind.Host.ExecutionCounts()
	for _, e := range cluster.Entries {
		submitBatch(c, cluster, e, "left")
	}
	c.Assert(behind.Host.ExecutionCounts(), qt.DeepEquals, before, qt.Commentf("the minion that leaves gets new work"))
	setSilent(false)
	assertRunOnce(c, cluster)
	c.Assert(cluster.Stop(), qt.IsNil)
}

func awaitTrue(c *qt.C, what string, condition func() bool) {
	c.Helper()
	for end := time.Now().Add(callLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.Fatalf("not within %s: %s", callLimit, what)
}

func memberState(c *qt.C, cluster *embedded.Cluster, e *embedded.Entry, m *embedded.Minion) string {
	members, err := cluster.Operator(e).Members(context.Background())
	c.Assert(err, qt.IsNil)
	i := slices.IndexFunc(members, func(r restapi.Member) bool { return r.Name == m.Settings.Name })
	c.Assert(i >= 0, qt.IsTrue)
	return members[i].State
}

// submitBatch submits requests of both kinds at once, some of them twice, and
// requires the whole answer to each.
func submitBatch(c *qt.C, cluster *embedded.Cluster, e *embedded.Entry, prefix string) {
	c.Helper()
	const size = 16
	prefix = fmt.Sprintf("%s-%d", prefix, time.Now().UnixNano())
	all := group.New(context.Background())
	for i := range size {
		q := restapi.Request{
			ID: fmt.Sprintf("%s-%d", prefix, i%(size-2)), Service: "folha-app", Kind: "moth-check",
			Deadline: time.Now().Add(callLimit), Idempotent: i%(size-2)%2 == 0, Body: minionhost.Body(5*time.Millisecond, 0),
		}
		all.Go(q.ID, func(ctx context.Context) error {
			answer, err := cluster.Caller(e, organisation).Run(ctx, q)
			want := minionhost.Answer(request.Identity{Organisation: organisation, ID: q.ID}, q.Body)
			if err == nil && (answer.Outcome != "done" || !bytes.Equal(answer.Body, want)) {
				err = fmt.Errorf("%s: %s", answer.Outcome, answer.Reason)
			}
			return err
		})
	}
	c.Assert(all.Wait(), qt.IsNil)
}

// assertRunOnce checks the requests that are not idempotent, which have odd
// numbers.
func assertRunOnce(c *qt.C, cluster *embedded.Cluster) {
	c.Helper()
	runs := map[string]int{}
	for _, m := range cluster.Minions {
		for id, n := range m.Host.ExecutionCounts() {
			runs[id] += n
		}
	}
	for _, id := range slices.Sorted(maps.Keys(runs)) {
		if last := id[len(id)-1]; (last-'0')%2 == 1 {
			c.Assert(runs[id], qt.Equals, 1, qt.Commentf("%s", id))
		}
	}
}
