package placement

import (
	"slices"
	"time"

	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/organisation"
)

// reservation reserves workers for a job that has waited long. Other borrowed
// jobs start there only if they are expected to end before it begins; those
// that exceed their expected run time are reclaimed when it can begin.
type reservation struct {
	entry         *entry
	placement     []*node
	created       time.Time
	expectedStart time.Time // expectedStart is when the placement is expected to be free.
}

// reserveInterval is the least time between two searches for a reservation,
// because each examines every placed job of the data centre.
const reserveInterval = 30 * time.Second

// longestWaiting returns the job that has waited longest, or nil if none has
// waited long enough for a reservation.
func (r *round) longestWaiting() *entry {
	var longest *entry
	for _, t := range r.tenantsByName {
		for _, e := range t.queue {
			if r.now.Sub(e.job.Submitted) < r.reserveAfter(e) || r.reservationOf(e) != nil || r.borrowRefusal(e) != "" {
				continue
			}
			if longest == nil || e.job.Submitted.Before(longest.job.Submitted) {
				longest = e
			}
		}
	}
	return longest
}

func (p *Planner) reservationOf(e *entry) *reservation {
	for _, v := range p.reservations {
		if v.entry == e {
			return v
		}
	}
	return nil
}

// startReservedJobs starts the jobs of reservations whose racks have gained
// room, and of overdue reservations.
func (r *round) startReservedJobs() {
	for _, v := range slices.Clone(r.reservations) {
		gained := slices.ContainsFunc(v.placement, func(n *node) bool { return n.rack.gainedRoom })
		if (gained && r.isReservationReady(v)) || r.isReservationOverdue(v) {
			r.startReserved(v)
		}
	}
}

// isReservationReady reports whether the placement has room for the job, not
// counting jobs that started after the reservation was made.
func (r *round) isReservationReady(v *reservation) bool {
	for i, n := range v.placement {
		if slices.Contains(v.placement[:i], n) {
			continue
		}
		room := n.futureFree()
		for _, t := range n.jobs {
			if t.entry.state != Reclaiming && !t.entry.started.Before(v.created) {
				room = room.Plus(multiply(t.entry.member, t.members))
			}
		}
		count := 0
		for _, o := range v.placement {
			if o == n {
				count++
			}
		}
		if !fitsIn(multiply(v.entry.member, count), room) {
			return false
		}
	}
	return true
}

// makeReservation makes a reservation for the job that has waited longest.
func (r *round) makeReservation() {
	if len(r.reservations) >= r.options.MaxReservations || r.now.Before(r.nextReservation) {
		return
	}
	r.nextReservation = r.now.Add(reserveInterval)
	e := r.longestWaiting()
	if e == nil {
		return
	}
	placement, expectedStart := r.findEarliestPlacement(e)
	if placement == nil {
		return
	}
	v := &reservation{entry: e, placement: placement, created: r.now, expectedStart: expectedStart}
	for _, n := range placement {
		n.reservation = v
	}
	r.reservations = append(r.reservations, v)
}

// isReservationOverdue reports whether the reservation may reclaim any
// borrowed job.
func (r *round) isReservationOverdue(v *reservation) bool {
	return r.now.Sub(v.created) >= r.options.ReservationWait && r.now.After(v.expectedStart)
}

// startReserved gives the reserved placement to its job if only jobs that
// started after the reservation was made are in the way, or any borrowed jobs
// when the reservation is overdue.
func (r *round) startReserved(v *reservation) {
	e := v.entry
	if r.borrowRefusal(e) != "" {
		return
	}
	plan, ok := r.planReclaim(e, v.placement)
	if !ok {
		return
	}
	startedBefore := func(x *entry) bool { return x.started.Before(v.created) }
	if slices.ContainsFunc(plan.victims, startedBefore) && !r.isReservationOverdue(v) {
		return
	}
	r.holdPlacement(e, plan, 0, "reserved")
}

func (p *Planner) dropReservationOf(e *entry) {
	if v := p.reservationOf(e); v != nil {
		p.dropReservation(v)
	}
}

// dropReservation makes the workers available to all jobs again.
func (p *Planner) dropReservation(v *reservation) {
	for _, n := range v.placement {
		n.reservation = nil
		p.model.markGainedRoom(n)
	}
	p.reservations = slices.DeleteFunc(p.reservations, func(o *reservation) bool { return o == v })
	p.rescanAll = true
}

// futureSlot is room for one member, or for all members on one worker, that
// becomes free at a time.
type futureSlot struct {
	node *node
	at   time.Time
}

// findEarliestPlacement returns the placement that is expected to be free first, and when.
func (r *round) findEarliestPlacement(e *entry) ([]*node, time.Time) {
	shape := e.job.Shape
	if shape.Members == 1 || shape.Adjacency == organisation.WithinWorker {
		return r.findEarliestOnWorker(e)
	}
	var best, all []futureSlot
	for _, k := range r.model.racks {
		var found []futureSlot
		for _, n := range k.nodes {
			found = append(found, r.futureSlots(n, e.member, shape.Members)...)
		}
		if shape.Adjacency == organisation.WithinDataCentre {
			all = append(all, found...)
			continue
		}
		found = earliestSlots(found, shape.Members)
		if found != nil && (best == nil || lastSlotTime(found).Before(lastSlotTime(best))) {
			best = found
		}
	}
	if shape.Adjacency == organisation.WithinDataCentre {
		best = earliestSlots(all, shape.Members)
	}
	if best == nil {
		return nil, time.Time{}
	}
	placement := make([]*node, 0, len(best))
	for _, s := range best {
		placement = append(placement, s.node)
	}
	return placement, lastSlotTime(best)
}

func (r *round) findEarliestOnWorker(e *entry) ([]*node, time.Time) {
	members := e.job.Shape.Members
	var best []futureSlot
	for _, k := range r.model.racks {
		for _, n := range k.nodes {
			s := r.futureSlots(n, multiply(e.member, members), 1)
			if len(s) > 0 && (best == nil || s[0].at.Before(best[0].at)) {
				best = s
			}
		}
	}
	if best == nil {
		return nil, time.Time{}
	}
	return slices.Repeat([]*node{best[0].node}, members), best[0].at
}

// earliestSlots returns the slots that become free first, or nil when there
// are too few.
func earliestSlots(slots []futureSlot, members int) []futureSlot {
	if len(slots) < members {
		return nil
	}
	slices.SortStableFunc(slots, func(a, b futureSlot) int { return a.at.Compare(b.at) })
	return slots[:members]
}

func lastSlotTime(slots []futureSlot) time.Time { return slots[len(slots)-1].at }

// futureSlots returns up to limit slots of the size on the worker, in order of
// time.
func (r *round) futureSlots(n *node, size worker.Resources, limit int) []futureSlot {
	if !n.schedulable || n.reservation != nil || !fitsIn(size, n.worker.Capacity) {
		return nil
	}
	jobs := slices.Clone(n.jobs)
	slices.SortStableFunc(jobs, func(a, b nodeJob) int {
		return a.entry.expectedEnd(r.now).Compare(b.entry.expectedEnd(r.now))
	})
	free := n.available()
	var found []futureSlot
	addSlots := func(at time.Time) {
		for len(found) < limit && fitsIn(size, free) {
			free = free.Minus(size)
			found = append(found, futureSlot{n, at})
		}
	}
	addSlots(r.now)
	for _, t := range jobs {
		if len(found) == limit {
			break
		}
		free = free.Plus(multiply(t.entry.member, t.members))
		addSlots(t.entry.expectedEnd(r.now))
	}
	return found
}
