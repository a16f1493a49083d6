package placement

import (
	"cmp"
	"slices"
	"time"

	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/guarantee"
	"wasabihoist/internal/tenancy/organisation"
)

const (
	// candidatePlaces is how many places are compared with the guarantees of
	// others before the place that the ledger keeps is taken.
	candidatePlaces = 3
	// comparedPlaces bounds the places for which the jobs that have to leave are
	// worked out, because that looks at all their tasks.
	comparedPlaces = 64
	// exactVictims is how many jobs on a worker are compared in all
	// combinations; above it the cheapest are taken one by one.
	exactVictims = 6
	// lostShare is the share of the elapsed run time that counts as lost, since
	// some checkpoints do not finish in their time.
	lostShare = 0.1
	// onceFactor keeps jobs that cannot run twice from being reclaimed while
	// there is another choice.
	onceFactor = 100
)

// vacation is a place for a job and the jobs that have to leave it.
type vacation struct {
	place   []*node
	victims []*entry
	lost    float64 // lost accelerator-seconds.
}

// guarantee starts a job on a guaranteed shape of its organisation, taking back
// borrowed accelerators where needed.
func (r *round) guarantee(e *entry, id guarantee.UnitID, shape organisation.Shape) bool {
	e.entitled = true
	defer func() { e.entitled = false }()
	if same(shape, e.job.Shape) {
		adjacency := stricter(shape.Adjacency, e.job.Shape.Adjacency)
		place := r.find(e, adjacency, r.model.racks, r.now)
		if place != nil && withinShare(e, place) && r.ledger.Hold(id, names(expand(place, shape))) {
			r.start(e, place, id, reasonGuaranteed)
			return true
		}
		for _, v := range r.vacations(e, adjacency, candidatePlaces) {
			if len(v.victims) > 0 && !r.mayReclaim(e) {
				continue
			}
			if withinShare(e, v.place) && r.ledger.Hold(id, names(expand(v.place, shape))) {
				r.hold(e, v, id, reasonGuaranteed)
				return true
			}
		}
	}
	return r.guaranteeInPlace(e, id, shape)
}

// guaranteeInPlace starts a job on the place that the ledger keeps for the
// shape.
func (r *round) guaranteeInPlace(e *entry, id guarantee.UnitID, shape organisation.Shape) bool {
	kept := r.ledger.Place(id)
	place := make([]*node, 0, e.job.Shape.Members)
	for i := range e.job.Shape.Members {
		place = append(place, r.model.nodes[kept[min(i, len(kept)-1)]])
	}
	if shape.Adjacency != organisation.WithinWorker && !near(place, e.job.Shape.Adjacency) {
		return false
	}
	if !withinShare(e, place) {
		return false
	}
	v, ok := r.vacate(e, place)
	if !r.mayReclaim(e) && (!ok || len(v.victims) > 0) {
		return false
	}
	if !ok {
		r.breakPromises(place)
		v, ok = r.vacate(e, place)
	}
	if !ok || !r.ledger.Hold(id, kept) {
		return false
	}
	r.hold(e, v, id, reasonGuaranteed)
	return true
}

// breakPromises lets borrowed jobs that wait for others to leave the place wait
// for another one.
func (r *round) breakPromises(place []*node) {
	for _, h := range slices.Clone(r.holding) {
		on := func(n *node) bool { return slices.Contains(place, n) }
		if h.unit == 0 && slices.ContainsFunc(h.place, on) {
			r.requeue(h)
		}
	}
}

// near reports whether the place is within the adjacency.
func near(place []*node, adjacency organisation.Adjacency) bool {
	for _, n := range place {
		if adjacency == organisation.WithinWorker && n != place[0] {
			return false
		}
		if adjacency == organisation.WithinRack && n.rack != place[0].rack {
			return false
		}
	}
	return true
}

// withinShare reports whether the job takes no more cores and memory than its
// accelerators are of the worker's. Jobs that take more are never guaranteed, so
// that guaranteed jobs together always fit.
func withinShare(e *entry, place []*node) bool {
	for _, n := range place {
		c := n.worker.Capacity
		share := float64(e.member.Accelerators) / float64(max(c.Accelerators, 1))
		if e.member.Cores > c.Cores*share+coreRounding || float64(e.member.Memory) > float64(c.Memory)*share {
			return false
		}
	}
	return true
}

// hold gives the job the place and asks the others to leave. The job starts at
// once when nobody is in the way.
func (r *round) hold(e *entry, v vacation, id guarantee.UnitID, reason string) {
	for _, x := range v.victims {
		r.reclaim(x, e, "taken back for another job: "+reason)
	}
	r.claim(e, v.place, id)
	if r.vacant(e) {
		r.run(e, reason)
		return
	}
	r.hurry(e)
	e.state, e.reason = Holding, reasonLeaving
	r.model.promise(e)
	r.holding = append(r.holding, e)
}

// hurry shortens the time of jobs that were asked to leave the place earlier, for
// a job that was not urgent.
func (r *round) hurry(e *entry) {
	if !e.job.Urgent {
		return
	}
	limit := r.now.Add(r.checkpointFor(e))
	if e.urged.IsZero() {
		e.urged = r.now
	}
	for _, x := range r.leaving {
		if overlap(x.place, e.place) && limit.Before(x.leaveBy) {
			x.leaveBy = limit
		}
	}
}

// reclaim asks a running job to leave for the gain of another, which may be the
// job itself.
func (r *round) reclaim(x, gainer *entry, reason string) {
	limit := r.checkpointFor(gainer)
	x.state, x.leaveBy = Reclaiming, r.now.Add(limit)
	x.reason = reason
	r.model.leave(x)
	r.leaving = append(r.leaving, x)
	d := r.emit(Reclaim, x, reason)
	d.Checkpoint, d.CheckpointTimeout, d.Beneficiary = true, limit, gainer.job.Identity
}

// stopOverdue stops reclaimed jobs whose checkpoint did not finish in time.
func (r *round) stopOverdue() {
	for _, x := range r.leaving {
		if x.forced || r.now.Before(x.leaveBy) {
			continue
		}
		x.forced = true
		r.emit(Reclaim, x, "the checkpoint did not finish in time")
	}
}

// reclaimable reports whether x may be asked to leave for e.
func reclaimable(x, e *entry) bool {
	if x.unit != 0 || (x.state != Running && x.state != Starting) || len(x.place) < x.job.Shape.Members {
		return false
	}
	if x.onSilent() {
		return false
	}
	return e.entitled || !x.job.Urgent
}

// lost is the accelerator-seconds that a reclaim of x costs. Cores count a
// little, so that small tasks are preferred over large ones.
func (r *round) lost(x *entry) float64 {
	const coreWeight = 0.01
	members := float64(x.job.Shape.Members)
	size := members * (float64(x.member.Accelerators) + coreWeight*x.member.Cores)
	elapsed := max(r.now.Sub(x.started), 0)
	cost := size * (r.options.MoveCost.Seconds() + lostShare*elapsed.Seconds())
	if !x.job.Idempotent {
		cost *= onceFactor
	}
	return cost
}

// vacate finds the jobs that have to leave the place so that e fits there.
func (r *round) vacate(e *entry, place []*node) (vacation, bool) {
	v := vacation{place: place}
	members := counts(place)
	for i, n := range place {
		if slices.Contains(place[:i], n) {
			continue
		}
		if !n.schedulable {
			return v, false
		}
		missing := times(e.member, members[n]).Minus(n.eventual())
		for _, x := range v.victims {
			missing = missing.Minus(n.usedBy(x))
		}
		if fits(missing, worker.Resources{}) {
			continue
		}
		victims, ok := r.victims(n, e, missing, v.victims)
		if !ok {
			return v, false
		}
		v.victims = append(v.victims, victims...)
	}
	for _, x := range v.victims {
		v.lost += r.lost(x)
	}
	return v, true
}

// usedBy returns what the job uses on the worker.
func (n *node) usedBy(e *entry) worker.Resources {
	for _, t := range n.tasks {
		if t.entry == e {
			return times(e.member, t.count)
		}
	}
	return worker.Resources{}
}

// victims chooses the jobs on the worker whose leaving frees what is missing
// with the fewest lost accelerator-hours.
func (r *round) victims(n *node, e *entry, missing worker.Resources, chosen []*entry) ([]*entry, bool) {
	var choices []*entry
	for _, t := range n.tasks {
		if reclaimable(t.entry, e) && !slices.Contains(chosen, t.entry) && helps(t.entry.member, missing) {
			choices = append(choices, t.entry)
		}
	}
	slices.SortStableFunc(choices, func(a, b *entry) int { return cmp.Compare(r.lost(a), r.lost(b)) })
	if len(choices) <= exactVictims {
		return r.cheapestSubset(n, missing, choices)
	}
	var victims []*entry
	for _, x := range choices {
		if !helps(x.member, missing) {
			continue
		}
		victims = append(victims, x)
		if missing = missing.Minus(n.usedBy(x)); fits(missing, worker.Resources{}) {
			return victims, true
		}
	}
	return nil, false
}

// helps reports whether tasks of the size give any of what is missing.
func helps(gives, missing worker.Resources) bool {
	return (missing.Accelerators > 0 && gives.Accelerators > 0) ||
		(missing.Cores > coreRounding && gives.Cores > 0) || (missing.Memory > 0 && gives.Memory > 0)
}

// cheapestSubset compares all subsets of the choices.
func (r *round) cheapestSubset(n *node, missing worker.Resources, choices []*entry) ([]*entry, bool) {
	best, lowest := -1, 0.0
	for subset := 1; subset < 1<<len(choices); subset++ {
		cost, left := 0.0, missing
		for i, x := range choices {
			if subset&(1<<i) != 0 {
				cost += r.lost(x)
				left = left.Minus(n.usedBy(x))
			}
		}
		if fits(left, worker.Resources{}) && (best < 0 || cost < lowest) {
			best, lowest = subset, cost
		}
	}
	if best < 0 {
		return nil, false
	}
	var victims []*entry
	for i, x := range choices {
		if best&(1<<i) != 0 {
			victims = append(victims, x)
		}
	}
	return victims, true
}

// vacations returns up to limit places for the job that others can be asked to
// leave, with the fewest lost accelerator-hours first.
func (r *round) vacations(e *entry, adjacency organisation.Adjacency, limit int) []vacation {
	var found []vacation
	members := e.job.Shape.Members
	try := func(nodes []*node) {
		if len(found) >= comparedPlaces {
			return
		}
		if place := r.roomiest(e, nodes); place != nil {
			if v, ok := r.vacate(e, place); ok {
				found = append(found, v)
			}
		}
	}
	var all []*node
	for _, k := range r.model.racks {
		switch {
		case members == 1 || adjacency == organisation.WithinWorker:
			for i := range k.nodes {
				try(k.nodes[i : i+1])
			}
		case adjacency == organisation.WithinRack:
			try(k.nodes)
		default:
			all = append(all, k.nodes...)
		}
	}
	if all != nil {
		try(all)
	}
	slices.SortStableFunc(found, func(a, b vacation) int { return cmp.Compare(a.lost, b.lost) })
	return found[:min(limit, len(found))]
}

// roomiest puts the members on workers where the fewest others have to leave.
func (r *round) roomiest(e *entry, nodes []*node) []*node {
	type choice struct {
		node          *node
		now, possible int
	}
	members := e.job.Shape.Members
	var choices []choice
	total := 0
	for _, n := range nodes {
		if !n.schedulable || slices.Contains(e.avoid, n) || !fits(e.member, n.worker.Capacity) {
			continue
		}
		possible := n.eventual()
		for _, t := range n.tasks {
			if reclaimable(t.entry, e) {
				possible = possible.Plus(times(t.entry.member, t.count))
			}
		}
		c := choice{n, slots(n.eventual(), e.member, members), slots(possible, e.member, members)}
		total += c.possible
		choices = append(choices, c)
	}
	if total < members {
		return nil
	}
	slices.SortStableFunc(choices, func(a, b choice) int {
		return cmp.Or(cmp.Compare(b.now, a.now), cmp.Compare(b.possible, a.possible))
	})
	place := make([]*node, 0, members)
	for _, c := range choices {
		for range min(c.now, members-len(place)) {
			place = append(place, c.node)
		}
	}
	for _, c := range choices {
		for range min(c.possible-c.now, members-len(place)) {
			place = append(place, c.node)
		}
	}
	return place
}

// placeUrgent starts urgent jobs, taking back borrowed accelerators at once.
func (r *round) placeUrgent(gained bool) {
	for _, e := range slices.Clone(r.urgent) {
		isNew := slices.Contains(e.tenant.fresh, e)
		if !e.tenant.urgent || (!gained && !isNew && !e.retry) {
			continue
		}
		e.retry = false
		if reason := r.mayBorrow(e); reason != "" {
			e.reason = reason
			continue
		}
		if place := r.findElsewhere(e, e.job.Shape.Adjacency, r.model.racks, r.now); place != nil {
			r.start(e, place, 0, "urgent")
			continue
		}
		if !r.mayReclaim(e) {
			continue
		}
		found := r.vacations(e, e.job.Shape.Adjacency, 1)
		if len(found) == 0 && len(e.avoid) > 0 {
			e.avoid = nil
			found = r.vacations(e, e.job.Shape.Adjacency, 1)
		}
		if len(found) > 0 {
			r.hold(e, found[0], 0, "urgent")
		}
	}
}

// remaining is the expected time until the job ends.
func (r *round) remaining(e *entry) time.Duration { return e.expectedEnd(r.now).Sub(r.now) }
