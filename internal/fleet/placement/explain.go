package placement

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/guarantee"
	"wasabihoist/internal/tenancy/organisation"
)

// maxListedNames bounds the names in one text; a gang may wait for many small jobs.
const maxListedNames = 8

// bytesPerMB converts to the unit in which callers and operators specify memory.
const bytesPerMB = 1e6

// explainer generates the texts of one Explanation. It modifies nothing.
type explainer struct {
	*Planner
	entry *entry
	now   time.Time
	probe entry // probe is a scratch copy of a waiting job, for the key of a simulated turn.
}

// roomFunc returns the resources that the job could use on a worker under some
// assumption.
type roomFunc func(n *node) worker.Resources

// area is the workers that one placement may span: a worker, a rack or all racks.
type area struct {
	name  string
	nodes []*node
}

// cause is what blocks a job and what would unblock it.
type cause struct{ blockedBy, wouldStartIf string }

// explain sets WaitsFor, BlockedBy and WouldStartIf.
func (x *explainer) explain(explanation *Explanation) {
	e := x.entry
	switch e.state {
	case Waiting:
		explanation.WaitsFor = x.describeWanted()
		causes := x.ruleCauses()
		if c, ok := x.backlogCause(); ok {
			causes = append(causes, c)
		}
		if c, ok := x.placementCause(); ok || len(causes) == 0 {
			causes = append(causes, c)
		}
		var blocked, needed []string
		for _, c := range causes {
			blocked, needed = append(blocked, c.blockedBy), append(needed, c.wouldStartIf)
		}
		explanation.BlockedBy, explanation.WouldStartIf = strings.Join(blocked, "; "), strings.Join(needed, ", and ")
	case Holding:
		blockers := formatJobs(x.blockingJobs(e.placement))
		explanation.WaitsFor = "other jobs to leave its place on " + formatWorkers(e.placement)
		explanation.BlockedBy = blockers
		explanation.WouldStartIf = fmt.Sprintf("%s left %s", blockers, formatWorkers(e.placement))
	default:
		explanation.WaitsFor = fmt.Sprintf("nothing: the job is %s on %s", e.state, formatWorkers(e.placement))
	}
}

// describeWanted describes the placement that the job needs and how much of it
// is free.
func (x *explainer) describeWanted() string {
	shape := x.entry.job.Shape
	best, count := x.bestArea(x.availableRoom)
	free := 0
	for _, n := range best.nodes {
		free += max(x.availableRoom(n).Accelerators, 0)
	}
	text := fmt.Sprintf("%dx%d accelerators within one %s", shape.Members, shape.Accelerators, shape.Adjacency)
	if shape.Accelerators == 0 {
		text = fmt.Sprintf("%d members of %g cores and %d MB within one %s",
			shape.Members, x.entry.member.Cores, x.entry.member.Memory/bytesPerMB, shape.Adjacency)
	}
	if best.name == "" {
		return text + "; there are no workers"
	}
	return fmt.Sprintf("%s; the best, %s, has %d accelerators free and room for %d of %d members",
		text, best.name, free, count, shape.Members)
}

// ruleCauses returns the causes that do not depend on the placement.
func (x *explainer) ruleCauses() []cause {
	e := x.entry
	total := e.job.Shape.Total()
	if total == 0 {
		return nil
	}
	var causes []cause
	if !x.mayLend() {
		verdict := guarantee.Verdict{Shortfalls: slices.Concat(x.ledger.Verdict().Shortfalls, x.shortfalls)}
		var missing []string
		for _, s := range verdict.Shortfalls {
			missing = append(missing, fmt.Sprintf("%d of %s of organisation %s", s.Count, s.Shape, s.Organisation))
		}
		causes = append(causes, cause{"lending has stopped: " + verdict.String(),
			"the guaranteed shapes have places again: " + joinLimited(missing)})
	}
	if !e.tenant.permits(e) {
		_, plan, _ := x.configuration.PlanOf(e.tenant.name)
		causes = append(causes, cause{
			fmt.Sprintf("the accelerator limit %d of plan %s; organisation %s uses %d",
				e.tenant.limit, plan.Name, e.tenant.name, e.tenant.used.Accelerators),
			x.limitRemedy(plan.Name, total)})
	}
	return causes
}

// limitRemedy describes how the plan or the usage of the organisation would
// have to change for the job to be within the accelerator limit.
func (x *explainer) limitRemedy(plan string, total int) string {
	t := x.entry.tenant
	text := fmt.Sprintf("the accelerator limit of plan %s is at least %d", plan, t.used.Accelerators+total)
	if maxUsed := t.limit - total; maxUsed >= 0 {
		text += fmt.Sprintf(" or organisation %s uses at most %d", t.name, maxUsed)
	}
	return text
}

// placementCause returns the cause that lies in the placement, and false if
// the job fits now and only waits for its turn.
func (x *explainer) placementCause() (cause, bool) {
	if x.fitsWithin(x.availableRoom) {
		return x.turnCause(), false
	}
	if ignoringReservations := func(n *node) worker.Resources { return zeroUnlessSchedulable(n, n.available()) }; x.fitsWithin(ignoringReservations) {
		return x.reservationCause(ignoringReservations), true
	}
	if x.fitsWithin(x.roomIfAllSchedulable) {
		return x.unschedulableCause(), true
	}
	return x.occupancyCause(), true
}

// turnCause names the organisations whose next job goes first, or the next job
// of the job's own organisation.
func (x *explainer) turnCause() cause {
	e := x.entry
	var before []string
	own := x.policy.turnKey(e, x.model.capacity, &x.options)
	for _, t := range x.tenantsByName {
		if t != e.tenant && len(t.queue) > 0 && x.policy.turnKey(t.queue[0], x.model.capacity, &x.options) <= own {
			before = append(before, t.name)
		}
	}
	if first := e.tenant.queue[0]; len(before) == 0 && first != e {
		return cause{"the turn of " + formatJobs([]*entry{first}) + " of its own organisation",
			"the place is still free after the turn of " + formatJobs([]*entry{first})}
	}
	if len(before) == 0 {
		return cause{"nothing: a place is free", "the next decision is made"}
	}
	list := joinLimited(before)
	return cause{"the turn of organisation " + list, "the place is still free after the turn of organisation " + list}
}

func (x *explainer) reservationCause(room roomFunc) cause {
	best, _ := x.bestArea(room)
	var owners []*entry
	for _, n := range best.nodes {
		if v := n.reservation; v != nil && x.isReserved(n) && !slices.Contains(owners, v.entry) {
			owners = append(owners, v.entry)
		}
	}
	list := formatJobs(owners)
	return cause{"the reservation of " + list + " in " + best.name,
		"the reservation of " + list + " ends and " + best.name + " keeps its free accelerators"}
}

func (x *explainer) unschedulableCause() cause {
	best, _ := x.bestArea(x.roomIfAllSchedulable)
	var list []string
	for _, n := range best.nodes {
		if !n.schedulable && slots(x.roomIfAllSchedulable(n), x.entry.member, 1) > 0 {
			list = append(list, n.worker.Name)
		}
	}
	return cause{"quarantined or unreachable worker " + joinLimited(list), "worker " + joinLimited(list) + " takes new tasks again"}
}

// occupancyCause names the jobs that have to end in the area where the fewest
// accelerators have to become free. If that is not enough, it also names the
// unschedulable workers and the reservations in the area.
func (x *explainer) occupancyCause() cause {
	open := func(n *node) bool { return n.schedulable && !x.isReserved(n) }
	if in, ends, ok := x.cheapestArea(open); ok {
		blocked, needed := x.describeEnds(in, ends)
		return cause{strings.Join(blocked, "; "), strings.Join(needed, ", and ")}
	}
	in, ends, ok := x.cheapestArea(func(*node) bool { return true })
	if !ok {
		shape := x.entry.job.Shape
		return cause{"the size of the data centre",
			fmt.Sprintf("workers with room for %d members within one %s are added", shape.Members, shape.Adjacency)}
	}
	blocked, needed := x.describeUnavailable(in)
	moreBlocked, moreNeeded := x.describeEnds(in, ends)
	return cause{strings.Join(append(blocked, moreBlocked...), "; "), strings.Join(append(needed, moreNeeded...), ", and ")}
}

// describeUnavailable names the unschedulable workers and the reservations
// that keep the job out of the area.
func (x *explainer) describeUnavailable(in area) (blocked, needed []string) {
	var workers []string
	var reserved []*entry
	for _, n := range in.nodes {
		if !n.schedulable {
			workers = append(workers, n.worker.Name)
		}
		if x.isReserved(n) && !slices.Contains(reserved, n.reservation.entry) {
			reserved = append(reserved, n.reservation.entry)
		}
	}
	if len(workers) > 0 {
		blocked = append(blocked, "quarantined or unreachable worker "+joinLimited(workers))
		needed = append(needed, "worker "+joinLimited(workers)+" takes new tasks again")
	}
	if len(reserved) > 0 {
		blocked = append(blocked, "the reservation of "+formatJobs(reserved))
		needed = append(needed, "the reservation of "+formatJobs(reserved)+" ends")
	}
	return blocked, needed
}

// cheapestArea returns the area where jobs with the fewest accelerators have
// to end so that the job fits on the allowed workers.
func (x *explainer) cheapestArea(allowed func(*node) bool) (in area, ends []*entry, ok bool) {
	least := 0
	for _, a := range x.areas() {
		list, fits := x.jobsToEnd(a, allowed)
		sum := 0
		for _, o := range list {
			sum += o.job.Shape.Total()
		}
		if fits && (!ok || sum < least) {
			in, ends, ok, least = a, list, true, sum
		}
	}
	return in, ends, ok
}

// describeEnds describes which guaranteed shapes and borrowed accelerators
// have to become free.
func (x *explainer) describeEnds(in area, ends []*entry) (blocked, needed []string) {
	var borrowed []*entry
	guaranteed := 0
	for _, o := range ends {
		if o.unit == 0 {
			borrowed = append(borrowed, o)
			continue
		}
		if guaranteed++; guaranteed > maxListedNames {
			continue
		}
		shape := x.ledger.Shape(o.unit)
		blocked = append(blocked, fmt.Sprintf("the guaranteed shape %s of organisation %s, held by job %s",
			shape, o.tenant.name, o.job.Identity))
		needed = append(needed, fmt.Sprintf("organisation %s returns its guaranteed shape %s in %s (job %s ends)",
			o.tenant.name, shape, in.name, o.job.Identity))
	}
	if more := guaranteed - maxListedNames; more > 0 {
		blocked = append(blocked, fmt.Sprintf("%d more guaranteed shapes", more))
		needed = append(needed, fmt.Sprintf("%d more guaranteed shapes are returned", more))
	}
	if len(borrowed) > 0 {
		blocked = append(blocked, formatJobs(borrowed)+" in "+in.name)
		needed = append(needed, fmt.Sprintf("%s in %s (%s ends)", describeFreed(in, borrowed), in.name, formatJobs(borrowed)))
	}
	return blocked, needed
}

// describeFreed describes the resources in the area that the end of the jobs
// frees. Jobs without accelerators may be in the way because of their cores or
// memory.
func describeFreed(in area, ends []*entry) string {
	var sum worker.Resources
	for _, n := range in.nodes {
		for _, o := range ends {
			sum = sum.Plus(n.usedBy(o))
		}
	}
	if sum.Accelerators == 0 {
		return fmt.Sprintf("%g more cores and %d MB more memory become free", sum.Cores, sum.Memory/bytesPerMB)
	}
	return fmt.Sprintf("%d more accelerators become free", sum.Accelerators)
}

// jobsToEnd returns jobs whose end makes the job fit on the allowed workers of
// the area, and false if the end of all jobs does not. Jobs whose end is not
// needed are left out. Each job is examined a fixed number of times, so the cost is
// linear in the number of jobs in the area.
func (x *explainer) jobsToEnd(a area, allowed func(*node) bool) ([]*entry, bool) {
	rooms := make(map[*node]worker.Resources, len(a.nodes))
	seen := map[*entry]bool{}
	var jobs []*entry
	count := 0
	member, members := x.entry.member, x.entry.job.Shape.Members
	for _, n := range a.nodes {
		if !allowed(n) {
			continue
		}
		rooms[n] = n.available()
		count += slots(rooms[n], member, members)
		for _, t := range n.jobs {
			if !seen[t.entry] {
				seen[t.entry] = true
				jobs = append(jobs, t.entry)
			}
		}
	}
	slices.SortStableFunc(jobs, func(a, b *entry) int {
		return cmp.Compare(a.job.Shape.Total(), b.job.Shape.Total())
	})
	// adjustRoom adds the resources of a job to the rooms, or takes them away again
	// when sign is -1, and updates count.
	adjustRoom := func(o *entry, sign int) {
		for n := range membersByNode(slices.Concat(o.placement, o.oldPlacement)) {
			if before, ok := rooms[n]; ok {
				rooms[n] = before.Plus(multiply(n.usedBy(o), sign))
				count += slots(rooms[n], member, members) - slots(before, member, members)
			}
		}
	}
	var ended []*entry
	for _, o := range jobs {
		if count >= members {
			break
		}
		adjustRoom(o, 1)
		ended = append(ended, o)
	}
	if count < members {
		return nil, false
	}
	var needed []*entry
	for _, o := range slices.Backward(ended) {
		if adjustRoom(o, -1); count < members {
			adjustRoom(o, 1)
			needed = append(needed, o)
		}
	}
	return needed, true
}

// isReserved reports whether a reservation for another job keeps the job off
// the worker.
func (x *explainer) isReserved(n *node) bool {
	r := n.reservation
	return r != nil && r.entry != x.entry && x.now.Add(x.entry.runTime).After(r.expectedStart)
}

// blockingJobs returns the jobs on the placement that are being reclaimed, in
// order of arrival.
func (x *explainer) blockingJobs(placement []*node) []*entry {
	var list []*entry
	for n := range membersByNode(placement) {
		for _, t := range n.jobs {
			if t.entry.state == Reclaiming && !slices.Contains(list, t.entry) {
				list = append(list, t.entry)
			}
		}
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	return list
}

func (x *explainer) availableRoom(n *node) worker.Resources {
	if x.isReserved(n) {
		return worker.Resources{}
	}
	return zeroUnlessSchedulable(n, n.available())
}

// roomIfAllSchedulable assumes that all workers accept new tasks.
func (x *explainer) roomIfAllSchedulable(n *node) worker.Resources { return n.available() }

// zeroUnlessSchedulable returns the room, or none if the worker accepts no new tasks.
func zeroUnlessSchedulable(n *node, room worker.Resources) worker.Resources {
	if !n.schedulable {
		return worker.Resources{}
	}
	return room
}

func (x *explainer) fitsWithin(room roomFunc) bool {
	_, count := x.bestArea(room)
	return count >= x.entry.job.Shape.Members
}

// bestArea returns the area with room for the most members, and that number. Of equal
// areas it returns the one with the most free accelerators.
func (x *explainer) bestArea(room roomFunc) (area, int) {
	var best area
	most, free := -1, 0
	for _, a := range x.areas() {
		sum := 0
		for _, n := range a.nodes {
			sum += max(room(n).Accelerators, 0)
		}
		if c := x.countMembers(a.nodes, room); c > most || (c == most && sum > free) {
			best, most, free = a, c, sum
		}
	}
	return best, max(most, 0)
}

func (x *explainer) countMembers(nodes []*node, room roomFunc) int {
	count := 0
	for _, n := range nodes {
		count += slots(room(n), x.entry.member, x.entry.job.Shape.Members)
	}
	return min(count, x.entry.job.Shape.Members)
}

// areas lists the areas that a placement of the job may span.
func (x *explainer) areas() []area {
	shape := x.entry.job.Shape
	var list []area
	everywhere := area{name: "the data centre"}
	for _, r := range x.model.racks {
		switch {
		case shape.Members == 1 || shape.Adjacency == organisation.WithinWorker:
			for i, n := range r.nodes {
				list = append(list, area{"worker " + n.worker.Name, r.nodes[i : i+1]})
			}
		case shape.Adjacency == organisation.WithinRack:
			list = append(list, area{"rack " + r.name, r.nodes})
		default:
			everywhere.nodes = append(everywhere.nodes, r.nodes...)
		}
	}
	if everywhere.nodes != nil {
		list = append(list, everywhere)
	}
	return list
}

func formatJobs(list []*entry) string {
	texts := make([]string, 0, len(list))
	for _, e := range list {
		texts = append(texts, e.job.Identity.String())
	}
	return "job " + joinLimited(texts)
}

func formatWorkers(placement []*node) string {
	return "worker " + joinLimited(slices.Compact(slices.Sorted(slices.Values(workerNamesOf(placement)))))
}

// joinLimited joins up to maxListedNames names and counts the others.
func joinLimited(texts []string) string {
	if more := len(texts) - maxListedNames; more > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(texts[:maxListedNames], ", "), more)
	}
	return strings.Join(texts, ", ")
}
