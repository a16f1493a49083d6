package membership

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/cluster/wire"
)

// Guards against a process that was paused and, when it goes on, declares
// members dead whose refutations it had no chance to read.
func TestPauseRestartsSuspicions(t *testing.T) {
	tests := map[string]struct {
		sinceSweep time.Duration
		want       State
	}{
		"running": {sinceSweep: sweepInterval, want: Dead},
		"paused":  {sinceSweep: 10 * time.Second, want: Suspect},
	}
	for title, tt := range tests {
		t.Run(title, func(t *testing.T) {
			c := qt.New(t)
			address := netip.MustParseAddrPort("10.0.0.1:7000")
			m := New(Default(), Member{Name: "self", DataCentre: "dc0", Address: address}, nil)
			other := Member{Name: "other", DataCentre: "dc0", Address: address}
			_, err := m.HandleProbe(context.Background(), &wire.ProbeRequest{From: Encode(other)})
			c.Assert(err, qt.IsNil)
			m.suspect(other)
			m.suspects["other"].deadline = time.Now().Add(-time.Second)
			m.lastSweep = time.Now().Add(-tt.sinceSweep)
			c.Assert(m.sweep(context.Background()), qt.IsNil)
			c.Assert(m.Members()[0].State, qt.Equals, tt.want)
		})
	}
}
