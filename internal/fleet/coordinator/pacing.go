package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/fleet/host"
)

const (
	// sharedRenewalWait is the wait of a renewal, and so the time between two
	// load reports, on a host where filling tasks run beside serving ones.
	// Minions report the load of the last half second.
	sharedRenewalWait = 300 * time.Millisecond
	// minPaceInterval is the minimum time between two changes of a pace, so
	// that the effect of each shows in the load before the next one.
	minPaceInterval = 500 * time.Millisecond
	// highLatency and lowLatency are the shares of a latency target above which
	// filling tasks slow down, and below which they speed up. Between them they
	// keep their pace.
	highLatency = 0.85
	lowLatency  = 0.65
	// paceDecreaseFactor is the factor of a slow-down, and paceIncrease the
	// percentage points that a speed-up adds.
	paceDecreaseFactor = 0.5
	paceIncrease       = 10
	// minPace is the lowest percentage other than 0; slower work is not worth
	// the disturbance.
	minPace = 10
	// fullPace is the percentage at which runs start.
	fullPace = 100
	// unknownPace marks runs of a former term, which may have slowed them down.
	unknownPace = -1
)

// pacing is the pace of the filling tasks on a host, which use only processor
// time that other tasks leave.
type pacing struct {
	reduction int           // reduction is by how many percentage points the pace is below fullPace.
	at        time.Duration // at is when it last changed.
}

// percent returns the current pace.
func (p *pacing) percent() int { return fullPace - p.reduction }

// adjust changes the pace. worst is the highest latency of the serving tasks,
// as a share of their targets. It halves the pace while latencies are high and
// raises it step by step while they are low.
func (p *pacing) adjust(worst float64, at time.Duration) {
	if at-p.at < minPaceInterval {
		return
	}
	next := p.percent()
	switch {
	case worst > highLatency:
		next = int(float64(next) * paceDecreaseFactor)
		if next < minPace {
			next = 0
		}
	case worst < lowLatency:
		next = min(max(next+paceIncrease, minPace), fullPace)
	}
	if next != p.percent() {
		p.reduction, p.at = fullPace-next, at
	}
}

// needsPacing reports whether filling tasks run beside tasks that serve users.
func (h *hostState) needsPacing() bool {
	fills, serves := false, false
	for _, r := range h.runs {
		fills = fills || r.attempt.definition().BestEffort
		serves = serves || r.attempt.definition().LatencyTarget > 0
	}
	return fills && serves
}

// paceHost sets the pace of the filling tasks on a host so that the serving
// tasks keep their latency targets.
func (t *term) paceHost(h *hostState) {
	worst, serves, measured := 0.0, false, false
	for _, r := range h.runs {
		target := r.attempt.definition().LatencyTarget
		serves = serves || target > 0
		if target > 0 && r.isServing() {
			worst, measured = max(worst, float64(r.load)/float64(target.Milliseconds())), true
		}
	}
	former := h.pacing.percent()
	switch {
	case !serves:
		h.pacing = pacing{}
	case measured:
		h.pacing.adjust(worst, now())
	}
	if percent := h.pacing.percent(); percent != former {
		_ = level.Info(t.logger).Log("event", "pace changed", "host", h.name, "percent", percent, "former", former, "worst-latency", worst)
	}
	for _, r := range h.runs {
		r.sendPace(t, h.pacing.percent())
	}
}

// sendPace sends the pace of a filling run to its minion, unless it is in force
// or a call is in flight.
func (r *run) sendPace(t *term, percent int) {
	if !r.attempt.definition().BestEffort || r.phase != running || r.paceInFlight || r.pace == percent {
		return
	}
	r.paceInFlight = true
	t.callMinion(r, func(ctx context.Context, r *run, client host.Client) error {
		err := client.Throttle(ctx, host.ThrottleRequest{Incarnation: r.minion, Token: t.token, Task: r.task, Number: r.number, SpeedPercent: percent})
		if errors.Is(err, host.ErrFenced) {
			return errFenced
		}
		if err != nil { // Retried after the next listing if the change is still due.
			_ = level.Debug(t.logger).Log("event", "pace request failed", "job", r.task.Job, "task", r.task, "run", r.number, "reason", err)
		}
		t.post(func() {
			r.paceInFlight = false
			if err == nil {
				r.pace, r.progressedAt = percent, now()
			}
		})
		return nil
	})
}
