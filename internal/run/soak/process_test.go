package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/platform"
)

// Guards against a check of the ends of processes that cannot fail, and against
// findings about processes that end as they are told.
func TestEndsOfProcessesAreChecked(t *testing.T) {
	// Programs inherit that a parent, such as nohup, ignores SIGHUP, unless this
	// process takes the signal.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	t.Cleanup(func() { signal.Stop(hangups) })
	const wait = "while :; do sleep 0.02; done"
	for name, tt := range map[string]struct {
		program string // program is a script of the shell.
		end     func(p *process)
		finding string // finding is empty when the process ends as it is told.
	}{
		"ends when told":          {wait, func(p *process) { p.end(syscall.SIGTERM, time.Second) }, ""},
		"is killed":               {wait, func(p *process) { p.end(syscall.SIGKILL, time.Second) }, ""},
		"is retired":              {wait, func(p *process) { p.retire() }, ""},
		"ends by itself":          {"exit 3", func(p *process) { <-p.ended }, "side-1 ended by itself: exit status 3"},
		"ends by itself, soundly": {"exit 0", func(p *process) { <-p.ended }, "side-1 ended by itself: <nil>"},
		"ends on a hangup":        {wait, func(p *process) { p.hangup(context.Background()); <-p.ended }, "side-1 ended by itself: signal: hangup"},
		"does not end":            {"trap '' TERM\n" + wait, func(p *process) { time.Sleep(200 * time.Millisecond); p.end(syscall.SIGTERM, 300*time.Millisecond) }, "side-1 has not ended 300ms after terminated"},
	} {
		// No process may start meanwhile: it would inherit the open file, which then
		// can't be executed.
		folder := t.TempDir()
		binary := filepath.Join(folder, "program")
		qt.New(t).Assert(os.WriteFile(binary, []byte("#!/bin/sh\n"+tt.program+"\n"), 0o700), qt.IsNil)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			g := group.New(context.Background())
			c.Cleanup(func() { g.Stop(); c.Check(g.Wait(), qt.IsNil) })
			front, err := newProxy(g, anyPort, netip.MustParseAddrPort("127.0.0.1:1"))
			c.Assert(err, qt.IsNil)
			o := newOracle(nil)
			p := &process{binary: binary, folder: folder, group: g, finding: o.find, front: front, settings: commonSettings("side-1", front.address())}
			c.Assert(p.start(), qt.IsNil)
			tt.end(p)
			<-p.ended
			findings := o.finish()
			if tt.finding == "" {
				c.Assert(findings, qt.HasLen, 0)
				return
			}
			c.Assert(findings, qt.HasLen, 1)
			c.Check(findings[0], qt.Matches, ".* "+tt.finding)
		})
	}
}

// Guards against a signal that reaches a process before it can take it.
func TestHangupWaitsForTheProcess(t *testing.T) {
	c := qt.New(t)
	p := &process{started: time.Now()}
	p.hangup(context.Background())
	c.Check(time.Since(p.started) >= beginTime, qt.IsTrue)
}

// Guards against a check of withdrawn keys that cannot fail, and against
// findings about entries that refuse them.
func TestWithdrawnKeysAreChecked(t *testing.T) {
	for name, tt := range map[string]struct {
		status int
		broken bool
	}{
		"refused":     {status: http.StatusUnauthorized},
		"unavailable": {status: http.StatusServiceUnavailable},
		"served":      {status: http.StatusOK, broken: true},
		"unknown job": {status: http.StatusGone, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = fmt.Fprint(w, `{"state":"running"}`)
			}))
			c.Cleanup(server.Close)
			p := &process{settings: platform.Settings{Node: "front-1", Callers: netip.MustParseAddrPort(server.Listener.Addr().String())}}
			d := &deployment{oracle: newOracle(nil), entries: []*process{p}}
			watchKey(context.Background(), d, "key", time.Now().Add(-revokeTime))
			findings := d.oracle.finish()
			c.Assert(len(findings) > 0, qt.Equals, tt.broken)
			if tt.broken {
				c.Check(findings[0], qt.Matches, ".* front-1 serves a key .* after its withdrawal")
			}
		})
	}
}

// Guards against clients that close connections which they could go on using.
func TestClientsKeepTheirConnections(t *testing.T) {
	c := qt.New(t)
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		_, _ = fmt.Fprint(w, `{"state":"running"}`)
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	c.Cleanup(server.Close)
	caller := platform.Caller{Prefix: prefix, Client: newHTTPClient()}
	const atOnce, rounds = 8, 20
	for range rounds {
		g := group.New(context.Background())
		for range atOnce {
			g.Go("call", func(ctx context.Context) error {
				_, _, err := caller.State(ctx, netip.MustParseAddrPort(server.Listener.Addr().String()), "1")
				return err
			})
		}
		c.Assert(g.Wait(), qt.IsNil)
	}
	c.Check(opened.Load() <= atOnce, qt.IsTrue, qt.Commentf("%d connections", opened.Load()))
}
