package gateway

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against attempts that time out while the store is only slow, and against a
// timeout that stays long after the store has recovered.
func TestAdaptiveTimeout(t *testing.T) {
	for name, tt := range map[string]struct {
		durations []time.Duration
		answered  bool
		shortest  time.Duration
		longest   time.Duration
	}{
		"no measurements":        {nil, true, 700 * time.Millisecond, 700 * time.Millisecond},
		"fast":                   {repeat(5*time.Millisecond, 9), true, 700 * time.Millisecond, 700 * time.Millisecond},
		"slow":                   {repeat(300*time.Millisecond, 9), true, time.Second, 1200 * time.Millisecond},
		"without answers":        {repeat(700*time.Millisecond, 3), false, time.Second, 2500 * time.Millisecond},
		"fast again":             {append(repeat(time.Second, 9), repeat(5*time.Millisecond, 9)...), true, 700 * time.Millisecond, 700 * time.Millisecond},
		"limited by the maximum": {repeat(time.Minute, 9), true, 2500 * time.Millisecond, 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var timeout adaptiveTimeout
			for _, d := range tt.durations {
				timeout.observe(d, tt.answered)
			}
			c.Check(timeout.current() >= tt.shortest && timeout.current() <= tt.longest, qt.IsTrue, qt.Commentf("%s", timeout.current()))
		})
	}
}

func repeat(d time.Duration, n int) []time.Duration { return slices.Repeat([]time.Duration{d}, n) }
