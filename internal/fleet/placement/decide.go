package placement

import (
	"slices"
	"time"

	"wasabihoist/internal/tenancy/guarantee"
)

// Reasons given in decisions and by Explain.
const (
	reasonNoPlacement      = "no place fits now"
	reasonAcceleratorLimit = "the accelerator limit of the plan is reached"
	reasonLendingStopped   = "lending has stopped because a guaranteed shape has no place"
	reasonGuaranteed       = "within the guarantee"
	reasonAwaitingReclaim  = "waits for other jobs to leave"
	reasonSearchLimit      = "the last decision reached its limit of searches before the turn of the job"
)

// round is the state of one call of Decide.
type round struct {
	*Planner
	now       time.Time
	decisions []Decision
	searches  int // searches counts those for borrowed jobs in this call; at most Options.SearchLimit.
}

// Decide returns the decisions to carry out now, in order. Its work depends on
// what has changed since the last call: new jobs are tried on all racks, and
// other waiting jobs only on racks that have gained room. The owner calls it
// after every change, and at least once a second while jobs are being
// reclaimed, so that a job whose checkpoint takes too long is stopped in time.
func (p *Planner) Decide(now time.Time) []Decision {
	p.refreshEntitlements(now)
	p.unexamined = nil
	r := &round{Planner: p, now: now}
	r.stopOverdueReclaims()
	r.retryDelayedReclaims()
	r.startHoldingJobs()
	r.relieveOverloadedWorkers()
	r.startGuaranteedJobs()
	gained := r.advanceSearchGeneration()
	r.startUrgentJobs(gained)
	r.startReservedJobs()
	// Without more room only new jobs are tried, so the classes need no search.
	if !gained || r.findFittingClasses() {
		r.startBorrowedJobs(gained)
	}
	r.model.clearGainedRoom()
	r.makeReservation()
	r.defragment()
	return r.decisions
}

// refreshEntitlements recomputes the entitlements after a new configuration or
// when an organisation closes.
func (p *Planner) refreshEntitlements(now time.Time) {
	due := !p.nextClose.IsZero() && !now.Before(p.nextClose)
	if p.entitlementsCurrent && !due {
		return
	}
	p.entitlementsCurrent, p.nextClose = true, p.configuration.NextClose(now)
	entitlements := guarantee.Entitlements(p.configuration, now)
	if p.usesDividedEntitlements {
		entitlements = p.openEntitlements(now)
	}
	p.ledger.SetEntitlements(entitlements)
	for id, e := range p.unitHolders {
		if !p.ledger.IsHeld(id) {
			e.unit = 0
			delete(p.unitHolders, id)
		}
	}
	p.retryAllGuarantees()
	p.rescanAll = true
}

// openEntitlements returns the divided entitlements of organisations that are open.
func (p *Planner) openEntitlements(now time.Time) []guarantee.Entitlement {
	return slices.DeleteFunc(slices.Clone(p.dividedEntitlements), func(x guarantee.Entitlement) bool {
		o, _, ok := p.configuration.PlanOf(x.Organisation)
		return !ok || !o.Open(now)
	})
}

// advanceSearchGeneration increments the search generation when racks have gained room
// or a search on all racks is requested, and reports whether it did. A class whose
// search failed in the previous generation is searched on gained racks only.
func (r *round) advanceSearchGeneration() bool {
	mayLend := r.mayLend()
	if mayLend && !r.lending {
		r.rescanAll = true
	}
	r.lending = mayLend
	gained := r.rescanAll || len(r.model.gainedRacks) > 0
	if gained {
		r.searchGeneration++
	}
	if r.rescanAll {
		// All racks have to be searched, so no failure may count as one of the
		// previous generation.
		r.searchGeneration++
	}
	r.rescanAll = false
	return gained
}

// emit adds a decision on the current placement of the job. The pointer is valid
// until the next call.
func (r *round) emit(kind Kind, e *entry, reason string) *Decision {
	r.decisions = append(r.decisions, Decision{Kind: kind, Job: e.job.Identity, Workers: e.workerNames(), Reason: reason})
	return &r.decisions[len(r.decisions)-1]
}

// startOn assigns the placement and decides the start.
func (r *round) startOn(e *entry, placement []*node, unit guarantee.UnitID, reason string) {
	r.assign(e, placement, unit)
	r.emitStart(e, reason)
}

// assign removes a waiting job from its queue and gives it a placement. It drops the
// reservation of the job, and those of other jobs on its workers that it would delay.
func (r *round) assign(e *entry, placement []*node, unit guarantee.UnitID) {
	r.dequeue(e)
	r.dropReservationOf(e)
	for _, n := range placement {
		if n.reservation != nil && !n.accepts(e, r.now) {
			r.dropReservation(n.reservation)
		}
	}
	e.placement = placement
	if unit != 0 {
		r.setHolder(e, unit)
	}
	r.activate(e)
}

// emitStart sets the state of the job to Starting, allocates the resources of its
// placement and adds the decision.
func (r *round) emitStart(e *entry, reason string) {
	e.state, e.started, e.reason = Starting, r.now, ""
	r.model.allocate(e, e.placement)
	r.emit(Start, e, reason)
}

// startHoldingJobs starts the jobs whose placement other jobs have released. A
// borrowed job returns to its queue if lending has stopped meanwhile.
func (r *round) startHoldingJobs() {
	for _, e := range slices.Clone(r.holding) {
		if e.unit == 0 && e.job.Shape.Total() > 0 && !r.mayLend() {
			r.requeue(e)
			continue
		}
		if !r.isPlacementFree(e) {
			continue
		}
		r.holding = slices.DeleteFunc(r.holding, func(o *entry) bool { return o == e })
		r.model.removeHeld(e)
		r.emitStart(e, "others have left the place")
	}
}

// isPlacementFree reports whether all workers of the placement are schedulable and no
// task uses the resources that e needs there. Held resources count as free.
func (r *round) isPlacementFree(e *entry) bool {
	for n, count := range membersByNode(e.placement) {
		if !n.schedulable || !fitsIn(multiply(e.member, count), n.unused()) {
			return false
		}
	}
	return true
}

// membersByNode counts the members on each worker of a placement.
func membersByNode(placement []*node) map[*node]int {
	members := make(map[*node]int, 4)
	for _, n := range placement {
		members[n]++
	}
	return members
}
