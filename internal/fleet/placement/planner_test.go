package placement_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func accelerated(name, rack string, accelerators int) worker.Worker {
	return worker.Worker{Name: name, Rack: rack, DataCentre: "caico",
		Capacity: worker.Resources{Cores: 64, Memory: 256e9, Accelerators: accelerators}}
}

func gang(org, id string, members, accelerators int, within organisation.Adjacency) job.Job {
	return job.Job{Identity: request.Identity{Organisation: org, ID: id}, Kind: "match", Submitted: epoch,
		Shape: organisation.Shape{Members: members, Accelerators: accelerators, Adjacency: within},
		Cores: 1, Memory: 1e9, RunTime: time.Hour, Idempotent: true}
}

// Guards against a gang that is started in part when only some members fit.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.FirstFit{}, placement.Default())
	p.AddWorker(accelerated("a", "1", 4))
	p.AddWorker(accelerated("b", "2", 4))
	j := gang("ana", "1", 2, 4, organisation.WithinRack)
	p.Submit(j)
	c.Assert(p.Decide(epoch), qt.HasLen, 0)
	c.Assert(p.CanEverRun(j), qt.ErrorMatches, "2x4 within rack .* does not fit on the workers")
	p.AddWorker(accelerated("c", "2", 4))
	decisions := p.Decide(epoch)
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].Workers, qt.DeepEquals, []string{"b", "c"})
}
