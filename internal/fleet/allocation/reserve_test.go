package allocation_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/allocation"
)

func lastingFor(d allocation.Demand, runTime time.Duration) allocation.Demand {
	d.RunTime = runTime
	return d
}

func waitingUpTo(d allocation.Demand, wait time.Duration) allocation.Demand {
	d.MaxReservationWait = wait
	return d
}

func reservedFor(d allocation.Demand, held time.Duration) allocation.Demand {
	d.ReservedFor = held
	return d
}

func placedAgo(u allocation.Unit, age time.Duration) allocation.Unit {
	u.Age = age
	return u
}

// Guards against hosts that stand idle, although other demands could use them, for a
// gang that doesn't get them soon, and against gangs that don't get their hosts because
// other demands use them.
func TestReservationsForGangs(t *testing.T) {
	const ordinary, low = allocation.Ordinary, allocation.Ordinary + 1
	gang := newGang(0, ordinary, 2, 8)
	// The work on h1 ends in five seconds.
	hosts := []allocation.Host{newHost("h1", "r1", 7, 7), newHost("h2", "r2", 8, 8)}
	empty := []allocation.Host{newHost("h1", "r1", 8, 8), newHost("h2", "r2", 8, 8)}
	ending := endingIn(newUnit(1, ordinary, 1, map[string]int{"h1": 1}), 5*time.Second)
	endless := endingIn(newUnit(1, ordinary, 1, map[string]int{"h1": 1}), allocation.Never)
	onProbation := newHost("h1", "r1", 8, 8)
	onProbation.OnProbation = true
	for name, tt := range map[string]struct {
		hosts   []allocation.Host
		units   []allocation.Unit
		demands []allocation.Demand
		placed  map[int][]string
		startIn collection.Option[time.Duration] // startIn is that of the reservation of demand 0; None if there is none.
	}{
		"work that ends by the planned start in twice its time uses the hosts": {
			hosts: hosts, units: []allocation.Unit{ending}, demands: []allocation.Demand{gang, lastingFor(newDemand(1, low, 1, 1), 2500*time.Millisecond)},
			placed: map[int][]string{1: {"h1"}}, startIn: collection.Some(5 * time.Second),
		},
		"work that ends later waits": {
			hosts: hosts, units: []allocation.Unit{ending}, demands: []allocation.Demand{gang, lastingFor(newDemand(1, low, 1, 1), 2600*time.Millisecond)},
			placed: map[int][]string{}, startIn: collection.Some(5 * time.Second),
		},
		"work with an unknown run time waits": {
			hosts: hosts, units: []allocation.Unit{ending}, demands: []allocation.Demand{gang, newDemand(1, low, 1, 1)},
			placed: map[int][]string{}, startIn: collection.Some(5 * time.Second),
		},
		"long-running work does not wait": {
			hosts: hosts, units: []allocation.Unit{ending}, demands: []allocation.Demand{gang, lastingFor(newDemand(1, low, 1, 1), allocation.Never)},
			placed: map[int][]string{1: {"h1"}}, startIn: collection.Some(5 * time.Second),
		},
		"long-running work prefers hosts that are not reserved": {
			hosts: append([]allocation.Host{newHost("h3", "r3", 7, 7)}, hosts...), units: []allocation.Unit{ending, endingIn(newUnit(2, ordinary, 1, map[string]int{"h3": 1}), time.Hour)},
			demands: []allocation.Demand{gang, lastingFor(newDemand(1, low, 8, 1), allocation.Never)},
			placed:  map[int][]string{1: {"h3", "h3", "h3", "h3", "h3", "h3", "h3", "h1"}}, startIn: collection.Some(5 * time.Second),
		},
		"work placed under the reservation does not postpone the planned start": {
			hosts: []allocation.Host{newHost("h1", "r1", 6, 6), newHost("h2", "r2", 8, 8)},
			units: []allocation.Unit{placedAgo(endingIn(ending, 2*time.Second), time.Minute), placedAgo(endingIn(newUnit(2, low, 1, map[string]int{"h1": 1}), time.Minute), time.Second)},
			demands: []allocation.Demand{
				reservedFor(gang, 2*time.Second), lastingFor(newDemand(1, low, 1, 1), 1100*time.Millisecond), lastingFor(newDemand(2, low, 1, 1), time.Second),
			},
			placed: map[int][]string{2: {"h1"}}, startIn: collection.Some(2 * time.Second),
		},
		"nothing else starts once only such work is in the way": {
			hosts: hosts, units: []allocation.Unit{placedAgo(ending, time.Second)},
			demands: []allocation.Demand{reservedFor(gang, 2*time.Second), lastingFor(newDemand(1, low, 1, 1), time.Millisecond)},
			placed:  map[int][]string{}, startIn: collection.Some(0 * time.Second),
		},
		"older work postpones the planned start": {
			hosts: hosts, units: []allocation.Unit{placedAgo(ending, 3*time.Second)},
			demands: []allocation.Demand{reservedFor(gang, 2*time.Second), lastingFor(newDemand(1, low, 1, 1), 2500*time.Millisecond)},
			placed:  map[int][]string{1: {"h1"}}, startIn: collection.Some(5 * time.Second),
		},
		"nothing else starts on the hosts of a gang without backfill": {
			hosts: hosts, units: []allocation.Unit{ending},
			demands: []allocation.Demand{func() allocation.Demand { d := gang; d.NoBackfill = true; return d }(), lastingFor(newDemand(1, low, 1, 1), time.Millisecond)},
			placed:  map[int][]string{}, startIn: collection.Some(0 * time.Second),
		},
		"no hosts are reserved where work does not end by itself": {
			hosts: hosts, units: []allocation.Unit{endless}, demands: []allocation.Demand{gang, newDemand(1, low, 1, 8)},
			placed: map[int][]string{1: {"h2"}},
		},
		"hosts without such work are reserved instead": {
			hosts: append([]allocation.Host{newHost("h3", "r3", 0, 0)}, hosts...), units: []allocation.Unit{endless, endingIn(newUnit(2, ordinary, 1, map[string]int{"h3": 8}), time.Second)},
			demands: []allocation.Demand{gang, newDemand(1, low, 1, 1)},
			placed:  map[int][]string{1: {"h1"}}, startIn: collection.Some(time.Second),
		},
		"no hosts are reserved for longer than permitted": {
			hosts: hosts, units: []allocation.Unit{ending}, demands: []allocation.Demand{waitingUpTo(gang, 4*time.Second), newDemand(1, low, 1, 8)},
			placed: map[int][]string{1: {"h2"}},
		},
		"no hosts are reserved during a pause": {
			hosts: hosts, units: []allocation.Unit{ending},
			demands: []allocation.Demand{func() allocation.Demand { d := gang; d.NoReservation = true; return d }(), newDemand(1, low, 1, 8)},
			placed:  map[int][]string{1: {"h2"}},
		},
		"no hosts are reserved if one on probation takes too few tasks": {
			hosts: []allocation.Host{onProbation, newHost("h2", "r2", 8, 8)}, demands: []allocation.Demand{newGang(0, ordinary, 4, 4), newDemand(1, low, 1, 8)},
			placed: map[int][]string{1: {"h1"}},
		},
		"no other racks are reserved for a gang that waits for its rack": {
			hosts:   []allocation.Host{newHost("h1", "r1", 7, 7), newHost("h2", "r2", 7, 7)},
			units:   []allocation.Unit{ending, endingIn(newUnit(2, ordinary, 1, map[string]int{"h2": 1}), 5*time.Second)},
			demands: []allocation.Demand{waitingUpTo(rackLocal(newGang(0, ordinary, 2, 4)), time.Second), newDemand(1, low, 1, 7)},
			placed:  map[int][]string{1: {"h1"}},
		},
		"long-running work that starts in the same plan": {
			hosts: empty, demands: []allocation.Demand{lastingFor(newDemand(1, allocation.Urgent, 1, 1), allocation.Never), newGang(0, ordinary, 2, 8), newDemand(2, low, 1, 8)},
			placed: map[int][]string{1: {"h1"}, 2: {"h2"}},
		},
		"work of unknown run time that starts in the same plan": {
			hosts: empty, demands: []allocation.Demand{newDemand(1, allocation.Urgent, 1, 1), newGang(0, ordinary, 2, 8), newDemand(2, low, 1, 8)},
			placed: map[int][]string{1: {"h1"}}, startIn: collection.Some(0 * time.Second),
		},
		"work that starts in the same plan and ends soon": {
			hosts: empty, demands: []allocation.Demand{lastingFor(newDemand(1, allocation.Urgent, 1, 1), time.Second), newGang(0, ordinary, 2, 8), newDemand(2, low, 1, 8)},
			placed: map[int][]string{1: {"h1"}}, startIn: collection.Some(time.Second),
		},
		"two gangs reserve different hosts": {
			hosts: []allocation.Host{newHost("h1", "r1", 0, 0), newHost("h2", "r2", 0, 0), newHost("h3", "r3", 8, 8)},
			units: []allocation.Unit{endingIn(newUnit(1, ordinary, 1, map[string]int{"h1": 8}), time.Second), endingIn(newUnit(2, ordinary, 1, map[string]int{"h2": 8}), 2*time.Second)},
			demands: []allocation.Demand{
				gang, newGang(1, ordinary, 1, 8), newDemand(2, low, 1, 1),
			},
			placed: map[int][]string{}, startIn: collection.Some(time.Second),
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			plan := allocation.Decide(tt.hosts, tt.units, tt.demands)
			placed := make(map[int][]string)
			for _, p := range plan.Placements {
				c.Check(placed[p.Demand], qt.IsNil) // One placement has all tasks.
				placed[p.Demand] = append(placed[p.Demand], p.Hosts...)
			}
			c.Check(placed, qt.DeepEquals, tt.placed)
			startIn := collection.None[time.Duration]()
			if r, ok := plan.Reservations[0]; ok {
				startIn = collection.Some(r.StartIn)
			}
			c.Check(startIn, qt.Equals, tt.startIn)
		})
	}
}
