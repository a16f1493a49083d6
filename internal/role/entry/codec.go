package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"wasabihoist/internal/base/finding"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/admission"
	"wasabihoist/internal/traffic/request"
)

const (
	maxMembers        = 64
	bytesPerMegabyte  = 1_000_000
	maxRunTimeSeconds = 30 * 24 * 3600
	// The limits below are far above the capacity of any worker. They keep sums
	// and encoded values within the range of their types.
	maxAccelerators = 1 << 10
	maxCores        = 1 << 16
	maxMemoryMB     = 1 << 32
	// bodyRetryAfter is the retry delay, in seconds, for a call whose body found no room.
	bodyRetryAfter = 1
)

// validID matches the ids of submissions and the names of data centres.
var validID = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

// decodeJSON decodes exactly one JSON value and rejects unknown keys.
func decodeJSON(body io.Reader, into any) error {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("decode body: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("decode body: more than one value")
	}
	return nil
}

// requestFromBody converts the body of a request that an organisation submits.
// The error is a *finding.List with everything that is wrong.
func requestFromBody(b restapi.Request, organisationName string) (request.Request, error) {
	var findings finding.List
	checkID(&findings, b.ID)
	requireNonEmpty(&findings, "service", b.Service)
	requireNonEmpty(&findings, "kind", b.Kind)
	if b.Deadline.IsZero() {
		findings.Addf("", 0, "deadline", "is missing: want a time such as 2026-05-04T10:00:00Z")
	}
	return request.Request{
		Identity:   request.Identity{Organisation: organisationName, ID: b.ID},
		Service:    b.Service,
		Kind:       b.Kind,
		Deadline:   b.Deadline,
		Idempotent: b.Idempotent,
		Body:       b.Body,
	}, findings.Err()
}

// jobFromBody converts the body of a job that an organisation submits. The
// error is a *finding.List with everything that is wrong.
func jobFromBody(b restapi.Job, organisationName string, now time.Time) (job.Job, error) {
	var findings finding.List
	checkID(&findings, b.ID)
	requireNonEmpty(&findings, "kind", b.Kind)
	if b.Members < 1 || b.Members > maxMembers {
		findings.Addf("", 0, "members", "is %d: want 1 to %d", b.Members, maxMembers)
	}
	checkResources(&findings, b)
	if b.DataCentre != "" && !validID.MatchString(b.DataCentre) {
		findings.Addf("", 0, "data-centre", "is no name of a data centre")
	}
	checkJobTimes(&findings, b)
	adjacency, err := organisation.ParseAdjacency(b.Adjacency)
	if err != nil {
		findings.Addf("", 0, "adjacency", "%v", err)
	}
	return job.Job{
		Identity:   request.Identity{Organisation: organisationName, ID: b.ID},
		Kind:       b.Kind,
		Shape:      organisation.Shape{Members: b.Members, Accelerators: b.Accelerators, Adjacency: adjacency},
		Cores:      b.Cores,
		Memory:     b.MemoryMB * bytesPerMegabyte,
		RunTime:    time.Duration(b.RunTimeSeconds * float64(time.Second)),
		Deadline:   b.Deadline,
		Idempotent: b.Idempotent,
		Urgent:     b.Urgent,
		DataCentre: b.DataCentre,
		Submitted:  now,
	}, findings.Err()
}

func checkResources(findings *finding.List, b restapi.Job) {
	if b.Accelerators < 0 || b.Accelerators > maxAccelerators {
		findings.Addf("", 0, "accelerators-per-member", "is %d: want 0 to %d", b.Accelerators, maxAccelerators)
	}
	if b.Cores < 0 || b.Cores > maxCores {
		findings.Addf("", 0, "cores-per-member", "is %g: want 0 to %d", b.Cores, maxCores)
	}
	if b.MemoryMB < 0 || b.MemoryMB > maxMemoryMB {
		findings.Addf("", 0, "memory-per-member-mb", "is %d: want 0 to %d", b.MemoryMB, int64(maxMemoryMB))
	}
}

func checkJobTimes(findings *finding.List, b restapi.Job) {
	if year := b.Deadline.Year(); !b.Deadline.IsZero() && (year < 2000 || year > 2200) {
		findings.Addf("", 0, "deadline", "is in year %d: want 2000 to 2200", year)
	}
	if b.RunTimeSeconds <= 0 || b.RunTimeSeconds > maxRunTimeSeconds {
		findings.Addf("", 0, "run-time-s", "is %g: want more than 0 and at most %d", b.RunTimeSeconds, maxRunTimeSeconds)
	}
}

func checkID(findings *finding.List, id string) {
	if !validID.MatchString(id) {
		findings.Addf("", 0, "id", "is %q: want 1 to 128 letters, digits, dots, hyphens or underscores", id)
	}
}

// requireNonEmpty adds a finding if the value of a key is empty.
func requireNonEmpty(findings *finding.List, key, value string) {
	if value == "" {
		findings.Addf("", 0, key, "is missing")
	}
}

func jobStatusToBody(s journal.JobState) restapi.JobStatus {
	return restapi.JobStatus{
		ID:         s.Job.Identity.ID,
		State:      s.State.String(),
		Outcome:    s.Outcome.String(),
		Reason:     s.Reason,
		DataCentre: s.DataCentre,
		Workers:    s.Workers,
		Attempt:    s.Attempt,
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeJob writes the state of a job, with status 202 until the job has ended
// and 200 afterwards.
func writeJob(w http.ResponseWriter, s journal.JobState) {
	status := http.StatusAccepted
	if s.State == job.Ended {
		status = http.StatusOK
	}
	writeJSON(w, status, jobStatusToBody(s))
}

func writeAnswer(w http.ResponseWriter, status int, a request.Answer) {
	writeJSON(w, status, restapi.Answer{ID: a.Identity.ID, Outcome: a.Outcome.String(), Reason: a.Reason, Body: a.Body})
}

func writeProblem(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, restapi.Problem{Error: message})
}

// writeInvalid refuses a call with an invalid body. It lists all findings.
func writeInvalid(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeProblem(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit))
		return
	}
	if status, refused := admission.Status(err); refused {
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", strconv.Itoa(bodyRetryAfter))
		}
		writeProblem(w, status, err.Error())
		return
	}
	var findings *finding.List
	if !errors.As(err, &findings) {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	body := restapi.Problem{Error: "the body has findings"}
	for _, f := range findings.All() {
		body.Findings = append(body.Findings, restapi.Finding(f))
	}
	writeJSON(w, http.StatusBadRequest, body)
}
