package hostagent

import (
	"fmt"
	"time"

	"wasabihoist/internal/fleet/host"
)

// stoppedRetention is how long a run counts as running after the minion has
// answered a stop, unless its end is reported. It is well above the time that a
// minion takes to stop a task.
const stoppedRetention = 30 * time.Second

// knownRun is a run that has started and whose end was not reported.
type knownRun struct {
	host.Run
	startedAt time.Time // startedAt is when the start was answered; zero if the run is from a status report.
	stoppedAt time.Time // stoppedAt is when a stop was answered; zero if there was none.
}

// knownRuns holds the runs of the incarnation of the minion that answers, so that
// status reports with unreadable rows can be completed.
type knownRuns struct {
	incarnation time.Time // incarnation is the start time of the incarnation.
	complete    bool      // complete is set once a report without unreadable runs was received.
	requestedAt time.Time // requestedAt is when the newest report was requested.
	runs        map[runKey]*knownRun
}

func (k *knownRuns) start(r host.Run, at time.Time) {
	if k.runs == nil {
		k.runs = make(map[runKey]*knownRun)
	}
	key := runKey{r.Task, r.Number}
	if k.runs[key] == nil {
		k.runs[key] = &knownRun{Run: r, startedAt: at}
	}
}

func (k *knownRuns) stop(key runKey, at time.Time) {
	if r := k.runs[key]; r != nil && r.stoppedAt.IsZero() {
		r.stoppedAt = at
	}
}

// update records a status report that was requested at a time. If runs in it can't
// be read, it adds all known runs that the report neither lists nor lists as ended.
// It then fails if the runs of the incarnation are not known.
func (k *knownRuns) update(report *host.StatusReport, requestedAt, at time.Time) error {
	unreadable := report.Unreadable.Runs > 0
	if k.outdated(report.Minion.StartedAt, requestedAt) {
		if unreadable {
			return fmt.Errorf("%d running runs can't be read: %w", report.Unreadable.Runs, report.Unreadable.Err)
		}
		return nil
	}
	if !report.Minion.StartedAt.Equal(k.incarnation) {
		k.incarnation, k.complete = report.Minion.StartedAt, false
		k.keep(func(r *knownRun) bool { return r.startedAt.After(requestedAt) })
	}
	k.requestedAt = requestedAt
	listed := make(map[runKey]bool, len(report.Running))
	for _, r := range report.Running {
		key := runKey{r.Task, r.Number}
		listed[key] = true
		k.start(r, time.Time{})
		k.runs[key].Run = r
	}
	for _, e := range report.EndedRuns {
		delete(k.runs, runKey{e.Task, e.Number})
	}
	if !unreadable {
		k.complete = true
		k.keep(func(r *knownRun) bool { return listed[runKey{r.Task, r.Number}] || r.startedAt.After(requestedAt) })
		return nil
	}
	if !k.complete {
		return fmt.Errorf("%d running runs can't be read: %w", report.Unreadable.Runs, report.Unreadable.Err)
	}
	k.keep(func(r *knownRun) bool { return r.stoppedAt.IsZero() || at.Sub(r.stoppedAt) < stoppedRetention })
	for key, r := range k.runs {
		if !listed[key] {
			report.Running = append(report.Running, r.Run)
		}
	}
	return nil
}

// outdated reports whether a report is from a former incarnation, or was requested
// before the newest one of the incarnation.
func (k *knownRuns) outdated(incarnation, requestedAt time.Time) bool {
	return incarnation.Before(k.incarnation) || incarnation.Equal(k.incarnation) && requestedAt.Before(k.requestedAt)
}

// keep forgets the runs for which a condition does not hold.
func (k *knownRuns) keep(condition func(r *knownRun) bool) {
	for key, r := range k.runs {
		if !condition(r) {
			delete(k.runs, key)
		}
	}
}
