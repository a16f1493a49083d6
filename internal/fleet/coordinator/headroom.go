package coordinator

import (
	"math"
	"time"
)

const (
	// headroomShare is the share of the difference between the recent peak of
	// urgent work and the current urgent work that is kept free for further
	// urgent jobs.
	headroomShare = 0.5
	// peakHalfLife is the half-life of the recorded peak. A burst of urgent
	// work is often followed by another within this time.
	peakHalfLife = 8 * time.Second
	// headroomSlack is the slack up to which an ordinary job may use the
	// headroom. Jobs with more slack can wait and still finish by their due
	// time.
	headroomSlack = 3 * time.Second
)

// headroom tracks the recent peak of urgent work, so that ordinary jobs with
// enough slack leave room for the next urgent job. Ordinary work started there
// would have to be preempted, and the urgent job would have to wait until it
// has stopped.
type headroom struct {
	peak      float64 // peak is the number of accelerators that urgent work needed at its peak, decayed since then.
	updatedAt time.Duration
}

// reserve updates the peak with the number of accelerators that urgent work
// needs now, and returns how many more accelerators to keep free.
func (h *headroom) reserve(urgent int, at time.Duration) int {
	decay := math.Exp2(-(at - h.updatedAt).Seconds() / peakHalfLife.Seconds())
	h.peak, h.updatedAt = max(float64(urgent), h.peak*decay), at
	return int(headroomShare * (h.peak - float64(urgent)))
}

// capHeadroom limits the headroom of a service to half of its free accelerators while
// more than half of all are free. Otherwise a mostly idle service would keep work
// waiting after a burst that was larger than the service.
func capHeadroom(headroom, free, capacity int) int {
	if 2*free <= capacity {
		return headroom
	}
	return min(headroom, free/2)
}

// headroomOf returns how many accelerators of a service ordinary work has to leave
// free when that many are to be left free for urgent work.
func (t *term) headroomOf(service string, headroom int) int {
	room := t.roomOf(service)
	return capHeadroom(headroom, room.free.Accelerators, room.capacity.Accelerators)
}
