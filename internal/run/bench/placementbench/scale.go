package placementbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/run/bench/usage"
	"wasabihoist/internal/tenancy/guarantee"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// The planned size.
const (
	plannedWorkers       = 6200
	plannedAccelerators  = 7200
	plannedDataCentres   = 14
	plannedTasks         = 84_000
	plannedOrganisations = 240
)

// scaleEvents is how many jobs end while decisions are measured.
const scaleEvents = 4000

// ScaleResult is the outcome of RunScale.
type ScaleResult struct {
	Sizes []SizeFigures `json:"sizes"`
}

// SizeFigures are what the planner of one data centre has measured at one size.
type SizeFigures struct {
	Workers        int     `json:"workers"` // Workers of the whole fleet; the planner has one data centre of it.
	PlannerWorkers int     `json:"planner-workers"`
	PlannerTasks   int     `json:"planner-tasks"`
	Waiting        int     `json:"waiting"`
	Decisions      int64   `json:"decisions"`
	DecisionP50    float64 `json:"decision-us-p50"`
	DecisionP99    float64 `json:"decision-us-p99"`
	DecisionMax    float64 `json:"decision-us-max"`
	BytesPerTask   float64 `json:"bytes-per-task"`
}

// RunScale measures the planner of one data centre at a quarter, a half and the
// whole of the planned size, with the policy that does the most work.
func RunScale(ctx context.Context, o Options) (ScaleResult, error) {
	var result ScaleResult
	for _, divisor := range []int{4, 2, 1} {
		if err := ctx.Err(); err != nil {
			return ScaleResult{}, err
		}
		result.Sizes = append(result.Sizes, measureSize(o, divisor))
	}
	return result, write(o.Output, result)
}

// scale drives one planner at the planned size divided by a number.
type scale struct {
	planner   *placement.Planner
	random    *rand.Rand
	now       time.Time
	divisor   int
	count     int
	tasks     int
	running   []running
	decisions *hdrhistogram.Histogram
}

// running is one job that has started.
type running struct {
	id      request.Identity
	members int
}

func measureSize(o Options, divisor int) SizeFigures {
	s := &scale{now: epoch, divisor: divisor, random: rand.New(rand.NewPCG(o.Seed, uint64(divisor))),
		decisions: hdrhistogram.New(1, int64(1e10), 3)}
	before := usage.Heap()
	s.planner = placement.New(placement.FragmentationFirst{}, o.Planner)
	s.prepare()
	s.fill(plannedTasks / plannedDataCentres / divisor)
	f := SizeFigures{Workers: plannedWorkers / divisor, PlannerWorkers: s.workers(), PlannerTasks: s.tasks,
		BytesPerTask: float64(usage.Heap()-before) / float64(s.tasks)}
	s.decisions.Reset()
	for range scaleEvents {
		s.turnOver()
	}
	const nanosPerMicro = 1e3
	f.Waiting = s.planner.Summary().Waiting
	f.Decisions = s.decisions.TotalCount()
	f.DecisionP50 = float64(s.decisions.ValueAtQuantile(50)) / nanosPerMicro
	f.DecisionP99 = float64(s.decisions.ValueAtQuantile(99)) / nanosPerMicro
	f.DecisionMax = float64(s.decisions.Max()) / nanosPerMicro
	return f
}

func (s *scale) workers() int { return plannedWorkers / plannedDataCentres / s.divisor }

// prepare adds the workers and the guarantees. One worker in 60 has 8
// accelerators, most others have one and the rest have none, so that there are
// 7,200 for 6,200 workers.
func (s *scale) prepare() {
	const hostPeriod, lastWithOne = 60, 58
	accelerators := plannedAccelerators / plannedDataCentres / s.divisor
	for n := range s.workers() {
		k := worker.Worker{Name: fmt.Sprintf("w%04d", n), Rack: fmt.Sprintf("r%04d", n/workersPerRack), DataCentre: "one",
			Capacity: worker.Resources{Cores: coresPerHost, Memory: 256e9}}
		switch at := n % hostPeriod; {
		case at == 0:
			k.Capacity.Accelerators = min(acceleratorsPerHost, accelerators)
		case at <= lastWithOne:
			k.Capacity.Accelerators = min(1, accelerators)
		}
		accelerators -= k.Capacity.Accelerators
		s.planner.AddWorker(k)
	}
	s.planner.SetConfiguration(plannedConfiguration())
	s.planner.SetEntitlements(s.entitlements())
	s.planner.Decide(s.now)
}

// plannedConfiguration has the organisations of the planned size on one plan.
func plannedConfiguration() organisation.Configuration {
	c := organisation.Configuration{Version: 1, Plans: []organisation.Plan{{Name: "plan", Share: 1, Urgent: true}}}
	for n := range plannedOrganisations {
		c.Organisations = append(c.Organisations, organisation.Organisation{Name: tenantName(n), Plan: "plan"})
	}
	return c
}

func tenantName(n int) string { return fmt.Sprintf("team-%03d", n) }

// entitlements guarantee about half of the accelerators of the data centre.
func (s *scale) entitlements() []guarantee.Entitlement {
	shapes := []organisation.Shape{
		{Members: 8, Accelerators: 1, Adjacency: organisation.WithinDataCentre},
		{Members: 2, Accelerators: 1, Adjacency: organisation.WithinRack},
		{Members: 1, Accelerators: 1, Adjacency: organisation.WithinWorker},
		{Members: 1, Accelerators: 4, Adjacency: organisation.WithinWorker},
	}
	var list []guarantee.Entitlement
	budget := plannedAccelerators / plannedDataCentres / s.divisor / 2
	for n := 0; budget > 0; n++ {
		shape := shapes[n%len(shapes)]
		if n%16 == 3 || shape.Accelerators == 1 {
			list = append(list, guarantee.Entitlement{Organisation: tenantName(n % plannedOrganisations), Plan: "plan",
				Shape: shape, Count: 1})
			budget -= shape.Total()
		}
	}
	return list
}

// fill submits jobs until the wanted number of tasks runs.
func (s *scale) fill(tasks int) {
	for attempts := 0; s.tasks < tasks && attempts < 4*tasks; attempts++ {
		s.submit()
		s.decide()
	}
}

// submit adds one job: mostly single tasks without accelerators.
func (s *scale) submit() {
	s.count++
	j := job.Job{Identity: request.Identity{Organisation: tenantName(s.random.IntN(plannedOrganisations)),
		ID: fmt.Sprintf("job-%06d", s.count)}, Kind: "batch", Cores: 2, Memory: 8e9, RunTime: 2 * time.Hour,
		Idempotent: true, Submitted: s.now}
	j.Shape = organisation.Shape{Members: 1, Adjacency: organisation.WithinWorker}
	switch draw := s.random.IntN(100); {
	case draw < 12:
		j.Shape.Accelerators = 1
	case draw < 14:
		j.Shape = organisation.Shape{Members: 1 + s.random.IntN(64), Accelerators: 1, Adjacency: organisation.WithinDataCentre}
	case draw < 16:
		j.Shape = organisation.Shape{Members: 2, Accelerators: 1, Adjacency: organisation.WithinRack}
	case draw < 24:
		j.Shape.Members, j.Shape.Adjacency = 1+s.random.IntN(16), organisation.WithinDataCentre
	}
	j.Urgent = s.random.IntN(500) == 0
	s.planner.Submit(j)
}

// turnOver ends one job and submits another, with a decision after each.
func (s *scale) turnOver() {
	s.now = s.now.Add(time.Second)
	at := s.random.IntN(len(s.running))
	gone := s.running[at]
	s.running[at] = s.running[len(s.running)-1]
	s.running = s.running[:len(s.running)-1]
	s.tasks -= gone.members
	s.planner.Ended(gone.id, s.now, request.Done)
	s.decide()
	s.submit()
	s.decide()
}

// decide measures one decision and carries it out at once.
func (s *scale) decide() {
	begin := time.Now()
	decisions := s.planner.Decide(s.now)
	_ = s.decisions.RecordValue(max(time.Since(begin).Nanoseconds(), 1))
	for _, d := range decisions {
		switch d.Kind {
		case placement.Start:
			s.planner.Started(d.Job, s.now)
			s.running = append(s.running, running{d.Job, len(d.Workers)})
			s.tasks += len(d.Workers)
		case placement.Move:
			s.planner.Started(d.Job, s.now)
		case placement.Reclaim:
			s.released(d.Job)
		}
	}
}

// released takes a reclaimed job off its workers.
func (s *scale) released(id request.Identity) {
	for i, x := range s.running {
		if x.id == id {
			s.tasks -= x.members
			s.running = append(s.running[:i], s.running[i+1:]...)
			s.planner.Released(id)
			return
		}
	}
}
