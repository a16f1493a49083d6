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
	agentStarted time.Time
	maxLease     time.Duration // maxLease is the longest lease of a run; 0 if it is not known.

	incarnation  time.Time // incarnation is the start time of the incarnation.
	complete     bool      // complete is set while runs holds all runs whose start was answered.
	unknownSince time.Time // unknownSince is when the first report with unreadable runs was received while complete was not set.
	requestedAt  time.Time // requestedAt is when the newest report was requested.
	runs         map[runKey]*knownRun
}

const (
	// maxClockDrift is the fraction by which the clock of a minion may run slow.
	maxClockDrift     = 0.02
	leaseExpiryMargin = time.Second
)

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
// It then fails while runs of the incarnation may be unknown, because an agent before
// this one has started them. As long as it fails, no lease is extended, so such runs
// have ended after maxLease.
func (k *knownRuns) update(report *host.StatusReport, requestedAt, at time.Time) error {
	unreadable := report.Unreadable.Runs > 0
	if k.outdated(report.Minion.StartedAt, requestedAt) {
		if unreadable {
			return fmt.Errorf("%d running runs can't be read: %w", report.Unreadable.Runs, report.Unreadable.Err)
		}
		return nil
	}
	if !report.Minion.StartedAt.Equal(k.incarnation) {
		k.incarnation, k.complete, k.unknownSince = report.Minion.StartedAt, report.Minion.StartedAt.After(k.agentStarted), time.Time{}
		k.keep(func(r *knownRun) bool { return r.startedAt.After(requestedAt) || r.startedAt.After(k.incarnation) })
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
	if k.complete = k.complete || k.unknownEnded(at); !k.complete {
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

// unknownEnded reports whether the leases of all unknown runs have expired.
func (k *knownRuns) unknownEnded(at time.Time) bool {
	if k.unknownSince.IsZero() {
		k.unknownSince = at
	}
	expiry := k.maxLease + time.Duration(float64(k.maxLease)*maxClockDrift*2) + leaseExpiryMargin
	return k.maxLease > 0 && at.Sub(k.unknownSince) > expiry
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
