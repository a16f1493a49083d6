package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"wasabihoist/internal/traffic/request"
)

// explain says why a job waits or where it runs. What the term knows of the job
// takes precedence over what the planner knows.
func (t *term) explain(id request.Identity) (Explanation, bool) {
	var x Explanation
	p, known := t.planner.Explain(id, time.Now())
	x.Placement = p
	x.WaitsFor, x.BlockedBy, x.WouldStartIf = p.WaitsFor, p.BlockedBy, p.WouldStartIf
	if d, ok := t.delayed[id]; ok {
		x.Reason, known = d.reason, true
		t.explainDelay(id, d, &x)
	}
	if _, ok := t.unsettledClaims[id]; ok {
		x.Reason, known = "the claim of an earlier scheduler is being settled", true
		t.explainUnsettledClaim(id, &x)
	}
	if a := t.attempts[id]; a != nil && !a.startDone {
		x.Reason, known = "the attempt is being started", true
	}
	if x.WaitsFor == "" {
		x.WaitsFor = x.Reason
	}
	return x, known
}

// explainDelay explains a job that is not submitted to the planner yet.
func (t *term) explainDelay(id request.Identity, d delayedJob, x *Explanation) {
	due := d.due.UTC().Format(time.RFC3339)
	x.WaitsFor = fmt.Sprintf("its turn in data centre %s at %s", t.options.DataCentre, due)
	x.BlockedBy = d.reason
	x.WouldStartIf = fmt.Sprintf("it is %s, no other data centre has claimed the job, and a place is free", due)
	if js, ok := t.journal.Job(id); ok && t.emptyPlanners[t.options.DataCentre].CanEverRun(js.Job) != nil {
		x.WaitsFor = fmt.Sprintf("workers on which it fits; without them it ends as not-run at %s", due)
		x.WouldStartIf = fmt.Sprintf("workers with room for %s, each member with %g cores and %d MB, are added before %s",
			js.Job.Shape, js.Job.Cores, js.Job.Memory/1e6, due)
	}
}

// explainUnsettledClaim explains a job whose claim waits for reports of its workers.
func (t *term) explainUnsettledClaim(id request.Identity, x *Explanation) {
	js, _ := t.journal.Job(id)
	var unleased []string
	for _, name := range slices.Compact(slices.Sorted(slices.Values(js.Workers))) {
		if ws := t.workers[name]; ws != nil && !ws.lost && !ws.leased {
			unleased = append(unleased, name)
		}
	}
	x.WaitsFor = "reports of its workers: it is not known yet whether its gang runs"
	x.BlockedBy = "the claim of the earlier scheduler " + js.Claimant
	x.WouldStartIf = "the next report of its workers arrives"
	if len(unleased) > 0 {
		list := strings.Join(unleased, ", ")
		x.BlockedBy += " on worker " + list + ", which does not answer"
		x.WouldStartIf = fmt.Sprintf("worker %s answers, or stays silent until its lease of %s has lapsed", list, t.timing.TTL)
	}
}
