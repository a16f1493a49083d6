package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/traffic/request"
)

func (e *Entry) handleJobSubmit(w http.ResponseWriter, r *http.Request, organisationName string) {
	var body restapi.Job
	if err := decodeJSON(r.Body, &body); err != nil {
		e.counters.Invalid.Add(1)
		writeInvalid(w, err)
		return
	}
	submitted, err := jobFromBody(body, organisationName, e.now())
	if err != nil {
		e.counters.Invalid.Add(1)
		writeInvalid(w, err)
		return
	}
	e.counters.Jobs.Add(1)
	if state, ok := e.journal.Job(submitted.Identity); ok {
		writeJob(w, state)
		return
	}
	if reason := e.jobRefusal(submitted); reason != "" {
		e.refuseJob(r.Context(), w, submitted.Identity, reason)
		return
	}
	e.submitJob(r.Context(), w, submitted)
}

// refuseJob writes the state of a job that another entry has accepted, or NotRun
// with the reason. While the log is down, it finds only the jobs that this entry
// has read.
func (e *Entry) refuseJob(ctx context.Context, w http.ResponseWriter, id request.Identity, reason string) {
	ctx, cancel := context.WithTimeout(ctx, e.options.AppendTimeout)
	defer cancel()
	if state, err := e.findJob(ctx, id); err == nil {
		writeJob(w, state)
		return
	}
	e.writeJobOutcome(w, id, request.NotRun, reason)
}

func (e *Entry) submitJob(ctx context.Context, w http.ResponseWriter, j job.Job) {
	ctx, cancel := context.WithTimeout(ctx, e.options.AppendTimeout)
	defer cancel()
	_, err := e.writer.Append(ctx, journal.JobSubmitted{Job: j})
	// An invalid verdict means that another entry submitted the same identity
	// first; the caller gets that job.
	state, known := e.journal.Job(j.Identity)
	switch {
	case known:
		writeJob(w, state)
	case errors.Is(err, journal.ErrNotAppended):
		e.writeJobOutcome(w, j.Identity, request.NotRun, "the log does not take submissions now")
	default:
		e.writeJobOutcome(w, j.Identity, request.Unknown, "the log has not confirmed the submission; ask again by its id")
	}
}

// writeJobOutcome counts and writes the outcome of a submission that the journal
// does not show: NotRun or Unknown.
func (e *Entry) writeJobOutcome(w http.ResponseWriter, id request.Identity, o request.Outcome, reason string) {
	e.counters.countOutcome(o)
	writeJSON(w, answerStatus(o), restapi.JobStatus{ID: id.ID, Outcome: o.String(), Reason: reason})
}

// jobRefusal returns why the job is not accepted, or an empty string.
func (e *Entry) jobRefusal(j job.Job) string {
	plan, reason := e.planFor(j.Identity.Organisation, j.Kind)
	if reason != "" {
		return reason
	}
	if total := j.Shape.Total(); total > plan.AcceleratorLimit {
		return fmt.Sprintf("the job needs %d accelerators, plan %s allows %d", total, plan.Name, plan.AcceleratorLimit)
	}
	if j.Urgent && !plan.Urgent {
		return fmt.Sprintf("plan %s does not include urgent jobs", plan.Name)
	}
	if err := e.fleet.CanEverRun(j); err != nil {
		return err.Error()
	}
	return ""
}

func (e *Entry) handleJobStatus(w http.ResponseWriter, r *http.Request, organisationName string) {
	id := request.Identity{Organisation: organisationName, ID: r.PathValue("id")}
	wait, err := e.waitFromQuery(r)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	state, err := e.findJob(r.Context(), id)
	if err != nil {
		writeLookupError(w, err)
		return
	}
	writeJob(w, e.awaitJobEnd(r.Context(), state, wait))
}

// findJob returns the state of a job from the journal. Another entry may have
// accepted the job a moment ago, so findJob brings the journal up to date with
// the log before it returns errJobNotFound; if that fails, it returns
// errUnconfirmed.
func (e *Entry) findJob(ctx context.Context, id request.Identity) (journal.JobState, error) {
	if state, ok := e.journal.Job(id); ok {
		return state, nil
	}
	if err := e.catchUp(ctx); err != nil {
		return journal.JobState{}, err
	}
	if state, ok := e.journal.Job(id); ok {
		return state, nil
	}
	return journal.JobState{}, errJobNotFound
}

// waitFromQuery returns the requested wait for the end of the job, at most
// MaxJobWait.
func (e *Entry) waitFromQuery(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait < 0 {
		return 0, fmt.Errorf("wait is %q: want a duration such as 30s", text)
	}
	return min(wait, e.options.MaxJobWait), nil
}

// awaitJobEnd returns the latest state of the job once the job has ended, wait
// has passed or ctx has ended.
func (e *Entry) awaitJobEnd(ctx context.Context, state journal.JobState, wait time.Duration) journal.JobState {
	timeout := time.After(wait)
	for {
		changed := e.journal.Watch()
		if latest, ok := e.journal.Job(state.Job.Identity); ok {
			state = latest
		}
		if state.State == job.Ended || wait == 0 {
			return state
		}
		select {
		case <-changed:
		case <-timeout:
			return state
		case <-ctx.Done():
			return state
		}
	}
}

func (e *Entry) handleJobCancel(w http.ResponseWriter, r *http.Request, organisationName string) {
	id := request.Identity{Organisation: organisationName, ID: r.PathValue("id")}
	state, err := e.findJob(r.Context(), id)
	if err != nil {
		writeLookupError(w, err)
		return
	}
	if state.State == job.Ended {
		writeJob(w, state)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), e.options.AppendTimeout)
	defer cancel()
	if _, err := e.writer.Append(ctx, journal.JobCancelled{Identity: id}); err != nil {
		writeProblem(w, http.StatusServiceUnavailable, "the log has not confirmed the cancellation; ask again")
		return
	}
	if latest, ok := e.journal.Job(id); ok {
		state = latest
	}
	writeJob(w, state)
}

func (e *Entry) handleExplanation(w http.ResponseWriter, r *http.Request, organisationName string) {
	e.explain(r.Context(), w, request.Identity{Organisation: organisationName, ID: r.PathValue("id")})
}

// explain writes what a job waits for, or its outcome, with its history. Only the
// scheduler can explain a job that has not ended.
func (e *Entry) explain(ctx context.Context, w http.ResponseWriter, id request.Identity) {
	state, err := e.findJob(ctx, id)
	if err != nil {
		writeLookupError(w, err)
		return
	}
	body := restapi.Explanation{ID: id.ID, State: state.State.String(), History: historyToBody(e.journal.History(id))}
	if state.State == job.Ended {
		body.WaitsFor = "nothing: the job has ended as " + state.Outcome.String()
		if state.Reason != "" {
			body.WaitsFor += ": " + state.Reason
		}
		writeJSON(w, http.StatusOK, body)
		return
	}
	explanation, err := e.fleet.Explain(ctx, state)
	if err != nil {
		writeProblem(w, http.StatusServiceUnavailable, fmt.Sprintf("the job is %s: %v", state.State, err))
		return
	}
	body.WaitsFor = explanation.WaitsFor
	body.BlockedBy = explanation.BlockedBy
	body.WouldStartIf = explanation.WouldStartIf
	writeJSON(w, http.StatusOK, body)
}

func historyToBody(entries []journal.HistoryEntry) []restapi.HistoryEntry {
	var list []restapi.HistoryEntry
	for _, h := range entries {
		list = append(list, restapi.HistoryEntry{
			Offset: h.Offset, Time: h.Time, Action: h.Action, Reason: h.Reason, After: h.After,
		})
	}
	return list
}
