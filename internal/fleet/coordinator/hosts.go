package coordinator

import (
	"net/netip"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
)

const (
	// silentTime is how long a minion may be silent before it gets no new work.
	silentTime = 1500 * time.Millisecond
	// slowClock is by how much the clock of a minion may be slow.
	slowClock = 0.02
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
	pacing       pacing
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
		if len(h.runs) > 0 || at-max(h.contact, h.found, t.begun) < t.settings().SilentHostRetention {
			continue
		}
		if h.session != nil {
			h.session.Stop()
		}
		_ = level.Info(t.logger).Log("event", "host forgotten", "host", name, "last-contact", ago(max(h.contact, h.found)))
		delete(t.hosts, name)
		records = append(records, ledger.Tombstone(ledger.MemberKind, name))
	}
	t.drop(records)
}

// ago formats how long ago a time was by the clock of now.
func ago(at time.Duration) time.Duration { return (now() - at).Round(time.Millisecond) }

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
