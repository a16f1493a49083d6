package minionhost_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/standin/minionhost"
	"wasabihoist/internal/traffic/minion"
	"wasabihoist/internal/traffic/request"
)

func start(t *testing.T, options minionhost.Options) (*minionhost.Host, *minion.Client) {
	t.Helper()
	h, err := minionhost.New(options)
	if err != nil {
		t.Fatal(err)
	}
	run(t, h)
	client := minion.NewClient(h.Address(), minion.Default())
	t.Cleanup(client.Close)
	_, err = client.Probe(within(t, 4*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	return h, client
}

// run starts an incarnation and returns a function that waits for its end.
func run(t *testing.T, h *minionhost.Host) func() error {
	t.Helper()
	g := group.New(context.Background())
	g.Go("minion", h.Run)
	t.Cleanup(func() { g.Stop(); _ = g.Wait() })
	return g.Wait
}

func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

var tally = request.Identity{Organisation: "serido/sul", ID: "tally 1"}

// Guards against answers that are taken although they are not the whole answer
// to this request, and against errors that claim too much.
func TestFaultsAreRecognised(t *testing.T) {
	tests := map[string]struct {
		faults     minionhost.Faults
		err        error
		executions int
		askErr     error // askErr is the result of asking again without faults.
	}{
		"none":        {executions: 1},
		"crossed":     {faults: minionhost.Faults{Cross: true}, err: minion.ErrMismatch, executions: 1},
		"truncated":   {faults: minionhost.Faults{Truncate: true}, err: minion.ErrTruncated, executions: 1},
		"answer lost": {faults: minionhost.Faults{LoseAnswer: true}, err: minion.ErrLost, executions: 1},
		"hang":        {faults: minionhost.Faults{Hang: true}, err: minion.ErrLost, askErr: minion.ErrUnknownRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h, client := start(t, minionhost.DefaultOptions())
			h.SetFaults(tt.faults)
			work := minion.Work{Identity: tally, Kind: "tally", Body: minionhost.Body(0, 1000), Incarnation: h.Incarnation()}
			answer, err := client.Run(within(t, 500*time.Millisecond), work)
			c.Assert(errors.Is(err, tt.err), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(h.Executions(tally), qt.Equals, tt.executions)
			h.SetFaults(minionhost.Faults{})
			if tt.err != nil {
				answer, err = client.Lookup(within(t, 4*time.Second), tally, h.Incarnation())
				c.Assert(errors.Is(err, tt.askErr), qt.IsTrue, qt.Commentf("%v", err))
			}
			if tt.askErr == nil {
				c.Assert(string(answer.Body), qt.Equals, string(minionhost.Answer(tally, work.Body)))
			}
			c.Assert(h.Executions(tally), qt.Equals, tt.executions)
		})
	}
}

// Guards against a refusal or a failed dial being taken for a possible run.
func TestNotRunIsProved(t *testing.T) {
	c := qt.New(t)
	options := minionhost.DefaultOptions()
	options.Slots = 0
	h, client := start(t, options)
	_, err := client.Run(within(t, 4*time.Second), minion.Work{Identity: tally})
	c.Assert(errors.Is(err, minion.ErrRefused), qt.IsTrue)
	h.Crash()
	for {
		_, err = client.Run(within(t, 4*time.Second), minion.Work{Identity: tally, NewConnection: true})
		if errors.Is(err, minion.ErrNotSent) {
			break
		}
	}
	c.Assert(h.Executions(tally), qt.Equals, 0)
}

// Guards against work of a crashed incarnation that is answered by the next
// one, and against a stand-in that forgets earlier executions.
func TestCrashAndReturn(t *testing.T) {
	c := qt.New(t)
	h, err := minionhost.New(minionhost.DefaultOptions())
	c.Assert(err, qt.IsNil)
	wait := run(t, h)
	client := minion.NewClient(h.Address(), minion.Default())
	_, err = client.Run(within(t, 4*time.Second), minion.Work{Identity: tally})
	c.Assert(err, qt.IsNil)
	first := h.Incarnation()
	h.Crash()
	c.Assert(errors.Is(wait(), minionhost.ErrCrashed), qt.IsTrue)
	run(t, h)
	ctx := within(t, 4*time.Second)
	for _, err = client.Probe(ctx); err != nil && ctx.Err() == nil; _, err = client.Probe(ctx) {
		time.Sleep(time.Millisecond) // the second incarnation may not listen yet
	}
	_, err = client.Lookup(within(t, 4*time.Second), tally, first)
	c.Assert(errors.Is(err, minion.ErrUnknownRequest), qt.IsTrue, qt.Commentf("%v", err))
	_, err = client.Run(within(t, 4*time.Second), minion.Work{Identity: tally, Incarnation: first})
	c.Assert(errors.Is(err, minion.ErrMismatch), qt.IsTrue)
	c.Assert(h.Executions(tally), qt.Equals, 2)
}

// Guards against a client that stays on silent connections.
func TestSilentConnections(t *testing.T) {
	c := qt.New(t)
	h, client := start(t, minionhost.DefaultOptions())
	h.SilenceConnections()
	_, err := client.Probe(within(t, 100*time.Millisecond))
	c.Assert(err, qt.IsNotNil)
	_, err = client.Probe(within(t, 4*time.Second))
	c.Assert(err, qt.IsNil)
}

// Guards against a stand-in without its limit of connections.
func TestConnectionLimit(t *testing.T) {
	c := qt.New(t)
	options := minionhost.DefaultOptions()
	options.Connections = 2
	h, err := minionhost.New(options)
	c.Assert(err, qt.IsNil)
	run(t, h)
	var open []net.Conn
	for range 3 {
		conn, err := net.Dial("tcp", h.Address().String())
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		open = append(open, conn)
	}
	_, err = open[2].Write([]byte("GET /v1/probe HTTP/1.1\r\nHost: m\r\n\r\n"))
	c.Assert(err, qt.IsNil)
	_ = open[2].SetReadDeadline(time.Now().Add(4 * time.Second))
	_, err = open[2].Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	var timeout net.Error
	c.Assert(errors.As(err, &timeout) && timeout.Timeout(), qt.IsFalse)
}

// Guards against fault switches that work in Go only.
func TestFaultsOverHTTP(t *testing.T) {
	c := qt.New(t)
	h, client := start(t, minionhost.DefaultOptions())
	req, err := http.NewRequest(http.MethodPut, "http://"+h.Address().String()+"/v1/faults", strings.NewReader(`{"lose-answer": true, "times": 1}`))
	c.Assert(err, qt.IsNil)
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusNoContent)
	_, err = client.Run(within(t, 4*time.Second), minion.Work{Identity: tally})
	c.Assert(errors.Is(err, minion.ErrLost), qt.IsTrue)
	_, err = client.Run(within(t, 4*time.Second), minion.Work{Identity: tally})
	c.Assert(err, qt.IsNil)
}
