package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/workload"
)

const (
	// stallTime is how long every run may make no progress.
	stallTime = 3 * time.Second
	// stallSteps is how many times longer than estimated one percent of a run may
	// take. Slow hosts take up to eight times as long, and estimates are off by
	// more than a half.
	stallSteps = 20
	// endMargin is how much longer than a stop a run may take to end and still
	// be left to end by itself.
	endMargin = 300 * time.Millisecond
	// lossRatio bounds the work that is thrown away for urgent work beyond a
	// guarantee, in parts of that work. Thrown away work costs the users about a
	// fifth of what urgent work in time is worth to them.
	lossRatio = 3
	// leaveMargin is how long before a minion may leave what can be saved there
	// is stopped.
	leaveMargin = time.Second
)

// waitingStep is the waiting tasks of a step of a job.
type waitingStep struct {
	job     *jobState
	step    int
	indices []int
}

// plan decides what to start and what to stop, and begins both.
func (t *term) plan() {
	steps, demands := t.demands()
	if len(demands) == 0 {
		return
	}
	begin := now()
	plan := allocation.Decide(t.hostModel(), t.units(), demands)
	t.figures.planTime.Record(now() - begin)
	for _, id := range plan.Stops {
		t.stop(t.attempts[id], "it makes room for more urgent work")
	}
	for _, p := range plan.Placements {
		t.propose(steps[p.Demand], p.Hosts)
	}
}

// demands returns the steps whose tasks wait and may start, in the order in
// which they are served.
func (t *term) demands() ([]waitingStep, []allocation.Demand) {
	guaranteed := t.withinGuarantee()
	at := now()
	keep := t.headroom.keep(t.urgentAccelerators(), at)
	var steps []waitingStep
	var demands []allocation.Demand
	for _, j := range t.ordered() {
		if j.progress.State.Ended() || at < j.retryAt {
			continue
		}
		for s := range j.job.Steps {
			indices := t.waitingTasks(j, s)
			if len(indices) == 0 {
				continue
			}
			d := t.demand(j, s, len(indices), allocation.RankOf(j.job.Priority, guaranteed.Has(j.job.ID)))
			d.ID = len(steps)
			if d.Rank == allocation.Urgent {
				d.LossLimit = lossRatio * float64(d.Tasks) * d.Need.Cores() * j.job.Steps[s].Estimate.Seconds()
			}
			if d.Rank >= allocation.Ordinary && time.Until(j.job.Due())-t.remaining(j) > headroomSlack {
				d.Keep = keep
			}
			steps = append(steps, waitingStep{j, s, indices})
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
		if j.job.Priority == 0 && !j.progress.State.Ended() {
			sum += j.job.Accelerators()
		}
	}
	return sum
}

// ordered returns the jobs by how soon they have to start: first those that can
// wait least.
func (t *term) ordered() []*jobState {
	list := make([]*jobState, 0, len(t.jobs))
	at := time.Now()
	for _, j := range t.jobs {
		j.latest = latestStart(j.job, t.remaining(j), at)
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *jobState) int {
		return cmp.Or(a.latest.Compare(b.latest), cmp.Compare(a.order, b.order))
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
		if j.job.Priority == 0 && !j.progress.State.Ended() {
			urgent = append(urgent, j)
		}
	}
	slices.SortFunc(urgent, func(a, b *jobState) int { return cmp.Compare(a.order, b.order) })
	used := make(map[string]int)
	for _, j := range urgent {
		organisation, _ := plans.Organisation(j.job.Organisation)
		need := j.job.Accelerators()
		if used[organisation.Name]+need <= organisation.Guaranteed {
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
	if j.job.Steps[step].Gang && len(indices) < len(tasks) {
		return nil
	}
	return indices
}

func (t *term) demand(j *jobState, step, tasks int, rank allocation.Rank) allocation.Demand {
	s := j.job.Steps[step]
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
	slack := time.Until(j.job.Due()) - t.remaining(j)
	return allocation.Demand{
		Rank: rank, Service: service, Need: s.Need, Tasks: tasks, Gang: s.Gang, Local: s.Local, Rack: s.Rack,
		Label: s.Label, SpreadLimit: s.SpreadLimit, Present: present, Avoid: t.avoided(j, step), Careful: t.fewDoubtful() && careful(j, step), Far: slack < 0,
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

// remaining returns the estimated time of the longest chain of steps that have
// not finished.
func (t *term) remaining(j *jobState) time.Duration {
	ends := make([]time.Duration, len(j.job.Steps))
	var longest time.Duration
	for i, s := range j.job.Steps {
		for _, d := range s.DependsOn {
			ends[i] = max(ends[i], ends[d])
		}
		if !j.progress.StepFinished(i) {
			ends[i] += s.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// hostModel returns what the hosts offer. What a run holds is counted until it
// has certainly ended.
func (t *term) hostModel() []allocation.Host {
	at := now()
	hosts := make([]allocation.Host, 0, len(t.hosts))
	for _, h := range t.hosts {
		if h.minion.ID == "" {
			continue
		}
		free, soon := h.minion.Capacity, h.minion.Capacity
		for _, r := range h.runs {
			free = free.Sub(r.need)
			if !r.attempt.stopping && !r.attempt.over && !t.endsSoon(r, at) {
				soon = soon.Sub(r.need)
			}
		}
		for _, need := range h.strays {
			free = free.Sub(need)
		}
		hosts = append(hosts, allocation.Host{
			Name: h.name, Rack: h.minion.Rack, Service: h.minion.Service, Labels: collection.NewSet(h.minion.Labels...),
			Open: h.open(at), Doubtful: h.health.doubtful(), Capacity: h.minion.Capacity, Free: free, Soon: soon,
		})
	}
	slices.SortFunc(hosts, func(a, b allocation.Host) int { return cmp.Compare(a.Name, b.Name) })
	return hosts
}

// units returns what could be stopped.
func (t *term) units() []allocation.Unit {
	guaranteed := t.withinGuarantee()
	at := now()
	units := make([]allocation.Unit, 0, len(t.attempts))
	for _, a := range t.attempts {
		if a.stopping || a.over || t.endsSoon(a.runs[0], at) {
			continue
		}
		u := allocation.Unit{ID: a.id, Rank: allocation.RankOf(a.job.job.Priority, guaranteed.Has(a.job.job.ID)), Parts: make(map[string]workload.Resources)}
		for _, r := range a.runs {
			u.Parts[r.host.name] = u.Parts[r.host.name].Add(r.need)
			u.Loss += t.loss(r, at)
			u.Left = max(u.Left, r.expectedLeft(at))
		}
		units = append(units, u)
	}
	slices.SortFunc(units, func(a, b allocation.Unit) int { return cmp.Compare(a.ID, b.ID) })
	return units
}

// endsSoon reports whether a run is about to end by itself, no later than if it
// were stopped now.
func (t *term) endsSoon(r *run, at time.Duration) bool {
	left, known := r.timeLeft(at)
	return known && left < t.settings().TaskStopTime+endMargin
}

// loss returns the work in core seconds that a stop of a run throws away. A
// stop saves what makes checkpoints, so only the restart is lost.
func (t *term) loss(r *run, at time.Duration) float64 {
	lost := at - r.startedAt
	if r.attempt.job.job.Steps[r.task.Step].Checkpoints {
		lost = min(lost, t.settings().RestoreTime)
	}
	return r.need.Cores() * lost.Seconds()
}

// propose gives the waiting tasks of a step to hosts. They start once that is
// durable.
func (t *term) propose(w waitingStep, hosts []string) {
	j := w.job
	step := j.job.Steps[w.step]
	indices := w.indices[:len(hosts)]
	if step.Gang {
		a := t.newAttempt(j, w.step)
		t.proposeRuns(a, indices, hosts)
		return
	}
	for i := range indices {
		a := t.newAttempt(j, w.step)
		t.proposeRuns(a, indices[i:i+1], hosts[i:i+1])
	}
}

func (t *term) proposeRuns(a *attempt, indices []int, hosts []string) {
	j := a.job
	number := j.progress.NextRun(a.step, indices)
	if j.job.Steps[a.step].Gang {
		t.shareCheckpoint(j, a.step)
	}
	for i, index := range indices {
		h := t.hosts[hosts[i]]
		id := workload.TaskID{Job: j.job.ID, Step: a.step, Index: index}
		j.progress.Place(id, number, h.name, h.minion.Incarnation())
		t.addRun(a, id, number, h, h.minion.Incarnation())
	}
	_ = level.Info(t.logger).Log("event", "placed", "job", j.job.ID, "step", a.step, "tasks", len(indices), "run", number, "first-task", indices[0],
		"hosts", join(hosts), "age", time.Since(j.job.Submitted).Round(time.Millisecond), "slack", (time.Until(j.job.Due()) - t.remaining(j)).Round(time.Millisecond))
	t.figures.placements.Add(1)
	t.figures.waitTime.Record(time.Since(j.job.Submitted))
	t.settle(j)
	t.effects = append(t.effects, func() { t.launch(a) })
}

// shareCheckpoint gives all members of a gang the same checkpoint, because the
// value of any member holds for the whole gang.
func (t *term) shareCheckpoint(j *jobState, step int) {
	tasks := j.progress.Steps[step].Tasks
	newest := ""
	for _, task := range tasks {
		newest = max(newest, task.Checkpoint)
	}
	for i := range tasks {
		tasks[i].Checkpoint = newest
	}
}

func join(names []string) string {
	text := ""
	for i, n := range names {
		if i > 0 {
			text += ","
		}
		text += n
	}
	return text
}

// stallLimit returns how long a run of a step may stay at the same percentage.
func stallLimit(estimate time.Duration) time.Duration {
	return max(stallTime, stallSteps*estimate/100)
}

// checkProgress stops runs that stand still and saves what runs on minions that
// are about to leave.
func (t *term) checkProgress() {
	at := now()
	for _, a := range t.attempts {
		if a.stopping || a.over {
			continue
		}
		for _, r := range a.runs {
			if r.phase != running {
				continue
			}
			limit := stallLimit(a.job.job.Steps[a.step].Estimate)
			if r.host.contact > r.movedAt+limit && r.percent < 100 {
				r.host.health.failed(a.job.job.ID, false, at-r.startedAt, at)
				t.stop(a, "it makes no progress")
				break
			}
			leaving := r.host.minion.Draining && r.host.minion.Remaining-(at-r.host.contact) < leaveMargin
			if leaving && a.job.job.Steps[a.step].Checkpoints {
				t.stop(a, "the minion leaves")
				break
			}
		}
	}
}
