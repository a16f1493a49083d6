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

// term is one tenure of the duty. Its fields are used by the loop only, other
// goroutines post functions to it.
type term struct {
	*Scheduler
	timing          Timing
	work            *group.Group
	events          chan func(t *term)
	barrierRequests chan struct{} // wanted asks for a read barrier.

	local             *lease.Table             // local holds the leases of this process.
	holderClients     map[string]*holderClient // links by the name of the holder.
	routes            map[string]*workerRoute  // seats by worker; the map does not change.
	liveHolders       []string                 // candidates are the agents that were last known to be live.
	holderByRack      map[string]string        // shares maps racks to holders; nil when they are to be divided anew.
	partitioner       *lease.Division          // division of the racks into parts.
	partitionsChecked time.Time                // compared is when the division was last compared with the tasks.

	planner         *placement.Planner
	emptyPlanners   map[string]*placement.Planner // others are empty models of the other data centres.
	health          *health
	workers         map[string]*workerState
	orphanCheckDue  []string // fresh hosts have a new lease and are not searched for orphans yet.
	attempts        map[request.Identity]*attempt
	memberByTask    map[string]taskMember
	settlements     map[request.Identity]settlement
	delayed         map[request.Identity]delayed
	startedAt       time.Time
	barrierSent     time.Time         // synced is when the last barrier that was folded was sent; zero before the first.
	guarantees      guarantee.Verdict // guarantees says which guarantees of the deployment have no place.
	nextClosing     time.Time         // nextClose is when the next organisation closes; zero when none will.
	reportedVerdict string            // reported is the last verdict that this term has seen; empty before the first one.
	stepDue         bool              // dirty is set when something happened on which a step may follow.
	placing         bool              // placing is set once the workers are known well enough to place jobs.
	draining        bool
}

// workerState is what the term knows of a worker.
type workerState struct {
	worker            worker.Worker
	leased            bool
	holder            string // holder is the agent that is to hold the lease.
	generation        int64  // generation of that assignment.
	session           lease.SessionID
	epoch             int64
	incarnation       int64
	earlierLeaseUntil time.Time                    // heldUntil is how long an earlier holder of this term may have the lease.
	reportedLost      bool                         // lapsing workers are reported lost by their present holder.
	reporting         bool                         // reporting is set while a report of the worker waits to be folded.
	lost              bool                         // lost workers were silent for longer than a lease lasts.
	leasedSince       time.Time                    // upSince is when the lease was acquired.
	renewalSent       time.Time                    // renewed is when the last answered renewal was sent.
	reportReceived    time.Time                    // received is when the last report arrived.
	reportCovers      time.Duration                // completeFor is how far back that report is complete.
	silent            bool                         // silent workers did not answer a call and have not answered since.
	silentSince       time.Time                    // silentSince is when the last unanswered call ended.
	lastAnswer        time.Time                    // heard is a time at which the worker answered.
	probing           bool                         // probing is set while a probe is in progress.
	unconfirmed       map[string]unconfirmedMember // leftovers by the name of their task.
	tasks             map[string]worker.Task
	reserved          map[request.Identity]worker.Resources // reserved by attempts of this term.
	schedulable       bool                                  // open says whether the planner may use the worker.

	fullUntil time.Time // crowdedUntil is when the worker may get new tasks after one did not fit.
}

type taskMember struct {
	attempt *attempt
	member  int
}

// delayed is a job that is not offered to the planner yet.
type delayed struct {
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
		partitioner:     lease.NewDivision(s.options.WorkersPerHolder),
		routes:          map[string]*workerRoute{},
		planner:         placement.New(s.options.Policy, s.options.Planner),
		emptyPlanners:   map[string]*placement.Planner{},
		health:          newHealth(s.options.Health),
		workers:         map[string]*workerState{},
		attempts:        map[request.Identity]*attempt{},
		memberByTask:    map[string]taskMember{},
		settlements:     map[request.Identity]settlement{},
		delayed:         map[request.Identity]delayed{},
		startedAt:       time.Now(),
	}
	accelerators := 0
	for _, w := range s.options.Workers {
		t.addWorker(w)
		accelerators += w.Capacity.Accelerators
	}
	t.planner.SetFleet(accelerators)
	t.planner.SetInterval(t.timing.DecisionInterval)
	return t
}

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

// post queues an event for the loop.
func (t *term) post(ctx context.Context, event func(t *term)) {
	t.postQuiet(ctx, func(t *term) {
		event(t)
		t.stepDue = true
	})
}

// postQuiet queues an event that itself says whether a step may follow. Most
// reports of workers bring nothing new.
func (t *term) postQuiet(ctx context.Context, event func(t *term)) {
	select {
	case t.events <- event:
	case <-ctx.Done():
	}
}

// call runs an event in the loop and waits for it. It reports whether the event
// has run.
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

// run is the loop. It does work for what has changed, and decides at least once
// per tick.
func (t *term) run(ctx context.Context, stop <-chan struct{}) error {
	tick := time.NewTicker(t.timing.DecisionInterval)
	defer tick.Stop()
	var drained <-chan time.Time
	for {
		changed := t.journal.Watch()
		t.reconcile()
		if t.stepDue {
			t.stepDue = false
			t.assignHolders()
			t.loseExpired()
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
			t.drainEvents()
		case <-changed:
		case <-tick.C:
			t.stepDue = true
		}
	}
}

// drainEvents handles what has queued up before the next decision.
func (t *term) drainEvents() {
	for range cap(t.events) {
		select {
		case event := <-t.events:
			event(t)
		default:
			return
		}
	}
}

// step takes the steps that time and events allow.
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
	t.offerDelayed(now)
	t.updateSchedulable(now)
	t.reportWorkers()
	t.auditShortfalls()
	t.decide(now)
	t.probeForUrgent(now)
}

func (t *term) auditTakeover() {
	s := t.summary()
	t.audit("takeover", t.options.DataCentre, "the duty came to this process in "+t.options.Region,
		fmt.Sprintf("%d of %d workers leased, %d jobs adopted, %d claims open", s.LeasedWorkers, len(t.workers), s.ActiveAttempts, len(t.settlements)))
}

// ready reports whether the workers are known well enough to place jobs.
func (t *term) ready() bool {
	if time.Since(t.startedAt) > t.timing.StartupGrace {
		return true
	}
	for _, h := range t.workers {
		if !h.leased && !h.lost {
			return false
		}
	}
	return true
}

// countStarting counts the attempts whose members are not all released yet.
func (t *term) countStarting() int {
	count := 0
	for _, a := range t.attempts {
		if !a.startDone {
			count++
		}
	}
	return count
}

// runBarriers appends a read barrier whenever one is wanted. Once it is folded, the
// journal has all that was appended before.
func (t *term) runBarriers(ctx context.Context) error {
	t.requestBarrier()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.barrierRequests:
		}
		sent := time.Now()
		if err := t.record(ctx, journal.Barrier{}); err != nil {
			return err
		}
		t.post(ctx, func(t *term) { t.barrierSent = sent })
	}
}

func (t *term) requestBarrier() {
	select {
	case t.barrierRequests <- struct{}{}:
	default:
	}
}

// record appends until the record is folded or ctx ends. A record that was not
// appended has no effect and may be written anew.
func (t *term) record(ctx context.Context, r journal.Record) error {
	_, err := t.appendRecord(ctx, r)
	return err
}

func (t *term) appendRecord(ctx context.Context, r journal.Record) (journal.Verdict, error) {
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

func (t *term) observeUsage(usage []worker.Usage, now time.Time) {
	for _, u := range usage {
		if m, ok := t.memberByTask[u.Task]; ok {
			t.planner.ObserveUsage(m.attempt.job.Identity, m.member, u.Used, now.Add(-u.Age))
		}
	}
}

// audit queues an entry of the audit trail.
func (t *term) audit(action, subject, reason, after string) {
	t.writer.Audit(journal.Audit{
		Actor: t.options.Holder, Action: action, Subject: subject, Reason: reason, After: after,
	})
	_ = t.options.Logger.Log("event", action, "subject", subject, "reason", reason, "after", after)
}

func taskName(id request.Identity, attempt, member int) string {
	return job.TaskID{Job: id, Attempt: attempt, Member: member}.String()
}

// parseTask undoes taskName. The ID of a job may contain slashes.
func parseTask(name string) (job.TaskID, error) {
	parts := strings.Split(name, "/")
	if len(parts) < 4 {
		return job.TaskID{}, fmt.Errorf("task %q is not of this system", name)
	}
	last := len(parts) - 1
	attempt, errAttempt := strconv.Atoi(parts[last-1])
	member, errMember := strconv.Atoi(parts[last])
	if errAttempt != nil || errMember != nil {
		return job.TaskID{}, fmt.Errorf("task %q is not of this system", name)
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
