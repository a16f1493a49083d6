package hostagent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/run/metrics"
)

const (
	// maxOpenStarts bounds the starts that are remembered until they are answered
	// or their run is reported.
	maxOpenStarts = 256
	// openStartRetention is after which time a start may be forgotten. Minions
	// carry out no start that is older than a few seconds.
	openStartRetention = time.Minute
)

// runKey identifies a run of a task.
type runKey struct {
	task   workload.TaskID
	number int
}

// openStart counts the starts of a run that were not answered.
type openStart struct {
	inFlight   int
	unanswered int
	sent       time.Time // sent is when the last one was sent.
}

// runWatch logs when the minion first reports a run or its end, and whether its
// starts were answered. It decides nothing. It is safe for concurrent use.
type runWatch struct {
	logger     log.Logger
	carriedOut metrics.Counter // carriedOut counts the runs that were reported although a start was not answered.

	mu        sync.Mutex
	starts    map[runKey]openStart // starts holds runs that the minion has not reported.
	startedAt time.Time            // startedAt is the start time of the incarnation that sent the newest report.
	running   map[runKey]bool      // running holds the runs in the newest report.
	lastEnd   int64                // lastEnd is the highest sequence number of an ended run of the incarnation.
}

func newRunWatch(r *metrics.Registry, logger log.Logger) *runWatch {
	return &runWatch{
		logger: logger, starts: make(map[runKey]openStart),
		carriedOut: r.Counter("agent-starts-carried-out-unanswered", "runs", "Runs that the minion reported although a start of them was not answered."),
	}
}

// unanswered returns how many starts of a run were not answered so far.
func (w *runWatch) unanswered(key runKey) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[key].unanswered
}

// startSent records that a start is sent to the minion.
func (w *runWatch) startSent(key runKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := time.Now()
	if len(w.starts) >= maxOpenStarts {
		for k, s := range w.starts {
			if at.Sub(s.sent) > openStartRetention {
				delete(w.starts, k)
			}
		}
	}
	s, known := w.starts[key]
	if known || len(w.starts) < maxOpenStarts {
		w.starts[key] = openStart{s.inFlight + 1, s.unanswered, at}
	}
}

// startReturned records the outcome of a start that was sent to the minion.
func (w *runWatch) startReturned(key runKey, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answered := err == nil || host.IsRefusal(err)
	s, known := w.starts[key]
	if !known {
		// The run was reported while the start was in flight.
		if !answered && w.running[key] {
			w.carriedOut.Add(1)
		}
		return
	}
	s.inFlight--
	if !answered {
		s.unanswered++
	}
	if s.inFlight == 0 && s.unanswered == 0 {
		delete(w.starts, key)
		return
	}
	w.starts[key] = s
}

// observe logs what is new in a status report. It ignores reports of a former
// incarnation.
func (w *runWatch) observe(status host.StatusReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	startedAt := status.Minion.StartedAt
	if status.Gone || startedAt.Before(w.startedAt) {
		return
	}
	if !startedAt.Equal(w.startedAt) {
		w.startedAt, w.running, w.lastEnd = startedAt, nil, 0
	}
	running := make(map[runKey]bool, len(status.Running))
	for _, r := range status.Running {
		key := runKey{r.Task, r.Number}
		running[key] = true
		if !w.running[key] {
			w.logReported(key, status.Minion, "running")
		}
	}
	for _, e := range status.EndedRuns {
		if e.Sequence > w.lastEnd {
			w.lastEnd = e.Sequence
			w.logReported(runKey{e.Task, e.Number}, status.Minion, "ended", "outcome", e.Outcome, "sequence", e.Sequence)
		}
	}
	w.running = running
}

// logReported logs that a run is in a report for the first time in a state. The
// caller holds mu.
func (w *runWatch) logReported(key runKey, minion host.Minion, state string, details ...any) {
	unanswered := w.starts[key].unanswered
	if unanswered > 0 {
		w.carriedOut.Add(1)
	}
	delete(w.starts, key)
	fields := []any{"event", "run reported", "job", key.task.Job, "task", key.task, "run", key.number, "minion", minion.Incarnation(),
		"state", state, "unanswered-starts", unanswered}
	_ = level.Info(w.logger).Log(append(fields, details...)...)
}

// runCall is a call about one run.
type runCall struct {
	name        string // name is the name of the call in the minion's API.
	key         runKey
	token       int64
	incarnation string // incarnation is the one for which the call is meant.
}

// logCall logs the outcome of a call about one run that began at begin. known is
// the state of the minion on which the agent has decided. asked is false if the
// minion was not called. A caller that has gone does not receive the outcome.
func (a *Agent) logCall(ctx context.Context, c runCall, known knownState, asked bool, took time.Duration, err error, details ...any) {
	fields := append([]any{"event", c.name, "job", c.key.task.Job, "task", c.key.task, "run", c.key.number, "token", c.token,
		"minion", c.incarnation, "known-minion", known.minion.Incarnation(), "known-age", known.age.Round(time.Millisecond),
		"draining", known.minion.Draining}, details...)
	fields = append(fields, "asked", asked, "outcome", outcomeName(err))
	if err != nil {
		fields = append(fields, "reason", err)
	}
	caller := "waits"
	if ctx.Err() != nil {
		caller = "gone"
	}
	_ = level.Info(a.logger).Log(append(fields, "took", took.Round(time.Microsecond), "caller", caller)...)
}

// outcomeName returns the value of the log key outcome of a call.
func outcomeName(err error) string {
	switch {
	case err == nil:
		return "done"
	case host.IsRefusal(err):
		return "refused"
	default:
		return "unanswered"
	}
}

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
