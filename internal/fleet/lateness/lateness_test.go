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
