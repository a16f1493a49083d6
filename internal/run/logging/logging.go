// Package logging writes logfmt lines. Lines are for changes of state;
// everything that happens often is counted instead (package metrics).
package logging

import (
	"fmt"
	"io"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes logfmt lines with time and process name.
// Lines below the level (debug, info, warn or error) and lines without a level
// are left out. The logger is safe for concurrent use.
func New(w io.Writer, levelName, process string) (log.Logger, error) {
	allowed, err := level.Parse(levelName)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", levelName, err)
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = log.With(logger, "time", log.DefaultTimestampUTC, "process", process)
	return level.NewFilter(logger, level.Allow(allowed), level.SquelchNoLevel(true)), nil
}

// Changes logs the states of subjects, with one line for each change. It is
// safe for concurrent use.
type Changes struct {
	logger log.Logger
	kind   string // kind names the subjects, such as member.

	mu     sync.Mutex
	states map[string]string // states holds the last state of each subject that was not forgotten.
}

// NewChanges returns a log of the changes of one kind of subject.
func NewChanges(logger log.Logger, kind string) *Changes {
	return &Changes{logger: logger, kind: kind, states: make(map[string]string)}
}

// Log writes a line when the state differs from the last one of the subject.
// The first state of a subject counts as a change. keyvals are added to the
// line. It reports whether the state has changed.
func (c *Changes) Log(subject, state string, keyvals ...any) bool {
	// The lock is held while the line is written, so that lines are in the order
	// of the changes.
	c.mu.Lock()
	defer c.mu.Unlock()
	former, known := c.states[subject]
	c.states[subject] = state
	if known && former == state {
		return false
	}
	line := []any{c.kind, subject, "state", state}
	if known {
		line = append(line, "former", former)
	}
	_ = level.Info(c.logger).Log(append(line, keyvals...)...)
	return true
}

// Forget drops the state of a subject that is gone, so that the memory in use
// does not grow with the subjects of the past.
func (c *Changes) Forget(subject string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.states, subject)
}
