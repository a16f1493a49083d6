package scheduler

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/fleet/worker"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/tenancy/guarantee"
	"wasabihoist/internal/traffic/request"
)

// auditGuarantees is the action of the reports on guarantees without a place.
const auditGuarantees = "guarantees"

// fold passes the changes of the journal on.
func (t *term) fold() {
	c := t.changes.Take()
	configure := c.All || c.Configuration || t.organisationCloses()
	t.dirty = t.dirty || configure || len(c.Jobs) > 0
	if configure {
		t.configure()
	}
	if !c.All {
		for _, id := range c.Jobs {
			t.foldJob(id)
		}
		return
	}
	for _, js := range t.journal.Jobs() {
		t.foldJob(js.Job.Identity)
	}
}

// configure gives the planner the configuration, this data centre's part of the
// guarantees and those that have no place in any data centre.
func (t *term) configure() {
	c, now := t.journal.Configuration(), time.Now()
	t.planner.SetConfiguration(c)
	parts, shortfalls := guarantee.Divide(guarantee.Entitlements(c, now), t.presentWorkers())
	t.planner.SetEntitlements(parts[t.options.DataCentre])
	t.planner.SetShortfalls(shortfalls)
	t.guarantees = guarantee.Verdict{Holds: len(shortfalls) == 0, Shortfalls: shortfalls}
	t.nextClose = c.NextClose(now)
}

// organisationCloses reports whether an organisation has closed since a
// guarantee lost its place. Its guarantees no longer count then, and without a
// record in the journal lending would not begin again.
func (t *term) organisationCloses() bool {
	return !t.guarantees.Holds && !t.nextClose.IsZero() && !time.Now().Before(t.nextClose)
}

// reportShortfalls writes to the audit trail which guarantees of the deployment
// have lost their place, and that all have one again.
func (t *term) reportShortfalls() {
	if t.reported == "" {
		t.reported = t.lastReport()
	}
	verdict := t.guarantees.String()
	if verdict == t.reported {
		return
	}
	t.reported = verdict
	if t.reportsForDeployment() {
		t.audit(auditGuarantees, "deployment", "workers were lost or came back, or the configuration changed", verdict)
	}
}

// lastReport returns what an earlier term has reported. Before the first
// report every guarantee is taken to have its place.
func (t *term) lastReport() string {
	last := guarantee.Verdict{Holds: true}.String()
	for _, e := range t.journal.AuditTrail() {
		if e.Audit.Action == auditGuarantees {
			last = e.Audit.After
		}
	}
	return last
}

// reportsForDeployment is true for one scheduler among those that find the
// same: that of the first data centre which has workers.
func (t *term) reportsForDeployment() bool {
	first := t.options.DataCentre
	for i, w := range t.presentWorkers() {
		if i == 0 || w.DataCentre < first {
			first = w.DataCentre
		}
	}
	return first == t.options.DataCentre
}

// presentWorkers are the workers of all data centres that are not reported
// lost. All schedulers take them from the journal, so that a guarantee moves to
// another data centre when its own has lost the workers for it.
func (t *term) presentWorkers() []worker.Worker {
	lost := t.journal.LostWorkers()
	return slices.DeleteFunc(slices.Clone(t.options.Workers), func(w worker.Worker) bool { return lost.Has(w.Name) })
}

// reportWorkers writes to the journal which workers of this data centre are
// lost, where it does not say so yet. A worker may be lost and back before the
// first report is folded, so reports follow the state and not the events.
func (t *term) reportWorkers() {
	lost := t.journal.LostWorkers()
	for name, h := range t.hosts {
		known := h.up || h.lost
		if known && !h.reporting && lost.Has(name) != h.lost {
			h.reporting = true
			t.report(name, h.lost)
		}
	}
}

func (t *term) report(name string, lost bool) {
	t.work.Go("report of "+name, func(ctx context.Context) error {
		// A record that is not folded before the term ends is left to the next.
		_ = t.record(ctx, journal.WorkerReported{Worker: name, Lost: lost})
		t.post(ctx, func(t *term) { t.hosts[name].reporting = false })
		return nil
	})
}

// foldJob brings the term in line with the journal's state of one job.
func (t *term) foldJob(id request.Identity) {
	js, known := t.journal.Job(id)
	a := t.active[id]
	switch {
	case a != nil:
		t.foldActive(a, js)
	case !known || js.State == job.Ended:
		t.forgetJob(id)
	case js.State == job.Queued:
		t.offer(js)
	case js.DataCentre != t.options.DataCentre:
		t.forgetJob(id)
	default:
		t.forgetWaiting(id)
		t.settling[id] = settlement{claim: js.Claim, seen: time.Now()}
	}
}

// foldActive tells an attempt about a cancellation or the loss of its claim.
func (t *term) foldActive(a *attempt, js journal.JobState) {
	if a.gang == nil {
		return // The attempt reads the journal itself before it starts.
	}
	if js.Claim != a.claim || js.CancelRequested {
		a.gang.Cancel()
	}
}

func (t *term) forgetWaiting(id request.Identity) {
	t.planner.Cancel(id)
	delete(t.delayed, id)
}

func (t *term) forgetJob(id request.Identity) {
	t.forgetWaiting(id)
	delete(t.settling, id)
	t.health.forget(id)
}

// offer gives a queued job to the planner, now or when its preferred data
// centre has had its time.
func (t *term) offer(js journal.JobState) {
	delete(t.settling, js.Job.Identity)
	wait, first := t.claimDelay(js.Job)
	reason := "nothing: the next decision offers it"
	if len(first) > 0 {
		reason = "the earlier turn of data centre " + strings.Join(first, ", ")
	}
	if err := t.others[t.options.DataCentre].CanEverRun(js.Job); err != nil {
		if t.canRunElsewhere(js.Job) {
			return
		}
		reason = fmt.Sprintf("no data centre can run the job: %v", err)
	}
	if _, waits := t.delayed[js.Job.Identity]; !waits {
		t.delayed[js.Job.Identity] = delayed{time.Now().Add(wait), reason}
	}
}

func (t *term) canRunElsewhere(j job.Job) bool {
	for name, p := range t.others {
		if name != t.options.DataCentre && p.CanEverRun(j) == nil {
			return true
		}
	}
	return false
}

// claimDelay is how long this data centre leaves the claim to others, and to
// which. Without a preference, data centres have their turns in an order that
// depends on the job, so that they seldom claim the same job at once.
func (t *term) claimDelay(j job.Job) (wait time.Duration, first []string) {
	if j.DataCentre == t.options.DataCentre {
		return 0, nil
	}
	if _, known := t.others[j.DataCentre]; known {
		return t.limits.ClaimDelay, []string{j.DataCentre + ", which the job prefers"}
	}
	order := t.claimOrder(j)
	place := max(slices.Index(order, t.options.DataCentre), 0)
	return t.limits.ClaimDelay * time.Duration(place) / time.Duration(max(len(order), 1)), order[:place]
}

// claimOrder lists the data centres that can ever run the job in the order of
// their turns; the preferred one goes first.
func (t *term) claimOrder(j job.Job) []string {
	names := collection.NewSet[string]()
	for name, p := range t.others {
		if p.CanEverRun(j) == nil {
			names.Add(name)
		}
	}
	order := names.Sorted()
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(weight(j, a), weight(j, b)) })
	if at := slices.Index(order, j.DataCentre); at > 0 {
		order = slices.Insert(slices.Delete(order, at, at+1), 0, j.DataCentre)
	}
	return order
}

// delayReclaim makes an urgent job reclaim in one data centre at a time: each
// takes its turn when the ones before it did not start the job in theirs. All
// count from the submission, so a turn may begin early or late by the
// difference of clocks.
func (t *term) delayReclaim(j job.Job) {
	turn := slices.Index(t.claimOrder(j), t.options.DataCentre)
	if j.Urgent && turn > 0 {
		t.planner.DelayReclaim(j.Identity, j.Submitted.Add(time.Duration(turn)*t.limits.ReclaimInterval))
	}
}

func weight(j job.Job, name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.Identity.String() + "\x00" + name))
	return h.Sum32()
}

// offerDelayed submits the jobs whose delay has passed, and ends those that can
// never run.
func (t *term) offerDelayed(now time.Time) {
	var due []journal.JobState
	for id, d := range t.delayed {
		if now.Before(d.due) {
			continue
		}
		js, known := t.journal.Job(id)
		if !known || js.State != job.Queued || t.active[id] != nil {
			delete(t.delayed, id)
			continue
		}
		due = append(due, js)
	}
	slices.SortFunc(due, func(a, b journal.JobState) int { return cmp.Compare(a.Submitted, b.Submitted) })
	for _, js := range due {
		reason := t.delayed[js.Job.Identity].reason
		delete(t.delayed, js.Job.Identity)
		if t.others[t.options.DataCentre].CanEverRun(js.Job) != nil {
			t.endNeverRun(js, reason)
			continue
		}
		j := js.Job
		j.RunTime = max(j.RunTime-js.Progress, 0)
		t.planner.Submit(j)
		t.delayReclaim(j)
	}
}

func (t *term) summary() Summary {
	s := Summary{Placement: t.planner.Summary(), ActiveAttempts: len(t.active)}
	quarantined := collection.NewSet[string]()
	for name, h := range t.hosts {
		if h.up {
			s.LeasedWorkers++
		}
		if c := t.health.workers[name]; c != nil && c.sentence > 0 {
			quarantined.Add(name)
		}
	}
	s.Quarantined = quarantined.Sorted()
	return s
}
