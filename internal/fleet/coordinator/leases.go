package coordinator

import (
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/record/ledger"
)

const (
	// leasesDelay is how long the first record of the leases in a term, and one of
	// hosts that have become silent, waits for another append that takes it along.
	// Most hosts have answered a new term by then, so that they need not be named.
	leasesDelay = 300 * time.Millisecond
	// leasesInterval is the time between two records while hosts are named. A process
	// that starts meanwhile counts the time that is left from when it reads the newest.
	leasesInterval = time.Second
	// leasesShare bounds the share of time that repeated records take, so that others
	// get through to a slow store.
	leasesShare = 0.1
	// suspendAfter is how long a host with runs is silent before its leases are not
	// renewed without another record.
	suspendAfter = renewalWait + silenceTimeout
)

// formerTerms is what is known of the terms before one. Times are readings of now.
type formerTerms struct {
	begunAt time.Duration // begunAt is when the present term began.
	endedAt time.Duration // endedAt is when the last of them has sent its last renewal.
	// leasesAt is when this process had read the newest leases; nothing is known of them
	// if expiring is nil.
	leasesAt time.Duration
	expiring map[string]time.Duration // expiring is that of the newest leases.
}

// newFormerTerms returns what is known of the terms before one that begins at a time.
// endedBy is when the process that wrote the newest leases had certainly ended, 0 if it
// may go on. Terms after that one have renewed nothing and started nothing.
func newFormerTerms(l ledger.KnownLeases, endedBy, begunAt time.Duration) formerTerms {
	f := formerTerms{begunAt: begunAt, endedAt: begunAt + confirmationValidity}
	if l.ReadAt.IsZero() {
		return f
	}
	// The clock of l may stop while the host is suspended, so this is not too early.
	f.leasesAt, f.expiring = begunAt-time.Since(l.ReadAt), l.Expiring
	if endedBy != 0 {
		f.endedAt = min(endedBy, begunAt)
	}
	return f
}

// leaseExpiry returns when every lease that former terms have granted on a host has
// certainly expired, and the tries of their starts.
//
// It answers a series of leader changes beside hosts that are gone: a term renews no
// lease and sends no start where the newest record of the leases names the host, so the
// time does not start anew with each term. A host that the record does not name has
// answered the last term that has renewed any, and refuses the calls of those before it.
func (f formerTerms) leaseExpiry(host string, maxLease time.Duration) (time.Duration, startTries) {
	tries := formerTries(f.begunAt)
	until := max(f.endedAt+maxLeaseDuration(maxLease), tries.openUntil)
	if left, ok := f.expiring[host]; ok {
		until = min(f.leasesAt+left+time.Duration(float64(left)*maxClockDrift*2), f.begunAt+confirmationValidity+maxLeaseDuration(maxLease))
		tries.openUntil, tries.lateUntil = until, until
	}
	return until, tries
}

// candidateEndedBy returns when the process of a candidate had certainly ended; 0 if
// it may go on. own is the name of this process, which began to campaign at startedAt
// and leads no term, and entries holds the members that may lead.
func candidateEndedBy(candidate, own string, entries map[string]ledger.Member, startedAt, at time.Duration) time.Duration {
	name, _, ok := strings.Cut(candidate, startSeparator)
	ownName, _, _ := strings.Cut(own, startSeparator)
	m, known := entries[name]
	switch {
	case !ok:
		return 0
	case candidate == own:
		return at // It has ended its former terms.
	case name == ownName:
		return startedAt
	case known && startedLater(m, candidate):
		return at
	default:
		return 0
	}
}

// formerTerms returns what this process knows of the terms before one that begins at a
// time. It is nothing while an entry may be of a version whose terms record no leases.
func (c *Coordinator) formerTerms(begunAt time.Duration) formerTerms {
	entries := c.state.Members(ledger.EntryRole)
	for name, m := range entries {
		if !m.RecordsLeases {
			_ = level.Info(c.logger).Log("event", "former leases unknown", "entry", name, "reason", "its version records none")
			return newFormerTerms(ledger.KnownLeases{}, 0, begunAt)
		}
	}
	l := c.state.Leases()
	f := newFormerTerms(l, candidateEndedBy(l.Candidate, c.settings().Name, entries, c.startedAt, begunAt), begunAt)
	_ = level.Info(c.logger).Log("event", "former leases", "candidate", l.Candidate, "token", l.Token, "renewed-until", (f.endedAt - begunAt).Round(time.Millisecond), "hosts-named", len(f.expiring))
	return f
}

// leaseRecords is the state of the records of the leases in a term.
type leaseRecords struct {
	written bool          // written is set once the first record of the term is durable. Nothing is renewed before.
	dueAt   time.Duration // dueAt is when the next record is due at the latest; 0 if none is.
}

// dueBy lets the next record be due at a time at the latest.
func (l *leaseRecords) dueBy(at time.Duration) {
	if l.dueAt == 0 || at < l.dueAt {
		l.dueAt = at
	}
}

// suspendRenewals lets the leases of a host expire. Once a record says so, they are not
// renewed before another one is durable.
func (t *term) suspendRenewals(h *hostState) {
	h.suspended = true
	t.leases.dueBy(now() + leasesDelay)
}

// resumeRenewals ends the suspension of a host whose minion answers.
func (t *term) resumeRenewals(h *hostState) {
	h.suspended = false
	t.nextExpiryAt = 0 // The host may become silent before that.
	if h.listed {
		t.leases.dueBy(now())
	}
}

// mayRenew reports whether leases on a host may be renewed. The store has confirmed
// recently enough that this term leads, see confirmationValidity, and its successors
// know that it may renew them.
func (t *term) mayRenew(h *hostState) bool {
	return t.leases.written && !h.listed && now()-time.Duration(t.confirmedAt.Load()) < confirmationValidity
}

// takeLeases returns the record of the leases and the hosts that it names no longer. A
// host counts as listed from here on, because the record may become durable without a
// reply.
func (t *term) takeLeases(at time.Duration) (ledger.Record, []*hostState) {
	t.leases.dueAt = 0
	leases := ledger.Leases{Token: t.token, Candidate: t.settings().Name, Expiring: make(map[string]time.Duration)}
	var removed []*hostState
	for _, h := range t.hosts {
		switch {
		case h.suspended && len(h.runs) > 0:
			h.listed = true
			leases.Expiring[h.name] = max(0, h.everythingEndedAt()-at)
		case h.listed:
			removed = append(removed, h)
		}
	}
	record, err := ledger.EncodeLeases(leases)
	if err != nil { // Too many hosts. With neither their names nor that of a candidate, successors take all leases for renewed.
		_ = level.Warn(t.logger).Log("event", "leases not listed", "hosts", len(leases.Expiring), "reason", err)
		record, _ = ledger.EncodeLeases(ledger.Leases{Token: t.token})
	}
	return record, removed
}

// recordedLeases handles that a record is durable whose append was sent at a time and
// that no longer names some hosts.
func (t *term) recordedLeases(removed []*hostState, sent time.Duration) {
	t.leases.written = true
	for _, h := range removed {
		h.listed = false
	}
	at := now()
	for _, h := range t.hosts {
		if h.listed {
			t.leases.dueBy(at + max(leasesInterval, scaleTime(at-sent, 1/leasesShare)))
			return
		}
	}
}

// everythingEndedAt returns when all leases of a host have expired and no try of a start
// can arrive there any more.
func (h *hostState) everythingEndedAt() time.Duration {
	at := h.leaseExpiry
	for _, r := range h.runs {
		if r.tries.open > 0 {
			at = max(at, r.tries.lateUntil)
		}
	}
	return at
}
