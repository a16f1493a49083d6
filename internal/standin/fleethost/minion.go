// Package fleethost is a replacement of minions in memory. It runs tasks under
// leases, checks fencing tokens as a minion does, and notes what must never
// happen. Tests use it.
package fleethost

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
)

// Faults are what a minion does wrong.
type Faults struct {
	Silent     bool // Silent minions answer nothing.
	LoseStarts int  // LoseStarts is how many of the next starts are done without an answer.
	FailAll    bool // FailAll ends every run as failed.
	Stall      bool // Stall keeps runs from making progress.
}

var errSilent = errors.New("no answer")

// Work tells a fleet of minions how long the tasks of a step run and what each
// needs.
type Work struct {
	Duration time.Duration // Duration of a task; for a lasting one the time until it is at work.
	Need     workload.Resources
	Lasting  bool          // Lasting tasks do not end by themselves.
	Latency  time.Duration // Latency is the tail latency of a task that serves users, without others beside it; 0 for any other.
	Disturbs time.Duration // Disturbs is added to the latency of tasks on the same minion while the task works at full pace.
	Ticketed bool          // Ticketed tasks start only with the ticket that Ticket returns.
}

// Ticket returns the ticket for the starts of a step on a minion.
func Ticket(minion string, step workload.StepID) string { return minion + "/" + step.String() }

// Fleet holds what the minions of a test share.
type Fleet struct {
	work     map[string]Work // work is by JOB.STEP.
	stopTime time.Duration

	mu       sync.Mutex
	active   map[workload.TaskID]int
	finished map[workload.TaskID]bool
	known    map[workload.TaskID]bool // known holds finished tasks whose end was not lost with the minion.
	starts   map[workload.TaskID]int
	findings []string // findings are promises that were broken.
}

// NewFleet returns a fleet whose runs take stopTime to stop.
func NewFleet(stopTime time.Duration) *Fleet {
	return &Fleet{
		work: make(map[string]Work), stopTime: stopTime, active: make(map[workload.TaskID]int),
		finished: make(map[workload.TaskID]bool), known: make(map[workload.TaskID]bool), starts: make(map[workload.TaskID]int),
	}
}

// SetWork says what the tasks of a step are like.
func (f *Fleet) SetWork(job workload.ID, step int, w Work) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.work[fmt.Sprintf("%s.%d", job, step)] = w
}

// Findings returns the promises that were broken.
func (f *Fleet) Findings() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.findings)
}

// Starts returns how often a task was started.
func (f *Fleet) Starts(t workload.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[t]
}

// Finished reports whether a task has ended as completed.
func (f *Fleet) Finished(t workload.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finished[t]
}

func (f *Fleet) begin(t workload.TaskID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active[t]++
	f.starts[t]++
	if f.active[t] > 1 {
		f.findings = append(f.findings, fmt.Sprintf("%s runs twice", t))
	}
	if f.known[t] {
		f.findings = append(f.findings, fmt.Sprintf("%s runs again after it has finished", t))
	}
}

func (f *Fleet) end(t workload.TaskID, outcome host.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active[t]--
	if outcome == host.Completed {
		f.finished[t], f.known[t] = true, true
	}
}

// forget notes that an end was lost before anybody took note of it. The task
// may run again.
func (f *Fleet) forget(t workload.TaskID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.known, t)
}

func (f *Fleet) workOf(t workload.TaskID) Work {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.work[fmt.Sprintf("%s.%d", t.Job, t.Step)]
}

func (f *Fleet) find(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.findings = append(f.findings, fmt.Sprintf(format, args...))
}

type runKey struct {
	task   workload.TaskID
	number int
}

type activeRun struct {
	work     Work
	began    time.Time
	pace     int       // pace is the percentage of its speed at which the run works.
	stopping time.Time // stopping is when the run will have stopped; zero while it runs.
}

// Minion implements host.Client. It is safe for concurrent use.
type Minion struct {
	fleet  *Fleet
	report host.Minion

	mu     sync.Mutex
	faults Faults
	token  int64
	lease  time.Duration
	runs   map[runKey]*activeRun
	dead   map[runKey]bool // dead runs were stopped or have ended.
	ends   []host.EndedRun
	count  int64
}

var _ host.Client = (*Minion)(nil)

// life is a client of one life of a minion, as a connection is that ends with
// the minion's process.
type life struct {
	*Minion
	born time.Time
}

// IncarnationClient returns a client of the incarnation that started at a time.
func (m *Minion) IncarnationClient(born time.Time) host.Client { return life{m, born} }

// RenewLease implements host.Client.
func (l life) RenewLease(ctx context.Context, r host.RenewLeaseRequest) (host.StatusReport, error) {
	return l.holdUntil(ctx, l.born, r)
}

// Start implements host.Client.
func (l life) Start(_ context.Context, r host.StartRequest) error {
	return l.order(func() error { return l.start(r) })
}

// Stop implements host.Client.
func (l life) Stop(_ context.Context, r host.StopRequest) error {
	return l.order(func() error { return l.stop(r) })
}

// Throttle implements host.Client.
func (l life) Throttle(_ context.Context, r host.ThrottleRequest) error {
	return l.order(func() error { return l.setPace(r) })
}

// order carries an order out unless the life has ended.
func (l life) order(carry func() error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.born.Equal(l.report.StartedAt) {
		return errSilent
	}
	return carry()
}

// NewMinion returns a minion of the fleet.
func NewMinion(f *Fleet, report host.Minion) *Minion {
	report.StartedAt = time.Now().Round(time.Millisecond)
	return &Minion{fleet: f, report: report, runs: make(map[runKey]*activeRun), dead: make(map[runKey]bool)}
}

// SetFaults replaces the faults.
func (m *Minion) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Restart ends everything and begins a new incarnation under the same id.
func (m *Minion) Restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key := range m.runs {
		m.fleet.end(key.task, host.LeaseExpired)
	}
	for _, e := range m.ends {
		m.fleet.forget(e.Task)
	}
	m.runs, m.dead, m.ends, m.count, m.token, m.lease = make(map[runKey]*activeRun), make(map[runKey]bool), nil, 0, 0, 0
	m.report.StartedAt = time.Now().Round(time.Millisecond)
}

// Drain makes the minion report that it is about to leave.
func (m *Minion) Drain(remaining time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.report.Draining, m.report.Remaining = true, remaining
}

// Report returns what the minion says of itself.
func (m *Minion) Report() host.Minion {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.report
}

func (m *Minion) clock() time.Duration { return time.Since(m.report.StartedAt) }

// Look returns what a listing would say, without a call.
func (m *Minion) Look() host.StatusReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	return m.listing()
}

// End ends the run of a task as failed.
func (m *Minion) End(t workload.TaskID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key := range m.runs {
		if key.task == t {
			m.end(key, host.Crashed)
		}
	}
}

// Quicken makes all runs work at full pace, whatever they were told.
func (m *Minion) Quicken() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.runs {
		r.pace = fullPace
	}
}

// Settle ends the runs whose time has come. Without it they end when the minion
// is called next.
func (m *Minion) Settle() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
}

// settle ends the runs whose time has come.
func (m *Minion) settle() {
	lapsed := m.lease > 0 && m.clock() > m.lease
	for key, r := range m.runs {
		switch {
		case lapsed:
			m.end(key, host.LeaseExpired)
		case !r.stopping.IsZero() && time.Now().After(r.stopping):
			m.end(key, host.Stopped)
		case !r.stopping.IsZero() || m.faults.Stall || r.work.Lasting:
		case time.Since(r.began) > r.work.Duration && m.faults.FailAll:
			m.end(key, host.Crashed)
		case time.Since(r.began) > r.work.Duration:
			m.end(key, host.Completed)
		}
	}
}

func (m *Minion) end(key runKey, outcome host.Outcome) {
	delete(m.runs, key)
	m.dead[key] = true
	m.count++
	checkpoint := ""
	if outcome == host.Stopped {
		checkpoint = fmt.Sprintf("saved-%d", key.number)
	}
	m.ends = append(m.ends, host.EndedRun{Sequence: m.count, Task: key.task, Number: key.number, Outcome: outcome, Checkpoint: checkpoint})
	m.fleet.end(key.task, outcome)
}

func (m *Minion) used() workload.Resources {
	var sum workload.Resources
	for _, r := range m.runs {
		sum = sum.Add(r.work.Need)
	}
	return sum
}

// RenewLease implements host.Client. A call ends with the life that it has reached.
func (m *Minion) RenewLease(ctx context.Context, r host.RenewLeaseRequest) (host.StatusReport, error) {
	return m.holdUntil(ctx, m.Report().StartedAt, r)
}

func (m *Minion) holdUntil(ctx context.Context, born time.Time, r host.RenewLeaseRequest) (host.StatusReport, error) {
	deadline := time.Now().Add(r.Wait)
	for {
		l, changed, err := m.hold(born, r)
		if err != nil || changed || time.Now().After(deadline) {
			return l, err
		}
		select {
		case <-ctx.Done():
			return host.StatusReport{}, ctx.Err()
		case <-time.After(time.Millisecond):
		}
	}
}

func (m *Minion) hold(born time.Time, r host.RenewLeaseRequest) (host.StatusReport, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle() // Leases end whether the minion answers or not.
	if m.faults.Silent || !born.Equal(m.report.StartedAt) {
		return host.StatusReport{}, false, errSilent
	}
	if r.Token < m.token {
		return host.StatusReport{}, false, host.ErrFenced
	}
	m.token = r.Token
	m.lease = max(m.lease, r.LeaseUntil)
	m.ends = slices.DeleteFunc(m.ends, func(e host.EndedRun) bool { return e.Sequence <= r.AcknowledgedSequence })
	l := m.listing()
	return l, len(l.EndedRuns) > 0 || m.report.Draining, nil
}

// listing returns what runs and what has ended.
func (m *Minion) listing() host.StatusReport {
	l := host.StatusReport{Clock: m.clock(), Minion: m.report, EndedRuns: slices.Clone(m.ends)}
	for key, run := range m.runs {
		if run.stopping.IsZero() {
			percent := int(100 * time.Since(run.began) / max(1, run.work.Duration))
			if m.faults.Stall {
				percent = 0
			}
			l.Running = append(l.Running, host.Run{Task: key.task, Number: key.number, ProgressPercent: min(percent, 100), Load: m.load(run)})
		}
	}
	return l
}

// Start implements host.Client.
func (m *Minion) Start(_ context.Context, r host.StartRequest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.start(r)
}

func (m *Minion) start(r host.StartRequest) error {
	key := runKey{r.Task, r.Number}
	switch {
	case m.faults.Silent:
		return errSilent
	case r.Token < m.token:
		return host.ErrFenced
	case idOf(r.Incarnation) != m.report.ID:
		return host.ErrOtherIncarnation
	case m.dead[key]:
		return host.ErrRunEnded
	case m.clock() > r.StartDeadline:
		return host.ErrStartTooLate
	case m.runs[key] != nil:
		return nil
	}
	m.settle()
	work := m.fleet.workOf(r.Task)
	if step := (workload.StepID{Job: r.Task.Job, Occurrence: r.Task.Occurrence, Step: r.Task.Step}); work.Ticketed && r.Ticket != Ticket(m.report.ID, step) {
		return host.ErrInvalidTicket
	}
	m.token = r.Token
	m.lease = max(m.lease, r.StartDeadline)
	if !m.report.Capacity.Sub(m.used()).Fits(work.Need) {
		m.fleet.find("%s does not fit on %s", r.Task, m.report.ID)
	}
	m.runs[key] = &activeRun{work: work, began: time.Now(), pace: fullPace}
	m.fleet.begin(r.Task)
	if m.faults.LoseStarts > 0 {
		m.faults.LoseStarts--
		return errSilent
	}
	return nil
}

// fullPace is the percentage at which a run works when it starts.
const fullPace = 100

// load returns what a listing says of a run for the last half second.
func (m *Minion) load(run *activeRun) int {
	if run.work.Latency == 0 {
		return run.work.Need.MilliCores * run.pace / fullPace
	}
	latency := run.work.Latency
	for _, other := range m.runs {
		if other.stopping.IsZero() {
			latency += other.work.Disturbs * time.Duration(other.pace) / fullPace
		}
	}
	return int(latency.Milliseconds())
}

// Throttle implements host.Client.
func (m *Minion) Throttle(_ context.Context, r host.ThrottleRequest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.setPace(r)
}

func (m *Minion) setPace(r host.ThrottleRequest) error {
	switch run := m.runs[runKey{r.Task, r.Number}]; {
	case m.faults.Silent:
		return errSilent
	case r.Token < m.token:
		return host.ErrFenced
	case run != nil:
		run.pace = r.SpeedPercent
	}
	return nil
}

// idOf returns the id of the minion that an incarnation is of. Minions do not
// tell their lives apart in the calls they get.
func idOf(incarnation string) string {
	id, _, _ := strings.Cut(incarnation, "@")
	return id
}

// Stop implements host.Client.
func (m *Minion) Stop(_ context.Context, r host.StopRequest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stop(r)
}

func (m *Minion) stop(r host.StopRequest) error {
	switch {
	case m.faults.Silent:
		return errSilent
	case r.Token < m.token:
		return host.ErrFenced
	}
	m.token = r.Token
	key := runKey{r.Task, r.Number}
	m.dead[key] = true
	if run := m.runs[key]; run != nil && run.stopping.IsZero() {
		run.stopping = time.Now().Add(m.fleet.stopTime)
	}
	return nil
}
