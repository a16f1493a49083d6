package coordinator

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/host"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/run/metrics"
	"wasabihoist/internal/standin/fleetstore"
)

const (
	leaseOfTest = 10 * time.Second
	ownName     = "front@10.0.0.1/2026-01-02T00:00:00Z"
	formerLife  = "front@10.0.0.1/2026-01-01T00:00:00Z"
	otherEntry  = "back@10.0.0.2/2026-01-01T00:00:00Z"
)

// Guards against leases that are taken for expired while a former term may have renewed
// them, and against ones that are taken to last although no term can have.
func TestFormerLeasesExpire(t *testing.T) {
	const begunAt = time.Hour
	granted := maxLeaseDuration(leaseOfTest)
	read := func(ago time.Duration, expiring map[string]time.Duration) ledger.KnownLeases {
		return ledger.KnownLeases{Leases: ledger.Leases{Expiring: expiring}, ReadAt: time.Now().Add(-ago)}
	}
	for name, tt := range map[string]struct {
		leases  ledger.KnownLeases
		endedBy time.Duration
		want    time.Duration // want is counted from begunAt.
	}{
		"no leases known":            {ledger.KnownLeases{}, begunAt - time.Second, confirmationValidity + granted},
		"the process may go on":      {read(5*time.Second, nil), 0, confirmationValidity + granted},
		"the process has ended":      {read(0, nil), begunAt - 2*time.Second, granted - 2*time.Second},
		"ended long ago":             {read(0, nil), begunAt - time.Minute, formerTries(begunAt).openUntil - begunAt},
		"named":                      {read(time.Second, map[string]time.Duration{"host": 5 * time.Second}), 0, 4*time.Second + 5*time.Second/25},
		"others are named":           {read(time.Second, map[string]time.Duration{"other": time.Second}), 0, confirmationValidity + granted},
		"named for too long":         {read(0, map[string]time.Duration{"host": time.Hour}), 0, confirmationValidity + granted},
		"named by one that is ended": {read(0, map[string]time.Duration{"host": 9 * time.Second}), begunAt - time.Minute, 9*time.Second + 9*time.Second/25},
	} {
		got, tries := newFormerTerms(tt.leases, tt.endedBy, begunAt).leaseExpiry("host", leaseOfTest)
		qt.Check(t, (got-begunAt-tt.want).Abs() < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%s: %s after the begin, want %s", name, got-begunAt, tt.want))
		qt.Check(t, tries.openUntil <= got, qt.IsTrue, qt.Commentf(name))
	}
}

// Guards against a former leader that is taken for ended while it may renew leases.
func TestCandidateEndedBy(t *testing.T) {
	const startedAt, at = time.Hour, time.Hour + time.Second
	later := time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)
	for name, tt := range map[string]struct {
		candidate string
		others    time.Time // others is when the present process of the other entry started.
		want      time.Duration
	}{
		"unknown":                   {"", later, 0},
		"this process":              {ownName, later, at},
		"former life":               {formerLife, later, startedAt},
		"other entry, started anew": {otherEntry, later, at},
		"other entry, same life":    {otherEntry, later.AddDate(0, 0, -1), 0},
		"entry that is not known":   {"side@10.0.0.3/2026-01-01T00:00:00Z", later, 0},
	} {
		entries := map[string]ledger.Member{"back@10.0.0.2": {Name: "back@10.0.0.2", Started: tt.others}}
		qt.Check(t, candidateEndedBy(tt.candidate, ownName, entries, startedAt, at), qt.Equals, tt.want, qt.Commentf(name))
	}
}

// Guards against a successor that trusts the records of the terms although one of a
// former version, which writes none, may have led since.
func TestFormerVersionLeavesLeasesUnknown(t *testing.T) {
	c := qt.New(t)
	co := &Coordinator{logger: log.NewNopLogger(), state: ledger.NewState()}
	co.Apply(Options{Name: ownName})
	offset := int64(0)
	apply := func(r ledger.Record, err error) {
		c.Assert(err, qt.IsNil)
		c.Assert(co.state.Apply(ledger.Page{Records: []ledger.StoredRecord{{Record: r, Offset: offset}}}), qt.IsNil)
		offset++
	}
	apply(ledger.EncodeLeases(ledger.Leases{Token: 1}))
	for _, records := range []bool{true, false} {
		apply(ledger.EncodeMember(ledger.Member{Name: fmt.Sprint(records), Role: ledger.EntryRole, Address: netip.MustParseAddrPort("10.0.0.1:1"), RecordsLeases: records}))
		c.Check(co.formerTerms(time.Hour).expiring != nil, qt.Equals, records)
	}
}

// Guards against a lease that is renewed, and a start that is sent, before the successors
// of the term can know that, and against records that nothing calls for.
func TestNoRenewalBeforeItIsRecorded(t *testing.T) {
	c := qt.New(t)
	co := &Coordinator{logger: log.NewNopLogger(), metrics: newMetricSet(metrics.For(t.Name())), store: fleetstore.New(), state: ledger.NewState()}
	co.Apply(Options{Name: "one", MaxLease: leaseOfTest})
	tm := newTerm(co, 1, now(), group.New(c.Context()))
	defer func() { tm.group.Stop(); _ = tm.group.Wait() }()
	job := workload.Job{ID: "job", Steps: []workload.Step{{Count: 1}}}
	progress := workload.NewProgress(job)
	progress.Place(job.TaskID(0, 0), 1, "host", former.Incarnation())
	tm.adoptJob(ledger.JobEntry{Job: job, Accepted: true, Progress: progress})
	h := tm.hosts["host"]
	sequence := int64(0)
	flush := func(appends bool) {
		tm.flush()
		if appends {
			sequence++
		}
		c.Assert(tm.writer.sequence, qt.Equals, sequence)
	}
	durable := func() { event := <-tm.events; event() }
	renews := func() bool { return tm.renewalRequest(h).LeaseUntil != 0 }
	answer := func() {
		report := host.StatusReport{Minion: former, Clock: time.Minute, Running: []host.Run{{Task: job.TaskID(0, 0), Number: 1}}}
		tm.handleStatusReport(h, report, now())
	}

	answer()
	c.Check(renews(), qt.IsFalse) // Nothing of this term is written.
	flush(false)                  // Another append may take the record along.
	tm.dirty.Add(job.ID)
	flush(true)
	c.Check(renews(), qt.IsFalse)
	durable()
	c.Check(renews(), qt.IsTrue)
	flush(false)

	h.lastContact = now() - suspendAfter
	tm.expireLeases()
	answer()
	c.Check(renews(), qt.IsTrue) // No record names the host.

	h.lastContact = now() - suspendAfter
	tm.expireLeases()
	tm.leases.dueBy(now())
	flush(true)
	answer()
	c.Check(renews(), qt.IsFalse) // The record that it renews none may be the newest.
	r := tm.addRun(tm.newAttempt(tm.jobs[job.ID], 0), job.TaskID(0, 0), 2, h, former.Incarnation())
	c.Check(tm.nextTry(r), qt.Equals, startDelayed)
	c.Check(h.acceptsWork(now()), qt.IsTrue) // The next append names it no longer, also that of a placement.
	durable()
	c.Check(renews(), qt.IsFalse)
	flush(true)
	durable()
	c.Check(renews(), qt.IsTrue)
	c.Check(tm.nextTry(r).request, qt.IsNotNil)
	flush(false)

	tm.confirmedAt.Store(int64(now() - confirmationValidity))
	c.Check(renews(), qt.IsFalse)
}
