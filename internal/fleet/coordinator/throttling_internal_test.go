package coordinator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/host"
)

// Guards against best-effort tasks that continue to disturb others, and against
// a speed that oscillates or does not recover.
func TestSpeedFollowsTheLatency(t *testing.T) {
	for name, tt := range map[string]struct {
		reduction    int
		worst        []float64 // worst is the highest latency at each reading, as a share of the target.
		speeds       []int
		halfInterval bool // halfInterval spaces the readings at half of minThrottleInterval.
	}{
		"slows while latencies are high":   {worst: []float64{0.9, 2, 1}, speeds: []int{50, 25, 12}},
		"stops below minSpeed":             {reduction: 88, worst: []float64{2, 2}, speeds: []int{0, 0}},
		"keeps its speed in between":       {reduction: 50, worst: []float64{0.8, 0.7}, speeds: []int{50, 50}},
		"comes back step by step":          {reduction: 100, worst: []float64{0.1, 0.1, 0.1}, speeds: []int{10, 20, 30}},
		"is never above full":              {reduction: 5, worst: []float64{0.1, 0.1}, speeds: []int{100, 100}},
		"waits for the effect of a change": {worst: []float64{2, 2}, speeds: []int{50, 50}, halfInterval: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := throttle{reduction: tt.reduction}
			at := time.Minute
			for i, worst := range tt.worst {
				p.adjust(worst, at)
				qt.New(t).Check(p.percent(), qt.Equals, tt.speeds[i])
				if at += minThrottleInterval; tt.halfInterval {
					at -= minThrottleInterval / 2
				}
			}
		})
	}
}

// Guards against throttled runs that count as stalled.
func TestStalled(t *testing.T) {
	const limit = 3 * time.Second
	for name, tt := range map[string]struct {
		percent, speed int
		unchangedFor   time.Duration // unchangedFor is how long the percentage has been the same.
		want           bool
	}{
		"stuck":                     {40, fullSpeed, 4 * time.Second, true},
		"moving":                    {40, fullSpeed, time.Second, false},
		"done, waits for its gang":  {100, fullSpeed, time.Minute, false},
		"slowed down":               {40, 10, time.Minute, false},
		"stopped for others":        {40, 0, time.Minute, false},
		"of a former term, unknown": {40, unknownSpeed, time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			at := time.Hour
			r := &run{percent: tt.percent, speedPercent: tt.speed, progressedAt: at - tt.unchangedFor, host: &hostState{lastContact: at}}
			qt.New(t).Check(r.stalled(limit), qt.Equals, tt.want)
		})
	}
}

// lateSpeeds carries the first call out after the second one and does not answer it.
type lateSpeeds struct {
	host.Client
	late  int   // late is the speed in the call that is not yet carried out.
	speed int   // speed is the last one that was carried out.
	calls []int // calls holds the speeds of all calls.
}

// Throttle implements host.Client.
func (l *lateSpeeds) Throttle(_ context.Context, r host.ThrottleRequest) error {
	l.calls = append(l.calls, r.SpeedPercent)
	if len(l.calls) == 1 {
		l.late = r.SpeedPercent
		return context.DeadlineExceeded
	}
	l.speed = r.SpeedPercent
	if len(l.calls) == 2 {
		l.speed = l.late
	}
	return nil
}

// Guards against a best-effort task that stays slow because a call that was not
// answered is carried out after a newer one.
func TestSpeedIsSetAgainAfterCallThatMayBeCarriedOutLate(t *testing.T) {
	c := qt.New(t)
	tm, r := newRunTerm(t, present)
	r.attempt.job.job.Steps[0].BestEffort = true
	client := &lateSpeeds{}
	r.host.client = client
	send := func(percent int) {
		r.sendSpeed(tm, percent)
		for r.throttleInFlight {
			(<-tm.events)()
		}
	}
	send(50)
	for range 3 {
		send(fullSpeed)
	}
	c.Check(client.calls, qt.DeepEquals, []int{50, fullSpeed})
	c.Assert(client.speed, qt.Equals, 50)
	c.Check(r.speedOpenUntil > now(), qt.IsTrue)
	r.speedOpenUntil = now()
	for range 3 {
		send(fullSpeed)
	}
	c.Check(client.calls, qt.DeepEquals, []int{50, fullSpeed, fullSpeed})
	c.Check(client.speed, qt.Equals, fullSpeed)
}
