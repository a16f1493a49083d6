package placement

import (
	"slices"
	"time"

	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/tenancy/organisation"
)

// reservation keeps workers for a job that has waited long. Other borrowed jobs
// start there only when they are expected to end before it begins; those that
// outrun their expected time are reclaimed when it can begin.
type reservation struct {
	entry *entry
	place []*node
	made  time.Time
	until time.Time // until is when the place is expected to be free.
}

// reserveInterval bounds how often a new reservation is computed, because that
// looks at every task of the data centre.
const reserveInterval = 30 * time.Second

// blocked returns the job that has waited longest, or nil when none has waited
// long enough for a reservation.
func (r *round) blocked() *entry {
	var longest *entry
	for _, t := range r.order {
		for _, e := range t.queue {
			if r.now.Sub(e.job.Submitted) < r.reserveAfter(e) || r.reservationOf(e) != nil || r.mayBorrow(e) != "" {
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

// beginReservations begins reservations whose racks have gained room and those
// that are overdue.
func (r *round) beginReservations() {
	for _, v := range slices.Clone(r.reservations) {
		gained := slices.ContainsFunc(v.place, func(n *node) bool { return n.rack.dirty })
		if (gained && r.ripe(v)) || r.overdue(v) {
			r.begin(v)
		}
	}
}

// ripe reports whether the place has room for the job apart from jobs that were
// let in after the reservation was made.
func (r *round) ripe(v *reservation) bool {
	for i, n := range v.place {
		if slices.Contains(v.place[:i], n) {
			continue
		}
		room := n.eventual()
		for _, t := range n.tasks {
			if t.entry.state != Reclaiming && !t.entry.started.Before(v.made) {
				room = room.Plus(times(t.entry.member, t.count))
			}
		}
		count := 0
		for _, o := range v.place {
			if o == n {
				count++
			}
		}
		if !fits(times(v.entry.member, count), room) {
			return false
		}
	}
	return true
}

// reserve makes a reservation for the job that has waited longest.
func (r *round) reserve() {
	if len(r.reservations) >= r.options.MaxReservations || r.now.Before(r.nextReserve) {
		return
	}
	r.nextReserve = r.now.Add(reserveInterval)
	e := r.blocked()
	if e == nil {
		return
	}
	place, until := r.earliest(e)
	if place == nil {
		return
	}
	v := &reservation{entry: e, place: place, made: r.now, until: until}
	for _, n := range place {
		n.reservation = v
	}
	r.reservations = append(r.reservations, v)
}

// overdue reports whether the reservation may take borrowed accelerators back.
func (r *round) overdue(v *reservation) bool {
	return r.now.Sub(v.made) >= r.options.ReservationWait && r.now.After(v.until)
}

// begin gives the reserved place to its job when only jobs that were let in
// after the reservation was made are in the way, or any borrowed jobs when the
// reservation is overdue.
func (r *round) begin(v *reservation) {
	e := v.entry
	if r.mayBorrow(e) != "" {
		return
	}
	room, ok := r.vacate(e, v.place)
	if !ok {
		return
	}
	older := func(x *entry) bool { return x.started.Before(v.made) }
	if slices.ContainsFunc(room.victims, older) && !r.overdue(v) {
		return
	}
	r.hold(e, room, 0, "reserved")
}

func (p *Planner) dropReservationOf(e *entry) {
	if v := p.reservationOf(e); v != nil {
		p.dropReservation(v)
	}
}

// dropReservation opens the workers to all jobs again.
func (p *Planner) dropReservation(v *reservation) {
	for _, n := range v.place {
		n.reservation = nil
		p.model.gained(n)
	}
	p.reservations = slices.DeleteFunc(p.reservations, func(o *reservation) bool { return o == v })
	p.rescan = true
}

// seat is room for one or more members that becomes free at a time.
type seat struct {
	node *node
	at   time.Time
}

// earliest returns the place that is expected to be free first, and when.
func (r *round) earliest(e *entry) ([]*node, time.Time) {
	shape := e.job.Shape
	if shape.Members == 1 || shape.Adjacency == organisation.WithinWorker {
		return r.earliestWorker(e)
	}
	var best, all []seat
	for _, k := range r.model.racks {
		var seats []seat
		for _, n := range k.nodes {
			seats = append(seats, r.seats(n, e.member, shape.Members)...)
		}
		if shape.Adjacency == organisation.WithinDataCentre {
			all = append(all, seats...)
			continue
		}
		seats = soonest(seats, shape.Members)
		if seats != nil && (best == nil || last(seats).Before(last(best))) {
			best = seats
		}
	}
	if shape.Adjacency == organisation.WithinDataCentre {
		best = soonest(all, shape.Members)
	}
	if best == nil {
		return nil, time.Time{}
	}
	place := make([]*node, 0, len(best))
	for _, s := range best {
		place = append(place, s.node)
	}
	return place, last(best)
}

func (r *round) earliestWorker(e *entry) ([]*node, time.Time) {
	members := e.job.Shape.Members
	var best []seat
	for _, k := range r.model.racks {
		for _, n := range k.nodes {
			s := r.seats(n, times(e.member, members), 1)
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

// soonest returns the seats that are free first, or nil when there are too few.
func soonest(seats []seat, members int) []seat {
	if len(seats) < members {
		return nil
	}
	slices.SortStableFunc(seats, func(a, b seat) int { return a.at.Compare(b.at) })
	return seats[:members]
}

func last(seats []seat) time.Time { return seats[len(seats)-1].at }

// seats returns up to limit seats of the size on the worker, in order of time.
func (r *round) seats(n *node, size worker.Resources, limit int) []seat {
	if !n.schedulable || n.reservation != nil || !fits(size, n.worker.Capacity) {
		return nil
	}
	tasks := slices.Clone(n.tasks)
	slices.SortStableFunc(tasks, func(a, b task) int {
		return a.entry.expectedEnd(r.now).Compare(b.entry.expectedEnd(r.now))
	})
	free := n.available()
	var seats []seat
	take := func(at time.Time) {
		for len(seats) < limit && fits(size, free) {
			free = free.Minus(size)
			seats = append(seats, seat{n, at})
		}
	}
	take(r.now)
	for _, t := range tasks {
		if len(seats) == limit {
			break
		}
		free = free.Plus(times(t.entry.member, t.count))
		take(t.entry.expectedEnd(r.now))
	}
	return seats
}
