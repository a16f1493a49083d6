package coordinator

import (
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
	const begunAt, startedAt = time.Hour, time.Hour - 2*time.Second
	ago := func(d time.Duration) time.Time { return time.Now().Add(-d) }
	granted := maxLeaseDuration(leaseOfTest)
	for name, tt := range map[string]struct {
		writes ledger.TermWrites
		want   time.Duration // want is counted from begunAt.
	}{
		"no leases known":       {ledger.TermWrites{LastAt: ago(9 * time.Second)}, confirmationValidity + granted},
		"just written":          {ledger.TermWrites{LeasesAt: ago(0), LastAt: ago(0)}, confirmationValidity + granted},
		"written a while ago":   {ledger.TermWrites{LeasesAt: ago(5 * time.Second), LastAt: ago(3 * time.Second)}, confirmationValidity + granted - 3*time.Second},
		"own former life":       {ledger.TermWrites{Leases: ledger.Leases{Candidate: formerLife}, LeasesAt: ago(0), LastAt: ago(0)}, granted - 2*time.Second},
		"same life":             {ledger.TermWrites{Leases: ledger.Leases{Candidate: ownName}, LeasesAt: ago(0), LastAt: ago(0)}, confirmationValidity + granted},
		"other entry":           {ledger.TermWrites{Leases: ledger.Leases{Candidate: otherEntry}, LeasesAt: ago(0), LastAt: ago(0)}, confirmationValidity + granted},
		"not renewed":           {ledger.TermWrites{Leases: ledger.Leases{Expiring: map[string]time.Duration{"host": 5 * time.Second}}, LeasesAt: ago(time.Second), LastAt: ago(0)}, 4*time.Second + 5*time.Second/25},
		"not renewed on others": {ledger.TermWrites{Leases: ledger.Leases{Expiring: map[string]time.Duration{"other": time.Second}}, LeasesAt: ago(0), LastAt: ago(0)}, confirmationValidity + granted},
		"too long to be true":   {ledger.TermWrites{Leases: ledger.Leases{Expiring: map[string]time.Duration{"host": time.Hour}}, LeasesAt: ago(0), LastAt: ago(0)}, confirmationValidity + granted},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFormerTerms(tt.writes, ownName, startedAt, begunAt)
			got, tries := f.leaseExpiry("host", leaseOfTest)
			c.Check((got-begunAt-tt.want).Abs() < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%s after the begin, want %s", got-begunAt, tt.want))
			c.Check(tries.openUntil <= got, qt.IsTrue)
		})
	}
}

// Guards against a successor that trusts the records of the terms although one of a
// former version, which writes none, may have led since.
func TestFormerVersionLeavesLeasesUnknown(t *testing.T) {
	for name, records := range map[string]bool{"all entries record": true, "one does not": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			co := &Coordinator{logger: log.NewNopLogger(), state: ledger.NewState()}
			leases, err := ledger.EncodeLeases(ledger.Leases{Token: 1})
			c.Assert(err, qt.IsNil)
			page := ledger.Page{Records: []ledger.StoredRecord{{Record: leases}}}
			for i, records := range []bool{true, records} {
				m, err := ledger.EncodeMember(ledger.Member{Name: string(rune('a' + i)), Role: ledger.EntryRole, Address: netip.MustParseAddrPort("10.0.0.1:1"), RecordsLeases: records})
				c.Assert(err, qt.IsNil)
				page.Records = append(page.Records, ledger.StoredRecord{Record: m, Offset: int64(i + 1)})
			}
			c.Assert(co.state.Apply(page), qt.IsNil)
			c.Check(co.termWrites().LeasesAt.IsZero(), qt.Equals, !records)
		})
	}
}

// Guards against a series of leader changes each of which starts the time anew in which
// a host that is gone may still run its tasks.
func TestLeaderChangesDoNotProlongFormerLeases(t *testing.T) {
	c := qt.New(t)
	const between = 3 * time.Second
	begunAt := time.Hour
	first, _ := newFormerTerms(ledger.TermWrites{}, ownName, 0, begunAt).leaseExpiry("host", leaseOfTest)
	expiry := first
	for range 3 {
		left := expiry - begunAt // Each term records this at its begin.
		f := formerTerms{begunAt: begunAt + between, leasesAt: begunAt, expiring: map[string]time.Duration{"host": left}}
		begunAt += between
		expiry, _ = f.leaseExpiry("host", leaseOfTest)
	}
	c.Check(expiry-first < time.Duration(4*maxClockDrift*2*float64(leaseOfTest+confirmationValidity)), qt.IsTrue, qt.Commentf("%s later", expiry-first))
}

// Guards against a lease that is renewed, and a start that is sent, before the successors
// of the term can know that.
func TestNoRenewalBeforeItIsRecorded(t *testing.T) {
	c := qt.New(t)
	store := fleetstore.New()
	co := &Coordinator{logger: log.NewNopLogger(), metrics: newMetricSet(metrics.For(t.Name())), store: store, state: ledger.NewState()}
	co.Apply(Options{Name: "one", MaxLease: leaseOfTest})
	tm := newTerm(co, 1, group.New(c.Context()))
	defer func() { tm.group.Stop(); _ = tm.group.Wait() }()
	job := workload.Job{ID: "job", Steps: []workload.Step{{Count: 1}}}
	progress := workload.NewProgress(job)
	progress.Place(job.TaskID(0, 0), 1, "host", former.Incarnation())
	tm.adoptJob(ledger.JobEntry{Job: job, Accepted: true, Progress: progress})
	h := tm.hosts["host"]
	write := func() {
		tm.flush()
		event := <-tm.events
		event()
	}
	renews := func() bool { return tm.renewalRequest(h).LeaseUntil != 0 }
	answer := func() {
		report := host.StatusReport{Minion: former, Clock: time.Minute, Running: []host.Run{{Task: job.TaskID(0, 0), Number: 1}}}
		tm.handleStatusReport(h, report, now())
	}

	answer()
	c.Check(renews(), qt.IsFalse) // Nothing of this term is written.
	write()
	c.Check(renews(), qt.IsTrue)

	h.lastContact = now() - suspendAfter
	tm.expireLeases()
	tm.flush()
	answer()
	c.Check(renews(), qt.IsFalse) // The record that it renews none may be the newest.
	c.Check(h.acceptsWork(now()), qt.IsFalse)
	event := <-tm.events
	event()
	c.Check(renews(), qt.IsFalse)
	write()
	c.Check(renews(), qt.IsTrue)
	c.Check(h.acceptsWork(now()), qt.IsTrue)

	tm.confirmedAt.Store(int64(now() - confirmationValidity))
	c.Check(renews(), qt.IsFalse)

	clear(tm.jobs) // The leases of idle hosts are renewed as well.
	tm.dirty.Remove(job.ID)
	tm.leasesEncodedAt = now() - idleLeasesInterval
	write()
	c.Check(renews(), qt.IsTrue)
}
