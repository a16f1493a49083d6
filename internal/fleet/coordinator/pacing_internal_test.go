package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against filling tasks that continue to disturb others, and against a
// pace that oscillates or does not recover.
func TestPaceFollowsTheLatency(t *testing.T) {
	for name, tt := range map[string]struct {
		reduction int
		worst     []float64 // worst is the latency at each interval, as a share of the target.
		paces     []int
		closer    bool // closer spaces the readings at half the interval.
	}{
		"slows while latencies are high":   {worst: []float64{0.9, 2, 1}, paces: []int{50, 25, 12}},
		"stops what is not worth it":       {reduction: 88, worst: []float64{2, 2}, paces: []int{0, 0}},
		"keeps its pace in between":        {reduction: 50, worst: []float64{0.8, 0.7}, paces: []int{50, 50}},
		"comes back step by step":          {reduction: 100, worst: []float64{0.1, 0.1, 0.1}, paces: []int{10, 20, 30}},
		"is never above full":              {reduction: 5, worst: []float64{0.1, 0.1}, paces: []int{100, 100}},
		"waits for the effect of a change": {worst: []float64{2, 2}, paces: []int{50, 50}, closer: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := pacing{reduction: tt.reduction}
			at := time.Minute
			for i, worst := range tt.worst {
				p.adjust(worst, at)
				qt.New(t).Check(p.percent(), qt.Equals, tt.paces[i])
				if at += minPaceInterval; tt.closer {
					at -= minPaceInterval / 2
				}
			}
		})
	}
}

// Guards against throttled runs that count as stalled.
func TestStalls(t *testing.T) {
	const limit = 3 * time.Second
	for name, tt := range map[string]struct {
		percent, paced int
		still          time.Duration // still is how long the percentage has been the same.
		want           bool
	}{
		"stuck":                     {40, fullPace, 4 * time.Second, true},
		"moving":                    {40, fullPace, time.Second, false},
		"done, waits for its gang":  {100, fullPace, time.Minute, false},
		"slowed down":               {40, 10, time.Minute, false},
		"stopped for others":        {40, 0, time.Minute, false},
		"of a former term, unknown": {40, unknownPace, time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			at := time.Hour
			r := &run{percent: tt.percent, pace: tt.paced, progressedAt: at - tt.still, host: &hostState{lastContact: at}}
			qt.New(t).Check(r.stalled(limit), qt.Equals, tt.want)
		})
	}
}
