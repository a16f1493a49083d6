package coordinator

import (
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/allocation"
)

const (
	// minReservationWait is the estimated wait up to which any gang may reserve hosts.
	// A gang that has waited for longer may reserve hosts for as long as that.
	minReservationWait = 20 * time.Second
	// reservationGrace is how much longer than that a reservation is held, because the
	// work in the way may take longer than estimated.
	reservationGrace = 10 * time.Second
	// maxReservationPause bounds the time without new reservations after one was given
	// up.
	maxReservationPause = 20 * time.Second
)

// reservations holds the state of the waiting gangs that may reserve hosts.
type reservations struct {
	byGang      map[stepKey]*reservation
	pausedUntil time.Duration // pausedUntil is until when no reservation is made.
}

// reservation is the state of the reservations of a waiting gang. A reservation is
// given up if the gang has not started in time, and no gang makes another one for a
// while. So other work waits for a limited time, whatever the estimates are worth.
type reservation struct {
	maxWait time.Duration // maxWait is the longest estimated wait for which hosts are reserved.
	held    bool          // held is set while hosts are reserved.
	madeAt  time.Duration // madeAt is when the reservation was made that is held.
	missed  bool          // missed is set once a reservation was given up. Later ones admit no other work to their hosts.
}

// applyReservation sets the terms on which a gang that has waited for some time may
// reserve hosts. It returns when the reservation was made that the gang holds, if any.
func (t *term) applyReservation(d *allocation.Demand, key stepKey, waited, at time.Duration) collection.Option[time.Duration] {
	r := t.reservations.byGang[key]
	if r == nil {
		r = &reservation{}
		t.reservations.byGang[key] = r
	}
	if r.held && at-r.madeAt >= r.maxWait+reservationGrace {
		r.missed = true
		t.reservations.pausedUntil = max(t.reservations.pausedUntil, at+min(at-r.madeAt, maxReservationPause))
		t.endReservation(key, at, "the gang has not started in time")
	}
	d.NoBackfill = r.missed
	if r.held {
		d.MaxReservationWait = r.maxWait + reservationGrace
		d.ReservedFor = at - r.madeAt
		return collection.Some(r.madeAt)
	}
	r.maxWait = max(minReservationWait, waited)
	d.MaxReservationWait = r.maxWait
	d.NoReservation = at < t.reservations.pausedUntil
	return collection.None[time.Duration]()
}

// recordReservations updates the reservations after a plan for some steps.
func (t *term) recordReservations(steps []waitingStep, plan allocation.Plan, at time.Duration) {
	waiting := make(map[stepKey]int, len(steps)) // waiting holds the demands of the steps that the plan does not place.
	for demand, w := range steps {
		waiting[w.key()] = demand
	}
	for _, p := range plan.Placements {
		delete(waiting, steps[p.Demand].key())
	}
	for key, r := range t.reservations.byGang {
		demand, waits := waiting[key]
		planned, reserves := plan.Reservations[demand]
		switch {
		case !waits:
			t.endReservation(key, at, "the gang does not wait any more")
			delete(t.reservations.byGang, key)
		case reserves:
			t.holdReservation(key, planned, at)
		case r.held:
			t.endReservation(key, at, "the hosts will not be free in time")
		}
	}
}

// holdReservation makes the reservation that is planned for a gang, or keeps it.
func (t *term) holdReservation(key stepKey, planned allocation.Reservation, at time.Duration) {
	r := t.reservations.byGang[key]
	if r.held {
		return
	}
	r.held, r.madeAt = true, at
	t.metrics.reservations.Add(1)
	_ = level.Info(t.logger).Log("event", "hosts reserved", "job", key.job.job.ID, "step", key.step, "hosts", joinNames(planned.Hosts), "start-in", planned.StartIn.Round(time.Millisecond))
}

// endReservation ends the reservation of a gang if it holds one.
func (t *term) endReservation(key stepKey, at time.Duration, reason string) {
	r := t.reservations.byGang[key]
	if !r.held {
		return
	}
	r.held = false
	_ = level.Info(t.logger).Log("event", "reservation ended", "job", key.job.job.ID, "step", key.step, "held", (at - r.madeAt).Round(time.Millisecond), "reason", reason)
}
