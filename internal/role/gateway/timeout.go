package gateway

import (
	"sync"
	"time"
)

const (
	// minAppendTimeout bounds a try of an append from below. A connection that has gone
	// silent is given up after it.
	minAppendTimeout = 700 * time.Millisecond
	// maxAppendTimeout bounds a try from above. The store refuses appends that would wait
	// for more than 2 s.
	maxAppendTimeout = 2500 * time.Millisecond
	// timeoutFactor is how many times longer than average a try may take.
	timeoutFactor = 4
	// smoothingFactor is the weight of the latest time in the average.
	smoothingFactor = 0.3
)

// adaptiveTimeout follows the response times of the store, so that calls which
// are only slow are not repeated. Each repetition would make the store slower. It
// is safe for concurrent use.
type adaptiveTimeout struct {
	mu      sync.Mutex
	average time.Duration // average is the moving average of the response times.
}

// current returns how long a try may take.
func (t *adaptiveTimeout) current() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(max(minAppendTimeout, timeoutFactor*t.average), maxAppendTimeout)
}

// observe takes how long a try lasted. A try without an answer says that answers
// take longer at least.
func (t *adaptiveTimeout) observe(took time.Duration, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answered || took > t.average {
		t.average += time.Duration(smoothingFactor * float64(took-t.average))
	}
}
