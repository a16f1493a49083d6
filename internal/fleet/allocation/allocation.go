// Package allocation decides which tasks run on which hosts and what has to
// make room. It is a pure function of a model of the fleet.
//
// Demands are served in their order. A demand that does not fit on what is free
// waits for what is being stopped, and an urgent one may have units of a lower
// rank stopped. What a waiting demand will get is set aside, so that later
// demands do not take it.
package allocation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/workload"
)

// Rank orders demands and units by urgency; lower is more urgent.
type Rank int

// The ranks. A demand may stop units of a rank below its own when it is urgent.
const (
	Guaranteed Rank = iota // Guaranteed work is within the guarantee of its organisation.
	Urgent                 // Urgent work has priority 0 beyond the guarantee.
	Ordinary               // Ordinary work and all after it has the priorities from 1.
)

// String names the rank in logs.
func (r Rank) String() string {
	switch r {
	case Guaranteed:
		return "guaranteed"
	case Urgent:
		return "urgent"
	}
	return fmt.Sprintf("ordinary-%d", int(r-Urgent))
}

// RankOf returns the rank of a priority.
func RankOf(priority int, guaranteed bool) Rank {
	if priority == 0 && guaranteed {
		return Guaranteed
	}
	return Urgent + Rank(priority)
}

func (r Rank) mayStop(other Rank) bool { return r <= Urgent && other > r }

// Host is what one minion offers.
type Host struct {
	Name        string
	Rack        string
	Service     string
	Labels      collection.Set[string]
	Open        bool // Open hosts take new work.
	OnProbation bool // Doubtful hosts have failed their last task. They take one task at a time until one succeeds.
	Capacity    workload.Resources
	Free        workload.Resources // Free is not used by anything.
	FutureFree  workload.Resources // Soon is Free and what is being stopped.
}

// Unit is work that runs and ends together: a gang or a single task.
type Unit struct {
	ID                 int
	Rank               Rank
	PreemptionCost     float64                       // Loss is the work in core seconds that a stop throws away.
	RemainingTime      time.Duration                 // Left is when the unit ends, as far as can be told.
	DisruptionGroup    int                           // Set names the units that share a bound of stops; 0 when there is none.
	DisruptionsAllowed int                           // Spare is how many units of the set may be stopped now.
	UsageByHost        map[string]workload.Resources // Parts holds what the unit uses on each host.
}

// Demand is the waiting tasks of a step.
type Demand struct {
	ID                int
	Rank              Rank
	Service           string
	Need              workload.Resources // Need of each task.
	Tasks             int
	Gang              bool           // Gang demands are placed whole or not at all.
	RackLocal         bool           // Local demands should be on one rack.
	Rack              string         // Rack is where the data is; empty when there is none.
	Label             string         // Label is required of the host; empty when any will do.
	SpreadLimit       int            // SpreadLimit bounds the tasks on one host; 0 is no bound.
	TasksByHost       map[string]int // Present counts the step's tasks that are on a host already.
	ExcludedHosts     collection.Set[string]
	MaxPreemptionCost float64 // LossLimit is the most work in core seconds that may be thrown away for all tasks of the demand; 0 is no bound.
	Headroom          int     // Keep is how many accelerators of the service the demand leaves free.
	AvoidProbation    bool    // Careful demands do not go to doubtful hosts.
	RelaxLocality     bool    // Far allows places away from the data or across racks.
	BestEffort        bool    // Fills demands use cores that others leave idle; they go where most are.

	AllowedHosts collection.Option[collection.Set[string]] // Only holds the hosts that may be used; none allows all.
}

// Placement gives tasks of a demand to hosts. Hosts has one name for each task,
// in order; it is shorter than the demand unless that is a gang.
type Placement struct {
	Demand int
	Hosts  []string
}

// Plan is what to do now.
type Plan struct {
	Placements   []Placement
	Preempted    []int               // Stops lists units that have to make room.
	PreemptedFor map[int]int         // StoppedFor holds the demand that each of them makes room for.
	Waiting      collection.Set[int] // Waiting holds demands that something is set aside for.
}

// Decide plans for the demands in their order. The arguments are not changed.
func Decide(hosts []Host, units []Unit, demands []Demand) Plan {
	p := newPlanner(hosts, units)
	for _, d := range demands {
		p.serve(d)
	}
	slices.Sort(p.plan.Preempted)
	return p.plan
}

// room is the state of a host during planning.
type room struct {
	Host
	index int
	busy  bool  // busy is set once a task was given to the host during this plan, or if it had some before.
	units []int // units holds the indices of the units on the host, the ones with the least loss first.
}

// now is what a task can be started on without touching what is set aside.
func (r *room) now() workload.Resources { return r.Free.Min(r.FutureFree) }

func (r *room) soon() workload.Resources { return r.FutureFree }

type planner struct {
	rooms     []*room
	racks     map[string][]*room
	names     []string // names of the racks in order.
	units     []Unit
	parts     [][]part    // parts holds what each unit uses on the hosts that are known.
	isStopped []bool      // isStopped holds for each unit whether it has to make room.
	stopped   map[int]int // stopped counts the units of each set that have to.
	reserved  int         // reserved counts the gangs that hosts are kept free for.
	plan      Plan
}

func newPlanner(hosts []Host, units []Unit) *planner {
	p := &planner{
		racks: make(map[string][]*room), units: units, parts: make([][]part, len(units)),
		isStopped: make([]bool, len(units)), stopped: make(map[int]int), plan: Plan{PreemptedFor: make(map[int]int), Waiting: collection.NewSet[int]()},
	}
	byName := make(map[string]*room, len(hosts))
	for i, h := range hosts {
		r := &room{Host: h, index: i, busy: h.FutureFree != h.Capacity}
		p.rooms = append(p.rooms, r)
		byName[h.Name] = r
		if p.racks[h.Rack] == nil {
			p.names = append(p.names, h.Rack)
		}
		p.racks[h.Rack] = append(p.racks[h.Rack], r)
	}
	slices.Sort(p.names)
	for i, u := range units {
		for name, used := range u.UsageByHost {
			if r := byName[name]; r != nil {
				r.units = append(r.units, i)
				p.parts[i] = append(p.parts[i], part{r.index, used})
			}
		}
	}
	for _, r := range p.rooms {
		slices.SortFunc(r.units, func(a, b int) int {
			return cmp.Or(cmp.Compare(units[a].PreemptionCost, units[b].PreemptionCost), cmp.Compare(units[b].Rank, units[a].Rank), cmp.Compare(a, b))
		})
	}
	return p
}

// serve places a demand, or sets aside what it waits for.
func (p *planner) serve(d Demand) {
	if chosen := p.leaveFree(d, p.choose(d, (*room).now)); len(chosen) > 0 {
		p.place(d, chosen)
		d.Tasks -= len(chosen)
		d.TasksByHost = withPresent(d.TasksByHost, chosen)
		if d.Tasks == 0 {
			return
		}
	}
	if d.Headroom > 0 {
		return // It can wait, and takes nothing from others meanwhile.
	}
	if chosen := p.choose(d, (*room).soon); len(chosen) > 0 {
		p.setAside(d, chosen)
		d.Tasks -= len(chosen)
		d.TasksByHost = withPresent(d.TasksByHost, chosen)
		if d.Tasks == 0 {
			return
		}
	}
	switch {
	case d.Rank <= Urgent:
		d.Tasks -= p.makeRoom(d)
		p.awaitEnds(d)
	case d.Gang:
		p.reserve(d)
	}
}

// leaveFree cuts a choice so that it leaves free what the demand keeps; a gang
// is not started then.
func (p *planner) leaveFree(d Demand, chosen []*room) []*room {
	if d.Headroom == 0 || d.Need.Accelerators == 0 {
		return chosen
	}
	spare := -d.Headroom
	for _, r := range p.rooms {
		if r.Open && r.Service == d.Service {
			spare += max(0, r.now().Accelerators)
		}
	}
	most := max(0, spare/d.Need.Accelerators)
	if most >= len(chosen) {
		return chosen
	}
	if d.Gang {
		return nil
	}
	return chosen[:most]
}

func withPresent(present map[string]int, chosen []*room) map[string]int {
	sum := make(map[string]int, len(present)+len(chosen))
	for name, n := range present {
		sum[name] = n
	}
	for _, r := range chosen {
		sum[r.Name]++
	}
	return sum
}

func (p *planner) place(d Demand, chosen []*room) {
	placement := Placement{Demand: d.ID}
	for _, r := range chosen {
		r.Free = r.Free.Sub(d.Need)
		r.FutureFree = r.FutureFree.Sub(d.Need)
		r.busy = true
		placement.Hosts = append(placement.Hosts, r.Name)
	}
	p.plan.Placements = append(p.plan.Placements, placement)
}

func (p *planner) setAside(d Demand, chosen []*room) {
	for _, r := range chosen {
		r.FutureFree = r.FutureFree.Sub(d.Need)
	}
	p.plan.Waiting.Add(d.ID)
}

// usable reports whether a task of the demand may run on a host at all.
func usable(d Demand, r *room) bool {
	if r.OnProbation && (d.AvoidProbation || r.busy) {
		return false
	}
	if only, bound := d.AllowedHosts.Get(); bound && !only.Has(r.Name) {
		return false
	}
	return r.Open && r.Service == d.Service && !d.ExcludedHosts.Has(r.Name) &&
		(d.Label == "" || r.Labels.Has(d.Label)) && r.Capacity.Fits(d.Need)
}
