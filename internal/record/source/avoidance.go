package source

import (
	"sync"
	"time"
)

const (
	// firstAvoidance is how long a reader is avoided after a failed read. A
	// silent one costs a read and a second for each time that it is tried.
	firstAvoidance = 10 * time.Second
	// maxAvoidance bounds how long records cross the region link more than once
	// after the reader has recovered.
	maxAvoidance = time.Minute
)

// avoidance remembers that the reader of the region has failed. It is safe for
// concurrent use.
type avoidance struct {
	mu     sync.Mutex
	reader Peer          // reader is the one that failed last.
	pause  time.Duration // pause is the length of the avoidance; 0 when the reader works.
	until  time.Time     // until is the end of the avoidance.
}

// avoids reports whether the reader must not be asked now.
func (a *avoidance) avoids(reader Peer, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reader == reader && now.Before(a.until)
}

// doubtful reports whether the last read from the reader failed.
func (a *avoidance) doubtful(reader Peer) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reader == reader && a.pause > 0
}

// failed avoids the reader, twice as long as the last time when it has not
// worked since.
func (a *avoidance) failed(reader Peer, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	pause := firstAvoidance
	if a.reader == reader && a.pause > 0 {
		pause = min(2*a.pause, maxAvoidance)
	}
	a.reader, a.pause, a.until = reader, pause, now.Add(pause)
}

// worked forgets what is known of readers.
func (a *avoidance) worked() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reader, a.pause, a.until = Peer{}, 0, time.Time{}
}
