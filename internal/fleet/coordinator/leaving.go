package coordinator

import (
	"cmp"
	"slices"
	"time"

	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/workload"
)

const (
	// remainingDoubt is the fraction by which the remaining time of a run may differ
	// from what its progress shows, beside the rounding of percentages.
	remainingDoubt = 0.1
	// progressDelay covers the time until a run works after its start was reported,
	// and the age of a percentage in a report.
	progressDelay = 300 * time.Millisecond
)

// runProgress is what is known of how fast a run works.
type runProgress struct {
	percent  int
	advance  int           // advance is how many percentage points the run has advanced in worked.
	worked   time.Duration // worked is the time from the begin of the work to the last change of the percentage.
	observed time.Duration // observed is the time from the begin of the work to the last report; at least worked.
	age      time.Duration // age is the time since the percentage last changed.
}

// remaining returns bounds on the time until the run ends. Estimates that came with
// the job are not used, because many are wrong by more than a half. Until the run has
// advanced by minEstimatePercent, it is known only how slow it is at best.
func (p runProgress) remaining() (low, high time.Duration) {
	rest := time.Duration(100 - p.percent)
	if rest <= 0 {
		return 0, 0
	}
	if p.advance < minEstimatePercent {
		return rest * max(0, p.observed-progressDelay) / minEstimatePercent, allocation.Never
	}
	// Percentages are rounded down, so both the advance and the rest may be a point off.
	least := (rest-1)*p.worked/time.Duration(p.advance+1) - p.age
	most := rest*p.worked/time.Duration(p.advance-1) - p.age
	return max(0, scaleTime(least, 1-remainingDoubt)-progressDelay), max(0, scaleTime(most, 1+remainingDoubt)) + progressDelay
}

func scaleTime(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// leavingAttempt is an attempt with a run on a host that is about to leave.
type leavingAttempt struct {
	leavesIn    time.Duration // leavesIn is the minimum time until the first of its hosts leaves.
	low, high   time.Duration // low and high are bounds on the time until the attempt ends.
	savesWork   bool          // savesWork is set if a stop saves what has been done.
	roomOnHosts bool          // roomOnHosts is set if the attempt fits elsewhere at once.
	holdsOthers bool          // holdsOthers is set if the attempt also holds hosts that stay.
}

// shouldMove decides whether an attempt is stopped now, to be started elsewhere. The
// load that it answers is a host that leaves after a notice that is shorter than some
// of its runs: hosts that are replaced, removed or taken away at short notice.
//
// Work that can be saved uses the host for as long as it is there, unless it will end
// in time. Work that can't be saved and will not end in time is lost whatever is done:
// each second more is discarded, holds the other members of a gang and makes the job
// later, unless there is nowhere else to run. In doubt it goes on, because more of its
// progress shows with each report.
func (a leavingAttempt) shouldMove() bool {
	if a.savesWork {
		return a.leavesIn < drainMargin && a.high > a.leavesIn
	}
	return a.low > a.leavesIn && (a.roomOnHosts || a.holdsOthers)
}

// leaveHosts stops the attempts that shouldMove away from hosts that are about to
// leave. A gang is decided as a whole by the first of its hosts that leaves.
func (t *term) leaveHosts(at time.Duration) {
	var leaving []*attempt
	for _, a := range t.attempts {
		if !a.stopping && !a.ended && slices.ContainsFunc(a.runs, func(r *run) bool { return r.host.minion.Draining }) {
			leaving = append(leaving, a)
		}
	}
	if len(leaving) == 0 {
		return
	}
	slices.SortFunc(leaving, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	free := make(map[*hostState]workload.Resources)
	for _, h := range t.hosts {
		if h.acceptsWork(at) {
			free[h] = h.free()
		}
	}
	for _, a := range leaving {
		l, known := t.describeLeaving(a, at)
		if !known {
			continue
		}
		l.roomOnHosts = !l.savesWork && takeRoom(a, free)
		if l.shouldMove() && t.mayLeave(a) {
			t.metrics.leavingMoved.Add(1)
			t.stopAttempt(a, "the minion is about to leave", "leaves-in", l.leavesIn.Round(time.Millisecond), "left-at-least", l.low.Round(time.Millisecond),
				"saved", l.savesWork, "room", l.roomOnHosts, "loss-core-seconds", t.preemptionCost(a, at))
		}
	}
}

// describeLeaving describes an attempt with a run on a draining host. It reports false
// while a run of it has not been reported as running.
func (t *term) describeLeaving(a *attempt, at time.Duration) (leavingAttempt, bool) {
	step := a.definition()
	l := leavingAttempt{leavesIn: allocation.Never, savesWork: step.Checkpoints || step.LongRunning}
	var begin time.Duration
	for _, r := range a.runs {
		if r.phase != running {
			return l, false
		}
		begin = max(begin, r.startedAt) // The members of a gang work from when the last one has started.
	}
	for _, r := range a.runs {
		if r.host.minion.Draining {
			l.leavesIn = min(l.leavesIn, r.host.minion.Remaining-(at-r.host.lastContact))
		} else {
			l.holdsOthers = true
		}
		low, high := r.progressSince(begin, at).remaining()
		l.low, l.high = max(l.low, low), max(l.high, high)
	}
	if step.LongRunning {
		l.low, l.high = allocation.Never, allocation.Never
	}
	return l, true
}

// progressSince returns the progress of a run whose work began at a time.
func (r *run) progressSince(begin, at time.Duration) runProgress {
	progressedAt := max(begin, r.progressedAt)
	return runProgress{
		percent: r.percent, advance: r.percent - r.firstPercent, worked: progressedAt - begin,
		observed: max(progressedAt, r.host.lastContact) - begin, age: at - progressedAt,
	}
}

// takeRoom takes what the runs of an attempt need from what hosts that stay have free,
// counting what the attempt itself uses there. It changes nothing and reports false if
// not all of them fit.
func takeRoom(a *attempt, free map[*hostState]workload.Resources) bool {
	step, service := a.definition(), a.runs[0].host.minion.Service
	d := allocation.Demand{Service: service, Need: step.ReservedResources(), Label: step.Label, SpreadLimit: step.SpreadLimit}
	own := make(map[*hostState]int)
	for _, r := range a.runs {
		own[r.host]++
	}
	taken := make(map[*hostState]int)
	rest := len(a.runs)
	for h, resources := range free {
		if rest == 0 || !h.canRun(&d) {
			continue
		}
		fits := min(rest, own[h]+resources.FitCount(d.Need), h.emptyRoom(&d))
		taken[h] = fits
		rest -= fits
	}
	if rest > 0 {
		return false
	}
	for h, n := range taken {
		for range max(0, n-own[h]) {
			free[h] = free[h].Sub(d.Need)
		}
	}
	return true
}
