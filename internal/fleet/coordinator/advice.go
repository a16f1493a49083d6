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
	// adviceBatch is how many minions are asked about at a time. The adviser takes
	// longer for each of them, and one call waits for the other.
	adviceBatch = 30
	// adviceTimeout bounds a call. The adviser serves the calls of a host in turn.
	adviceTimeout = 5 * time.Second
	// advicePause follows a failed call.
	advicePause = 200 * time.Millisecond
	// ticketMargin is how much longer than now a ticket has to be valid, so that
	// the start arrives in time. It is at most half of the validity.
	ticketMargin = 500 * time.Millisecond
)

// Adviser knows which minions may run a step. What it says of a step does not
// change, but a ticket has to be renewed.
type Adviser interface {
	Advise(ctx context.Context, step workload.StepID, minions []string) (Advice, error)
}

// Advice is the answer on some minions.
type Advice struct {
	Tickets  map[string]string // Tickets holds one for each minion that may run the step, by its id.
	Validity time.Duration     // Validity of the tickets, from the answer on.
}

// ticket permits the starts of a step on one incarnation of a minion.
type ticket struct {
	text  string
	until time.Duration // until is when it is used for the last time.
}

// advice is what the adviser has said of a step.
type advice struct {
	tickets map[string]ticket      // tickets by incarnation, also those that are no longer valid.
	denied  collection.Set[string] // denied holds the ids of minions that may not run the step.
}

// question is a call on the adviser.
type question struct {
	job     *jobState
	step    int
	minions map[string]string // minions holds the incarnation of each id.
}

// advising is the state of the calls on the adviser. One is in progress at a
// time, because the adviser takes no more from one host.
type advising struct {
	busy bool
	next *question // next is the most urgent question that the last plan has found.
}

// permitted returns the hosts that may run a step, and notes what has to be
// asked so that more of them may. It is called for the steps in the order of
// their urgency.
func (t *term) permitted(j *jobState, step int, service string, tasks int, rank allocation.Rank) collection.Option[collection.Set[string]] {
	plans := t.catalogue.Get()
	if plans == nil {
		return collection.None[collection.Set[string]]()
	}
	if queue, ok := plans.Queue(j.job.Queue); !ok || !queue.UsesAdviser {
		return collection.None[collection.Set[string]]()
	}
	at := now()
	known := j.adviceOn(step)
	need := j.job.Step(step).ReservedResources()
	only := collection.NewSet[string]()
	room := 0
	var candidates []*hostState
	for _, h := range t.hosts {
		if !h.open(at) || h.minion.Service != service || known.denied.Has(h.minion.ID) {
			continue
		}
		fits := h.free().FitCount(need)
		if ticket := known.tickets[h.minion.Incarnation()]; ticket.until > at {
			only.Add(h.name)
			room += fits
		} else if fits > 0 || rank <= allocation.Urgent {
			candidates = append(candidates, h)
		}
	}
	if room < tasks && t.advising.next == nil && len(candidates) > 0 {
		t.advising.next = newQuestion(j, step, candidates)
	}
	return collection.Some(only)
}

// newQuestion asks about the hosts with the most room first.
func newQuestion(j *jobState, step int, candidates []*hostState) *question {
	need := j.job.Step(step).ReservedResources()
	slices.SortFunc(candidates, func(a, b *hostState) int {
		return cmp.Or(cmp.Compare(b.free().FitCount(need), a.free().FitCount(need)), cmp.Compare(a.name, b.name))
	})
	q := &question{j, step, make(map[string]string)}
	for _, h := range candidates[:min(len(candidates), adviceBatch)] {
		q.minions[h.minion.ID] = h.minion.Incarnation()
	}
	return q
}

func (j *jobState) adviceOn(step int) *advice {
	known := j.advice[step]
	if known == nil {
		known = &advice{tickets: make(map[string]ticket), denied: collection.NewSet[string]()}
		if j.advice == nil {
			j.advice = make(map[int]*advice)
		}
		j.advice[step] = known
	}
	return known
}

// askAdvice puts the question that the last plan has found.
func (t *term) askAdvice() {
	q, adviser := t.advising.next, t.settings().Adviser
	t.advising.next = nil
	if q == nil || t.advising.busy || adviser == nil {
		return
	}
	t.advising.busy = true
	t.group.Go("advice", func(ctx context.Context) error {
		ids := collection.NewSet[string]()
		for id := range q.minions {
			ids.Add(id)
		}
		callCtx, cancel := context.WithTimeout(ctx, adviceTimeout)
		sent := now()
		answer, err := adviser.Advise(callCtx, q.job.job.StepID(q.step), ids.Sorted())
		cancel()
		if err != nil {
			_ = level.Warn(t.logger).Log("event", "no advice", "job", q.job.job.ID, "step", q.step, "minions", len(ids), "took", ago(sent), "reason", err)
			_ = group.Pause(ctx, advicePause)
		} else {
			_ = level.Info(t.logger).Log("event", "advice", "job", q.job.job.ID, "step", q.step, "minions", len(ids), "permitted", len(answer.Tickets), "took", ago(sent))
		}
		t.do(func() {
			t.advising.busy, t.replan = false, true
			if err == nil {
				q.take(answer)
			}
		})
		return nil
	})
}

// take notes the answer to a question.
func (q *question) take(a Advice) {
	known := q.job.adviceOn(q.step)
	until := now() + a.Validity - min(ticketMargin, a.Validity/2)
	for id, incarnation := range q.minions {
		if text, ok := a.Tickets[id]; ok {
			known.tickets[incarnation] = ticket{text, until}
		} else {
			known.denied.Add(id)
		}
	}
}

// ticket returns the ticket for the start of a step on a host; empty when there
// is none.
func (t *term) ticket(j *jobState, step int, h *hostState) string {
	known := j.advice[step]
	if known == nil {
		return ""
	}
	return known.tickets[h.minion.Incarnation()].text
}

// dropTicket forgets a ticket that a minion has refused.
func (t *term) dropTicket(r *run) {
	if known := r.attempt.job.advice[r.attempt.step]; known != nil {
		delete(known.tickets, r.minion)
	}
}
