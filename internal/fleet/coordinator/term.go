package coordinator

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
)

const (
	// tickInterval is how often a term looks for leases that have lapsed and for
	// work that has become late.
	tickInterval = 200 * time.Millisecond
	// memberInterval is how often a term looks for new agents.
	memberInterval = time.Second
	// confirmTime is how long leases are renewed without word from the store
	// that the term is still the newest.
	confirmTime = 4 * time.Second
	// planShare bounds the part of the time that planning takes, so that a busy
	// fleet still gets its renewals and orders.
	planShare = 0.2
	// eventBacklog bounds the events that wait for the loop of the term.
	eventBacklog = 256
)

// term is the time in which this process leads. All fields without a comment
// are used by the loop of run only.
type term struct {
	*Coordinator
	token     int64
	group     *group.Group
	logger    log.Logger
	events    chan func()  // events are carried out by the loop, in order.
	confirmed atomic.Int64 // confirmed is when the store last said that this term leads, by the clock of now.

	begun    time.Duration
	jobs     map[workload.ID]*jobState
	hosts    map[string]*hostState // hosts holds agents by their member name, and those that only tasks name.
	attempts map[int]*attempt
	nextID   int
	writer   writer
	members  time.Duration // members is when the members were last read.
	headroom headroom
	advising advising
	replan   bool          // replan is set when something has changed that a plan depends on.
	planAt   time.Duration // planAt is when the next plan may be made.
	dirty    collection.Set[workload.ID]
	effects  []func() // effects are carried out when all that is dirty is durable.
	ended    []endedJob
	finished collection.Set[workload.ID] // finished holds the jobs that ended in this term; the ledger may show them as running for a moment.
}

// jobState is a job that has not ended, or some of whose runs have not.
type jobState struct {
	job       workload.Job
	order     int64
	progress  *workload.Progress // progress is ahead of the ledger by what is dirty or being written.
	cancelled bool
	runs      int                            // runs counts the runs that hold resources somewhere.
	avoid     map[int]collection.Set[string] // avoid holds for each step the hosts on which a run of it failed.
	retryAt   time.Duration                  // retryAt is when the job may be placed again after a failed start.
	advice    map[int]*advice                // advice holds for each step what the adviser has said.
}

// endedJob is a job whose records are dropped after a while.
type endedJob struct {
	id     workload.ID
	dropAt time.Duration
}

func newTerm(c *Coordinator, token int64, confirmed time.Duration, g *group.Group) *term {
	t := &term{
		Coordinator: c, token: token, group: g, logger: log.With(c.logger, "token", token),
		events: make(chan func(), eventBacklog), begun: now(),
		jobs: make(map[workload.ID]*jobState), hosts: make(map[string]*hostState),
		attempts: make(map[int]*attempt), dirty: collection.NewSet[workload.ID](), finished: collection.NewSet[workload.ID](),
	}
	t.confirm(confirmed)
	t.state.Changes()
	for _, e := range t.state.All() {
		t.adopt(e)
	}
	return t
}

// confirm notes that the store has taken this term for the newest at a time.
func (t *term) confirm(at time.Duration) {
	if int64(at) > t.confirmed.Load() {
		t.confirmed.Store(int64(at))
	}
}

// do hands an event to the loop. It reports false when the term has ended.
func (t *term) do(event func()) bool {
	select {
	case t.events <- event:
		return true
	case <-t.group.Context().Done():
		return false
	}
}

// ask puts a question to the loop and waits for the answer. It reports false
// when the term has ended, also with the question still in the backlog.
func ask[T any](ctx context.Context, t *term, question func() T) (T, bool) {
	answer := make(chan T, 1)
	var none T
	if !t.do(func() { answer <- question() }) {
		return none, false
	}
	select {
	case a := <-answer:
		return a, true
	case <-ctx.Done():
		return none, false
	}
}

// run is the loop of the term.
func (t *term) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		t.readMembers()
		t.expireLeases()
		t.dropEnded()
		if at := now(); t.replan && at >= t.planAt {
			t.replan = false
			t.plan()
			t.planAt = now() + time.Duration(float64(now()-at)/planShare)
		} else if t.replan {
			wake.Reset(t.planAt - at)
		}
		t.flush()
		select {
		case <-ctx.Done():
			return nil
		case event := <-t.events:
			event()
		case <-t.state.Changed():
			t.readChanges()
		case <-wake.C:
		case <-ticker.C:
			t.checkProgress()
			t.replan = true // Work becomes late and quarantines end with time.
		}
		t.drainEvents()
	}
}

// drainEvents carries out what has come meanwhile, so that one plan serves all.
func (t *term) drainEvents() {
	for {
		select {
		case event := <-t.events:
			event()
		default:
			return
		}
	}
}

func (t *term) readChanges() {
	for _, id := range t.state.Changes() {
		e, ok := t.state.Job(id)
		if !ok {
			continue
		}
		j := t.jobs[id]
		if j == nil {
			if !t.finished.Has(id) && (e.Progress == nil || !e.Progress.State.Ended()) {
				t.adopt(e)
			}
			continue
		}
		if e.Cancelled && !j.cancelled {
			t.cancel(j)
		}
	}
}

// adopt takes a job up as the ledger shows it.
func (t *term) adopt(e ledger.JobEntry) {
	if e.Progress != nil && e.Progress.State.Ended() && !e.Progress.HasPlacedTasks() {
		t.ended = append(t.ended, endedJob{e.Job.ID, now() + t.settings().StatusRetention + dropMargin})
		return
	}
	j := &jobState{job: e.Job, order: e.SubmissionOffset, avoid: make(map[int]collection.Set[string])}
	t.jobs[e.Job.ID] = j
	t.replan = true
	if e.Progress != nil && e.Progress.Matches(e.Job) {
		j.progress = e.Progress.Clone()
		t.adoptRuns(j)
	} else {
		j.progress = workload.NewProgress(e.Job)
		_ = level.Info(t.logger).Log("event", "job taken up", "job", e.Job.ID, "queue", e.Job.Queue, "organisation", e.Job.Organisation,
			"priority", e.Job.Priority, "offset", e.SubmissionOffset, "age", time.Since(e.Job.Submitted).Round(time.Millisecond))
	}
	switch {
	case e.Cancelled:
		t.cancel(j)
	case j.progress.State.Ended():
		t.settle(j)
	}
}

// adoptRuns takes up the runs that a former term has given out. Each of them is
// settled by what its minion lists, or by the end of its lease.
func (t *term) adoptRuns(j *jobState) {
	for s := range j.progress.Steps {
		gangs := make(map[int]*attempt)
		for i, task := range j.progress.Steps[s].Tasks {
			if task.Phase != workload.Placed {
				continue
			}
			gang := j.job.Step(s).Gang
			a := gangs[task.Run]
			if a == nil || !gang {
				a = t.newAttempt(j, s)
				gangs[task.Run] = a
			}
			id := j.job.TaskID(s, i)
			r := t.addRun(a, id, task.Run, t.host(task.Host), task.Minion)
			r.phase = adopted
			if a.definition().BestEffort {
				r.paced = unknownPace
			}
			r.host.lapse = max(r.host.lapse, t.begun+confirmTime+lapseTime(t.settings().MaxLease))
		}
	}
}

// cancel ends a job. Its runs are stopped, also those that are only placed.
func (t *term) cancel(j *jobState) {
	j.cancelled = true
	if !j.progress.State.Ended() {
		j.progress.State = workload.Cancelled
		_ = level.Info(t.logger).Log("event", "job cancelled", "job", j.job.ID, "runs", j.runs)
	}
	t.settle(j)
}

// settle writes the state of a job down, and stops what runs of a job that has
// ended.
func (t *term) settle(j *jobState) {
	t.dirty.Add(j.job.ID)
	t.replan = true
	if state := j.progress.State; state != workload.Failed && state != workload.Cancelled {
		return // The runs of a job that is done have ended by themselves.
	}
	for _, a := range t.attempts {
		if a.job == j {
			t.stop(a, "the job has ended")
		}
	}
}

// forget drops an ended job once nothing of it runs and its end is durable.
func (t *term) forget(j *jobState) {
	if j.runs > 0 || !j.progress.State.Ended() || t.dirty.Has(j.job.ID) || t.jobs[j.job.ID] != j {
		return
	}
	_ = level.Info(t.logger).Log("event", "job ended", "job", j.job.ID, "state", j.progress.State, "age", time.Since(j.job.Submitted).Round(time.Millisecond))
	delete(t.jobs, j.job.ID)
	t.finished.Add(j.job.ID)
	t.ended = append(t.ended, endedJob{j.job.ID, now() + t.settings().StatusRetention + dropMargin})
}
