package gateway

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against tries that are given up while the store is only slow, and
// against patience that stays after it is fast again.
func TestPatience(t *testing.T) {
	for name, tt := range map[string]struct {
		took     []time.Duration
		answered bool
		least    time.Duration
		most     time.Duration
	}{
		"unknown":              {nil, true, 700 * time.Millisecond, 700 * time.Millisecond},
		"fast":                 {repeat(5*time.Millisecond, 9), true, 700 * time.Millisecond, 700 * time.Millisecond},
		"slow":                 {repeat(300*time.Millisecond, 9), true, time.Second, 1200 * time.Millisecond},
		"without answers":      {repeat(700*time.Millisecond, 3), false, time.Second, 2500 * time.Millisecond},
		"fast again":           {append(repeat(time.Second, 9), repeat(5*time.Millisecond, 9)...), true, 700 * time.Millisecond, 700 * time.Millisecond},
		"never beyond a bound": {repeat(time.Minute, 9), true, 2500 * time.Millisecond, 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var p patience
			for _, d := range tt.took {
				p.note(d, tt.answered)
			}
			c.Check(p.timeout() >= tt.least && p.timeout() <= tt.most, qt.IsTrue, qt.Commentf("%s", p.timeout()))
		})
	}
}

func repeat(d time.Duration, n int) []time.Duration { return slices.Repeat([]time.Duration{d}, n) }
