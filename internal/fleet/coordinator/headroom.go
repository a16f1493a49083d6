package coordinator

import (
	"math"
	"time"
)

const (
	// headroomShare is the part of the recent peak of urgent work that is kept
	// free for more of it.
	headroomShare = 0.5
	// peakHalfLife is how fast the memory of a peak fades. A burst of urgent
	// work is often followed by another within this time.
	peakHalfLife = 8 * time.Second
	// headroomSlack is how long a job must still be able to wait, and be done in
	// time, to leave the headroom alone.
	headroomSlack = 3 * time.Second
)

// headroom remembers how much urgent work there was, so that ordinary work with
// time to spare leaves room for the next urgent job. What starts there would be
// stopped again, and the urgent job would wait for the stop.
type headroom struct {
	peak float64 // peak is the accelerators of urgent work, as it fades.
	at   time.Duration
}

// keep takes the accelerators that urgent work needs now and returns how many
// more to keep free.
func (h *headroom) keep(urgent int, at time.Duration) int {
	fade := math.Exp2(-(at - h.at).Seconds() / peakHalfLife.Seconds())
	h.peak, h.at = max(float64(urgent), h.peak*fade), at
	return int(headroomShare * (h.peak - float64(urgent)))
}
