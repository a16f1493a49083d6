// Package placement decides which job of a data centre runs on which workers,
// and when running jobs give their accelerators back.
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

// MaxMembers is the largest gang that is accepted.
const MaxMembers = 64

// Planner places the jobs of one data centre. It is not safe for concurrent
// use: its owner calls it from one goroutine. It never reads the clock.
type Planner struct {
	policy    Policy
	options   Options
	model     *model
	ledger    *guarantee.Ledger
	estimator estimator

	configuration organisation.Configuration
	entitled      []guarantee.Entitlement // entitled replaces the guarantees of the configuration when divided is true.
	divided       bool
	shortfalls    []guarantee.Shortfall // shortfalls are the guarantees that no data centre has a place for.
	configured    bool                  // configured is false when entitlements must be computed again.
	nextClose     time.Time             // nextClose is when the next organisation closes; zero when none will.

	entries      map[request.Identity]*entry
	holders      map[guarantee.UnitID]*entry
	classes      map[classKey]*class
	tenants      map[string]*tenant
	order        []*tenant // order is all tenants by name.
	sequence     uint64
	holding      []*entry // holding jobs wait for others to leave.
	leaving      []*entry // leaving jobs have been asked to leave.
	urgent       []*entry // urgent jobs that wait.
	delayed      []*entry // delayed jobs may not ask others to leave yet.
	reservations []*reservation
	fleet        int     // fleet is the accelerators of all data centres that share the jobs; 0 when unknown.
	backlog      int64   // backlog is the work of waiting jobs that may be put off.
	putOffs      float64 // putOffs is how many jobs may be put off now.
	overgrown    []*node // overgrown workers have tasks that outgrew their place.

	round       uint64           // round counts the calls of Decide that found more room than the call before.
	rescan      bool             // rescan asks for a search on all racks.
	left        map[*tenant]rest // left is what the last call of Decide has not reached; nil when it reached all.
	interval    time.Duration    // interval is the longest time between two calls of Decide; 0 when unknown.
	lent        bool             // lent is whether accelerators were lent at the last call of Decide.
	nextReserve time.Time
	nextMove    time.Time
}

// New returns a planner without workers, jobs or configuration.
func New(policy Policy, options Options) *Planner {
	return &Planner{
		policy: policy, options: options, model: newModel(), lent: true,
		ledger:    guarantee.NewLedger(options.GuaranteeStepLimit),
		estimator: estimator{kinds: map[kindKey]*ratios{}},
		entries:   map[request.Identity]*entry{},
		holders:   map[guarantee.UnitID]*entry{},
		classes:   map[classKey]*class{},
		tenants:   map[string]*tenant{},
	}
}

// SetDecisionInterval sets the longest time between two calls of Decide while
// jobs wait. Explanations use it to estimate when a job is examined.
func (p *Planner) SetDecisionInterval(interval time.Duration) { p.interval = interval }

// SetConfiguration replaces the configuration. Running jobs go on; those whose
// guarantee has gone become borrowed.
func (p *Planner) SetConfiguration(c organisation.Configuration) {
	p.configuration = c
	p.configured = false
	for _, t := range p.order {
		p.applyPlan(t)
	}
}

// SetEntitlements replaces the guarantees of the configuration by the part that
// guarantee.Divide gives to this data centre.
func (p *Planner) SetEntitlements(entitlements []guarantee.Entitlement) {
	p.entitled, p.divided, p.configured = entitlements, true, false
}

// SetShortfalls names the guarantees that no data centre has a place for, as
// guarantee.Divide returns them. Nothing is lent while there are any. Divide
// counts all accelerators of the workers, whoever uses them, so what is lent
// already would give these guarantees no place and stays.
func (p *Planner) SetShortfalls(shortfalls []guarantee.Shortfall) { p.shortfalls = shortfalls }

// lends reports whether jobs may start on accelerators that are guaranteed to
// others.
func (p *Planner) lends() bool { return len(p.shortfalls) == 0 && p.ledger.Holds() }

// StartRevoked reports whether a decided start must not be carried out, because
// the job would borrow accelerators and lending has stopped since.
func (p *Planner) StartRevoked(id request.Identity) bool {
	e, ok := p.entries[id]
	return ok && e.state == Starting && e.unit == 0 && e.job.Shape.Total() > 0 && !p.lends()
}

// Verdict returns the value of the guarantee predicate in this data centre as of
// the last call of Decide, with the plans that are affected and what they lack.
func (p *Planner) Verdict() guarantee.Verdict { return p.ledger.Verdict() }

// AddWorker adds a worker, or replaces what is known of it.
func (p *Planner) AddWorker(w worker.Worker) {
	if n, ok := p.model.nodes[w.Name]; ok {
		if n.worker.Rack == w.Rack && n.worker.Capacity == w.Capacity {
			n.worker = w
			return
		}
		p.RemoveWorker(w.Name)
	}
	n := p.model.add(w)
	p.setLedger(n)
	p.guaranteesChanged()
}

// setLedger tells the ledger about the worker.
func (p *Planner) setLedger(n *node) {
	p.unhold(p.ledger.SetWorker(guarantee.Worker{Name: n.worker.Name, Rack: n.worker.Rack,
		Accelerators: n.worker.Capacity.Accelerators, Unusable: !n.schedulable}))
}

// unhold records that jobs no longer hold their guaranteed shapes.
func (p *Planner) unhold(units []guarantee.UnitID) {
	for _, id := range units {
		if e, ok := p.holders[id]; ok {
			e.unit = 0
			delete(p.holders, id)
		}
	}
}

// guaranteesChanged makes the next call of Decide try all guarantees again.
func (p *Planner) guaranteesChanged() {
	for _, t := range p.order {
		t.changed = true
	}
}

// RemoveWorker removes a worker and returns the jobs that lost a member. These
// keep the rest of their place until Ended or Released is called.
func (p *Planner) RemoveWorker(name string) []request.Identity {
	n, ok := p.model.nodes[name]
	if !ok {
		return nil
	}
	var lost []request.Identity
	gone := func(o *node) bool { return o == n }
	for _, e := range slices.Clone(p.holding) {
		if slices.ContainsFunc(e.place, gone) {
			p.requeue(e)
		}
	}
	if n.reservation != nil {
		p.dropReservation(n.reservation)
	}
	for _, t := range n.tasks {
		e := t.entry
		lost = append(lost, e.job.Identity)
		p.charge(e, -1)
		e.place = slices.DeleteFunc(slices.Clone(e.place), gone)
		e.from = slices.DeleteFunc(slices.Clone(e.from), gone)
		p.charge(e, 1)
	}
	p.model.remove(n)
	p.unhold(p.ledger.RemoveWorker(name))
	p.guaranteesChanged()
	sortIdentities(lost)
	return lost
}

// SetSchedulable says whether new tasks may start on the worker.
func (p *Planner) SetSchedulable(name string, schedulable bool) {
	n, ok := p.model.nodes[name]
	if !ok {
		return
	}
	n.allowed = schedulable
	p.reopen(n)
}

// reopen applies whether new tasks may start on the worker.
func (p *Planner) reopen(n *node) {
	schedulable := n.allowed && !n.silent
	if n.schedulable == schedulable {
		return
	}
	n.schedulable = schedulable
	p.model.touch(n.rack)
	if schedulable {
		p.model.gained(n)
	}
	p.setLedger(n)
	p.guaranteesChanged()
}

// Submit adds a waiting job. A job that is already known is left as it is.
func (p *Planner) Submit(j job.Job) {
	if _, ok := p.entries[j.Identity]; !ok {
		p.enqueue(p.newEntry(j))
		p.putOffs = min(p.putOffs+p.options.DeferredShare, maxPutOffs)
	}
}

// newEntry returns an entry with the corrected size and run time of the job.
func (p *Planner) newEntry(j job.Job) *entry {
	p.sequence++
	e := &entry{job: j, sequence: p.sequence, tenant: p.tenant(j.Identity.Organisation)}
	e.member = p.estimator.member(j, &p.options)
	if e.member != j.Member() && p.canEverRun(j.Shape, e.member) != nil {
		// A learned ratio must not make a job wait for ever.
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
		p.classes[key] = &class{least: e.runTime}
	}
	e.class = p.classes[key]
	e.class.least = min(e.class.least, e.runTime)
	e.class.waiting++
	if e.mayBePutOff() {
		p.backlog += e.work()
	}
	p.entries[e.job.Identity] = e
	e.tenant.enqueue(e)
	if e.job.Urgent {
		p.urgent = append(p.urgent, e)
	}
}

func (p *Planner) dequeue(e *entry) {
	e.tenant.dequeue(e)
	if e.mayBePutOff() {
		p.backlog -= e.work()
	}
	if e.class.waiting--; e.class.waiting == 0 {
		delete(p.classes, classKey{shape: e.job.Shape, member: e.member})
	}
	if e.job.Urgent {
		p.urgent = slices.DeleteFunc(p.urgent, func(o *entry) bool { return o == e })
	}
}

// tenant returns the organisation in the planner, also when the configuration
// does not have it: an accepted job is run even if its organisation has gone.
func (p *Planner) tenant(name string) *tenant {
	t, ok := p.tenants[name]
	if !ok {
		t = &tenant{name: name}
		p.tenants[name] = t
		at, _ := slices.BinarySearchFunc(p.order, name, func(t *tenant, name string) int {
			return cmp.Compare(t.name, name)
		})
		p.order = slices.Insert(p.order, at, t)
		p.applyPlan(t)
	}
	return t
}

// applyPlan copies what the plan says into the tenant.
func (p *Planner) applyPlan(t *tenant) {
	_, plan, ok := p.configuration.PlanOf(t.name)
	t.share, t.limit, t.urgent = 1, 0, false
	if ok {
		t.share, t.limit, t.urgent = plan.Share, plan.AcceleratorLimit, plan.Urgent
	}
	t.changed = true
	p.rescan = true
}

// Cancel forgets a job in any state and frees its place. The caller stops the
// tasks of a running job before it cancels the job here.
func (p *Planner) Cancel(id request.Identity) { p.forget(id) }

// Adopt adds a job that is already running. workers has one name for each
// member; names of unknown workers are left out. The next call of Decide finds
// out whether the job is guaranteed.
func (p *Planner) Adopt(j job.Job, workers []string, started time.Time) {
	p.forget(j.Identity)
	e := p.newEntry(j)
	e.state, e.started = Running, started
	for _, name := range workers {
		if n, ok := p.model.nodes[name]; ok {
			e.place = append(e.place, n)
		}
	}
	p.entries[j.Identity] = e
	p.activate(e)
	p.model.occupy(e, e.place)
}

// activate records that the job has or holds a place.
func (p *Planner) activate(e *entry) {
	e.tenant.active = append(e.tenant.active, e)
	e.tenant.changed = true
	p.charge(e, 1)
}

// charge adds what the job uses to what its organisation uses; sign -1 takes it
// back.
func (p *Planner) charge(e *entry, sign int) {
	e.tenant.used = e.tenant.used.Plus(times(e.total(), sign))
}

// Started records that all members of a job run.
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
		p.charge(e, -1)
		p.model.vacate(e, e.from)
		e.from, e.state = nil, Running
		p.charge(e, 1)
	}
}

// Ended records the outcome of a job and frees its place.
func (p *Planner) Ended(id request.Identity, now time.Time, outcome request.Outcome) {
	e, ok := p.entries[id]
	if !ok {
		return
	}
	if outcome == request.Done && e.state >= Running && !e.resumed {
		p.estimator.learn(e.job, now.Sub(e.started), e.peak)
	}
	p.forget(id)
}

// Released records that an attempt was undone; the job waits again.
func (p *Planner) Released(id request.Identity) {
	e, ok := p.entries[id]
	if !ok || e.state == Waiting {
		return
	}
	p.requeue(e)
}

// requeue frees the place of a job and lets it wait again.
func (p *Planner) requeue(e *entry) {
	resumed := e.resumed || e.state >= Running
	avoid := e.avoid
	if e.state == Starting {
		avoid = slices.Concat(avoid, e.place)
	}
	p.forget(e.job.Identity)
	fresh := p.newEntry(e.job)
	fresh.resumed, fresh.avoid = resumed, avoid
	if !resumed {
		fresh.urged, fresh.reclaimFrom = e.urged, e.reclaimFrom
	}
	p.enqueue(fresh)
}

// forget removes the job and frees its place.
func (p *Planner) forget(id request.Identity) {
	e, ok := p.entries[id]
	if !ok {
		return
	}
	delete(p.entries, id)
	same := func(o *entry) bool { return o == e }
	if e.state == Waiting {
		p.dequeue(e)
		p.dropReservationOf(e)
		return
	}
	p.charge(e, -1)
	e.tenant.active = slices.DeleteFunc(e.tenant.active, same)
	if e.state == Holding {
		p.model.unpromise(e)
		for _, n := range e.place {
			p.model.gained(n)
		}
		p.holding = slices.DeleteFunc(p.holding, same)
	} else {
		p.model.vacate(e, e.place)
		p.model.vacate(e, e.from)
		p.leaving = slices.DeleteFunc(p.leaving, same)
	}
	p.releaseUnit(e)
	e.place, e.from = nil, nil
}

// releaseUnit ends the hold of the job on a guaranteed shape.
func (p *Planner) releaseUnit(e *entry) {
	if e.unit == 0 {
		return
	}
	p.ledger.Release(e.unit)
	delete(p.holders, e.unit)
	e.unit = 0
	e.tenant.changed = true
}

// CanEverRun returns an error when the job would not fit on this data centre
// even if it were empty.
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

// sortIdentities orders identities by organisation and ID.
func sortIdentities(ids []request.Identity) {
	slices.SortFunc(ids, func(a, b request.Identity) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.ID, b.ID))
	})
}
