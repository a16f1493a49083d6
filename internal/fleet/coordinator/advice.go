package coordinator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/workload"
)

const (
	// adviceBatchSize is the maximum number of minions in one query. A call
	// takes longer for each of them, and only one is in flight at a time.
	adviceBatchSize = 30
	// adviceTimeout bounds a call. The adviser serves one call of a host at a
	// time, so a call that hangs holds up the queries of all jobs.
	adviceTimeout = 5 * time.Second
	// adviceRetryDelay is the delay after a failed call.
	adviceRetryDelay = 200 * time.Millisecond
	// ticketMargin is the remaining validity that a ticket needs to be used, so
	// that the start arrives in time. It is at most half of the validity.
	ticketMargin = 500 * time.Millisecond
)

// Adviser decides which minions may run a step. Its decision about a minion
// does not change, but a ticket has to be renewed.
type Adviser interface {
	// Advise returns tickets for those of the minions, named by id, that may run
	// the step.
	Advise(ctx context.Context, step workload.StepID, minions []string) (Advice, error)
}

// Advice is the reply of an Adviser on some minions.
type Advice struct {
	Tickets  map[string]string // Tickets holds a ticket for each minion that may run the step, by minion id.
	Validity time.Duration     // Validity of the tickets, counted from the reply.
}

// ticket permits starts of a step on one incarnation of a minion.
type ticket struct {
	text        string
	usableUntil time.Duration // usableUntil is when the ticket may last be used, by the clock of now.
}

// stepAdvice is what the adviser has replied about a step.
type stepAdvice struct {
	tickets map[string]ticket      // tickets holds the tickets by incarnation, also expired ones.
	denied  collection.Set[string] // denied holds the ids of minions that may not run the step.
}

// adviceQuery is a query to the adviser.
type adviceQuery struct {
	job     *jobState
	step    int
	minions map[string]string // minions maps minion ids to incarnations.
}

// adviceCalls is the state of the calls to the adviser. One is in flight at a
// time, because the adviser accepts no more from one host.
type adviceCalls struct {
	busy bool
	next *adviceQuery // next is the most urgent query that the last plan has found.
}

// usesAdviser reports whether the starts of a job need tickets. For a job that an
// older version has accepted, the configuration in force decides; it may lack the
// queue by now.
func (t *term) usesAdviser(j *jobState) bool {
	if j.job.Adviser != workload.AdviserNotRecorded {
		return j.job.Adviser == workload.AdviserUsed
	}
	catalogue := t.catalogue.Get()
	if catalogue == nil {
		return false
	}
	queue, _ := catalogue.Queue(j.job.Queue)
	return queue.UsesAdviser
}

// permittedHosts returns the names of the hosts with a valid ticket for a step,
// or None if the job does not use the adviser.
// If not all waiting tasks fit on those of these hosts where the step has not
// failed, it also sets adviceCalls.next to a query about further hosts, unless a
// query is set. It is called for the steps in order of urgency, so the most urgent
// query is kept. For urgent work, hosts without free resources count as well,
// because it may preempt other work there.
func (t *term) permittedHosts(j *jobState, step int, service string, tasks int, rank allocation.Rank) collection.Option[collection.Set[string]] {
	if !t.usesAdviser(j) {
		return collection.None[collection.Set[string]]()
	}
	at := now()
	advice := j.adviceFor(step)
	need := j.job.Step(step).ReservedResources()
	permitted := collection.NewSet[string]()
	fitting := 0
	failures := j.failures(step)
	var candidates []*hostState
	for _, h := range t.hosts {
		if !h.acceptsWork(at) || h.minion.Service != service || advice.denied.Has(h.minion.ID) {
			continue
		}
		fits := h.free().FitCount(need)
		if ticket := advice.tickets[h.incarnation()]; ticket.usableUntil > at {
			permitted.Add(h.name)
			if !failures.failedOn(h.name) {
				fitting += fits
			}
		} else if t.adviceCalls.next == nil && (fits > 0 || rank <= allocation.Urgent) {
			candidates = append(candidates, h)
		}
	}
	if fitting < tasks && t.adviceCalls.next == nil && len(candidates) > 0 {
		t.adviceCalls.next = newAdviceQuery(j, step, candidates)
	}
	return collection.Some(permitted)
}

// newAdviceQuery returns a query about the candidates on which the most tasks of
// the step fit.
func newAdviceQuery(j *jobState, step int, candidates []*hostState) *adviceQuery {
	need := j.job.Step(step).ReservedResources()
	slices.SortFunc(candidates, func(a, b *hostState) int {
		return cmp.Or(cmp.Compare(b.free().FitCount(need), a.free().FitCount(need)), cmp.Compare(a.name, b.name))
	})
	q := &adviceQuery{j, step, make(map[string]string)}
	for _, h := range candidates[:min(len(candidates), adviceBatchSize)] {
		q.minions[h.minion.ID] = h.incarnation()
	}
	return q
}

func (j *jobState) adviceFor(step int) *stepAdvice {
	advice := j.advice[step]
	if advice == nil {
		advice = &stepAdvice{tickets: make(map[string]ticket), denied: collection.NewSet[string]()}
		if j.advice == nil {
			j.advice = make(map[int]*stepAdvice)
		}
		j.advice[step] = advice
	}
	return advice
}

// requestAdvice sends the query that the last plan has found, unless a call is
// in flight.
func (t *term) requestAdvice() {
	q, adviser := t.adviceCalls.next, t.settings().Adviser
	t.adviceCalls.next = nil
	if q == nil || t.adviceCalls.busy || adviser == nil {
		return
	}
	t.adviceCalls.busy = true
	t.group.Go("advice", func(ctx context.Context) error {
		ids := collection.NewSet[string]()
		for id := range q.minions {
			ids.Add(id)
		}
		callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
		sent := now()
		reply, err := adviser.Advise(callCtx, q.job.job.StepID(q.step), ids.Sorted())
		cancel()
		if err != nil {
			_ = level.Warn(t.logger).Log("event", "advice failed", "job", q.job.job.ID, "step", q.step, "minions", len(ids), "took", ago(sent), "reason", err)
			_ = group.Pause(ctx, adviceRetryDelay)
		} else {
			_ = level.Info(t.logger).Log("event", "advice", "job", q.job.job.ID, "step", q.step, "minions", len(ids), "permitted", len(reply.Tickets), "took", ago(sent))
		}
		t.post(func() {
			t.adviceCalls.busy, t.needsPlan = false, true
			if err == nil {
				q.apply(reply)
			}
		})
		return nil
	})
}

// apply records the reply to a query.
func (q *adviceQuery) apply(a Advice) {
	advice := q.job.adviceFor(q.step)
	until := now() + a.Validity - min(ticketMargin, a.Validity/2)
	for id, incarnation := range q.minions {
		if text, ok := a.Tickets[id]; ok {
			advice.tickets[incarnation] = ticket{text, until}
		} else {
			advice.denied.Add(id)
		}
	}
}

// ticketFor returns the ticket for the start of a step on a host; empty if
// there is none.
func (t *term) ticketFor(j *jobState, step int, h *hostState) string {
	advice := j.advice[step]
	if advice == nil {
		return ""
	}
	return advice.tickets[h.incarnation()].text
}

// dropTicket removes a ticket that a minion has refused.
func (t *term) dropTicket(r *run) {
	if advice := r.attempt.job.advice[r.attempt.step]; advice != nil {
		delete(advice.tickets, r.minion)
	}
}
