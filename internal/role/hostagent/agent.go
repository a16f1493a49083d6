// Package hostagent runs beside a minion. It takes the minion's heartbeats and
// passes the coordinator's calls on, as the only process that reaches the
// minion. It keeps nothing that has to last.
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

// Agent adds what a minion reports of itself to the listings of the minion. It
// implements host.Client and is safe for concurrent use.
type Agent struct {
	minion   host.Client // minion takes starts and stops.
	sessions *sessions   // sessions takes renewals.
	logger   log.Logger
	calls    map[string]metrics.Counter    // calls counts by the kind of call.
	fails    map[string]metrics.Counter    // fails counts calls without success by their kind.
	times    map[string]*metrics.Histogram // times holds how long calls took at the minion.

	mu          sync.Mutex
	report      host.Minion // report is the newest one; its ID is empty before the first.
	sequence    int64       // sequence is that of the newest report of the incarnation.
	reportedAt  time.Time
	changed     chan struct{} // changed is closed at the next change that matters to the coordinator and then replaced.
	lastContact time.Time     // lastContact is when a coordinator last called.
	token       int64         // token is the highest one that a coordinator has used.
}

var _ host.Client = (*Agent)(nil)

// New returns the agent of a minion.
func New(minion host.Client, connect Connect, r *metrics.Registry, logger log.Logger) *Agent {
	a := &Agent{
		minion: minion, sessions: &sessions{connect: connect, logger: logger}, logger: logger, changed: make(chan struct{}),
		calls: make(map[string]metrics.Counter), fails: make(map[string]metrics.Counter), times: make(map[string]*metrics.Histogram),
	}
	for _, call := range []string{"hold", "start", "stop", "pace"} {
		a.calls[call] = r.Counter("agent-"+call+"-calls", "calls", "Calls to "+call+" that were passed on to the minion.")
		a.fails[call] = r.Counter("agent-"+call+"-failures", "calls", "Calls to "+call+" that the minion refused or did not answer.")
		a.times[call] = r.Histogram("agent-"+call+"-time", "Time of a call to "+call+" at the minion; hold waits for changes.")
	}
	return a
}

// count notes a call that was passed on at a time.
func (a *Agent) count(call string, begin time.Time, err error) {
	a.calls[call].Add(1)
	if err != nil {
		a.fails[call].Add(1)
	}
	a.times[call].Record(time.Since(begin))
}

// Heartbeat takes a report of the minion. Reports of a former incarnation and
// reports that were overtaken are passed over.
func (a *Agent) Heartbeat(m host.Minion, sequence int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	same := a.report.ID == m.ID && a.report.StartedAt.Equal(m.StartedAt)
	if m.StartedAt.Before(a.report.StartedAt) || (same && sequence < a.sequence) {
		_ = level.Info(a.logger).Log("event", "heartbeat passed over", "minion", m.Incarnation(), "sequence", sequence,
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
	a.signal()
}

// Deregister takes the end of a minion that has left.
func (a *Agent) Deregister(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = level.Info(a.logger).Log("event", "minion deregistered", "minion", id)
	if a.report.ID != id {
		return
	}
	a.report.Draining, a.report.Remaining = true, 0
	a.signal()
}

func (a *Agent) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// LastContact returns when a coordinator last called.
func (a *Agent) LastContact() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastContact
}

// contact notes a call and returns the signal of the next change.
func (a *Agent) contact(token int64) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastContact = time.Now()
	if token > a.token {
		_ = level.Info(a.logger).Log("event", "coordinator called", "token", token, "former", a.token)
		a.token = token
	}
	return a.changed
}

// RenewLease implements host.Client. A change of the report ends the wait.
func (a *Agent) RenewLease(ctx context.Context, r host.RenewLeaseRequest) (host.StatusReport, error) {
	changed := a.contact(r.Token)
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
	listing, err := a.sessions.Hold(waitCtx, r)
	interrupted := waitCtx.Err() != nil && ctx.Err() == nil
	g.Stop()
	if waitErr := g.Wait(); waitErr != nil {
		return host.StatusReport{}, waitErr
	}
	if err != nil && interrupted {
		r.Wait = 0
		listing, err = a.sessions.Hold(ctx, r)
	}
	a.count("hold", begin, err)
	if err != nil {
		return host.StatusReport{}, err
	}
	a.complete(&listing)
	return listing, nil
}

// complete adds the report to a listing of the same incarnation. A listing of
// another one only says when that was born.
func (a *Agent) complete(listing *host.StatusReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if listing.Gone || !listing.Minion.StartedAt.Equal(a.report.StartedAt) {
		return
	}
	listing.Minion = a.report
	listing.Minion.Remaining = max(0, a.report.Remaining-time.Since(a.reportedAt))
}

// Start implements host.Client. Nothing starts on a minion that is leaving.
func (a *Agent) Start(ctx context.Context, r host.StartRequest) error {
	a.contact(r.Token)
	a.mu.Lock()
	draining := a.report.Draining && a.report.Incarnation() == r.Incarnation
	a.mu.Unlock()
	if draining {
		_ = level.Info(a.logger).Log("event", "start refused", "job", r.Task.Job, "task", r.Task, "run", r.Number, "reason", host.ErrDraining)
		return host.ErrDraining
	}
	begin := time.Now()
	err := a.minion.Start(ctx, r)
	a.count("start", begin, err)
	_ = level.Info(a.logger).Log("event", "start", "job", r.Task.Job, "task", r.Task, "run", r.Number, "token", r.Token, "outcome", outcome(err))
	return err
}

// Stop implements host.Client.
func (a *Agent) Stop(ctx context.Context, r host.StopRequest) error {
	a.contact(r.Token)
	begin := time.Now()
	err := a.minion.Stop(ctx, r)
	a.count("stop", begin, err)
	_ = level.Info(a.logger).Log("event", "stop", "job", r.Task.Job, "task", r.Task, "run", r.Number, "token", r.Token, "outcome", outcome(err))
	return err
}

// Throttle implements host.Client.
func (a *Agent) Throttle(ctx context.Context, r host.ThrottleRequest) error {
	a.contact(r.Token)
	begin := time.Now()
	err := a.minion.Throttle(ctx, r)
	a.count("pace", begin, err)
	_ = level.Info(a.logger).Log("event", "pace", "job", r.Task.Job, "task", r.Task, "run", r.Number, "token", r.Token, "percent", r.SpeedPercent, "outcome", outcome(err))
	return err
}

func outcome(err error) any {
	if err == nil {
		return "done"
	}
	return err
}
