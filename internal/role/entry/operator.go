package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"wasabihoist/internal/base/finding"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/tenancy/configuration"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// defaultAuditEntries is the number of audit entries in a reply to a query
// without a limit.
const defaultAuditEntries = 100

// OperatorHandler returns the HTTP handler for operators. It is served at
// another address than the handler for callers.
func (e *Entry) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/configuration", e.requireOperator(e.handleConfiguration))
	mux.HandleFunc("POST /v1/configuration", e.requireOperator(e.handlePublish))
	mux.HandleFunc("GET /v1/members", e.requireOperator(e.handleMembers))
	mux.HandleFunc("GET /v1/fleet", e.requireOperator(e.handleFleet))
	mux.HandleFunc("GET /v1/jobs", e.requireOperator(e.handleJobs))
	mux.HandleFunc("GET /v1/jobs/{organisation}/{id}/explanation", e.requireOperator(e.handleOperatorExplanation))
	mux.HandleFunc("GET /v1/audit", e.requireOperator(e.handleAudit))
	return mux
}

// requireOperator authenticates an operator and limits the body before it calls
// next.
func (e *Entry) requireOperator(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !e.isOperator(r) {
			writeProblem(w, http.StatusUnauthorized, "the operator token is missing or wrong")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, e.options.MaxBodyBytes)
		next(w, r)
	}
}

func (e *Entry) handleConfiguration(w http.ResponseWriter, _ *http.Request) {
	current := e.journal.Configuration()
	plans, allowances, err := configuration.Format(current)
	if err != nil {
		writeProblem(w, http.StatusInternalServerError, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, restapi.Configuration{Version: current.Version, Plans: string(plans), Allowances: string(allowances)})
}

func (e *Entry) handlePublish(w http.ResponseWriter, r *http.Request) {
	var body restapi.PublishRequest
	if err := decodeJSON(r.Body, &body); err != nil {
		writeInvalid(w, err)
		return
	}
	edited, err := e.parseEdit(body)
	if err != nil {
		writeInvalid(w, err)
		return
	}
	before := e.journal.Configuration()
	ctx, cancel := context.WithTimeout(r.Context(), e.options.AppendTimeout)
	defer cancel()
	verdict, err := e.writer.Append(ctx, journal.ConfigurationPublished{
		Base:          body.BaseVersion,
		Operator:      body.Operator,
		Organisations: edited.Organisations,
		Plans:         edited.Plans,
	})
	switch {
	case errors.Is(err, journal.ErrNotAppended):
		writeProblem(w, http.StatusServiceUnavailable, "not published: the log does not take records now")
	case err != nil:
		writeProblem(w, http.StatusGatewayTimeout, "not known whether the configuration was published; read the version in force before publishing again")
	case !verdict.Valid:
		e.writeConflict(w, verdict.Reason, edited)
	default:
		e.writePublished(w, body, verdict.Offset, configuration.Difference(before, edited))
	}
}

// parseEdit parses the plans and allowances and checks that the workers in the
// last reports of the schedulers can hold their guarantees. Guarantees that
// cannot be held are returned as a *finding.List.
func (e *Entry) parseEdit(body restapi.PublishRequest) (organisation.Configuration, error) {
	edited, err := configuration.Parse(
		configuration.Source{Path: body.PlansPath, Data: []byte(body.Plans)},
		configuration.Source{Path: body.AllowancesPath, Data: []byte(body.Allowances)},
	)
	if err != nil {
		return edited, err
	}
	if err := e.fleet.CheckGuarantees(edited); err != nil {
		var findings *finding.List
		if errors.As(err, &findings) {
			return edited, err
		}
		list := &finding.List{}
		list.Addf(body.AllowancesPath, 0, "", "%v", err)
		return edited, list
	}
	return edited, nil
}

// writeConflict writes that an edit was not published, with its changes against
// the version in force.
func (e *Entry) writeConflict(w http.ResponseWriter, reason string, edited organisation.Configuration) {
	current := e.journal.Configuration()
	writeJSON(w, http.StatusConflict, restapi.Conflict{
		Error:   "not published: " + reason,
		Version: current.Version,
		Changes: changeLines(configuration.Difference(current, edited)),
	})
}

// writePublished records the publication in the audit trail and writes the reply
// with the changes.
func (e *Entry) writePublished(w http.ResponseWriter, body restapi.PublishRequest, version int64, changes []configuration.Change) {
	e.writer.Audit(journal.Audit{
		Actor:   body.Operator,
		Action:  "publish configuration",
		Subject: fmt.Sprintf("version %d", version),
		Reason:  fmt.Sprintf("%d changes", len(changes)),
		Before:  fmt.Sprintf("version %d", body.BaseVersion),
		After:   fmt.Sprintf("version %d", version),
	})
	writeJSON(w, http.StatusOK, restapi.PublishReply{Version: version, Changes: changeLines(changes)})
}

func changeLines(changes []configuration.Change) []string {
	lines := make([]string, 0, len(changes))
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	return lines
}

func (e *Entry) handleMembers(w http.ResponseWriter, _ *http.Request) {
	list := []restapi.Member{}
	for _, m := range e.members() {
		list = append(list, restapi.Member{
			Name: m.Name, Role: m.Role, Region: m.Region, DataCentre: m.DataCentre,
			Address: m.Address, State: m.State, Waiting: m.Waiting, Running: m.Running,
		})
	}
	writeJSON(w, http.StatusOK, list)
}

func (e *Entry) handleFleet(w http.ResponseWriter, _ *http.Request) {
	list := []restapi.DataCentre{}
	for _, d := range e.fleet.DataCentres() {
		list = append(list, dataCentreToBody(d))
	}
	writeJSON(w, http.StatusOK, list)
}

func dataCentreToBody(d DataCentre) restapi.DataCentre {
	body := restapi.DataCentre{
		Name:             d.Name,
		Scheduler:        d.Scheduler,
		FreeAccelerators: d.FreeAccelerators,
		LargestGang:      d.LargestGang,
		Fragmentation:    d.Fragmentation,
		Waiting:          d.Waiting,
		Running:          d.Running,
		Workers:          []restapi.Worker{},
	}
	for _, w := range d.Workers {
		body.Workers = append(body.Workers, restapi.Worker{
			Name: w.Name, Rack: w.Rack, State: d.WorkerStates[w.Name], Cores: w.Capacity.Cores,
			MemoryMB: w.Capacity.Memory / bytesPerMegabyte, Accelerators: w.Capacity.Accelerators,
		})
	}
	return body
}

func (e *Entry) handleJobs(w http.ResponseWriter, r *http.Request) {
	organisationFilter := r.URL.Query().Get("organisation")
	list := []restapi.OperatorJob{}
	for _, s := range e.journal.Jobs() {
		if organisationFilter == "" || s.Job.Identity.Organisation == organisationFilter {
			list = append(list, restapi.OperatorJob{Organisation: s.Job.Identity.Organisation, JobStatus: jobStatusToBody(s)})
		}
	}
	writeJSON(w, http.StatusOK, list)
}

func (e *Entry) handleOperatorExplanation(w http.ResponseWriter, r *http.Request) {
	e.explain(r.Context(), w, request.Identity{Organisation: r.PathValue("organisation"), ID: r.PathValue("id")})
}

func (e *Entry) handleAudit(w http.ResponseWriter, r *http.Request) {
	filter, err := auditFilterFromQuery(r.URL.Query())
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	list := []restapi.AuditEntry{}
	for _, a := range filter.apply(e.journal.AuditTrail()) {
		list = append(list, restapi.AuditEntry{
			Offset: a.Offset, Time: a.Time, Actor: a.Audit.Actor, Action: a.Audit.Action,
			Subject: a.Audit.Subject, Reason: a.Audit.Reason, Before: a.Audit.Before, After: a.Audit.After,
		})
	}
	writeJSON(w, http.StatusOK, list)
}
