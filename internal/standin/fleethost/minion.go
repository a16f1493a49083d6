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

	// The following act on calls over connections only. Such a call hangs until
	// its caller gives up.
	Mute      float64 // Mute is the share of calls that are carried out without an answer.
	Late      float64 // Late is the share of orders that are carried out without an answer, half of LateBy to LateBy later.
	LateBy    time.Duration
	Unhealthy float64 // Unhealthy is the share of starts that are refused with host.ErrUnhealthy.
}

var errSilent = errors.New("no answer")

type runKey struct {
	task   workload.TaskID
	number int
}

type activeRun struct {
	*start
	work     Work
	pace     int       // pace is the percentage of its speed at which the run works.
	stopping time.Time // stopping is when the run will have stopped; zero while it runs.
}

// endedRun is an end that was not acknowledged.
type endedRun struct {
	host.EndedRun
	completion *completion // completion is nil unless the run has completed.
}

// Minion implements host.Client. It is safe for concurrent use.
type Minion struct {
	fleet  *Fleet
	report host.Minion

	mu     sync.Mutex
	faults Faults
	gone   bool // gone is set from the end of an incarnation to the start of the next one.
	leaves time.Time
	token  int64
	lease  time.Duration
	drift  float64 // drift is the fraction by which the clock runs slow.
	runs   map[runKey]*activeRun
	dead   map[workload.TaskID]int // dead holds the highest run that was stopped or has ended.
	ends   []endedRun
	count  int64
	late   []lateOrder
}

var _ host.Client = (*Minion)(nil)

// NewMinion returns a minion of the fleet.
func NewMinion(f *Fleet, report host.Minion) *Minion {
	report.StartedAt = time.Now().Round(time.Millisecond)
	return &Minion{fleet: f, report: report, runs: make(map[runKey]*activeRun), dead: make(map[workload.TaskID]int)}
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
	m.leave()
	m.begin()
}

// Leave ends everything that runs, and the incarnation. Nothing is answered
// until the next one begins.
func (m *Minion) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leave()
}

// Replace begins a new incarnation after Leave, which describes itself so.
func (m *Minion) Replace(report host.Minion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	report.StartedAt = m.report.StartedAt
	m.report = report
	m.begin()
}

func (m *Minion) leave() {
	for key, r := range m.runs {
		m.fleet.end(key.task, r.start, host.LeaseExpired, r.work)
	}
	m.loseEnds()
	m.runs, m.dead, m.ends, m.count, m.token, m.lease = make(map[runKey]*activeRun), make(map[workload.TaskID]int), nil, 0, 0, 0
	m.late, m.gone = nil, true
}

// begin starts the next incarnation. Its start time, which tells incarnations with the
// same id apart, differs from that of the former one by a millisecond at least.
func (m *Minion) begin() {
	m.gone, m.report.Draining = false, false
	now, next := time.Now().Round(time.Millisecond), m.report.StartedAt.Add(time.Millisecond)
	if now.Before(next) {
		now = next
	}
	m.report.StartedAt = now
}

// loseEnds notes that the ends may be lost: their tasks may run again.
func (m *Minion) loseEnds() {
	for _, e := range m.ends {
		m.fleet.settleCompletions([]*completion{e.completion}, false)
	}
}

// Drain makes the minion report that it is about to leave.
func (m *Minion) Drain(remaining time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.report.Draining, m.leaves = true, time.Now().Add(remaining)
}

// Report returns what the minion says of itself.
func (m *Minion) Report() host.Minion {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.describe()
}

func (m *Minion) describe() host.Minion {
	r := m.report
	if r.Draining {
		r.Remaining = max(0, time.Until(m.leaves))
	}
	return r
}

func (m *Minion) clock() time.Duration {
	return time.Duration(float64(time.Since(m.report.StartedAt)) * (1 - m.drift))
}

// SetDrift lets the clock of the minion run slow by a fraction. It is called
// before the minion is used.
func (m *Minion) SetDrift(drift float64) { m.drift = drift }

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

// settle carries out late orders and ends the runs whose time has come.
func (m *Minion) settle() {
	m.carryOutLate()
	lapsed := m.lease > 0 && m.clock() > m.lease
	if lapsed {
		m.loseEnds()
	}
	for key, r := range m.runs {
		switch {
		case lapsed:
			m.end(key, host.LeaseExpired)
		case !r.stopping.IsZero() && time.Now().After(r.stopping):
			m.end(key, host.Stopped)
		case !r.stopping.IsZero():
		case r.work.Gang > 0:
			m.settleMember(key, r)
		default:
			m.settleWork(key, r, r.at)
		}
	}
}

// settleMember ends a member of a gang with the others.
func (m *Minion) settleMember(key runKey, r *activeRun) {
	began, outcome, ended := m.fleet.gangRun(key.task, key.number, r.at)
	switch {
	case ended:
		m.end(key, outcome)
	case !began.IsZero():
		m.settleWork(key, r, began)
	}
}

// settleWork ends a run that has worked for long enough since a time.
func (m *Minion) settleWork(key runKey, r *activeRun, began time.Time) {
	switch {
	case m.faults.Stall || r.work.Lasting:
	case time.Since(began) > r.work.Duration && m.faults.FailAll:
		m.end(key, host.Crashed)
	case time.Since(began) > r.work.Duration:
		m.end(key, host.Completed)
	}
}

func (m *Minion) end(key runKey, outcome host.Outcome) {
	r := m.runs[key]
	delete(m.runs, key)
	m.dead[key.task] = max(m.dead[key.task], key.number)
	m.count++
	checkpoint := ""
	if outcome == host.Stopped {
		checkpoint = fmt.Sprintf("saved-%d", key.number)
	}
	e := host.EndedRun{Sequence: m.count, Task: key.task, Number: key.number, Outcome: outcome, Checkpoint: checkpoint}
	m.ends = append(m.ends, endedRun{e, m.fleet.end(key.task, r.start, outcome, r.work)})
}

func (m *Minion) used() workload.Resources {
	var sum workload.Resources
	for _, r := range m.runs {
		sum = sum.Add(r.work.Need)
	}
	return sum
}

// RenewLease implements host.Client. A call ends with the life that it has
// reached. As through an agent, it also ends its wait while the minion drains.
func (m *Minion) RenewLease(ctx context.Context, r host.RenewLeaseRequest) (host.StatusReport, error) {
	return m.holdUntil(ctx, m.Report().StartedAt, r, true)
}

func (m *Minion) holdUntil(ctx context.Context, born time.Time, r host.RenewLeaseRequest, untilDraining bool) (host.StatusReport, error) {
	deadline := time.Now().Add(r.Wait)
	for {
		l, err := m.hold(born, r)
		changed := len(l.EndedRuns) > 0 || untilDraining && l.Minion.Draining
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

func (m *Minion) hold(born time.Time, r host.RenewLeaseRequest) (host.StatusReport, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle() // Leases end whether the minion answers or not.
	if m.faults.Silent || m.gone || !born.Equal(m.report.StartedAt) {
		return host.StatusReport{}, errSilent
	}
	if r.Token < m.token {
		return host.StatusReport{}, host.ErrFenced
	}
	m.token = r.Token
	m.prolong(r.LeaseUntil)
	m.ends = slices.DeleteFunc(m.ends, func(e endedRun) bool {
		noted := e.Sequence <= r.AcknowledgedSequence
		if noted {
			m.fleet.settleCompletions([]*completion{e.completion}, true)
		}
		return noted
	})
	return m.listing(), nil
}

// prolong moves the end of the lease to a time on the minion's clock. A lease is
// never shortened.
func (m *Minion) prolong(until time.Duration) {
	if most := m.fleet.bounds(); most > 0 {
		until = min(until, m.clock()+most)
	}
	m.lease = max(m.lease, until)
}

// listing returns what runs and what has ended.
func (m *Minion) listing() host.StatusReport {
	l := host.StatusReport{Clock: m.clock(), Minion: m.describe()}
	for _, e := range m.ends {
		l.EndedRuns = append(l.EndedRuns, e.EndedRun)
	}
	for key, run := range m.runs {
		if run.stopping.IsZero() {
			percent := int(100 * time.Since(run.at) / max(1, run.work.Duration))
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
	return m.start(r, false)
}

// start begins a run. A late start is carried out some time after it was sent.
func (m *Minion) start(r host.StartRequest, late bool) error {
	m.settle()
	key := runKey{r.Task, r.Number}
	switch {
	case m.faults.Silent || m.gone:
		return errSilent
	case idOf(r.Incarnation) != m.report.ID:
		return host.ErrOtherIncarnation
	case r.Token < m.token:
		return host.ErrFenced
	}
	m.token = r.Token
	work := m.fleet.workOf(r.Task)
	step := workload.StepID{Job: r.Task.Job, Occurrence: r.Task.Occurrence, Step: r.Task.Step}
	switch {
	case m.dead[r.Task] >= r.Number:
		m.prolong(r.StartDeadline)
		return host.ErrRunEnded
	case m.clock() > r.StartDeadline:
		return host.ErrStartTooLate
	case m.runs[key] != nil:
		m.prolong(r.StartDeadline)
		return nil
	case work.Ticketed && r.Ticket != Ticket(m.report.ID, step):
		return host.ErrInvalidTicket
	}
	m.prolong(r.StartDeadline)
	m.checkPlacement(r.Task, work)
	s := &start{number: r.Number, minion: m.report.Incarnation(), at: time.Now(), late: late}
	m.runs[key] = &activeRun{start: s, work: work, pace: fullPace}
	m.fleet.begin(r.Task, s, work)
	if m.faults.LoseStarts > 0 {
		m.faults.LoseStarts--
		return errSilent
	}
	return nil
}

// checkPlacement notes a task that must not start here.
func (m *Minion) checkPlacement(t workload.TaskID, work Work) {
	if !m.report.Capacity.Sub(m.used()).Fits(work.Need) {
		m.fleet.find("%s does not fit on %s", t, m.report.ID)
	}
	if work.Label != "" && !slices.Contains(m.report.Labels, work.Label) {
		m.fleet.find("%s started on %s, which lacks label %s", t, m.report.ID, work.Label)
	}
	same := 1
	for key := range m.runs {
		if key.task.Job == t.Job && key.task.Occurrence == t.Occurrence && key.task.Step == t.Step {
			same++
		}
	}
	if work.Spread > 0 && same > work.Spread {
		m.fleet.find("%s started on %s as number %d of its step", t, m.report.ID, same)
	}
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
	case m.faults.Silent || m.gone:
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
	m.settle()
	switch {
	case m.faults.Silent || m.gone:
		return errSilent
	case r.Token < m.token:
		return host.ErrFenced
	}
	m.token = r.Token
	m.dead[r.Task] = max(m.dead[r.Task], r.Number)
	if run := m.runs[runKey{r.Task, r.Number}]; run != nil && run.stopping.IsZero() {
		run.stopping = time.Now().Add(m.fleet.stopTime)
	}
	return nil
}
