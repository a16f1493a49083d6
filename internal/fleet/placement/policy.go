package placement

import (
	"fmt"
	"time"

	"wasabihoist/internal/fleet/worker"
)

// Policy determines the order of jobs and their placement.
type Policy interface {
	// String returns the name used in settings and reports.
	String() string
	jobOrder
	fit
}

// jobOrder determines which job is tried first.
type jobOrder interface {
	// rank orders the jobs of one organisation; the lowest is first. It is a time
	// in seconds since the Unix epoch. It is computed when the job arrives, and again
	// when the job is deferred or demoted.
	rank(e *entry, o *Options) float64
	// adjustsRanks reports whether ranks change while jobs wait: a job that can no
	// longer meet its deadline ranks as if it had none, and the largest jobs are
	// deferred while the backlog is long.
	adjustsRanks() bool
	// turnKey orders the organisations by their next job; the lowest is first.
	turnKey(head *entry, capacity worker.Resources, o *Options) float64
}

// fit compares placements.
type fit interface {
	// takesFirstFit reports whether the search stops at the first placement
	// that fits.
	takesFirstFit() bool
	// cost compares placements; the lowest is used.
	cost(c candidate, o *Options) float64
	// movesJobs reports whether running jobs are moved to reduce fragmentation.
	movesJobs() bool
}

// candidate is a worker that could run members, or a rack that could run a gang.
type candidate struct {
	required int // required is the number of accelerators that the job would use there.
	capacity int // capacity is the number of accelerators of the worker; 0 for a rack.
	free     int // free accelerators of the worker or rack before the job starts.
	rackFree int // rackFree is the number of free accelerators of the rack before the job starts.
}

// Composed is a policy made of a job order and a fit.
type Composed[O jobOrder, F fit] struct {
	jobOrder O
	fit      F
}

// The four policies. Their zero values are ready to use.
type (
	// FirstFit uses the order of submission and the first placement that fits.
	FirstFit = Composed[bySubmission, firstPlacement]
	// BestFit uses the order of submission and the placement that leaves the
	// fewest free accelerators.
	BestFit = Composed[bySubmission, leastFreeAfter]
	// CompletionFirst starts the job with the earliest latest start time
	// first, and reduces fragmentation so that gangs wait less.
	CompletionFirst = Composed[byLatestStart, leastFragmenting]
	// FragmentationFirst uses the order of submission and reduces fragmentation.
	FragmentationFirst = Composed[bySubmission, leastFragmenting]
)

// Policies returns all policies in a fixed order.
func Policies() []Policy {
	return []Policy{FirstFit{}, BestFit{}, CompletionFirst{}, FragmentationFirst{}}
}

// ParsePolicy returns the policy with the given name. The error of an unknown
// name lists the valid ones.
func ParsePolicy(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.String() == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("unknown policy %q: want first-fit, best-fit, completion-first or fragmentation-first", name)
}

// String returns the name used in settings and reports.
func (c Composed[O, F]) String() string {
	switch any(c).(type) {
	case FirstFit:
		return "first-fit"
	case BestFit:
		return "best-fit"
	case CompletionFirst:
		return "completion-first"
	case FragmentationFirst:
		return "fragmentation-first"
	}
	return fmt.Sprintf("%T", c)
}

func (c Composed[O, F]) rank(e *entry, o *Options) float64 { return c.jobOrder.rank(e, o) }

func (c Composed[O, F]) adjustsRanks() bool { return c.jobOrder.adjustsRanks() }

func (c Composed[O, F]) turnKey(head *entry, capacity worker.Resources, o *Options) float64 {
	return c.jobOrder.turnKey(head, capacity, o)
}

func (c Composed[O, F]) takesFirstFit() bool                  { return c.fit.takesFirstFit() }
func (c Composed[O, F]) cost(x candidate, o *Options) float64 { return c.fit.cost(x, o) }
func (c Composed[O, F]) movesJobs() bool                      { return c.fit.movesJobs() }

// bySubmission orders jobs by submission and organisations by their load.
type bySubmission struct{}

func (bySubmission) rank(e *entry, _ *Options) float64 { return seconds(e.job.Submitted) }

func (bySubmission) adjustsRanks() bool { return false }

func (bySubmission) turnKey(head *entry, capacity worker.Resources, _ *Options) float64 {
	return head.tenant.load(capacity)
}

// byLatestStart orders jobs by the latest time at which they must start to
// meet their deadline. The load of the organisation counts as a delay.
type byLatestStart struct{}

func (byLatestStart) rank(e *entry, o *Options) float64 {
	if e.deferred {
		return seconds(e.job.Submitted.Add(deferralDelay))
	}
	patience := time.Duration(o.Weights.Patience * float64(e.runTime))
	latestStart := e.job.Submitted.Add(patience)
	if !e.job.Deadline.IsZero() && !e.demoted {
		latestStart = e.job.Deadline.Add(-e.runTime)
	}
	return seconds(latestStart)
}

func (byLatestStart) adjustsRanks() bool { return true }

func (byLatestStart) turnKey(head *entry, capacity worker.Resources, o *Options) float64 {
	return head.rank + o.Weights.Fairness*head.tenant.load(capacity)
}

func seconds(t time.Time) float64 { return float64(t.UnixMilli()) / 1e3 }

// firstPlacement uses the first placement that fits.
type firstPlacement struct{}

func (firstPlacement) takesFirstFit() bool              { return true }
func (firstPlacement) cost(candidate, *Options) float64 { return 0 }
func (firstPlacement) movesJobs() bool                  { return false }

// leastFreeAfter leaves the fewest accelerators free on the worker, then in
// the rack.
type leastFreeAfter struct{}

func (leastFreeAfter) takesFirstFit() bool { return false }

func (leastFreeAfter) cost(c candidate, _ *Options) float64 {
	// rackWeight is so small that the rack decides only between workers with the
	// same number of free accelerators.
	const rackWeight = 1.0 / 1024
	return float64(c.free-c.required) + rackWeight*float64(c.rackFree-c.required)
}

func (leastFreeAfter) movesJobs() bool { return false }

// leastFragmenting prefers racks with few free accelerators, so that the other
// racks can still run large gangs. It keeps jobs without accelerators away
// from workers whose accelerators would be left without cores.
type leastFragmenting struct{}

func (leastFragmenting) takesFirstFit() bool { return false }

func (leastFragmenting) cost(c candidate, o *Options) float64 {
	w := o.Weights
	cost := w.Rack*float64(c.rackFree) + w.Worker*float64(c.free-c.required)
	if c.required == 0 {
		cost += w.Core * float64(c.capacity)
	}
	return cost
}

func (leastFragmenting) movesJobs() bool { return true }
