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
	// load reports, on a host where best-effort tasks run beside serving ones.
	// Minions report the load of the last half second.
	sharedRenewalWait = 300 * time.Millisecond
	// minThrottleInterval is the minimum time between two changes of the speed,
	// so that the effect of each shows in the load before the next one.
	minThrottleInterval = 500 * time.Millisecond
	// highLatency and lowLatency are the shares of a latency target above which
	// best-effort tasks slow down, and below which they speed up. Between them
	// they keep their speed.
	highLatency = 0.85
	lowLatency  = 0.65
	// speedDecreaseFactor is the factor of a slow-down, and speedIncrease the
	// percentage points that a speed-up adds.
	speedDecreaseFactor = 0.5
	speedIncrease       = 10
	// minSpeed is the lowest speed percentage other than 0; slower work is not
	// worth the disturbance.
	minSpeed = 10
	// fullSpeed is the speed percentage at which runs start.
	fullSpeed = 100
	// unknownSpeed marks runs that a former term, or a call without a reply, may
	// have slowed down.
	unknownSpeed = -1
	// lateSpeedTime is how long after a call to change the speed that was not
	// answered the speed is set again, in case the call was carried out after a
	// newer one. Status reports don't show the speed.
	lateSpeedTime = 5 * time.Second
)

// throttle is the state of throttling the best-effort tasks on a host, which
// use only processor time that other tasks leave.
type throttle struct {
	reduction int           // reduction is by how many percentage points the speed is below fullSpeed.
	changedAt time.Duration // changedAt is when the speed last changed.
}

// percent returns the current speed percentage.
func (p *throttle) percent() int { return fullSpeed - p.reduction }

// adjust changes the speed. worst is the highest latency of the serving tasks,
// as a share of their targets. It halves the speed while latencies are high and
// raises it step by step while they are low.
func (p *throttle) adjust(worst float64, at time.Duration) {
	if at-p.changedAt < minThrottleInterval {
		return
	}
	next := p.percent()
	switch {
	case worst > highLatency:
		next = int(float64(next) * speedDecreaseFactor)
		if next < minSpeed {
			next = 0
		}
	case worst < lowLatency:
		next = min(max(next+speedIncrease, minSpeed), fullSpeed)
	}
	if next != p.percent() {
		p.reduction, p.changedAt = fullSpeed-next, at
	}
}

// needsThrottling reports whether best-effort tasks run beside tasks that serve
// users.
func (h *hostState) needsThrottling() bool {
	bestEffort, serves := false, false
	for _, r := range h.runs {
		bestEffort = bestEffort || r.attempt.definition().BestEffort
		serves = serves || r.attempt.definition().LatencyTarget > 0
	}
	return bestEffort && serves
}

// throttleHost sets the speed of the best-effort tasks on a host so that the
// serving tasks keep their latency targets.
func (t *term) throttleHost(h *hostState) {
	worst, serves, measured := 0.0, false, false
	for _, r := range h.runs {
		target := r.attempt.definition().LatencyTarget
		serves = serves || target > 0
		if target > 0 && r.isServing() {
			worst, measured = max(worst, float64(r.load)/float64(target.Milliseconds())), true
		}
	}
	former := h.throttle.percent()
	switch {
	case !serves:
		h.throttle = throttle{}
	case measured:
		h.throttle.adjust(worst, now())
	}
	if percent := h.throttle.percent(); percent != former {
		_ = level.Info(t.logger).Log("event", "speed changed", "host", h.name, "percent", percent, "former", former, "worst-latency", worst)
	}
	for _, r := range h.runs {
		r.sendSpeed(t, h.throttle.percent())
	}
}

// sendSpeed sends the speed of a best-effort run to its minion, unless the run
// has this speed already or a call is in flight.
func (r *run) sendSpeed(t *term, percent int) {
	if !r.attempt.definition().BestEffort || r.phase != running || r.throttleInFlight {
		return
	}
	if r.speedOpenUntil != 0 && now() >= r.speedOpenUntil {
		r.speedPercent, r.speedOpenUntil = unknownSpeed, 0
	}
	if r.speedPercent == percent {
		return
	}
	r.throttleInFlight = true
	t.callMinion(r, func(ctx context.Context, r *run, client host.Client) error {
		err := client.Throttle(ctx, host.ThrottleRequest{Incarnation: r.minion, Token: t.token, Task: r.task, Number: r.number, SpeedPercent: percent})
		if errors.Is(err, host.ErrFenced) {
			return errFenced
		}
		if err != nil { // Retried after the next status report if the change is still due.
			_ = level.Debug(t.logger).Log("event", "throttle request failed", "job", r.task.Job, "task", r.task, "run", r.number, "reason", err)
		}
		t.post(func() {
			r.throttleInFlight = false
			switch {
			case err == nil:
				r.speedPercent, r.progressedAt = percent, now()
			case !host.IsRefusal(err):
				r.speedPercent, r.speedOpenUntil = unknownSpeed, now()+lateSpeedTime
			}
		})
		return nil
	})
}
