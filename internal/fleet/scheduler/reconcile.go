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
	parts, shortfalls := guarantee.Divide(guarantee.Entitlements(c, now), t.workersNotLost())
	t.planner.SetEntitlements(parts[t.options.DataCentre])
	t.planner.SetShortfalls(shortfalls)
	t.guarantees = guarantee.Verdict{Holds: len(shortfalls) == 0, Shortfalls: shortfalls}
	t.nextClose = c.NextClose(now)
}

// organisationClosed reports whether an organisation has closed while a guarantee
// has no placement. The guarantees of a closed organisation no longer count. The
// journal has no record of the closing time, so lending would not resume without
// this check.
func (t *term) organisationClosed() bool {
	return !t.guarantees.Holds && !t.nextClose.IsZero() && !time.Now().Before(t.nextClose)
}

// auditShortfalls writes to the audit trail which guarantees of the deployment
// have lost their placement, and when all have one again.
func (t *term) auditShortfalls() {
	if t.auditedVerdict == "" {
		t.auditedVerdict = t.lastVerdict()
	}
	verdict := t.guarantees.String()
	if verdict == t.auditedVerdict {
		return
	}
	t.auditedVerdict = verdict
	if t.auditsForDeployment() {
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

// auditsForDeployment reports whether this scheduler audits the verdict on the
// guarantees. All schedulers reach the same verdict, so only that of the first data
// centre by name that has workers audits it.
func (t *term) auditsForDeployment() bool {
	first := t.options.DataCentre
	for i, w := range t.workersNotLost() {
		if i == 0 || w.DataCentre < first {
			first = w.DataCentre
		}
	}
	return first == t.options.DataCentre
}

// workersNotLost returns the workers of all data centres without those that the
// journal shows as lost. All schedulers use the journal, so that they agree when
// a guarantee moves to another data centre after the loss of its workers.
func (t *term) workersNotLost() []worker.Worker {
	lost := t.journal.LostWorkers()
	return slices.DeleteFunc(slices.Clone(t.options.Workers), func(w worker.Worker) bool { return lost.Has(w.Name) })
}

// recordWorkerStates appends a record for each worker of this data centre whose
// loss or recovery the journal does not show. A worker may be lost and recover
// before the first record is folded, so the records follow from the state of the
// worker and not from events.
func (t *term) recordWorkerStates() {
	lost := t.journal.LostWorkers()
	for name, ws := range t.workers {
		known := ws.leased || ws.lost
		if known && !ws.stateRecordPending && lost.Has(name) != ws.lost {
			ws.stateRecordPending = true
			t.recordWorkerState(name, ws.lost)
		}
	}
}

// recordWorkerState appends the record of one loss or recovery of a worker.
func (t *term) recordWorkerState(name string, lost bool) {
	t.work.Go("report of "+name, func(ctx context.Context) error {
		// The next term appends it again if this one ends before the record is folded.
		_ = t.appendRecord(ctx, journal.WorkerReported{Worker: name, Lost: lost})
		t.post(ctx, func(t *term) { t.workers[name].stateRecordPending = false })
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
		t.scheduleSubmission(js)
	case js.DataCentre != t.options.DataCentre:
		t.forgetJob(id)
	default:
		t.forgetWaiting(id)
		t.unsettledClaims[id] = unsettledClaim{claim: js.Claim, learnedAt: time.Now()}
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
	delete(t.unsettledClaims, id)
	t.health.forget(id)
}

// scheduleSubmission schedules a queued job for submission to the planner, once
// the turns of the data centres before this one have passed. A job that no data
// centre can run is scheduled as well, and submitDue ends it when it is due.
func (t *term) scheduleSubmission(js journal.JobState) {
	delete(t.unsettledClaims, js.Job.Identity)
	wait, earlier := t.claimDelay(js.Job)
	reason := "nothing: the next decision offers it"
	if len(earlier) > 0 {
		reason = "the earlier turn of data centre " + strings.Join(earlier, ", ")
	}
	if err := t.emptyPlanners[t.options.DataCentre].CanEverRun(js.Job); err != nil {
		if t.canRunElsewhere(js.Job) {
			return
		}
		reason = fmt.Sprintf("no data centre can run the job: %v", err)
	}
	if _, waits := t.delayed[js.Job.Identity]; !waits {
		t.delayed[js.Job.Identity] = delayedJob{time.Now().Add(wait), reason}
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

// claimDelay returns how long this data centre leaves the job to others, and the
// data centres that come before it. Without a preferred data centre, the data
// centres take turns in an order that depends on the job, so that they seldom
// claim the same job at once.
func (t *term) claimDelay(j job.Job) (wait time.Duration, earlier []string) {
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

// delayReclaim keeps the planner from reclaiming accelerators for an urgent job
// before the turn of this data centre, so that only one data centre at a time
// reclaims for the job. A turn comes when the earlier ones have passed without a
// start of the job. Turns are counted from the submission, so they may begin
// early or late by the difference between the clocks.
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

// submitDue submits the delayed jobs that are due to the planner, in the order of
// their submission, and ends those that can never run.
func (t *term) submitDue(now time.Time) {
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

// summary implements Scheduler.Summary.
func (t *term) summary() Summary {
	s := Summary{Placement: t.planner.Summary(), ActiveAttempts: len(t.attempts)}
	quarantined := collection.NewSet[string]()
	for name, ws := range t.workers {
		if ws.leased {
			s.LeasedWorkers++
		}
		if w := t.health.workers[name]; w != nil && w.quarantine > 0 {
			quarantined.Add(name)
		}
	}
	s.Quarantined = quarantined.Sorted()
	return s
}
