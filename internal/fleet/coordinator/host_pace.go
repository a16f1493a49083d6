package coordinator

import (
	"math"
	"slices"
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
	if r.percent < 100 && r.percent-r.paceBegin().percent >= minPacePercent {
		t.observeRun(r, r.percent, r.progressedAt)
	}
}

// observeEnd records the rate of a run that is complete. A gang ends as a whole, which
// shows the pace of its slowest host only.
func (t *term) observeEnd(r *run) {
	if !r.attempt.definition().Gang {
		t.observeRun(r, 100, now())
	}
}

// progressPoint is a percentage that a run has reached at a time.
type progressPoint struct {
	percent int
	at      time.Duration
}

// paceBegin returns from where on the progress of a run shows its rate: its first report,
// or for a member of a gang, which waits for the others, the first one above 0.
func (r *run) paceBegin() progressPoint {
	if r.attempt.definition().Gang {
		return r.moved
	}
	return progressPoint{r.firstPercent, r.startedAt}
}

// observeRun records what a run shows of its host when it has reached a percentage at a
// time.
func (t *term) observeRun(r *run, percent int, at time.Duration) {
	begin := r.paceBegin()
	if !t.settings().Adaptive || !r.undisturbed() || at <= begin.at || percent <= begin.percent {
		return
	}
	if r.progress().Checkpoint != "" { // A run that resumes begins with a pause.
		return
	}
	runTime := (at - begin.at) * 100 / time.Duration(percent-begin.percent)
	run := pace.Run{Task: r.task, Number: r.number, Gang: r.attempt.definition().Gang}
	t.paces.tracker.Observe(r.host.name, r.minion, run, 1/runTime.Seconds(), now())
}

// undisturbed reports whether nothing but its host makes a run slow. Throttled runs, runs
// that use idle cores, runs away from their data and gangs across racks are slow for
// other reasons.
func (r *run) undisturbed() bool {
	s, rack := r.attempt.definition(), r.host.minion.Rack
	if r.phase != running || r.speedPercent != fullSpeed || s.BestEffort || s.LongRunning || s.DataRack != "" && s.DataRack != rack {
		return false
	}
	return !s.Gang || !s.RackLocal || !slices.ContainsFunc(r.attempt.runs, func(o *run) bool { return o.host.minion.Rack != rack })
}

// paceOfAttempt returns the pace of the slowest host of an attempt, 1 being typical.
func (t *term) paceOfAttempt(a *attempt) float64 {
	slowest := math.Inf(1)
	for _, r := range a.runs {
		relative, _ := t.paces.tracker.Of(r.host.name, r.minion)
		slowest = min(slowest, relative)
	}
	return slowest
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
	return t.paces.tracker.ClassOf(h.name, h.incarnation())
}

// slackShare is the share of its remaining run time that the slack of an occurrence has
// to exceed for its work to leave fast hosts to other work.
const slackShare = 0.5

// pacePreference returns which hosts a demand prefers. Urgent work goes to fast hosts,
// and so does other work that is in time only if it does not take longer than estimated.
// Work with slack leaves them free, and so does work that is too late already.
func pacePreference(rank allocation.Rank, slack, remaining time.Duration) allocation.PacePreference {
	if rank <= allocation.Urgent || slack >= 0 && slack < time.Duration(slackShare*float64(remaining)) {
		return allocation.PreferFast
	}
	return allocation.SpareFast
}
