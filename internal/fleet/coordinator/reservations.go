package coordinator

import (
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/fleet/allocation"
)

// reservation keeps hosts free for a gang until the work that runs on them ends.
type reservation struct {
	madeAt time.Duration
}

// recordReservations notes which gangs have reserved hosts in a plan, and logs those
// that begin and end.
func (t *term) recordReservations(steps []waitingStep, planned map[int]allocation.Reservation) {
	current := make(map[stepKey]allocation.Reservation, len(planned))
	for demand, r := range planned {
		current[stepKey{steps[demand].job, steps[demand].step}] = r
	}
	for key, held := range t.reservations {
		if _, ok := current[key]; ok {
			continue
		}
		delete(t.reservations, key)
		_ = level.Info(t.logger).Log("event", "reservation ended", "job", key.job.job.ID, "step", key.step, "held", ago(held.madeAt))
	}
	for key, r := range current {
		if t.reservations[key] != nil {
			continue
		}
		t.reservations[key] = &reservation{madeAt: now()}
		t.metrics.reservations.Add(1)
		_ = level.Info(t.logger).Log("event", "hosts reserved", "job", key.job.job.ID, "step", key.step, "hosts", joinNames(r.Hosts), "start-in", r.StartIn.Round(time.Millisecond))
	}
}
