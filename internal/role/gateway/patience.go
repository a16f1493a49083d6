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
	// tryFactor is how many times longer than usual a try may take.
	tryFactor = 4
	// newShare is the weight of the latest time in the average.
	newShare = 0.3
)

// patience learns how long the store takes, so that calls which are only slow
// are not repeated. Each repetition would make the store slower. It is safe for
// concurrent use.
type patience struct {
	mu    sync.Mutex
	usual time.Duration // usual is the moving average of the times of answers.
}

// timeout returns how long a try may take.
func (p *patience) timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(shortestTry, tryFactor*p.usual), longestTry)
}

// note takes how long a try lasted. A try without an answer says that answers
// take longer at least.
func (p *patience) note(took time.Duration, answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if answered || took > p.usual {
		p.usual += time.Duration(newShare * float64(took-p.usual))
	}
}
