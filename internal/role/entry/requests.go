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

func (e *Entry) handleRequestSubmit(w http.ResponseWriter, r *http.Request, organisationName string) {
	var body restapi.Request
	if err := decodeJSON(r.Body, &body); err != nil {
		e.counters.Invalid.Add(1)
		writeInvalid(w, err)
		return
	}
	submitted, err := requestFromBody(body, organisationName)
	if err != nil {
		e.counters.Invalid.Add(1)
		writeInvalid(w, err)
		return
	}
	e.counters.Requests.Add(1)
	answer := e.runRequest(r.Context(), submitted)
	e.counters.countOutcome(answer.Outcome)
	writeAnswer(w, answerStatus(answer.Outcome), answer)
}

func (e *Entry) runRequest(ctx context.Context, r request.Request) request.Answer {
	if known, ok := e.recordedAnswer(r.Identity); ok {
		return known
	}
	if reason := e.requestRefusal(r); reason != "" {
		// An earlier call with this identity may have run.
		if known, ok := e.router.Lookup(ctx, r.Identity); ok {
			return known
		}
		return e.router.Refuse(ctx, r, reason)
	}
	return e.router.Run(ctx, r)
}

// requestRefusal returns why the request is not accepted, or an empty string.
// It never refuses a claimed identity, because its request may have run.
func (e *Entry) requestRefusal(r request.Request) string {
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
	plan, reason := e.planFor(r.Identity.Organisation, r.Kind)
	if reason != "" {
		return reason
	}
	if !plan.AllowsService(r.Service) {
		return fmt.Sprintf("plan %s does not include service %s", plan.Name, r.Service)
	}
	return ""
}

// planFor returns the plan of an organisation if it allows the kind, or why it
// does not.
func (e *Entry) planFor(organisationName, kind string) (organisation.Plan, string) {
	o, plan, ok := e.journal.Configuration().PlanOf(organisationName)
	switch {
	case !ok:
		return plan, fmt.Sprintf("organisation %s has no plan", organisationName)
	case !o.Open(e.now()):
		return plan, fmt.Sprintf("the plan of %s closed at %s", organisationName, o.Closes.Format(time.RFC3339))
	case !plan.AllowsKind(kind):
		return plan, fmt.Sprintf("plan %s does not include kind %s", plan.Name, kind)
	}
	return plan, ""
}

// recordedAnswer returns the final answer of a request from the journal. Only
// non-idempotent requests have one.
func (e *Entry) recordedAnswer(id request.Identity) (request.Answer, bool) {
	known, ok := e.journal.Request(id)
	if !ok || known.Outcome == request.Pending {
		return request.Answer{}, false
	}
	return request.Answer{Identity: id, Outcome: known.Outcome, Reason: known.Reason, Body: known.Body}, true
}

func (e *Entry) handleRequestStatus(w http.ResponseWriter, r *http.Request, organisationName string) {
	id := request.Identity{Organisation: organisationName, ID: r.PathValue("id")}
	answer, err := e.findAnswer(r.Context(), id)
	if err != nil {
		writeLookupError(w, err)
		return
	}
	writeAnswer(w, answerStatus(answer.Outcome), answer)
}

// findAnswer returns the answer of a request from the journal or from an agent.
// Before it returns errRequestNotFound, it brings the journal up to date with
// the log; if that fails, it returns errUnconfirmed.
func (e *Entry) findAnswer(ctx context.Context, id request.Identity) (request.Answer, error) {
	if answer, ok := e.recordedAnswer(id); ok {
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
	if answer, ok := e.recordedAnswer(id); ok {
		return answer, nil
	}
	if known, ok := e.journal.Request(id); ok {
		return e.unfinishedAnswer(id, known.Deadline), nil
	}
	return request.Answer{}, errRequestNotFound
}

// unfinishedAnswer returns the answer for a claimed request that no agent
// knows: Pending until its deadline, then Unknown.
func (e *Entry) unfinishedAnswer(id request.Identity, deadline time.Time) request.Answer {
	if e.now().Before(deadline) {
		return request.Answer{Identity: id, Outcome: request.Pending, Reason: "claimed by an agent"}
	}
	return request.Answer{Identity: id, Outcome: request.Unknown, Reason: "claimed by an agent that left no result"}
}

// answerStatus returns the HTTP status of an answer: 202 while it is pending,
// 200 for every outcome. A bad outcome is no error status, because callers and
// load balancers would take that for a failure of the entry.
func answerStatus(o request.Outcome) int {
	if o == request.Pending {
		return http.StatusAccepted
	}
	return http.StatusOK
}
