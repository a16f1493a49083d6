package embedded_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/run/deployment"
	"wasabihoist/internal/run/embedded"
	"wasabihoist/internal/standin/minionhost"
)

// bundleTag is the first byte of a payload that carries several batches: field
// 15 with a length.
const bundleTag = 15<<3 | 2

// Guards against a deployment of more than 14 processes that does not use its
// relays, and against a second run or a wrong refusal when the relays of a data
// centre die one after the other.
func TestRelaysDieUnderLoad(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := deployment.FolhaViva()
	for i := range d.Sites {
		d.Sites[i].Minions = 6
	}
	cluster := startCluster(c, d)
	const calls, callersAtOnce = 600, 12
	var mu sync.Mutex
	outcomes := map[string]string{}
	load := group.New(context.Background())
	for caller := range callersAtOnce {
		load.Go("caller", func(ctx context.Context) error {
			client := cluster.Caller(cluster.Entries[caller%len(cluster.Entries)], organisation)
			for i := caller; i < calls; i += callersAtOnce {
				id := fmt.Sprintf("tally-%d", i)
				call, cancel := context.WithTimeout(ctx, callLimit)
				answer, err := client.Run(call, restapi.Request{
					ID: id, Service: "folha-app", Kind: "moth-check", Deadline: time.Now().Add(6 * time.Second),
					Body: minionhost.Body(5*time.Millisecond, 0),
				})
				cancel()
				if err != nil {
					return fmt.Errorf("%s: %w", id, err)
				}
				mu.Lock()
				outcomes[id] = answer.Outcome
				mu.Unlock()
			}
			return nil
		})
	}
	for _, m := range cluster.Minions {
		if m.Site.Name != "caico" {
			continue
		}
		time.Sleep(300 * time.Millisecond)
		c.Assert(cluster.KillAgent(m), qt.IsNil)
		time.Sleep(300 * time.Millisecond)
		c.Assert(cluster.StartAgent(m), qt.IsNil)
	}
	c.Assert(load.Wait(), qt.IsNil)
	counts := map[string]int{}
	for id, outcome := range outcomes {
		counts[outcome]++
		runs := executions(cluster, restapi.Request{ID: id})
		note := qt.Commentf("%s: %s, ran %d times", id, outcome, runs)
		c.Assert(runs <= 1, qt.IsTrue, note)
		c.Assert(outcome != "done" || runs == 1, qt.IsTrue, note)
		c.Assert(outcome != "not-run" || runs == 0, qt.IsTrue, note)
	}
	bundles := countBundles(c, cluster)
	c.Logf("%v, %d bundles", counts, bundles)
	c.Assert(counts["done"] > calls/2, qt.IsTrue)
	c.Assert(bundles > 0, qt.IsTrue)
	c.Assert(cluster.Stop(), qt.IsNil)
}

func countBundles(c *qt.C, cluster *embedded.Cluster) int {
	c.Helper()
	server := httptest.NewServer(cluster.Log.Handler())
	defer server.Close()
	client := platformlog.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), nil)
	bundles := 0
	for from := int64(1); ; {
		page, err := client.Read(context.Background(), from, 500, 0)
		c.Assert(err, qt.IsNil)
		for _, e := range page.Entries {
			if e.Payload[0] == bundleTag {
				bundles++
			}
		}
		if page.Next <= from {
			return bundles
		}
		from = page.Next
	}
}
