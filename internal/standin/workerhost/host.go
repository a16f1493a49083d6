// Package workerhost is a small stand-in for a worker of the platform. It
// keeps its tasks in memory, runs them for a given time and has switchable
// faults. It starts whatever it is given, whether it fits or not.
package workerhost

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"wasabihoist/internal/fleet/worker"
)

var (
	errStale   = errors.New("lease is not in force")
	errUnknown = errors.New("unknown task")
	errRefused = errors.New("start refused")
	errGone    = errors.New("the name was stopped before it was started")
)

// endedKept is how long ended tasks are listed.
const endedKept = time.Hour

// Faults are the failures that the stand-in can produce.
type Faults struct {
	FailTasks       bool // FailTasks makes every task fail at its release.
	RefuseStarts    bool
	Hang            bool          // Hang accepts calls and never answers them.
	Freeze          bool          // Freeze holds calls and carries them out when it is switched off.
	HoldStarts      bool          // HoldStarts does to starts what Freeze does to all calls.
	LoseAnswers     bool          // LoseAnswers closes the connection after the effect of a call on a task.
	CheckpointDelay time.Duration // CheckpointDelay is added to checkpoints; they hang when it is negative.
}

// Workload gives the true run time of a task, and whether it succeeds.
type Workload func(s worker.Spec) (time.Duration, bool)

// Interval is the history of one task: what ran and when. It is kept through
// a crash.
type Interval struct {
	Task     string
	Started  time.Time
	Released time.Time // Released is zero when the task was never released.
	Ended    time.Time // Ended is zero while the task is live.
	End      worker.TaskState
}

// task is one task with its timers.
type task struct {
	state     worker.Task
	spec      worker.Spec
	succeeds  bool
	left      time.Duration // left is the run time left at resumed.
	resumed   time.Time     // resumed is when the task last began to run; zero while it is paused.
	released  time.Time
	ended     time.Time
	position  int64 // position of the last change.
	timer     *time.Timer
	interval  *Interval
	tombstone bool // tombstone marks names that were stopped before they were started.
}

// Host is one worker.
type Host struct {
	capacity worker.Resources
	workload Workload

	mu          sync.Mutex
	faults      Faults
	crashed     bool
	thawed      chan struct{} // thawed is closed when Freeze or HoldStarts is switched off and then replaced.
	incarnation int64
	booted      time.Time
	lease       worker.Lease
	lapse       *time.Timer
	tasks       map[string]*task
	position    int64
	changed     chan struct{} // changed is closed at the next change and then replaced.
	history     []*Interval
}

// New returns a worker. A nil workload runs every task for its declared time
// and lets it succeed.
func New(capacity worker.Resources, workload Workload) *Host {
	if workload == nil {
		workload = func(s worker.Spec) (time.Duration, bool) { return s.RunTime, true }
	}
	h := &Host{capacity: capacity, workload: workload, thawed: make(chan struct{}), changed: make(chan struct{})}
	h.boot()
	return h
}

func (h *Host) boot() {
	h.booted = time.Now()
	h.incarnation = max(h.incarnation+1, h.booted.UnixNano())
	h.lease = worker.Lease{}
	h.tasks = map[string]*task{}
	h.position = 0
}

// SetFaults replaces the faults in force.
func (h *Host) SetFaults(f Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.faults.Freeze && !f.Freeze || h.faults.HoldStarts && !f.HoldStarts {
		close(h.thawed)
		h.thawed = make(chan struct{})
	}
	h.faults = f
}

// Crash ends all tasks, forgets them and closes connections until Restart.
func (h *Host) Crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.tasks {
		h.end(t, worker.Lapsed, "worker crashed")
	}
	h.crashed = true
	h.boot()
}

// Restart makes a crashed worker answer again.
func (h *Host) Restart() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashed = false
	h.booted = time.Now()
}

// History returns the intervals of all tasks in order of their start.
func (h *Host) History() []Interval {
	h.mu.Lock()
	defer h.mu.Unlock()
	history := make([]Interval, 0, len(h.history))
	for _, i := range h.history {
		history = append(history, *i)
	}
	return history
}

func (h *Host) changedNow() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *Host) touch(t *task) {
	h.position++
	t.position = h.position
	h.changedNow()
}

// acquire grants or renews the lease.
func (h *Host) acquire(l worker.Lease) error {
	current := h.lease
	if l.Epoch < current.Epoch || l.Epoch == current.Epoch && l.Holder != current.Holder {
		return errStale
	}
	h.lease = l
	if h.lapse != nil {
		h.lapse.Stop()
	}
	h.lapse = time.AfterFunc(l.TTL, func() { h.lapseLease(l) })
	return nil
}

// lapseLease ends the tasks unless the lease was superseded.
func (h *Host) lapseLease(l worker.Lease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease.Epoch != l.Epoch || h.lease.Holder != l.Holder {
		return
	}
	h.lease.TTL = 0 // A lapsed lease refuses calls until it is renewed.
	for _, t := range h.tasks {
		h.end(t, worker.Lapsed, "the lease lapsed")
	}
}

// holds reports whether the caller holds the lease in force.
func (h *Host) holds(holder string, epoch int64) bool {
	return h.lease.TTL > 0 && h.lease.Holder == holder && h.lease.Epoch == epoch
}

func (h *Host) start(s worker.Spec) (*task, error) {
	if known := h.tasks[s.Name]; known != nil {
		if known.tombstone {
			return nil, errGone
		}
		return known, nil
	}
	if h.faults.RefuseStarts {
		return nil, errRefused
	}
	t := &task{spec: s, interval: &Interval{Task: s.Name, Started: time.Now()}}
	t.left, t.succeeds = h.workload(s)
	t.state = worker.Task{Name: s.Name, State: worker.Held, Resources: s.Resources, Progress: s.Progress}
	h.tasks[s.Name] = t
	h.history = append(h.history, t.interval)
	h.touch(t)
	if !s.Held {
		h.resume(t)
		return t, nil
	}
	if s.StartDeadline > 0 {
		time.AfterFunc(s.StartDeadline, func() { h.expire(t) })
	}
	return t, nil
}

func (h *Host) expire(t *task) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.state.State == worker.Held && !t.state.Released {
		h.end(t, worker.Expired, "still held at the start deadline")
	}
}

func (h *Host) throttle(t *task, cores float64) {
	if !t.state.State.Live() {
		return
	}
	if cores == 0 {
		h.pause(t)
		return
	}
	h.resume(t)
}

// resume lets the task run. It fails at once when the worker fails everything
// or when the running tasks use more memory than there is.
func (h *Host) resume(t *task) {
	if !t.resumed.IsZero() {
		return
	}
	now := time.Now()
	if !t.state.Released {
		t.released, t.interval.Released = now, now
	}
	t.state.State, t.state.Released, t.state.Checkpointed = worker.Running, true, false
	t.resumed = now
	h.touch(t)
	if h.faults.FailTasks {
		h.end(t, worker.Failed, "the worker is broken")
		return
	}
	if h.memoryInUse() > h.capacity.Memory {
		h.end(t, worker.Failed, "out of memory")
		return
	}
	t.timer = time.AfterFunc(t.left, func() { h.finish(t) })
}

func (h *Host) memoryInUse() int64 {
	var sum int64
	for _, t := range h.tasks {
		if t.state.State == worker.Running {
			sum += t.spec.Resources.Memory
		}
	}
	return sum
}

func (h *Host) pause(t *task) {
	if t.resumed.IsZero() {
		return
	}
	t.timer.Stop()
	t.left -= time.Since(t.resumed)
	t.state.Progress += time.Since(t.resumed)
	t.resumed = time.Time{}
	t.state.State = worker.Held
	h.touch(t)
}

func (h *Host) finish(t *task) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.resumed.IsZero() || time.Since(t.resumed) < t.left {
		return
	}
	if t.succeeds {
		h.end(t, worker.Succeeded, "")
		return
	}
	h.end(t, worker.Failed, "the program failed")
}

// end ends a live task.
func (h *Host) end(t *task, state worker.TaskState, reason string) {
	if !t.state.State.Live() || t.tombstone {
		return
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	t.state.State, t.state.Reason = state, reason
	t.ended = time.Now()
	t.interval.Ended, t.interval.End = t.ended, state
	h.touch(t)
}

// stop ends the task, or keeps an unknown name from being started later.
func (h *Host) stop(name string) (*task, error) {
	t := h.tasks[name]
	if t == nil {
		t = &task{tombstone: true, ended: time.Now()}
		h.tasks[name] = t
	}
	if t.tombstone {
		return nil, errUnknown
	}
	h.end(t, worker.Stopped, "stopped by the holder")
	return t, nil
}

func (h *Host) checkpoint(t *task) {
	if t.state.State != worker.Running {
		return
	}
	h.pause(t)
	t.state.Checkpointed = true
	h.touch(t)
}

// report returns the tasks that changed after a position.
func (h *Host) report(after int64) worker.Report {
	h.forgetEnded()
	r := worker.Report{
		Incarnation: h.incarnation,
		CompleteFor: min(endedKept, time.Since(h.booted)),
		Next:        h.position,
	}
	for _, t := range h.tasks {
		if t.position > after && !t.tombstone {
			r.Tasks = append(r.Tasks, t.report())
		}
	}
	slices.SortFunc(r.Tasks, func(a, b worker.Task) int { return int(h.tasks[a.Name].position - h.tasks[b.Name].position) })
	return r
}

func (h *Host) forgetEnded() {
	for name, t := range h.tasks {
		if !t.ended.IsZero() && time.Since(t.ended) > endedKept {
			delete(h.tasks, name)
		}
	}
}

func (t *task) report() worker.Task {
	r := t.state
	if !t.released.IsZero() {
		until := t.ended
		if until.IsZero() {
			until = time.Now()
		}
		r.Ran = until.Sub(t.released)
	}
	return r
}

// usage reports what the running tasks use. Tasks use what they declare.
func (h *Host) usage() []worker.Usage {
	var usage []worker.Usage
	for name, t := range h.tasks {
		if age := time.Since(t.resumed); t.state.State == worker.Running && age > usageLag {
			usage = append(usage, worker.Usage{Task: name, Used: t.spec.Resources, Age: usageLag})
		}
	}
	return usage
}

// usageLag is the age of usage reports.
const usageLag = 5 * time.Second

// String names the worker by its capacity.
func (h *Host) String() string { return fmt.Sprintf("stand-in worker with %s", h.capacity) }
