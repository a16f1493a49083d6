// Package minionhost is a small stand-in for a backend server (minion), with
// switchable faults. It counts executions for each identity, so that tests can
// check that nothing runs twice.
package minionhost

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/traffic/minion"
	"wasabihoist/internal/traffic/request"
)

// ErrCrashed is returned by Run after Crash.
var ErrCrashed = errors.New("minion crashed")

// Options describe a minion.
type Options struct {
	Listen        netip.AddrPort // Listen has port 0 for any free port.
	Slots         int            // Slots bounds the running requests; more are refused.
	Connections   int            // Connections bounds the open connections; more are closed.
	Agent         string         // Agent is the base URL of the agent beside it; empty sends no announcements.
	AnnounceEvery time.Duration
	Kinds         map[string]time.Duration // Kinds gives the work time by kind.
}

// DefaultOptions are the limits of a minion today.
func DefaultOptions() Options {
	return Options{
		Listen:        netip.MustParseAddrPort("127.0.0.1:0"),
		Slots:         8,
		Connections:   64,
		AnnounceEvery: time.Second,
	}
}

// Host is the stand-in. Run may be called again after it has returned: the
// minion then comes back at the same address with a new incarnation.
type Host struct {
	options Options
	address netip.AddrPort

	mu          sync.Mutex
	listener    net.Listener  // listener is set between New and the first Run.
	current     *instance     // current is the last instance; nil before the first Run.
	changed     chan struct{} // changed is signalled when an announcement is due.
	faults      Faults
	thawed      chan struct{} // thawed is closed while the minion is not frozen.
	connections map[net.Conn]*connection
	peak        int            // peak is the highest number of running requests.
	executions  map[string]int // executions by Request-Id, of all instances.
}

// New returns a minion that listens but does not serve yet.
func New(options Options) (*Host, error) {
	listener, err := net.Listen("tcp", options.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	thawed := make(chan struct{})
	close(thawed)
	return &Host{
		options:     options,
		address:     netip.MustParseAddrPort(listener.Addr().String()),
		listener:    listener,
		changed:     make(chan struct{}, 1),
		thawed:      thawed,
		connections: map[net.Conn]*connection{},
		executions:  map[string]int{},
	}, nil
}

// String names the stand-in.
func (h *Host) String() string { return "minion stand-in" }

// Address returns where the minion listens.
func (h *Host) Address() netip.AddrPort { return h.address }

// Run serves until ctx ends or the minion crashes.
func (h *Host) Run(ctx context.Context) error {
	listener, err := h.takeListener()
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	in := h.begin(ctx, stop)
	server := &http.Server{
		Handler:           in.handler(),
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext:       h.connContext,
		ConnState:         h.connState,
		ReadHeaderTimeout: 10 * time.Second,
	}
	g := group.New(ctx)
	g.Go("serve", func(context.Context) error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go("stop", func(ctx context.Context) error {
		<-ctx.Done()
		return server.Close()
	})
	g.Go("announce", in.announce)
	err = g.Wait()
	if errors.Is(context.Cause(ctx), ErrCrashed) {
		return ErrCrashed
	}
	return err
}

func (h *Host) takeListener() (net.Listener, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.listener; l != nil {
		h.listener = nil
		return l, nil
	}
	l, err := net.Listen("tcp", h.address.String())
	if err != nil {
		return nil, fmt.Errorf("listen again: %w", err)
	}
	return l, nil
}

func (h *Host) begin(ctx context.Context, stop context.CancelCauseFunc) *instance {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current = &instance{
		host:        h,
		ended:       ctx.Done(),
		stop:        stop,
		incarnation: time.Now().UnixNano(),
		state:       minion.Serving,
		answers:     map[string]*stored{},
	}
	return h.current
}

// Crash ends the running instance at once.
func (h *Host) Crash() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != nil {
		h.current.stop(ErrCrashed)
	}
}

// Leave announces that the minion takes no new work.
func (h *Host) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == nil {
		return
	}
	h.current.state = minion.Draining
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// Incarnation returns the current incarnation.
func (h *Host) Incarnation() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == nil {
		return 0
	}
	return h.current.incarnation
}

// Executions returns how often the identity was executed, by all incarnations.
func (h *Host) Executions(id request.Identity) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.executions[minion.RequestID(id)]
}

// ExecutionCounts returns the counts of all identities by Request-Id.
func (h *Host) ExecutionCounts() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.executions)
}

// Peak returns the highest number of requests that ran at the same time.
func (h *Host) Peak() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peak
}
