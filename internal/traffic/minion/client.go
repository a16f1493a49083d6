package minion

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"

	"wasabihoist/internal/traffic/request"
)

// Errors of an exchange with a minion. After ErrNotSent and ErrRefused it is
// certain that the minion did not run the request; after all others it may have
// run.
var (
	ErrNotSent   = errors.New("request was not sent")
	ErrRefused   = errors.New("minion refused the request")
	ErrMismatch  = errors.New("answer belongs to another request or incarnation")
	ErrTruncated = errors.New("answer is incomplete")
	ErrLost      = errors.New("answer was lost")
)

// Errors of Lookup.
var (
	ErrRunning        = errors.New("request is still running")
	ErrUnknownRequest = errors.New("minion does not know the request")
)

// maxAnswerBytes bounds the body of an answer; a longer one is ErrTruncated.
const maxAnswerBytes = 16 << 20

// Options are the limits of a client.
type Options struct {
	MaxConnections int           // MaxConnections bounds the open connections to the minion.
	DialTimeout    time.Duration // DialTimeout bounds the time to open a connection.
}

// Default returns options that keep within the number of connections that a
// minion accepts.
func Default() Options {
	return Options{MaxConnections: 64, DialTimeout: time.Second}
}

// Work is one request to the minion.
type Work struct {
	Identity      request.Identity
	Kind          string
	Body          []byte
	Incarnation   int64 // Incarnation identifies the start of the minion process that must answer; 0 accepts any.
	NewConnection bool  // NewConnection avoids idle connections, because one may be closed or stalled.
}

// Answer is an answer of the minion whose identity, incarnation and checksum
// were verified.
type Answer struct {
	Body        []byte
	Failed      bool // Failed is set if the minion ran the request and reported a failure.
	Incarnation int64
}

// Status is the reply of the minion to a probe.
type Status struct {
	Incarnation int64
	State       State
}

// Client exchanges requests with one minion. It is safe for concurrent use.
type Client struct {
	base   *sling.Sling
	shared *http.Transport // shared reuses connections.
	fresh  *http.Transport // fresh opens a new connection for each exchange.
}

// NewClient returns a client for the minion at address.
func NewClient(address netip.AddrPort, options Options) *Client {
	dial := newLimitedDialer(options).dial
	return &Client{
		base:   sling.New().Base("http://" + address.String()),
		shared: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second, DisableCompression: true},
		fresh:  &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
	}
}

// Close closes idle connections. The client can still be used.
func (c *Client) Close() {
	c.shared.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Run sends a request and waits for its answer until ctx ends.
func (c *Client) Run(ctx context.Context, w Work) (Answer, error) {
	req, err := c.base.New().Post(PathWork).Body(bytes.NewReader(w.Body)).Request()
	if err != nil {
		return Answer{}, fmt.Errorf("build work: %w: %w", ErrNotSent, err)
	}
	// Without GetBody the transport cannot send the request again by itself.
	req.GetBody = nil
	req.ContentLength = int64(len(w.Body))
	req.Header.Set(HeaderRequestID, RequestID(w.Identity))
	req.Header.Set(HeaderOrganisation, w.Identity.Organisation)
	req.Header.Set(HeaderKind, w.Kind)
	transport := c.shared
	if w.NewConnection {
		transport = c.fresh
	}
	return c.roundTrip(ctx, transport, req, w.Identity, w.Incarnation)
}

// Lookup returns the answer of a request that was sent earlier, ErrRunning while
// the request runs, or ErrUnknownRequest. It never makes the minion run a
// request.
func (c *Client) Lookup(ctx context.Context, id request.Identity, incarnation int64) (Answer, error) {
	req, err := c.base.New().Get(PathWork).Request()
	if err != nil {
		return Answer{}, fmt.Errorf("build lookup: %w", err)
	}
	req.Header.Set(HeaderRequestID, RequestID(id))
	return c.roundTrip(ctx, c.fresh, req, id, incarnation)
}

// Probe returns the incarnation and the state that the minion reports.
func (c *Client) Probe(ctx context.Context) (Status, error) {
	req, err := c.base.New().Get(PathProbe).Request()
	if err != nil {
		return Status{}, fmt.Errorf("build probe: %w", err)
	}
	resp, err := c.shared.RoundTrip(req.WithContext(ctx))
	if err != nil {
		c.Close()
		return Status{}, fmt.Errorf("probe minion: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	// Reads the rest of the body, up to 64 KiB, so that the connection can be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16))
	if resp.StatusCode != http.StatusOK {
		return Status{}, fmt.Errorf("probe minion: status %d", resp.StatusCode)
	}
	incarnation, err := strconv.ParseInt(resp.Header.Get(HeaderIncarnation), 10, 64)
	if err != nil {
		return Status{}, fmt.Errorf("probe minion: incarnation: %w", err)
	}
	return Status{Incarnation: incarnation, State: State(resp.Header.Get(HeaderState))}, nil
}

// roundTrip sends req and returns the verified answer. It closes idle connections
// after a failure, because they may be affected too.
func (c *Client) roundTrip(ctx context.Context, transport *http.Transport, req *http.Request, id request.Identity, incarnation int64) (Answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err := transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		c.Close()
		if !connected.Load() {
			return Answer{}, fmt.Errorf("minion exchange: %w: %w", ErrNotSent, err)
		}
		return Answer{}, fmt.Errorf("minion exchange: %w: %w", ErrLost, err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := readAnswer(resp, id, incarnation)
	if errors.Is(err, ErrMismatch) || errors.Is(err, ErrTruncated) {
		c.Close()
	}
	return answer, err
}

// readAnswer reads the body, converts the status to an error, and verifies
// identity, incarnation, length and checksum. Status 500 is not an error: the
// minion ran the request and reports a failure.
func readAnswer(resp *http.Response, id request.Identity, incarnation int64) (Answer, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch resp.StatusCode {
	case http.StatusOK, http.StatusInternalServerError:
	case http.StatusServiceUnavailable:
		return Answer{}, fmt.Errorf("minion exchange: %w: %s", ErrRefused, bytes.TrimSpace(body))
	case http.StatusAccepted:
		return Answer{}, ErrRunning
	case http.StatusNotFound:
		return Answer{}, ErrUnknownRequest
	default:
		return Answer{}, fmt.Errorf("minion exchange: %w: status %d", ErrLost, resp.StatusCode)
	}
	if got := resp.Header.Get(HeaderRequestID); got != RequestID(id) {
		return Answer{}, fmt.Errorf("minion exchange: %w: identity %q", ErrMismatch, got)
	}
	if err != nil || len(body) > maxAnswerBytes || resp.Header.Get(HeaderChecksum) != Checksum(body) {
		return Answer{}, fmt.Errorf("minion exchange: %w: %d bytes", ErrTruncated, len(body))
	}
	answer := Answer{Body: body, Failed: resp.StatusCode != http.StatusOK}
	answer.Incarnation, err = strconv.ParseInt(resp.Header.Get(HeaderIncarnation), 10, 64)
	if err != nil || (incarnation != 0 && answer.Incarnation != incarnation) {
		return Answer{}, fmt.Errorf("minion exchange: %w: incarnation %q", ErrMismatch, resp.Header.Get(HeaderIncarnation))
	}
	return answer, nil
}
