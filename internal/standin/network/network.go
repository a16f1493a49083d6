// Package network is a stand-in for the network between the processes of the
// system. It carries probes in memory with the real message encoding, counts
// bytes, and can delay, drop, cut and freeze.
package network

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabihoist/internal/cluster/wire"
)

// ErrRefused is returned when no process listens at an address.
var ErrRefused = errors.New("connection refused")

// Handler answers probes.
type Handler interface {
	HandleProbe(ctx context.Context, request *wire.ProbeRequest) (*wire.ProbeReply, error)
}

// Traffic is what one process has sent and received, without headers.
type Traffic struct {
	Requests   uint64 // Requests are the exchanges that the process started.
	Served     uint64 // Served are the exchanges that the process answered.
	Sent       uint64 // Sent is in bytes.
	Received   uint64 // Received is in bytes.
	LargestMsg int    // LargestMsg is the largest message sent, in bytes.
}

type pair struct{ from, to netip.AddrPort }

// connection is opened by one process to another one and carries requests in
// one direction and replies in the other.
type connection struct {
	opener pair
	silent bool // silent connections carry nothing any more.
}

// Network connects processes by address.
type Network struct {
	mu       sync.Mutex
	latency  func(from, to netip.AddrPort) time.Duration
	cut      func(from, to netip.AddrPort) bool
	loss     int // loss drops every loss-th message of a pair; 0 drops none.
	handlers map[netip.AddrPort]Handler
	frozen   map[netip.AddrPort]chan struct{}
	open     map[pair]*connection // open has the newest connection of each opener.
	sent     map[pair]int
	traffic  map[netip.AddrPort]*Traffic
}

// New returns a network with the given one-way latency.
func New(latency time.Duration) *Network {
	return &Network{
		latency:  func(_, _ netip.AddrPort) time.Duration { return latency },
		cut:      func(_, _ netip.AddrPort) bool { return false },
		handlers: map[netip.AddrPort]Handler{},
		frozen:   map[netip.AddrPort]chan struct{}{},
		open:     map[pair]*connection{},
		sent:     map[pair]int{},
		traffic:  map[netip.AddrPort]*Traffic{},
	}
}

// Attach makes a process reachable.
func (n *Network) Attach(address netip.AddrPort, handler Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

// Detach makes connections to an address fail at once.
func (n *Network) Detach(address netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers, address)
}

// SetLatency sets the one-way latency per direction.
func (n *Network) SetLatency(latency func(from, to netip.AddrPort) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency = latency
}

// SetCut drops all packets in the directions for which cut returns true. The
// sender sees silence.
func (n *Network) SetCut(cut func(from, to netip.AddrPort) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// SetLoss drops every nth message of each pair; 0 drops none.
func (n *Network) SetLoss(nth int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = nth
}

// Freeze stops all messages from and to a process until Resume.
func (n *Network) Freeze(address netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[address] = make(chan struct{})
}

// Resume ends Freeze; waiting messages are delivered.
func (n *Network) Resume(address netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.frozen[address])
	delete(n.frozen, address)
}

// SilenceOpen makes all connections that are open now silent. Fresh ones work.
func (n *Network) SilenceOpen() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.open {
		c.silent = true
	}
}

// Traffic returns the counters of a process.
func (n *Network) Traffic(address netip.AddrPort) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return *n.counters(address)
}

func (n *Network) counters(address netip.AddrPort) *Traffic {
	t := n.traffic[address]
	if t == nil {
		t = &Traffic{}
		n.traffic[address] = t
	}
	return t
}

// Transport returns the transport of the process at an address.
func (n *Network) Transport(from netip.AddrPort) *Transport {
	return &Transport{network: n, from: from}
}

// Transport sends the messages of one process.
type Transport struct {
	network *Network
	from    netip.AddrPort
}

// Probe implements membership.Transport.
func (t *Transport) Probe(ctx context.Context, address netip.AddrPort, request *wire.ProbeRequest, fresh bool) (*wire.ProbeReply, error) {
	n := t.network
	received := &wire.ProbeRequest{}
	c := n.connect(pair{t.from, address}, fresh)
	if err := n.carry(ctx, c, c.opener, request, received); err != nil {
		return nil, err
	}
	n.mu.Lock()
	handler := n.handlers[address]
	n.counters(t.from).Requests++
	n.counters(address).Served++
	n.mu.Unlock()
	if handler == nil {
		return nil, ErrRefused
	}
	reply, err := handler.HandleProbe(ctx, received)
	if err != nil {
		return nil, err
	}
	answer := &wire.ProbeReply{}
	if err := n.carry(ctx, c, pair{address, t.from}, reply, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// connect returns the open connection of an opener or a new one.
func (n *Network) connect(opener pair, fresh bool) *connection {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.open[opener]
	if fresh || c == nil {
		c = &connection{opener: opener}
		n.open[opener] = c
	}
	return c
}

// carry moves one message over a connection in one direction.
func (n *Network) carry(ctx context.Context, c *connection, p pair, message, copied proto.Message) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	n.mu.Lock()
	n.sent[p]++
	drop := n.cut(p.from, p.to) || c.silent || n.loss > 0 && n.sent[p]%n.loss == 0
	latency := n.latency(p.from, p.to)
	n.count(p.from, p.to, len(data))
	n.mu.Unlock()
	if drop {
		<-ctx.Done()
		return ctx.Err()
	}
	if err := n.wait(ctx, p.from, p.to, latency); err != nil {
		return err
	}
	if err := proto.Unmarshal(data, copied); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

func (n *Network) count(from, to netip.AddrPort, size int) {
	sender, receiver := n.counters(from), n.counters(to)
	sender.Sent += uint64(size)
	sender.LargestMsg = max(sender.LargestMsg, size)
	receiver.Received += uint64(size)
}

// wait blocks for the latency and while one of the two processes is frozen.
func (n *Network) wait(ctx context.Context, from, to netip.AddrPort, latency time.Duration) error {
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	for _, address := range []netip.AddrPort{from, to} {
		n.mu.Lock()
		frozen := n.frozen[address]
		n.mu.Unlock()
		if frozen == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-frozen:
		}
	}
	return nil
}
