package coordinator

import (
	"time"

	"wasabihoist/internal/fleet/pace"
	"wasabihoist/internal/fleet/workload"
)

const (
	// slowRunFactor is how many times longer the rest of a run has to take than elsewhere
	// before it is moved. Both times are estimates.
	slowRunFactor = 2
	// slowRunMargin is added to that, for the time until a stopped run is placed again.
	slowRunMargin = 500 * time.Millisecond
)

// slowRun is a run, or the slowest of a gang, that may be moved.
type slowRun struct {
	left      time.Duration // left is the time until it ends where it runs.
	elsewhere time.Duration // elsewhere is the time until it ends if it is stopped and goes on at a typical pace.
	slack     time.Duration // slack is how long it may take and end in time.
	room      bool          // room is set if hosts that are not slow have room for it now.
}

// move reports whether to stop the run so that it goes on elsewhere. It answers hosts
// that turn slow while they work: only a stop that brings the work in time is worth it,
// and only where it can start again at once. The run has ended before the next one
// starts.
func (s slowRun) move() bool {
	return s.room && s.left > s.slack && s.elsewhere <= s.slack && s.left > slowRunFactor*s.elsewhere+slowRunMargin
}

// moveSlowRuns stops the runs that are worth moving.
func (t *term) moveSlowRuns(at time.Duration) {
	if !t.settings().Adaptive {
		return
	}
	rooms := make(map[paceRoom]int)
	for _, a := range t.attempts {
		if a.stopping || a.ended || a.definition().LongRunning || a.definition().BestEffort {
			continue
		}
		s, known := t.slowRun(a, at, rooms)
		if !known || !s.move() {
			continue
		}
		t.metrics.moves.Add(1)
		t.stopAttempt(a, "it ends sooner elsewhere", "left", s.left.Round(time.Millisecond), "elsewhere", s.elsewhere.Round(time.Millisecond), "slack", s.slack.Round(time.Millisecond))
	}
}

// slowRun describes an attempt as a run that may be moved. What is left of it is taken
// from its progress, and how long that takes elsewhere from the pace of its hosts. It
// reports false until the progress of all its runs is known, and for runs that are slow
// for another reason than their hosts. rooms holds the results of roomAtPace so far.
func (t *term) slowRun(a *attempt, at time.Duration, rooms map[paceRoom]int) (s slowRun, known bool) {
	var elapsed time.Duration
	for _, r := range a.runs {
		left, ok := r.timeLeft(at)
		if !ok || !r.undisturbed() {
			return slowRun{}, false
		}
		s.left, elapsed = max(s.left, left), max(elapsed, at-r.startedAt)
	}
	repeated := s.left + elapsed
	if a.definition().Checkpoints {
		repeated = s.left
		s.elsewhere = t.settings().CheckpointRestoreTime
	}
	s.elsewhere += t.settings().TaskStopTimeout + time.Duration(float64(repeated)*t.paceOfAttempt(a))
	s.slack = t.slack(a.job, a.job.job.Occurrence(a.step)) + a.definition().Estimate
	s.room = s.left > s.slack && t.roomAtPace(paceRoom{a.job.job.Service, a.definition().ReservedResources()}, at, rooms) >= len(a.runs)
	return s, true
}

// paceRoom is what tasks with a need ask of the hosts of a service.
type paceRoom struct {
	service string
	need    workload.Resources
}

// roomAtPace returns for how many tasks hosts that are not slow have room. It keeps the
// result in rooms.
func (t *term) roomAtPace(of paceRoom, at time.Duration, rooms map[paceRoom]int) int {
	return once(rooms, of, func() int {
		tasks := 0
		for _, h := range t.hosts {
			if h.minion.Service == of.service && h.acceptsWork(at) && t.paceOf(h) != pace.Slow {
				tasks += h.free().FitCount(of.need)
			}
		}
		return tasks
	})
}
