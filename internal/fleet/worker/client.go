package worker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/dghubble/sling"
)

// maxReplyBytes bounds the body of one reply. The full list of a few thousand
// ended tasks fits.
const maxReplyBytes = 4 << 20

// Client is a client of the HTTP API of one worker. It is safe for concurrent use.
// Failed calls return the errors of this package.
type Client struct {
	base      *sling.Sling
	transport *http.Transport
	http      *http.Client
	timeout   time.Duration
}

// NewClient returns a client of the worker at address. timeout bounds every call
// except Checkpoint, not counting the time that Renew asks the worker to wait.
func NewClient(address netip.AddrPort, timeout time.Duration) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}
	return &Client{
		base:      sling.New().Base("http://" + address.String()),
		transport: transport,
		http:      &http.Client{Transport: transport},
		timeout:   timeout,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Renew acquires or renews the lease. It returns the tasks that changed after the
// position after, and waits up to wait for the first change. With after 0 it
// returns all tasks that the worker knows.
func (c *Client) Renew(ctx context.Context, l Lease, after int64, wait time.Duration) (Report, error) {
	body := LeaseRequest{
		Holder:     l.Holder,
		Epoch:      l.Epoch,
		TTLMillis:  l.TTL.Milliseconds(),
		After:      after,
		WaitMillis: wait.Milliseconds(),
	}
	var reply ReportMessage
	if err := c.call(ctx, c.base.New().Put(PathLease).BodyJSON(body), c.timeout+wait, &reply); err != nil {
		return Report{}, fmt.Errorf("renew lease: %w", err)
	}
	return reply.ToReport()
}

// List returns all tasks and the last lease that was granted. It requires no lease.
func (c *Client) List(ctx context.Context) (Listing, error) {
	var reply ListingMessage
	if err := c.call(ctx, c.base.New().Get(PathTasks), c.timeout, &reply); err != nil {
		return Listing{}, fmt.Errorf("list tasks: %w", err)
	}
	report, err := reply.ToReport()
	return Listing{Lease: Lease{Holder: reply.Holder, Epoch: reply.Epoch}, Report: report}, err
}

// Usage returns the last measured usage of the running tasks. It requires no lease.
func (c *Client) Usage(ctx context.Context) ([]Usage, error) {
	var reply []UsageMessage
	if err := c.call(ctx, c.base.New().Get(PathUsage), c.timeout, &reply); err != nil {
		return nil, fmt.Errorf("read usage: %w", err)
	}
	usage := make([]Usage, 0, len(reply))
	for _, u := range reply {
		usage = append(usage, u.ToUsage())
	}
	return usage, nil
}

// Start starts a task. It is idempotent: for a known name it returns the state of
// the task.
func (c *Client) Start(ctx context.Context, l Lease, s Spec) (Task, error) {
	body := TaskRequest{Task: s.Name, Spec: FromSpec(s)}
	return c.callTask(ctx, l, PathStart, body, c.timeout)
}

// Throttle limits a task to a number of cores. Unthrottled removes the limit and
// releases a held task.
func (c *Client) Throttle(ctx context.Context, l Lease, task string, cores float64) (Task, error) {
	return c.callTask(ctx, l, PathThrottle, TaskRequest{Task: task, Cores: cores}, c.timeout)
}

// Stop ends a task. It is idempotent: for a task that has ended it returns the
// state. A task with an unknown name cannot be started after the call.
func (c *Client) Stop(ctx context.Context, l Lease, task string) (Task, error) {
	return c.callTask(ctx, l, PathStop, TaskRequest{Task: task}, c.timeout)
}

// Checkpoint pauses a task and saves its progress. timeout bounds the call instead
// of the timeout of the client.
func (c *Client) Checkpoint(ctx context.Context, l Lease, task string, timeout time.Duration) (Task, error) {
	return c.callTask(ctx, l, PathCheckpoint, TaskRequest{Task: task}, timeout)
}

// callTask posts a request on one task under the lease.
func (c *Client) callTask(ctx context.Context, l Lease, path string, body TaskRequest, timeout time.Duration) (Task, error) {
	body.Holder, body.Epoch = l.Holder, l.Epoch
	var reply TaskMessage
	if err := c.call(ctx, c.base.New().Post(path).BodyJSON(body), timeout, &reply); err != nil {
		return Task{}, fmt.Errorf("%s %s: %w", path, body.Task, err)
	}
	return reply.ToTask()
}

// call sends one request and decodes the reply. After a failure it closes the idle
// connections, because an open connection may hang while new ones work.
func (c *Client) call(ctx context.Context, s *sling.Sling, timeout time.Duration, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	req.GetBody = nil // No transparent retries by net/http: the caller decides.
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		c.transport.CloseIdleConnections()
		return transportError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body := io.LimitReader(resp.Body, maxReplyBytes)
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, body)
		return statusError(resp.StatusCode)
	}
	if err := json.NewDecoder(body).Decode(reply); err != nil {
		c.transport.CloseIdleConnections()
		return fmt.Errorf("%w: decode reply: %w", ErrOutcomeUnknown, err)
	}
	_, _ = io.Copy(io.Discard, body)
	return nil
}

// transportError classifies a failed request. Only a failed dial proves that the
// worker did not receive it.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
}

func statusError(status int) error {
	switch status {
	case http.StatusConflict:
		return ErrStaleLease
	case http.StatusNotFound:
		return ErrUnknownTask
	}
	return fmt.Errorf("%w: status %d", ErrRefused, status)
}
