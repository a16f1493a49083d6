package coordinator

import (
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/pace"
)

const (
	// paceInterval is how often the paces of the hosts are estimated.
	paceInterval = time.Second
	// minPacePercent is by how many percentage points a run has to advance before its
	// rate is observed. Percentages are whole numbers.
	minPacePercent = 20
)

// hostPaces is what a term has learned of the paces of the hosts. A new term knows
// nothing: it learns from the runs that it adopts as they advance.
type hostPaces struct {
	tracker   *pace.Tracker
	updatedAt time.Duration
}

func newHostPaces() hostPaces {
	return hostPaces{tracker: pace.NewTracker()}
}

// observeProgress records the rate of a run from its progress so far.
func (t *term) observeProgress(r *run) {
	if r.percent < 100 && r.percent-r.firstPercent >= minPacePercent {
		t.observePace(r, r.percent, r.progressedAt)
	}
}

// observeEnd records the rate of a run that is complete.
func (t *term) observeEnd(r *run) { t.observePace(r, 100, now()) }

// observePace records the rate of a run that has reached a percentage at a time.
func (t *term) observePace(r *run, percent int, at time.Duration) {
	if !t.settings().Adaptive || !r.showsPace() || at <= r.startedAt {
		return
	}
	rate := float64(percent-r.firstPercent) / 100 / (at - r.startedAt).Seconds()
	t.paces.tracker.Observe(r.host.name, r.minion, pace.Run{Task: r.task, Number: r.number}, rate, now())
}

// showsPace reports whether the rate of a run can be compared with those of other runs
// of its step. Throttled runs, runs that use idle cores and runs away from their data
// are slow for other reasons, a run that resumes begins with a pause, and the members of
// a gang advance together.
func (r *run) showsPace() bool {
	s := r.attempt.definition()
	return r.phase == running && r.speedPercent == fullSpeed && !s.Gang && !s.BestEffort && !s.LongRunning &&
		(s.DataRack == "" || s.DataRack == r.host.minion.Rack) && r.progress().Checkpoint == ""
}

// updatePaces estimates the paces of the hosts every paceInterval.
func (t *term) updatePaces(at time.Duration) {
	if !t.settings().Adaptive || at-t.paces.updatedAt < paceInterval {
		return
	}
	t.paces.updatedAt = at
	for _, c := range t.paces.tracker.Update(at) {
		t.needsPlan = true
		h := t.hosts[c.Host]
		if h == nil || h.paceLoggedAt != 0 && at-h.paceLoggedAt < minPaceLogInterval {
			continue
		}
		h.paceLoggedAt = at
		_ = level.Info(t.logger).Log("event", "host pace", "host", c.Host, "from", c.From, "to", c.To, "pace", strconv.FormatFloat(c.Pace, 'f', 2, 64), "runs", c.Observations)
	}
	slow, fast := 0, 0
	for _, h := range t.hosts {
		switch t.paceOf(h) {
		case pace.Slow:
			slow++
		case pace.Fast:
			fast++
		case pace.Typical:
		}
	}
	t.metrics.slowHosts.Set(float64(slow))
	t.metrics.fastHosts.Set(float64(fast))
}

// minPaceLogInterval bounds how often changes of one host are logged.
const minPaceLogInterval = 5 * time.Second

// paceOf returns the pace of a host for the allocation.
func (t *term) paceOf(h *hostState) pace.Class {
	if !t.settings().Adaptive {
		return pace.Typical
	}
	_, class := t.paces.tracker.Of(h.name, h.minion.Incarnation())
	return class
}

// slackShare is the share of its remaining run time that the slack of an occurrence has
// to exceed for its work to go to slow hosts.
const slackShare = 0.5

// pacePreference returns which hosts a demand prefers. Urgent work goes to fast hosts,
// and so does other work that is in time only if it does not take longer than estimated.
// Work with slack goes to slow hosts, and so does work that is too late already.
func pacePreference(rank allocation.Rank, slack, remaining time.Duration) allocation.PacePreference {
	if rank <= allocation.Urgent || slack >= 0 && slack < time.Duration(slackShare*float64(remaining)) {
		return allocation.PreferFast
	}
	return allocation.PreferSlow
}
