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

// auditGuarantees is the audit action that reports guarantees without a
// placement.
const auditGuarantees = "guarantees"

// reconcile applies the changes of the journal since the last call.
func (t *term) reconcile() {
	c := t.changes.Take()
	configure := c.All || c.Configuration || t.organisationClosed()
	t.stepDue = t.stepDue || configure || len(c.Jobs) > 0
	if configure {
		t.configure()
	}
	if !c.All {
		for _, id := range c.Jobs {
			t.reconcileJob(id)
		}
		return
	}
	for _, js := range t.journal.Jobs() {
		t.reconcileJob(js.Job.Identity)
	}
}

// configure gives the planner the configuration, the part of the guarantees that
// falls to this data centre, and the guarantees that have no placement in any
// data centre.
func (t *term) configure() {
	c, now := t.journal.Configuration(), time.Now()
	t.planner.SetConfiguration(c)
	parts, shortfalls := guarantee.Divide(guarantee.Entitlements(c, now), t.presentWorkers())
	t.planner.SetEntitlements(parts[t.options.DataCentre])
	t.planner.SetShortfalls(shortfalls)
	t.guarantees = guarantee.Verdict{Holds: len(shortfalls) == 0, Shortfalls: shortfalls}
	t.nextClosing = c.NextClose(now)
}

// organisationClosed reports whether an organisation has closed while a guarantee
// has no placement. The guarantees of a closed organisation no longer count. The
// journal has no record of the closing time, so lending would not resume without
// this check.
func (t *term) organisationClosed() bool {
	return !t.guarantees.Holds && !t.nextClosing.IsZero() && !time.Now().Before(t.nextClosing)
}

// auditShortfalls writes to the audit trail which guarantees of the deployment
// have lost their placement, and when all have one again.
func (t *term) auditShortfalls() {
	if t.reportedVerdict == "" {
		t.reportedVerdict = t.lastVerdict()
	}
	verdict := t.guarantees.String()
	if verdict == t.reportedVerdict {
		return
	}
	t.reportedVerdict = verdict
	if t.reportsForDeployment() {
		t.audit(auditGuarantees, "deployment", "workers were lost or came back, or the configuration changed", verdict)
	}
}

// lastVerdict returns the verdict that was audited last. Before the first one,
// every guarantee is taken to have its placement.
func (t *term) lastVerdict() string {
	last := guarantee.Verdict{Holds: true}.String()
	for _, e := range t.journal.AuditTrail() {
		if e.Audit.Action == auditGuarantees {
			last = e.Audit.After
		}
	}
	return last
}

// reportsForDeployment selects one of the schedulers, which all reach the same
// verdict: that of the first data centre by name that has workers.
func (t *term) reportsForDeployment() bool {
	first := t.options.DataCentre
	for i, w := range t.presentWorkers() {
		if i == 0 || w.DataCentre < first {
			first = w.DataCentre
		}
	}
	return first == t.options.DataCentre
}

// presentWorkers returns the workers of all data centres that are not reported
// lost. All schedulers take them from the journal, so that they agree when a
// guarantee moves to another data centre after the loss of its workers.
func (t *term) presentWorkers() []worker.Worker {
	lost := t.journal.LostWorkers()
	return slices.DeleteFunc(slices.Clone(t.options.Workers), func(w worker.Worker) bool { return lost.Has(w.Name) })
}

// reportWorkers writes to the journal which workers of this data centre are lost
// or back, where the journal differs. A worker may be lost and back before the
// first report is folded, so reports follow the state and not the events.
func (t *term) reportWorkers() {
	lost := t.journal.LostWorkers()
	for name, h := range t.workers {
		known := h.leased || h.lost
		if known && !h.reporting && lost.Has(name) != h.lost {
			h.reporting = true
			t.report(name, h.lost)
		}
	}
}

// report appends one loss or recovery of a worker.
func (t *term) report(name string, lost bool) {
	t.work.Go("report of "+name, func(ctx context.Context) error {
		// The next term reports again if this one ends before the record is folded.
		_ = t.record(ctx, journal.WorkerReported{Worker: name, Lost: lost})
		t.post(ctx, func(t *term) { t.workers[name].reporting = false })
		return nil
	})
}

// reconcileJob brings the term in line with the journal's state of one job.
func (t *term) reconcileJob(id request.Identity) {
	js, known := t.journal.Job(id)
	a := t.attempts[id]
	switch {
	case a != nil:
		t.reconcileAttempt(a, js)
	case !known || js.State == job.Ended:
		t.forgetJob(id)
	case js.State == job.Queued:
		t.offer(js)
	case js.DataCentre != t.options.DataCentre:
		t.forgetJob(id)
	default:
		t.forgetWaiting(id)
		t.settlements[id] = settlement{claim: js.Claim, learnedAt: time.Now()}
	}
}

// reconcileAttempt cancels the gang of an attempt when the job is cancelled or
// the claim is lost.
func (t *term) reconcileAttempt(a *attempt, js journal.JobState) {
	if a.gang == nil {
		return // The attempt checks the journal itself before it starts.
	}
	if js.Claim != a.claim || js.CancelRequested {
		a.gang.Cancel()
	}
}

// forgetWaiting removes a job that no longer waits from the planner and from the
// delayed jobs.
func (t *term) forgetWaiting(id request.Identity) {
	t.planner.Cancel(id)
	delete(t.delayed, id)
}

// forgetJob removes all that the term keeps about a job without an attempt.
func (t *term) forgetJob(id request.Identity) {
	t.forgetWaiting(id)
	delete(t.settlements, id)
	t.health.forget(id)
}

// offer schedules a queued job for submission to the planner, after the data
// centres that come first have had their time. A job that fits no data centre is
// delayed as well, and offerDelayed ends it.
func (t *term) offer(js journal.JobState) {
	delete(t.settlements, js.Job.Identity)
	wait, first := t.claimDelay(js.Job)
	reason := "nothing: the next decision offers it"
	if len(first) > 0 {
		reason = "the earlier turn of data centre " + strings.Join(first, ", ")
	}
	if err := t.emptyPlanners[t.options.DataCentre].CanEverRun(js.Job); err != nil {
		if t.canRunElsewhere(js.Job) {
			return
		}
		reason = fmt.Sprintf("no data centre can run the job: %v", err)
	}
	if _, waits := t.delayed[js.Job.Identity]; !waits {
		t.delayed[js.Job.Identity] = delayed{time.Now().Add(wait), reason}
	}
}

// canRunElsewhere reports whether another data centre can ever run the job.
func (t *term) canRunElsewhere(j job.Job) bool {
	for name, p := range t.emptyPlanners {
		if name != t.options.DataCentre && p.CanEverRun(j) == nil {
			return true
		}
	}
	return false
}

// claimDelay returns how long this data centre leaves the job to others, and to
// which. Without a preferred data centre, the data centres take turns in an order
// that depends on the job, so that they seldom claim the same job at once.
func (t *term) claimDelay(j job.Job) (wait time.Duration, first []string) {
	if j.DataCentre == t.options.DataCentre {
		return 0, nil
	}
	if _, known := t.emptyPlanners[j.DataCentre]; known {
		return t.timing.ClaimDelay, []string{j.DataCentre + ", which the job prefers"}
	}
	order := t.claimOrder(j)
	turn := max(slices.Index(order, t.options.DataCentre), 0)
	return t.timing.ClaimDelay * time.Duration(turn) / time.Duration(max(len(order), 1)), order[:turn]
}

// claimOrder lists the data centres that can ever run the job in the order of
// their turns. The preferred one comes first.
func (t *term) claimOrder(j job.Job) []string {
	names := collection.NewSet[string]()
	for name, p := range t.emptyPlanners {
		if p.CanEverRun(j) == nil {
			names.Add(name)
		}
	}
	order := names.Sorted()
	slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(claimRank(j, a), claimRank(j, b)) })
	if at := slices.Index(order, j.DataCentre); at > 0 {
		order = slices.Insert(slices.Delete(order, at, at+1), 0, j.DataCentre)
	}
	return order
}

// delayReclaim lets only one data centre at a time reclaim accelerators for an
// urgent job. Each takes its turn when the ones before it have not started the
// job in theirs. Turns are counted from the submission, so they may begin early
// or late by the difference between the clocks.
func (t *term) delayReclaim(j job.Job) {
	turn := slices.Index(t.claimOrder(j), t.options.DataCentre)
	if j.Urgent && turn > 0 {
		t.planner.DelayReclaim(j.Identity, j.Submitted.Add(time.Duration(turn)*t.timing.ReclaimInterval))
	}
}

// claimRank orders the data centres by a hash of the job and the data centre.
func claimRank(j job.Job, name string) uint32 {
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
		if !known || js.State != job.Queued || t.attempts[id] != nil {
			delete(t.delayed, id)
			continue
		}
		due = append(due, js)
	}
	slices.SortFunc(due, func(a, b journal.JobState) int { return cmp.Compare(a.Submitted, b.Submitted) })
	for _, js := range due {
		reason := t.delayed[js.Job.Identity].reason
		delete(t.delayed, js.Job.Identity)
		if t.emptyPlanners[t.options.DataCentre].CanEverRun(js.Job) != nil {
			t.endUnplaceable(js, reason)
			continue
		}
		j := js.Job
		j.RunTime = max(j.RunTime-js.Progress, 0)
		t.planner.Submit(j)
		t.delayReclaim(j)
	}
}

func (t *term) summary() Summary {
	s := Summary{Placement: t.planner.Summary(), ActiveAttempts: len(t.attempts)}
	quarantined := collection.NewSet[string]()
	for name, h := range t.workers {
		if h.leased {
			s.LeasedWorkers++
		}
		if c := t.health.workers[name]; c != nil && c.quarantine > 0 {
			quarantined.Add(name)
		}
	}
	s.Quarantined = quarantined.Sorted()
	return s
}
