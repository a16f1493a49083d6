package coordinator

import (
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/record/ledger"
)

const (
	// leasesInterval is the time between two records of the leases without a change,
	// while there are jobs. Runs may go on for long without another append.
	leasesInterval = time.Second
	// idleLeasesInterval is that without jobs. It keeps the term confirmed, so that
	// the leases of idle hosts are renewed as well.
	idleLeasesInterval = 3 * time.Second
	// suspendAfter is how long a host with runs is silent before its leases are not
	// renewed without another record.
	suspendAfter = renewalWait + silenceTimeout
)

// formerTerms is what is known of the terms before one. Times are readings of now.
type formerTerms struct {
	begunAt  time.Duration            // begunAt is when the present term began.
	lastAt   time.Duration            // lastAt is when their last append had been made.
	endedAt  time.Duration            // endedAt is when the last of them had sent its last renewal.
	leasesAt time.Duration            // leasesAt is when the newest leases had been recorded.
	expiring map[string]time.Duration // expiring is that of the newest leases.
}

// newFormerTerms returns what a process that started at a time knows of the terms
// before one that begins. What it has read was written before. A former life of the
// process has ended before its start.
func newFormerTerms(w ledger.TermWrites, candidate string, startedAt, begunAt time.Duration) formerTerms {
	f := formerTerms{begunAt: begunAt, lastAt: begunAt, endedAt: begunAt + confirmationValidity}
	if w.LeasesAt.IsZero() {
		return f
	}
	// The clock of w may stop while the host is suspended, so these times are not too early.
	f.lastAt, f.leasesAt, f.expiring = begunAt-time.Since(w.LastAt), begunAt-time.Since(w.LeasesAt), w.Leases.Expiring
	f.endedAt = f.lastAt + confirmationValidity
	if isFormerLife(w.Leases.Candidate, candidate) {
		f.lastAt, f.leasesAt, f.endedAt = min(f.lastAt, startedAt), min(f.leasesAt, startedAt), min(f.endedAt, startedAt)
	}
	return f
}

// termWrites returns what is known of the records of former terms. It is nothing while an
// entry may be of a version whose terms record no leases.
func (c *Coordinator) termWrites() ledger.TermWrites {
	for name, m := range c.state.Members(ledger.EntryRole) {
		if !m.RecordsLeases {
			_ = level.Info(c.logger).Log("event", "former leases unknown", "entry", name, "reason", "its version records none")
			return ledger.TermWrites{}
		}
	}
	return c.state.TermWrites()
}

// isFormerLife reports whether a candidate is a former process of the member whose
// present process is another candidate.
func isFormerLife(former, present string) bool {
	formerName, _, ok := strings.Cut(former, startSeparator)
	name, _, _ := strings.Cut(present, startSeparator)
	return ok && former != present && formerName == name
}

// leaseExpiry returns when every lease that former terms have granted on a host has
// certainly expired, and the tries of their starts.
//
// It answers a series of leader changes beside hosts that are gone: a term renews
// leases, and sends starts, for a limited time after an append of its own, which all
// entries read; and none where its record of the leases says so. So the time does not
// start anew with each term. A host that the record does not name has answered the
// last term, and refuses the calls of those before it.
func (f formerTerms) leaseExpiry(host string, maxLease time.Duration) (time.Duration, startTries) {
	if left, ok := f.expiring[host]; ok {
		until := f.leasesAt + left + time.Duration(float64(left)*maxClockDrift*2)
		until = min(until, f.begunAt+confirmationValidity+maxLeaseDuration(maxLease))
		return until, startTries{open: 1, openUntil: until, lateUntil: until}
	}
	tries := formerTries(f.lastAt)
	return max(f.endedAt+maxLeaseDuration(maxLease), tries.openUntil), tries
}

// leasesDue reports whether the leases are to be recorded.
func (t *term) leasesDue(at time.Duration) bool {
	interval := idleLeasesInterval
	if len(t.jobs) > 0 {
		interval = leasesInterval
	}
	return t.leasesChanged || at-t.leasesEncodedAt >= interval
}

// suspendRenewals lets the leases of a host expire until its minion answers and a
// record says that they are renewed again.
func (t *term) suspendRenewals(h *hostState) {
	h.suspended, t.leasesChanged = true, true
}

// resumeRenewals ends the suspension of a host whose minion answers.
func (t *term) resumeRenewals(h *hostState) {
	h.suspended = false
	t.leasesChanged = t.leasesChanged || h.listed
}

// encodeLeases returns the record of the leases and the hosts that it names no longer.
// A host counts as listed from here on, because the record may become durable without a
// reply.
func (t *term) encodeLeases(at time.Duration) (ledger.Record, []*hostState, error) {
	t.leasesChanged, t.leasesEncodedAt = false, at
	leases := ledger.Leases{Token: t.token, Candidate: t.settings().Name, Expiring: make(map[string]time.Duration)}
	var resumed []*hostState
	for _, h := range t.hosts {
		switch {
		case h.suspended && len(h.runs) > 0:
			h.listed = true
			leases.Expiring[h.name] = max(0, h.everythingEndedAt()-at)
		case h.listed:
			resumed = append(resumed, h)
		}
	}
	record, err := ledger.EncodeLeases(leases)
	if err != nil { // Too many hosts: without their names, former leases count as lasting for longer.
		_ = level.Warn(t.logger).Log("event", "leases not listed", "hosts", len(leases.Expiring), "reason", err)
		record, err = ledger.EncodeLeases(ledger.Leases{Token: t.token, Candidate: t.settings().Name})
	}
	return record, resumed, err
}

// resume lets leases be renewed, once that is durable, on hosts that were listed.
func (t *term) resume(hosts []*hostState) {
	for _, h := range hosts {
		h.listed = h.suspended
		t.leasesChanged = t.leasesChanged || h.suspended
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
