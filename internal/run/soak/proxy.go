package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"wasabihoist/internal/base/group"
)

// linkState is what a proxy does to its connections.
type linkState int

const (
	linkSound linkState = iota
	linkDelayed
	linkReset
	linkSilent
	linkOneWay // linkOneWay loses what comes back from the store.
)

const (
	// linkDelay is added to each piece of data of a slow link. It is about the
	// longest time within which a claim of the leadership is answered.
	linkDelay  = 250 * time.Millisecond
	linkCheck  = 20 * time.Millisecond
	pieceBytes = 32 << 10
)

// proxy forwards connections on the loopback interface.
type proxy struct {
	listener net.Listener
	target   netip.AddrPort
	group    *group.Group

	mu    sync.Mutex
	state linkState
	open  map[net.Conn]bool
}

func newProxy(g *group.Group, target netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for a link: %w", err)
	}
	p := &proxy{listener: l, target: target, group: g, open: make(map[net.Conn]bool)}
	g.Go("link", func(ctx context.Context) error {
		defer func() { _ = l.Close() }()
		<-ctx.Done()
		p.set(linkReset)
		return nil
	})
	g.Go("accept", p.accept)
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

func (p *proxy) set(state linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	if state == linkReset {
		for c := range p.open {
			_ = c.Close()
		}
	}
}

func (p *proxy) current() linkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

func (p *proxy) accept(ctx context.Context) error {
	for {
		c, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept on a link: %w", err)
		}
		if p.current() == linkReset || ctx.Err() != nil {
			_ = c.Close()
			continue
		}
		p.group.Go("connection", func(ctx context.Context) error {
			p.forward(ctx, c)
			return nil
		})
	}
}

func (p *proxy) forward(ctx context.Context, c net.Conn) {
	up, err := net.Dial("tcp", p.target.String())
	if err != nil {
		_ = c.Close()
		return
	}
	p.track(c, up)
	defer p.untrack(c, up)
	both := group.New(ctx)
	both.Go("calls", func(ctx context.Context) error { p.carry(ctx, up, c, false); return nil })
	both.Go("answers", func(ctx context.Context) error { p.carry(ctx, c, up, true); return nil })
	_ = both.Wait()
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.open[c] = true
	}
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.open, c)
		_ = c.Close()
	}
}

// carry copies one direction until an end closes. Once a piece was lost on a
// silent link, nothing follows it on the same connection.
func (p *proxy) carry(ctx context.Context, to, from net.Conn, answers bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	piece := make([]byte, pieceBytes)
	lost := false
	for {
		n, err := from.Read(piece)
		if err != nil {
			return
		}
		state := p.current()
		lost = lost || state == linkSilent || state == linkOneWay && answers
		if lost {
			continue
		}
		if state == linkDelayed && group.Pause(ctx, linkDelay) != nil {
			return
		}
		if _, err := to.Write(piece[:n]); err != nil {
			return
		}
	}
}
