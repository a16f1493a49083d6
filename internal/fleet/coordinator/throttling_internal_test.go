package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
