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
	p := placement.New(placement.FirstFit{}, placement.DefaultOptions())
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

// plans gives each organisation one guaranteed shape within a worker.
func plans(accelerators map[string]int) organisation.Configuration {
	c := organisation.Configuration{Version: 1}
	for name, n := range accelerators {
		c.Organisations = append(c.Organisations, organisation.Organisation{Name: name, Plan: name})
		c.Plans = append(c.Plans, organisation.Plan{Name: name, Share: 1, Urgent: true, Guarantees: []organisation.Guarantee{{
			Shape: organisation.Shape{Members: 1, Accelerators: n, Adjacency: organisation.WithinWorker}, Count: 1}}})
	}
	return c
}

// Guards against a guarantee that cannot be had because accelerators are lent:
// the cheaper of two borrowed jobs has to leave by checkpoint, is stopped when
// that takes too long, and waits again.
func TestGuaranteedJobTakesBorrowedAcceleratorsBack(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.FirstFit{}, placement.DefaultOptions())
	p.AddWorker(accelerated("a", "1", 4))
	p.AddWorker(accelerated("b", "1", 4))
	p.SetConfiguration(plans(map[string]int{"ana": 4}))
	old, young := gang("bento", "old", 1, 4, organisation.WithinWorker), gang("bento", "young", 1, 4, organisation.WithinWorker)
	p.Adopt(old, []string{"a"}, epoch.Add(-time.Hour))
	p.Adopt(young, []string{"b"}, epoch.Add(-time.Minute))
	wanted := gang("ana", "1", 1, 4, organisation.WithinWorker)
	p.Submit(wanted)
	decisions := p.Decide(epoch)
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].Kind, qt.Equals, placement.Reclaim)
	c.Assert(decisions[0].Job, qt.Equals, young.Identity)
	c.Assert(decisions[0].Checkpoint, qt.IsTrue)
	c.Assert(decisions[0].Beneficiary, qt.Equals, wanted.Identity)

	decisions = p.Decide(epoch.Add(placement.DefaultOptions().CheckpointTimeout))
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
// lending that does not begin again.
func TestLendingStopsWhileAGuaranteeHasNoPlace(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.FirstFit{}, placement.DefaultOptions())
	p.AddWorker(accelerated("a", "1", 4))
	p.AddWorker(accelerated("b", "1", 2))
	p.SetConfiguration(plans(map[string]int{"ana": 4}))
	p.RemoveWorker("a")
	borrowed := gang("bento", "1", 1, 1, organisation.WithinWorker)
	p.Submit(borrowed)
	c.Assert(p.Decide(epoch), qt.HasLen, 0)
	c.Assert(p.Verdict().String(), qt.Matches, "plan ana of organisation ana lacks a place for 1 of 1x4 .*")
	p.AddWorker(accelerated("a", "1", 4))
	c.Assert(p.Decide(epoch), qt.HasLen, 1)
}

// Guards against declared memory that is trusted after many jobs of the kind have
// used far less.
func TestDeclaredMemoryIsCorrectedByWhatJobsUsed(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.BestFit{}, placement.DefaultOptions())
	p.AddWorker(accelerated("a", "1", 8))
	job := func(id string) (j request.Identity) {
		g := gang("ana", id, 1, 1, organisation.WithinWorker)
		g.Memory = 200e9
		p.Submit(g)
		return g.Identity
	}
	for i := range 6 {
		id := job(string(rune('a' + i)))
		c.Assert(p.Decide(epoch), qt.HasLen, 1)
		p.Started(id, epoch)
		p.ObserveUsage(id, 0, worker.Resources{Cores: 1, Memory: 20e9}, epoch)
		p.Ended(id, epoch.Add(time.Hour), request.Done)
	}
	job("x")
	job("y")
	c.Assert(p.Decide(epoch), qt.HasLen, 2)
}

// Guards against a gang that starves because smaller jobs take each free place:
// after the reservation is made, a job that would outlast it does not start.
func TestReservationKeepsAPlaceForAStarvingGang(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.FirstFit{}, placement.DefaultOptions())
	p.AddWorker(accelerated("a", "1", 4))
	p.AddWorker(accelerated("b", "1", 4))
	running := gang("ana", "running", 1, 4, organisation.WithinWorker)
	p.Adopt(running, []string{"a"}, epoch)
	wide := gang("bento", "wide", 2, 4, organisation.WithinRack)
	p.Submit(wide)
	c.Assert(p.Decide(epoch), qt.HasLen, 0)
	later := epoch.Add(15 * time.Minute)
	c.Assert(p.Decide(later), qt.HasLen, 0)
	long, short := gang("clara", "long", 1, 1, organisation.WithinWorker), gang("clara", "short", 1, 1, organisation.WithinWorker)
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

// Guards against urgent work that waits for the long checkpoint of a job that was
// asked to leave for other work.
func TestUrgentJobShortensACheckpoint(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.FirstFit{}, placement.DefaultOptions())
	p.AddWorker(accelerated("a", "1", 4))
	p.SetConfiguration(plans(map[string]int{"ana": 2, "bento": 1}))
	old := gang("clara", "old", 1, 4, organisation.WithinWorker)
	p.Adopt(old, []string{"a"}, epoch.Add(-time.Hour))
	p.Submit(gang("ana", "1", 1, 2, organisation.WithinWorker))
	c.Assert(p.Decide(epoch), qt.HasLen, 1)
	urgent := gang("bento", "1", 1, 2, organisation.WithinWorker)
	urgent.Urgent = true
	p.Submit(urgent)
	c.Assert(p.Decide(epoch.Add(time.Second)), qt.HasLen, 0)
	decisions := p.Decide(epoch.Add(time.Second + placement.DefaultOptions().UrgentCheckpointTimeout))
	c.Assert(decisions, qt.HasLen, 1)
	c.Assert(decisions[0].Job, qt.Equals, old.Identity)
	c.Assert(decisions[0].Checkpoint, qt.IsFalse)
}

// Guards against a job that is started again and again on a worker that fails
// everything while others have room.
func TestJobAvoidsWorkersOnWhichItFailedToStart(t *testing.T) {
	c := qt.New(t)
	p := placement.New(placement.FirstFit{}, placement.DefaultOptions())
	p.AddWorker(accelerated("a", "1", 4))
	p.AddWorker(accelerated("b", "1", 4))
	j := gang("ana", "1", 1, 4, organisation.WithinWorker)
	p.Submit(j)
	c.Assert(p.Decide(epoch)[0].Workers, qt.DeepEquals, []string{"a"})
	p.Released(j.Identity)
	c.Assert(p.Decide(epoch)[0].Workers, qt.DeepEquals, []string{"b"})
	p.Released(j.Identity)
	c.Assert(p.Decide(epoch), qt.HasLen, 1)
}
