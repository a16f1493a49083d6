package network_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/standin/network"
)

type echo struct{}

func (echo) HandleProbe(context.Context, *wire.ProbeRequest) (*wire.ProbeReply, error) {
	return &wire.ProbeReply{AppliedOffset: 7}, nil
}

// Guards against a network on which silence spreads to connections that were
// opened later: members were declared dead for it, because no fresh probe
// worked while the connection of the other process was silent.
func TestFreshConnectionsWorkAfterSilence(t *testing.T) {
	tests := map[string]struct {
		reverse bool // reverse opens a connection in the other direction as well.
		fresh   bool
		answers bool
	}{
		"old connection":                     {},
		"fresh connection":                   {fresh: true, answers: true},
		"fresh connection, silent reverse":   {reverse: true, fresh: true, answers: true},
		"old connection, fresh from reverse": {reverse: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := network.New(time.Millisecond)
				first, second := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")
				n.Attach(first, echo{})
				n.Attach(second, echo{})
				probe := func(from, to netip.AddrPort, fresh bool) error {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					_, err := n.Transport(from).Probe(ctx, to, &wire.ProbeRequest{}, fresh)
					return err
				}
				c.Assert(probe(first, second, false), qt.IsNil)
				if tt.reverse {
					c.Assert(probe(second, first, false), qt.IsNil)
				}
				n.SilenceOpen()
				if tt.reverse && !tt.fresh {
					c.Assert(probe(second, first, true), qt.IsNil)
				}
				c.Assert(probe(first, second, tt.fresh) == nil, qt.Equals, tt.answers)
			})
		})
	}
}
