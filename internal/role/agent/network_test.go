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

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/platformlog"
)

// gate blocks exchanges while it is closed, as if the process were paused.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // opened is closed while the gate is open.
}

func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

func (g *gate) close() {
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

// wait ignores the context of the exchange, because a paused process does not
// notice its end.
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

// gatedLog is the log as seen by a process that can be paused.
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
	// A hanging read is cancelled early, so that the journal does not lag
	// behind the log by the 12 s of a long poll.
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	page, err := l.Log.Read(ctx, from, limit, min(wait, 500*time.Millisecond))
	l.gate.wait()
	return page, err
}

// networkFaults damages replies of an agent and silences its connections.
type networkFaults struct {
	mu           sync.Mutex
	fault        string // fault is crossed, truncated or lost; empty for none.
	times        int    // times is the number of replies that are still to be damaged.
	silenceChans []chan struct{}
}

type silentKey struct{}

func (n *networkFaults) setFault(fault string, times int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault, n.times = fault, times
}

func (n *networkFaults) takeFault() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.times == 0 {
		return ""
	}
	n.times--
	return n.fault
}

func (n *networkFaults) connContext(ctx context.Context, _ net.Conn) context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	silent := make(chan struct{})
	n.silenceChans = append(n.silenceChans, silent)
	return context.WithValue(ctx, silentKey{}, silent)
}

// silence makes all open connections stop answering.
func (n *networkFaults) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, silent := range n.silenceChans {
		close(silent)
	}
	n.silenceChans = nil
}

func (n *networkFaults) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server detects the end of a connection only after the body was read.
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

func (n *networkFaults) damage(body []byte) []byte {
	fault := n.takeFault()
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
		reply.Body = []byte("answer of another request")
		reply.Checksum = xxhash.Sum64(reply.Body)
	case "truncated":
		reply.Body = reply.Body[:len(reply.Body)/2]
	}
	damaged, _ := proto.Marshal(&reply)
	return damaged
}
