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
	// urgentCostRatio is how many core seconds of work may be discarded for each
	// core second of urgent work that no guarantee covers. To the users, a
	// discarded core second costs about a fifth of what a core second of urgent
	// work that is done in time is worth.
	urgentCostRatio = 3
)

// demands returns the steps whose tasks wait and may start, and their demands
// in the order in which they are served. Among demands of the same rank, gangs with a
// reservation come first, in the order of these, so that they don't lose their hosts
// to each other.
func (t *term) demands() ([]waitingStep, []allocation.Demand) {
	at := now()
	reserved := t.headroom.reserve(t.urgentAccelerators(), at)
	if !t.anyWaits() {
		t.endOverloads()
		return nil, nil
	}
	guaranteed := t.withinGuarantee()
	var steps []waitingStep
	var demands []allocation.Demand
	rankOf := func(j *jobState) allocation.Rank { return allocation.RankOf(j.job.Priority, guaranteed.Has(j.job.ID)) }
	for _, o := range t.orderedOccurrences(rankOf) {
		j := o.job
		if at < j.retryAt || t.mayHaveUnknownRuns(j, at) {
			continue
		}
		for s := o.firstStep(); s < o.firstStep()+len(j.job.Steps); s++ {
			indices := t.waitingTasks(j, s, at)
			if len(indices) == 0 {
				continue
			}
			d := t.newDemand(j, s, len(indices), rankOf(j))
			d.ID = len(steps) // The demands are sorted below, the steps are not.
			if d.Rank == allocation.Urgent {
				d.MaxPreemptionCost = urgentCostRatio * float64(d.Tasks) * d.Need.CoreEquivalents() * taskWorkTime(j.job.Step(s)).Seconds()
			}
			if reserved > 0 && d.Rank >= allocation.Ordinary && !j.job.Step(s).LongRunning && t.slack(j, o.number) > headroomSlack {
				d.Headroom = t.headroomOf(d.Service, reserved)
			}
			w := waitingStep{job: j, rank: d.Rank, step: s, indices: indices}
			if d.Gang && d.Rank >= allocation.Ordinary {
				w.reservedAt = t.applyReservation(&d, w.key(), time.Since(j.job.EarliestStart(o.number)), at)
			}
			steps = append(steps, w)
			demands = append(demands, d)
		}
	}
	slices.SortStableFunc(demands, func(a, b allocation.Demand) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(steps[a.ID].reservationOrder(), steps[b.ID].reservationOrder()))
	})
	return steps, demands
}

// anyWaits reports whether a task waits whose step may start. Most plans come after
// changes that leave none.
func (t *term) anyWaits() bool {
	at := time.Now()
	for _, j := range t.jobs {
		for _, number := range j.activeOccurrences(at) {
			first := number * len(j.job.Steps)
			for s := first; s < first+len(j.job.Steps); s++ {
				waits := func(task workload.Task) bool { return task.Phase == workload.Waiting }
				if slices.ContainsFunc(j.progress.Steps[s].Tasks, waits) && j.progress.StepReady(j.job, s) {
					return true
				}
			}
		}
	}
	return false
}

// urgentAccelerators returns the number of accelerators that the active
// occurrences of urgent jobs, those of priority 0, need.
func (t *term) urgentAccelerators() int {
	sum := 0
	for _, j := range t.jobs {
		if j.job.Priority == 0 {
			sum += j.activeAccelerators(time.Now())
		}
	}
	return sum
}

// orderedOccurrences returns the active occurrences in order of their latest
// start, or by what they are worth to their callers where decisions are adaptive.
func (t *term) orderedOccurrences(rankOf func(*jobState) allocation.Rank) []occurrence {
	list := make([]occurrence, 0, len(t.jobs))
	at := time.Now()
	for _, j := range t.jobs {
		for _, number := range j.activeOccurrences(at) {
			latest := at
			if !j.job.HasLongRunning() {
				latest = latestStart(j.job, number, t.remainingTime(j, number), at)
			}
			list = append(list, occurrence{j, number, latest})
		}
	}
	slices.SortFunc(list, func(a, b occurrence) int {
		return cmp.Or(a.latestStart.Compare(b.latestStart), cmp.Compare(a.job.acceptOrder, b.job.acceptOrder), cmp.Compare(a.number, b.number))
	})
	if t.settings().Adaptive {
		t.orderByWorth(list, rankOf, at)
	}
	return list
}

// withinGuarantee returns the jobs of priority 0 that the guarantees of their
// organisations cover. Jobs accepted earlier are covered first.
func (t *term) withinGuarantee() collection.Set[workload.ID] {
	return once(t.known.guaranteed, struct{}{}, t.findWithinGuarantee)
}

func (t *term) findWithinGuarantee() collection.Set[workload.ID] {
	covered := collection.NewSet[workload.ID]()
	catalogue := t.catalogue.Get()
	if catalogue == nil {
		return covered
	}
	var urgent []*jobState
	for _, j := range t.jobs {
		if j.job.Priority == 0 && j.activeAccelerators(time.Now()) > 0 {
			urgent = append(urgent, j)
		}
	}
	slices.SortFunc(urgent, func(a, b *jobState) int { return cmp.Compare(a.acceptOrder, b.acceptOrder) })
	used := make(map[string]int)
	for _, j := range urgent {
		organisation, _ := catalogue.Organisation(j.job.Organisation)
		need := j.activeAccelerators(time.Now())
		if used[organisation.Name]+need <= organisation.GuaranteedAccelerators {
			covered.Add(j.job.ID)
			used[organisation.Name] += need
		}
	}
	return covered
}

// waitingTasks returns the indices of the tasks of a step that may be placed at a
// time, when no delay after a refused start holds them any more. A gang is placed as a
// whole, so all its tasks have to wait and none may still run anywhere.
func (t *term) waitingTasks(j *jobState, step int, at time.Duration) []int {
	if !j.progress.StepReady(j.job, step) {
		return nil
	}
	tasks := j.progress.Steps[step].Tasks
	var indices []int
	for i, task := range tasks {
		if task.Phase == workload.Waiting && at >= j.refusals[taskKey{step, i}].retryAt {
			indices = append(indices, i)
		}
	}
	if j.job.Step(step).Gang && len(indices) < len(tasks) {
		return nil
	}
	return indices
}

// newDemand returns the demand for some waiting tasks of a step. It may set the
// next query to the adviser; see permittedHosts.
func (t *term) newDemand(j *jobState, step, tasks int, rank allocation.Rank) allocation.Demand {
	s := j.job.Step(step)
	service := t.serviceOf(j)
	tasksByHost := make(map[string]int)
	placed := j.progress.Steps[step].Tasks
	for i := range placed {
		if placed[i].Phase == workload.Placed {
			tasksByHost[placed[i].Host]++
		}
	}
	occurrence := j.job.Occurrence(step)
	slack := t.slack(j, occurrence)
	d := allocation.Demand{
		Rank: rank, Service: service, Need: s.ReservedResources(), Tasks: tasks, Gang: s.Gang, RackLocal: s.RackLocal, DataRack: s.DataRack,
		Label: s.Label, SpreadLimit: s.SpreadLimit, TasksByHost: tasksByHost, BestEffort: s.BestEffort, RunTime: s.Estimate, RelaxLocality: slack < 0,
		AllowedHosts: t.permittedHosts(j, step, service, tasks, rank),
	}
	if s.LongRunning {
		d.RunTime = allocation.Never
	}
	if t.settings().Adaptive {
		d.Pace = pacePreference(rank, slack, t.remainingTime(j, occurrence))
	}
	t.avoidFaultyHosts(&d, j, step)
	return d
}

// serviceOf returns the service that runs a job now.
func (t *term) serviceOf(j *jobState) string {
	if catalogue := t.catalogue.Get(); catalogue != nil {
		if q, ok := catalogue.Queue(j.job.Queue); ok {
			return q.Service
		}
	}
	return j.job.Service
}

// slack returns how long an occurrence can still wait and finish by its due
// time; negative if it is too late.
func (t *term) slack(j *jobState, occurrence int) time.Duration {
	return time.Until(j.job.Due(occurrence)) - t.remainingTime(j, occurrence)
}

// remainingTime returns the estimated run time of the critical path through the
// unfinished steps of an occurrence. A step in progress counts in full.
func (t *term) remainingTime(j *jobState, occurrence int) time.Duration {
	return once(t.known.remaining, occurrenceKey{j, occurrence}, func() time.Duration {
		first := occurrence * len(j.job.Steps)
		return j.job.LongestChain(func(step int) bool { return !j.progress.StepFinished(first + step) })
	})
}
