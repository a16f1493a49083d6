// Package forwarder forwards TCP connections between two processes and can make
// them silent, as a network partition does. Tests and the embedded deployment
// use it.
package forwarder

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

// Forwarder forwards connections to one target.
type Forwarder struct {
	target   netip.AddrPort
	listener net.Listener

	mu     sync.Mutex
	opened chan struct{} // opened is closed while the forwarder forwards.
}

// New returns a forwarder that listens at a free loopback address.
func New(target netip.AddrPort) (*Forwarder, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("forwarder to %s: %w", target, err)
	}
	f := &Forwarder{target: target, listener: listener, opened: make(chan struct{})}
	close(f.opened)
	return f, nil
}

// String names the forwarder.
func (f *Forwarder) String() string { return "forwarder to " + f.target.String() }

// Address is where the forwarder listens.
func (f *Forwarder) Address() netip.AddrPort {
	return netip.MustParseAddrPort(f.listener.Addr().String())
}

// SetSilent makes the forwarder hold back all data, also of new connections. Held
// data is forwarded when the forwarder is no longer silent, as TCP sends lost
// segments again.
func (f *Forwarder) SetSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.opened:
		if silent {
			f.opened = make(chan struct{})
		}
	default:
		if !silent {
			close(f.opened)
		}
	}
}

// wait returns when the forwarder forwards data or ctx ends.
func (f *Forwarder) wait(ctx context.Context) error {
	f.mu.Lock()
	opened := f.opened
	f.mu.Unlock()
	select {
	case <-opened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run forwards connections until ctx ends.
func (f *Forwarder) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = f.listener.Close() })()
	connections := group.New(ctx)
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			connections.Stop()
			err = errors.Join(err, connections.Wait())
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("%s: %w", f, err)
		}
		connections.Go("connection", func(ctx context.Context) error {
			f.forward(ctx, conn)
			return nil
		})
	}
}

// forward ends when one side closes the connection or ctx ends.
func (f *Forwarder) forward(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if f.wait(ctx) != nil {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", f.target.String())
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	directions := group.New(ctx)
	defer context.AfterFunc(directions.Context(), func() {
		_ = conn.Close()
		_ = target.Close()
	})()
	directions.Go("there", func(ctx context.Context) error { return f.transfer(ctx, target, conn) })
	directions.Go("back", func(ctx context.Context) error { return f.transfer(ctx, conn, target) })
	_ = directions.Wait()
}

// transfer holds back what it has read while the forwarder is silent.
func (f *Forwarder) transfer(ctx context.Context, to io.Writer, from io.Reader) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if waitErr := f.wait(ctx); waitErr != nil {
			return waitErr
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			return errEnded
		}
	}
}
