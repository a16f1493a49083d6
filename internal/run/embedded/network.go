// Package embedded runs all roles of a deployment in one process over loopback
// TCP, together with the stand-ins of the platform and the minions. The
// demonstration and the fault bench use it.
package embedded

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"wasabihoist/internal/cluster/transport"
	"wasabihoist/internal/run/deployment"
)

var errPartitioned = errors.New("the regions are partitioned")

// network hands out listeners and adds the latencies of the deployment to
// every exchange.
type network struct {
	deployment deployment.Deployment

	mu          sync.Mutex
	bound       map[netip.AddrPort]net.Listener // bound listeners that no process has taken yet.
	sites       map[netip.AddrPort]deployment.Site
	forwarders  map[path]netip.AddrPort // forwarders between processes that are not connected directly.
	partitioned bool
}

// path is the way from the process that listens at one address to another.
type path struct {
	from netip.AddrPort
	to   netip.AddrPort
}

func newNetwork(d deployment.Deployment) *network {
	return &network{
		deployment: d,
		bound:      map[netip.AddrPort]net.Listener{},
		sites:      map[netip.AddrPort]deployment.Site{},
		forwarders: map[path]netip.AddrPort{},
	}
}

// bind reserves a free loopback address at a site.
func (n *network) bind(site deployment.Site) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("reserve an address: %w", err)
	}
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("reserve an address: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bound[address] = listener
	n.sites[address] = site
	return address, nil
}

// place says at which site an address is that was bound elsewhere.
func (n *network) place(address netip.AddrPort, site deployment.Site) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sites[address] = site
}

// listen returns the reserved listener of an address, or a new one when a
// process starts again at its address.
func (n *network) listen(address netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	listener, ok := n.bound[address]
	delete(n.bound, address)
	n.mu.Unlock()
	if ok {
		return listener, nil
	}
	return net.Listen("tcp", address.String())
}

// closeUnused closes listeners that no process has taken.
func (n *network) closeUnused() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.bound {
		_ = l.Close()
	}
}

// setPartitioned cuts or restores all exchanges between regions.
func (n *network) setPartitioned(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = on
}

// delay returns the one-way latency from a site to an address.
func (n *network) delay(from deployment.Site, to netip.AddrPort) (time.Duration, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	target, ok := n.sites[to]
	if !ok {
		return 0, nil
	}
	if n.partitioned && target.Region != from.Region {
		return 0, errPartitioned
	}
	return n.deployment.OneWay(from, target), nil
}

// setForwarder leads the exchanges of a process with an address through a forwarder.
func (n *network) setForwarder(p path, forwarder netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forwarders[p] = forwarder
}

// route returns the address to connect to.
func (n *network) route(p path) netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	if forwarder, ok := n.forwarders[p]; ok {
		return forwarder
	}
	return p.to
}

// middleware adds the latencies and forwarders that the process sees which is at a
// site and listens at an address.
func (n *network) middleware(site deployment.Site, from netip.AddrPort) transport.Middleware {
	return func(next http.RoundTripper) http.RoundTripper {
		return delayed{
			next:  routed{next: next, route: func(to netip.AddrPort) netip.AddrPort { return n.route(path{from, to}) }},
			delay: func(to netip.AddrPort) (time.Duration, error) { return n.delay(site, to) },
		}
	}
}

// routed replaces the address that is connected to.
type routed struct {
	next  http.RoundTripper
	route func(netip.AddrPort) netip.AddrPort
}

// RoundTrip implements http.RoundTripper.
func (t routed) RoundTrip(r *http.Request) (*http.Response, error) {
	target, err := netip.ParseAddrPort(r.URL.Host)
	if err != nil {
		return nil, fmt.Errorf("target of the exchange: %w", err)
	}
	if actual := t.route(target); actual != target {
		r = r.Clone(r.Context())
		r.URL.Host = actual.String()
	}
	return t.next.RoundTrip(r)
}

// callerTransport adds the latency between a caller and the entries.
func (n *network) callerTransport() http.RoundTripper {
	base := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute}
	return delayed{next: base, delay: func(netip.AddrPort) (time.Duration, error) { return n.deployment.Latencies.Clients, nil }}
}

// delayed sleeps before the request is sent and before the answer is returned.
type delayed struct {
	next  http.RoundTripper
	delay func(netip.AddrPort) (time.Duration, error)
}

// RoundTrip implements http.RoundTripper.
func (d delayed) RoundTrip(r *http.Request) (*http.Response, error) {
	target, err := netip.ParseAddrPort(r.URL.Host)
	if err != nil {
		return nil, fmt.Errorf("target of the exchange: %w", err)
	}
	oneWay, err := d.delay(target)
	if err != nil {
		return nil, err
	}
	if err := sleep(r, oneWay); err != nil {
		return nil, err
	}
	resp, err := d.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := sleep(r, oneWay); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

func sleep(r *http.Request, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-r.Context().Done():
		return r.Context().Err()
	case <-time.After(d):
		return nil
	}
}
