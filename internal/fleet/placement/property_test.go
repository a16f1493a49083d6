package placement_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wasabihoist/internal/base/propertytest"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/guarantee"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// The property tests run the same cases each time unless flags say otherwise.
func TestMain(m *testing.M) { propertytest.Main(m, 1500) }

// activeJob is a job with a start decision in the test's own model of the fleet.
type activeJob struct {
	job        job.Job
	workers    []string
	oldWorkers []string // oldWorkers of a moving job.
	started    bool
}

// simulation applies random events and tracks the expected state.
type simulation struct {
	*rapid.T
	planner             *placement.Planner
	now                 time.Time
	workers             map[string]worker.Worker
	jobs                map[request.Identity]job.Job
	jobIDs              []request.Identity // jobIDs of the jobs that have not ended, in order of submission.
	running             map[request.Identity]*activeJob
	silent              map[string]bool
	submitted           int
	predicateHeldBefore bool // predicateHeldBefore is whether the guarantee predicate held at the last check.
	hasShortfall        bool // hasShortfall is true while a guarantee has no place in any data centre.
	changed             bool // changed is true when the fleet or configuration has changed since the last check.
}

var jobKinds = []string{"match", "check"}

func newSimulation(t *rapid.T) *simulation {
	policy := placement.Policies()[rapid.IntRange(0, 3).Draw(t, "policy")]
	sim := &simulation{T: t, planner: placement.New(policy, placement.Default()), now: epoch, predicateHeldBefore: true,
		workers: map[string]worker.Worker{}, jobs: map[request.Identity]job.Job{}, running: map[request.Identity]*activeJob{}, silent: map[string]bool{}}
	for i := range rapid.IntRange(2, 7).Draw(t, "workers") {
		sim.addWorker(i)
	}
	c := organisation.Configuration{Version: 1}
	for i := range 3 {
		name := fmt.Sprintf("o%d", i)
		c.Organisations = append(c.Organisations, organisation.Organisation{Name: name, Plan: name})
		c.Plans = append(c.Plans, organisation.Plan{Name: name, Share: 1 + i, Urgent: true, Guarantees: []organisation.Guarantee{{
			Shape: sim.shape("guarantee"), Count: rapid.IntRange(1, 2).Draw(t, "count")}}})
	}
	sim.planner.SetConfiguration(c)
	sim.changed = true
	return sim
}

func (sim *simulation) addWorker(i int) {
	k := newWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/3), []int{0, 1, 4, 8}[rapid.IntRange(0, 3).Draw(sim.T, "accelerators")])
	k.Capacity.Cores, k.Capacity.Memory = 16, 64e9
	sim.workers[k.Name] = k
	delete(sim.silent, k.Name)
	sim.planner.AddWorker(k)
	sim.changed = true
}

func (sim *simulation) shape(label string) organisation.Shape {
	return organisation.Shape{Members: rapid.IntRange(1, 3).Draw(sim.T, label+" members"),
		Accelerators: []int{1, 1, 2, 4}[rapid.IntRange(0, 3).Draw(sim.T, label+" accelerators")],
		Adjacency:    organisation.Adjacency(rapid.IntRange(1, 3).Draw(sim.T, label+" adjacency"))}
}

func (sim *simulation) submit() {
	sim.submitted++
	s := sim.shape("job")
	if rapid.IntRange(0, 3).Draw(sim.T, "plain") == 0 {
		s.Accelerators = 0
	}
	j := newGang(fmt.Sprintf("o%d", rapid.IntRange(0, 3).Draw(sim.T, "organisation")), fmt.Sprint(sim.submitted), s.Members, s.Accelerators, s.Adjacency)
	j.Kind = jobKinds[rapid.IntRange(0, 1).Draw(sim.T, "kind")]
	j.Cores = float64(rapid.IntRange(1, 6).Draw(sim.T, "cores"))
	j.Memory = int64(rapid.IntRange(1, 24).Draw(sim.T, "memory")) * 1e9
	j.Submitted, j.Urgent = sim.now, rapid.IntRange(0, 5).Draw(sim.T, "urgent") == 0
	j.Idempotent = rapid.Bool().Draw(sim.T, "idempotent")
	sim.jobs[j.Identity] = j
	sim.jobIDs = append(sim.jobIDs, j.Identity)
	sim.planner.Submit(j)
	if j.Urgent && rapid.Bool().Draw(sim.T, "later") {
		sim.planner.DelayReclaim(j.Identity, sim.now.Add(5*time.Second))
	}
}

// pickJob returns a random job that has not ended.
func (sim *simulation) pickJob() (request.Identity, bool) {
	if len(sim.jobIDs) == 0 {
		return request.Identity{}, false
	}
	return sim.jobIDs[rapid.IntRange(0, len(sim.jobIDs)-1).Draw(sim.T, "job")], true
}

func (sim *simulation) forget(id request.Identity) {
	delete(sim.running, id)
	delete(sim.jobs, id)
	for i, o := range sim.jobIDs {
		if o == id {
			sim.jobIDs = append(sim.jobIDs[:i:i], sim.jobIDs[i+1:]...)
		}
	}
}

// step applies one random event.
func (sim *simulation) step() {
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(sim.T, "seconds")) * time.Second)
	id, ok := sim.pickJob()
	x := sim.running[id]
	switch event := rapid.IntRange(0, 11).Draw(sim.T, "event"); {
	case event == 0:
		name := fmt.Sprintf("w%d", rapid.IntRange(0, 6).Draw(sim.T, "lost"))
		delete(sim.workers, name)
		sim.changed = true
		for _, lost := range sim.planner.RemoveWorker(name) {
			delete(sim.running, lost)
			sim.planner.Released(lost)
		}
	case event == 1:
		sim.restoreWorker()
	case event == 2 && ok:
		sim.planner.Cancel(id)
		sim.forget(id)
	case event <= 4 && x != nil:
		sim.planner.Ended(id, sim.now, request.Done)
		sim.forget(id)
	case event == 5 && x != nil && x.started:
		used := worker.Resources{Cores: 8, Memory: int64(rapid.IntRange(1, 30).Draw(sim.T, "used")) * 1e9}
		sim.planner.ObserveUsage(id, 0, used, sim.now.Add(-time.Minute))
	case event == 6 && x != nil:
		sim.start(id, x)
	case event == 7:
		sim.toggleSilent(fmt.Sprintf("w%d", rapid.IntRange(0, 6).Draw(sim.T, "silent")))
	case event == 8:
		sim.setShortfall(!sim.hasShortfall)
	default:
		sim.submit()
	}
}

// toggleSilent makes a worker silent, or lets it answer again.
func (sim *simulation) toggleSilent(name string) {
	sim.silent[name] = !sim.silent[name]
	sim.planner.SetSilent(name, sim.silent[name])
	sim.changed = true
}

// setShortfall sets whether a guarantee has no place in any data centre.
func (sim *simulation) setShortfall(short bool) {
	sim.hasShortfall = short
	var shortfalls []guarantee.Shortfall
	if short {
		shortfalls = []guarantee.Shortfall{{Organisation: "o0", Plan: "o0", Shape: organisation.Shape{Members: 1, Accelerators: 64}, Count: 1}}
	}
	sim.planner.SetShortfalls(shortfalls)
}

func (sim *simulation) restoreWorker() {
	for i := range 7 {
		if _, ok := sim.workers[fmt.Sprintf("w%d", i)]; !ok {
			sim.addWorker(i)
			return
		}
	}
}

func (sim *simulation) start(id request.Identity, x *activeJob) {
	x.started, x.oldWorkers = true, nil
	sim.planner.Started(id, sim.now)
}

// decide carries out the decisions of the planner and checks each of them.
func (sim *simulation) decide() {
	lent := false
	for _, d := range sim.planner.Decide(sim.now) {
		j := sim.jobs[d.Job]
		switch d.Kind {
		case placement.Start:
			sim.checkGang(j, d.Workers)
			sim.checkNoSilentWorker(d)
			sim.running[d.Job] = &activeJob{job: j, workers: d.Workers}
			lent = lent || (!sim.guaranteed(d.Job) && j.Shape.Total() > 0)
		case placement.Move:
			sim.checkGang(j, d.Workers)
			x := sim.running[d.Job]
			x.oldWorkers, x.workers = x.workers, d.Workers
		case placement.Reclaim:
			if sim.guaranteed(d.Job) {
				sim.Fatalf("guaranteed job %s is reclaimed", d.Job)
			}
			if d.Checkpoint {
				sim.checkNoSilentWorker(d)
				sim.checkReclaim(d)
			}
			if rapid.Bool().Draw(sim.T, "leaves") {
				delete(sim.running, d.Job)
				sim.planner.Released(d.Job)
			}
		}
	}
	sim.checkInvariants(lent)
}

func (sim *simulation) guaranteed(id request.Identity) bool {
	x, _ := sim.planner.Explain(id, sim.now)
	return x.Guaranteed
}

// checkGang fails unless the placement has one worker for each member within
// the adjacency.
func (sim *simulation) checkGang(j job.Job, names []string) {
	if len(names) != j.Shape.Members {
		sim.Fatalf("%s: %d workers for %d members", j.Identity, len(names), j.Shape.Members)
	}
	for _, name := range names {
		k, ok := sim.workers[name]
		apart := j.Shape.Adjacency == organisation.WithinWorker && name != names[0] ||
			j.Shape.Adjacency == organisation.WithinRack && k.Rack != sim.workers[names[0]].Rack
		if !ok || apart {
			sim.Fatalf("%s of shape %s on %v", j.Identity, j.Shape, names)
		}
	}
}

// checkNoSilentWorker fails when a decision depends on a silent worker.
func (sim *simulation) checkNoSilentWorker(d placement.Decision) {
	for _, name := range d.Workers {
		if sim.silent[name] {
			sim.Fatalf("%s of %s on silent worker %s", d.Kind, d.Job, name)
		}
	}
}

// checkReclaim fails when a job is reclaimed for one that may not borrow. A
// job that exceeds its memory is reclaimed for itself, and jobs without
// accelerators may always borrow.
func (sim *simulation) checkReclaim(d placement.Decision) {
	if sim.hasShortfall && d.Beneficiary != d.Job && sim.jobs[d.Beneficiary].Shape.Total() > 0 && !sim.guaranteed(d.Beneficiary) {
		sim.Fatalf("%s is reclaimed for borrowed job %s while lending has stopped", d.Job, d.Beneficiary)
	}
}

// checkInvariants fails when more accelerators of a worker are in use than it
// has, when the guarantee predicate has become false without a change of the
// fleet, or when accelerators were lent while it is false.
func (sim *simulation) checkInvariants(lent bool) {
	used := map[string]int{}
	for _, x := range sim.running {
		for _, name := range append(append([]string{}, x.workers...), x.oldWorkers...) {
			used[name] += x.job.Shape.Accelerators
		}
	}
	for name, n := range used {
		if k, ok := sim.workers[name]; ok && n > k.Capacity.Accelerators {
			sim.Fatalf("%d accelerators in use on %s, which has %d", n, name, k.Capacity.Accelerators)
		}
	}
	predicateHolds := sim.planner.Verdict().Holds
	if lent && (!predicateHolds || sim.hasShortfall) {
		sim.Fatalf("accelerators were lent while %s, without a place in any data centre: %t", sim.planner.Verdict(), sim.hasShortfall)
	}
	if !predicateHolds && sim.predicateHeldBefore && !sim.changed {
		sim.Fatalf("decisions made the predicate false: %s", sim.planner.Verdict())
	}
	sim.predicateHeldBefore, sim.changed = predicateHolds, false
}

// Guards against split gangs, oversubscribed workers, broken guarantees and
// decisions that depend on silent workers, when workers are lost, jobs are
// cancelled and measured usage differs from what was declared. The tests of
// the guarantee package compare its verdicts with an exhaustive search.
func TestPlannerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			sim.step()
			sim.decide()
		}
	})
}
