package membership_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/cluster/membership"
)

// Guards against processes that start together through a seed of another data
// centre and then miss each other until the next repairs. A configuration must
// be in force everywhere within 4 s, and reaches only members that are known.
func TestDeploymentThatStartsAtOnceIsKnown(t *testing.T) {
	const centres, members = 3, 5
	tests := map[string][]netip.AddrPort{
		"one seed":                  {place(0, 0)},
		"one seed in a data centre": {place(0, 0), place(1, 0), place(2, 0)},
	}
	for title, seeds := range tests {
		t.Run(title, func(t *testing.T) { startAtOnce(t, seeds, centres, members) })
	}
}

func startAtOnce(t *testing.T, seeds []netip.AddrPort, centres, members int) {
	run(t, membership.Default(), func(c *qt.C, f *fleet) {
		f.seeds = seeds
		for n := range members {
			for dc := range centres {
				f.start(name(dc, n), place(dc, n))
			}
		}
		took := f.await(c, 4*time.Second, func() bool {
			return f.all(func(list []membership.Member) bool { return working(list) == centres*members })
		})
		c.Logf("all know all after %v", took)
	})
}
