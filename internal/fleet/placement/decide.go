package placement

import (
	"slices"
	"time"

	"wasabihoist/internal/tenancy/guarantee"
)

// Reasons given in decisions and by Explain.
const (
	reasonNoRoom     = "no place fits now"
	reasonLimit      = "the accelerator limit of the plan is reached"
	reasonLending    = "lending has stopped because a guaranteed shape has no place"
	reasonGuaranteed = "within the guarantee"
	reasonLeaving    = "waits for other jobs to leave"
	reasonLeft       = "the last decision reached its limit of searches before the turn of the job"
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
	p.left = nil
	r := &round{Planner: p, now: now}
	r.stopOverdue()
	r.openReclaim()
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
	p.configured, p.nextClose = true, p.configuration.NextClose(now)
	entitlements := guarantee.Entitlements(p.configuration, now)
	if p.divided {
		entitlements = p.openOnly(now)
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
	lends := r.lends()
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
		if e.unit == 0 && e.job.Shape.Total() > 0 && !r.lends() {
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
