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
	minion        host.Client     // minion receives starts, stops and throttles.
	sessions      *sessionManager // sessions receives lease renewals.
	logger        log.Logger
	calls         map[string]metrics.Counter    // calls counts calls by their name in the minion's API.
	failures      map[string]metrics.Counter    // failures counts failed calls, keyed as calls.
	unanswered    map[string]metrics.Counter    // unanswered counts calls without an answer, keyed as calls.
	durations     map[string]*metrics.Histogram // durations holds the time of calls at the minion, keyed as calls.
	drainRefusals metrics.Counter               // drainRefusals counts starts that were refused without a call because the minion drains.
	runs          *runWatch
	contact       *contactLog

	mu           sync.Mutex
	lastState    host.Minion // lastState is from the newest heartbeat, or draining after a deregistration; its ID is empty before the first heartbeat.
	sequence     int64       // sequence is the sequence number of the newest heartbeat of the incarnation.
	lastStateAt  time.Time
	stateChanged chan struct{} // stateChanged is closed and replaced when lastState has another incarnation, draining state or capacity.
	lastContact  time.Time     // lastContact is the time of the last call of a coordinator; zero before the first.
	token        int64         // token is the highest fencing token of a call. It is only logged; the minion checks tokens.
}

var _ host.Client = (*Agent)(nil)

// longSilence is a time without a call of a coordinator that is logged. A renewal
// that is not answered takes up to 2.2 s, and the next one follows after 0.15 s.
const longSilence = 2500 * time.Millisecond

// New returns the agent of a minion. Starts, stops and throttles use minion, and
// lease renewals use a connection from connect for each incarnation. The metrics
// of forwarded calls are registered in r. They use the names of the minion's API:
// hold is a lease renewal, and pace is a throttle.
func New(minion host.Client, connect Connect, r *metrics.Registry, logger log.Logger) *Agent {
	a := &Agent{
		minion: minion, sessions: &sessionManager{connect: connect, logger: logger}, logger: logger, stateChanged: make(chan struct{}),
		calls: make(map[string]metrics.Counter), failures: make(map[string]metrics.Counter), unanswered: make(map[string]metrics.Counter),
		durations:     make(map[string]*metrics.Histogram),
		drainRefusals: r.Counter("agent-starts-refused-draining", "calls", "Calls to start that were refused without a call of the minion because it drains."),
		runs:          newRunWatch(r, logger), contact: &contactLog{logger: logger},
	}
	for _, call := range []string{"hold", "start", "stop", "pace"} {
		a.calls[call] = r.Counter("agent-"+call+"-calls", "calls", "Calls to "+call+" that were passed on to the minion.")
		a.failures[call] = r.Counter("agent-"+call+"-failures", "calls", "Calls to "+call+" that the minion refused or did not answer.")
		a.unanswered[call] = r.Counter("agent-"+call+"-unanswered", "calls", "Calls to "+call+" that the minion did not answer.")
		a.durations[call] = r.Histogram("agent-"+call+"-time", "Time of a call to "+call+" at the minion; hold waits for changes.")
	}
	return a
}

// recordCall records the metrics of a forwarded call that began at begin.
func (a *Agent) recordCall(call string, begin time.Time, err error) {
	a.calls[call].Add(1)
	if err != nil {
		a.failures[call].Add(1)
		if !host.IsRefusal(err) {
			a.unanswered[call].Add(1)
		}
	}
	a.durations[call].Record(time.Since(begin))
}

// Heartbeat receives the state of the minion. It ignores heartbeats of a former
// incarnation, and those of the same incarnation with a lower sequence number
// than the newest.
func (a *Agent) Heartbeat(m host.Minion, sequence int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sameIncarnation := a.lastState.ID == m.ID && a.lastState.StartedAt.Equal(m.StartedAt)
	if m.StartedAt.Before(a.lastState.StartedAt) || (sameIncarnation && sequence < a.sequence) {
		_ = level.Info(a.logger).Log("event", "stale heartbeat ignored", "minion", m.Incarnation(), "sequence", sequence,
			"newest", a.lastState.Incarnation(), "newest-sequence", a.sequence)
		return
	}
	changed := !sameIncarnation || a.lastState.Draining != m.Draining || a.lastState.Capacity != m.Capacity
	a.lastState, a.sequence, a.lastStateAt = m, sequence, time.Now()
	if !changed {
		return
	}
	_ = level.Info(a.logger).Log("event", "minion state changed", "minion", m.Incarnation(), "draining", m.Draining,
		"remaining", m.Remaining, "sequence", sequence)
	a.notifyChange()
}

// Deregister marks the minion as draining with no time left. It ignores the id of
// another minion.
func (a *Agent) Deregister(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = level.Info(a.logger).Log("event", "minion deregistered", "minion", id)
	if a.lastState.ID != id {
		return
	}
	a.lastState.Draining, a.lastState.Remaining = true, 0
	a.notifyChange()
}

// notifyChange ends the waits of renewals. The caller holds mu.
func (a *Agent) notifyChange() {
	close(a.stateChanged)
	a.stateChanged = make(chan struct{})
}

// LastContact returns the time of the last call of a coordinator, or the zero time
// before the first call.
func (a *Agent) LastContact() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastContact
}

// recordContact records a call of the coordinator and returns stateChanged, which
// is closed at the next change.
func (a *Agent) recordContact(token int64) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := time.Now()
	if gap := at.Sub(a.lastContact); !a.lastContact.IsZero() && gap > longSilence {
		_ = level.Info(a.logger).Log("event", "calls resumed", "token", token, "former", a.token, "last-call", gap.Round(time.Millisecond))
	}
	a.lastContact = at
	if token > a.token {
		_ = level.Info(a.logger).Log("event", "call with a higher fencing token", "token", token, "former", a.token)
		a.token = token
	}
	return a.stateChanged
}

// RenewLease implements host.Client. If the state of the minion changes during the
// wait, the call to the minion is cancelled and, if it fails, repeated without a
// wait, so that the coordinator learns of the change at once.
func (a *Agent) RenewLease(ctx context.Context, r host.RenewLeaseRequest) (host.StatusReport, error) {
	changed := a.recordContact(r.Token)
	begin := time.Now()
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := group.New(waitCtx)
	g.Go("watch for a state change", func(ctx context.Context) error {
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
	if ctx.Err() == nil {
		a.contact.observe(status, err)
	}
	if err != nil {
		return host.StatusReport{}, err
	}
	a.addLastState(&status)
	a.runs.observe(status)
	return status, nil
}

// addLastState adds the state of the last heartbeat to a status report of the same
// incarnation. The status report of another incarnation keeps only its start time.
func (a *Agent) addLastState(status *host.StatusReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if status.Gone || !status.Minion.StartedAt.Equal(a.lastState.StartedAt) {
		return
	}
	status.Minion = a.lastState
	status.Minion.Remaining = max(0, a.lastState.Remaining-time.Since(a.lastStateAt))
}

// knownState is the state of the minion in its newest heartbeat.
type knownState struct {
	minion host.Minion
	age    time.Duration // age is the time since the heartbeat; 0 before the first.
}

func (a *Agent) knownState() knownState {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastState.ID == "" {
		return knownState{}
	}
	return knownState{a.lastState, time.Since(a.lastStateAt)}
}

// Start implements host.Client. It refuses a start without a call if the minion
// drains, or if the start was under way while the minion was restarted: the minion
// checks only its id. A refusal tells nothing about former starts of the run.
func (a *Agent) Start(ctx context.Context, r host.StartRequest) error {
	a.recordContact(r.Token)
	known := a.knownState()
	c := runCall{"start", runKey{r.Task, r.Number}, r.Token, r.Incarnation}
	unanswered := a.runs.unanswered(c.key)
	var refusal error
	switch {
	case a.sessions.isFormer(r.Incarnation):
		refusal = host.ErrOtherIncarnation
	case known.minion.Draining && known.minion.Incarnation() == r.Incarnation:
		a.drainRefusals.Add(1)
		refusal = host.ErrDraining
	}
	if refusal != nil {
		a.logCall(ctx, c, known, false, 0, refusal, "unanswered-before", unanswered)
		return refusal
	}
	begin := time.Now()
	a.runs.startSent(c.key, r.Incarnation)
	err := a.minion.Start(ctx, r)
	a.runs.startReturned(c.key, err)
	a.recordCall("start", begin, err)
	a.logCall(ctx, c, known, true, time.Since(begin), err, "unanswered-before", unanswered)
	return err
}

// Stop implements host.Client.
func (a *Agent) Stop(ctx context.Context, r host.StopRequest) error {
	a.recordContact(r.Token)
	known := a.knownState()
	begin := time.Now()
	err := a.minion.Stop(ctx, r)
	a.recordCall("stop", begin, err)
	a.logCall(ctx, runCall{"stop", runKey{r.Task, r.Number}, r.Token, r.Incarnation}, known, true, time.Since(begin), err)
	return err
}

// Throttle implements host.Client.
func (a *Agent) Throttle(ctx context.Context, r host.ThrottleRequest) error {
	a.recordContact(r.Token)
	known := a.knownState()
	begin := time.Now()
	err := a.minion.Throttle(ctx, r)
	a.recordCall("pace", begin, err)
	a.logCall(ctx, runCall{"pace", runKey{r.Task, r.Number}, r.Token, r.Incarnation}, known, true, time.Since(begin), err, "percent", r.SpeedPercent)
	return err
}
