package gateway

import (
	"sync"
	"time"
)

const (
	// minAppendTimeout is the shortest timeout of an append attempt, and so the time
	// after which a dead connection is abandoned.
	minAppendTimeout = 700 * time.Millisecond
	// maxAppendTimeout is the longest timeout of an attempt. The store rejects appends
	// that would wait for more than 2 s.
	maxAppendTimeout = 2500 * time.Millisecond
	// timeoutFactor is the ratio of the timeout to the average response time.
	timeoutFactor = 4
	// smoothingFactor is the weight of the latest response time in the moving average.
	smoothingFactor = 0.3
)

// adaptiveTimeout derives a timeout from the response times of the store, so that
// slow calls are not retried: each retry would slow the store down further. It is
// safe for concurrent use.
type adaptiveTimeout struct {
	mu      sync.Mutex
	average time.Duration // average is the exponential moving average of the response times.
}

// current returns the timeout of the next attempt.
func (t *adaptiveTimeout) current() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(max(minAppendTimeout, timeoutFactor*t.average), maxAppendTimeout)
}

// observe records the duration of an attempt. An attempt without an answer only
// raises the average, because its duration is a lower bound of the response time.
func (t *adaptiveTimeout) observe(took time.Duration, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answered || took > t.average {
		t.average += time.Duration(smoothingFactor * float64(took-t.average))
	}
}
