// Package transport makes the HTTP clients of the processes. It counts the
// bytes that cross the region link, because that traffic is billed by volume.
package transport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	dialTimeout     = time.Second
	idleTimeout     = 15 * time.Second
	idlePerHost     = 16
	keepAliveProbes = 5 * time.Second
	// refusedTimeout bounds a question whether anything listens. A host that is
	// up refuses within a round trip.
	refusedTimeout = 200 * time.Millisecond
)

// Traffic counts bytes by whether they cross the region link.
type Traffic struct {
	LinkOut  atomic.Int64
	LinkIn   atomic.Int64
	LocalOut atomic.Int64
	LocalIn  atomic.Int64
}

// Transport holds the HTTP transports of a process.
type Transport struct {
	traffic *Traffic
	remote  func(netip.AddrPort) bool
	idle    *http.Transport // idle holds the connections of shared.
	shared  http.RoundTripper
	fresh   http.RoundTripper
}

// Middleware wraps a round tripper. The demonstration uses it to add the
// latencies of a deployment.
type Middleware func(http.RoundTripper) http.RoundTripper

// New returns a transport. remote reports whether an address is in another
// region.
func New(remote func(netip.AddrPort) bool, middleware Middleware) *Transport {
	t := &Transport{traffic: &Traffic{}, remote: remote}
	if middleware == nil {
		middleware = func(next http.RoundTripper) http.RoundTripper { return next }
	}
	shared := t.base()
	shared.MaxIdleConnsPerHost = idlePerHost
	shared.IdleConnTimeout = idleTimeout
	fresh := t.base()
	fresh.DisableKeepAlives = true
	t.idle = shared
	t.shared = middleware(shared)
	t.fresh = middleware(fresh)
	return t
}

func (t *Transport) base() *http.Transport {
	return &http.Transport{DialContext: t.dial}
}

// Shared returns the round tripper that reuses connections.
func (t *Transport) Shared() http.RoundTripper { return t.shared }

// Refused reports whether the host of an address answers that nothing listens
// there. Silence proves nothing.
func Refused(ctx context.Context, address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, refusedTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return ConnectionRefused(err)
	}
	_ = conn.Close() // Nothing was sent.
	return false
}

// ConnectionRefused reports whether a call failed because its connection was refused.
// Then nothing was sent. An open connection can also fail with ECONNREFUSED, if a
// packet filter rejects its packets; that proves nothing about what was sent before.
func ConnectionRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && errors.Is(op.Err, syscall.ECONNREFUSED)
}

// CloseIdle gives up the connections that are not in use.
func (t *Transport) CloseIdle() { t.idle.CloseIdleConnections() }

// Fresh returns the round tripper that opens a connection for each exchange.
// Retries use it, because an open connection may have gone silent.
func (t *Transport) Fresh() http.RoundTripper { return t.fresh }

// Traffic returns the byte counters.
func (t *Transport) Traffic() *Traffic { return t.traffic }

func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: not an IP address and port", address)
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveProbes}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: conn, in: &t.traffic.LocalIn, out: &t.traffic.LocalOut}
	if t.remote != nil && t.remote(target) {
		counted.in, counted.out = &t.traffic.LinkIn, &t.traffic.LinkOut
	}
	return counted, nil
}
