package embedded_test

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/run/deployment"
	"wasabihoist/internal/run/embedded"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/standin/minionhost"
	"wasabihoist/internal/traffic/request"
)

const (
	// The limits are wide, because other tests run beside this one.
	readyLimit   = 40 * time.Second
	callLimit    = 40 * time.Second
	workTime     = 700 * time.Millisecond
	callers      = 88 // callers fill the 8 slots of 11 minions
	organisation = "weighing-shed"
)

func startCluster(c *qt.C, d deployment.Deployment) *embedded.Cluster {
	cluster, err := embedded.Start(context.Background(), embedded.Options{
		Deployment: d,
		Logger:     log.NewNopLogger(),
		Log:        logservice.DefaultLimits(),
		Ready:      readyLimit,
	})
	c.Assert(err, qt.IsNil)
	published, err := cluster.Publish(context.Background())
	c.Assert(err, qt.IsNil)
	// An entry refuses work of an organisation whose plan it has not read yet.
	awaitTrue(c, "the configuration is in force everywhere", func() bool {
		return cluster.OldestVersion() >= published.Version
	})
	return cluster
}

// Guards promise 7: a planned stop of an entry or an agent that cuts off
// requests which run or wait. Half of them are not idempotent, so a retry
// elsewhere cannot hide a call that was cut off.
func TestPlannedStopUnderFullLoad(t *testing.T) {
	tests := map[string]func(*embedded.Cluster) error{
		"entry": func(cluster *embedded.Cluster) error { return cluster.StopEntry(cluster.Entries[0]) },
		"agent": func(cluster *embedded.Cluster) error { return cluster.StopAgent(cluster.Minions[0]) },
	}
	for name, stop := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			cluster := startCluster(c, deployment.FolhaViva())
			load := group.New(context.Background())
			var sent, done atomic.Int64
			for i := range callers {
				load.Go("caller", func(ctx context.Context) error {
					return call(ctx, cluster, i, &sent, &done)
				})
			}
			for sent.Load() < callers {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(workTime / 3) // the calls have reached the minions
			c.Assert(stop(cluster), qt.IsNil)
			c.Assert(load.Wait(), qt.IsNil)
			c.Assert(done.Load(), qt.Equals, int64(callers))
			c.Assert(cluster.Stop(), qt.IsNil)
		})
	}
}

// call submits one long request at the first entry and checks its answer.
func call(ctx context.Context, cluster *embedded.Cluster, i int, sent, done *atomic.Int64) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	id := fmt.Sprintf("long-%d", i)
	body := minionhost.Body(workTime, 0)
	kind := "photo-check"
	if i%2 == 0 {
		kind = "moth-check"
	}
	client := cluster.Caller(cluster.Entries[0], organisation)
	sent.Add(1)
	answer, err := client.Run(ctx, restapi.Request{
		ID: id, Service: "folha-app", Kind: kind, Deadline: time.Now().Add(callLimit), Idempotent: i%2 != 0, Body: body,
	})
	if err != nil {
		return fmt.Errorf("%s: %w", id, err)
	}
	want := minionhost.Answer(request.Identity{Organisation: organisation, ID: id}, body)
	if answer.Outcome != "done" || !bytes.Equal(answer.Body, want) {
		return fmt.Errorf("%s: %s: %s", id, answer.Outcome, answer.Reason)
	}
	done.Add(1)
	return nil
}
