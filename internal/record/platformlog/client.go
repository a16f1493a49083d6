package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/dghubble/sling"
)

const (
	appendTimeout = 2 * time.Second
	readSlack     = time.Second // readSlack is added to the long-poll time of a read.
	// maxPageBytes bounds what is read of one page. It holds several of the
	// largest payloads and crosses the region link in about a second.
	maxPageBytes = 4 << 20
)

// Client talks to the log service over HTTP.
type Client struct {
	base *sling.Sling
	http *http.Client
}

// NewClient returns a client of the log service at address. A nil transport
// means a default one with its own connections.
func NewClient(address netip.AddrPort, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second}
	}
	return &Client{
		base: sling.New().Base("http://" + address.String()),
		http: &http.Client{Transport: transport},
	}
}

type appendReply struct {
	Offset int64 `json:"offset"`
}

type entryReply struct {
	Offset  int64  `json:"offset"`
	Payload []byte `json:"payload"`
}

type expiredReply struct {
	Earliest int64 `json:"earliest"`
}

type readParams struct {
	From       int64 `url:"from"`
	Max        int   `url:"max"`
	WaitMillis int64 `url:"wait-ms"`
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, payload []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	req, err := c.base.New().Post("/v1/records").Body(bytes.NewReader(payload)).Request()
	if err != nil {
		return 0, fmt.Errorf("build append: %w: %w", ErrNotAppended, err)
	}
	// The body must not be resent on a stale connection, because the first
	// copy may have been appended.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/octet-stream")
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return 0, appendError(err)
	}
	defer func() { drain(resp.Body); _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, statusError("append", resp.StatusCode)
	}
	var reply appendReply
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&reply); err != nil {
		return 0, fmt.Errorf("decode append reply: %w", err)
	}
	return reply.Offset, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, from int64, limit int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	params := readParams{From: from, Max: limit, WaitMillis: wait.Milliseconds()}
	req, err := c.base.New().Get("/v1/records").QueryStruct(params).Request()
	if err != nil {
		return Page{}, fmt.Errorf("build read: %w", err)
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return Page{}, fmt.Errorf("read log: %w", err)
	}
	defer func() { drain(resp.Body); _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusGone {
		return expiredPage(resp.Body), fmt.Errorf("read log from %d: %w", from, ErrExpired)
	}
	if resp.StatusCode != http.StatusOK {
		return Page{}, statusError("read", resp.StatusCode)
	}
	return decodePage(io.LimitReader(resp.Body, maxPageBytes))
}

// expiredPage tells where the kept records begin, as far as the reply says so.
func expiredPage(body io.Reader) Page {
	var reply expiredReply
	if err := json.NewDecoder(io.LimitReader(body, 1<<16)).Decode(&reply); err != nil {
		return Page{}
	}
	return Page{Next: reply.Earliest, Earliest: reply.Earliest}
}

// DialFailed reports whether an exchange failed before its request was sent.
func DialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED)
}

// appendError marks the errors that occur before a request is sent.
func appendError(err error) error {
	if DialFailed(err) {
		return fmt.Errorf("append to log: %w: %w", ErrNotAppended, err)
	}
	return fmt.Errorf("append to log: %w", err)
}

func statusError(operation string, status int) error {
	if operation == "append" && status == http.StatusRequestEntityTooLarge {
		return fmt.Errorf("log refused append: %w: %w", ErrTooLarge, ErrNotAppended)
	}
	refused := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	if operation == "append" && refused {
		return fmt.Errorf("log refused append: status %d: %w", status, ErrNotAppended)
	}
	return fmt.Errorf("log %s: status %d", operation, status)
}

// drain reads the rest of a body so that the connection can be used again.
func drain(body io.Reader) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, 1<<16))
}
