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
	// maxGuaranteedReclaimPlans bounds the reclaim plans that are tried for a
	// guaranteed job, because the ledger checks each against the other guarantees.
	// After them the placement that the ledger keeps for the shape is used.
	maxGuaranteedReclaimPlans = 3
	// maxReclaimPlans bounds the placements for which a reclaim is planned,
	// because each plan examines all jobs on the placement.
	maxReclaimPlans = 64
	// maxExactVictims is the number of jobs on a worker up to which all
	// combinations are compared; above it the cheapest jobs are chosen one by one.
	maxExactVictims = 6
	// lostRunTimeShare is the share of the elapsed run time that counts as
	// lost, since some checkpoints time out.
	lostRunTimeShare = 0.1
	// nonIdempotentFactor keeps jobs that cannot run twice from being
	// reclaimed while there is an alternative.
	nonIdempotentFactor = 100
)

// reclaimPlan is a placement for a job and the jobs to reclaim from it.
type reclaimPlan struct {
	placement []*node
	victims   []*entry
	cost      float64 // cost in lost accelerator-seconds.
}

// startGuaranteed starts a job on a guaranteed shape of its organisation and
// reclaims borrowed accelerators where needed. It reports whether the job was assigned
// a placement; the job then is in state Starting or Holding.
func (r *round) startGuaranteed(e *entry, id guarantee.UnitID, shape organisation.Shape) bool {
	e.seekingGuarantee = true
	defer func() { e.seekingGuarantee = false }()
	if matchesWholeShape(shape, e.job.Shape) {
		adjacency := narrower(shape.Adjacency, e.job.Shape.Adjacency)
		placement := r.findPlacement(e, adjacency, r.model.racks, r.now)
		if placement != nil && isWithinProportionalShare(e, placement) && r.ledger.Hold(id, workerNamesOf(placementOfShape(placement, shape))) {
			r.startOn(e, placement, id, reasonGuaranteed)
			return true
		}
		for _, plan := range r.reclaimPlans(e, adjacency, maxGuaranteedReclaimPlans) {
			if len(plan.victims) > 0 && !r.mayReclaim(e) {
				continue
			}
			if isWithinProportionalShare(e, plan.placement) && r.ledger.Hold(id, workerNamesOf(placementOfShape(plan.placement, shape))) {
				r.holdPlacement(e, plan, id, reasonGuaranteed)
				return true
			}
		}
	}
	return r.startInLedgerPlacement(e, id, shape)
}

// startInLedgerPlacement is startGuaranteed on the workers that the ledger keeps for
// the shape.
func (r *round) startInLedgerPlacement(e *entry, id guarantee.UnitID, shape organisation.Shape) bool {
	ledgerNames := r.ledger.Placement(id)
	placement := make([]*node, 0, e.job.Shape.Members)
	for i := range e.job.Shape.Members {
		placement = append(placement, r.model.nodes[ledgerNames[min(i, len(ledgerNames)-1)]])
	}
	if shape.Adjacency != organisation.WithinWorker && !isWithinAdjacency(placement, e.job.Shape.Adjacency) {
		return false
	}
	if !isWithinProportionalShare(e, placement) {
		return false
	}
	plan, ok := r.planReclaim(e, placement)
	if !r.mayReclaim(e) && (!ok || len(plan.victims) > 0) {
		return false
	}
	if !ok {
		r.requeueHoldingBorrowedJobs(placement)
		plan, ok = r.planReclaim(e, placement)
	}
	if !ok || !r.ledger.Hold(id, ledgerNames) {
		return false
	}
	r.holdPlacement(e, plan, id, reasonGuaranteed)
	return true
}

// requeueHoldingBorrowedJobs requeues the borrowed jobs that hold part of the
// placement.
func (r *round) requeueHoldingBorrowedJobs(placement []*node) {
	for _, h := range slices.Clone(r.holding) {
		overlapsPlacement := func(n *node) bool { return slices.Contains(placement, n) }
		if h.unit == 0 && slices.ContainsFunc(h.placement, overlapsPlacement) {
			r.requeue(h)
		}
	}
}

// isWithinAdjacency reports whether the placement satisfies the adjacency.
func isWithinAdjacency(placement []*node, adjacency organisation.Adjacency) bool {
	for _, n := range placement {
		if adjacency == organisation.WithinWorker && n != placement[0] {
			return false
		}
		if adjacency == organisation.WithinRack && n.rack != placement[0].rack {
			return false
		}
	}
	return true
}

// isWithinProportionalShare reports whether the share of the cores and memory
// of each worker that a member uses is at most its share of the accelerators.
// Jobs that use more are never guaranteed, so that guaranteed jobs always fit
// together.
func isWithinProportionalShare(e *entry, placement []*node) bool {
	for _, n := range placement {
		c := n.worker.Capacity
		share := float64(e.member.Accelerators) / float64(max(c.Accelerators, 1))
		if e.member.Cores > c.Cores*share+coreTolerance || float64(e.member.Memory) > float64(c.Memory)*share {
			return false
		}
	}
	return true
}

// holdPlacement assigns the placement to the job and reclaims the other jobs
// on it. The job starts at once if nothing has to be reclaimed.
func (r *round) holdPlacement(e *entry, plan reclaimPlan, id guarantee.UnitID, reason string) {
	for _, x := range plan.victims {
		r.reclaim(x, e, "taken back for another job: "+reason)
	}
	r.assign(e, plan.placement, id)
	if r.isPlacementFree(e) {
		r.emitStart(e, reason)
		return
	}
	r.shortenCheckpoints(e)
	e.state, e.reason = Holding, reasonAwaitingReclaim
	r.model.addHeld(e)
	r.holding = append(r.holding, e)
}

// shortenCheckpoints applies the shorter checkpoint timeout of an urgent job to the
// jobs on its placement that are already being reclaimed.
func (r *round) shortenCheckpoints(e *entry) {
	if !e.job.Urgent {
		return
	}
	limit := r.now.Add(r.checkpointTimeoutFor(e))
	if e.firstUrgentReclaim.IsZero() {
		e.firstUrgentReclaim = r.now
	}
	for _, x := range r.reclaiming {
		if overlaps(x.placement, e.placement) && limit.Before(x.reclaimDeadline) {
			x.reclaimDeadline = limit
		}
	}
}

// reclaim decides the reclaim of a running job for the benefit of another job
// or of the job itself.
func (r *round) reclaim(x, beneficiary *entry, reason string) {
	limit := r.checkpointTimeoutFor(beneficiary)
	x.state, x.reclaimDeadline = Reclaiming, r.now.Add(limit)
	x.reason = reason
	r.model.addReleasing(x)
	r.reclaiming = append(r.reclaiming, x)
	d := r.emit(Reclaim, x, reason)
	d.Checkpoint, d.CheckpointTimeout, d.Beneficiary = true, limit, beneficiary.job.Identity
}

// stopOverdueReclaims stops reclaimed jobs whose checkpoint timed out.
func (r *round) stopOverdueReclaims() {
	for _, x := range r.reclaiming {
		if x.stopForced || r.now.Before(x.reclaimDeadline) {
			continue
		}
		x.stopForced = true
		r.emit(Reclaim, x, "the checkpoint did not finish in time")
	}
}

// isReclaimableFor reports whether x may be reclaimed for e. Urgent jobs are reclaimed
// only for a job that seeks a guaranteed shape.
func isReclaimableFor(x, e *entry) bool {
	if x.unit != 0 || (x.state != Running && x.state != Starting) || len(x.placement) < x.job.Shape.Members {
		return false
	}
	if x.isOnSilentWorker() {
		return false
	}
	return e.seekingGuarantee || !x.job.Urgent
}

// reclaimCost is the accelerator-seconds that a reclaim of x loses. Cores have
// a small weight, so that small tasks are preferred over large ones.
func (r *round) reclaimCost(x *entry) float64 {
	const coreWeight = 0.01
	members := float64(x.job.Shape.Members)
	size := members * (float64(x.member.Accelerators) + coreWeight*x.member.Cores)
	elapsed := max(r.now.Sub(x.started), 0)
	cost := size * (r.options.MoveCost.Seconds() + lostRunTimeShare*elapsed.Seconds())
	if !x.job.Idempotent {
		cost *= nonIdempotentFactor
	}
	return cost
}

// planReclaim returns the jobs to reclaim so that e fits on the placement, and
// false if no reclaim is enough.
func (r *round) planReclaim(e *entry, placement []*node) (reclaimPlan, bool) {
	plan := reclaimPlan{placement: placement}
	members := membersByNode(placement)
	for i, n := range placement {
		if slices.Contains(placement[:i], n) {
			continue
		}
		if !n.schedulable {
			return plan, false
		}
		missing := multiply(e.member, members[n]).Minus(n.futureFree())
		for _, x := range plan.victims {
			missing = missing.Minus(n.usedBy(x))
		}
		if fitsIn(missing, worker.Resources{}) {
			continue
		}
		victims, ok := r.chooseVictims(n, e, missing, plan.victims)
		if !ok {
			return plan, false
		}
		plan.victims = append(plan.victims, victims...)
	}
	for _, x := range plan.victims {
		plan.cost += r.reclaimCost(x)
	}
	return plan, true
}

// usedBy returns the resources that the job uses on the worker.
func (n *node) usedBy(e *entry) worker.Resources {
	for _, t := range n.jobs {
		if t.entry == e {
			return multiply(e.member, t.members)
		}
	}
	return worker.Resources{}
}

// chooseVictims returns jobs on the worker that free the missing resources. Their
// reclaim cost is the lowest if at most maxExactVictims jobs qualify; otherwise the
// jobs are chosen one by one, the cheapest first.
func (r *round) chooseVictims(n *node, e *entry, missing worker.Resources, chosen []*entry) ([]*entry, bool) {
	var choices []*entry
	for _, t := range n.jobs {
		if isReclaimableFor(t.entry, e) && !slices.Contains(chosen, t.entry) && freesAnyOf(t.entry.member, missing) {
			choices = append(choices, t.entry)
		}
	}
	slices.SortStableFunc(choices, func(a, b *entry) int { return cmp.Compare(r.reclaimCost(a), r.reclaimCost(b)) })
	if len(choices) <= maxExactVictims {
		return r.cheapestSubset(n, missing, choices)
	}
	var victims []*entry
	for _, x := range choices {
		if !freesAnyOf(x.member, missing) {
			continue
		}
		victims = append(victims, x)
		if missing = missing.Minus(n.usedBy(x)); fitsIn(missing, worker.Resources{}) {
			return victims, true
		}
	}
	return nil, false
}

// freesAnyOf reports whether tasks of the size free any of the missing resources.
func freesAnyOf(freed, missing worker.Resources) bool {
	return (missing.Accelerators > 0 && freed.Accelerators > 0) ||
		(missing.Cores > coreTolerance && freed.Cores > 0) || (missing.Memory > 0 && freed.Memory > 0)
}

// cheapestSubset compares all subsets of the choices.
func (r *round) cheapestSubset(n *node, missing worker.Resources, choices []*entry) ([]*entry, bool) {
	best, lowest := -1, 0.0
	for subset := 1; subset < 1<<len(choices); subset++ {
		cost, remaining := 0.0, missing
		for i, x := range choices {
			if subset&(1<<i) != 0 {
				cost += r.reclaimCost(x)
				remaining = remaining.Minus(n.usedBy(x))
			}
		}
		if fitsIn(remaining, worker.Resources{}) && (best < 0 || cost < lowest) {
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

// reclaimPlans returns up to limit plans for the job, the lowest cost first.
func (r *round) reclaimPlans(e *entry, adjacency organisation.Adjacency, limit int) []reclaimPlan {
	var found []reclaimPlan
	members := e.job.Shape.Members
	try := func(nodes []*node) {
		if len(found) >= maxReclaimPlans {
			return
		}
		if placement := r.placeWithFewestReclaims(e, nodes); placement != nil {
			if v, ok := r.planReclaim(e, placement); ok {
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
	slices.SortStableFunc(found, func(a, b reclaimPlan) int { return cmp.Compare(a.cost, b.cost) })
	return found[:min(limit, len(found))]
}

// placeWithFewestReclaims assigns the members first to resources that are or
// become free, and then to resources that can be reclaimed. Workers with room
// for more members are used first.
func (r *round) placeWithFewestReclaims(e *entry, nodes []*node) []*node {
	// withoutReclaim and withReclaim count the members that fit on the worker once
	// all current reclaims are done, and those that fit if all reclaimable jobs are
	// reclaimed too.
	type choice struct {
		node                        *node
		withoutReclaim, withReclaim int
	}
	members := e.job.Shape.Members
	var choices []choice
	total := 0
	for _, n := range nodes {
		if !n.schedulable || slices.Contains(e.avoid, n) || !fitsIn(e.member, n.worker.Capacity) {
			continue
		}
		room := n.futureFree()
		for _, t := range n.jobs {
			if isReclaimableFor(t.entry, e) {
				room = room.Plus(multiply(t.entry.member, t.members))
			}
		}
		c := choice{n, slots(n.futureFree(), e.member, members), slots(room, e.member, members)}
		total += c.withReclaim
		choices = append(choices, c)
	}
	if total < members {
		return nil
	}
	slices.SortStableFunc(choices, func(a, b choice) int {
		return cmp.Or(cmp.Compare(b.withoutReclaim, a.withoutReclaim), cmp.Compare(b.withReclaim, a.withReclaim))
	})
	placement := make([]*node, 0, members)
	for _, c := range choices {
		for range min(c.withoutReclaim, members-len(placement)) {
			placement = append(placement, c.node)
		}
	}
	for _, c := range choices {
		for range min(c.withReclaim-c.withoutReclaim, members-len(placement)) {
			placement = append(placement, c.node)
		}
	}
	return placement
}

// startUrgentJobs starts urgent jobs and reclaims borrowed accelerators for
// them at once.
func (r *round) startUrgentJobs(gained bool) {
	for _, e := range slices.Clone(r.urgent) {
		isNew := slices.Contains(e.tenant.arrived, e)
		if !e.tenant.allowsUrgent || (!gained && !isNew && !e.retryReclaim) {
			continue
		}
		e.retryReclaim = false
		if reason := r.borrowRefusal(e); reason != "" {
			e.reason = reason
			continue
		}
		if placement := r.findAvoidingFailures(e, e.job.Shape.Adjacency, r.model.racks, r.now); placement != nil {
			r.startOn(e, placement, 0, "urgent")
			continue
		}
		if !r.mayReclaim(e) {
			continue
		}
		found := r.reclaimPlans(e, e.job.Shape.Adjacency, 1)
		if len(found) == 0 && len(e.avoid) > 0 {
			e.avoid = nil
			found = r.reclaimPlans(e, e.job.Shape.Adjacency, 1)
		}
		if len(found) > 0 {
			r.holdPlacement(e, found[0], 0, "urgent")
		}
	}
}

// remainingRunTime is the expected time until the job ends.
func (r *round) remainingRunTime(e *entry) time.Duration { return e.expectedEnd(r.now).Sub(r.now) }
