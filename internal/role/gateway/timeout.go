package gateway

import (
	"sync"
	"time"
)

const (
	// shortestTry bounds a try of an append from below. A connection that has gone
	// silent is given up after it.
	shortestTry = 700 * time.Millisecond
	// longestTry bounds a try from above. The store refuses appends that would wait
	// for more than 2 s.
	longestTry = 2500 * time.Millisecond
	// tryFactor is how many times longer than average a try may take.
	tryFactor = 4
	// newShare is the weight of the latest time in the average.
	newShare = 0.3
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
	return min(max(shortestTry, tryFactor*t.average), longestTry)
}

// observe takes how long a try lasted. A try without an answer says that answers
// take longer at least.
func (t *adaptiveTimeout) observe(took time.Duration, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if answered || took > t.average {
		t.average += time.Duration(newShare * float64(took-t.average))
	}
}
