package hostagent

import (
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/fleet/host"
)

// contact is whether the minion answers.
type contact int

const (
	neverAnswered contact = iota
	answers
	silent
	gone
)

// contactLog logs when the minion stops and begins to answer. It is safe for
// concurrent use.
type contactLog struct {
	logger log.Logger

	mu         sync.Mutex
	state      contact
	lastAnswer time.Time // lastAnswer is zero before the first answer.
}

// observe records the outcome of a renewal whose caller still waits.
func (l *contactLog) observe(status host.StatusReport, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := answers
	switch {
	case err != nil && !errors.Is(err, host.ErrFenced):
		next = silent
	case status.Gone:
		next = gone
	}
	at := time.Now()
	if next != l.state {
		l.log(next, at, err)
	}
	l.state = next
	if next == answers {
		l.lastAnswer = at
	}
}

// log writes a line on a change of the state. The caller holds mu.
func (l *contactLog) log(next contact, at time.Time, err error) {
	last := time.Duration(0)
	if !l.lastAnswer.IsZero() {
		last = at.Sub(l.lastAnswer).Round(time.Millisecond)
	}
	switch next {
	case silent:
		_ = level.Warn(l.logger).Log("event", "minion silent", "last-answer", last, "reason", err)
	case gone:
		_ = level.Warn(l.logger).Log("event", "no minion listens", "last-answer", last)
	default:
		_ = level.Info(l.logger).Log("event", "minion answers", "last-answer", last)
	}
}
