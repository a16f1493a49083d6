package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/standin/fleetstore"
	"wasabihoist/platform"
)

// anyPort is a free port of the loopback interface.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// Guards against faults of a link that do nothing.
func TestLinkStates(t *testing.T) {
	for name, tt := range map[string]struct {
		state    linkState
		answered bool
		least    time.Duration
		heard    bool // heard is whether the call arrives.
	}{
		"sound":   {state: linkSound, answered: true, heard: true},
		"delayed": {state: linkDelayed, answered: true, heard: true, least: 2 * linkDelay},
		"reset":   {state: linkReset},
		"silent":  {state: linkSilent},
		"one way": {state: linkOneWay, heard: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			g := group.New(context.Background())
			c.Cleanup(func() { g.Stop(); c.Check(g.Wait(), qt.IsNil) })
			heard := make(chan struct{}, 1)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = l.Close() })
			g.Go("echo", func(context.Context) error {
				call := make([]byte, 4)
				if conn, err := l.Accept(); err == nil { // Not every call arrives.
					if _, err := io.ReadFull(conn, call); err == nil {
						heard <- struct{}{}
						_, _ = conn.Write(call)
					}
				}
				return nil
			})
			p, err := newProxy(g, anyPort, netip.MustParseAddrPort(l.Addr().String()))
			c.Assert(err, qt.IsNil)
			p.begin(tt.state)
			conn, err := net.Dial("tcp", p.address().String())
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = conn.Close(); _ = l.Close() })
			start := time.Now()
			_, _ = conn.Write([]byte("call")) // A reset link may refuse it.
			c.Assert(conn.SetReadDeadline(start.Add(2*time.Second)), qt.IsNil)
			_, err = io.ReadFull(conn, make([]byte, 4))
			c.Check(err == nil, qt.Equals, tt.answered)
			c.Check(time.Since(start) >= tt.least, qt.IsTrue)
			select {
			case <-heard:
				c.Check(tt.heard, qt.IsTrue)
			default:
				c.Check(tt.heard, qt.IsFalse)
			}
		})
	}
}

// Guards against a link that accepts calls while its target is down, and against
// open connections that work again after they went silent.
func TestLinkOfATargetThatEnds(t *testing.T) {
	c := qt.New(t)
	g := group.New(context.Background())
	c.Cleanup(func() { g.Stop(); c.Check(g.Wait(), qt.IsNil) })
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	c.Cleanup(server.Close)
	p, err := newProxy(g, anyPort, netip.MustParseAddrPort(server.Listener.Addr().String()))
	c.Assert(err, qt.IsNil)
	const timeout = 200 * time.Millisecond
	call := func(client *http.Client) error {
		answer, err := client.Get("http://" + p.address().String())
		if err == nil {
			_ = answer.Body.Close()
		}
		return err
	}
	kept := &http.Client{Timeout: timeout}
	fresh := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	c.Assert(call(kept), qt.IsNil)
	p.goStale()
	c.Check(call(kept), qt.ErrorMatches, ".*Client.Timeout exceeded.*")
	c.Check(call(fresh), qt.IsNil)
	p.down()
	c.Check(errors.Is(call(fresh), syscall.ECONNREFUSED), qt.IsTrue)
	c.Assert(p.up(), qt.IsNil)
	c.Check(call(fresh), qt.IsNil)
	p.begin(linkSilent)
	p.down() // A host without power refuses nothing.
	c.Check(call(fresh), qt.ErrorMatches, ".*Client.Timeout exceeded.*")
	p.end(linkSilent)
	c.Check(call(fresh), qt.IsNil)
}

// Guards against faults that end when another one of the same link ends.
func TestLinkFaultsOverlap(t *testing.T) {
	c := qt.New(t)
	p := &proxy{}
	p.begin(linkDelayed)
	p.begin(linkSilent)
	p.begin(linkSilent)
	p.end(linkSilent)
	c.Check(p.current(), qt.Equals, linkSilent)
	p.end(linkSilent)
	c.Check(p.current(), qt.Equals, linkDelayed)
	p.sound()
	c.Check(p.current(), qt.Equals, linkSound)
}

// Guards against processes that call each other past the links.
func TestMembersAreAnnouncedWithTheirLinks(t *testing.T) {
	c := qt.New(t)
	d := directory{Store: fleetstore.New(), fronts: make(map[string]string)}
	own, link := netip.MustParseAddrPort("127.0.0.1:20001"), netip.MustParseAddrPort("127.0.0.1:40001")
	d.announce(own, link)
	record, err := ledger.EncodeMember(ledger.Member{Name: "side-1", Role: ledger.AgentRole, Address: own})
	c.Assert(err, qt.IsNil)
	c.Assert(d.Append(context.Background(), platform.FleetTopic, []ledger.Record{record}), qt.IsNil)
	state := ledger.NewState()
	page, err := d.Newest(context.Background(), platform.FleetTopic, "")
	c.Assert(err, qt.IsNil)
	_, err = state.Replace(ledger.Page{Records: page.Records, Next: page.End})
	c.Assert(err, qt.IsNil)
	c.Check(state.Members(ledger.AgentRole)["side-1"].Address, qt.Equals, link)
}
