// Package allocation plans which tasks run on which hosts and which running
// units are preempted. Plans depend only on the given model of the fleet.
//
// Demands are planned in their order. A demand that does not fit on the free
// resources waits for those that pending stops will release, and an urgent one
// may preempt less urgent units. Resources that a waiting demand will get are
// reserved, so that later demands do not take them.
package allocation

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/pace"
	"wasabihoist/internal/fleet/workload"
)

// Rank is the urgency of demands and units; lower values are more urgent.
type Rank int

// The ranks. Guaranteed and Urgent demands may preempt less urgent units.
const (
	Guaranteed Rank = iota // Guaranteed work has priority 0 and is within the guarantee of its organisation.
	Urgent                 // Urgent work has priority 0 and exceeds the guarantee.
	Ordinary               // Ordinary work has priority 1; each further rank is the next priority.
)

// String returns the name used in logs.
func (r Rank) String() string {
	switch r {
	case Guaranteed:
		return "guaranteed"
	case Urgent:
		return "urgent"
	}
	return fmt.Sprintf("ordinary-%d", int(r-Urgent))
}

// RankOf returns the rank of work with a priority. guaranteed is set when the work is
// within the guarantee of its organisation.
func RankOf(priority int, guaranteed bool) Rank {
	if priority == 0 && guaranteed {
		return Guaranteed
	}
	return Urgent + Rank(priority)
}

// mayPreempt reports whether demands of rank r may stop units of the other rank.
func (r Rank) mayPreempt(other Rank) bool { return r <= Urgent && other > r }

// Host is the capacity of one minion and what is free of it.
type Host struct {
	Name        string
	Rack        string
	Service     string
	Labels      collection.Set[string]
	Open        bool // Open hosts accept new tasks.
	OnProbation bool // OnProbation is set when the last task on the host failed. The host takes one task at a time until one succeeds.
	Capacity    workload.Resources
	Free        workload.Resources // Free is what no task uses.
	FutureFree  workload.Resources // FutureFree is Free plus what pending stops will release.
	Pace        pace.Class         // Pace is how fast the host works compared with others.
}

// Never is the time until something that does not happen.
const Never = time.Duration(math.MaxInt64)

// Unit is the smallest amount of running work that can be preempted: a gang or a
// single task.
type Unit struct {
	ID                 int
	Rank               Rank
	PreemptionCost     float64       // PreemptionCost is the work that a stop discards, in core seconds.
	Age                time.Duration // Age is the time since the unit was placed.
	RemainingTime      time.Duration // RemainingTime is the estimated time until the unit ends; Never if it does not end by itself.
	DisruptionGroup    int           // DisruptionGroup identifies units that share a disruption budget; 0 is none.
	DisruptionsAllowed int           // DisruptionsAllowed is how many units of the group may be stopped now.
	Usage              []HostUsage   // Usage holds what the unit uses on each of its hosts, in any order.
}

// HostUsage is what a unit uses on a host.
type HostUsage struct {
	Host string
	Used workload.Resources
}

// Demand is the request for resources of the waiting tasks of a step.
type Demand struct {
	ID                int
	Rank              Rank
	Service           string
	Need              workload.Resources // Need is the request of each task.
	Tasks             int
	Gang              bool                   // Gang demands are placed all or nothing.
	RackLocal         bool                   // RackLocal demands prefer hosts of a single rack.
	DataRack          string                 // DataRack is the rack that holds the input data; empty when there is none.
	Label             string                 // Label is a label that the host must have; empty matches all hosts.
	SpreadLimit       int                    // SpreadLimit is the maximum number of the step's tasks on one host; 0 is no limit.
	TasksByHost       map[string]int         // TasksByHost counts the tasks of the step that are already placed.
	ExcludedHosts     collection.Set[string] // ExcludedHosts get no task of the demand.
	AvoidedHosts      collection.Set[string] // AvoidedHosts are used after all other hosts with room for a task.
	MaxPreemptionCost float64                // MaxPreemptionCost is the most work that may be discarded for all tasks of the demand, in core seconds; 0 is no limit.
	Headroom          int                    // Headroom is the number of accelerators of the service that the demand must leave free.
	RelaxLocality     bool                   // RelaxLocality permits hosts away from the data, and gangs across racks.
	BestEffort        bool                   // BestEffort demands use only idle cores and go to the hosts with the most.
	Pace              PacePreference         // Pace is the preference among hosts by their pace.
	RunTime           time.Duration          // RunTime is the estimated run time of a task; 0 if it is not known, Never for long-running tasks.

	AllowedHosts collection.Option[collection.Set[string]] // AllowedHosts are the only hosts that may be used; None permits all.

	// The following apply to the reservations of gangs that may not preempt.
	NoReservation      bool          // NoReservation is set while the gang must not reserve hosts.
	NoBackfill         bool          // NoBackfill keeps other demands from the reserved hosts, even if they would end in time.
	MaxReservationWait time.Duration // MaxReservationWait is the longest estimated wait for which hosts are reserved; 0 is no limit.
	ReservedFor        time.Duration // ReservedFor is how long the gang has held its reservation; 0 if it has none.
}

// Placement assigns tasks of a demand to hosts. Hosts has one name for each
// placed task, in order; a placement of a gang covers all its tasks. A plan has at
// most one placement of a demand.
type Placement struct {
	Demand int
	Hosts  []string
}

// Plan lists the placements and preemptions to carry out now.
type Plan struct {
	Placements   []Placement
	Preempted    []int               // Preempted holds the IDs of the units to stop, sorted.
	PreemptedFor map[int]int         // PreemptedFor maps each preempted unit to the demand that needs its resources.
	Reserved     collection.Set[int] // Reserved holds the demands with waiting tasks that have reserved resources.
	Reservations map[int]Reservation // Reservations holds the hosts that gangs wait for until running work ends, by demand.
}

// Reservation keeps hosts free for a gang until the work that runs on them ends. Other
// demands may use the hosts if they end by the planned start of the gang.
type Reservation struct {
	Hosts   []string      // Hosts has one name for each task.
	StartIn time.Duration // StartIn is the time until the planned start.
}

// Decide plans for the demands in their order. It does not change its arguments.
func Decide(hosts []Host, units []Unit, demands []Demand) Plan {
	p := newPlanner(hosts, units)
	for _, d := range demands {
		p.planDemand(d)
	}
	slices.Sort(p.plan.Preempted)
	return p.plan
}

// hostState is a host with the changes of the plan so far.
type hostState struct {
	Host
	index int
	busy  bool  // busy is set when the host has tasks that are not being stopped, or gets one from this plan.
	units []int // units holds the indices of the units on the host, cheapest to preempt first once sorted is set.

	sorted bool // sorted is set once the units are sorted; see the method unitsByCost.

	endless  []int             // endless holds the indices of those units that do not end by themselves.
	starting []release         // starting holds the tasks that this plan places.
	reserved []reservedForGang // reserved holds what gangs have reserved of FutureFree.
}

// release is the end of work on a host.
type release struct {
	resources workload.Resources
	after     time.Duration // after is the estimated time until then; Never if the work does not end by itself.
}

// reservedForGang is what a member of a gang will use of a host.
type reservedForGang struct {
	need    workload.Resources
	startIn time.Duration // startIn is the time until the planned start of the gang.
}

// availableNow returns what new tasks can use at once without touching
// reservations.
func (h *hostState) availableNow() workload.Resources { return h.Free.Min(h.FutureFree) }

// availableLater returns what is not reserved once the pending stops are done.
func (h *hostState) availableLater() workload.Resources { return h.FutureFree }

type planner struct {
	hosts            []*hostState
	racks            map[string][]*hostState
	rackNames        []string    // rackNames is sorted.
	ends             []release   // ends is the space that earliestFit uses.
	candidates       []candidate // candidates is the space that bestFit uses, which keeps nothing there.
	units            []Unit
	usages           [][]hostUsage // usages holds what each unit uses on the known hosts.
	isPreempted      []bool        // isPreempted is indexed like units.
	preemptedInGroup map[int]int   // preemptedInGroup counts the preempted units of each disruption group.
	reservedGangs    int           // reservedGangs counts the reservations of reserveForGang, at most maxReservedGangs.
	plan             Plan
}

func newPlanner(hosts []Host, units []Unit) *planner {
	p := &planner{
		racks: make(map[string][]*hostState), units: units, usages: make([][]hostUsage, len(units)),
		isPreempted: make([]bool, len(units)), preemptedInGroup: make(map[int]int), plan: Plan{PreemptedFor: make(map[int]int), Reserved: collection.NewSet[int](), Reservations: make(map[int]Reservation)},
	}
	byName := make(map[string]*hostState, len(hosts))
	states := make([]hostState, len(hosts))
	p.hosts = make([]*hostState, 0, len(hosts))
	for i, h := range hosts {
		state := &states[i]
		*state = hostState{Host: h, index: i, busy: h.FutureFree != h.Capacity}
		p.hosts = append(p.hosts, state)
		byName[h.Name] = state
		if p.racks[h.Rack] == nil {
			p.rackNames = append(p.rackNames, h.Rack)
		}
		p.racks[h.Rack] = append(p.racks[h.Rack], state)
	}
	slices.Sort(p.rackNames)
	usages := make([]hostUsage, 0, len(units))
	for i := range units {
		begin := len(usages)
		for _, u := range units[i].Usage {
			if h := byName[u.Host]; h != nil {
				h.units = append(h.units, i)
				if units[i].RemainingTime == Never {
					h.endless = append(h.endless, i)
				}
				usages = append(usages, hostUsage{h.index, u.Used})
			}
		}
		p.usages[i] = usages[begin:len(usages):len(usages)]
	}
	return p
}

// unitsByCost returns the indices of the units on a host, cheapest to preempt first.
func (p *planner) unitsByCost(h *hostState) []int {
	if !h.sorted {
		h.sorted = true
		slices.SortFunc(h.units, func(a, b int) int {
			x, y := &p.units[a], &p.units[b]
			return cmp.Or(cmp.Compare(x.PreemptionCost, y.PreemptionCost), cmp.Compare(y.Rank, x.Rank), cmp.Compare(a, b))
		})
	}
	return h.units
}

// planDemand places the tasks of a demand that fit now and reserves resources
// for the others.
func (p *planner) planDemand(d Demand) {
	if d.RelaxLocality && d.Gang && d.RackLocal && d.Rank <= Urgent && p.planInOneRack(d) {
		return
	}
	if d = p.placeWhatFits(d, (*hostState).availableNow); d.Tasks == 0 {
		return
	}
	if d.RunTime > 0 && len(p.plan.Reservations) > 0 {
		if d = p.placeWhatFits(d, availableForBackfill(d.RunTime)); d.Tasks == 0 {
			return
		}
	}
	if d.Headroom == 0 && !d.NoReservation { // A demand that leaves headroom can wait.
		p.planWaiting(d)
	}
}

// planWaiting reserves resources for the tasks of a demand that do not fit now, and
// preempts units for an urgent demand.
func (p *planner) planWaiting(d Demand) {
	if chosen := p.selectHosts(d, (*hostState).availableLater); len(chosen) > 0 {
		if d.Gang && d.Rank > Urgent {
			p.recordReservation(d, chosen, 0)
		}
		p.reserveFuture(d, chosen)
		d.Tasks -= len(chosen)
		d.TasksByHost = addTasks(d.TasksByHost, chosen)
		if d.Tasks == 0 {
			return
		}
	}
	switch {
	case d.Rank <= Urgent:
		d.Tasks -= p.preempt(d)
		p.reserveForUrgent(d)
	case d.Gang:
		p.reserveForGang(d)
	}
}

// placeWhatFits places the tasks of a demand that fit on the available resources and
// returns the demand for the others.
func (p *planner) placeWhatFits(d Demand, available func(*hostState) workload.Resources) Demand {
	chosen := p.keepHeadroom(d, p.selectHosts(d, available))
	if len(chosen) == 0 {
		return d
	}
	p.place(d, chosen)
	d.Tasks -= len(chosen)
	d.TasksByHost = addTasks(d.TasksByHost, chosen)
	return d
}

// planInOneRack plans a gang that may preempt and would also run across racks. It
// prefers a rack that the gang has now, or will have when pending or new stops are
// done, because a stop takes less time than the gang loses across racks. It reports
// whether there is such a rack.
func (p *planner) planInOneRack(d Demand) bool {
	d.RelaxLocality = false
	if !p.fitsEmptyRack(d) {
		return false
	}
	if chosen := p.selectHosts(d, (*hostState).availableNow); len(chosen) > 0 {
		p.place(d, chosen)
		return true
	}
	if chosen := p.selectHosts(d, (*hostState).availableLater); len(chosen) > 0 {
		p.reserveFuture(d, chosen)
		return true
	}
	return p.carryOut(d, p.cheapestPreemption(d)) > 0
}

// keepHeadroom shortens a choice of hosts so that the headroom of the demand
// stays free. It returns none for a gang that would use the headroom.
func (p *planner) keepHeadroom(d Demand, chosen []*hostState) []*hostState {
	if d.Headroom == 0 || d.Need.Accelerators == 0 {
		return chosen
	}
	available := -d.Headroom
	for _, h := range p.hosts {
		if h.Open && h.Service == d.Service {
			available += max(0, h.availableNow().Accelerators)
		}
	}
	maxTasks := max(0, available/d.Need.Accelerators)
	if maxTasks >= len(chosen) {
		return chosen
	}
	if d.Gang {
		return nil
	}
	return chosen[:maxTasks]
}

// addTasks returns the tasks by host with one more for each chosen host.
func addTasks(present map[string]int, chosen []*hostState) map[string]int {
	sum := make(map[string]int, len(present)+len(chosen))
	for name, n := range present {
		sum[name] = n
	}
	for _, h := range chosen {
		sum[h.Name]++
	}
	return sum
}

// place takes the resources of the chosen hosts now and plans their tasks.
func (p *planner) place(d Demand, chosen []*hostState) {
	last := len(p.plan.Placements) - 1
	if last < 0 || p.plan.Placements[last].Demand != d.ID {
		p.plan.Placements = append(p.plan.Placements, Placement{Demand: d.ID})
		last++
	}
	placement := &p.plan.Placements[last]
	for _, h := range chosen {
		h.Free = h.Free.Sub(d.Need)
		h.FutureFree = h.FutureFree.Sub(d.Need)
		h.busy = true
		h.starting = append(h.starting, release{d.Need, d.RunTime})
		placement.Hosts = append(placement.Hosts, h.Name)
	}
}

// reserveFuture keeps resources of the chosen hosts for a waiting demand.
func (p *planner) reserveFuture(d Demand, chosen []*hostState) {
	for _, h := range chosen {
		h.FutureFree = h.FutureFree.Sub(d.Need)
	}
	p.plan.Reserved.Add(d.ID)
}

// usable reports whether tasks of the demand are permitted on the host and would
// fit if it were empty.
func usable(d *Demand, h *hostState) bool {
	if h.OnProbation && h.busy {
		return false
	}
	if allowed, restricted := d.AllowedHosts.Get(); restricted && !allowed.Has(h.Name) {
		return false
	}
	return h.Open && h.Service == d.Service && !d.ExcludedHosts.Has(h.Name) &&
		(d.Label == "" || h.Labels.Has(d.Label)) && h.Capacity.Fits(d.Need)
}
