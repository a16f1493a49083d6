package embedded_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/run/deployment"
	"wasabihoist/internal/run/embedded"
	"wasabihoist/internal/tenancy/configuration"
)

// reclaimLimit is the time of a lost lease (10 s) and a checkpoint (30 s), and
// as much again for other tests that run beside this one.
const reclaimLimit = 80 * time.Second

// Guards promise 1: an organisation that asks for its guaranteed shape while
// others have borrowed everything, a rack is lost, and two operators edit the
// lists at once.
func TestGuaranteeIsReclaimedAfterRaceAndLostRack(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cluster := startCluster(c, deployment.Magnolia())
	borrowEverything(c, cluster)

	c.Assert(raceEdits(c, cluster), qt.Equals, 1)
	for _, w := range cluster.Workers {
		if w.Worker.Rack == "durham-loft-1" {
			w.Host.Crash()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), reclaimLimit)
	defer cancel()
	client := cluster.Caller(cluster.Entries[0], "lyceum-players")
	status, err := client.Submit(ctx, restapi.Job{
		ID: "match", Kind: "costume-match", Members: 2, Accelerators: 8, Adjacency: "rack", Cores: 8, MemoryMB: 1000, RunTimeSeconds: 0.5,
	})
	for err == nil && status.State != "ended" {
		status, err = client.Job(ctx, "match", reclaimLimit)
	}
	c.Assert(err, qt.IsNil)
	c.Assert(status.Outcome, qt.Equals, "done", qt.Commentf("%+v", status))
	c.Assert(cluster.Stop(), qt.IsNil)
}

// borrowEverything lets two organisations fill the fleet with long gangs.
func borrowEverything(c *qt.C, cluster *embedded.Cluster) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	submit := func(organisation string, j restapi.Job) {
		j.Cores, j.MemoryMB, j.RunTimeSeconds, j.Idempotent = 1, 100, 600, true
		_, err := cluster.Caller(cluster.Entries[0], organisation).Submit(ctx, j)
		c.Assert(err, qt.IsNil)
	}
	for i := range 8 {
		submit("corner-catalog", restapi.Job{ID: fmt.Sprintf("render-%d", i), Kind: "catalog-render", Members: 4, Accelerators: 2, Adjacency: "data-centre"})
	}
	for i := range 12 {
		submit("delta-opera", restapi.Job{ID: fmt.Sprintf("match-%d", i), Kind: "costume-match", Members: 1, Accelerators: 4, Adjacency: "worker"})
	}
	free := func() int {
		centres, err := cluster.Operator(cluster.Entries[0]).Fleet(ctx)
		c.Assert(err, qt.IsNil)
		sum := 0
		for _, d := range centres {
			sum += d.FreeAccelerators
		}
		return sum
	}
	// The limits of the two plans leave 88 - 64 - 48 < 0 accelerators free, but
	// what no shape can use may stay.
	const usable = 16
	for free() >= usable {
		c.Assert(ctx.Err(), qt.IsNil)
		time.Sleep(50 * time.Millisecond)
	}
}

// raceEdits publishes two edits of the same version at two entries at once and
// returns how many were accepted.
func raceEdits(c *qt.C, cluster *embedded.Cluster) int {
	current, err := cluster.Operator(cluster.Entries[0]).Configuration(context.Background())
	c.Assert(err, qt.IsNil)
	accepted := make(chan bool, 2)
	operators := group.New(context.Background())
	for i, plan := range []string{"wedding", "catalog"} {
		operators.Go(plan, func(ctx context.Context) error {
			edit, err := raiseQueueLimit(current, plan)
			if err != nil {
				return err
			}
			_, err = cluster.Operator(cluster.Entries[i]).Publish(ctx, edit)
			var refused *restapi.Error
			if err != nil && (!errors.As(err, &refused) || refused.Status != http.StatusConflict) {
				return err
			}
			accepted <- err == nil
			return nil
		})
	}
	c.Assert(operators.Wait(), qt.IsNil)
	count := 0
	for range 2 {
		if <-accepted {
			count++
		}
	}
	return count
}

func raiseQueueLimit(current restapi.Configuration, plan string) (restapi.PublishRequest, error) {
	edited, err := configuration.Parse(
		configuration.Source{Path: "plans.toml", Data: []byte(current.Plans)},
		configuration.Source{Path: "allowances.toml", Data: []byte(current.Allowances)},
	)
	if err != nil {
		return restapi.PublishRequest{}, err
	}
	for i := range edited.Plans {
		if edited.Plans[i].Name == plan {
			edited.Plans[i].QueueLimit++
		}
	}
	plans, allowances, err := configuration.Format(edited)
	return restapi.PublishRequest{
		BaseVersion: current.Version, Operator: plan, PlansPath: "plans.toml", Plans: string(plans),
		AllowancesPath: "allowances.toml", Allowances: string(allowances),
	}, err
}
