package coordinator

import (
	"cmp"
	"slices"
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/workload"
)

const (
	// lossRatio bounds the work that is thrown away for urgent work beyond a
	// guarantee, in parts of that work. Thrown away work costs the users about a
	// fifth of what urgent work in time is worth to them.
	lossRatio = 3
)

// demands returns the steps whose tasks wait and may start, in the order in
// which they are served.
func (t *term) demands() ([]waitingStep, []allocation.Demand) {
	guaranteed := t.withinGuarantee()
	at := now()
	keep := t.headroom.keep(t.urgentAccelerators(), at)
	var steps []waitingStep
	var demands []allocation.Demand
	for _, o := range t.ordered() {
		j := o.job
		if at < j.retryAt {
			continue
		}
		for s := o.first(); s < o.first()+len(j.job.Steps); s++ {
			indices := t.waitingTasks(j, s)
			if len(indices) == 0 {
				continue
			}
			d := t.demand(j, s, len(indices), allocation.RankOf(j.job.Priority, guaranteed.Has(j.job.ID)))
			d.ID = len(steps) // The demands are sorted below, the steps are not.
			if d.Rank == allocation.Urgent {
				d.MaxPreemptionCost = lossRatio * float64(d.Tasks) * d.Need.CoreEquivalents() * worthTime(j.job.Step(s)).Seconds()
			}
			if d.Rank >= allocation.Ordinary && t.slack(j, o.number) > headroomSlack {
				d.Headroom = keep
			}
			steps = append(steps, waitingStep{j, d.Rank, s, indices})
			demands = append(demands, d)
		}
	}
	slices.SortStableFunc(demands, func(a, b allocation.Demand) int { return cmp.Compare(a.Rank, b.Rank) })
	return steps, demands
}

// urgentAccelerators returns what the urgent jobs that have not ended need.
func (t *term) urgentAccelerators() int {
	sum := 0
	for _, j := range t.jobs {
		if j.job.Priority == 0 {
			sum += j.accelerators(time.Now())
		}
	}
	return sum
}

// ordered returns the occurrences in progress by how soon they have to start:
// first those that can wait least.
func (t *term) ordered() []occurrence {
	list := make([]occurrence, 0, len(t.jobs))
	at := time.Now()
	for _, j := range t.jobs {
		for _, number := range j.begun(at) {
			latest := at
			if !j.job.HasLongRunning() {
				latest = latestStart(j.job, number, t.remaining(j, number), at)
			}
			list = append(list, occurrence{j, number, latest})
		}
	}
	slices.SortFunc(list, func(a, b occurrence) int {
		return cmp.Or(a.latest.Compare(b.latest), cmp.Compare(a.job.order, b.job.order), cmp.Compare(a.number, b.number))
	})
	return list
}

// withinGuarantee returns the urgent jobs that the guarantees of their
// organisations cover, in the order of their acceptance.
func (t *term) withinGuarantee() collection.Set[workload.ID] {
	covered := collection.NewSet[workload.ID]()
	plans := t.catalogue.Get()
	if plans == nil {
		return covered
	}
	var urgent []*jobState
	for _, j := range t.jobs {
		if j.job.Priority == 0 && j.accelerators(time.Now()) > 0 {
			urgent = append(urgent, j)
		}
	}
	slices.SortFunc(urgent, func(a, b *jobState) int { return cmp.Compare(a.order, b.order) })
	used := make(map[string]int)
	for _, j := range urgent {
		organisation, _ := plans.Organisation(j.job.Organisation)
		need := j.accelerators(time.Now())
		if used[organisation.Name]+need <= organisation.GuaranteedAccelerators {
			covered.Add(j.job.ID)
			used[organisation.Name] += need
		}
	}
	return covered
}

// waitingTasks returns the tasks of a step that may be placed. A gang is placed
// whole, so all its tasks have to wait and none may still run anywhere.
func (t *term) waitingTasks(j *jobState, step int) []int {
	if !j.progress.Ready(j.job, step) {
		return nil
	}
	tasks := j.progress.Steps[step].Tasks
	var indices []int
	for i, task := range tasks {
		if task.Phase == workload.Waiting {
			indices = append(indices, i)
		}
	}
	if j.job.Step(step).Gang && len(indices) < len(tasks) {
		return nil
	}
	return indices
}

func (t *term) demand(j *jobState, step, tasks int, rank allocation.Rank) allocation.Demand {
	s := j.job.Step(step)
	service := j.job.Service
	if plans := t.catalogue.Get(); plans != nil {
		if q, ok := plans.Queue(j.job.Queue); ok {
			service = q.Service
		}
	}
	present := make(map[string]int)
	for _, task := range j.progress.Steps[step].Tasks {
		if task.Phase == workload.Placed {
			present[task.Host]++
		}
	}
	slack := t.slack(j, j.job.Occurrence(step))
	return allocation.Demand{
		Rank: rank, Service: service, Need: s.ReservedResources(), Tasks: tasks, Gang: s.Gang, RackLocal: s.RackLocal, Rack: s.Rack,
		Label: s.Label, SpreadLimit: s.SpreadLimit, TasksByHost: present, BestEffort: s.BestEffort, RelaxLocality: slack < 0,
		ExcludedHosts: t.avoided(j, step), AvoidProbation: t.fewDoubtful() && careful(j, step),
		AllowedHosts: t.permitted(j, step, service, tasks, rank),
	}
}

// fewDoubtful reports whether most hosts are beyond doubt. Otherwise the jobs
// are at fault, and careful ones would find no place.
func (t *term) fewDoubtful() bool {
	doubtful := 0
	for _, h := range t.hosts {
		if h.health.doubtful() {
			doubtful++
		}
	}
	return doubtful <= len(t.hosts)/4
}

// careful reports whether one more failure would use up the last attempt of a
// step.
func careful(j *jobState, step int) bool {
	s := j.progress.Steps[step]
	failures := s.Failures
	for _, task := range s.Tasks {
		failures = max(failures, task.Failures)
	}
	return failures+1 >= j.job.Attempts
}

// avoided returns the hosts on which a step has failed. When it has failed on
// many, the job is at fault and may run anywhere.
func (t *term) avoided(j *jobState, step int) collection.Set[string] {
	avoid := j.avoid[step]
	if len(avoid) > len(t.hosts)/2 {
		return nil
	}
	return avoid
}

// slack returns how long an occurrence can still wait and be done in time.
func (t *term) slack(j *jobState, number int) time.Duration {
	return time.Until(j.job.Due(number)) - t.remaining(j, number)
}

// remaining returns the estimated time of the longest chain of steps of an
// occurrence that have not finished.
func (t *term) remaining(j *jobState, number int) time.Duration {
	ends := make([]time.Duration, len(j.job.Steps))
	var longest time.Duration
	for i, s := range j.job.Steps {
		for _, d := range s.DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		if !j.progress.StepFinished(number*len(j.job.Steps) + i) {
			ends[i] += s.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}
