package coordinator

import (
	"net/netip"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
)

const (
	// silenceTimeout is how long a host is silent, at least, before its runs are
	// given up because their leases have expired. It gets no new work after
	// renewalWait more, because the reply to a renewal may take that long.
	silenceTimeout = 1500 * time.Millisecond
	// maxClockDrift is the fraction by which the clock of a minion may run
	// slow.
	maxClockDrift = 0.02
	// leaseExpiryMargin covers errors of time measurements on two hosts.
	leaseExpiryMargin = 300 * time.Millisecond
)

// maxLeaseDuration returns the longest time that a lease may last by the clock
// of this host. It allows for twice maxClockDrift.
func maxLeaseDuration(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(lease)*maxClockDrift*2) + leaseExpiryMargin
}

// hostState is a host with its agent and its minion.
type hostState struct {
	name         string
	address      netip.AddrPort
	dataCentre   string    // dataCentre is that of the agent; empty when the host is known from tasks only.
	started      time.Time // started is the start time of the agent process, which tells its restarts apart.
	client       host.Client
	session      *group.Group  // session runs the renewals; nil when the host is known from tasks only.
	sessionStart time.Duration // sessionStart is when the session began.

	minion               host.Minion // minion is how the minion last described itself; its ID is empty before the first time.
	silent               bool        // silent is set while calls fail.
	gone                 bool        // gone is set while no minion answers at its address.
	evacuated            bool        // evacuated is set while the data centre of the agent or the minion is among the evacuated ones.
	lastContact          time.Duration
	minionClock          time.Duration // minionClock is the minion's clock at lastContact or before.
	leaseExpiry          time.Duration // leaseExpiry is when every lease that this or a former term granted has certainly expired.
	acknowledgedSequence int64         // acknowledgedSequence is the sequence number of the last ended run whose outcome is durable in the ledger.
	handledSequence      int64         // handledSequence is the sequence number of the last ended run that was handled.
	suspended            bool          // suspended is set while the next record of the leases says that this term renews none on the host; see takeLeases.
	listed               bool          // listed is set while a record that says so may be the newest. No lease is renewed and no start is sent meanwhile.
	incarnationKnown     bool          // incarnationKnown is set while the incarnation in minion is the one that answers, as far as this term knows.
	runs                 map[runKey]*run
	used                 workload.Resources // used is what runs need together.
	texts                hostTexts
	lateStarts           map[runKey]*lateStart     // lateStarts holds the released runs with a try of their start that may still be carried out.
	unexpected           map[runKey]*unexpectedRun // unexpected holds the reported runs that the term did not expect until they have ended.
	health               health
	throttle             throttle
	paceLoggedAt         time.Duration // paceLoggedAt is when a change of the pace class was last logged; 0 before.
	endedRunsDurable     chan struct{} // endedRunsDurable signals that further ended runs are durable; it has capacity 1.
}

// hostTexts is what is derived of the description of a minion, with that of which it is.
type hostTexts struct {
	id          string
	startedAt   time.Time
	names       []string
	incarnation string
	labels      collection.Set[string]
}

// derived returns what is derived of the description of the minion. It changes with it.
func (h *hostState) derived() *hostTexts {
	d, m := &h.texts, &h.minion
	if d.labels == nil || d.id != m.ID || !d.startedAt.Equal(m.StartedAt) || !slices.Equal(d.names, m.Labels) {
		*d = hostTexts{m.ID, m.StartedAt, slices.Clone(m.Labels), m.Incarnation(), collection.NewSet(m.Labels...)}
	}
	return d
}

// incarnation returns the incarnation of the minion as it last described itself.
func (h *hostState) incarnation() string { return h.derived().incarnation }

// labels returns the labels of the minion. The set must not be modified.
func (h *hostState) labels() collection.Set[string] { return h.derived().labels }

// unexpectedRun is a run that this term has not started or has given up.
type unexpectedRun struct {
	need         workload.Resources
	missingSince time.Duration // missingSince is when the run was first missing from a status report; 0 while it is listed.
	stopInFlight bool          // stopInFlight is set while a stop is in flight.
	nextStopAt   time.Duration // nextStopAt is when it may be stopped again; 0 before the first reply to a stop.
}

// host returns the host with a name, which it adds if it is unknown.
func (t *term) host(name string) *hostState {
	h := t.hosts[name]
	if h == nil {
		h = &hostState{name: name, runs: make(map[runKey]*run), lateStarts: make(map[runKey]*lateStart), unexpected: make(map[runKey]*unexpectedRun), endedRunsDurable: make(chan struct{}, 1)}
		t.hosts[name] = h
	}
	return h
}

// readMembers starts a session with each agent that is new or has been
// restarted.
func (t *term) readMembers() {
	at := now()
	if t.membersReadAt != 0 && at-t.membersReadAt < memberReadInterval {
		return
	}
	t.membersReadAt = at
	t.removeSilentHosts(at)
	for name, m := range t.state.Members(ledger.AgentRole) {
		h := t.host(name)
		if h.address == m.Address && h.started.Equal(m.Started) {
			continue
		}
		if h.session != nil {
			h.session.Stop()
		}
		_ = level.Info(t.logger).Log("event", "agent found", "host", name, "address", m.Address, "data-centre", m.DataCentre)
		h.address, h.dataCentre, h.started, h.client = m.Address, m.DataCentre, m.Started, t.dial(m.Address)
		h.evacuated = t.evacuations.include(h)
		h.sessionStart = at
		h.session = group.New(t.group.Context())
		t.startSession(h, h.client, h.session)
	}
}

// removeSilentHosts removes hosts without runs that have not answered for
// SilentHostRetention, and their member records. A live agent announces itself
// again.
func (t *term) removeSilentHosts(at time.Duration) {
	var records []ledger.Record
	for name, h := range t.hosts {
		if len(h.runs) > 0 || h.listed || at-max(h.lastContact, h.sessionStart, t.begunAt) < t.settings().SilentHostRetention {
			continue
		}
		if h.session != nil {
			h.session.Stop()
		}
		_ = level.Info(t.logger).Log("event", "silent host removed", "host", name, "last-contact", ago(max(h.lastContact, h.sessionStart)))
		delete(t.hosts, name)
		records = append(records, ledger.Tombstone(ledger.MemberKind, name))
	}
	t.removeRecords(records)
}

// ago returns how long ago a time was by the clock of now, rounded for log
// lines.
func ago(at time.Duration) time.Duration { return (now() - at).Round(time.Millisecond) }

// contactAge returns how long ago the host last answered, for log lines.
func (h *hostState) contactAge() any {
	if h.lastContact == 0 {
		return "never"
	}
	return ago(h.lastContact)
}

// expireLeases gives up the runs on hosts whose leases have certainly expired, and lets
// those on silent hosts expire. It looks at the hosts only once one of these times may
// have come: they only become later, except on a host that gets a run or answers again.
func (t *term) expireLeases() {
	at := now()
	if at < t.nextExpiryAt {
		return
	}
	t.nextExpiryAt = allocation.Never
	for _, h := range t.hosts {
		if len(h.runs) == 0 {
			continue
		}
		if silentAt := h.lastContact + suspendAfter; !h.suspended && at >= silentAt {
			t.suspendRenewals(h)
		} else if !h.suspended {
			t.nextExpiryAt = min(t.nextExpiryAt, silentAt)
		}
		if expiry := max(h.leaseExpiry+1, h.lastContact+silenceTimeout); at < expiry {
			t.nextExpiryAt = min(t.nextExpiryAt, expiry)
			continue
		}
		t.nextExpiryAt = 0
		if lost := t.loseRunsOn(h, "the lease has expired"); lost > 0 {
			_ = level.Warn(t.logger).Log("event", "leases lapsed", "host", h.name, "minion", h.incarnation(), "last-contact", h.contactAge(), "runs", lost)
		}
	}
}

// loseRunsOn gives up the runs on a host on which everything has ended, and returns
// their number. A run whose start may still reach the next incarnation of the minion
// is kept, to be stopped there first. A draining minion does not start again.
func (t *term) loseRunsOn(h *hostState, reason string) int {
	at, lost := now(), 0
	for _, r := range runsOf(h) {
		if r.tries.sent > 0 && r.tries.mayReachNext(at) && !h.minion.Draining {
			t.stopAttempt(r.attempt, "its start may still reach the next incarnation; "+reason)
			continue
		}
		t.loseRun(r, reason)
		lost++
	}
	return lost
}

// acceptsWork reports whether new runs may be placed on a host.
func (h *hostState) acceptsWork(at time.Duration) bool {
	return h.incarnationKnown && !h.gone && !h.silent && !h.minion.Draining && !h.evacuated && at-h.lastContact < renewalWait+silenceTimeout && !h.health.quarantined(at)
}

// minionClockNow returns a time that the minion's clock has certainly reached.
func (h *hostState) minionClockNow() time.Duration {
	return h.minionClock + time.Duration(float64(now()-h.lastContact)*(1-maxClockDrift))
}
