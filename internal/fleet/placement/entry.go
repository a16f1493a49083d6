package placement

import (
	"cmp"
	"slices"
	"time"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/guarantee"
	"wasabihoist/internal/tenancy/organisation"
)

// entry is one job in the planner.
type entry struct {
	job              job.Job
	tenant           *tenant
	class            *class
	sequence         uint64  // sequence is the order of arrival at the planner.
	rank             float64 // rank orders the queue of the organisation; see jobOrder.rank.
	state            State
	member           worker.Resources // member is the resources that are allocated for each member.
	runTime          time.Duration    // runTime is the declared run time corrected by the learned ratio.
	placement        []*node          // placement has one worker for each member; nil while the job waits.
	oldPlacement     []*node          // oldPlacement of a moving job; nil otherwise.
	unit             guarantee.UnitID // unit is the guaranteed shape that the job occupies; 0 for a borrowed or waiting job.
	seekingGuarantee bool             // seekingGuarantee is true during the search of a placement for a guaranteed shape.
	started          time.Time        // started is the time of the start decision, then of the reported start; a move adds Options.MoveCost.
	avoid            []*node          // avoid has the workers of attempts that failed to start; they are used only when nothing else fits.
	reason           string           // reason of the last failed attempt or of a reclaim; empty when there is none.
	deferred         bool             // deferred jobs were among the largest when the backlog exceeded its limit.
	demoted          bool             // demoted jobs could no longer meet their deadline and rank as if they had none.

	reclaimDeadline time.Time // reclaimDeadline is when a reclaimed job is stopped without a checkpoint.
	stopForced      bool      // stopForced is true once the stop without a checkpoint was decided.
	reclaimBlocked  bool      // reclaimBlocked jobs are being reclaimed and have a member on a silent worker.

	firstUrgentReclaim time.Time // firstUrgentReclaim is the time of the first reclaim for this urgent job.
	reclaimNotBefore   time.Time // reclaimNotBefore is when the job may first reclaim others; zero for at once.
	retryReclaim       bool      // retryReclaim is set at reclaimNotBefore, so that the urgent job is tried again without more room.

	peak            worker.Resources // peak is the highest observed usage of one member, for each resource separately.
	lastUsageReport time.Time        // lastUsageReport is the time of the newest usage report.
	throttled       bool             // throttled is true once a Throttle was decided for the job.
	resumed         bool             // resumed jobs ran before; the length of their last run does not show their run time.
}

// workerNames returns the worker of each member.
func (e *entry) workerNames() []string { return workerNamesOf(e.placement) }

func workerNamesOf(placement []*node) []string {
	list := make([]string, 0, len(placement))
	for _, n := range placement {
		list = append(list, n.worker.Name)
	}
	return list
}

// occupiesPlacement reports whether tasks of the job may use its placement.
func (e *entry) occupiesPlacement() bool { return e.state >= Starting }

// isReleasing reports whether the resources of the job are expected to become free.
func (e *entry) isReleasing() bool { return e.state == Reclaiming && !e.reclaimBlocked }

// totalResources returns the resources of all members, at the old placement too.
func (e *entry) totalResources() worker.Resources {
	return multiply(e.member, len(e.placement)+len(e.oldPlacement))
}

// expectedEnd is when the job is expected to end. A job that has exceeded its
// expected run time is expected to need another tenth of it.
func (e *entry) expectedEnd(now time.Time) time.Time {
	end := e.started.Add(e.runTime)
	if end.Before(now) {
		return now.Add(e.runTime / 10)
	}
	return end
}

func multiply(r worker.Resources, n int) worker.Resources {
	return worker.Resources{Cores: r.Cores * float64(n), Memory: r.Memory * int64(n), Accelerators: r.Accelerators * n}
}

// class groups waiting jobs with equal requirements, so that one failed search
// holds for all of them.
type class struct {
	waiting          int           // waiting counts the waiting jobs of the class.
	mayFit           bool          // mayFit is true while a job of the class may fit in this call of Decide.
	minRunTime       time.Duration // minRunTime is the lowest run time of the jobs that have been in the class.
	failedGeneration uint64        // failedGeneration is the search generation in which the last search failed; 0 when none has.
	failedRunTime    time.Duration // failedRunTime is the run time in that search; a shorter job may still fit before a reservation.
}

type classKey struct {
	shape  organisation.Shape
	member worker.Resources
}

// tenant is the scheduling state of one organisation.
type tenant struct {
	name          string
	share         int
	limit         int              // limit of the accelerators in use; 0 when there is none.
	queue         []*entry         // queue of waiting jobs, sorted by rank.
	arrived       []*entry         // arrived since newTurns last listed the jobs to try.
	active        []*entry         // active jobs have a placement, in order of assignment.
	used          worker.Resources // used by active jobs, in state Holding too.
	allowsUrgent  bool             // allowsUrgent is true when the plan allows urgent jobs.
	guaranteesDue bool             // guaranteesDue requests an attempt to start guaranteed jobs in the next call of Decide.
	retryOnGain   bool             // retryOnGain requests such an attempt once there is more room.
}

func compareEntries(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.sequence, b.sequence))
}

// enqueue adds a waiting job.
func (t *tenant) enqueue(e *entry) {
	at, _ := slices.BinarySearchFunc(t.queue, e, compareEntries)
	t.queue = slices.Insert(t.queue, at, e)
	t.arrived = append(t.arrived, e)
	t.guaranteesDue = true
}

// dequeue removes a waiting job.
func (t *tenant) dequeue(e *entry) {
	if at, found := slices.BinarySearchFunc(t.queue, e, compareEntries); found {
		t.queue = slices.Delete(t.queue, at, at+1)
	}
	t.arrived = slices.DeleteFunc(t.arrived, func(o *entry) bool { return o == e })
}

// load is the dominant share of the organisation, that is the larger of its
// shares of all accelerators and of all cores, divided by its share in the plan.
func (t *tenant) load(capacity worker.Resources) float64 {
	load := 0.0
	if capacity.Accelerators > 0 {
		load = float64(t.used.Accelerators) / float64(capacity.Accelerators)
	}
	if capacity.Cores > 0 {
		load = max(load, t.used.Cores/capacity.Cores)
	}
	return load / float64(max(t.share, 1))
}

// permits reports whether the job stays within the accelerator limit of the plan.
func (t *tenant) permits(e *entry) bool {
	return t.limit == 0 || t.used.Accelerators+e.job.Shape.Total() <= t.limit
}
