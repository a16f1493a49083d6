package agent_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/platformlog"
)

// gate stops exchanges while it is shut, as if the process were paused.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // opened is closed while the gate is open.
}

func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
	default:
		close(g.opened)
	}
}

// wait ignores the context of the exchange: a paused process sees no end of
// it.
func (g *gate) wait() {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	<-opened
}

func (g *gate) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.wait()
		next.ServeHTTP(w, r)
		g.wait()
	})
}

// gatedLog is the log as a process sees it that can be paused.
type gatedLog struct {
	platformlog.Log
	gate *gate
}

func (l gatedLog) Append(ctx context.Context, payload []byte) (int64, error) {
	l.gate.wait()
	offset, err := l.Log.Append(ctx, payload)
	l.gate.wait()
	return offset, err
}

func (l gatedLog) Read(ctx context.Context, from int64, limit int, wait time.Duration) (platformlog.Page, error) {
	// A read that hangs is given up soon, so that the fold is not behind for the
	// 12 s of a long poll.
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	page, err := l.Log.Read(ctx, from, limit, min(wait, 500*time.Millisecond))
	l.gate.wait()
	return page, err
}

// network damages replies of an agent.
type network struct {
	mu    sync.Mutex
	fault string // fault is crossed, truncated or lost; empty for none.
	times int    // times is how many replies are still damaged.
	open  []chan struct{}
}

type silentKey struct{}

func (n *network) set(fault string, times int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault, n.times = fault, times
}

func (n *network) take() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.times == 0 {
		return ""
	}
	n.times--
	return n.fault
}

func (n *network) connContext(ctx context.Context, _ net.Conn) context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	silent := make(chan struct{})
	n.open = append(n.open, silent)
	return context.WithValue(ctx, silentKey{}, silent)
}

// silence makes all open connections stop answering.
func (n *network) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, silent := range n.open {
		close(silent)
	}
	n.open = nil
}

func (n *network) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server notices the end of a connection only after the body.
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		waitIfSilent(r)
		recorder := httptest.NewRecorder()
		next.ServeHTTP(recorder, r)
		waitIfSilent(r)
		body = recorder.Body.Bytes()
		if recorder.Code == http.StatusOK {
			body = n.damage(body)
		}
		w.Header().Set("Content-Type", recorder.Header().Get("Content-Type"))
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(body)
	})
}

func waitIfSilent(r *http.Request) {
	select {
	case <-r.Context().Value(silentKey{}).(chan struct{}):
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	default:
	}
}

func (n *network) damage(body []byte) []byte {
	fault := n.take()
	if fault == "" {
		return body
	}
	if fault == "lost" {
		panic(http.ErrAbortHandler)
	}
	var reply wire.RunReply
	if proto.Unmarshal(body, &reply) != nil {
		return body
	}
	switch fault {
	case "crossed":
		reply.Identity.Id = "another"
	case "truncated":
		reply.Body = reply.Body[:len(reply.Body)/2]
	}
	damaged, _ := proto.Marshal(&reply)
	return damaged
}
