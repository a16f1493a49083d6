// Package relay forwards TCP connections between two processes and can make
// them silent, as a network partition does. Tests and the embedded deployment
// use it.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"wasabihoist/internal/base/group"
)

const dialTimeout = time.Second

// errEnded stops both directions of a connection when one has ended.
var errEnded = errors.New("connection ended")

// Relay forwards connections to one target.
type Relay struct {
	target   netip.AddrPort
	listener net.Listener

	mu     sync.Mutex
	opened chan struct{} // opened is closed while the relay forwards.
}

// New returns a relay that listens at a free loopback address.
func New(target netip.AddrPort) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", target, err)
	}
	r := &Relay{target: target, listener: listener, opened: make(chan struct{})}
	close(r.opened)
	return r, nil
}

// String names the relay.
func (r *Relay) String() string { return "relay to " + r.target.String() }

// Address is where the relay listens.
func (r *Relay) Address() netip.AddrPort {
	return netip.MustParseAddrPort(r.listener.Addr().String())
}

// SetSilent makes the relay hold back all data, also of new connections. Held
// data is forwarded when the relay is no longer silent, as TCP sends lost
// segments again.
func (r *Relay) SetSilent(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.opened:
		if silent {
			r.opened = make(chan struct{})
		}
	default:
		if !silent {
			close(r.opened)
		}
	}
}

// wait returns when the relay forwards data or ctx ends.
func (r *Relay) wait(ctx context.Context) error {
	r.mu.Lock()
	opened := r.opened
	r.mu.Unlock()
	select {
	case <-opened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run forwards connections until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = r.listener.Close() })()
	connections := group.New(ctx)
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			connections.Stop()
			err = errors.Join(err, connections.Wait())
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("%s: %w", r, err)
		}
		connections.Go("connection", func(ctx context.Context) error {
			r.forward(ctx, conn)
			return nil
		})
	}
}

// forward ends when one side closes the connection or ctx ends.
func (r *Relay) forward(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if r.wait(ctx) != nil {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", r.target.String())
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	directions := group.New(ctx)
	defer context.AfterFunc(directions.Context(), func() {
		_ = conn.Close()
		_ = target.Close()
	})()
	directions.Go("there", func(ctx context.Context) error { return r.transfer(ctx, target, conn) })
	directions.Go("back", func(ctx context.Context) error { return r.transfer(ctx, conn, target) })
	_ = directions.Wait()
}

// transfer holds back what it has read while the relay is silent.
func (r *Relay) transfer(ctx context.Context, to io.Writer, from io.Reader) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if waitErr := r.wait(ctx); waitErr != nil {
			return waitErr
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			return errEnded
		}
	}
}
