package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/fleet/host"
)

const (
	// paceWait is how often a host is looked at on which tasks that fill run
	// beside tasks that serve. Minions report the load of the last half second.
	paceWait = 300 * time.Millisecond
	// paceInterval is the least time between two changes of a pace, so that each
	// shows in the load before the next one.
	paceInterval = 500 * time.Millisecond
	// highLatency and lowLatency are the parts of a target above which the tasks
	// that fill slow down, and below which they speed up. Between them they keep
	// their pace.
	highLatency = 0.85
	lowLatency  = 0.65
	// paceDown is the factor of a slow-down, and paceUp what a speed-up adds.
	paceDown = 0.5
	paceUp   = 10
	// leastPace is the lowest pace that is worth the disturbance.
	leastPace = 10
	// fullPace is the pace at which runs start.
	fullPace = 100
	// unknownPace is that of runs which a former term has given out and may have
	// slowed down.
	unknownPace = -1
)

// pacing is the pace of the tasks on a host that use what others leave.
type pacing struct {
	held int           // held is by how much the pace is below fullPace.
	at   time.Duration // at is when it last changed.
}

// percent is the pace in force.
func (p *pacing) percent() int { return fullPace - p.held }

// adjust changes the pace. worst is the highest latency of the tasks that serve,
// in parts of their targets. It halves the pace while latencies are high and
// raises it step by step while they are low.
func (p *pacing) adjust(worst float64, at time.Duration) {
	if at-p.at < paceInterval {
		return
	}
	next := p.percent()
	switch {
	case worst > highLatency:
		next = int(float64(next) * paceDown)
		if next < leastPace {
			next = 0
		}
	case worst < lowLatency:
		next = min(max(next+paceUp, leastPace), fullPace)
	}
	if next != p.percent() {
		p.held, p.at = fullPace-next, at
	}
}

// shared reports whether tasks that fill run beside tasks that serve users.
func (h *hostState) shared() bool {
	fills, serves := false, false
	for _, r := range h.runs {
		fills = fills || r.attempt.definition().BestEffort
		serves = serves || r.attempt.definition().LatencyTarget > 0
	}
	return fills && serves
}

// pace slows tasks that fill before they harm those that serve.
func (t *term) pace(h *hostState) {
	worst, serves, atWork := 0.0, false, false
	for _, r := range h.runs {
		target := r.attempt.definition().LatencyTarget
		serves = serves || target > 0
		if target > 0 && r.atWork() {
			worst, atWork = max(worst, float64(r.load)/float64(target.Milliseconds())), true
		}
	}
	former := h.pacing.percent()
	switch {
	case !serves:
		h.pacing = pacing{}
	case atWork:
		h.pacing.adjust(worst, now())
	}
	if percent := h.pacing.percent(); percent != former {
		_ = level.Info(t.logger).Log("event", "pace changed", "host", h.name, "percent", percent, "former", former, "worst-latency", worst)
	}
	for _, r := range h.runs {
		r.follow(t, h.pacing.percent())
	}
}

// follow tells the minion the pace of a run that fills.
func (r *run) follow(t *term, percent int) {
	if !r.attempt.definition().BestEffort || r.phase != running || r.paceSent || r.paced == percent {
		return
	}
	r.paceSent = true
	t.order(r, func(ctx context.Context, r *run, client host.Client) error {
		err := client.Throttle(ctx, host.ThrottleRequest{Incarnation: r.minion, Token: t.token, Task: r.task, Number: r.number, SpeedPercent: percent})
		if errors.Is(err, host.ErrFenced) {
			return errFenced
		}
		if err != nil { // The next listing shows whether it is still due.
			_ = level.Debug(t.logger).Log("event", "pace unanswered", "job", r.task.Job, "task", r.task, "run", r.number, "reason", err)
		}
		t.do(func() {
			r.paceSent = false
			if err == nil {
				r.paced, r.movedAt = percent, now()
			}
		})
		return nil
	})
}
