package coordinator

import (
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/workload"
)

// decision is a plan with what it was made from.
type decision struct {
	steps   []waitingStep
	demands []allocation.Demand // demands are in the order in which they are served; their IDs are indices of steps.
	hosts   []allocation.Host
	plan    allocation.Plan
}

// decide makes a plan for the waiting tasks and carries nothing out.
func (t *term) decide() decision {
	t.known = newKnown()
	defer func() { t.known = known{} }()
	var d decision
	if d.steps, d.demands = t.demands(); len(d.demands) > 0 {
		begin := now()
		d.hosts = t.hostModel()
		d.plan = allocation.Decide(d.hosts, t.preemptibleUnits(), d.demands)
		t.metrics.planTime.Record(now() - begin)
	}
	return d
}

// known holds what one decision needs several times. The jobs, runs and hosts don't
// change while it is made. The maps are nil while none is made.
type known struct {
	guaranteed map[struct{}]collection.Set[workload.ID] // guaranteed holds the jobs within guarantees.
	remaining  map[occurrenceKey]time.Duration          // remaining holds the remaining times of occurrences.
	rooms      map[string]serviceRoom                   // rooms holds the room of services.
}

func newKnown() known {
	return known{make(map[struct{}]collection.Set[workload.ID]), make(map[occurrenceKey]time.Duration), make(map[string]serviceRoom)}
}

// once returns the value that is kept for a key, or computes and keeps it. It keeps
// nothing in a nil map.
func once[K comparable, V any](kept map[K]V, key K, compute func() V) V {
	if v, ok := kept[key]; ok {
		return v
	}
	v := compute()
	if kept != nil {
		kept[key] = v
	}
	return v
}

// occurrenceKey identifies an occurrence.
type occurrenceKey struct {
	job    *jobState
	number int
}

// serviceRoom is the room on the hosts of a service that accept work.
type serviceRoom struct{ capacity, free workload.Resources }

// roomOf returns the room of a service.
func (t *term) roomOf(service string) serviceRoom {
	return once(t.known.rooms, service, func() serviceRoom {
		at := now()
		var room serviceRoom
		for _, h := range t.hosts {
			if h.minion.Service == service && h.acceptsWork(at) {
				room.capacity, room.free = room.capacity.Add(h.minion.Capacity), room.free.Add(h.free())
			}
		}
		return room
	})
}
