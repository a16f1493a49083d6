package coordinator

import (
	"context"
	"math"
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
	// tickInterval is how often a term checks for expired leases, stalled runs
	// and work that has become late.
	tickInterval = 200 * time.Millisecond
	// memberReadInterval is how often a term looks for new agents.
	memberReadInterval = time.Second
	// confirmationValidity is how long leases are renewed after the store last
	// confirmed that the term is the newest.
	confirmationValidity = 4 * time.Second
	// confirmationInterval is the time between two appends that only confirm the term.
	confirmationInterval = 1500 * time.Millisecond
	// maxPlanShare bounds the share of time that planning takes, so that
	// renewals and calls still get through in a busy fleet.
	maxPlanShare = 0.2
	// eventBacklog bounds the events queued for the loop of the term.
	eventBacklog = 256
)

// term is the period in which this process leads. The fields after the blank
// line are used by the loop of run only.
type term struct {
	*Coordinator
	token       int64 // token is the fencing token: the generation of the leadership.
	group       *group.Group
	logger      log.Logger
	events      chan func()  // events holds functions that the loop runs in order.
	confirmedAt atomic.Int64 // confirmedAt is when the last call that confirmed that this term leads was sent, by the clock of now.

	claimedGeneration atomic.Int64 // claimedGeneration is the generation in the reply to the last claim.

	begunAt       time.Duration
	former        formerTerms
	leases        leaseRecords
	jobs          map[workload.ID]*jobState
	hosts         map[string]*hostState // hosts holds agents by member name, and hosts that only tasks name.
	attempts      map[int]*attempt
	nextID        int
	writer        writer
	membersReadAt time.Duration // membersReadAt is when the members were last read.
	nextExpiryAt  time.Duration // nextExpiryAt is not after the first time at which expireLeases has something to do; 0 if that is not known.
	headroom      headroom
	workSizes     workSizes
	overloads     map[competition]overload
	outlooks      outlooks
	reservations  reservations
	early         earlyCancellations
	paces         hostPaces
	adviceCalls   adviceCalls
	evacuations   evacuations
	known         known
	needsPlan     bool                        // needsPlan is set when something has changed that a plan depends on.
	nextPlanAt    time.Duration               // nextPlanAt is when the next plan may be made.
	dirty         collection.Set[workload.ID] // dirty holds the jobs whose latest progress is in no append yet.
	effects       []func()                    // effects run once the progress of all dirty jobs is durable.
	endedJobs     []endedJob
	restoring     collection.Set[workload.ID] // restoring holds the jobs whose records are being written again.
	endedIDs      collection.Set[workload.ID] // endedIDs holds the jobs that ended in this term; the ledger may show them as running for a moment.
}

// jobState is a job that has not ended, or that still has runs.
type jobState struct {
	job         workload.Job
	acceptOrder int64
	progress    *workload.Progress // progress is ahead of the ledger by changes that are dirty or being written.
	// progressUnknown is set if former terms may have recorded more than progress shows.
	progressUnknown bool

	cancelled      bool
	activeRuns     int                       // activeRuns counts the runs that hold resources somewhere.
	failuresByStep map[int]*stepFailures     // failuresByStep holds the failed runs of each step; see the method failures.
	startNoticedAt time.Duration             // startNoticedAt is when the first start of a task was noticed; 0 before, and once an append has it.
	retryAt        time.Duration             // retryAt is when the job may be placed again after a failed start.
	refusals       map[taskKey]startRefusals // refusals holds those of tasks that have not run since; see startRefusals.
	measured       map[int]time.Duration     // measured holds how long the tasks of a step take by the progress of its fastest run.
	advice         map[int]*stepAdvice       // advice holds for each step what the adviser has replied.
}

// endedJob is a job whose records are removed at removeAt.
type endedJob struct {
	id       workload.ID
	removeAt time.Duration
}

func newTerm(c *Coordinator, token int64, confirmed time.Duration, g *group.Group) *term {
	t := &term{
		Coordinator: c, token: token, group: g, logger: log.With(c.logger, "token", token),
		events: make(chan func(), eventBacklog), begunAt: now(),
		jobs: make(map[workload.ID]*jobState), hosts: make(map[string]*hostState),
		attempts: make(map[int]*attempt), reservations: reservations{byGang: make(map[stepKey]*reservation)},
		workSizes: make(workSizes), overloads: make(map[competition]overload), outlooks: newOutlooks(), paces: newHostPaces(),
		dirty: collection.NewSet[workload.ID](), endedIDs: collection.NewSet[workload.ID](), restoring: collection.NewSet[workload.ID](),
	}
	t.claimedGeneration.Store(token)
	t.former = c.formerTerms(t.begunAt)
	t.leases.dueBy(t.begunAt + leasesDelay)
	t.confirm(confirmed)
	t.state.Changes() // Discards the changes so far, which All includes.
	for _, e := range t.state.All() {
		t.restore(e)
		t.adoptJob(e)
	}
	return t
}

// confirm records that the store confirmed this term as the newest in reply to a
// call that was sent at a time. The time of the reply would be too late, because
// another term may begin while the reply is under way.
func (t *term) confirm(at time.Duration) {
	if int64(at) > t.confirmedAt.Load() {
		t.confirmedAt.Store(int64(at))
	}
}

// confirmClaim records the reply to a claim that was sent at a time. After a change
// of the generation only appends confirm the term: the leadership may have gone to
// another process, whose term may still begin, and come back.
func (t *term) confirmClaim(generation int64, at time.Duration) {
	t.claimedGeneration.Store(generation)
	if t.token == generation {
		t.confirm(at)
	}
}

// requestConfirmation lets the leases be recorded if claims confirm nothing and no
// append has for a while.
func (t *term) requestConfirmation(at time.Duration) {
	if t.claimedGeneration.Load() != t.token && at-time.Duration(t.confirmedAt.Load()) >= confirmationInterval {
		t.leases.dueBy(at)
	}
}

// post queues an event for the loop. It reports false when the term has ended.
func (t *term) post(event func()) bool {
	select {
	case t.events <- event:
		return true
	case <-t.group.Context().Done():
		return false
	}
}

// callLoop runs a function in the loop and returns its result. It reports false
// when ctx or the term has ended, even if the function is still queued.
func callLoop[T any](ctx context.Context, t *term, function func() T) (T, bool) {
	result := make(chan T, 1)
	var none T
	if !t.post(func() { result <- function() }) {
		return none, false
	}
	select {
	case a := <-result:
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
		t.readEvacuations()
		t.readMembers()
		t.expireLeases()
		t.removeEndedJobs()
		t.removeEarlyCancellations(now())
		if at := now(); t.needsPlan && at >= t.nextPlanAt {
			t.needsPlan = false
			t.plan()
			t.nextPlanAt = now() + time.Duration(float64(now()-at)/maxPlanShare)
		} else if t.needsPlan {
			wake.Reset(t.nextPlanAt - at)
		}
		t.flush()
		select {
		case <-ctx.Done():
			return nil
		case event := <-t.events:
			event()
		case <-t.state.Changed():
			t.readChanges()
		case <-t.evacuationsChanged():
		case <-wake.C:
		case <-ticker.C:
			t.checkProgress()
			t.updatePaces(now())
			t.moveSlowRuns(now())
			t.writeStarts()
			t.updateOutlooks()
			t.needsPlan = true // Work becomes late and quarantines end as time passes.
		}
		t.drainEvents()
	}
}

// drainEvents runs the events queued meanwhile, so that one plan serves all of
// them.
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
		t.restore(e)
		j := t.jobs[id]
		if j == nil {
			if !t.endedIDs.Has(id) && (e.Progress == nil || !e.Progress.State.Ended()) {
				t.adoptJob(e)
			}
			continue
		}
		if e.Cancelled && !j.cancelled {
			t.cancelJob(j)
		}
	}
}

// adoptJob takes on a job in the state that the ledger shows. A job that has
// ended and has no placed tasks is only queued for the removal of its records.
func (t *term) adoptJob(e ledger.JobEntry) {
	if e.Progress != nil && e.Progress.State.Ended() && !e.Progress.HasPlacedTasks() {
		t.endedJobs = append(t.endedJobs, endedJob{e.Job.ID, now() + t.settings().StatusRetention + retentionMargin})
		return
	}
	j := &jobState{job: e.Job, acceptOrder: e.SubmissionOffset, progressUnknown: e.ProgressUnknown, failuresByStep: make(map[int]*stepFailures)}
	if j.progressUnknown {
		_ = level.Error(t.logger).Log("event", "progress unknown", "job", e.Job.ID, "outcome", "not placed until former runs have ended", "wait", t.formerRunsEnd()-now())
	}
	t.jobs[e.Job.ID] = j
	t.workSizes.add(e.Job)
	t.needsPlan = true
	if e.Progress != nil && e.Progress.Matches(e.Job) {
		j.progress = e.Progress.Clone()
		t.adoptRuns(j)
	} else {
		j.progress = workload.NewProgress(e.Job)
		if j.progressUnknown {
			j.progress.MarkStarted() // Otherwise the state that callers see could go back to pending.
		}
		_ = level.Info(t.logger).Log("event", "job received", "job", e.Job.ID, "queue", e.Job.Queue, "organisation", e.Job.Organisation,
			"priority", e.Job.Priority, "offset", e.SubmissionOffset, "age", time.Since(e.Job.Submitted).Round(time.Millisecond),
			"due-in", time.Until(e.Job.Due(0)).Round(time.Millisecond), "estimate", e.Job.CriticalPath(), "work", math.Round(e.Job.Work()))
	}
	switch {
	case e.Cancelled:
		t.cancelJob(j)
	case j.progress.State.Ended():
		t.recordChange(j)
	}
}

// adoptRuns takes on the runs that a former term has placed. What became of
// each is known from a status report of its minion, or from the expiry of its
// lease.
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
			expiry, tries := t.former.leaseExpiry(r.host.name, t.settings().MaxLease)
			r.tries = tries
			if a.definition().BestEffort {
				r.speedPercent = unknownSpeed
			}
			r.host.leaseExpiry = max(r.host.leaseExpiry, expiry)
			if r.host.lastContact == 0 && !r.host.suspended {
				t.suspendRenewals(r.host)
			}
		}
	}
}

// cancelJob ends a job. Its runs are stopped, also those that have not started
// yet.
func (t *term) cancelJob(j *jobState) {
	j.cancelled = true
	if !j.progress.State.Ended() {
		j.progress.State = workload.Cancelled
		_ = level.Info(t.logger).Log("event", "job cancelled", "job", j.job.ID, "runs", j.activeRuns)
	}
	t.recordChange(j)
}

// recordChange marks the progress of a job as dirty, and stops the runs of a
// job that has failed or was cancelled.
func (t *term) recordChange(j *jobState) {
	t.dirty.Add(j.job.ID)
	t.needsPlan = true
	if state := j.progress.State; state != workload.Failed && state != workload.Cancelled {
		return // The runs of a done job have ended by themselves.
	}
	for _, a := range t.attempts {
		if a.job == j {
			t.stopAttempt(a, "the job has ended")
		}
	}
}

// forgetJob removes an ended job once nothing of it runs and its end is
// durable.
func (t *term) forgetJob(j *jobState) {
	if j.activeRuns > 0 || !j.progress.State.Ended() || t.dirty.Has(j.job.ID) || t.jobs[j.job.ID] != j {
		return
	}
	_ = level.Info(t.logger).Log("event", "job ended", "job", j.job.ID, "state", j.progress.State, "age", time.Since(j.job.Submitted).Round(time.Millisecond))
	delete(t.jobs, j.job.ID)
	t.endedIDs.Add(j.job.ID)
	t.endedJobs = append(t.endedJobs, endedJob{j.job.ID, now() + t.settings().StatusRetention + retentionMargin})
}
