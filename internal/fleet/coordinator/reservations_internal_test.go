package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/run/metrics"
)

// newReservationTerm returns a term without jobs, and a function that returns the demand
// of a waiting gang as of a time, after a plan that reserved hosts for it or did not.
func newReservationTerm(name string) (t *term, plan func(w waitingStep, at time.Duration, startIn collection.Option[time.Duration]) allocation.Demand) {
	t = &term{
		Coordinator: &Coordinator{metrics: newMetricSet(metrics.For(name))}, logger: log.NewNopLogger(),
		reservations: reservations{byGang: make(map[stepKey]*reservation)},
	}
	return t, func(w waitingStep, at time.Duration, startIn collection.Option[time.Duration]) allocation.Demand {
		var d allocation.Demand
		w.reservedAt = t.applyReservation(&d, w.key(), 0, at)
		var p allocation.Plan
		if s, ok := startIn.Get(); ok && !d.NoReservation {
			p.Reservations = map[int]allocation.Reservation{0: {StartIn: s}}
		}
		t.recordReservations([]waitingStep{w}, p, at)
		return d
	}
}

// Guards against hosts that are reserved without end, because the work in the way always
// seems to end soon.
func TestReservationIsGivenUp(t *testing.T) {
	c := qt.New(t)
	tm, plan := newReservationTerm(t.Name())
	w := waitingStep{job: &jobState{}}
	soon := collection.Some(time.Second)
	for _, tt := range []struct {
		at         time.Duration
		held       bool          // held is set while the plan after that time reserves hosts.
		heldFor    time.Duration // heldFor is what the demand says of the reservation.
		noBackfill bool
		wait       time.Duration
	}{
		{10 * time.Second, true, 0, false, minReservationWait},
		{11 * time.Second, true, time.Second, false, minReservationWait + reservationGrace},
		{39 * time.Second, true, 29 * time.Second, false, minReservationWait + reservationGrace},
		{40 * time.Second, false, 0, true, minReservationWait},
		{59 * time.Second, false, 0, true, minReservationWait},
		{60 * time.Second, true, 0, true, minReservationWait},
		{61 * time.Second, true, time.Second, true, minReservationWait + reservationGrace},
	} {
		d := plan(w, tt.at, soon)
		comment := qt.Commentf("at %s", tt.at)
		c.Check(tm.reservations.byGang[w.key()].held, qt.Equals, tt.held, comment)
		c.Check(d.ReservedFor, qt.Equals, tt.heldFor, comment)
		c.Check(d.NoBackfill, qt.Equals, tt.noBackfill, comment)
		c.Check(d.MaxReservationWait, qt.Equals, tt.wait, comment)
	}
}

// Guards against gangs that keep hosts idle one after the other: after one has given up,
// no other one reserves hosts for a while.
func TestReservationsPauseForAllGangs(t *testing.T) {
	c := qt.New(t)
	tm, plan := newReservationTerm(t.Name())
	first, second := waitingStep{job: &jobState{}}, waitingStep{job: &jobState{}}
	soon := collection.Some(time.Second)
	plan(first, time.Second, soon)
	plan(first, time.Minute, soon)
	c.Check(plan(second, time.Minute, soon).NoReservation, qt.IsTrue)
	c.Check(plan(second, time.Minute+maxReservationPause, soon).NoReservation, qt.IsFalse)
	c.Check(tm.reservations.byGang[second.key()].held, qt.IsTrue)
}

// Guards against a gang that is treated as one whose reservation was given up, although
// it has started since.
func TestReservationEndsWithTheWait(t *testing.T) {
	c := qt.New(t)
	tm, plan := newReservationTerm(t.Name())
	w := waitingStep{job: &jobState{}}
	plan(w, time.Second, collection.Some(time.Second))
	tm.recordReservations([]waitingStep{w}, allocation.Plan{Placements: []allocation.Placement{{Demand: 0}}}, 2*time.Second)
	c.Check(tm.reservations.byGang, qt.HasLen, 0)
	c.Check(plan(w, time.Minute, collection.None[time.Duration]()).NoReservation, qt.IsFalse)
	plan(w, time.Minute, collection.Some(time.Second))
	plan(w, time.Minute, collection.None[time.Duration]()) // Its hosts will not be free in time.
	c.Check(tm.reservations.byGang[w.key()].held, qt.IsFalse)
	c.Check(tm.reservations.pausedUntil, qt.Equals, time.Duration(0))
}

// Guards against work that always seems to end at once, because its estimate is missing
// or far too short.
func TestExpectedTimeLeft(t *testing.T) {
	const at, started = time.Minute, 50 * time.Second // It has run for ten seconds.
	for name, tt := range map[string]struct {
		step    workload.Step
		percent int
		want    time.Duration
	}{
		"estimate":              {workload.Step{Estimate: 30 * time.Second}, 5, 20 * time.Second},
		"estimate used up":      {workload.Step{Estimate: time.Second}, 5, 90 * time.Second},
		"no estimate":           {workload.Step{}, 0, 90 * time.Second},
		"progress":              {workload.Step{Estimate: time.Second}, 50, 10 * time.Second},
		"long-running":          {workload.Step{Estimate: time.Second, LongRunning: true}, 0, allocation.Never},
		"long-running and done": {workload.Step{LongRunning: true}, 100, allocation.Never},
	} {
		t.Run(name, func(t *testing.T) {
			j := &jobState{job: workload.Job{Steps: []workload.Step{tt.step}}}
			r := &run{attempt: &attempt{job: j}, phase: running, startedAt: started, progressedAt: at, percent: tt.percent}
			qt.New(t).Check(r.expectedTimeLeft(at, r.attempt.definition().Estimate), qt.Equals, tt.want)
		})
	}
}
