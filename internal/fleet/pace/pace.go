// Package pace estimates how fast hosts work compared with each other, from the rates
// at which they run tasks of the same step. It has no input or output.
//
// It answers a fleet whose hosts differ in speed although they declare the same
// capacity, and hosts that turn slow for a while.
package pace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"wasabihoist/internal/fleet/workload"
)

// Class is the pace of a host compared with the typical host. A host of which nothing
// is known counts as Typical.
type Class int

// The classes, from the slowest to the fastest.
const (
	Slow    Class = -1
	Typical Class = 0
	Fast    Class = 1
)

// String returns the name used in logs.
func (c Class) String() string {
	switch c {
	case Slow:
		return "slow"
	case Fast:
		return "fast"
	case Typical:
	}
	return "typical"
}

const (
	// halfLife is the time after which an observation weighs half. Once it is not
	// renewed, the pace of a host fades towards the typical one.
	halfLife = 10 * time.Second
	// retention is the age at which an observation is dropped.
	retention = 4 * halfLife
	// maxObservations bounds the observations of a host; the oldest go first.
	maxObservations = 16
	// minRuns and minHosts are the least numbers of runs and hosts from which the rate
	// of a step is taken.
	minRuns  = 4
	minHosts = 2
	// priorWeight is the weight of the assumption that a host is typical, in fresh
	// observations of tasks that are no gang. Those differ in length, so a single one
	// proves little.
	priorWeight = 2.0
	// gangWeight is the weight of a member of a gang. All members do the same amount of
	// work, so their rates differ by the paces of their hosts only.
	gangWeight = 6.0
	// classRatio is how many times slower or faster than the typical host a host has to
	// be to leave the class Typical.
	classRatio = 1.12
	// keepShare is the share of classRatio down to which a host stays slow or fast, so
	// that a host at the limit does not change its class all the time.
	keepShare = 0.95
	// rounds is how often the rates of steps and the paces of hosts are corrected by each other.
	rounds = 3
)

// step identifies the runs that are compared.
type step struct {
	job   workload.ID
	index int
}

// Run identifies a run of a task.
type Run struct {
	Task   workload.TaskID
	Number int
	Gang   bool // Gang is set for a member of a gang.
}

// weight returns the weight of a fresh observation of the run.
func (r Run) weight() float64 {
	if r.Gang {
		return gangWeight
	}
	return 1
}

// Tracker holds the observations of one fleet. It is not safe for concurrent use.
type Tracker struct {
	hosts map[string]*record
}

// record holds what is known of a host.
type record struct {
	incarnation  string        // incarnation is the one that was observed; another one starts as unknown.
	observations []observation // observations holds at most one of each run, the oldest first.
	logPace      float64       // logPace is the logarithm of the pace; 0 is typical.
	class        Class         // class follows logPace; it ends with the incarnation, or once its observations have faded.
}

// observation is the rate of one run.
type observation struct {
	run     Run
	logRate float64 // logRate is the logarithm of the rate in runs per second.
	at      time.Duration
}

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker { return &Tracker{hosts: make(map[string]*record)} }

// Observe records at which rate, in runs per second, a run advances or has advanced on
// an incarnation of a host. It replaces what was recorded of the run before. Rates that
// are not positive numbers are ignored.
func (t *Tracker) Observe(host, incarnation string, run Run, rate float64, at time.Duration) {
	if !(rate > 0) || math.IsInf(rate, 1) {
		return
	}
	r := t.hosts[host]
	if r == nil || r.incarnation != incarnation {
		r = &record{incarnation: incarnation}
		t.hosts[host] = r
	}
	r.observations = slices.DeleteFunc(r.observations, func(o observation) bool { return o.run == run })
	if excess := len(r.observations) + 1 - maxObservations; excess > 0 {
		r.observations = slices.Delete(r.observations, 0, excess)
	}
	r.observations = append(r.observations, observation{run, math.Log(rate), at})
}

// Of returns the pace of an incarnation of a host, 1 being typical, and its class.
func (t *Tracker) Of(host, incarnation string) (float64, Class) {
	if r := t.hosts[host]; r != nil && r.incarnation == incarnation {
		return math.Exp(r.logPace), r.class
	}
	return 1, Typical
}

// ClassOf returns the class of an incarnation of a host.
func (t *Tracker) ClassOf(host, incarnation string) Class {
	if r := t.hosts[host]; r != nil && r.incarnation == incarnation {
		return r.class
	}
	return Typical
}

// Change is a host whose class has changed.
type Change struct {
	Host         string
	Pace         float64 // Pace is relative to the typical host.
	From, To     Class
	Observations int
}

// Update estimates the paces from the observations at a time, and returns the hosts
// whose class has changed, sorted by name.
func (t *Tracker) Update(at time.Duration) []Change {
	names := slices.Sorted(maps.Keys(t.hosts))
	steps := make(map[step][]weighted)
	for _, name := range names {
		r := t.hosts[name]
		r.observations = slices.DeleteFunc(r.observations, func(o observation) bool { return at-o.at > retention })
		for _, o := range r.observations {
			s := step{o.run.Task.Job, o.run.Task.Step}
			steps[s] = append(steps[s], weighted{r, o.logRate, o.run.weight() * math.Exp2(-(at-o.at).Seconds()/halfLife.Seconds())})
		}
	}
	maps.DeleteFunc(steps, func(_ step, runs []weighted) bool { return !enough(runs) })
	for range rounds {
		t.estimate(names, steps)
	}
	var changes []Change
	for _, name := range names {
		r := t.hosts[name]
		if class := classOf(r.logPace, r.class); class != r.class {
			changes = append(changes, Change{name, math.Exp(r.logPace), r.class, class, len(r.observations)})
			r.class = class
		}
		if len(r.observations) == 0 {
			delete(t.hosts, name)
		}
	}
	return changes
}

// weighted is an observation with its weight.
type weighted struct {
	host   *record
	value  float64
	weight float64
}

// enough reports whether the runs of a step are enough to compare their hosts.
func enough(runs []weighted) bool {
	hosts := make(map[*record]bool)
	for _, r := range runs {
		hosts[r.host] = true
	}
	return len(runs) >= minRuns && len(hosts) >= minHosts
}

// estimate corrects the pace of each host by the rates of the steps, each of which is
// the median rate of its runs at a typical pace.
func (t *Tracker) estimate(names []string, steps map[step][]weighted) {
	byHost := make(map[*record][]weighted, len(names))
	for _, runs := range steps {
		atTypicalPace := make([]weighted, len(runs))
		for i, r := range runs {
			atTypicalPace[i] = weighted{r.host, r.value - r.host.logPace, r.weight}
		}
		rate, _ := median(atTypicalPace)
		for _, r := range runs {
			byHost[r.host] = append(byHost[r.host], weighted{r.host, r.value - rate, r.weight})
		}
	}
	var paces []weighted
	for _, name := range names {
		r := t.hosts[name]
		middle, weight := median(byHost[r])
		r.logPace = middle * weight / (weight + priorWeight)
		if weight > 0 {
			paces = append(paces, weighted{r, r.logPace, 1})
		}
	}
	typical, _ := median(paces)
	for _, p := range paces {
		p.host.logPace -= typical
	}
}

// median returns the weighted median of values and the sum of their weights. It returns
// 0 if there are none.
func median(values []weighted) (middle, sum float64) {
	slices.SortFunc(values, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.weight, b.weight))
	})
	for _, v := range values {
		sum += v.weight
	}
	below := 0.0
	for _, v := range values {
		if below += v.weight; 2*below >= sum {
			return v.value, sum
		}
	}
	return 0, sum
}

// classOf returns the class of a host that was in a former class.
func classOf(logPace float64, former Class) Class {
	slow, fast := 1/classRatio, classRatio
	switch former {
	case Slow:
		slow /= keepShare
	case Fast:
		fast *= keepShare
	case Typical:
	}
	switch relative := math.Exp(logPace); {
	case relative >= fast:
		return Fast
	case relative <= slow:
		return Slow
	}
	return Typical
}
