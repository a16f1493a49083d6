// Package limitedlog logs warnings about the input of other writers, who may repeat
// it without end.
package limitedlog

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Interval is the least time between two lines of a Logger.
const Interval = 10 * time.Second

// Logger logs at most one warning in each interval. It is safe for concurrent use.
type Logger struct {
	logger log.Logger

	mu         sync.Mutex
	lastLine   time.Time
	suppressed int // suppressed is the number of warnings since lastLine.
}

// New returns a logger that writes to another one.
func New(logger log.Logger) *Logger { return &Logger{logger: logger} }

// Warn logs a warning, or counts it if the last line is recent. The next line has
// the count.
func (l *Logger) Warn(keyvals ...any) {
	l.mu.Lock()
	if time.Since(l.lastLine) < Interval {
		l.suppressed++
		l.mu.Unlock()
		return
	}
	keyvals = append(keyvals, "suppressed", l.suppressed)
	l.lastLine, l.suppressed = time.Now(), 0
	l.mu.Unlock()
	_ = level.Warn(l.logger).Log(keyvals...)
}
