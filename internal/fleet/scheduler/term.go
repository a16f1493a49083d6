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
	limits Timing
	work   *group.Group
	events chan func(t *term)
	wanted chan struct{} // wanted asks for a read barrier.

	local      *lease.Table       // local holds the leases of this process.
	links      map[string]*link   // links by the name of the holder.
	seats      map[string]*seat   // seats by worker; the map does not change.
	candidates []string           // candidates are the agents that were last known to be live.
	shares     map[string]string  // shares maps racks to holders; nil when they are to be divided anew.
	division   *lease.Partitioner // division of the racks into parts.
	compared   time.Time          // compared is when the division was last compared with the tasks.

	planner    *placement.Planner
	others     map[string]*placement.Planner // others are empty models of the other data centres.
	health     *health
	hosts      map[string]*hostState
	fresh      []string // fresh hosts have a new lease and are not searched for orphans yet.
	active     map[request.Identity]*attempt
	byTask     map[string]memberOf
	settling   map[request.Identity]settlement
	delayed    map[request.Identity]delayed
	begun      time.Time
	synced     time.Time         // synced is when the last barrier that was folded was sent; zero before the first.
	guarantees guarantee.Verdict // guarantees says which guarantees of the deployment have no place.
	nextClose  time.Time         // nextClose is when the next organisation closes; zero when none will.
	reported   string            // reported is the last verdict that this term has seen; empty before the first one.
	dirty      bool              // dirty is set when something happened on which a step may follow.
	placing    bool              // placing is set once the workers are known well enough to place jobs.
	draining   bool
}

// hostState is what the term knows of a worker.
type hostState struct {
	worker      worker.Worker
	up          bool
	holder      string // holder is the agent that is to hold the lease.
	generation  int64  // generation of that assignment.
	heldBy      lease.SessionID
	epoch       int64
	incarnation int64
	heldUntil   time.Time           // heldUntil is how long an earlier holder of this term may have the lease.
	lapsing     bool                // lapsing workers are reported lost by their present holder.
	reporting   bool                // reporting is set while a report of the worker waits to be folded.
	lost        bool                // lost workers were silent for longer than a lease lasts.
	upSince     time.Time           // upSince is when the lease was acquired.
	renewed     time.Time           // renewed is when the last answered renewal was sent.
	received    time.Time           // received is when the last report arrived.
	completeFor time.Duration       // completeFor is how far back that report is complete.
	silent      bool                // silent workers did not answer a call and have not answered since.
	silentSince time.Time           // silentSince is when the last unanswered call ended.
	heard       time.Time           // heard is a time at which the worker answered.
	probing     bool                // probing is set while a probe is in progress.
	leftovers   map[string]leftover // leftovers by the name of their task.
	tasks       map[string]worker.Task
	reserved    map[request.Identity]worker.Resources // reserved by attempts of this term.
	open        bool                                  // open says whether the planner may use the worker.

	crowdedUntil time.Time // crowdedUntil is when the worker may get new tasks after one did not fit.
}

type memberOf struct {
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
		Scheduler: s,
		limits:    s.options.Timing,
		work:      work,
		events:    make(chan func(t *term), 64),
		wanted:    make(chan struct{}, 1),
		local:     lease.NewTable(),
		links:     map[string]*link{},
		division:  lease.NewPartitioner(s.options.WorkersPerHolder),
		seats:     map[string]*seat{},
		planner:   placement.New(s.options.Policy, s.options.Planner),
		others:    map[string]*placement.Planner{},
		health:    newHealth(s.options.Health),
		hosts:     map[string]*hostState{},
		active:    map[request.Identity]*attempt{},
		byTask:    map[string]memberOf{},
		settling:  map[request.Identity]settlement{},
		delayed:   map[request.Identity]delayed{},
		begun:     time.Now(),
	}
	accelerators := 0
	for _, w := range s.options.Workers {
		t.addWorker(w)
		accelerators += w.Capacity.Accelerators
	}
	t.planner.SetFleetAccelerators(accelerators)
	t.planner.SetDecisionInterval(t.limits.DecisionInterval)
	return t
}

func (t *term) addWorker(w worker.Worker) {
	if t.others[w.DataCentre] == nil {
		t.others[w.DataCentre] = placement.New(t.options.Policy, t.options.Planner)
	}
	t.others[w.DataCentre].AddWorker(w)
	if w.DataCentre != t.options.DataCentre {
		return
	}
	t.seats[w.Name] = &seat{worker: w}
	t.hosts[w.Name] = &hostState{
		worker:    w,
		tasks:     map[string]worker.Task{},
		reserved:  map[request.Identity]worker.Resources{},
		leftovers: map[string]leftover{},
	}
}

// post queues an event for the loop.
func (t *term) post(ctx context.Context, event func(t *term)) {
	t.postReport(ctx, func(t *term) {
		event(t)
		t.dirty = true
	})
}

// postReport queues an event that itself says whether a step may follow. Most
// reports of workers bring nothing new.
func (t *term) postReport(ctx context.Context, event func(t *term)) {
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
	tick := time.NewTicker(t.limits.DecisionInterval)
	defer tick.Stop()
	var drained <-chan time.Time
	for {
		changed := t.journal.Watch()
		t.fold()
		if t.dirty {
			t.dirty = false
			t.shareLeases()
			t.loseLapsed()
			t.advance()
		}
		if t.draining && t.starting() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stop:
			stop, t.draining = nil, true
			drained = time.After(t.limits.DrainTimeout)
		case <-drained:
			return nil
		case event := <-t.events:
			event(t)
			t.takeEvents()
		case <-changed:
		case <-tick.C:
			t.dirty = true
		}
	}
}

// takeEvents handles what has queued up before the next decision.
func (t *term) takeEvents() {
	for range cap(t.events) {
		select {
		case event := <-t.events:
			event(t)
		default:
			return
		}
	}
}

// advance takes the steps that time and events allow.
func (t *term) advance() {
	if t.synced.IsZero() {
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
	t.openWorkers(now)
	t.reportWorkers()
	t.reportShortfalls()
	t.decide(now)
	t.probeAwaited(now)
}

func (t *term) auditTakeover() {
	s := t.summary()
	t.audit("takeover", t.options.DataCentre, "the duty came to this process in "+t.options.Region,
		fmt.Sprintf("%d of %d workers leased, %d jobs adopted, %d claims open", s.LeasedWorkers, len(t.hosts), s.ActiveAttempts, len(t.settling)))
}

// ready reports whether the workers are known well enough to place jobs.
func (t *term) ready() bool {
	if time.Since(t.begun) > t.limits.StartupGrace {
		return true
	}
	for _, h := range t.hosts {
		if !h.up && !h.lost {
			return false
		}
	}
	return true
}

// starting counts the attempts whose members are not all released yet.
func (t *term) starting() int {
	count := 0
	for _, a := range t.active {
		if !a.watched {
			count++
		}
	}
	return count
}

// syncRun appends a read barrier whenever one is wanted. Once it is folded, the
// journal has all that was appended before.
func (t *term) syncRun(ctx context.Context) error {
	t.wantSync()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.wanted:
		}
		sent := time.Now()
		if err := t.record(ctx, journal.Barrier{}); err != nil {
			return err
		}
		t.post(ctx, func(t *term) { t.synced = sent })
	}
}

func (t *term) wantSync() {
	select {
	case t.wanted <- struct{}{}:
	default:
	}
}

// record appends until the record is folded or ctx ends. A record that was not
// appended has no effect and may be written anew.
func (t *term) record(ctx context.Context, r journal.Record) error {
	_, err := t.verdict(ctx, r)
	return err
}

func (t *term) verdict(ctx context.Context, r journal.Record) (journal.Verdict, error) {
	for {
		v, err := t.writer.Append(ctx, r)
		if err == nil {
			return v, nil
		}
		if ctx.Err() != nil {
			return v, ctx.Err()
		}
		sleep(ctx, t.limits.RetryDelay)
	}
}

func (t *term) observeUsage(usage []worker.Usage, now time.Time) {
	for _, u := range usage {
		if m, ok := t.byTask[u.Task]; ok {
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
