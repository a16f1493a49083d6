package coordinator

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
)

const (
	// holdWait is how long a renewal may wait for a change at the minion.
	holdWait = time.Second
	// holdPause follows a failed renewal.
	holdPause = 150 * time.Millisecond
	// settleWait bounds how long the next renewal waits until the ends in the
	// last listing are durable, because the minion lists them again at once.
	settleWait = 400 * time.Millisecond
	// farPause follows a failed renewal of a host that has been silent for
	// farSilence.
	farPause   = time.Second
	farSilence = 10 * time.Second
	// silentTime is how long a minion may be silent before it gets no new work.
	silentTime = 1500 * time.Millisecond
	// slowClock is by how much the clock of a minion may be slow.
	slowClock = 0.02
	// stopMargin is added to the time that a stop may take.
	stopMargin = 200 * time.Millisecond
	// lapseMargin covers what measuring times on two hosts may be off.
	lapseMargin = 300 * time.Millisecond
)

// lapseTime returns the longest time that a lease lasts by the clock of this
// host.
func lapseTime(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*slowClock*2) + lapseMargin
}

// hostState is a host with its agent and its minion.
type hostState struct {
	name    string
	address netip.AddrPort
	started time.Time // started tells the lives of the agent apart.
	client  host.Client
	session *group.Group  // session runs the renewals; nil when the host is known from tasks only.
	found   time.Duration // found is when the session began.

	minion       host.Minion // minion is the newest report; its ID is empty before the first.
	silent       bool        // silent is set while calls fail.
	gone         bool        // gone is set while no minion answers at its address.
	contact      time.Duration
	clock        time.Duration // clock is the minion's clock at contact or before.
	lapse        time.Duration // lapse is when every lease that this or a former term gave has certainly ended.
	acknowledged int64         // acknowledged is the last end that is durable.
	seen         int64         // seen is the last end that was handled.
	listed       bool          // listed is set once the incarnation was listed in this term.
	runs         map[runKey]*run
	strays       map[runKey]workload.Resources // strays are runs that the term did not expect.
	health       health
	wake         chan struct{} // wake has room for one signal that ends are durable.
}

func (t *term) host(name string) *hostState {
	h := t.hosts[name]
	if h == nil {
		h = &hostState{name: name, runs: make(map[runKey]*run), strays: make(map[runKey]workload.Resources), wake: make(chan struct{}, 1)}
		t.hosts[name] = h
	}
	return h
}

// readMembers starts a session with each agent that is new or was started anew.
func (t *term) readMembers() {
	at := now()
	if t.members != 0 && at-t.members < memberInterval {
		return
	}
	t.members = at
	t.forgetHosts(at)
	for name, m := range t.state.Members(ledger.AgentRole) {
		h := t.host(name)
		if h.address == m.Address && h.started.Equal(m.Started) {
			continue
		}
		if h.session != nil {
			h.session.Stop()
		}
		_ = level.Info(t.logger).Log("event", "agent found", "host", name, "address", m.Address, "data-centre", m.DataCentre)
		h.address, h.started, h.client = m.Address, m.Started, t.dial(m.Address)
		h.found = at
		h.session = group.New(t.group.Context())
		t.startSession(h, h.client, h.session)
	}
}

// forgetHosts drops hosts that have not answered for long and hold nothing, with
// their member records. An agent that lives announces itself again.
func (t *term) forgetHosts(at time.Duration) {
	var records []ledger.Record
	for name, h := range t.hosts {
		if len(h.runs) > 0 || at-max(h.contact, h.found, t.begun) < t.settings().ForgetTime {
			continue
		}
		if h.session != nil {
			h.session.Stop()
		}
		_ = level.Info(t.logger).Log("event", "host forgotten", "host", name, "last-contact", ago(max(h.contact, h.found)))
		delete(t.hosts, name)
		records = append(records, ledger.Dropped(ledger.MemberKind, name))
	}
	t.drop(records)
}

func (t *term) startSession(h *hostState, client host.Client, session *group.Group) {
	session.Go("renewals", func(ctx context.Context) error {
		return t.renew(ctx, h, client)
	})
	t.group.Go("session of "+h.name, func(context.Context) error { return session.Wait() })
}

// renew renews the leases of a host and takes its listings until ctx ends.
func (t *term) renew(ctx context.Context, h *hostState, client host.Client) error {
	for ctx.Err() == nil {
		request, ok := t.prepareHold(ctx, h)
		if !ok {
			return nil
		}
		sent := now()
		listing, err := client.Hold(ctx, request)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, host.ErrFenced) {
			return errFenced
		}
		unsettled, recognised := false, false
		done := make(chan struct{})
		if !t.do(func() {
			defer close(done)
			if h.client != client {
				return
			}
			if err != nil {
				t.lostContact(h, err)
				return
			}
			unsettled = t.take(h, listing, sent)
			recognised = h.listed
		}) {
			return nil
		}
		select {
		case <-done:
		case <-ctx.Done():
			return nil
		}
		t.pauseRenewals(ctx, h, !recognised, unsettled)
	}
	return nil
}

func (t *term) pauseRenewals(ctx context.Context, h *hostState, failed, unsettled bool) {
	switch {
	case failed && now()-max(h.contact, h.found) > farSilence:
		_ = group.Pause(ctx, farPause)
	case failed:
		_ = group.Pause(ctx, holdPause)
	case unsettled:
		timer := time.NewTimer(settleWait)
		defer timer.Stop()
		select {
		case <-h.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// prepareHold builds the next renewal in the loop of the term. A term that has
// not been confirmed for a while looks, but renews nothing, so that the next
// term knows when the leases end.
func (t *term) prepareHold(ctx context.Context, h *hostState) (host.HoldRequest, bool) {
	reply := make(chan host.HoldRequest, 1)
	if !t.do(func() {
		r := host.HoldRequest{Token: t.token, Acknowledged: h.acknowledged, Wait: holdWait}
		if !h.listed || h.gone {
			r.Wait = 0
		}
		if h.listed {
			r.Incarnation = h.minion.Incarnation()
		}
		if h.listed && t.mayRenew() {
			r.Until = h.clock + t.settings().LongestLease
			h.lapse = max(h.lapse, h.contact+lapseTime(t.settings().LongestLease))
		}
		reply <- r
	}) {
		return host.HoldRequest{}, false
	}
	select {
	case r := <-reply:
		return r, true
	case <-ctx.Done():
		return host.HoldRequest{}, false
	}
}

func (t *term) mayRenew() bool { return now()-time.Duration(t.confirmed.Load()) < confirmTime }

func (t *term) lostContact(h *hostState, err error) {
	if errors.Is(err, host.ErrIncarnation) {
		h.listed = false // The next call takes whichever incarnation answers.
		return
	}
	if !h.silent {
		h.silent = true
		_ = level.Warn(t.logger).Log("event", "host silent", "host", h.name, "last-contact", ago(h.contact), "runs", len(h.runs), "reason", err)
	}
}

// ago formats how long ago a time was by the clock of now.
func ago(at time.Duration) time.Duration { return (now() - at).Round(time.Millisecond) }

// take works on a listing that was asked for at sent. It reports whether ends
// in it are not yet durable.
func (t *term) take(h *hostState, l host.Listing, sent time.Duration) bool {
	if h.silent {
		h.silent = false
		t.replan = true
		_ = level.Info(t.logger).Log("event", "host answers", "host", h.name)
	}
	h.contact = now()
	if l.Gone {
		t.takeGone(h)
		return false
	}
	if !t.recognise(h, l) {
		return false
	}
	h.clock = l.Clock
	for _, e := range l.Ends {
		if e.Sequence > h.seen {
			h.seen = e.Sequence
			t.takeEnd(h, e)
		}
	}
	t.takeRunning(h, l.Running)
	t.findMissing(h, l, sent)
	if h.seen > h.acknowledged {
		t.acknowledge(h)
		return true
	}
	return false
}

// takeGone works on the proof that no minion is there: nothing runs any more.
func (t *term) takeGone(h *hostState) {
	if !h.gone {
		h.gone = true
		_ = level.Warn(t.logger).Log("event", "minion gone", "host", h.name, "minion", h.minion.Incarnation(), "runs", len(h.runs))
	}
	t.loseAll(h, "the minion is gone")
	clear(h.strays)
	h.listed = false
}

// recognise finds out which incarnation a listing is of. When it is a new one,
// nothing of the former one runs. It reports false while the incarnation has
// not reported what it offers.
func (t *term) recognise(h *hostState, l host.Listing) bool {
	h.gone = false
	known := h.minion.ID != "" && h.minion.Born.Equal(l.Minion.Born)
	if l.Minion.ID == "" && !known {
		h.listed = false
		t.loseRunsBefore(h, l.Minion.Born)
		return false
	}
	if l.Minion.ID != "" {
		if !known || h.minion.Draining != l.Minion.Draining {
			_ = level.Info(t.logger).Log("event", "minion found", "host", h.name, "minion", l.Minion.Incarnation(), "rack", l.Minion.Rack,
				"accelerators", l.Minion.Capacity.Accelerators, "draining", l.Minion.Draining, "remaining", l.Minion.Remaining, "former", h.minion.Incarnation())
		}
		h.minion = l.Minion
		t.replan = t.replan || !known || !h.listed
	}
	if !known {
		h.seen, h.acknowledged = 0, 0
		h.health = health{}
		clear(h.strays)
		for _, r := range runsOf(h) {
			if r.minion != h.minion.Incarnation() {
				t.lose(r, "the minion was started anew")
			}
		}
	}
	h.listed = true
	return true
}

// loseRunsBefore gives up the runs of incarnations that were born before the
// one that answers.
func (t *term) loseRunsBefore(h *hostState, born time.Time) {
	if h.minion.ID == "" || !h.minion.Born.Before(born) {
		return
	}
	for _, r := range runsOf(h) {
		if r.minion == h.minion.Incarnation() {
			t.lose(r, "the minion was started anew")
		}
	}
}

// takeRunning notes the progress of runs, and stops those that nobody expects.
func (t *term) takeRunning(h *hostState, running []host.Run) {
	clear(h.strays)
	for _, l := range running {
		key := runKey{l.Task, l.Number}
		r := h.runs[key]
		if r == nil {
			t.takeStray(h, key)
			continue
		}
		if r.phase == adopted || r.phase == starting {
			t.started(r)
		}
		r.note(l)
		if r.attempt.stopping {
			t.sendStop(r)
		}
	}
}

// takeStray stops a run that this term has not given out or has given up.
func (t *term) takeStray(h *hostState, key runKey) {
	need := workload.Resources{}
	if j := t.jobs[key.task.Job]; j != nil && key.task.Step < len(j.job.Steps) {
		need = j.job.Steps[key.task.Step].Need
	}
	h.strays[key] = need
	_ = level.Warn(t.logger).Log("event", "run not expected", "job", key.task.Job, "task", key.task, "run", key.number, "host", h.name, "outcome", "stopped")
	request := host.StopRequest{Incarnation: h.minion.Incarnation(), Token: t.token, Task: key.task, Number: key.number}
	client := h.client
	t.group.Go("stop stray", func(ctx context.Context) error {
		if err := client.Stop(ctx, request); err != nil {
			_ = level.Warn(t.logger).Log("event", "stop failed", "job", key.task.Job, "task", key.task, "run", key.number, "reason", err)
		}
		return nil
	})
}

// findMissing gives up the runs that the minion has settled and does not list:
// an order for them was answered before the listing was asked for.
func (t *term) findMissing(h *hostState, l host.Listing, sent time.Duration) {
	listed := make(map[runKey]bool, len(l.Running)+len(l.Ends))
	for _, r := range l.Running {
		listed[runKey{r.Task, r.Number}] = true
	}
	for _, e := range l.Ends {
		listed[runKey{e.Task, e.Number}] = true
	}
	for _, r := range runsOf(h) {
		if t.settled(r, sent) && !listed[runKey{r.task, r.number}] {
			t.lose(r, "the minion does not list it")
		}
	}
}

// settled reports whether a run that a listing asked for at sent does not name
// has certainly ended or never began. A run that is being stopped is not listed
// until it has ended; an adopted one may have been stopped by a former term.
func (t *term) settled(r *run, sent time.Duration) bool {
	stopped := t.settings().TaskStopTime + stopMargin
	switch {
	case r.phase == adopted:
		return t.begun+stopped < sent
	case r.attempt.stopping:
		return r.answered != 0 && r.answered+stopped < sent
	default:
		return r.answered != 0 && r.answered < sent
	}
}

// acknowledge lets the minion forget ends as soon as they are durable.
func (t *term) acknowledge(h *hostState) {
	seen, incarnation := h.seen, h.minion.Incarnation()
	t.effects = append(t.effects, func() {
		if h.minion.Incarnation() != incarnation {
			return
		}
		h.acknowledged = max(h.acknowledged, seen)
		select {
		case h.wake <- struct{}{}:
		default:
		}
	})
}

// expireLeases gives up what ran on hosts whose leases have certainly ended.
func (t *term) expireLeases() {
	at := now()
	for _, h := range t.hosts {
		if len(h.runs) == 0 || at <= h.lapse || at-h.contact < silentTime {
			continue
		}
		_ = level.Warn(t.logger).Log("event", "leases lapsed", "host", h.name, "minion", h.minion.Incarnation(), "last-contact", ago(h.contact), "runs", len(h.runs))
		t.loseAll(h, "the lease has lapsed")
	}
}

func (t *term) loseAll(h *hostState, reason string) {
	for _, r := range runsOf(h) {
		t.lose(r, reason)
	}
}

// open reports whether a host takes new work.
func (h *hostState) open(at time.Duration) bool {
	return h.listed && !h.gone && !h.silent && !h.minion.Draining && at-h.contact < holdWait+silentTime && !h.health.quarantined(at)
}

// clockNow returns a time that the minion's clock has certainly reached.
func (h *hostState) clockNow() time.Duration {
	return h.clock + time.Duration(float64(now()-h.contact)*(1-slowClock))
}
