package restapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/dghubble/sling"
)

const (
	maxReplyBytes   = 16 << 20
	idleConnTimeout = 10 * time.Second
)

// Error is an answer with a status of 400 or above.
type Error struct {
	Status   int // Status is the HTTP status.
	Problem  Problem
	Conflict Conflict // Conflict is set if the base version of a PublishRequest was outdated.
}

// Error implements error. Each finding, and each change of a conflict, has its
// own line.
func (e *Error) Error() string {
	text := e.Problem.Error
	for _, f := range e.Problem.Findings {
		text += "\n" + f.format()
	}
	if e.Status == http.StatusConflict {
		text = e.Conflict.Error
		for _, c := range e.Conflict.Changes {
			text += "\n  " + c
		}
	}
	if text == "" {
		text = fmt.Sprintf("status %d", e.Status)
	}
	return text
}

// Retryable reports whether a call that failed with err may succeed later or at
// another entry: there was no answer, or its status was 503. The call may have
// taken effect in either case.
func Retryable(err error) bool {
	var answer *Error
	return !errors.As(err, &answer) || answer.Status == http.StatusServiceUnavailable
}

// format returns the finding as FILE:LINE: KEY: MESSAGE without the empty parts.
func (f Finding) format() string {
	text := f.File
	if f.Line > 0 {
		text = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	for _, part := range []string{f.Key, f.Message} {
		if part != "" && text != "" {
			text += ": "
		}
		text += part
	}
	return text
}

// Client is a client of the caller and operator APIs of an entry. A method returns
// an *Error if the status of the answer is 400 or above.
type Client struct {
	base *sling.Sling
	http *http.Client
}

// NewClient returns a client of the entry at address that sends token as bearer
// token. If transport is nil, a default transport is used.
func NewClient(address netip.AddrPort, token string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = &http.Transport{IdleConnTimeout: idleConnTimeout, MaxIdleConnsPerHost: 64}
	}
	return &Client{
		base: sling.New().Base("http://"+address.String()).Set("Authorization", "Bearer "+token),
		http: &http.Client{Transport: transport},
	}
}

// Run submits a request and waits for its answer. An answer with any outcome is
// returned without an error.
func (c *Client) Run(ctx context.Context, r Request) (Answer, error) {
	var answer Answer
	err := c.call(ctx, c.base.New().Post("/v1/requests").BodyJSON(r), &answer)
	return answer, err
}

// Request returns the answer to a request that was submitted earlier. If no answer
// is known, the outcome is pending until the deadline and unknown after it.
func (c *Client) Request(ctx context.Context, id string) (Answer, error) {
	var answer Answer
	err := c.call(ctx, c.base.New().Get("/v1/requests/"+url.PathEscape(id)), &answer)
	return answer, err
}

// Submit submits a job. The status of a refused job has no state.
func (c *Client) Submit(ctx context.Context, j Job) (JobStatus, error) {
	var status JobStatus
	err := c.call(ctx, c.base.New().Post("/v1/jobs").BodyJSON(j), &status)
	return status, err
}

// Job returns the status of a job once it has ended or wait has passed.
func (c *Client) Job(ctx context.Context, id string, wait time.Duration) (JobStatus, error) {
	var status JobStatus
	path := "/v1/jobs/" + url.PathEscape(id)
	if wait > 0 {
		path += "?wait=" + url.QueryEscape(wait.String())
	}
	err := c.call(ctx, c.base.New().Get(path), &status)
	return status, err
}

// Cancel requests the cancellation of a job.
func (c *Client) Cancel(ctx context.Context, id string) (JobStatus, error) {
	var status JobStatus
	err := c.call(ctx, c.base.New().Delete("/v1/jobs/"+url.PathEscape(id)), &status)
	return status, err
}

// Explain returns why a job of the caller waits.
func (c *Client) Explain(ctx context.Context, id string) (Explanation, error) {
	var explanation Explanation
	err := c.call(ctx, c.base.New().Get("/v1/jobs/"+url.PathEscape(id)+"/explanation"), &explanation)
	return explanation, err
}

// ExplainAny returns why a job of any organisation waits; for operators.
func (c *Client) ExplainAny(ctx context.Context, organisation, id string) (Explanation, error) {
	var explanation Explanation
	path := "/v1/jobs/" + url.PathEscape(organisation) + "/" + url.PathEscape(id) + "/explanation"
	err := c.call(ctx, c.base.New().Get(path), &explanation)
	return explanation, err
}

// Configuration returns the configuration in force; for operators.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	var configuration Configuration
	err := c.call(ctx, c.base.New().Get("/v1/configuration"), &configuration)
	return configuration, err
}

// Publish publishes a new configuration; for operators.
func (c *Client) Publish(ctx context.Context, p PublishRequest) (PublishReply, error) {
	var published PublishReply
	err := c.call(ctx, c.base.New().Post("/v1/configuration").BodyJSON(p), &published)
	return published, err
}

// Members lists the processes of the cluster; for operators.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	var members []Member
	err := c.call(ctx, c.base.New().Get("/v1/members"), &members)
	return members, err
}

// Fleet lists the data centres and their workers; for operators.
func (c *Client) Fleet(ctx context.Context) ([]DataCentre, error) {
	var centres []DataCentre
	err := c.call(ctx, c.base.New().Get("/v1/fleet"), &centres)
	return centres, err
}

// Jobs lists the jobs of one organisation, or of all when it is empty; for
// operators.
func (c *Client) Jobs(ctx context.Context, organisation string) ([]OperatorJob, error) {
	var jobs []OperatorJob
	err := c.call(ctx, c.base.New().Get("/v1/jobs?organisation="+url.QueryEscape(organisation)), &jobs)
	return jobs, err
}

// AuditFilter selects entries of the audit trail. Empty fields match all, and
// Subject matches any part of a subject.
type AuditFilter struct {
	Actor   string `url:"actor,omitempty"`
	Action  string `url:"action,omitempty"`
	Subject string `url:"subject,omitempty"`
	Limit   int    `url:"limit,omitempty"`
}

// Audit lists the newest entries of the audit trail; for operators.
func (c *Client) Audit(ctx context.Context, f AuditFilter) ([]AuditEntry, error) {
	var entries []AuditEntry
	err := c.call(ctx, c.base.New().Get("/v1/audit").QueryStruct(f), &entries)
	return entries, err
}

func (c *Client) call(ctx context.Context, s *sling.Sling, into any) error {
	req, err := s.Request()
	if err != nil {
		return fmt.Errorf("build call: %w", err)
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return fmt.Errorf("call entry: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return fmt.Errorf("read answer of entry: %w", err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return decodeError(resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("decode answer of entry: %w", err)
	}
	return nil
}

// decodeError decodes the body of an answer as Problem and as Conflict. If that
// fails, the problem has the status and the first line of the body.
func decodeError(status int, body []byte) error {
	failure := &Error{Status: status}
	for _, part := range []any{&failure.Problem, &failure.Conflict} {
		if err := json.Unmarshal(body, part); err != nil {
			failure.Problem.Error = fmt.Sprintf("status %d: %s", status, firstLine(body))
		}
	}
	return failure
}

func firstLine(body []byte) string {
	const maxBytes = 200
	text := string(body[:min(len(body), maxBytes)])
	for i, r := range text {
		if r == '\n' {
			return text[:i]
		}
	}
	return text
}
