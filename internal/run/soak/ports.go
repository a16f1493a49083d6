package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// The ports of processes and links are below those that the kernel gives to
// outgoing connections, so that they stay free while a process is replaced.
const (
	firstPort = 20_000
	lastPort  = 32_000
	portsEach = 7 // portsEach is the number of ports of a process.
	// blockPorts is the number of ports of a block. Its first one is held by the
	// soak that uses the block, so that another soak takes none of the others.
	blockPorts = 120
	portTries  = 400
)

// ports hands out free ports of the loopback interface, of blocks that no other
// soak uses. Another program may take one before it is used; the start of a
// process then fails.
type ports struct {
	claims []net.Listener
	next   uint16
	end    uint16 // end is the first port after the present block.
}

// take returns the first of so many free ports in a row.
func (p *ports) take(count uint16) (uint16, error) {
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

// claim takes a random block unless another soak uses it.
func (p *ports) claim() {
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

// release gives the blocks up.
func (p *ports) release() {
	for _, l := range p.claims {
		_ = l.Close()
	}
}
