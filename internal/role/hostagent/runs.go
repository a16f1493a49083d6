package hostagent

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/run/metrics"
)

const (
	// maxStartRecords bounds the runs whose starts are remembered until the minion
	// reports the end of the run.
	maxStartRecords = 256
	// startRecordRetention is after which time a start may be forgotten. Minions
	// carry out no start that is older than a few seconds, and report the run soon.
	startRecordRetention = time.Minute
)

// runKey identifies a run of a task.
type runKey struct {
	task   workload.TaskID
	number int
}

// startRecord is what is known about the starts of a run.
type startRecord struct {
	minion     string // minion is the incarnation for which the last one was meant.
	inFlight   int
	unanswered int
	confirmed  bool      // confirmed is set once a start was answered as carried out.
	logged     bool      // logged is set once the run was logged.
	sent       time.Time // sent is when the last one was sent.
}

// runWatch logs runs that the minion reports although none of their starts was
// answered, the last one was meant for another incarnation, or none is known. It
// decides nothing. It is safe for concurrent use.
type runWatch struct {
	logger     log.Logger
	carriedOut metrics.Counter // carriedOut counts the runs that were reported although no start was answered.

	mu       sync.Mutex
	starts   map[runKey]startRecord // starts holds runs whose end was not reported.
	minion   host.Minion            // minion is the one of the newest report.
	reported map[runKey]bool        // reported holds runs of the incarnation that were reported and whose end was not.
	lastEnd  int64                  // lastEnd is the highest sequence number of an ended run of the incarnation.
}

func newRunWatch(r *metrics.Registry, logger log.Logger) *runWatch {
	return &runWatch{
		logger: logger, starts: make(map[runKey]startRecord), reported: make(map[runKey]bool),
		carriedOut: r.Counter("agent-starts-carried-out-unanswered", "runs", "Runs that the minion reported although no start of them was answered."),
	}
}

// unanswered returns how many starts of a run were not answered so far.
func (w *runWatch) unanswered(key runKey) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[key].unanswered
}

// startSent records that a start is sent to the minion.
func (w *runWatch) startSent(key runKey, incarnation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := time.Now()
	if len(w.starts) >= maxStartRecords {
		for k, s := range w.starts {
			if at.Sub(s.sent) > startRecordRetention {
				delete(w.starts, k)
			}
		}
	}
	s, known := w.starts[key]
	if known || len(w.starts) < maxStartRecords {
		s.minion, s.sent = incarnation, at
		s.inFlight++
		w.starts[key] = s
	}
}

// startReturned records the outcome of a start that was sent to the minion.
func (w *runWatch) startReturned(key runKey, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, known := w.starts[key]
	if !known {
		return
	}
	s.inFlight--
	s.confirmed = s.confirmed || err == nil
	if err != nil && !host.IsRefusal(err) {
		s.unanswered++
		if w.reported[key] && !s.confirmed && !s.logged {
			s.logged = true
			w.logReported(key, s, "running")
		}
	}
	w.starts[key] = s
	if s.inFlight == 0 && s.unanswered == 0 && !s.confirmed {
		delete(w.starts, key)
	}
}

// observe logs what a status report shows of runs that are not known to have been
// started on its incarnation. It ignores reports of a former incarnation.
func (w *runWatch) observe(status host.StatusReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if status.Gone || status.Minion.StartedAt.Before(w.minion.StartedAt) {
		return
	}
	if !status.Minion.StartedAt.Equal(w.minion.StartedAt) {
		w.lastEnd = 0
		clear(w.reported)
	}
	w.minion = status.Minion
	for _, r := range status.Running {
		w.report(runKey{r.Task, r.Number}, "running")
	}
	for _, e := range status.EndedRuns {
		if e.Sequence > w.lastEnd {
			w.lastEnd = e.Sequence
			key := runKey{e.Task, e.Number}
			w.report(key, "ended", "outcome", e.Outcome, "sequence", e.Sequence)
			delete(w.reported, key)
			delete(w.starts, key)
		}
	}
}

// report handles a run in a status report. The caller holds mu.
func (w *runWatch) report(key runKey, state string, details ...any) {
	if w.reported[key] {
		return
	}
	w.reported[key] = true
	s, known := w.starts[key]
	if known && (s.confirmed || s.unanswered == 0) && host.IncarnationStartedAt(s.minion, w.minion.StartedAt) {
		return
	}
	if known {
		s.logged = true
		w.starts[key] = s
	}
	w.logReported(key, s, state, details...)
}

// logReported logs a run that is in a status report. The caller holds mu.
func (w *runWatch) logReported(key runKey, s startRecord, state string, details ...any) {
	if s.unanswered > 0 && !s.confirmed {
		w.carriedOut.Add(1)
	}
	fields := []any{"event", "run reported", "job", key.task.Job, "task", key.task, "run", key.number, "minion", w.minion.Incarnation(),
		"started-for", s.minion, "unanswered-starts", s.unanswered, "state", state}
	_ = level.Info(w.logger).Log(append(fields, details...)...)
}
