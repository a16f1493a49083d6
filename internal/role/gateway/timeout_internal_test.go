package gateway

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against tries that are given up while the store is only slow, and
// against a timeout that stays long after it is fast again.
func TestAdaptiveTimeout(t *testing.T) {
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
			var timeout adaptiveTimeout
			for _, d := range tt.took {
				timeout.observe(d, tt.answered)
			}
			c.Check(timeout.current() >= tt.least && timeout.current() <= tt.most, qt.IsTrue, qt.Commentf("%s", timeout.current()))
		})
	}
}

func repeat(d time.Duration, n int) []time.Duration { return slices.Repeat([]time.Duration{d}, n) }
