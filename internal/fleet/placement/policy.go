package placement

import (
	"fmt"
	"time"

	"wasabihoist/internal/fleet/worker"
)

// Policy says which job goes first and where it goes.
type Policy interface {
	// String returns the name used in settings and reports.
	String() string
	order
	fit
}

// order says which job goes first.
type order interface {
	// rank orders the jobs of one organisation; the lowest goes first. It is
	// taken once, when the job arrives.
	rank(e *entry, o *Options) float64
	// demotes reports whether a job that can no longer meet its deadline gives
	// way to others, as if it had none, and whether the largest jobs give way
	// while the backlog is long.
	demotes() bool
	// turn orders the organisations by their next job; the lowest goes first.
	turn(head *entry, capacity worker.Resources, o *Options) float64
}

// fit says where a job goes.
type fit interface {
	// first reports whether the first place that fits is taken.
	first() bool
	// cost compares places; the lowest is taken.
	cost(c candidate, o *Options) float64
	// moves reports whether running jobs are moved to join free accelerators.
	moves() bool
}

// candidate is a worker that could take a member, or a rack that could take a
// gang.
type candidate struct {
	takes    int // takes is the number of accelerators that the job would use there.
	capacity int // capacity is the number of accelerators of the worker; 0 for a rack.
	free     int // free accelerators of the worker or rack before the job starts.
	rackFree int // rackFree is the number of free accelerators of the rack before the job starts.
}

// Composed is a policy made of an order and a fit.
type Composed[O order, F fit] struct {
	order O
	fit   F
}

// The four policies. Their zero values are ready to use.
type (
	// FirstFit takes jobs in order of submission and the first place that fits.
	FirstFit = Composed[inTurn, takeFirst]
	// BestFit takes jobs in order of submission and the tightest place that fits.
	BestFit = Composed[inTurn, tightest]
	// CompletionFirst takes the jobs first that would be late first, and keeps free
	// accelerators together so that gangs need not wait long.
	CompletionFirst = Composed[byLateness, joined]
	// FragmentationFirst keeps free accelerators together.
	FragmentationFirst = Composed[inTurn, joined]
)

// Policies returns all policies in the order of the design page.
func Policies() []Policy {
	return []Policy{FirstFit{}, BestFit{}, CompletionFirst{}, FragmentationFirst{}}
}

// ParsePolicy converts a name used in settings.
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

func (c Composed[O, F]) rank(e *entry, o *Options) float64 { return c.order.rank(e, o) }

func (c Composed[O, F]) demotes() bool { return c.order.demotes() }

func (c Composed[O, F]) turn(head *entry, capacity worker.Resources, o *Options) float64 {
	return c.order.turn(head, capacity, o)
}

func (c Composed[O, F]) first() bool                          { return c.fit.first() }
func (c Composed[O, F]) cost(x candidate, o *Options) float64 { return c.fit.cost(x, o) }
func (c Composed[O, F]) moves() bool                          { return c.fit.moves() }

// inTurn takes jobs in order of submission and organisations by what they use.
type inTurn struct{}

func (inTurn) rank(e *entry, _ *Options) float64 { return seconds(e.job.Submitted) }

func (inTurn) demotes() bool { return false }

func (inTurn) turn(head *entry, capacity worker.Resources, _ *Options) float64 {
	return head.tenant.load(capacity)
}

// byLateness takes the job first that must start first to be in time. What an
// organisation uses counts as a delay.
type byLateness struct{}

func (byLateness) rank(e *entry, o *Options) float64 {
	if e.putOff {
		return seconds(e.job.Submitted.Add(putOffDelay))
	}
	patience := time.Duration(o.Weights.Patience * float64(e.runTime))
	due := e.job.Submitted.Add(patience)
	if !e.job.Deadline.IsZero() && !e.demoted {
		due = e.job.Deadline.Add(-e.runTime)
	}
	return seconds(due)
}

func (byLateness) demotes() bool { return true }

func (byLateness) turn(head *entry, capacity worker.Resources, o *Options) float64 {
	return head.rank + o.Weights.Fairness*head.tenant.load(capacity)
}

func seconds(t time.Time) float64 { return float64(t.UnixMilli()) / 1e3 }

// takeFirst takes the first place.
type takeFirst struct{}

func (takeFirst) first() bool                      { return true }
func (takeFirst) cost(candidate, *Options) float64 { return 0 }
func (takeFirst) moves() bool                      { return false }

// tightest leaves the fewest accelerators free on the worker, then in the rack.
type tightest struct{}

func (tightest) first() bool { return false }

func (tightest) cost(c candidate, _ *Options) float64 {
	const rackWeight = 1.0 / 1024
	return float64(c.free-c.takes) + rackWeight*float64(c.rackFree-c.takes)
}

func (tightest) moves() bool { return false }

// joined takes racks that have few free accelerators, so that the others can
// still take large gangs. Work without accelerators stays away from workers
// whose accelerators it would leave without cores.
type joined struct{}

func (joined) first() bool { return false }

func (joined) cost(c candidate, o *Options) float64 {
	w := o.Weights
	cost := w.Rack*float64(c.rackFree) + w.Worker*float64(c.free-c.takes)
	if c.takes == 0 {
		cost += w.Core * float64(c.capacity)
	}
	return cost
}

func (joined) moves() bool { return true }
