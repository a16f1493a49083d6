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
