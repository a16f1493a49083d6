package coordinator

import (
	"context"
	"time"

	"wasabihoist/internal/fleet/host"
)

// lateStart is a try of the start of a released run that was not answered. The
// incarnation of the minion that has known the run refuses the try, but a next one
// would carry it out, although the task may run elsewhere or have finished.
type lateStart struct {
	until        time.Duration // until is when the try can't be carried out any more.
	refusedBy    string        // refusedBy is the incarnation that refuses the try.
	stopInFlight bool          // stopInFlight is set while a stop is in flight.
	nextStopAt   time.Duration // nextStopAt is when a stop may be sent again.
}

// lateStartStopInterval is the pause between two stops because of a late start.
const lateStartStopInterval = 500 * time.Millisecond

// refuseLateStarts stops the runs of late starts at a new incarnation of a minion,
// which refuses the starts from then on.
func (t *term) refuseLateStarts(h *hostState) {
	at, incarnation, client := now(), h.incarnation(), h.client
	for key, s := range h.lateStarts {
		if at > s.until || host.IncarnationID(s.refusedBy) != h.minion.ID {
			delete(h.lateStarts, key)
			continue
		}
		if s.refusedBy == incarnation || s.stopInFlight || at < s.nextStopAt {
			continue
		}
		s.stopInFlight = true
		request := host.StopRequest{Incarnation: incarnation, Token: t.token, Task: key.task, Number: key.number}
		t.group.Go("stop late start", func(ctx context.Context) error {
			err := client.Stop(ctx, request)
			t.post(func() {
				s.stopInFlight, s.nextStopAt = false, now()+lateStartStopInterval
				if err == nil {
					s.refusedBy = incarnation
				}
			})
			return nil
		})
	}
}
