package main

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

//go:embed names.json
var namesFile []byte

// names are the headers of the platform's pages.
type names struct {
	KeyHeader      string `json:"keyHeader"`
	DeadlineHeader string `json:"deadlineHeader"`
}

func readNames() (names, error) {
	var n names
	err := json.Unmarshal(namesFile, &n)
	return n, err
}

// callDeadline is how long a client waits for an answer.
const callDeadline = 3 * time.Second

// client is a client of one tenant on one route.
type client struct {
	names  names
	host   string // host is the value of the Host header.
	prefix string
	key    string
}

// answer is the answer to a call. Its status is 0 if there was none.
type answer struct {
	status int
	body   string
}

func (a answer) String() string {
	if a.status == 0 {
		return "no answer: " + a.body
	}
	return strconv.Itoa(a.status) + " " + a.body
}

// call sends one call on a connection of its own.
func (c client) call(ctx context.Context, entry netip.AddrPort, method, id string, body []byte) answer {
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry.String()+c.prefix+id, bytes.NewReader(body))
	if err != nil {
		return answer{body: err.Error()}
	}
	r.Host = c.host
	r.Header.Set(c.names.KeyHeader, c.key)
	r.Header.Set(c.names.DeadlineHeader, strconv.FormatInt(callDeadline.Milliseconds(), 10))
	r.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, 1<<16))
	if err != nil {
		return answer{body: err.Error()}
	}
	return answer{response.StatusCode, string(bytes.TrimSpace(data))}
}

// state returns the state of a job; empty if the answer has none.
func (c client) state(ctx context.Context, entry netip.AddrPort, id string) (string, answer) {
	a := c.call(ctx, entry, http.MethodGet, id, nil)
	var body struct {
		State string `json:"state"`
	}
	if a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &body) != nil {
		return "", a
	}
	return body.State, a
}

// jobID returns an ID of 16 hexadecimal digits.
func jobID(number int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+number) }
