package placement

import (
	"container/heap"
	"slices"
	"time"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/tenancy/guarantee"
	"wasabihoist/internal/tenancy/organisation"
)

// Reasons given in decisions and by Explain.
const (
	reasonNoRoom     = "no place fits now"
	reasonLimit      = "the accelerator limit of the plan is reached"
	reasonLending    = "lending has stopped because a guaranteed shape has no place"
	reasonGuaranteed = "within the guarantee"
	reasonLeaving    = "waits for other jobs to leave"
)

// decision round of one call of Decide.
type round struct {
	*Planner
	now       time.Time
	decisions []Decision
	attempts  int
}

// Decide returns the steps to take now, in order. It does work for what has
// changed since the last call: new jobs are tried everywhere, and other waiting
// jobs only on racks that have gained room. The owner calls it after every change
// and at least once a second while jobs have been asked to leave, so that those
// are stopped in time.
func (p *Planner) Decide(now time.Time) []Decision {
	p.refresh(now)
	r := &round{Planner: p, now: now}
	r.stopOverdue()
	r.startHolding()
	r.relieve()
	r.useGuarantees()
	gained := r.openRound()
	r.placeUrgent(gained)
	r.beginReservations()
	if !gained || r.openClasses() {
		r.takeTurns(gained)
	}
	r.model.settled()
	r.reserve()
	r.moveForSpace()
	return r.decisions
}

// refresh applies a new configuration and the closing of organisations.
func (p *Planner) refresh(now time.Time) {
	due := !p.nextClose.IsZero() && !now.Before(p.nextClose)
	if p.configured && !due {
		return
	}
	p.configured, p.nextClose = true, time.Time{}
	entitlements := guarantee.Entitlements(p.configuration, now)
	if p.divided {
		entitlements = p.openOnly(now)
	}
	for _, o := range p.configuration.Organisations {
		if o.Closes.After(now) && (p.nextClose.IsZero() || o.Closes.Before(p.nextClose)) {
			p.nextClose = o.Closes
		}
	}
	p.ledger.SetEntitlements(entitlements)
	for id, e := range p.holders {
		if !p.ledger.IsHeld(id) {
			e.unit = 0
			delete(p.holders, id)
		}
	}
	p.guaranteesChanged()
	p.rescan = true
}

// openOnly returns the divided entitlements of organisations that are open.
func (p *Planner) openOnly(now time.Time) []guarantee.Entitlement {
	return slices.DeleteFunc(slices.Clone(p.entitled), func(x guarantee.Entitlement) bool {
		o, _, ok := p.configuration.PlanOf(x.Organisation)
		return !ok || !o.Open(now)
	})
}

// openRound starts a new round when there is more room than before, and reports
// whether there is.
func (r *round) openRound() bool {
	lends := r.ledger.Holds()
	if lends && !r.lent {
		r.rescan = true
	}
	r.lent = lends
	gained := r.rescan || len(r.model.dirty) > 0
	if gained {
		r.round++
	}
	if r.rescan {
		// Results of the last round do not count, so two rounds pass at once.
		r.round++
	}
	r.rescan = false
	return gained
}

// emit adds a decision for the place that the job has.
func (r *round) emit(kind Kind, e *entry, reason string) *Decision {
	r.decisions = append(r.decisions, Decision{Kind: kind, Job: e.job.Identity, Workers: e.workers(), Reason: reason})
	return &r.decisions[len(r.decisions)-1]
}

// start reserves the place in the model and decides on the start.
func (r *round) start(e *entry, place []*node, unit guarantee.UnitID, reason string) {
	r.claim(e, place, unit)
	r.run(e, reason)
}

// claim takes a waiting job out of its queue and gives it a place.
func (r *round) claim(e *entry, place []*node, unit guarantee.UnitID) {
	r.dequeue(e)
	r.dropReservationOf(e)
	for _, n := range place {
		if n.reservation != nil && !n.open(e, r.now) {
			r.dropReservation(n.reservation)
		}
	}
	e.place = place
	if unit != 0 {
		r.own(e, unit)
	}
	r.activate(e)
}

func (r *round) run(e *entry, reason string) {
	e.state, e.started, e.reason = Starting, r.now, ""
	r.model.occupy(e, e.place)
	r.emit(Start, e, reason)
}

// startHolding starts jobs whose place has been left by others. A borrowed job
// gives its place up when lending has stopped meanwhile.
func (r *round) startHolding() {
	for _, e := range slices.Clone(r.holding) {
		if e.unit == 0 && e.job.Shape.Total() > 0 && !r.ledger.Holds() {
			r.requeue(e)
			continue
		}
		if !r.vacant(e) {
			continue
		}
		r.holding = slices.DeleteFunc(r.holding, func(o *entry) bool { return o == e })
		r.model.unpromise(e)
		r.run(e, "others have left the place")
	}
}

// vacant reports whether nothing but promises is left on the place of e.
func (r *round) vacant(e *entry) bool {
	for n, count := range counts(e.place) {
		if !n.schedulable || !fits(times(e.member, count), n.physical()) {
			return false
		}
	}
	return true
}

// counts returns the members on each worker of a place.
func counts(place []*node) map[*node]int {
	members := make(map[*node]int, 4)
	for _, n := range place {
		members[n]++
	}
	return members
}

// turns is a heap of the organisations that have jobs to try.
type turns struct {
	list []*turn
}

type turn struct {
	tenant *tenant
	fresh  []*entry // fresh is the list to try; nil for the whole queue.
	at     int
	key    float64
}

// head returns the next job to try, or nil.
func (t *turn) head() *entry {
	list := t.tenant.queue
	if t.fresh != nil {
		list = t.fresh
	}
	for t.at < len(list) {
		if e := list[t.at]; e.state == Waiting && (t.fresh != nil || e.class.open) {
			return e
		}
		t.at++
	}
	return nil
}

func (h *turns) Len() int           { return len(h.list) }
func (h *turns) Less(i, j int) bool { return h.list[i].key < h.list[j].key }
func (h *turns) Swap(i, j int)      { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *turns) Push(x any)         { h.list = append(h.list, x.(*turn)) }

func (h *turns) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

// takeTurns starts borrowed jobs. Organisations take turns in the order of the
// policy; a job that does not fit lets the next one of its organisation try.
func (r *round) takeTurns(gained bool) {
	h := r.newTurns(gained)
	for h.Len() > 0 {
		t := h.list[0]
		e := t.head()
		if e == nil {
			heap.Pop(h)
			continue
		}
		if r.attempts >= r.options.AttemptLimit {
			r.rescan = true
			return
		}
		started := r.borrow(e)
		if !started || t.fresh != nil {
			t.at++
		}
		if next := t.head(); next != nil {
			t.key = r.policy.turn(next, r.model.capacity, &r.options)
			heap.Fix(h, 0)
		}
	}
}

// newTurns lists the organisations with waiting jobs, or only those with new
// jobs when no room was gained.
func (r *round) newTurns(gained bool) *turns {
	h := &turns{}
	for _, t := range r.order {
		if r.policy.demotes() {
			r.demote(t)
		}
		x := &turn{tenant: t}
		if !gained {
			if len(t.fresh) == 0 {
				continue
			}
			x.fresh = slices.SortedFunc(slices.Values(t.fresh), compareEntries)
		}
		t.fresh = t.fresh[:0]
		if e := x.head(); e != nil {
			x.key = r.policy.turn(e, r.model.capacity, &r.options)
			h.list = append(h.list, x)
		}
	}
	heap.Init(h)
	return h
}

// demote moves jobs that can no longer meet their deadline to where they would be
// without one. Ranks are the times at which jobs must start, so that only the
// head of the queue is looked at.
func (r *round) demote(t *tenant) {
	now := seconds(r.now)
	late := func(e *entry) bool { return !e.demoted && !e.job.Deadline.IsZero() }
	for at := 0; at < len(t.queue) && t.queue[at].rank < now; {
		e := t.queue[at]
		if !late(e) {
			at++
			continue
		}
		t.queue = slices.Delete(t.queue, at, at+1)
		e.demoted = true
		e.rank = r.policy.rank(e, &r.options)
		to, _ := slices.BinarySearchFunc(t.queue, e, compareEntries)
		t.queue = slices.Insert(t.queue, to, e)
		if to <= at {
			at++
		}
	}
}

// borrow starts the job outside of the guarantees of its organisation.
func (r *round) borrow(e *entry) bool {
	if reason := r.mayBorrow(e); reason != "" {
		e.reason = reason
		return false
	}
	place := r.search(e)
	if place == nil {
		e.reason = reasonNoRoom
		return false
	}
	r.start(e, place, 0, r.policy.String())
	return true
}

// mayBorrow returns why the job may not borrow, or nothing when it may.
func (r *round) mayBorrow(e *entry) string {
	if e.job.Shape.Total() == 0 {
		return ""
	}
	if !r.lent {
		return reasonLending
	}
	if !e.tenant.permits(e) {
		return reasonLimit
	}
	return ""
}

// search looks for a place where one may have appeared since the last search
// for a job of this class.
func (r *round) search(e *entry) []*node {
	c, racks := e.class, r.model.racks
	same := len(r.reservations) == 0 || e.runTime >= c.runTime
	if same && c.round == r.round {
		return nil
	}
	if same && c.round == r.round-1 && c.round > 0 {
		if racks = r.model.dirty; len(racks) == 0 {
			return nil
		}
	}
	r.attempts++
	place := r.find(e, e.job.Shape.Adjacency, racks, r.now)
	if place == nil {
		c.round, c.runTime = r.round, e.runTime
		// A shorter job of the class may still fit before a reservation.
		c.open = len(r.reservations) > 0 && e.runTime > c.least
	}
	return place
}

// openClasses finds the classes of waiting jobs that may fit now, so that the
// queues are walked only when some job may start. It reports whether there are
// any. A class is searched with its least run time, which fits before a
// reservation if any of its jobs does.
func (r *round) openClasses() bool {
	found := false
	for key, c := range r.classes {
		probe := &entry{class: c, member: key.member, runTime: c.least, job: job.Job{Shape: key.shape}}
		attempts := r.attempts
		c.open = true
		c.open = r.search(probe) != nil
		r.attempts = attempts
		found = found || c.open
	}
	return found
}

// useGuarantees starts jobs within the guarantees of their organisations. It
// looks only at organisations whose jobs or guarantees have changed.
func (r *round) useGuarantees() {
	for _, t := range r.order {
		gained := t.retry && (r.rescan || len(r.model.dirty) > 0)
		if !t.changed && !gained {
			continue
		}
		if r.ledger.Holds() {
			// A shape that is let go of while another has no place could be
			// given to that one, and the job would lose its guarantee.
			r.yield(t)
			r.refit(t)
		}
		t.changed, t.retry = false, false
		if r.ledger.Unheld(t.name) > 0 {
			r.promote(t)
			r.useGuaranteesOf(t)
		}
	}
}

// useGuaranteesOf starts waiting jobs of one organisation in their order. Of
// jobs that need the same place only the first that fails is tried.
func (r *round) useGuaranteesOf(t *tenant) {
	var failed []*class
	for at := 0; at < len(t.queue) && r.ledger.Unheld(t.name) > 0; {
		e := t.queue[at]
		id, shape, ok := r.ledger.Find(t.name, e.job.Shape)
		if !ok || !t.permits(e) || slices.Contains(failed, e.class) {
			at++
			continue
		}
		if !r.guarantee(e, id, shape) {
			t.retry = true
			failed = append(failed, e.class)
			at++
		}
	}
}

// smaller reports whether the job occupies a guaranteed shape without taking it
// whole.
func (r *round) smaller(e *entry) bool {
	return e.unit != 0 && !same(r.ledger.Shape(e.unit), e.job.Shape)
}

// yield takes guaranteed shapes away from smaller jobs when their organisation
// has a waiting job that takes the shape whole. The smaller jobs become borrowed.
func (r *round) yield(t *tenant) {
	for _, x := range t.active {
		if !r.smaller(x) {
			continue
		}
		shape := r.ledger.Shape(x.unit)
		if slices.ContainsFunc(t.queue, func(e *entry) bool { return same(shape, e.job.Shape) }) {
			r.releaseUnit(x)
		}
	}
}

// refit lets smaller jobs occupy a smaller guaranteed shape that has become
// unheld, so that the larger one is there for a job that takes it whole. A job
// whose place cannot be the place of the smaller shape becomes borrowed.
func (r *round) refit(t *tenant) {
	for _, x := range t.active {
		if !r.smaller(x) || len(x.place) != x.job.Shape.Members || x.state == Holding {
			continue
		}
		id, shape, ok := r.ledger.Find(t.name, x.job.Shape)
		if !ok || shape.Total() >= r.ledger.Shape(x.unit).Total() {
			continue
		}
		if shape.Adjacency != organisation.WithinWorker && shape.Members != len(x.place) {
			continue
		}
		r.releaseUnit(x)
		if r.ledger.Hold(id, names(expand(x.place, shape))) {
			r.own(x, id)
		}
	}
}

// own records that the job holds the unit.
func (p *Planner) own(e *entry, id guarantee.UnitID) {
	e.unit = id
	p.holders[id] = e
}

// promote lets running borrowed jobs occupy guaranteed shapes that are unheld.
func (r *round) promote(t *tenant) {
	for _, e := range t.active {
		if e.unit != 0 || (e.state != Running && e.state != Starting) || len(e.place) != e.job.Shape.Members {
			continue
		}
		id, shape, ok := r.ledger.Find(t.name, e.job.Shape)
		if !ok || !same(shape, e.job.Shape) || !withinShare(e, e.place) {
			continue
		}
		if r.ledger.Hold(id, names(expand(e.place, shape))) {
			r.own(e, id)
		}
	}
}

// same reports whether a job of the wanted shape takes the guaranteed shape
// whole.
func same(guaranteed, wanted organisation.Shape) bool {
	if guaranteed.Adjacency == organisation.WithinWorker && wanted.Adjacency == organisation.WithinWorker {
		return guaranteed.Total() == wanted.Total()
	}
	return guaranteed.Members == wanted.Members && guaranteed.Accelerators == wanted.Accelerators
}

// expand returns the place of a guaranteed shape for the place of a job that
// takes it whole. Shapes within a worker may be cut into members differently.
func expand(place []*node, shape organisation.Shape) []*node {
	if len(place) == shape.Members {
		return place
	}
	return slices.Repeat(place[:1], shape.Members)
}
