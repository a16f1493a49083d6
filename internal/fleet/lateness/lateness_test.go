package lateness_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/propertytest"
	"wasabihoist/internal/fleet/lateness"
)

func TestMain(m *testing.M) { propertytest.Main(m, 1000) }

const second = time.Second

// Guards against a victim whose result becomes late, or worthless, when another loses
// nothing by the same delay.
func TestDelayCost(t *testing.T) {
	urgent := lateness.Work{Class: lateness.Urgent, Size: 10, Due: 4 * second, Limit: 12 * second} // worth 50
	batch := lateness.Work{Class: lateness.Low, Size: 100, Due: 4 * second, Limit: 12 * second}    // worth 15
	for name, tt := range map[string]struct {
		work                   lateness.Work
		earlier, later, spread time.Duration
		want                   float64
	}{
		"in time all the same":  {urgent, 1 * second, 3 * second, 0, 0},
		"late":                  {urgent, 3 * second, 5 * second, 0, 40},
		"late all the same":     {urgent, 5 * second, 9 * second, 0, 0},
		"late to worthless":     {urgent, 5 * second, 13 * second, 0, 10},
		"in time to worthless":  {urgent, 3 * second, 13 * second, 0, 50},
		"no faster than before": {urgent, 5 * second, 3 * second, 0, 0},
		"in doubt":              {urgent, 2 * second, 4 * second, 2 * second, 20},
		"late batch":            {batch, 3 * second, 5 * second, 0, 12},
		"worthless batch":       {batch, 5 * second, 13 * second, 0, 3},
	} {
		t.Run(name, func(t *testing.T) {
			got := tt.work.DelayCost(tt.earlier, tt.later, tt.spread)
			qt.New(t).Check(got > tt.want-0.01 && got < tt.want+0.01, qt.IsTrue, qt.Commentf("got %v, want %v", got, tt.want))
		})
	}
}

// Guards against small jobs that give way to large ones of their kind although their
// callers lose as much for less room.
func TestWorthOfSmallJobs(t *testing.T) {
	for name, tt := range map[string]struct{ size, mean, want float64 }{
		"kind unknown": {10, 0, 8},
		"mean":         {100, 100, 80},
		"small":        {10, 100, 29.6},
		"large":        {200, 100, 136},
		"largest":      {2000, 100, 320},
	} {
		t.Run(name, func(t *testing.T) {
			w := lateness.Work{Class: lateness.Ordinary, Size: tt.size, MeanSize: tt.mean}
			qt.New(t).Check(w.Worth(), qt.Equals, tt.want)
		})
	}
}
