package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against headroom that is missing after a burst of urgent work, when
// another often follows, and against headroom that stays reserved for good.
func TestHeadroomFollowsThePeakOfUrgentWork(t *testing.T) {
	c := qt.New(t)
	var h headroom
	for _, tt := range []struct {
		at     time.Duration
		urgent int
		want   int
	}{
		{0, 0, 0},
		{time.Second, 40, 0},                // the burst itself uses everything
		{time.Second, 20, 10},               // half of the urgent work that has ended
		{time.Second + peakHalfLife, 0, 10}, // the peak has decayed to 20
		{time.Second + 2*peakHalfLife, 0, 5},
		{time.Second + 2*peakHalfLife, 30, 0},
		{time.Hour, 0, 0},
	} {
		c.Check(h.reserve(tt.urgent, tt.at), qt.Equals, tt.want, qt.Commentf("at %s", tt.at))
	}
}

// Guards against headroom that keeps a mostly idle service idle, and against headroom
// that is lost in a busy one.
func TestHeadroomIsCappedWhileMostIsFree(t *testing.T) {
	for name, tt := range map[string]struct{ headroom, free, capacity, want int }{
		"small headroom":              {5, 16, 16, 5},
		"larger than the service":     {80, 16, 16, 8},
		"just over half is free":      {80, 9, 16, 4},
		"half is free":                {80, 8, 16, 80},
		"little is free":              {5, 2, 16, 5},
		"no host of the service open": {5, 0, 0, 5},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(capHeadroom(tt.headroom, tt.free, tt.capacity), qt.Equals, tt.want)
		})
	}
}
