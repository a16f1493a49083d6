package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

func (e *Entry) handleRequest(w http.ResponseWriter, r *http.Request, name string) {
	var body restapi.Request
	if err := decodeJSON(r.Body, &body); err != nil {
		e.counters.Invalid.Add(1)
		writeInvalid(w, err)
		return
	}
	submitted, err := requestFromBody(body, name)
	if err != nil {
		e.counters.Invalid.Add(1)
		writeInvalid(w, err)
		return
	}
	e.counters.Requests.Add(1)
	answer := e.runRequest(r.Context(), submitted)
	e.counters.count(answer.Outcome)
	writeAnswer(w, answerStatus(answer.Outcome), answer)
}

func (e *Entry) runRequest(ctx context.Context, r request.Request) request.Answer {
	if known, ok := e.finished(r.Identity); ok {
		return known
	}
	if reason := e.refuseRequest(r); reason != "" {
		// An earlier call with this identity may have run.
		if known, ok := e.router.Lookup(ctx, r.Identity); ok {
			return known
		}
		return e.router.Refuse(ctx, r, reason)
	}
	return e.router.Run(ctx, r)
}

// refuseRequest returns why the request is not accepted. A claimed identity is
// never refused here, because its request may have run.
func (e *Entry) refuseRequest(r request.Request) string {
	if _, claimed := e.journal.Request(r.Identity); claimed {
		return ""
	}
	now := e.now()
	if !r.Deadline.After(now) {
		return "the deadline has passed"
	}
	if r.Deadline.After(now.Add(e.options.MaxDeadline)) {
		return fmt.Sprintf("the deadline is more than %s ahead", e.options.MaxDeadline)
	}
	plan, reason := e.plan(r.Identity.Organisation, r.Kind)
	if reason != "" {
		return reason
	}
	if !plan.AllowsService(r.Service) {
		return fmt.Sprintf("plan %s does not include service %s", plan.Name, r.Service)
	}
	return ""
}

// plan returns the plan that allows the kind, or why there is none.
func (e *Entry) plan(name, kind string) (organisation.Plan, string) {
	o, plan, ok := e.journal.Configuration().PlanOf(name)
	switch {
	case !ok:
		return plan, fmt.Sprintf("organisation %s has no plan", name)
	case !o.Open(e.now()):
		return plan, fmt.Sprintf("the plan of %s closed at %s", name, o.Closes.Format(time.RFC3339))
	case !plan.AllowsKind(kind):
		return plan, fmt.Sprintf("plan %s does not include kind %s", plan.Name, kind)
	}
	return plan, ""
}

// finished returns the journaled answer of a non-idempotent request.
func (e *Entry) finished(id request.Identity) (request.Answer, bool) {
	known, ok := e.journal.Request(id)
	if !ok || known.Outcome == request.Pending {
		return request.Answer{}, false
	}
	return request.Answer{Identity: id, Outcome: known.Outcome, Reason: known.Reason, Body: known.Body}, true
}

func (e *Entry) handleRequestStatus(w http.ResponseWriter, r *http.Request, name string) {
	id := request.Identity{Organisation: name, ID: r.PathValue("id")}
	answer, err := e.findAnswer(r.Context(), id)
	if err != nil {
		writeLookupError(w, err)
		return
	}
	writeAnswer(w, answerStatus(answer.Outcome), answer)
}

// findAnswer returns what became of a request that an agent knows or that was
// on the log at the call.
func (e *Entry) findAnswer(ctx context.Context, id request.Identity) (request.Answer, error) {
	if answer, ok := e.finished(id); ok {
		return answer, nil
	}
	if answer, ok := e.router.Lookup(ctx, id); ok {
		return answer, nil
	}
	if _, ok := e.journal.Request(id); !ok {
		if err := e.catchUp(ctx); err != nil {
			return request.Answer{}, err
		}
	}
	if answer, ok := e.finished(id); ok {
		return answer, nil
	}
	if known, ok := e.journal.Request(id); ok {
		return e.unfinished(id, known.Deadline), nil
	}
	return request.Answer{}, errNoRequest
}

// unfinished is the answer for a claimed request that no agent knows.
func (e *Entry) unfinished(id request.Identity, deadline time.Time) request.Answer {
	if e.now().Before(deadline) {
		return request.Answer{Identity: id, Outcome: request.Pending, Reason: "claimed by an agent"}
	}
	return request.Answer{Identity: id, Outcome: request.Unknown, Reason: "claimed by an agent that left no result"}
}

// answerStatus is the HTTP status of an answer. Every final outcome is an
// answer to the call, so callers and balancers must not take it for a failure
// of the entry.
func answerStatus(o request.Outcome) int {
	if o == request.Pending {
		return http.StatusAccepted
	}
	return http.StatusOK
}
