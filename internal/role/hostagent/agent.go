// Package hostagent is the agent on the host of a minion. It receives the
// minion's heartbeats and forwards the coordinator's calls, because no other
// process can reach the minion. It has no persistent state.
package hostagent

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/run/metrics"
)

// Agent forwards calls to a minion and adds the minion's last heartbeat to its
// status reports. It implements host.Client and is safe for concurrent use.
type Agent struct {
	minion    host.Client // minion receives starts, stops and throttles.
	sessions  *sessions   // sessions receives lease renewals.
	logger    log.Logger
	calls     map[string]metrics.Counter    // calls counts the calls of each kind.
	failures  map[string]metrics.Counter    // failures counts the failed calls of each kind.
	durations map[string]*metrics.Histogram // durations holds the time of each kind of call at the minion.

	mu          sync.Mutex
	report      host.Minion // report is from the newest heartbeat; its ID is empty before the first.
	sequence    int64       // sequence is the number of the newest heartbeat of the incarnation.
	reportedAt  time.Time
	changed     chan struct{} // changed is closed and replaced at a change of the report that concerns the coordinator.
	lastContact time.Time     // lastContact is the time of the last call of a coordinator.
	token       int64         // token is the highest fencing token that a coordinator has used.
}

var _ host.Client = (*Agent)(nil)

// New returns the agent of a minion. Starts, stops and throttles use minion, and
// lease renewals use a connection from connect for each incarnation.
func New(minion host.Client, connect Connect, r *metrics.Registry, logger log.Logger) *Agent {
	a := &Agent{
		minion: minion, sessions: &sessions{connect: connect, logger: logger}, logger: logger, changed: make(chan struct{}),
		calls: make(map[string]metrics.Counter), failures: make(map[string]metrics.Counter), durations: make(map[string]*metrics.Histogram),
	}
	for _, call := range []string{"hold", "start", "stop", "pace"} {
		a.calls[call] = r.Counter("agent-"+call+"-calls", "calls", "Calls to "+call+" that were passed on to the minion.")
		a.failures[call] = r.Counter("agent-"+call+"-failures", "calls", "Calls to "+call+" that the minion refused or did not answer.")
		a.durations[call] = r.Histogram("agent-"+call+"-time", "Time of a call to "+call+" at the minion; hold waits for changes.")
	}
	return a
}

// recordCall counts a forwarded call that began at a time.
func (a *Agent) recordCall(call string, begin time.Time, err error) {
	a.calls[call].Add(1)
	if err != nil {
		a.failures[call].Add(1)
	}
	a.durations[call].Record(time.Since(begin))
}

// Heartbeat receives the state of the minion. Heartbeats of a former incarnation
// and those with a lower sequence number than the newest are ignored.
func (a *Agent) Heartbeat(m host.Minion, sequence int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	same := a.report.ID == m.ID && a.report.StartedAt.Equal(m.StartedAt)
	if m.StartedAt.Before(a.report.StartedAt) || (same && sequence < a.sequence) {
		_ = level.Info(a.logger).Log("event", "stale heartbeat ignored", "minion", m.Incarnation(), "sequence", sequence,
			"newest", a.report.Incarnation(), "newest-sequence", a.sequence)
		return
	}
	changed := !same || a.report.Draining != m.Draining || a.report.Capacity != m.Capacity
	a.report, a.sequence, a.reportedAt = m, sequence, time.Now()
	if !changed {
		return
	}
	_ = level.Info(a.logger).Log("event", "minion reported", "minion", m.Incarnation(), "draining", m.Draining,
		"remaining", m.Remaining, "sequence", sequence)
	a.notifyChange()
}

// Deregister marks the minion as draining with no time left.
func (a *Agent) Deregister(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = level.Info(a.logger).Log("event", "minion deregistered", "minion", id)
	if a.report.ID != id {
		return
	}
	a.report.Draining, a.report.Remaining = true, 0
	a.notifyChange()
}

// notifyChange ends the waits of renewals. The caller holds mu.
func (a *Agent) notifyChange() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// LastContact returns the time of the last call of a coordinator.
func (a *Agent) LastContact() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastContact
}

// recordContact records a call of the coordinator and returns a channel that is
// closed at the next change of the report.
func (a *Agent) recordContact(token int64) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastContact = time.Now()
	if token > a.token {
		_ = level.Info(a.logger).Log("event", "coordinator called", "token", token, "former", a.token)
		a.token = token
	}
	return a.changed
}

// RenewLease implements host.Client. A change of the report ends the wait: the
// call to the minion is then cancelled and, if it fails, repeated without a wait.
func (a *Agent) RenewLease(ctx context.Context, r host.RenewLeaseRequest) (host.StatusReport, error) {
	changed := a.recordContact(r.Token)
	begin := time.Now()
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := group.New(waitCtx)
	g.Go("watch report", func(ctx context.Context) error {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	status, err := a.sessions.RenewLease(waitCtx, r)
	interrupted := waitCtx.Err() != nil && ctx.Err() == nil
	g.Stop()
	if waitErr := g.Wait(); waitErr != nil {
		return host.StatusReport{}, waitErr
	}
	if err != nil && interrupted {
		r.Wait = 0
		status, err = a.sessions.RenewLease(ctx, r)
	}
	a.recordCall("hold", begin, err)
	if err != nil {
		return host.StatusReport{}, err
	}
	a.addReport(&status)
	return status, nil
}

// addReport adds the last heartbeat to a status report of the same incarnation.
// The status report of another incarnation has only its start time.
func (a *Agent) addReport(status *host.StatusReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if status.Gone || !status.Minion.StartedAt.Equal(a.report.StartedAt) {
		return
	}
	status.Minion = a.report
	status.Minion.Remaining = max(0, a.report.Remaining-time.Since(a.reportedAt))
}

// Start implements host.Client. It returns host.ErrDraining for a minion that
// drains.
func (a *Agent) Start(ctx context.Context, r host.StartRequest) error {
	a.recordContact(r.Token)
	a.mu.Lock()
	draining := a.report.Draining && a.report.Incarnation() == r.Incarnation
	a.mu.Unlock()
	if draining {
		_ = level.Info(a.logger).Log("event", "start refused", "job", r.Task.Job, "task", r.Task, "run", r.Number, "reason", host.ErrDraining)
		return host.ErrDraining
	}
	begin := time.Now()
	err := a.minion.Start(ctx, r)
	a.recordCall("start", begin, err)
	_ = level.Info(a.logger).Log("event", "start", "job", r.Task.Job, "task", r.Task, "run", r.Number, "token", r.Token, "outcome", outcome(err))
	return err
}

// Stop implements host.Client.
func (a *Agent) Stop(ctx context.Context, r host.StopRequest) error {
	a.recordContact(r.Token)
	begin := time.Now()
	err := a.minion.Stop(ctx, r)
	a.recordCall("stop", begin, err)
	_ = level.Info(a.logger).Log("event", "stop", "job", r.Task.Job, "task", r.Task, "run", r.Number, "token", r.Token, "outcome", outcome(err))
	return err
}

// Throttle implements host.Client.
func (a *Agent) Throttle(ctx context.Context, r host.ThrottleRequest) error {
	a.recordContact(r.Token)
	begin := time.Now()
	err := a.minion.Throttle(ctx, r)
	a.recordCall("pace", begin, err)
	_ = level.Info(a.logger).Log("event", "pace", "job", r.Task.Job, "task", r.Task, "run", r.Number, "token", r.Token, "percent", r.SpeedPercent, "outcome", outcome(err))
	return err
}

func outcome(err error) any {
	if err == nil {
		return "done"
	}
	return err
}
