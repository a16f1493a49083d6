package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against tasks that go on disturbing others, and against a pace that
// swings or does not come back.
func TestPaceFollowsTheLatency(t *testing.T) {
	for name, tt := range map[string]struct {
		held   int
		worst  []float64 // worst is the latency at each interval, in parts of the target.
		paces  []int
		closer bool // closer brings the readings before the interval has passed.
	}{
		"slows while latencies are high":   {worst: []float64{0.9, 2, 1}, paces: []int{50, 25, 12}},
		"stops what is not worth it":       {held: 88, worst: []float64{2, 2}, paces: []int{0, 0}},
		"keeps its pace in between":        {held: 50, worst: []float64{0.8, 0.7}, paces: []int{50, 50}},
		"comes back step by step":          {held: 100, worst: []float64{0.1, 0.1, 0.1}, paces: []int{10, 20, 30}},
		"is never above full":              {held: 5, worst: []float64{0.1, 0.1}, paces: []int{100, 100}},
		"waits for the effect of a change": {worst: []float64{2, 2}, paces: []int{50, 50}, closer: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := pacing{held: tt.held}
			at := time.Minute
			for i, worst := range tt.worst {
				p.adjust(worst, at)
				qt.New(t).Check(p.percent(), qt.Equals, tt.paces[i])
				if at += paceInterval; tt.closer {
					at -= paceInterval / 2
				}
			}
		})
	}
}
