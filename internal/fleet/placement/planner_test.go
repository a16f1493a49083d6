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

func newWorker(name, rack string, accelerators int) worker.Worker {
	return worker.Worker{Name: name, Rack: rack, DataCentre: "caico",
		Capacity: worker.Resources{Cores: 64, Memory: 256e9, Accelerators: accelerators}}
}

func newGang(org, id string, members, accelerators int, within organisation.Adjacency) job.Job {
	return job.Job{Identity: request.Identity{Organisation: org, ID: id}, Kind: "match", Submitted: epoch,
		Shape: organisation.Shape{Members: members, Accelerators: accelerators, Adjacency: within},
		Cores: 1, Memory: 1e9, RunTime: time.Hour, Idempotent: true}
}

// Guards against a gang of which only the members that fit are started.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.FirstFit{}, placement.Default())
	p.AddWorker(newWorker("a", "1", 4))
	p.AddWorker(newWorker("b", "2", 4))
	j := newGang("ana", "1", 2, 4, organisation.WithinRack)
	p.Submit(j)
	c.Assert(p.Decide(epoch), qt.HasLen, 0)
	c.Assert(p.CanEverRun(j), qt.ErrorMatches, "2x4 within rack .* does not fit on the workers")
	p.AddWorker(newWorker("c", "2", 4))
	decisions := p.Decide(epoch)
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].Workers, qt.DeepEquals, []string{"b", "c"})
}

// guaranteePlans gives each organisation one guaranteed shape within a worker.
func guaranteePlans(accelerators map[string]int) organisation.Configuration {
	c := organisation.Configuration{Version: 1}
	for name, n := range accelerators {
		c.Organisations = append(c.Organisations, organisation.Organisation{Name: name, Plan: name})
		c.Plans = append(c.Plans, organisation.Plan{Name: name, Share: 1, Urgent: true, Guarantees: []organisation.Guarantee{{
			Shape: organisation.Shape{Members: 1, Accelerators: n, Adjacency: organisation.WithinWorker}, Count: 1}}})
	}
	return c
}

// Guards against a guarantee that is not fulfilled because its accelerators
// are lent: the borrowed job with the lower reclaim cost is asked to
// checkpoint, is stopped when the checkpoint times out, and waits again.
func TestGuaranteedJobReclaimsBorrowedAccelerators(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.FirstFit{}, placement.Default())
	p.AddWorker(newWorker("a", "1", 4))
	p.AddWorker(newWorker("b", "1", 4))
	p.SetConfiguration(guaranteePlans(map[string]int{"ana": 4}))
	old, young := newGang("bento", "old", 1, 4, organisation.WithinWorker), newGang("bento", "young", 1, 4, organisation.WithinWorker)
	p.Adopt(old, []string{"a"}, epoch.Add(-time.Hour))
	p.Adopt(young, []string{"b"}, epoch.Add(-time.Minute))
	wanted := newGang("ana", "1", 1, 4, organisation.WithinWorker)
	p.Submit(wanted)
	decisions := p.Decide(epoch)
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].Kind, qt.Equals, placement.Reclaim)
	c.Assert(decisions[0].Job, qt.Equals, young.Identity)
	c.Assert(decisions[0].Checkpoint, qt.IsTrue)
	c.Assert(decisions[0].Beneficiary, qt.Equals, wanted.Identity)

	decisions = p.Decide(epoch.Add(placement.Default().CheckpointTimeout))
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].Checkpoint, qt.IsFalse)
	p.Released(young.Identity)
	decisions = p.Decide(epoch.Add(time.Minute))
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].Job, qt.Equals, wanted.Identity)
	x, _ := p.Explain(wanted.Identity, epoch)
	c.Assert(x.Guaranteed, qt.IsTrue)
	x, _ = p.Explain(young.Identity, epoch)
	c.Assert(x.State, qt.Equals, placement.Waiting)
}

// Guards against lending while a guaranteed shape has no place, and against
// lending that does not resume.
func TestLendingStopsWhileAGuaranteeHasNoPlace(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.FirstFit{}, placement.Default())
	p.AddWorker(newWorker("a", "1", 4))
	p.AddWorker(newWorker("b", "1", 2))
	p.SetConfiguration(guaranteePlans(map[string]int{"ana": 4}))
	p.RemoveWorker("a")
	borrowed := newGang("bento", "1", 1, 1, organisation.WithinWorker)
	p.Submit(borrowed)
	c.Assert(p.Decide(epoch), qt.HasLen, 0)
	c.Assert(p.Verdict().String(), qt.Matches, "plan ana of organisation ana lacks a place for 1 of 1x4 .*")
	p.AddWorker(newWorker("a", "1", 4))
	c.Assert(p.Decide(epoch), qt.HasLen, 1)
}

// Guards against the use of declared memory after many jobs of the kind have
// used far less.
func TestDeclaredMemoryIsCorrectedByWhatJobsUsed(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.BestFit{}, placement.Default())
	p.AddWorker(newWorker("a", "1", 8))
	submit := func(id string) (j request.Identity) {
		g := newGang("ana", id, 1, 1, organisation.WithinWorker)
		g.Memory = 200e9
		p.Submit(g)
		return g.Identity
	}
	for i := range 6 {
		id := submit(string(rune('a' + i)))
		c.Assert(p.Decide(epoch), qt.HasLen, 1)
		p.Started(id, epoch)
		p.ObserveUsage(id, 0, worker.Resources{Cores: 1, Memory: 20e9}, epoch)
		p.Ended(id, epoch.Add(time.Hour), request.Done)
	}
	submit("x")
	submit("y")
	c.Assert(p.Decide(epoch), qt.HasLen, 2)
}

// Guards against the starvation of a gang when smaller jobs take all free
// resources: after the reservation is made, a job that would outlast it does
// not start.
func TestReservationKeepsAPlacementForAStarvingGang(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.FirstFit{}, placement.Default())
	p.AddWorker(newWorker("a", "1", 4))
	p.AddWorker(newWorker("b", "1", 4))
	running := newGang("ana", "running", 1, 4, organisation.WithinWorker)
	p.Adopt(running, []string{"a"}, epoch)
	wide := newGang("bento", "wide", 2, 4, organisation.WithinRack)
	p.Submit(wide)
	c.Assert(p.Decide(epoch), qt.HasLen, 0)
	later := epoch.Add(15 * time.Minute)
	c.Assert(p.Decide(later), qt.HasLen, 0)
	long, short := newGang("clara", "long", 1, 1, organisation.WithinWorker), newGang("clara", "short", 1, 1, organisation.WithinWorker)
	short.RunTime = 10 * time.Minute
	p.Submit(long)
	p.Submit(short)
	decisions := p.Decide(later)
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].Job, qt.Equals, short.Identity)
	p.Ended(short.Identity, later, request.Done)
	p.Ended(running.Identity, later, request.Done)
	decisions = p.Decide(later)
	c.Assert(decisions[0].Job, qt.Equals, wide.Identity)
}

// Guards against an urgent job that waits for the long checkpoint timeout of a
// job that is being reclaimed for a job that is not urgent.
func TestUrgentJobShortensACheckpoint(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.FirstFit{}, placement.Default())
	p.AddWorker(newWorker("a", "1", 4))
	p.SetConfiguration(guaranteePlans(map[string]int{"ana": 2, "bento": 1}))
	old := newGang("clara", "old", 1, 4, organisation.WithinWorker)
	p.Adopt(old, []string{"a"}, epoch.Add(-time.Hour))
	p.Submit(newGang("ana", "1", 1, 2, organisation.WithinWorker))
	c.Assert(p.Decide(epoch), qt.HasLen, 1)
	urgent := newGang("bento", "1", 1, 2, organisation.WithinWorker)
	urgent.Urgent = true
	p.Submit(urgent)
	c.Assert(p.Decide(epoch.Add(time.Second)), qt.HasLen, 0)
	decisions := p.Decide(epoch.Add(time.Second + placement.Default().UrgentCheckpointTimeout))
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].Job, qt.Equals, old.Identity)
	c.Assert(decisions[0].Checkpoint, qt.IsFalse)
}

// Guards against a job that is restarted on a worker where it failed to start
// while other workers have room.
func TestJobAvoidsWorkersOnWhichItFailedToStart(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.FirstFit{}, placement.Default())
	p.AddWorker(newWorker("a", "1", 4))
	p.AddWorker(newWorker("b", "1", 4))
	j := newGang("ana", "1", 1, 4, organisation.WithinWorker)
	p.Submit(j)
	c.Assert(p.Decide(epoch)[0].Workers, qt.DeepEquals, []string{"a"})
	p.Released(j.Identity)
	c.Assert(p.Decide(epoch)[0].Workers, qt.DeepEquals, []string{"b"})
	p.Released(j.Identity)
	c.Assert(p.Decide(epoch), qt.HasLen, 1)
}
