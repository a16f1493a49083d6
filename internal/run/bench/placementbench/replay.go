package placementbench

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/guarantee"
	"wasabihoist/internal/traffic/request"
)

const (
	startLatency  = time.Second
	moveLatency   = 30 * time.Second
	usageLag      = 20 * time.Second
	usageInterval = 2 * time.Minute
	failLatency   = 2 * time.Second
	claimDelay    = 2 * time.Second // claimDelay is when other data centres may claim a job.
	tick          = 15 * time.Second
	quarantine    = time.Minute
	// drainLimit bounds a replay after the last arrival.
	drainLimit = 200 * time.Hour
)

// instance is one job in the plain model of the fleet.
type instance struct {
	arrival
	home    *centre // home is the data centre that runs the job; nil while it waits.
	workers []string
	started time.Time // started is when the current run began.
	left    time.Duration
	run     int // run grows with each start, move and stop, so that events of earlier runs are ignored.
	leaving bool
	ended   bool
	attempt int
}

// centre is one data centre with its planner.
type centre struct {
	name     string
	planner  *placement.Planner
	workers  map[string]worker.Worker // workers that are present.
	broken   map[string]bool          // broken workers fail everything they start.
	failures map[string]int           // failures in a row of each worker.
	running  []*instance
	entitled []guarantee.Entitlement
	lent     bool // lent is true when the decisions under check have lent accelerators.
	held     bool // held is the value of the independent predicate after the last decisions.
}

// replay runs one workload through one policy.
type replay struct {
	now      time.Time
	queue    events
	count    int
	centres  []*centre
	byID     map[request.Identity]*instance
	open     int // open jobs have not ended.
	fleet    []worker.Worker
	random   *rand.Rand
	checker  checker
	measured measures
}

// measures is what one replay has measured.
type measures struct {
	completion  *hdrhistogram.Histogram // completion times in seconds.
	inTime      *hdrhistogram.Histogram // inTime are the completion times of jobs with a deadline in seconds.
	decision    *hdrhistogram.Histogram // decision times in nanoseconds.
	urgentWait  *hdrhistogram.Histogram // urgentWait is the time from submission to start of urgent jobs in milliseconds.
	runTime     *hdrhistogram.Histogram // runTime of completed jobs in seconds, the least that they can take.
	deadlines   int
	late        int
	violations  int
	split       int
	oversubs    int
	reclaims    int
	moves       int
	lostHours   float64 // lostHours are accelerator-hours of work lost to reclaim.
	free        float64 // free accelerators x seconds.
	largest     float64 // largest gang x seconds.
	possible    float64 // largest gang x seconds if all free accelerators were in one rack as far as it holds them.
	unfinished  int
	impossible  int
	lastArrival time.Time
}

func newMeasures() measures {
	return measures{
		runTime:    hdrhistogram.New(1, int64(1e7), 3),
		inTime:     hdrhistogram.New(1, int64(1e7), 3),
		completion: hdrhistogram.New(1, int64(1e7), 3), decision: hdrhistogram.New(1, int64(1e10), 3),
		urgentWait: hdrhistogram.New(1, int64(1e10), 3),
	}
}

func newReplay(d deployment, w workload, policy placement.Policy, options placement.Options) *replay {
	r := &replay{now: epoch, byID: map[request.Identity]*instance{}, fleet: d.workers(),
		random: rand.New(rand.NewPCG(1, hash(w.name))), checker: checker{known: map[string]bool{}}, measured: newMeasures()}
	c := configuration()
	divided, _ := guarantee.Divide(guarantee.Entitlements(c, epoch), r.fleet)
	for _, name := range d.dataCentres {
		x := &centre{name: name, planner: placement.New(policy, options), workers: map[string]worker.Worker{},
			broken: map[string]bool{}, failures: map[string]int{}, entitled: divided[name], held: true}
		x.planner.SetConfiguration(c)
		x.planner.SetEntitlements(divided[name])
		x.planner.SetFleetAccelerators(d.accelerators())
		r.centres = append(r.centres, x)
	}
	for _, k := range r.fleet {
		x := r.centre(k.DataCentre)
		x.workers[k.Name] = k
		x.planner.AddWorker(k)
	}
	for _, x := range r.centres {
		r.decide(x)
	}
	for _, a := range w.arrivals {
		r.at(a.job.Submitted, func() { r.submit(a) })
		r.measured.lastArrival = a.job.Submitted
	}
	for _, f := range w.faults {
		r.at(f.from, func() { r.fail(f) })
		r.at(f.until, func() { r.repair(f) })
	}
	r.at(epoch.Add(tick), r.tick)
	return r
}

func (r *replay) centre(name string) *centre {
	return r.centres[slices.IndexFunc(r.centres, func(x *centre) bool { return x.name == name })]
}

// run applies all events.
func (r *replay) run() {
	for len(r.queue) > 0 && r.now.Sub(epoch) < recorded+drainLimit {
		e := heap.Pop(&r.queue).(event)
		r.account(e.at.Sub(r.now))
		r.now = e.at
		e.apply()
	}
	r.measured.unfinished = r.open
}

// account adds the time since the last event to the fragmentation, while jobs
// arrive.
func (r *replay) account(d time.Duration) {
	if r.now.After(r.measured.lastArrival) {
		return
	}
	for _, x := range r.centres {
		free, largest, widest := x.fragments()
		r.measured.free += float64(free) * d.Seconds()
		r.measured.largest += float64(largest) * d.Seconds()
		r.measured.possible += float64(min(free, widest)) * d.Seconds()
	}
}

// fragments returns the free accelerators, the most of them in one rack, and the
// most accelerators that a rack has.
func (x *centre) fragments() (free, largest, widest int) {
	used := x.used()
	racks, sizes := map[string]int{}, map[string]int{}
	for name, k := range x.workers {
		left := max(k.Capacity.Accelerators-used[name], 0)
		free += left
		racks[k.Rack] += left
		sizes[k.Rack] += k.Capacity.Accelerators
	}
	for _, n := range racks {
		largest = max(largest, n)
	}
	for _, n := range sizes {
		widest = max(widest, n)
	}
	return free, largest, widest
}

// used returns the accelerators in use on each worker.
func (x *centre) used() map[string]int {
	used := make(map[string]int, len(x.workers))
	for _, i := range x.running {
		for _, name := range i.workers {
			used[name] += i.job.Shape.Accelerators
		}
	}
	return used
}

// tick lets planners act on time alone.
func (r *replay) tick() {
	r.decideAll()
	if r.open > 0 || r.now.Before(r.measured.lastArrival) {
		r.after(tick, r.tick)
	}
}

// reclaim carries out the decision to take accelerators back.
func (r *replay) reclaim(x *centre, i *instance, d placement.Decision) {
	if !d.Checkpoint {
		r.lose(i, r.now.Sub(i.started))
		r.release(x, i)
		return
	}
	run := i.run
	i.leaving = true
	takes := time.Duration((2 + 8*r.random.Float64()) * float64(time.Second))
	r.after(takes, func() {
		if i.run != run || i.ended {
			return
		}
		if !i.started.IsZero() {
			i.left -= max(r.now.Sub(i.started)-takes, 0)
			r.lose(i, min(takes, r.now.Sub(i.started)))
		}
		r.release(x, i)
	})
}

// lose counts work that has to be done again.
func (r *replay) lose(i *instance, d time.Duration) {
	if i.started.IsZero() {
		return
	}
	r.measured.lostHours += max(d, 0).Hours() * float64(i.job.Shape.Total())
}

// release ends a reclaimed run; the job waits again, in all data centres.
func (r *replay) release(x *centre, i *instance) {
	r.stop(i)
	i.started = time.Time{}
	x.planner.Released(i.job.Identity)
	for _, o := range r.centres {
		if o != x && o.planner.CanEverRun(i.job) == nil {
			o.planner.Submit(i.job)
		}
	}
	r.after(0, r.decideAll)
}

// decideAll asks all planners.
func (r *replay) decideAll() {
	for _, x := range r.centres {
		r.decide(x)
	}
}

// move starts the job again on other workers from its checkpoint.
func (r *replay) move(x *centre, i *instance, workers []string) {
	r.measured.moves++
	i.left -= r.now.Sub(i.started)
	i.run++
	run := i.run
	i.workers = workers
	r.lose(i, moveLatency)
	r.after(moveLatency, func() {
		if i.run != run || i.ended {
			return
		}
		i.started = r.now
		x.planner.Started(i.job.Identity, r.now)
		r.decide(x)
		r.after(max(i.left, time.Second), func() { r.end(i, run) })
	})
}

// decide asks the planner and carries out what it says. The time of the planner
// is measured without the checks.
func (r *replay) decide(x *centre) {
	begin := time.Now()
	decisions := x.planner.Decide(r.now)
	_ = r.measured.decision.RecordValue(max(time.Since(begin).Nanoseconds(), 1))
	guaranteed := r.guaranteed(x)
	for _, d := range decisions {
		i := r.byID[d.Job]
		r.inspect(x, i, d, guaranteed)
		switch d.Kind {
		case placement.Start:
			r.begin(x, i, d.Workers)
		case placement.Move:
			r.move(x, i, d.Workers)
		case placement.Reclaim:
			r.measured.reclaims++
			r.reclaim(x, i, d)
			r.after(placement.Default().CheckpointTimeout, func() { r.decide(x) })
			r.after(placement.Default().UrgentCheckpointTimeout, func() { r.decide(x) })
		}
	}
	if len(decisions) > 0 {
		r.verify(x)
	}
}

// member returns the declared resources; the checks use accelerators only.
func member(j job.Job) int { return j.Shape.Accelerators }
