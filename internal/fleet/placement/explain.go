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

// listedNames bounds the names in one text; a gang may wait for many small jobs.
const listedNames = 8

// bytesInMB converts to the unit in which callers and operators give memory.
const bytesInMB = 1e6

// explainer works out the texts of one Explanation. It changes nothing.
type explainer struct {
	*Planner
	entry *entry
	now   time.Time
	probe entry // probe is the job of an assumed turn.
}

// roomOf returns what the job could use on a worker under some assumption.
type roomOf func(n *node) worker.Resources

// area is the workers that one place may span: a worker, a rack or all racks.
type area struct {
	name  string
	nodes []*node
}

// cause is what stands before a job and what would remove it.
type cause struct{ blockedBy, wouldStartIf string }

// explain fills the texts.
func (x *explainer) explain(to *Explanation) {
	e := x.entry
	switch e.state {
	case Waiting:
		to.WaitsFor = x.wanted()
		causes := x.rules()
		if c, ok := x.backlog(); ok {
			causes = append(causes, c)
		}
		if c, ok := x.space(); ok || len(causes) == 0 {
			causes = append(causes, c)
		}
		var blocked, needed []string
		for _, c := range causes {
			blocked, needed = append(blocked, c.blockedBy), append(needed, c.wouldStartIf)
		}
		to.BlockedBy, to.WouldStartIf = strings.Join(blocked, "; "), strings.Join(needed, ", and ")
	case Holding:
		blockers := jobNames(x.inTheWay(e.place))
		to.WaitsFor = "other jobs to leave its place on " + workerNames(e.place)
		to.BlockedBy = blockers
		to.WouldStartIf = fmt.Sprintf("%s left %s", blockers, workerNames(e.place))
	default:
		to.WaitsFor = fmt.Sprintf("nothing: the job is %s on %s", e.state, workerNames(e.place))
	}
}

// wanted says which place the job needs and how much of it is free.
func (x *explainer) wanted() string {
	shape := x.entry.job.Shape
	best, count := x.best(x.roomNow)
	free := 0
	for _, n := range best.nodes {
		free += max(x.roomNow(n).Accelerators, 0)
	}
	text := fmt.Sprintf("%dx%d accelerators within one %s", shape.Members, shape.Accelerators, shape.Adjacency)
	if shape.Accelerators == 0 {
		text = fmt.Sprintf("%d members of %g cores and %d MB within one %s",
			shape.Members, x.entry.member.Cores, x.entry.member.Memory/bytesInMB, shape.Adjacency)
	}
	if best.name == "" {
		return text + "; there are no workers"
	}
	return fmt.Sprintf("%s; the best, %s, has %d accelerators free and room for %d of %d members",
		text, best.name, free, count, shape.Members)
}

// rules returns the causes that do not depend on the place.
func (x *explainer) rules() []cause {
	e := x.entry
	total := e.job.Shape.Total()
	if total == 0 {
		return nil
	}
	var causes []cause
	if !x.lends() {
		verdict := guarantee.Verdict{Shortfalls: slices.Concat(x.ledger.Verdict().Shortfalls, x.shortfalls)}
		var missing []string
		for _, s := range verdict.Shortfalls {
			missing = append(missing, fmt.Sprintf("%d of %s of organisation %s", s.Count, s.Shape, s.Organisation))
		}
		causes = append(causes, cause{"lending has stopped: " + verdict.String(),
			"the guaranteed shapes have places again: " + listed(missing)})
	}
	if !e.tenant.permits(e) {
		_, plan, _ := x.configuration.PlanOf(e.tenant.name)
		causes = append(causes, cause{
			fmt.Sprintf("the accelerator limit %d of plan %s; organisation %s uses %d",
				e.tenant.limit, plan.Name, e.tenant.name, e.tenant.used.Accelerators),
			x.belowLimit(plan.Name, total)})
	}
	return causes
}

// belowLimit says what the plan, or else the organisation, would have to change
// for the job to be within the accelerator limit.
func (x *explainer) belowLimit(plan string, total int) string {
	t := x.entry.tenant
	text := fmt.Sprintf("the accelerator limit of plan %s is at least %d", plan, t.used.Accelerators+total)
	if left := t.limit - total; left >= 0 {
		text += fmt.Sprintf(" or organisation %s uses at most %d", t.name, left)
	}
	return text
}

// space returns the cause that lies in the place, and false when the job fits
// now and only waits for its turn.
func (x *explainer) space() (cause, bool) {
	if x.fits(x.roomNow) {
		return x.turn(), false
	}
	if reserved := func(n *node) worker.Resources { return usable(n, n.available()) }; x.fits(reserved) {
		return x.reserved(reserved), true
	}
	if x.fits(x.roomSchedulable) {
		return x.quarantined(), true
	}
	return x.occupied(), true
}

// turn names the organisations whose next job goes before the job, or the next
// job of its own organisation.
func (x *explainer) turn() cause {
	e := x.entry
	var before []string
	own := x.policy.turn(e, x.model.capacity, &x.options)
	for _, t := range x.order {
		if t != e.tenant && len(t.queue) > 0 && x.policy.turn(t.queue[0], x.model.capacity, &x.options) <= own {
			before = append(before, t.name)
		}
	}
	if first := e.tenant.queue[0]; len(before) == 0 && first != e {
		return cause{"the turn of " + jobNames([]*entry{first}) + " of its own organisation",
			"the place is still free after the turn of " + jobNames([]*entry{first})}
	}
	if len(before) == 0 {
		return cause{"nothing: a place is free", "the next decision is made"}
	}
	list := listed(before)
	return cause{"the turn of organisation " + list, "the place is still free after the turn of organisation " + list}
}

func (x *explainer) reserved(room roomOf) cause {
	best, _ := x.best(room)
	var owners []*entry
	for _, n := range best.nodes {
		if v := n.reservation; v != nil && x.isReserved(n) && !slices.Contains(owners, v.entry) {
			owners = append(owners, v.entry)
		}
	}
	list := jobNames(owners)
	return cause{"the reservation of " + list + " in " + best.name,
		"the reservation of " + list + " ends and " + best.name + " keeps its free accelerators"}
}

func (x *explainer) quarantined() cause {
	best, _ := x.best(x.roomSchedulable)
	var list []string
	for _, n := range best.nodes {
		if !n.schedulable && slots(x.roomSchedulable(n), x.entry.member, 1) > 0 {
			list = append(list, n.worker.Name)
		}
	}
	return cause{"quarantined or unreachable worker " + listed(list), "worker " + listed(list) + " takes new tasks again"}
}

// occupied names the jobs that would have to end in the area where the fewest
// accelerators have to become free. Where that is not enough, it also names the
// workers and reservations of the area that keep the job off.
func (x *explainer) occupied() cause {
	open := func(n *node) bool { return n.schedulable && !x.isReserved(n) }
	if in, ends, ok := x.cheapest(open); ok {
		blocked, needed := x.ending(in, ends)
		return cause{strings.Join(blocked, "; "), strings.Join(needed, ", and ")}
	}
	in, ends, ok := x.cheapest(func(*node) bool { return true })
	if !ok {
		shape := x.entry.job.Shape
		return cause{"the size of the data centre",
			fmt.Sprintf("workers with room for %d members within one %s are added", shape.Members, shape.Adjacency)}
	}
	blocked, needed := x.closed(in)
	moreBlocked, moreNeeded := x.ending(in, ends)
	return cause{strings.Join(append(blocked, moreBlocked...), "; "), strings.Join(append(needed, moreNeeded...), ", and ")}
}

// closed names the workers and reservations that keep the job off the area.
func (x *explainer) closed(in area) (blocked, needed []string) {
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
		blocked = append(blocked, "quarantined or unreachable worker "+listed(workers))
		needed = append(needed, "worker "+listed(workers)+" takes new tasks again")
	}
	if len(reserved) > 0 {
		blocked = append(blocked, "the reservation of "+jobNames(reserved))
		needed = append(needed, "the reservation of "+jobNames(reserved)+" ends")
	}
	return blocked, needed
}

// cheapest returns the area where jobs with the fewest accelerators have to end
// so that the job fits on the workers that are allowed.
func (x *explainer) cheapest(allowed func(*node) bool) (in area, ends []*entry, ok bool) {
	least := 0
	for _, a := range x.areas() {
		list, fits := x.leavers(a, allowed)
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

// ending says which guaranteed shapes and borrowed accelerators have to become
// free.
func (x *explainer) ending(in area, ends []*entry) (blocked, needed []string) {
	var borrowed []*entry
	guaranteed := 0
	for _, o := range ends {
		if o.unit == 0 {
			borrowed = append(borrowed, o)
			continue
		}
		if guaranteed++; guaranteed > listedNames {
			continue
		}
		shape := x.ledger.Shape(o.unit)
		blocked = append(blocked, fmt.Sprintf("the guaranteed shape %s of organisation %s, held by job %s",
			shape, o.tenant.name, o.job.Identity))
		needed = append(needed, fmt.Sprintf("organisation %s returns its guaranteed shape %s in %s (job %s ends)",
			o.tenant.name, shape, in.name, o.job.Identity))
	}
	if more := guaranteed - listedNames; more > 0 {
		blocked = append(blocked, fmt.Sprintf("%d more guaranteed shapes", more))
		needed = append(needed, fmt.Sprintf("%d more guaranteed shapes are returned", more))
	}
	if len(borrowed) > 0 {
		blocked = append(blocked, jobNames(borrowed)+" in "+in.name)
		needed = append(needed, fmt.Sprintf("%s in %s (%s ends)", freed(in, borrowed), in.name, jobNames(borrowed)))
	}
	return blocked, needed
}

// freed says what the end of the jobs frees in the area. Jobs without
// accelerators may be in the way by their cores or memory.
func freed(in area, ends []*entry) string {
	var sum worker.Resources
	for _, n := range in.nodes {
		for _, o := range ends {
			sum = sum.Plus(n.usedBy(o))
		}
	}
	if sum.Accelerators == 0 {
		return fmt.Sprintf("%g more cores and %d MB more memory become free", sum.Cores, sum.Memory/bytesInMB)
	}
	return fmt.Sprintf("%d more accelerators become free", sum.Accelerators)
}

// leavers returns jobs whose end gives the job a place on the allowed workers of
// the area, and false when the end of all does not. Jobs without effect on the
// outcome are left out. Each task is looked at a fixed number of times, so that
// the cost stays linear in the tasks.
func (x *explainer) leavers(a area, allowed func(*node) bool) ([]*entry, bool) {
	rooms := make(map[*node]worker.Resources, len(a.nodes))
	seen := map[*entry]bool{}
	var tasks []*entry
	count := 0
	member, members := x.entry.member, x.entry.job.Shape.Members
	for _, n := range a.nodes {
		if !allowed(n) {
			continue
		}
		rooms[n] = n.available()
		count += slots(rooms[n], member, members)
		for _, t := range n.tasks {
			if !seen[t.entry] {
				seen[t.entry] = true
				tasks = append(tasks, t.entry)
			}
		}
	}
	slices.SortStableFunc(tasks, func(a, b *entry) int {
		return cmp.Compare(a.job.Shape.Total(), b.job.Shape.Total())
	})
	change := func(o *entry, sign int) {
		for n := range counts(slices.Concat(o.place, o.from)) {
			if before, ok := rooms[n]; ok {
				rooms[n] = before.Plus(times(n.usedBy(o), sign))
				count += slots(rooms[n], member, members) - slots(before, member, members)
			}
		}
	}
	var gone []*entry
	for _, o := range tasks {
		if count >= members {
			break
		}
		change(o, 1)
		gone = append(gone, o)
	}
	if count < members {
		return nil, false
	}
	var needed []*entry
	for _, o := range slices.Backward(gone) {
		if change(o, -1); count < members {
			change(o, 1)
			needed = append(needed, o)
		}
	}
	return needed, true
}

// isReserved reports whether a reservation of another job keeps the job off the
// worker.
func (x *explainer) isReserved(n *node) bool {
	r := n.reservation
	return r != nil && r.entry != x.entry && x.now.Add(x.entry.runTime).After(r.until)
}

// inTheWay returns the jobs that others were asked to leave for on the place.
func (x *explainer) inTheWay(place []*node) []*entry {
	var list []*entry
	for n := range counts(place) {
		for _, t := range n.tasks {
			if t.entry.state == Reclaiming && !slices.Contains(list, t.entry) {
				list = append(list, t.entry)
			}
		}
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.sequence, b.sequence) })
	return list
}

func (x *explainer) roomNow(n *node) worker.Resources {
	if x.isReserved(n) {
		return worker.Resources{}
	}
	return usable(n, n.available())
}

// roomSchedulable assumes that all workers take new tasks.
func (x *explainer) roomSchedulable(n *node) worker.Resources { return n.available() }

func usable(n *node, room worker.Resources) worker.Resources {
	if !n.schedulable {
		return worker.Resources{}
	}
	return room
}

func (x *explainer) fits(room roomOf) bool {
	_, count := x.best(room)
	return count >= x.entry.job.Shape.Members
}

// best returns the area with room for the most members.
func (x *explainer) best(room roomOf) (area, int) {
	var best area
	most, free := -1, 0
	for _, a := range x.areas() {
		sum := 0
		for _, n := range a.nodes {
			sum += max(room(n).Accelerators, 0)
		}
		if c := x.count(a.nodes, room); c > most || (c == most && sum > free) {
			best, most, free = a, c, sum
		}
	}
	return best, max(most, 0)
}

func (x *explainer) count(nodes []*node, room roomOf) int {
	count := 0
	for _, n := range nodes {
		count += slots(room(n), x.entry.member, x.entry.job.Shape.Members)
	}
	return min(count, x.entry.job.Shape.Members)
}

// areas lists the areas that a place of the job may span.
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

func jobNames(list []*entry) string {
	texts := make([]string, 0, len(list))
	for _, e := range list {
		texts = append(texts, e.job.Identity.String())
	}
	return "job " + listed(texts)
}

func workerNames(place []*node) string {
	return "worker " + listed(slices.Compact(slices.Sorted(slices.Values(names(place)))))
}

// listed joins names and counts those beyond the bound.
func listed(texts []string) string {
	if more := len(texts) - listedNames; more > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(texts[:listedNames], ", "), more)
	}
	return strings.Join(texts, ", ")
}
