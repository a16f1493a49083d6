// Package loopback hands out ports of the loopback interface to programs and tests
// that start processes of their own.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// The ports lie below those that the kernel gives to outgoing connections, so that
// they stay free until their process starts, and while it is replaced.
const (
	firstPort = 20_000
	lastPort  = 32_000
	// blockPorts is the number of ports of a block. Its first one is held by the
	// program that uses the block, so that another program takes none of the others.
	blockPorts = 120
	portTries  = 400
)

// Ports hands out free ports, of blocks that no other program takes from. A program
// that takes its ports by other means may still have one of them; the start of a
// process then fails. The zero value is ready for use. Ports is safe for concurrent
// use.
type Ports struct {
	mu     sync.Mutex
	claims []net.Listener
	next   uint16
	end    uint16 // end is the first port after the present block.
}

// Take returns the first of so many free ports in a row, at most 119. No port is
// returned twice before Release.
func (p *Ports) Take(count uint16) (uint16, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range portTries {
		if p.next+count > p.end {
			p.claim()
			continue
		}
		first := p.next
		p.next += count
		if areFree(first, count) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", count)
}

// TakeAddress returns 127.0.0.1 with a free port.
func (p *Ports) TakeAddress() (netip.AddrPort, error) {
	port, err := p.Take(1)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port), err
}

// claim takes a random block unless another program uses it.
func (p *Ports) claim() {
	first := firstPort + blockPorts*uint16(rand.N((lastPort-firstPort)/blockPorts))
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
	if err != nil {
		return
	}
	p.claims = append(p.claims, l)
	p.next, p.end = first+1, first+blockPorts
}

func areFree(first, count uint16) bool {
	for i := range count {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// Release gives the blocks up.
func (p *Ports) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.claims {
		_ = l.Close()
	}
	p.claims, p.next, p.end = nil, 0, 0
}
