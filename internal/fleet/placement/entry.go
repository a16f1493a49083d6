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
	job      job.Job
	tenant   *tenant
	class    *class
	sequence uint64 // sequence is the order of arrival at the planner.
	rank     float64
	state    State
	member   worker.Resources // member is what the model sets aside for each member.
	runTime  time.Duration    // runTime is the declared run time corrected by the learned ratio.
	place    []*node          // place has one worker for each member; nil while the job waits.
	from     []*node          // from is the old place of a moving job; nil otherwise.
	unit     guarantee.UnitID // unit is the guaranteed shape that the job occupies; 0 when it is borrowed.
	entitled bool             // entitled is true while a place is sought for a guaranteed shape.
	started  time.Time
	avoid    []*node // avoid has the workers of attempts that failed to start; other places go first.
	reason   string
	putOff   bool // putOff jobs were the largest when the backlog was too long.
	demoted  bool // demoted jobs could not meet their deadline any more when they were next in turn.

	leaveBy time.Time // leaveBy is when a reclaimed job is stopped without a checkpoint.
	forced  bool      // forced is true after that stop was decided.
	stuck   bool      // stuck jobs were asked to leave a worker that is silent.

	urged       time.Time // urged is when others were first asked to leave for an urgent job.
	reclaimFrom time.Time // reclaimFrom is when the job may ask others to leave; zero for at once.
	retry       bool      // retry is set when that time has come and the job was not tried since.

	peak      worker.Resources // peak is the most that one member was seen to use.
	observed  time.Time        // observed is the time of the newest usage report.
	throttled bool
	resumed   bool // resumed jobs ran before; their last run says nothing about their run time.
}

// workers returns the names of the place.
func (e *entry) workers() []string { return names(e.place) }

func names(place []*node) []string {
	list := make([]string, 0, len(place))
	for _, n := range place {
		list = append(list, n.worker.Name)
	}
	return list
}

// placed reports whether the job uses its place.
func (e *entry) placed() bool { return e.state >= Starting }

// isLeaving reports whether the room of the job is expected to become free.
func (e *entry) isLeaving() bool { return e.state == Reclaiming && !e.stuck }

// total returns what all members use.
func (e *entry) total() worker.Resources {
	return times(e.member, len(e.place)+len(e.from))
}

// expectedEnd is when the job is expected to end. A job that has outrun its
// expected time is expected to go on for a tenth of it.
func (e *entry) expectedEnd(now time.Time) time.Time {
	end := e.started.Add(e.runTime)
	if end.Before(now) {
		return now.Add(e.runTime / 10)
	}
	return end
}

func times(r worker.Resources, n int) worker.Resources {
	return worker.Resources{Cores: r.Cores * float64(n), Memory: r.Memory * int64(n), Accelerators: r.Accelerators * n}
}

// class groups jobs that need the same place, so that one failed search speaks
// for all of them.
type class struct {
	waiting int           // waiting counts the jobs of the class that wait.
	open    bool          // open classes have jobs that may fit in this round.
	least   time.Duration // least run time of the jobs that have waited.
	round   uint64        // round in which the last search failed.
	runTime time.Duration // runTime of that search; a shorter job may still fit before a reservation.
}

type classKey struct {
	shape  organisation.Shape
	member worker.Resources
}

// tenant is one organisation in the planner.
type tenant struct {
	name    string
	share   int
	limit   int              // limit bounds the accelerators in use; 0 when there is none.
	queue   []*entry         // queue of waiting jobs by rank.
	fresh   []*entry         // fresh jobs have arrived since the last call of Decide.
	active  []*entry         // active jobs have or hold a place, in order of arrival.
	used    worker.Resources // used by active jobs.
	urgent  bool             // urgent allows urgent jobs.
	changed bool             // changed since the last attempt to use the guarantees.
	retry   bool             // retry the guarantees when there is more room.
}

func compareEntries(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.sequence, b.sequence))
}

// enqueue adds a waiting job.
func (t *tenant) enqueue(e *entry) {
	at, _ := slices.BinarySearchFunc(t.queue, e, compareEntries)
	t.queue = slices.Insert(t.queue, at, e)
	t.fresh = append(t.fresh, e)
	t.changed = true
}

// dequeue removes a waiting job.
func (t *tenant) dequeue(e *entry) {
	if at, found := slices.BinarySearchFunc(t.queue, e, compareEntries); found {
		t.queue = slices.Delete(t.queue, at, at+1)
	}
	t.fresh = slices.DeleteFunc(t.fresh, func(o *entry) bool { return o == e })
}

// load is the larger of the shares of accelerators and cores in use, divided by
// the weight of the organisation.
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

// permits reports whether the limit of the plan leaves room for the job.
func (t *tenant) permits(e *entry) bool {
	return t.limit == 0 || t.used.Accelerators+e.job.Shape.Total() <= t.limit
}
