// Package hostagent is the agent on the host of a minion. It receives the
// minion's heartbeats and forwards the coordinator's calls, because no other
// process can reach the minion. It has no persistent state.
package hostagent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/base/limitedlog"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/run/metrics"
)

// Agent forwards calls to a minion and adds the minion's last heartbeat to its
// status reports. It implements host.Client and is safe for concurrent use.
type Agent struct {
	minion        host.Client     // minion receives starts, stops and throttles.
	sessions      *sessionManager // sessions receives lease renewals.
	logger        log.Logger
	odd           *limitedlog.Logger            // odd logs rows that can't be read.
	calls         map[string]metrics.Counter    // calls counts calls by their name in the minion's API.
	failures      map[string]metrics.Counter    // failures counts failed calls, keyed as calls.
	unanswered    map[string]metrics.Counter    // unanswered counts calls without an answer, keyed as calls.
	durations     map[string]*metrics.Histogram // durations holds the time of calls at the minion, keyed as calls.
	drainRefusals metrics.Counter               // drainRefusals counts starts that were refused without a call because the minion drains.
	runs          *runWatch
	contact       *contactLog

	mu           sync.Mutex
	states       minionStates
	knownRuns    knownRuns
	stateChanged chan struct{} // stateChanged is closed and replaced when states has a new incarnation, or another draining state or capacity of one.
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
		minion: minion, sessions: &sessionManager{connect: connect, logger: logger}, logger: logger, odd: limitedlog.New(logger), stateChanged: make(chan struct{}),
		calls: make(map[string]metrics.Counter), failures: make(map[string]metrics.Counter), unanswered: make(map[string]metrics.Counter),
		durations:     make(map[string]*metrics.Histogram),
		drainRefusals: r.Counter("agent-starts-refused-draining", "calls", "Calls to start that were refused without a call of the minion because it drains."),
		knownRuns:     knownRuns{agentStarted: time.Now()},
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

// SetMaxLease sets the longest lease that a renewal grants. It must be called before
// any other method.
func (a *Agent) SetMaxLease(d time.Duration) { a.knownRuns.maxLease = d }

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

// Heartbeat receives the state of an incarnation of the minion. It ignores
// heartbeats with a lower sequence number than the newest one of the incarnation.
func (a *Agent) Heartbeat(m host.Minion, sequence int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed, newest := a.states.update(m, sequence, time.Now())
	if sequence < newest {
		_ = level.Info(a.logger).Log("event", "stale heartbeat ignored", "minion", m.Incarnation(), "sequence", sequence, "newest-sequence", newest)
		return
	}
	if !changed {
		return
	}
	_ = level.Info(a.logger).Log("event", "minion state changed", "minion", m.Incarnation(), "draining", m.Draining,
		"remaining", m.Remaining, "sequence", sequence)
	a.notifyChange()
}

// Deregister marks the minion with an id as draining with no time left. It ignores
// an unknown id.
func (a *Agent) Deregister(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = level.Info(a.logger).Log("event", "minion deregistered", "minion", id)
	if a.states.deregister(id) {
		a.notifyChange()
	}
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
	if err := a.completeReport(&status, begin); err != nil {
		return host.StatusReport{}, err
	}
	if status.Unreadable.Ends > 0 && !hasNewEnds(status, r.AcknowledgedSequence) {
		a.delayReply(ctx, changed, begin.Add(min(r.Wait, unreadableEndDelay)))
	}
	a.addLastState(&status)
	a.runs.observe(status)
	return status, nil
}

// unreadableEndDelay is how long the reply to a renewal takes at least while the
// minion reports an end that can't be acknowledged, because such a minion does not
// wait.
const unreadableEndDelay = 250 * time.Millisecond

// hasNewEnds reports whether a status report has an ended run above a sequence
// number.
func hasNewEnds(status host.StatusReport, acknowledged int64) bool {
	return slices.ContainsFunc(status.EndedRuns, func(e host.EndedRun) bool { return e.Sequence > acknowledged })
}

// delayReply waits until a time, until the state of the minion changes or until ctx
// ends.
func (a *Agent) delayReply(ctx context.Context, changed <-chan struct{}, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
	}
}

// completeReport adds the known runs to a status report with unreadable rows, which
// was requested at begin. Without them, the coordinator would take the lack of a run
// for its end. It fails if the agent does not know the runs of the incarnation.
func (a *Agent) completeReport(status *host.StatusReport, begin time.Time) error {
	if status.Gone {
		return nil
	}
	if status.Unreadable != (host.Unreadable{}) {
		a.odd.Warn("event", "unreadable rows in the status report", "runs", status.Unreadable.Runs, "ends", status.Unreadable.Ends, "reason", status.Unreadable.Err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.knownRuns.update(status, begin, time.Now())
}

// addLastState adds the state of the last heartbeat to a status report of the same
// incarnation. The status report of another incarnation keeps only its start time.
func (a *Agent) addLastState(status *host.StatusReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if status.Gone {
		return
	}
	if last := a.states.startedAt(status.Minion.StartedAt); last != nil {
		status.Minion = last.minion
		status.Minion.Remaining = max(0, last.minion.Remaining-time.Since(last.at))
	}
}

// knownState is the state of the minion in its newest heartbeat.
type knownState struct {
	minion host.Minion
	age    time.Duration // age is the time since the heartbeat; 0 before the first.
}

// knownState returns the state of an incarnation or, if that has sent no heartbeat,
// of the one that has sent the latest.
func (a *Agent) knownState(incarnation string) knownState {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.states.find(incarnation)
	if known == nil {
		return knownState{}
	}
	return knownState{known.minion, time.Since(known.at)}
}

// Start implements host.Client. It refuses a start without a call if the minion
// drains, or if the incarnation for which it is meant has ended: the next one would
// carry it out, because a minion checks only its id. So no start is carried out
// after a status report has shown the end of its incarnation. A refusal tells
// nothing about former starts of the run.
func (a *Agent) Start(ctx context.Context, r host.StartRequest) error {
	a.recordContact(r.Token)
	known := a.knownState(r.Incarnation)
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
	if err == nil {
		a.mu.Lock()
		a.knownRuns.start(host.Run{Task: r.Task, Number: r.Number, Checkpoint: r.Checkpoint}, time.Now())
		a.mu.Unlock()
	}
	a.logCall(ctx, c, known, true, time.Since(begin), err, "unanswered-before", unanswered)
	return err
}

// Stop implements host.Client.
func (a *Agent) Stop(ctx context.Context, r host.StopRequest) error {
	a.recordContact(r.Token)
	known := a.knownState(r.Incarnation)
	begin := time.Now()
	err := a.minion.Stop(ctx, r)
	a.recordCall("stop", begin, err)
	if err == nil {
		a.mu.Lock()
		a.knownRuns.stop(runKey{r.Task, r.Number}, time.Now())
		a.mu.Unlock()
	}
	a.logCall(ctx, runCall{"stop", runKey{r.Task, r.Number}, r.Token, r.Incarnation}, known, true, time.Since(begin), err)
	return err
}

// Throttle implements host.Client.
func (a *Agent) Throttle(ctx context.Context, r host.ThrottleRequest) error {
	a.recordContact(r.Token)
	known := a.knownState(r.Incarnation)
	begin := time.Now()
	err := a.minion.Throttle(ctx, r)
	a.recordCall("pace", begin, err)
	a.logCall(ctx, runCall{"pace", runKey{r.Task, r.Number}, r.Token, r.Incarnation}, known, true, time.Since(begin), err, "percent", r.SpeedPercent)
	return err
}
