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

// linkState is what a proxy does to its connections. Of several states at a
// time the highest counts.
type linkState int

const (
	linkSound linkState = iota
	linkDelayed
	linkOneWay // linkOneWay loses what comes back from the target.
	linkSilent
	linkReset
	linkStates
)

const (
	// linkDelay is added to each piece of data of a slow link. It is about the
	// longest time within which a claim of the leadership is answered.
	linkDelay  = 250 * time.Millisecond
	pieceBytes = 32 << 10
	// relistenTime bounds how long another program may hold the port of a link.
	relistenTime     = 5 * time.Second
	relistenInterval = 20 * time.Millisecond
)

// proxy forwards connections on the loopback interface. While its target is
// down, nothing listens at its address.
type proxy struct {
	at     netip.AddrPort
	target netip.AddrPort
	group  *group.Group

	mu       sync.Mutex
	listener net.Listener // listener is nil while the target is down.
	active   [linkStates]int
	open     map[net.Conn]bool
	stale    map[net.Conn]bool // stale connections carry nothing more.
}

// newProxy returns a link that listens at an address. A port of 0 selects one
// that may be taken while the target is down.
func newProxy(g *group.Group, at, target netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, fmt.Errorf("listen for a link: %w", err)
	}
	p := &proxy{
		at: netip.MustParseAddrPort(l.Addr().String()), target: target, group: g, listener: l,
		open: make(map[net.Conn]bool), stale: make(map[net.Conn]bool),
	}
	g.Go("link", func(ctx context.Context) error {
		<-ctx.Done()
		p.down()
		return nil
	})
	g.Go("accept", func(ctx context.Context) error { return p.accept(ctx, l) })
	return p, nil
}

func (p *proxy) address() netip.AddrPort { return p.at }

// begin adds a state, and end removes it again.
func (p *proxy) begin(state linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active[state]++
	if state == linkReset {
		p.closeAll()
	}
}

func (p *proxy) end(state linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active[state]--
}

// sound ends all states.
func (p *proxy) sound() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = [linkStates]int{}
}

func (p *proxy) current() linkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	for state := linkStates - 1; state > linkSound; state-- {
		if p.active[state] > 0 {
			return state
		}
	}
	return linkSound
}

// goStale makes the open connections silent for good. New ones work.
func (p *proxy) goStale() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		p.stale[c] = true
	}
}

func (p *proxy) isStale(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stale[c]
}

// down refuses connections and closes the open ones, as the host of a program
// does that has ended. The host of a silent link can do neither.
func (p *proxy) down() {
	silent := p.current() == linkSilent && p.group.Context().Err() == nil
	p.mu.Lock()
	defer p.mu.Unlock()
	if silent || p.listener == nil {
		return
	}
	_ = p.listener.Close()
	p.listener = nil
	p.closeAll()
}

// up accepts connections again.
func (p *proxy) up() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.group.Context().Err() != nil {
		return nil
	}
	var l net.Listener
	var err error
	for end := time.Now().Add(relistenTime); time.Now().Before(end); time.Sleep(relistenInterval) {
		if l, err = net.Listen("tcp", p.at.String()); err == nil {
			break
		}
	}
	if err != nil {
		return fmt.Errorf("listen for a link again: %w", err)
	}
	p.listener = l
	p.group.Go("accept", func(ctx context.Context) error { return p.accept(ctx, l) })
	return nil
}

func (p *proxy) closeAll() {
	for c := range p.open {
		_ = c.Close()
	}
}

func (p *proxy) accept(ctx context.Context, l net.Listener) error {
	for {
		c, err := l.Accept()
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
		delete(p.stale, c)
		_ = c.Close()
	}
}

// carry copies one direction until an end closes. Once a piece was lost on a
// silent link, nothing follows it on the same connection, nor does its end.
func (p *proxy) carry(ctx context.Context, to, from net.Conn, answers bool) {
	piece := make([]byte, pieceBytes)
	lost := false
	for {
		n, err := from.Read(piece)
		state := p.current()
		lost = lost || state == linkSilent || state == linkOneWay && answers || p.isStale(from)
		if err != nil {
			break
		}
		if lost {
			continue
		}
		if state == linkDelayed && group.Pause(ctx, linkDelay) != nil {
			break
		}
		if _, err := to.Write(piece[:n]); err != nil {
			break
		}
	}
	_ = from.Close()
	if !lost || !answers || p.group.Context().Err() != nil {
		_ = to.Close()
	}
}
