// Package placement decides which jobs of a data centre run on which workers,
// and which running jobs have their accelerators reclaimed.
//
// A guaranteed job occupies a guaranteed shape of its organisation and is never
// reclaimed. All other jobs are borrowed: they run on accelerators that no guaranteed
// job uses at present. They are reclaimed for guaranteed jobs, urgent jobs and
// reservations, and when they exceed the memory allocated to them.
package placement

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/guarantee"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// MaxMembers is the number of members of the largest gang that is accepted.
const MaxMembers = 64

// Planner places the jobs of one data centre. It is not safe for concurrent
// use: its owner calls it from one goroutine. It does not read the clock.
type Planner struct {
	policy    Policy
	options   Options
	model     *model
	ledger    *guarantee.Ledger
	estimator estimator

	configuration           organisation.Configuration
	dividedEntitlements     []guarantee.Entitlement // dividedEntitlements replace the guarantees of the configuration when usesDividedEntitlements is true.
	usesDividedEntitlements bool
	shortfalls              []guarantee.Shortfall // shortfalls are the guarantees that no data centre has a place for.
	entitlementsCurrent     bool                  // entitlementsCurrent is false when the entitlements must be recomputed.
	nextClose               time.Time             // nextClose is when the next organisation closes; zero when none does.

	entries           map[request.Identity]*entry
	unitHolders       map[guarantee.UnitID]*entry
	classes           map[classKey]*class
	tenants           map[string]*tenant
	tenantsByName     []*tenant // tenantsByName is all tenants, sorted by name.
	sequence          uint64    // sequence is the sequence number of the newest entry.
	holding           []*entry  // holding is the jobs in state Holding.
	reclaiming        []*entry  // reclaiming is the jobs in state Reclaiming.
	urgent            []*entry  // urgent is the waiting urgent jobs.
	delayedReclaims   []*entry  // delayedReclaims is the jobs that may not reclaim others yet; see DelayReclaim.
	reservations      []*reservation
	fleetAccelerators int     // fleetAccelerators of all data centres that share the jobs; 0 when unknown.
	deferrableWork    int64   // deferrableWork is the accelerator-seconds of the waiting jobs that may be deferred.
	deferralBudget    float64 // deferralBudget is how many jobs may be deferred now.
	overloaded        []*node // overloaded workers have tasks that use more than was allocated.

	searchGeneration uint64                     // searchGeneration increases when more jobs may fit than before; see advanceSearchGeneration.
	rescanAll        bool                       // rescanAll requests a search on all racks.
	unexamined       map[*tenant]unexaminedJobs // unexamined is the jobs that the last call of Decide did not reach; nil when it reached all.
	decisionInterval time.Duration              // decisionInterval is the longest time between two calls of Decide; 0 when unknown.
	lending          bool                       // lending is the result of mayLend at the last call of advanceSearchGeneration.
	nextReservation  time.Time                  // nextReservation is when the next search for a reservation may run.
	nextMove         time.Time                  // nextMove is when the next search for a job to move may run.
}

// New returns a planner without workers, jobs or configuration.
func New(policy Policy, options Options) *Planner {
	return &Planner{
		policy: policy, options: options, model: newModel(), lending: true,
		ledger:      guarantee.NewLedger(options.GuaranteeStepLimit),
		estimator:   estimator{kinds: map[kindKey]*ratios{}},
		entries:     map[request.Identity]*entry{},
		unitHolders: map[guarantee.UnitID]*entry{},
		classes:     map[classKey]*class{},
		tenants:     map[string]*tenant{},
	}
}

// SetDecisionInterval sets the longest time between two calls of Decide while
// jobs wait. Explanations use it to estimate when a job is examined.
func (p *Planner) SetDecisionInterval(interval time.Duration) { p.decisionInterval = interval }

// SetConfiguration replaces the configuration. Running jobs continue; those
// whose guarantee was removed become borrowed.
func (p *Planner) SetConfiguration(c organisation.Configuration) {
	p.configuration = c
	p.entitlementsCurrent = false
	for _, t := range p.tenantsByName {
		p.applyPlan(t)
	}
}

// SetEntitlements replaces the guarantees of the configuration by those that
// guarantee.Divide assigns to this data centre.
func (p *Planner) SetEntitlements(entitlements []guarantee.Entitlement) {
	p.dividedEntitlements, p.usesDividedEntitlements, p.entitlementsCurrent = entitlements, true, false
}

// SetShortfalls sets the guarantees that no data centre has a place for, as
// returned by guarantee.Divide. Nothing is lent while there are any. Divide
// counts all accelerators of the workers, whoever uses them. Taking lent
// accelerators back would therefore not make room for these guarantees, so
// jobs that have borrowed already keep them.
func (p *Planner) SetShortfalls(shortfalls []guarantee.Shortfall) { p.shortfalls = shortfalls }

// mayLend reports whether jobs may start on accelerators that are guaranteed
// to other organisations.
func (p *Planner) mayLend() bool { return len(p.shortfalls) == 0 && p.ledger.PredicateHolds() }

// StartRevoked reports whether a decided start must not be carried out, because
// the job would borrow accelerators and lending has stopped since.
func (p *Planner) StartRevoked(id request.Identity) bool {
	e, ok := p.entries[id]
	return ok && e.state == Starting && e.unit == 0 && e.job.Shape.Total() > 0 && !p.mayLend()
}

// Verdict returns the value of the guarantee predicate in this data centre as
// of the last call of Decide, with the affected plans and their missing shapes.
func (p *Planner) Verdict() guarantee.Verdict { return p.ledger.Verdict() }

// AddWorker adds a worker, or updates a known one.
func (p *Planner) AddWorker(w worker.Worker) {
	if n, ok := p.model.nodes[w.Name]; ok {
		if n.worker.Rack == w.Rack && n.worker.Capacity == w.Capacity {
			n.worker = w
			return
		}
		p.RemoveWorker(w.Name)
	}
	n := p.model.add(w)
	p.updateLedgerWorker(n)
	p.retryAllGuarantees()
}

// updateLedgerWorker passes the state of the worker to the ledger.
func (p *Planner) updateLedgerWorker(n *node) {
	p.clearHolders(p.ledger.SetWorker(guarantee.Worker{Name: n.worker.Name, Rack: n.worker.Rack,
		Accelerators: n.worker.Capacity.Accelerators, Unusable: !n.schedulable}))
}

// clearHolders records that jobs no longer hold their guaranteed shapes.
func (p *Planner) clearHolders(units []guarantee.UnitID) {
	for _, id := range units {
		if e, ok := p.unitHolders[id]; ok {
			e.unit = 0
			delete(p.unitHolders, id)
		}
	}
}

// retryAllGuarantees makes the next call of Decide try the guarantees of all
// organisations again.
func (p *Planner) retryAllGuarantees() {
	for _, t := range p.tenantsByName {
		t.guaranteesDue = true
	}
}

// RemoveWorker removes a worker and returns the jobs that lost a member,
// sorted by organisation and ID. These jobs keep the rest of their placement
// until Ended or Released is called.
func (p *Planner) RemoveWorker(name string) []request.Identity {
	n, ok := p.model.nodes[name]
	if !ok {
		return nil
	}
	var lost []request.Identity
	isRemoved := func(o *node) bool { return o == n }
	for _, e := range slices.Clone(p.holding) {
		if slices.ContainsFunc(e.placement, isRemoved) {
			p.requeue(e)
		}
	}
	if n.reservation != nil {
		p.dropReservation(n.reservation)
	}
	for _, t := range n.jobs {
		e := t.entry
		lost = append(lost, e.job.Identity)
		p.addUsage(e, -1)
		e.placement = slices.DeleteFunc(slices.Clone(e.placement), isRemoved)
		e.oldPlacement = slices.DeleteFunc(slices.Clone(e.oldPlacement), isRemoved)
		p.addUsage(e, 1)
	}
	p.model.remove(n)
	p.clearHolders(p.ledger.RemoveWorker(name))
	p.retryAllGuarantees()
	sortIdentities(lost)
	return lost
}

// SetSchedulable enables or disables new tasks on the worker.
func (p *Planner) SetSchedulable(name string, schedulable bool) {
	n, ok := p.model.nodes[name]
	if !ok {
		return
	}
	n.enabled = schedulable
	p.updateSchedulable(n)
}

// updateSchedulable applies a change of enabled or silent.
func (p *Planner) updateSchedulable(n *node) {
	schedulable := n.enabled && !n.silent
	if n.schedulable == schedulable {
		return
	}
	n.schedulable = schedulable
	p.model.markChanged(n.rack)
	if schedulable {
		p.model.markGainedRoom(n)
	}
	p.updateLedgerWorker(n)
	p.retryAllGuarantees()
}

// Submit adds a waiting job. It ignores a job that is already known.
func (p *Planner) Submit(j job.Job) {
	if _, ok := p.entries[j.Identity]; !ok {
		p.enqueue(p.newEntry(j))
		p.deferralBudget = min(p.deferralBudget+p.options.DeferredShare, maxDeferralBudget)
	}
}

// newEntry returns an entry with the corrected size and run time of the job.
func (p *Planner) newEntry(j job.Job) *entry {
	p.sequence++
	e := &entry{job: j, sequence: p.sequence, tenant: p.tenant(j.Identity.Organisation)}
	e.member = p.estimator.member(j, &p.options)
	if e.member != j.Member() && p.canEverRun(j.Shape, e.member) != nil {
		// A learned ratio must not make a job impossible to place.
		e.member = j.Member()
	}
	e.runTime = p.estimator.runTime(j, &p.options)
	e.rank = p.policy.rank(e, &p.options)
	return e
}

func (p *Planner) enqueue(e *entry) {
	e.state = Waiting
	key := classKey{shape: e.job.Shape, member: e.member}
	if p.classes[key] == nil {
		p.classes[key] = &class{minRunTime: e.runTime}
	}
	e.class = p.classes[key]
	e.class.minRunTime = min(e.class.minRunTime, e.runTime)
	e.class.waiting++
	if e.isDeferrable() {
		p.deferrableWork += e.work()
	}
	p.entries[e.job.Identity] = e
	e.tenant.enqueue(e)
	if e.job.Urgent {
		p.urgent = append(p.urgent, e)
	}
}

func (p *Planner) dequeue(e *entry) {
	e.tenant.dequeue(e)
	if e.isDeferrable() {
		p.deferrableWork -= e.work()
	}
	if e.class.waiting--; e.class.waiting == 0 {
		delete(p.classes, classKey{shape: e.job.Shape, member: e.member})
	}
	if e.job.Urgent {
		p.urgent = slices.DeleteFunc(p.urgent, func(o *entry) bool { return o == e })
	}
}

// tenant returns the state of the organisation, even if the configuration does
// not contain it: an accepted job runs even if its organisation was removed.
func (p *Planner) tenant(name string) *tenant {
	t, ok := p.tenants[name]
	if !ok {
		t = &tenant{name: name}
		p.tenants[name] = t
		at, _ := slices.BinarySearchFunc(p.tenantsByName, name, func(t *tenant, name string) int {
			return cmp.Compare(t.name, name)
		})
		p.tenantsByName = slices.Insert(p.tenantsByName, at, t)
		p.applyPlan(t)
	}
	return t
}

// applyPlan copies the settings of the plan into the tenant.
func (p *Planner) applyPlan(t *tenant) {
	_, plan, ok := p.configuration.PlanOf(t.name)
	t.share, t.limit, t.allowsUrgent = 1, 0, false
	if ok {
		t.share, t.limit, t.allowsUrgent = plan.Share, plan.AcceleratorLimit, plan.Urgent
	}
	t.guaranteesDue = true
	p.rescanAll = true
}

// Cancel removes a job in any state and frees its placement. The caller stops
// the tasks of a running job before it calls Cancel.
func (p *Planner) Cancel(id request.Identity) { p.remove(id) }

// Adopt adds a job that is already running. workers has one name for each
// member; unknown workers are ignored. The next call of Decide determines
// whether the job is guaranteed.
func (p *Planner) Adopt(j job.Job, workers []string, started time.Time) {
	p.remove(j.Identity)
	e := p.newEntry(j)
	e.state, e.started = Running, started
	for _, name := range workers {
		if n, ok := p.model.nodes[name]; ok {
			e.placement = append(e.placement, n)
		}
	}
	p.entries[j.Identity] = e
	p.activate(e)
	p.model.allocate(e, e.placement)
}

// activate records that the job has a placement.
func (p *Planner) activate(e *entry) {
	e.tenant.active = append(e.tenant.active, e)
	e.tenant.guaranteesDue = true
	p.addUsage(e, 1)
}

// addUsage adds sign times the resources of the job to the usage of its organisation.
func (p *Planner) addUsage(e *entry, sign int) {
	e.tenant.used = e.tenant.used.Plus(multiply(e.totalResources(), sign))
}

// Started records that all members of a job run. For a moving job it frees the old
// placement, and does not count the run time that the move lost.
func (p *Planner) Started(id request.Identity, now time.Time) {
	e, ok := p.entries[id]
	if !ok {
		return
	}
	switch e.state {
	case Starting:
		e.state, e.started = Running, now
	case Moving:
		e.started = e.started.Add(p.options.MoveCost)
		p.addUsage(e, -1)
		p.model.release(e, e.oldPlacement)
		e.oldPlacement, e.state = nil, Running
		p.addUsage(e, 1)
	}
}

// Ended removes a job and frees its placement. It learns the actual usage from
// jobs that are done and ran without interruption.
func (p *Planner) Ended(id request.Identity, now time.Time, outcome request.Outcome) {
	e, ok := p.entries[id]
	if !ok {
		return
	}
	if outcome == request.Done && e.state >= Running && !e.resumed {
		p.estimator.learn(e.job, now.Sub(e.started), e.peak)
	}
	p.remove(id)
}

// Released records that the tasks of a job have stopped before its end, such as after
// a reclaim or a failed start, and returns the job to its queue. It ignores unknown
// and waiting jobs.
func (p *Planner) Released(id request.Identity) {
	e, ok := p.entries[id]
	if !ok || e.state == Waiting {
		return
	}
	p.requeue(e)
}

// requeue frees the placement of a job and returns the job to its queue. A job that
// failed to start avoids the workers of that attempt afterwards.
func (p *Planner) requeue(e *entry) {
	resumed := e.resumed || e.state >= Running
	avoid := e.avoid
	if e.state == Starting {
		avoid = slices.Concat(avoid, e.placement)
	}
	p.remove(e.job.Identity)
	requeued := p.newEntry(e.job)
	requeued.resumed, requeued.avoid = resumed, avoid
	if !resumed {
		requeued.firstUrgentReclaim, requeued.reclaimNotBefore = e.firstUrgentReclaim, e.reclaimNotBefore
	}
	p.enqueue(requeued)
}

// remove removes the job and frees its placement.
func (p *Planner) remove(id request.Identity) {
	e, ok := p.entries[id]
	if !ok {
		return
	}
	delete(p.entries, id)
	isEntry := func(o *entry) bool { return o == e }
	if e.state == Waiting {
		p.dequeue(e)
		p.dropReservationOf(e)
		return
	}
	p.addUsage(e, -1)
	e.tenant.active = slices.DeleteFunc(e.tenant.active, isEntry)
	if e.state == Holding {
		p.model.removeHeld(e)
		for _, n := range e.placement {
			p.model.markGainedRoom(n)
		}
		p.holding = slices.DeleteFunc(p.holding, isEntry)
	} else {
		p.model.release(e, e.placement)
		p.model.release(e, e.oldPlacement)
		p.reclaiming = slices.DeleteFunc(p.reclaiming, isEntry)
	}
	p.releaseUnit(e)
	e.placement, e.oldPlacement = nil, nil
}

// releaseUnit releases the guaranteed shape that the job holds.
func (p *Planner) releaseUnit(e *entry) {
	if e.unit == 0 {
		return
	}
	p.ledger.Release(e.unit)
	delete(p.unitHolders, e.unit)
	e.unit = 0
	e.tenant.guaranteesDue = true
}

// CanEverRun returns an error if the job would not fit in this data centre
// even without other jobs.
func (p *Planner) CanEverRun(j job.Job) error {
	if j.Shape.Members < 1 || j.Shape.Members > MaxMembers {
		return fmt.Errorf("gang of %d members: want 1 to %d", j.Shape.Members, MaxMembers)
	}
	return p.canEverRun(j.Shape, j.Member())
}

func (p *Planner) canEverRun(shape organisation.Shape, member worker.Resources) error {
	all := 0
	for _, r := range p.model.racks {
		inRack := 0
		for _, n := range r.nodes {
			count := slots(n.worker.Capacity, member, shape.Members)
			if count == shape.Members {
				return nil
			}
			inRack += count
		}
		if shape.Adjacency >= organisation.WithinRack && inRack >= shape.Members {
			return nil
		}
		all += inRack
	}
	if shape.Adjacency == organisation.WithinDataCentre && all >= shape.Members {
		return nil
	}
	return fmt.Errorf("%s with %s for each member does not fit on the workers", shape, member)
}

// sortIdentities sorts by organisation and ID.
func sortIdentities(ids []request.Identity) {
	slices.SortFunc(ids, func(a, b request.Identity) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.ID, b.ID))
	})
}
