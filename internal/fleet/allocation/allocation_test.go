package allocation_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/base/propertytest"
	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/workload"
)

func TestMain(m *testing.M) { propertytest.Main(m, 1000) }

func accelerators(n int) workload.Resources {
	return workload.Resources{MilliCores: 1000 * n, MemoryMB: 10 * n, Accelerators: n}
}

// offer returns an open host of eight accelerators, of which some are free and
// more will be soon.
func offer(name, rack string, free, soon int) allocation.Host {
	return allocation.Host{
		Name: name, Rack: rack, Service: "app", Labels: collection.NewSet("a", rack), Open: true,
		Capacity: accelerators(8), Free: accelerators(free), FutureFree: accelerators(soon),
	}
}

func want(id int, rank allocation.Rank, tasks, each int) allocation.Demand {
	return allocation.Demand{ID: id, Rank: rank, Service: "app", Need: accelerators(each), Tasks: tasks}
}

func gangOf(id int, rank allocation.Rank, tasks, each int) allocation.Demand {
	d := want(id, rank, tasks, each)
	d.Gang = true
	return d
}

func local(d allocation.Demand) allocation.Demand { d.RackLocal = true; return d }

func near(d allocation.Demand, rack string) allocation.Demand { d.Rack = rack; return d }

func far(d allocation.Demand) allocation.Demand { d.RelaxLocality = true; return d }

func unit(id int, rank allocation.Rank, loss float64, parts map[string]int) allocation.Unit {
	u := allocation.Unit{ID: id, Rank: rank, PreemptionCost: loss, RemainingTime: time.Minute, UsageByHost: make(map[string]workload.Resources)}
	for name, n := range parts {
		u.UsageByHost[name] = accelerators(n)
	}
	return u
}

func ending(u allocation.Unit, left time.Duration) allocation.Unit { u.RemainingTime = left; return u }

func only(d allocation.Demand, hosts ...string) allocation.Demand {
	d.AllowedHosts = collection.Some(collection.NewSet(hosts...))
	return d
}

func filling(id, tasks int) allocation.Demand {
	return allocation.Demand{ID: id, Rank: allocation.Ordinary, Service: "app", Need: workload.Resources{MemoryMB: 1}, Tasks: tasks, BestEffort: true}
}

// ofSet puts a unit into a set that spares some of its units.
func ofSet(u allocation.Unit, spare int) allocation.Unit {
	u.DisruptionGroup, u.DisruptionsAllowed = 1, spare
	return u
}

func limited(d allocation.Demand, loss float64) allocation.Demand {
	d.MaxPreemptionCost = loss
	return d
}

func TestDecide(t *testing.T) {
	const ordinary = allocation.Ordinary
	for name, tt := range map[string]struct {
		hosts   []allocation.Host
		units   []allocation.Unit
		demands []allocation.Demand
		placed  map[int][]string // placed holds the hosts of each demand.
		stops   []int
		waiting []int
	}{
		"the tightest host keeps whole hosts free": {
			hosts:   []allocation.Host{offer("h1", "r1", 8, 8), offer("h2", "r1", 3, 3)},
			demands: []allocation.Demand{want(0, ordinary, 2, 1)},
			placed:  map[int][]string{0: {"h2", "h2"}},
		},
		"single tasks start as far as there is room": {
			hosts:   []allocation.Host{offer("h1", "r1", 2, 2)},
			demands: []allocation.Demand{want(0, ordinary, 5, 1)},
			placed:  map[int][]string{0: {"h1", "h1"}},
		},
		"less urgent work leaves the room that urgent tasks are about to get": {
			hosts: []allocation.Host{offer("h1", "r1", 4, 4)},
			units: []allocation.Unit{ending(unit(7, allocation.Urgent, 1, map[string]int{"h1": 4}), time.Second)},
			demands: []allocation.Demand{
				want(0, allocation.Urgent, 1, 8), want(1, ordinary, 1, 2),
			},
			waiting: []int{0},
		},
		"less urgent work starts where urgent tasks would wait long": {
			hosts: []allocation.Host{offer("h1", "r1", 4, 4)},
			units: []allocation.Unit{ending(unit(7, allocation.Urgent, 1, map[string]int{"h1": 4}), time.Minute)},
			demands: []allocation.Demand{
				want(0, allocation.Urgent, 1, 8), want(1, ordinary, 1, 2),
			},
			placed: map[int][]string{1: {"h1"}},
		},
		"urgent tasks keep the room of work that is too dear to stop": {
			hosts: []allocation.Host{offer("h1", "r1", 4, 4)},
			units: []allocation.Unit{ending(unit(7, ordinary, 100, map[string]int{"h1": 4}), time.Second)},
			demands: []allocation.Demand{
				limited(want(0, allocation.Urgent, 1, 8), 50), want(1, ordinary, 1, 2),
			},
			waiting: []int{0},
		},
		"room is made for the urgent tasks for which that is cheap": {
			hosts: []allocation.Host{offer("h1", "r1", 0, 0), offer("h2", "r1", 0, 0)},
			units: []allocation.Unit{
				unit(7, ordinary, 100, map[string]int{"h1": 8}), unit(8, ordinary, 10, map[string]int{"h2": 8}),
			},
			demands: []allocation.Demand{limited(want(0, allocation.Urgent, 2, 8), 80)},
			stops:   []int{8},
			waiting: []int{0},
		},
		"some hosts only": {
			hosts:   []allocation.Host{offer("h1", "r1", 1, 1), offer("h2", "r1", 8, 8)},
			demands: []allocation.Demand{only(want(0, ordinary, 2, 1), "h2")},
			placed:  map[int][]string{0: {"h2", "h2"}},
		},
		"no host is allowed": {
			hosts:   []allocation.Host{offer("h1", "r1", 8, 8)},
			demands: []allocation.Demand{only(want(0, ordinary, 2, 1))},
		},
		"what fills goes where most cores are idle": {
			hosts:   []allocation.Host{offer("h1", "r1", 2, 2), offer("h2", "r1", 8, 8), offer("h3", "r1", 6, 6)},
			demands: []allocation.Demand{filling(0, 3)},
			placed:  map[int][]string{0: {"h2", "h3", "h1"}},
		},
		"a set spares one of its units": {
			hosts: []allocation.Host{offer("h1", "r1", 0, 0), offer("h2", "r1", 0, 0)},
			units: []allocation.Unit{
				ofSet(unit(1, ordinary, 1, map[string]int{"h1": 8}), 1), ofSet(unit(2, ordinary, 2, map[string]int{"h2": 8}), 1),
			},
			demands: []allocation.Demand{want(0, allocation.Guaranteed, 2, 8)},
			stops:   []int{1}, waiting: []int{0},
		},
		"a set spares none of its units": {
			hosts:   []allocation.Host{offer("h1", "r1", 0, 0)},
			units:   []allocation.Unit{ofSet(unit(1, ordinary, 1, map[string]int{"h1": 8}), 0)},
			demands: []allocation.Demand{gangOf(0, allocation.Guaranteed, 1, 8)},
		},
		"a gang starts whole or not at all": {
			hosts:   []allocation.Host{offer("h1", "r1", 4, 4)},
			demands: []allocation.Demand{gangOf(0, ordinary, 2, 4)},
		},
		"a local gang gets one rack": {
			hosts:   []allocation.Host{offer("h1", "r1", 4, 4), offer("h2", "r2", 8, 8), offer("h3", "r1", 2, 2)},
			demands: []allocation.Demand{local(gangOf(0, ordinary, 2, 4))},
			placed:  map[int][]string{0: {"h2", "h2"}},
		},
		"a local gang waits while a rack could hold it": {
			hosts:   []allocation.Host{offer("h1", "r1", 4, 4), offer("h2", "r2", 4, 4)},
			units:   []allocation.Unit{unit(1, ordinary, 1, map[string]int{"h1": 4})},
			demands: []allocation.Demand{local(gangOf(0, ordinary, 2, 4))},
			waiting: []int{0}, // A rack is kept free for it.
		},
		"hosts are kept free for a gang": {
			hosts:   []allocation.Host{offer("h1", "r1", 2, 2), offer("h2", "r2", 6, 6), offer("h3", "r3", 1, 1)},
			units:   []allocation.Unit{unit(1, ordinary, 1, map[string]int{"h1": 6}), unit(2, ordinary, 1, map[string]int{"h2": 2}), unit(3, ordinary, 1, map[string]int{"h3": 7})},
			demands: []allocation.Demand{gangOf(0, ordinary, 2, 8), want(1, ordinary, 2, 1)},
			placed:  map[int][]string{1: {"h3"}},
			waiting: []int{0},
		},
		"a local gang that may be far is spread": {
			hosts:   []allocation.Host{offer("h1", "r1", 4, 4), offer("h2", "r2", 4, 4)},
			demands: []allocation.Demand{far(local(gangOf(0, ordinary, 2, 4)))},
			placed:  map[int][]string{0: {"h1", "h2"}},
		},
		"a local gang wider than any rack is spread": {
			hosts:   []allocation.Host{offer("h1", "r1", 8, 8), offer("h2", "r2", 8, 8)},
			demands: []allocation.Demand{local(gangOf(0, ordinary, 2, 8))},
			placed:  map[int][]string{0: {"h1", "h2"}},
		},
		"tasks go to their data": {
			hosts:   []allocation.Host{offer("h1", "r1", 1, 1), offer("h2", "r2", 8, 8)},
			demands: []allocation.Demand{near(want(0, ordinary, 2, 1), "r2")},
			placed:  map[int][]string{0: {"h2", "h2"}},
		},
		"the spread limit holds with the tasks that are there": {
			hosts: []allocation.Host{offer("h1", "r1", 8, 8), offer("h2", "r1", 8, 8)},
			demands: []allocation.Demand{func() allocation.Demand {
				d := want(0, ordinary, 4, 1)
				d.SpreadLimit, d.TasksByHost = 2, map[string]int{"h1": 1}
				return d
			}()},
			placed: map[int][]string{0: {"h1", "h2", "h2"}},
		},
		"what is being stopped is set aside": {
			hosts:   []allocation.Host{offer("h1", "r1", 4, 8)},
			demands: []allocation.Demand{gangOf(0, ordinary, 1, 8), want(1, ordinary, 1, 4)},
			waiting: []int{0},
		},
		"urgent work stops the unit with the least loss": {
			hosts:   []allocation.Host{offer("h1", "r1", 0, 0), offer("h2", "r1", 0, 0)},
			units:   []allocation.Unit{unit(1, ordinary, 50, map[string]int{"h1": 8}), unit(2, ordinary, 5, map[string]int{"h2": 8})},
			demands: []allocation.Demand{gangOf(0, allocation.Urgent, 1, 8)},
			stops:   []int{2}, waiting: []int{0},
		},
		"a unit that is not needed goes on": {
			hosts: []allocation.Host{offer("h1", "r1", 0, 0)},
			units: []allocation.Unit{
				unit(1, ordinary, 1, map[string]int{"h1": 1}), unit(2, ordinary, 2, map[string]int{"h1": 1}),
				unit(3, ordinary, 9, map[string]int{"h1": 6}),
			},
			demands: []allocation.Demand{gangOf(0, allocation.Urgent, 1, 2)},
			stops:   []int{1, 2}, waiting: []int{0},
		},
		"beyond a guarantee the loss is bounded": {
			hosts: []allocation.Host{offer("h1", "r1", 0, 0)},
			units: []allocation.Unit{unit(1, ordinary, 50, map[string]int{"h1": 8})},
			demands: []allocation.Demand{func() allocation.Demand {
				d := gangOf(0, allocation.Urgent, 1, 8)
				d.MaxPreemptionCost = 49
				return d
			}()},
		},
		"the loss decides before the rank": {
			hosts:   []allocation.Host{offer("h1", "r1", 0, 0)},
			units:   []allocation.Unit{unit(1, ordinary+1, 50, map[string]int{"h1": 4}), unit(2, ordinary, 1, map[string]int{"h1": 4})},
			demands: []allocation.Demand{gangOf(0, allocation.Guaranteed, 1, 4)},
			stops:   []int{2}, waiting: []int{0},
		},
		"ordinary work leaves headroom": {
			hosts: []allocation.Host{offer("h1", "r1", 8, 8)},
			demands: []allocation.Demand{func() allocation.Demand {
				d := want(0, ordinary, 8, 1)
				d.Headroom = 5
				return d
			}(), gangOf(1, allocation.Urgent, 1, 5)},
			placed: map[int][]string{0: {"h1", "h1", "h1"}, 1: {"h1"}},
		},
		"a gang that would use the headroom waits": {
			hosts: []allocation.Host{offer("h1", "r1", 8, 8)},
			demands: []allocation.Demand{func() allocation.Demand {
				d := gangOf(0, ordinary, 2, 2)
				d.Headroom = 5
				return d
			}(), want(1, ordinary, 1, 8)},
			placed: map[int][]string{1: {"h1"}},
		},
		"a doubtful host takes one task, and none of a careful demand": {
			hosts: []allocation.Host{func() allocation.Host { h := offer("h1", "r1", 8, 8); h.OnProbation = true; return h }()},
			demands: []allocation.Demand{func() allocation.Demand {
				d := want(0, ordinary, 1, 1)
				d.AvoidProbation = true
				return d
			}(), want(1, ordinary, 3, 1), want(2, ordinary, 3, 1)},
			placed: map[int][]string{1: {"h1"}},
		},
		"a guarantee takes back what is lent to urgent work": {
			hosts:   []allocation.Host{offer("h1", "r1", 0, 0)},
			units:   []allocation.Unit{unit(1, allocation.Urgent, 1, map[string]int{"h1": 8})},
			demands: []allocation.Demand{gangOf(0, allocation.Guaranteed, 1, 8)},
			stops:   []int{1}, waiting: []int{0},
		},
		"urgent work leaves guarantees alone": {
			hosts:   []allocation.Host{offer("h1", "r1", 0, 0)},
			units:   []allocation.Unit{unit(1, allocation.Guaranteed, 1, map[string]int{"h1": 8})},
			demands: []allocation.Demand{gangOf(0, allocation.Urgent, 1, 8)},
		},
		"a unit may have parts on a host that is not known": {
			hosts:   []allocation.Host{offer("h1", "r1", 0, 0)},
			units:   []allocation.Unit{unit(1, ordinary, 1, map[string]int{"h1": 8, "unknown": 8})},
			demands: []allocation.Demand{gangOf(0, allocation.Urgent, 1, 8)},
			stops:   []int{1}, waiting: []int{0},
		},
		"closed and avoided hosts get nothing": {
			hosts: []allocation.Host{func() allocation.Host { h := offer("h1", "r1", 8, 8); h.Open = false; return h }(), offer("h2", "r1", 8, 8)},
			demands: []allocation.Demand{func() allocation.Demand {
				d := want(0, ordinary, 1, 1)
				d.ExcludedHosts = collection.NewSet("h2")
				return d
			}()},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			plan := allocation.Decide(tt.hosts, tt.units, tt.demands)
			placed := make(map[int][]string)
			for _, p := range plan.Placements {
				placed[p.Demand] = append(placed[p.Demand], p.Hosts...)
			}
			if tt.placed == nil {
				tt.placed = map[int][]string{}
			}
			c.Check(placed, qt.DeepEquals, tt.placed)
			c.Check(plan.Preempted, qt.DeepEquals, tt.stops)
			c.Check(plan.Waiting.Sorted(), qt.DeepEquals, collection.NewSet(tt.waiting...).Sorted())
		})
	}
}

// Guards against hosts that are given more than is free, gangs that are split,
// limits that are passed over, and stops of work that is as urgent.
func TestDecisionsKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := drawHosts(t)
		units := drawUnits(t, hosts)
		demands := drawDemands(t)
		plan := allocation.Decide(hosts, units, demands)
		free := make(map[string]workload.Resources)
		for _, h := range hosts {
			free[h.Name] = h.Free
		}
		for _, p := range plan.Placements {
			d := demands[p.Demand]
			if d.Gang && len(p.Hosts) != d.Tasks {
				t.Fatalf("gang %d of %d tasks got %v", d.ID, d.Tasks, p.Hosts)
			}
			count := make(map[string]int)
			for _, name := range p.Hosts {
				free[name] = free[name].Sub(d.Need)
				count[name]++
				if d.SpreadLimit > 0 && count[name] > d.SpreadLimit {
					t.Fatalf("demand %d has %d tasks on %s", d.ID, count[name], name)
				}
			}
		}
		for name, left := range free {
			if !left.Fits(workload.Resources{}) {
				t.Fatalf("%s is overbooked: %+v", name, left)
			}
		}
		most := allocation.Guaranteed
		for _, d := range demands {
			if d.Rank <= allocation.Urgent {
				most = max(most, d.Rank)
			}
		}
		for _, id := range plan.Preempted {
			if units[id].Rank <= allocation.Guaranteed {
				t.Fatalf("unit %d within a guarantee was stopped", id)
			}
			by, known := plan.PreemptedFor[id]
			if !known || demands[by].Rank >= units[id].Rank {
				t.Fatalf("unit %d was stopped for demand %d (known: %v), which is not more urgent", id, by, known)
			}
		}
	})
}

func drawHosts(t *rapid.T) []allocation.Host {
	var hosts []allocation.Host
	for i := range rapid.IntRange(1, 8).Draw(t, "hosts") {
		free := rapid.IntRange(0, 8).Draw(t, "free")
		h := offer(fmt.Sprintf("h%d", i), fmt.Sprintf("r%d", i/3), free, free)
		hosts = append(hosts, h)
	}
	return hosts
}

func drawUnits(t *rapid.T, hosts []allocation.Host) []allocation.Unit {
	var units []allocation.Unit
	for _, h := range hosts {
		used := 8 - h.Free.Accelerators
		for used > 0 {
			n := rapid.IntRange(1, used).Draw(t, "part")
			used -= n
			rank := allocation.Rank(rapid.IntRange(0, 3).Draw(t, "rank"))
			units = append(units, unit(len(units), rank, rapid.Float64Range(0, 100).Draw(t, "loss"), map[string]int{h.Name: n}))
		}
	}
	return units
}

func drawDemands(t *rapid.T) []allocation.Demand {
	var demands []allocation.Demand
	for i := range rapid.IntRange(0, 6).Draw(t, "demands") {
		d := want(i, allocation.Rank(rapid.IntRange(0, 3).Draw(t, "rank")), rapid.IntRange(1, 6).Draw(t, "tasks"), rapid.IntRange(1, 8).Draw(t, "each"))
		d.Gang = rapid.Bool().Draw(t, "gang")
		d.RackLocal = rapid.Bool().Draw(t, "local")
		d.RelaxLocality = rapid.Bool().Draw(t, "far")
		d.SpreadLimit = rapid.IntRange(0, 2).Draw(t, "limit")
		if rapid.Bool().Draw(t, "data") {
			d.Rack = "r0"
		}
		demands = append(demands, d)
	}
	return demands
}
