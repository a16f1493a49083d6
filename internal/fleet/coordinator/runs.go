package coordinator

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
)

// runKey names a run of a task.
type runKey struct {
	task   workload.TaskID
	number int
}

// phase is where a run is in its life.
type phase int

const (
	proposed phase = iota // proposed runs are not yet durable.
	adopted               // adopted runs were given out by a former term.
	starting              // starting runs may be on their minion.
	running
)

// run is a run of a task that holds resources of a host until it has certainly
// ended.
type run struct {
	task         workload.TaskID
	number       int
	attempt      *attempt
	host         *hostState
	minion       string // minion is the incarnation.
	need         workload.Resources
	phase        phase
	answered     time.Duration // answered is when the minion answered the start.
	stopAnswered time.Duration // stopAnswered is when it answered a stop.
	startedAt    time.Duration
	percent      int
	firstPercent int           // firstPercent is the share that was done when the run was first listed; a checkpoint may have held some.
	movedAt      time.Duration // movedAt is when the percentage last rose.
	checkpoint   string
	savedAt      time.Duration // savedAt is when the checkpoint last changed.
	listed       bool          // listed is set once the minion has listed the run.
	stopSent     bool          // stopSent is set once a stop is on its way.
	load         int           // load is what the minion last listed; see host.Run.
	paced        int           // paced is the percentage at which the run works.
	paceSent     bool          // paceSent is set while an order to change that is on its way.
	ticket       string        // ticket permits the start; empty when none is needed.
}

// attempt is the runs that start and end together: those of a gang, or one.
type attempt struct {
	id       int
	job      *jobState
	step     int
	runs     []*run
	stopping bool
	over     bool // over means that the outcome is known; what still runs ends by itself.
	began    time.Duration
}

// definition returns the step that the attempt runs.
func (a *attempt) definition() workload.Step { return a.job.job.Step(a.step) }

// progress returns what is known of the task of a run.
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
	r.startedAt, r.paced = now(), fullPace
	r.movedAt = r.startedAt
	a.runs = append(a.runs, r)
	h.runs[runKey{id, number}] = r
	a.job.runs++
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

// note takes what the minion lists of a run.
func (r *run) note(l host.Run) {
	at := now()
	r.load = l.Load
	if !r.listed {
		r.listed, r.firstPercent, r.startedAt = true, l.ProgressPercent, at
	}
	if l.ProgressPercent != r.percent {
		r.percent, r.movedAt = l.ProgressPercent, at
	}
	if l.Checkpoint != "" && l.Checkpoint != r.checkpoint {
		r.checkpoint, r.savedAt = l.Checkpoint, at
	}
}

// leastPercent is how far a run must have come before its speed is known.
const leastPercent = 10

// timeLeft estimates from its progress when a run ends. It reports false while
// too little of it is done.
func (r *run) timeLeft(at time.Duration) (time.Duration, bool) {
	if r.phase != running || r.percent-r.firstPercent < leastPercent {
		return 0, false
	}
	perPercent := (r.movedAt - r.startedAt) / time.Duration(r.percent-r.firstPercent)
	return time.Duration(100-r.percent)*perPercent - (at - r.movedAt), true
}

// expectedLeft returns when a run ends, from its progress if that is known and
// otherwise from the estimate that came with the job.
func (r *run) expectedLeft(at time.Duration) time.Duration {
	if r.attempt.definition().LongRunning {
		return lastingTime
	}
	if left, known := r.timeLeft(at); known {
		return max(0, left)
	}
	return max(0, r.attempt.definition().Estimate-(at-r.startedAt))
}

func (t *term) started(r *run) {
	r.phase = running
	r.startedAt = now()
	r.movedAt = r.startedAt
}

// release frees what a run held.
func (t *term) release(r *run) {
	t.replan = true
	delete(r.host.runs, runKey{r.task, r.number})
	r.attempt.runs = slices.DeleteFunc(r.attempt.runs, func(o *run) bool { return o == r })
	r.attempt.job.runs--
	if len(r.attempt.runs) == 0 {
		delete(t.attempts, r.attempt.id)
	}
}

// current reports whether the run is the one that the progress of its task
// names.
func (r *run) current() bool {
	task := r.progress()
	return task.Phase == workload.Placed && task.Run == r.number
}

// requeue frees a run and lets its task wait again.
func (t *term) requeue(r *run, checkpoint string) {
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	j := r.attempt.job
	t.release(r)
	if r.current() {
		j.progress.Release(r.task, checkpoint)
	}
	t.settle(j)
	t.forget(j)
}

// lose gives up a run that has certainly ended without an outcome. The other
// members of its gang are stopped.
func (t *term) lose(r *run, reason string) {
	_ = level.Warn(t.logger).Log("event", "run lost", "job", r.task.Job, "task", r.task, "run", r.number, "host", r.host.name, "reason", reason)
	t.figures.lost.Add(1)
	a := r.attempt
	t.requeue(r, "")
	t.stop(a, "a member was lost")
}

// takeEnd works on an end that a minion lists.
func (t *term) takeEnd(h *hostState, e host.EndedRun) {
	r := h.runs[runKey{e.Task, e.Number}]
	t.figures.ends[e.Outcome].Add(1)
	_ = level.Info(t.logger).Log("event", "run ended", "job", e.Task.Job, "task", e.Task, "run", e.Number, "host", h.name,
		"outcome", e.Outcome, "end", e.Sequence, "expected", r != nil, "percent", percentOf(r))
	if r == nil {
		return
	}
	a := r.attempt
	j := a.job
	if !r.current() || j.progress.State.Ended() {
		t.requeue(r, e.Checkpoint)
		return
	}
	if a.definition().LongRunning {
		t.takeLastingEnd(h, r, e)
		return
	}
	switch e.Outcome {
	case host.Completed:
		h.health.succeeded()
		t.release(r)
		j.progress.Finish(j.job, e.Task)
		a.over = true
		t.settle(j)
		t.forget(j)
	case host.Crashed:
		t.takeCrash(h, r, e)
	default:
		t.requeue(r, e.Checkpoint)
		if e.Outcome == host.GangTimedOut || e.Outcome == host.LeaseExpired {
			t.stop(a, "a member has ended as "+e.Outcome.String())
		}
	}
}

func percentOf(r *run) int {
	if r == nil {
		return 0
	}
	return r.percent
}

// suspect reports whether a job rather than a host is at fault for a failure,
// because a run of the same step has failed on another host before.
func (t *term) suspect(j *jobState, step int, h *hostState) bool {
	failedOn := j.avoid[step]
	return len(failedOn) > 1 || len(failedOn) == 1 && !failedOn.Has(h.name)
}

// takeCrash counts a failed run against its job and its host.
func (t *term) takeCrash(h *hostState, r *run, e host.EndedRun) {
	a := r.attempt
	j := a.job
	h.health.failed(j.job.ID, t.suspect(j, a.step, h), now()-r.startedAt, now())
	if j.avoid[a.step] == nil {
		j.avoid[a.step] = collection.NewSet[string]()
	}
	j.avoid[a.step].Add(h.name)
	t.release(r)
	j.progress.Fail(j.job, e.Task, e.Number, e.Checkpoint)
	a.over = true
	t.stop(a, "a member has failed")
	if j.progress.State.Ended() {
		_ = level.Info(t.logger).Log("event", "job failed", "job", j.job.ID, "task", e.Task, "run", e.Number, "attempts", j.job.Attempts)
	}
	t.settle(j)
	t.forget(j)
}

// stop stops all runs of an attempt.
func (t *term) stop(a *attempt, reason string, inputs ...any) {
	if a.stopping {
		return
	}
	a.stopping = true
	t.figures.stops.Add(1)
	for _, r := range slices.Clone(a.runs) {
		line := []any{"event", "stop", "job", r.task.Job, "task", r.task, "run", r.number, "host", r.host.name, "percent", r.percent, "reason", reason}
		_ = level.Info(t.logger).Log(append(line, inputs...)...)
		t.sendStop(r)
	}
}
