package scheduler

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/lease"
	"wasabihoist/internal/fleet/placement"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/tenancy/guarantee"
	"wasabihoist/internal/traffic/request"
)

// term is one period in which this process holds the duty. The loop (run) alone
// reads and writes the fields that change; other goroutines post functions to it.
// They may use what does not change, such as the timing and the map of routes.
type term struct {
	*Scheduler
	timing          Timing
	work            *group.Group
	events          chan func(t *term)
	barrierRequests chan struct{} // barrierRequests asks for a read barrier.

	local             *lease.Table             // local holds the leases that this process itself renews.
	holderClients     map[string]*holderClient // holderClients by the name of the lease holder.
	routes            map[string]*workerRoute  // routes by worker; the map does not change.
	liveHolders       []string                 // liveHolders are the other agents that were live at the last assignment.
	holderByRack      map[string]string        // holderByRack maps racks to lease holders; nil makes the loop assign them anew.
	partitioner       *lease.Partitioner       // partitioner groups the racks into partitions of one lease holder each.
	partitionsChecked time.Time                // partitionsChecked is when the partitions were last compared with the tasks.

	planner         *placement.Planner
	emptyPlanners   map[string]*placement.Planner // emptyPlanners model each data centre without jobs, to tell whether a job can ever run there.
	health          *health
	workers         map[string]*workerState
	orphanCheckDue  []string // orphanCheckDue lists workers with a new lease that were not searched for orphaned tasks yet.
	attempts        map[request.Identity]*attempt
	memberByTask    map[string]taskMember
	unsettledClaims map[request.Identity]unsettledClaim
	delayed         map[request.Identity]delayedJob
	startedAt       time.Time
	barrierSent     time.Time         // barrierSent is when the latest folded barrier was sent (see runBarriers); zero before the first one.
	guarantees      guarantee.Verdict // guarantees says which guarantees have no placement in any data centre.
	nextClose       time.Time         // nextClose is the earliest time at which an organisation closes; zero when none will.
	auditedVerdict  string            // auditedVerdict is the last verdict on the guarantees that one of the schedulers audits; empty before the first check.
	stepDue         bool              // stepDue makes the loop take a step after the current event.
	placing         bool              // placing is set once the state of the workers is known well enough to place jobs.
	draining        bool              // draining is set when the duty ends; the term then claims no more jobs.
}

// workerState is what the term knows of one worker of the data centre.
type workerState struct {
	worker             worker.Worker
	leased             bool
	holder             string // holder is the agent to which the lease is assigned.
	generation         int64  // generation is the number of that assignment.
	session            lease.SessionID
	epoch              int64
	incarnation        int64
	earlierLeaseUntil  time.Time                    // earlierLeaseUntil is the latest time at which an earlier holder in this term can still have the lease.
	reportedLost       bool                         // reportedLost is set when the present holder reports the loss. The loss takes effect after earlierLeaseUntil.
	stateRecordPending bool                         // stateRecordPending is set while a loss or recovery record of the worker waits to be folded.
	lost               bool                         // lost workers were silent for longer than a lease lasts.
	leasedSince        time.Time                    // leasedSince is when the report of the lease arrived.
	renewalSent        time.Time                    // renewalSent is when the last answered renewal was sent.
	reportReceived     time.Time                    // reportReceived is when the first report under the lease arrived.
	reportCovers       time.Duration                // reportCovers is the time before that report within which it lists every ended task.
	silent             bool                         // silent workers left a call unanswered and have not answered since.
	silentSince        time.Time                    // silentSince is when the last unanswered call ended.
	lastAnswer         time.Time                    // lastAnswer is the latest time at which the worker is known to have answered.
	probing            bool                         // probing is set while a probe is in progress.
	unconfirmed        map[string]unconfirmedMember // unconfirmed members by the name of their task.
	tasks              map[string]worker.Task
	reserved           map[request.Identity]worker.Resources // reserved resources by the job whose attempt of this term uses them.
	schedulable        bool                                  // schedulable says whether the planner may use the worker.

	fullUntil time.Time // fullUntil is when the worker takes new tasks again after a placement did not fit.
}

// taskMember is the gang member that a task belongs to.
type taskMember struct {
	attempt *attempt
	member  int
}

// delayedJob is a queued job that is not submitted to the planner yet.
type delayedJob struct {
	due    time.Time
	reason string
}

func newTerm(s *Scheduler, work *group.Group) *term {
	t := &term{
		Scheduler:       s,
		timing:          s.options.Timing,
		work:            work,
		events:          make(chan func(t *term), 64),
		barrierRequests: make(chan struct{}, 1),
		local:           lease.NewTable(),
		holderClients:   map[string]*holderClient{},
		partitioner:     lease.NewPartitioner(s.options.WorkersPerHolder),
		routes:          map[string]*workerRoute{},
		planner:         placement.New(s.options.Policy, s.options.Planner),
		emptyPlanners:   map[string]*placement.Planner{},
		health:          newHealth(s.options.Health),
		workers:         map[string]*workerState{},
		attempts:        map[request.Identity]*attempt{},
		memberByTask:    map[string]taskMember{},
		unsettledClaims: map[request.Identity]unsettledClaim{},
		delayed:         map[request.Identity]delayedJob{},
		startedAt:       time.Now(),
	}
	accelerators := 0
	for _, w := range s.options.Workers {
		t.addWorker(w)
		accelerators += w.Capacity.Accelerators
	}
	t.planner.SetFleetAccelerators(accelerators)
	t.planner.SetDecisionInterval(t.timing.DecisionInterval)
	return t
}

// addWorker registers a worker of any data centre with its empty planner, and
// one of this data centre also with the term.
func (t *term) addWorker(w worker.Worker) {
	if t.emptyPlanners[w.DataCentre] == nil {
		t.emptyPlanners[w.DataCentre] = placement.New(t.options.Policy, t.options.Planner)
	}
	t.emptyPlanners[w.DataCentre].AddWorker(w)
	if w.DataCentre != t.options.DataCentre {
		return
	}
	t.routes[w.Name] = &workerRoute{worker: w}
	t.workers[w.Name] = &workerState{
		worker:      w,
		tasks:       map[string]worker.Task{},
		reserved:    map[request.Identity]worker.Resources{},
		unconfirmed: map[string]unconfirmedMember{},
	}
}

// post queues an event for the loop, which takes a step after it.
func (t *term) post(ctx context.Context, event func(t *term)) {
	t.postWithoutStep(ctx, func(t *term) {
		event(t)
		t.stepDue = true
	})
}

// postWithoutStep queues an event for the loop, which takes a step after it only if
// the event sets stepDue. Most reports of workers contain nothing new.
func (t *term) postWithoutStep(ctx context.Context, event func(t *term)) {
	select {
	case t.events <- event:
	case <-ctx.Done():
	}
}

// call runs an event in the loop and waits for it. It reports whether the event
// has run before ctx ended.
func (t *term) call(ctx context.Context, event func(t *term)) bool {
	done := make(chan struct{})
	t.post(ctx, func(t *term) {
		event(t)
		close(done)
	})
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// run is the loop. It reacts to events and to changes of the journal, and takes
// a step at least once per decision interval. It drains after stop is closed and
// returns nil then; it returns the error of ctx when ctx ends first.
func (t *term) run(ctx context.Context, stop <-chan struct{}) error {
	tick := time.NewTicker(t.timing.DecisionInterval)
	defer tick.Stop()
	var drained <-chan time.Time
	for {
		changed := t.journal.Watch()
		t.reconcile()
		if t.stepDue {
			t.stepDue = false
			t.updateAssignments()
			t.dropLostWorkers()
			t.step()
		}
		if t.draining && t.countStarting() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stop:
			stop, t.draining = nil, true
			drained = time.After(t.timing.DrainTimeout)
		case <-drained:
			return nil
		case event := <-t.events:
			event(t)
			t.handleQueuedEvents()
		case <-changed:
		case <-tick.C:
			t.stepDue = true
		}
	}
}

// handleQueuedEvents handles the events that are queued already, so that a single
// step follows them.
func (t *term) handleQueuedEvents() {
	for range cap(t.events) {
		select {
		case event := <-t.events:
			event(t)
		default:
			return
		}
	}
}

// step settles the claims of earlier terms. Once the workers are known, it also
// submits the jobs that are due, records lost workers, and carries out the
// planner's decisions. It does nothing before the first barrier is folded.
func (t *term) step() {
	if t.barrierSent.IsZero() {
		return
	}
	t.settle()
	if t.draining || !t.ready() {
		return
	}
	if !t.placing {
		t.placing = true
		t.auditTakeover()
	}
	now := time.Now()
	t.submitDue(now)
	t.updateSchedulable(now)
	t.recordWorkerStates()
	t.auditShortfalls()
	t.decide(now)
	t.probeForUrgent(now)
}

// auditTakeover audits that this process has taken the duty, with what it found.
func (t *term) auditTakeover() {
	s := t.summary()
	t.audit("takeover", t.options.DataCentre, "the duty came to this process in "+t.options.Region,
		fmt.Sprintf("%d of %d workers leased, %d jobs adopted, %d claims open", s.LeasedWorkers, len(t.workers), s.ActiveAttempts, len(t.unsettledClaims)))
}

// ready reports whether the workers are known well enough to place jobs: each is
// leased or lost, or StartupGrace has passed.
func (t *term) ready() bool {
	if time.Since(t.startedAt) > t.timing.StartupGrace {
		return true
	}
	for _, ws := range t.workers {
		if !ws.leased && !ws.lost {
			return false
		}
	}
	return true
}

// countStarting returns the number of attempts whose members are not all
// released yet.
func (t *term) countStarting() int {
	count := 0
	for _, a := range t.attempts {
		if !a.startDone {
			count++
		}
	}
	return count
}

// runBarriers appends a read barrier for each request. Once the barrier is
// folded, the journal has every record that was appended before it.
func (t *term) runBarriers(ctx context.Context) error {
	t.requestBarrier()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.barrierRequests:
		}
		sent := time.Now()
		if err := t.appendRecord(ctx, journal.Barrier{}); err != nil {
			return err
		}
		t.post(ctx, func(t *term) { t.barrierSent = sent })
	}
}

// requestBarrier asks for a barrier unless a request is already queued.
func (t *term) requestBarrier() {
	select {
	case t.barrierRequests <- struct{}{}:
	default:
	}
}

// appendRecord appends a record and returns once it is folded. It returns the error
// of ctx when ctx ends first.
func (t *term) appendRecord(ctx context.Context, r journal.Record) error {
	_, err := t.appendWithVerdict(ctx, r)
	return err
}

// appendWithVerdict is like appendRecord and also returns the verdict of the
// journal. It repeats failed appends, because a record that was not appended has no
// effect.
func (t *term) appendWithVerdict(ctx context.Context, r journal.Record) (journal.Verdict, error) {
	for {
		v, err := t.writer.Append(ctx, r)
		if err == nil {
			return v, nil
		}
		if ctx.Err() != nil {
			return v, ctx.Err()
		}
		sleep(ctx, t.timing.RetryDelay)
	}
}

// observeUsage passes the usage of tasks on to the planner, with the time at which
// it was measured.
func (t *term) observeUsage(usage []worker.Usage, now time.Time) {
	for _, u := range usage {
		if m, ok := t.memberByTask[u.Task]; ok {
			t.planner.ObserveUsage(m.attempt.job.Identity, m.member, u.Used, now.Add(-u.Age))
		}
	}
}

// audit queues an entry of the audit trail and logs it.
func (t *term) audit(action, subject, reason, after string) {
	t.writer.Audit(journal.Audit{
		Actor: t.options.Holder, Action: action, Subject: subject, Reason: reason, After: after,
	})
	_ = t.options.Logger.Log("event", action, "subject", subject, "reason", reason, "after", after)
}

// taskName returns the name of a member's task, as
// organisation/job/attempt/member.
func taskName(id request.Identity, attempt, member int) string {
	return job.TaskID{Job: id, Attempt: attempt, Member: member}.String()
}

// parseTaskName is the inverse of taskName. The ID of a job may contain slashes. It
// returns an error when the name does not have the form of a task name.
func parseTaskName(name string) (job.TaskID, error) {
	parts := strings.Split(name, "/")
	if len(parts) < 4 {
		return job.TaskID{}, fmt.Errorf("task name %q does not have the form organisation/job/attempt/member", name)
	}
	last := len(parts) - 1
	attempt, errAttempt := strconv.Atoi(parts[last-1])
	member, errMember := strconv.Atoi(parts[last])
	if errAttempt != nil || errMember != nil {
		return job.TaskID{}, fmt.Errorf("task name %q does not have the form organisation/job/attempt/member", name)
	}
	id := request.Identity{Organisation: parts[0], ID: strings.Join(parts[1:last-1], "/")}
	return job.TaskID{Job: id, Attempt: attempt, Member: member}, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
