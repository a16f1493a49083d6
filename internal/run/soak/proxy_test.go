package soak

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
)

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
			p, err := newProxy(g, netip.MustParseAddrPort(l.Addr().String()))
			c.Assert(err, qt.IsNil)
			p.set(tt.state)
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
