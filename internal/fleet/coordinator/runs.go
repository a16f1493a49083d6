package coordinator

import (
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
)

// runKey identifies a run of a task.
type runKey struct {
	task   workload.TaskID
	number int
}

// phase is the state of a run.
type phase int

const (
	proposed phase = iota // proposed runs have a placement that is not yet durable.
	adopted               // adopted runs were placed by a former term.
	starting              // starting runs may have started on their minion.
	running               // running runs have been reported or their start was confirmed.
)

// run is one execution of a task. It holds resources of a host until it has
// certainly ended.
type run struct {
	task             workload.TaskID
	number           int
	attempt          *attempt
	host             *hostState
	minion           string // minion is the incarnation of the minion.
	need             workload.Resources
	phase            phase
	tries            startTries
	startAnswered    time.Duration // startAnswered is when the minion answered the start.
	stopAnswered     time.Duration // stopAnswered is when the minion answered a stop.
	missingSince     time.Duration // missingSince is when the run was first missing from a status report after its start was settled; 0 while it is reported.
	startedAt        time.Duration // startedAt is when the run was placed or adopted, its start sent or answered, or the run first reported, whichever was last.
	percent          int
	firstPercent     int           // firstPercent is the percentage when the run was first reported; a run from a checkpoint may start above 0.
	moved            progressPoint // moved is the first report of a percentage above 0; until then, the last report.
	progressedAt     time.Duration // progressedAt is when the percentage or the speed last changed.
	measuredAt       time.Duration // measuredAt is the progressedAt of which the method measure has taken note.
	checkpoint       string
	checkpointedAt   time.Duration // checkpointedAt is when the checkpoint last changed.
	reported         bool          // reported is set once the incarnation in minion has reported the run.
	heardAt          time.Duration // heardAt is when the last report was requested that lists the run as running; 0 before the first.
	stopSent         bool          // stopSent is set once a stop was sent.
	load             int           // load is what the minion last reported: a latency in milliseconds if the task serves users; see host.Run.
	speedPercent     int           // speedPercent is the percentage of full speed at which the run works.
	speedOpenUntil   time.Duration // speedOpenUntil is until when a call to change the speed that was not answered may be carried out; 0 if there is none.
	throttleInFlight bool          // throttleInFlight is set while a call to change the speed is in flight.
	ticket           string        // ticket permits the start; empty when none is needed.
}

// held reports whether the run still holds resources, so that it was not given
// up.
func (r *run) held() bool { return r.host.runs[runKey{r.task, r.number}] == r }

// attempt holds the runs that start and end together: the members of a gang, or
// a single run.
type attempt struct {
	id       int
	job      *jobState
	step     int // step is the index among the steps of all occurrences of the job.
	runs     []*run
	stopping bool
	ended    bool // ended means that the outcome is known; runs that remain end by themselves.
	began    time.Duration
	overdue  bool // overdue is set if the job had waited for too long when the attempt was placed.
}

// definition returns the step that the attempt runs.
func (a *attempt) definition() workload.Step { return a.job.job.Step(a.step) }

// progress returns the recorded progress of the task of a run.
func (r *run) progress() workload.Task {
	return r.attempt.job.progress.Steps[r.attempt.step].Tasks[r.task.Index]
}

func (t *term) newAttempt(j *jobState, step int) *attempt {
	t.nextID++
	a := &attempt{id: t.nextID, job: j, step: step, began: now()}
	t.attempts[a.id] = a
	return a
}

func (t *term) addRun(a *attempt, id workload.TaskID, number int, h *hostState, minion string) *run {
	r := &run{task: id, number: number, attempt: a, host: h, minion: minion, need: a.definition().ReservedResources()}
	r.startedAt, r.speedPercent = now(), fullSpeed
	r.progressedAt = r.startedAt
	a.runs = append(a.runs, r)
	if former := h.runs[runKey{id, number}]; former != nil {
		h.used = h.used.Sub(former.need)
	}
	h.runs[runKey{id, number}] = r
	h.used = h.used.Add(r.need)
	t.nextExpiryAt = 0
	a.job.activeRuns++
	return r
}

func runsOf(h *hostState) []*run {
	list := make([]*run, 0, len(h.runs))
	for _, r := range h.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return a.attempt.id - b.attempt.id })
	return list
}

// update records what the minion reports of a run.
func (r *run) update(report host.Run) {
	at := now()
	r.load = report.Load
	if !r.reported {
		r.reported, r.firstPercent, r.startedAt = true, report.ProgressPercent, at
	}
	if r.moved.percent == 0 {
		r.moved = progressPoint{report.ProgressPercent, at}
	}
	if report.ProgressPercent != r.percent {
		r.percent, r.progressedAt = report.ProgressPercent, at
	}
	if report.Checkpoint != "" && report.Checkpoint != r.checkpoint {
		r.checkpoint, r.checkpointedAt = report.Checkpoint, at
	}
}

// minEstimatePercent is by how many percentage points a run has to advance
// before its remaining time is estimated from its progress.
const minEstimatePercent = 10

// timeLeft estimates the remaining time of a run from its progress. It reports
// false until the run has advanced by minEstimatePercent.
func (r *run) timeLeft(at time.Duration) (time.Duration, bool) {
	if r.phase != running || r.percent-r.firstPercent < minEstimatePercent {
		return 0, false
	}
	perPercent := (r.progressedAt - r.startedAt) / time.Duration(r.percent-r.firstPercent)
	return time.Duration(100-r.percent)*perPercent - (at - r.progressedAt), true
}

// expectedTimeLeft returns the remaining time of a run, from its progress if that is
// known and otherwise from the estimated run time of its step. Without an estimate, or
// once that is used up, it is the least time that a run takes which has not
// advanced by minEstimatePercent yet.
func (r *run) expectedTimeLeft(at, estimate time.Duration) time.Duration {
	if r.attempt.definition().LongRunning {
		return allocation.Never
	}
	if left, known := r.timeLeft(at); known {
		return max(0, left)
	}
	elapsed := at - r.startedAt
	if left := estimate - elapsed; left > 0 {
		return left
	}
	return elapsed * (100 - minEstimatePercent) / minEstimatePercent
}

func (t *term) markRunning(r *run) {
	r.phase = running
	r.startedAt = now()
	r.progressedAt = r.startedAt
}

// releaseRun frees the resources of a run, and removes its attempt with the last
// run.
func (t *term) releaseRun(r *run) {
	t.needsPlan = true
	if r.held() {
		delete(r.host.runs, runKey{r.task, r.number})
		r.host.used = r.host.used.Sub(r.need)
	}
	if r.tries.sent > 0 && r.tries.mayReachNext(now()) {
		r.host.lateStarts[runKey{r.task, r.number}] = &lateStart{until: r.tries.lateUntil, refusedBy: r.minion}
	}
	r.attempt.runs = slices.DeleteFunc(r.attempt.runs, func(o *run) bool { return o == r })
	r.attempt.job.activeRuns--
	if len(r.attempt.runs) == 0 {
		delete(t.attempts, r.attempt.id)
	}
}

// isCurrent reports whether the progress of the task names this run.
func (r *run) isCurrent() bool {
	task := r.progress()
	return task.Phase == workload.Placed && task.Run == r.number
}

// requeueRun releases a run and returns its task to the waiting ones.
func (t *term) requeueRun(r *run, checkpoint string) {
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	j := r.attempt.job
	t.releaseRun(r)
	if r.isCurrent() {
		j.progress.Release(r.task, checkpoint)
	}
	t.recordChange(j)
	t.forgetJob(j)
}

// loseRun gives up a run that has certainly ended without an outcome. The other
// members of its gang are stopped.
func (t *term) loseRun(r *run, reason string) {
	_ = level.Warn(t.logger).Log("event", "run lost", "job", r.task.Job, "task", r.task, "run", r.number, "host", r.host.name, "reason", reason,
		"minion", r.minion, "reported", r.reported, "tries", r.tries.sent, "open-tries", r.tries.open, "last-contact", r.host.contactAge(), "loss-core-seconds", t.discard(r))
	t.metrics.lost.Add(1)
	a := r.attempt
	t.requeueRun(r, "")
	t.stopAttempt(a, "another member of the gang was lost")
}

// handleEndedRun handles an ended run that a minion reports.
func (t *term) handleEndedRun(h *hostState, e host.EndedRun) {
	t.recordStart(e.Task.Job)
	r := h.runs[runKey{e.Task, e.Number}]
	t.metrics.ends[e.Outcome].Add(1)
	_ = level.Info(t.logger).Log("event", "run ended", "job", e.Task.Job, "task", e.Task, "run", e.Number, "host", h.name, "minion", h.incarnation(),
		"outcome", e.Outcome, "end", e.Sequence, "expected", r != nil, "percent", percentOf(r))
	if r == nil {
		return
	}
	r.endDelays()
	a := r.attempt
	j := a.job
	if !r.isCurrent() || j.progress.State.Ended() {
		t.requeueRun(r, e.Checkpoint)
		return
	}
	if a.definition().LongRunning {
		t.handleLongRunningEnd(h, r, e)
		return
	}
	switch e.Outcome {
	case host.Completed:
		h.health.recordSuccess()
		t.observeEnd(r)
		t.releaseRun(r)
		j.progress.Finish(j.job, e.Task)
		a.ended = true
		t.recordChange(j)
		t.forgetJob(j)
	case host.Crashed:
		t.handleCrash(h, r, e)
	default:
		t.requeueRun(r, e.Checkpoint)
		if e.Outcome == host.GangTimedOut || e.Outcome == host.LeaseExpired {
			t.stopAttempt(a, "another member of the gang has ended as "+e.Outcome.String())
		}
	}
}

func percentOf(r *run) int {
	if r == nil {
		return 0
	}
	return r.percent
}

// handleCrash counts a failed run against its job and its host.
func (t *term) handleCrash(h *hostState, r *run, e host.EndedRun) {
	a := r.attempt
	j := a.job
	failures := j.failures(a.step)
	h.health.recordFailure(j.job.ID, failures.failedElsewhere(h.name), now()-r.startedAt, now())
	failures.record(h.name, now())
	t.releaseRun(r)
	j.progress.Fail(j.job, e.Task, e.Number, e.Checkpoint)
	a.ended = true
	t.stopAttempt(a, "another member of the gang has failed")
	if j.progress.State.Ended() {
		_ = level.Info(t.logger).Log("event", "job failed", "job", j.job.ID, "task", e.Task, "run", e.Number, "attempts", j.job.Attempts)
	}
	t.recordChange(j)
	t.forgetJob(j)
}

// stopAttempt stops all runs of an attempt.
func (t *term) stopAttempt(a *attempt, reason string, details ...any) {
	if a.stopping {
		return
	}
	a.stopping = true
	t.metrics.stops.Add(1)
	for _, r := range slices.Clone(a.runs) {
		fields := []any{"event", "stop", "job", r.task.Job, "task", r.task, "run", r.number, "host", r.host.name, "percent", r.percent, "reason", reason}
		fields = append(append(fields, details...), "loss-core-seconds", t.discard(r))
		_ = level.Info(t.logger).Log(fields...)
		t.sendStop(r)
	}
}

// discard counts the work that is discarded with a run, and returns it in core seconds.
func (t *term) discard(r *run) int64 {
	loss := int64(math.Round(t.runPreemptionCost(r, now())))
	t.metrics.discarded.Add(loss)
	return loss
}
