package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Replays a burst of urgent work and the lull after it.
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
		{time.Second + peakHalfLife, 0, 10}, // the peak has faded to 20
		{time.Second + 2*peakHalfLife, 0, 5},
		{time.Second + 2*peakHalfLife, 30, 0},
		{time.Hour, 0, 0},
	} {
		c.Check(h.reserve(tt.urgent, tt.at), qt.Equals, tt.want, qt.Commentf("at %s", tt.at))
	}
}
