package membership_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/cluster/wire"
)

// peer serves the probe of one member over HTTP.
type peer struct {
	wire.Peer
	handle func(context.Context, *wire.ProbeRequest) (*wire.ProbeReply, error)
}

// Probe implements wire.Peer.
func (p *peer) Probe(ctx context.Context, request *wire.ProbeRequest) (*wire.ProbeReply, error) {
	return p.handle(ctx, request)
}

// serve starts a server and counts its connections.
func serve(t *testing.T, p *peer) (netip.AddrPort, *atomic.Int32) {
	connections := &atomic.Int32{}
	server := httptest.NewUnstartedServer(wire.NewPeerServer(p))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String()), connections
}

// Guards against a transport that reuses a connection although a fresh one is
// asked for, because an open connection may be silent.
func TestFreshProbeTakesNewConnection(t *testing.T) {
	c := qt.New(t)
	address, connections := serve(t, &peer{handle: func(context.Context, *wire.ProbeRequest) (*wire.ProbeReply, error) {
		return &wire.ProbeReply{Reached: true}, nil
	}})
	transport := membership.NewTwirpTransport()
	defer transport.Close()
	for i, fresh := range []bool{false, false, true, true, false} {
		reply, err := transport.Probe(t.Context(), address, &wire.ProbeRequest{}, fresh)
		c.Assert(err, qt.IsNil)
		c.Assert(reply.Reached, qt.IsTrue)
		c.Assert(connections.Load(), qt.Equals, []int32{1, 1, 2, 3, 3}[i])
	}
}

// Guards against exchanges that wait without end or read replies without limit.
func TestExchangeIsBounded(t *testing.T) {
	tests := map[string]func(context.Context, *wire.ProbeRequest) (*wire.ProbeReply, error){
		"silent": func(ctx context.Context, _ *wire.ProbeRequest) (*wire.ProbeReply, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
		"oversized": func(context.Context, *wire.ProbeRequest) (*wire.ProbeReply, error) {
			return &wire.ProbeReply{From: &wire.Member{Name: strings.Repeat("a", 1<<20)}}, nil
		},
	}
	for title, handle := range tests {
		t.Run(title, func(t *testing.T) {
			address, _ := serve(t, &peer{handle: handle})
			transport := membership.NewTwirpTransport()
			defer transport.Close()
			start := time.Now()
			_, err := transport.Probe(t.Context(), address, &wire.ProbeRequest{}, false)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, time.Since(start) < 5*time.Second, qt.IsTrue)
		})
	}
}

// Guards against members that do not find each other over HTTP, and against
// Run leaving goroutines or connections behind.
func TestMembersFindEachOtherOverHTTP(t *testing.T) {
	c := qt.New(t)
	transport := membership.NewTwirpTransport()
	defer transport.Close()
	options := membership.Default()
	var members []*membership.Membership
	g := group.New(t.Context())
	for i := range 3 {
		p := &peer{}
		address, _ := serve(t, p)
		m := membership.New(options, membership.Member{Name: name(0, i), DataCentre: "dc0", Address: address, Incarnation: time.Now().UnixNano()}, transport)
		p.handle = m.HandleProbe
		options.Seeds = append(options.Seeds, address)
		members = append(members, m)
		g.Go(name(0, i), m.Run)
	}
	complete := make(chan struct{})
	g.Go("watch", func(ctx context.Context) error {
		for {
			list, changed := members[0].Watch()
			if len(list) == 3 {
				close(complete)
				return nil
			}
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
			}
		}
	})
	select {
	case <-complete:
	case <-time.After(10 * time.Second):
		c.Error("members did not find each other")
	}
	g.Stop()
	c.Assert(g.Wait(), qt.IsNil)
}
