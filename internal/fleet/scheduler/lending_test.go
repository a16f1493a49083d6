package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/tenancy/guarantee"
	"wasabihoist/internal/traffic/request"
)

// borrower submits short borrowed jobs that prefer its data centre, one after
// another.
type borrower struct {
	*process
	count int
	last  job.Job
}

// borrow submits the next job when the last one has ended, and reports whether
// the last one is still queued.
func (b *borrower) borrow() bool {
	if js, known := b.journal.Job(b.last.Identity); known && js.State != job.Ended {
		return js.State == job.Queued
	}
	b.count++
	name := b.scheduler.options.DataCentre
	b.last = gangOf("eva", fmt.Sprintf("%s-%d", name, b.count), 1, 10*time.Millisecond)
	b.last.DataCentre = name
	b.submit(b.last)
	return false
}

// borrowedStarts returns the number of starts of borrowed jobs and the time of
// the last one.
func (f *fixture) borrowedStarts() (count int, last time.Time) {
	for _, h := range f.hosts {
		for _, i := range h.History() {
			if strings.HasPrefix(i.Task, "eva/") && !i.Released.IsZero() {
				count, last = count+1, latest(last, i.Released)
			}
		}
	}
	return count, last
}

// verdictAt returns when the last verdict on the guarantees was audited.
func (p *process) verdictAt() time.Time {
	var at time.Time
	for _, e := range p.journal.AuditTrail() {
		if e.Audit.Action == auditGuarantees {
			at = e.Time
		}
	}
	return at
}

// Guards against a data centre that lends accelerators, or reclaims jobs without
// use, while a guarantee has no placement in any data centre, although the data
// centre has a free worker and a placement for its own part of the guarantees.
// Also guards against lending that does not resume.
func TestLendingStopsInEveryDataCentre(t *testing.T) {
	lost := []string{"w1", "w2", "w3"}
	tests := map[string]func(f *fixture, p *process, c journal.ConfigurationPublished){
		"the workers come back": func(f *fixture, _ *process, _ journal.ConfigurationPublished) {
			for _, name := range lost {
				f.hosts[name].Restart()
			}
		},
		"the organisation closes": func(_ *fixture, p *process, c journal.ConfigurationPublished) {
			c.Base = p.journal.Configuration().Version
			c.Organisations[1].Closes = time.Now().Add(time.Second)
			p.append(c)
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			f, configuration := twoDataCentres(t)
			a := &borrower{process: f.processInDataCentre(t, "a@1", "acari", testTiming()).run()}
			b := &borrower{process: f.processInDataCentre(t, "b@1", "caico", testTiming()).run()}
			borrowBoth := func() bool {
				waits := a.borrow()
				return b.borrow() && waits
			}
			lend := func(what string) {
				begun := [2]int{a.count, b.count}
				f.await(what, func() bool { borrowBoth(); return a.count > begun[0]+2 && b.count > begun[1]+2 })
			}
			longJob := gangOf("eva", "keeps", 1, longRunTime)
			longJob.DataCentre = "caico"
			b.append(configuration)
			b.submit(longJob)
			b.awaitState(longJob.Identity, job.Running)
			lend("both lend")

			lostAt := time.Now()
			for _, name := range lost {
				f.hosts[name].Crash()
			}
			f.await("the loss is reported", func() bool { borrowBoth(); return strings.Contains(b.lastAudit(auditGuarantees), "lacks") })
			reportedAt := b.verdictAt()
			f.await("no more is lent", borrowBoth)
			time.Sleep(time.Second) // longer than ClaimDelay
			count, last := f.borrowedStarts()
			f.c.Check(last.Sub(reportedAt) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("lent %s after the report", last.Sub(reportedAt)))
			f.c.Check(f.live(longJob), qt.Equals, 1)
			explanation, _ := b.scheduler.Explain(b.last.Identity)
			f.c.Check(explanation.BlockedBy, qt.Equals, "lending has stopped: plan silver of organisation rui lacks a place for 1 of 1x2 within worker (2 accelerators)")

			guaranteed := gangOf("ana", "1", 2, 100*time.Millisecond)
			b.submit(guaranteed)
			f.c.Check(b.awaitState(guaranteed.Identity, job.Ended).DataCentre, qt.Equals, "caico")
			f.c.Check(f.live(longJob), qt.Equals, 0)
			after, first := f.borrowedStarts()
			f.c.Check(after, qt.Equals, count)

			end(f, b.process, configuration)
			f.await("lending begins again", func() bool { after, first = f.borrowedStarts(); return after > count })
			f.await("a place for all is reported", func() bool { return !strings.Contains(b.lastAudit(auditGuarantees), "lacks") })
			t.Logf("reported after %s; last borrowed start %s after it, first one %s after a place for all",
				reportedAt.Sub(lostAt), last.Sub(reportedAt), first.Sub(b.verdictAt()))
			lend("both lend again")
			b.awaitState(longJob.Identity, job.Running)
		})
	}
}

// Guards against a borrowed job that starts after lending has stopped. The planner
// has decided on the start before, and the log is slow to take the claim.
func TestBorrowedStartIsRevoked(t *testing.T) {
	f := newFixture(t, 2, nil)
	p := f.process(t, "a@1").run()
	j := gangOf("eva", "1", 2, 50*time.Millisecond)
	p.submit(j)
	p.awaitState(j.Identity, job.Ended) // the workers are leased
	j.Identity.ID = "2"
	f.log.SetFaults(logservice.Faults{Delay: 300 * time.Millisecond})
	p.submit(j)
	decided := func() (found bool) {
		p.inLoop(func(t *term) {
			a := t.attempts[j.Identity]
			if found = a != nil && a.gang == nil; found {
				t.planner.SetShortfalls([]guarantee.Shortfall{{Organisation: "ana", Count: 1}})
			}
		})
		return found
	}
	f.await("the start is decided on", decided)
	f.log.SetFaults(logservice.Faults{})
	f.await("the claim is given up", func() bool {
		js, _ := p.journal.Job(j.Identity)
		return js.State == job.Queued && js.Attempt == 1
	})
	f.c.Assert(f.attempts(j), qt.HasLen, 0)
	p.inLoop(func(t *term) { t.planner.SetShortfalls(nil) })
	f.c.Assert(p.awaitState(j.Identity, job.Ended).Outcome, qt.Equals, request.Done)
}
