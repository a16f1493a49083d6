package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/lateness"
	"wasabihoist/internal/fleet/workload"
)

// workSizes holds the mean size of the jobs of each queue that a term has adopted. A new
// term begins with the jobs that have not ended. It ends with the term.
type workSizes map[string]*meanSize

// meanSize is a mean of the sizes of jobs, in core seconds.
type meanSize struct {
	sum   float64
	count int
}

// add counts a job.
func (w workSizes) add(j workload.Job) {
	m := w[j.Queue]
	if m == nil {
		m = &meanSize{}
		w[j.Queue] = m
	}
	m.sum += j.Work()
	m.count++
}

// mean returns the mean size of the jobs of a queue, 0 if there are none.
func (w workSizes) mean(queue string) float64 {
	if m := w[queue]; m != nil {
		return m.sum / float64(m.count)
	}
	return 0
}

// work returns what the caller of an occurrence waits for. Its due time follows the time
// that its steps are seen to take, because the objective is a multiple of the real run
// time; the estimate stands for that until runs show it.
func (t *term) work(j *jobState, occurrence int, at time.Time) lateness.Work {
	begin := j.begin(occurrence)
	excess := j.job.Stretch * float64(t.excessTime(j, occurrence))
	objective := max(0, j.job.Due(occurrence).Sub(begin)+time.Duration(min(excess, float64(workload.MaxEstimate))))
	due := begin.Add(objective)
	return lateness.Work{
		Class: lateness.ClassOf(j.job.Priority), Size: j.job.Work(), MeanSize: t.workSizes.mean(j.job.Queue),
		Due: due.Sub(at), Limit: begin.Add(worthlessFactor * objective).Sub(at),
	}
}

// begin returns the time from which the caller waits for an occurrence.
func (j *jobState) begin(occurrence int) time.Time {
	if start := j.job.EarliestStart(occurrence); start.After(j.job.Submitted) {
		return start
	}
	return j.job.Submitted
}

// excessTime returns by how much the steps of an occurrence are seen to take longer than
// estimated, negative if they take less time. The fastest run of a step tells, because
// the others may be on slow hosts.
func (t *term) excessTime(j *jobState, occurrence int) time.Duration {
	var sum time.Duration
	first := occurrence * len(j.job.Steps)
	for s := first; s < first+len(j.job.Steps); s++ {
		if measured := j.measured[s]; measured > 0 {
			sum += measured - j.job.Step(s).Estimate
		}
	}
	return sum
}

// measure records how long the steps of running attempts take by their progress. A
// measurement ends with its job; until the first one the estimate stands.
func (t *term) measure() {
	for _, a := range t.attempts {
		for _, r := range a.runs {
			if r.measuredAt == r.progressedAt {
				continue
			}
			r.measuredAt = r.progressedAt
			if total, known := r.fullTime(); known {
				if old := a.job.measured[a.step]; old == 0 || total < old {
					if a.job.measured == nil {
						a.job.measured = make(map[int]time.Duration)
					}
					a.job.measured[a.step] = total
				}
			}
		}
	}
}

// fullTime returns how long a run would take from its begin at the pace that its progress
// shows. It reports false until the run has advanced by minEstimatePercent.
func (r *run) fullTime() (time.Duration, bool) {
	if r.phase != running || r.percent-r.firstPercent < minEstimatePercent {
		return 0, false
	}
	return 100 * (r.progressedAt - r.startedAt) / time.Duration(r.percent-r.firstPercent), true
}

// orderByWorth sorts occurrences that are not urgent in the order in which they are served,
// within each rank and service; see lateness.Order.
func (t *term) orderByWorth(list []occurrence, rankOf func(*jobState) allocation.Rank, at time.Time) {
	groups := make(map[competition][]int)
	for i, o := range list {
		// Urgent work preempts other work instead of waiting for it. Among itself it waits
		// for less time than its estimates are off.
		if rank := rankOf(o.job); !o.job.job.HasLongRunning() && rank > allocation.Urgent {
			key := competition{rank, t.serviceOf(o.job)}
			groups[key] = append(groups[key], i)
		}
	}
	if len(groups) == 0 {
		return
	}
	loads := t.serviceLoads(rankOf)
	position := make([]int, len(list)) // The others stay first.
	for key, indices := range groups {
		capacity := t.roomOf(key.service).capacity
		candidates := make([]lateness.Candidate, len(indices))
		for n, i := range indices {
			candidates[n] = t.candidate(list[i], capacity, at)
		}
		service := lateness.Order(candidates, loads[key.service].loadOf(key.rank))
		t.reportOverload(key, service)
		for place, n := range service.Order {
			position[indices[n]] = place + 1
		}
	}
	places := make(map[occurrence]int, len(list))
	for i, o := range list {
		places[o] = position[i]
	}
	slices.SortStableFunc(list, func(a, b occurrence) int { return cmp.Compare(places[a], places[b]) })
}

// competition is the waiting work of a rank that competes for the room of a service.
type competition struct {
	rank    allocation.Rank
	service string
}

// overloadReportInterval is the least time between two reports of a competition.
const overloadReportInterval = time.Second

// overload is what was last reported of a competition.
type overload struct {
	givesWay bool // givesWay is set while some work gives way.
	at       time.Duration
}

// reportOverload logs when work of a competition begins to give way to other work of its
// rank, and when none does any more.
func (t *term) reportOverload(c competition, service lateness.Service) {
	givesWay := service.Late+service.Worthless > 0
	former, at := t.overloads[c], now()
	if givesWay == former.givesWay || former.at > 0 && at-former.at < overloadReportInterval {
		return
	}
	t.overloads[c] = overload{givesWay, at}
	if givesWay {
		t.metrics.overloads.Add(1)
	}
	_ = level.Info(t.logger).Log("event", "overload", "service", c.service, "rank", c.rank, "waiting", len(service.Order),
		"overdue", service.Overdue, "late", service.Late, "worthless", service.Worthless)
}

// endOverloads notes that nothing gives way, because nothing waits.
func (t *term) endOverloads() {
	for c := range t.overloads {
		t.reportOverload(c, lateness.Service{})
	}
}

// candidate returns an occurrence as it competes for the room of its service.
func (t *term) candidate(o occurrence, capacity workload.Resources, at time.Time) lateness.Candidate {
	j := o.job
	return lateness.Candidate{
		Work: t.work(j, o.number, at), Organisation: j.job.Organisation, Need: t.remainingTime(j, o.number),
		Room: o.room(capacity), Waited: at.Sub(j.begin(o.number)),
	}
}

// room returns for how long the waiting tasks of an occurrence would take all of a capacity.
func (o occurrence) room(capacity workload.Resources) time.Duration {
	j := o.job
	var room time.Duration
	for s := o.firstStep(); s < o.firstStep()+len(j.job.Steps); s++ {
		waiting := 0
		tasks := j.progress.Steps[s].Tasks
		for i := range tasks {
			if tasks[i].Phase == workload.Waiting {
				waiting++
			}
		}
		room += time.Duration(float64(waiting) * share(j.job.Step(s).ReservedResources(), capacity) * float64(j.job.Step(s).Estimate))
	}
	return min(room, maxRoom)
}

// maxRoom bounds the room of a job, so that the sum over all jobs doesn't overflow.
const maxRoom = 7 * 24 * time.Hour

// serviceLoad is the work of a service by rank, as the time for which it would take all
// of the room.
type serviceLoad struct {
	running time.Duration
	overdue map[allocation.Rank]time.Duration // overdue is the part of running that was overdue when it started.
	waiting map[allocation.Rank]time.Duration
}

// loadOf returns the running work of a service, and the waiting work that is more urgent
// than a rank.
func (s serviceLoad) loadOf(rank allocation.Rank) lateness.Load {
	load := lateness.Load{Taken: s.running, Overdue: s.overdue[rank]}
	for other, room := range s.waiting {
		if other < rank {
			load.Taken += room
		}
	}
	return load
}

// serviceLoads returns the loads of the services.
func (t *term) serviceLoads(rankOf func(*jobState) allocation.Rank) map[string]*serviceLoad {
	loads := make(map[string]*serviceLoad)
	of := func(j *jobState) (string, *serviceLoad) {
		service := t.serviceOf(j)
		if loads[service] == nil {
			loads[service] = &serviceLoad{overdue: make(map[allocation.Rank]time.Duration), waiting: make(map[allocation.Rank]time.Duration)}
		}
		return service, loads[service]
	}
	at, wall := now(), time.Now()
	for _, a := range t.attempts {
		if a.definition().LongRunning {
			continue
		}
		service, load := of(a.job)
		for _, r := range a.runs {
			taken := time.Duration(share(r.need, t.roomOf(service).capacity) * float64(r.expectedTimeLeft(at, a.definition().Estimate)))
			load.running += taken
			if a.overdue {
				load.overdue[rankOf(a.job)] += taken
			}
		}
	}
	for _, j := range t.jobs {
		service, load := of(j)
		for _, number := range j.activeOccurrences(wall) {
			load.waiting[rankOf(j)] += occurrence{job: j, number: number}.room(t.roomOf(service).capacity)
		}
	}
	return loads
}

// share returns the largest share of a capacity that a need takes of any resource.
func share(need, capacity workload.Resources) float64 {
	largest := 0.0
	if need.MilliCores > 0 {
		largest = float64(need.MilliCores) / float64(max(1, capacity.MilliCores))
	}
	if need.MemoryMB > 0 {
		largest = max(largest, float64(need.MemoryMB)/float64(max(1, capacity.MemoryMB)))
	}
	if need.Accelerators > 0 {
		largest = max(largest, float64(need.Accelerators)/float64(max(1, capacity.Accelerators)))
	}
	return min(1, largest)
}
