package process

import (
	"context"
	"net/http"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/fleet/lease"
	"wasabihoist/internal/run/settings"
)

// Guards against leases that go to processes which cannot hold them or are
// leaving, and against leases that move for each suspicion.
func TestLeaseHoldersAreLiveAgentsOfTheDataCentre(t *testing.T) {
	member := func(name string, change func(*membership.Member)) membership.Member {
		m := membership.Member{
			Name: name, Role: membership.Agent, DataCentre: "mobile-back", Region: "gulf",
			Address: netip.MustParseAddrPort("127.0.0.1:7001"),
		}
		change(&m)
		return m
	}
	tests := map[string]struct {
		member membership.Member
		holds  bool
	}{
		"alive":    {member("x", func(*membership.Member) {}), true},
		"suspect":  {member("x", func(m *membership.Member) { m.State = membership.Suspect }), true},
		"draining": {member("x", func(m *membership.Member) { m.State = membership.Draining }), false},
		"dead":     {member("x", func(m *membership.Member) { m.State = membership.Dead }), false},
		"entry":    {member("x", func(m *membership.Member) { m.Role = membership.Entry }), false},
		"remote":   {member("x", func(m *membership.Member) { m.DataCentre = "biloxi-annex" }), false},
		"itself":   {member("agent-figures", func(*membership.Member) {}), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a, err := NewAgent(testSettings(settings.Agent), Environment{Logger: log.NewNopLogger(), Listen: anyPort})
			c.Assert(err, qt.IsNil)
			defer func() { _ = a.close() }()
			h := leaseHolders{node: a.node, dataCentre: "mobile-back"}
			a.board.members.Set([]membership.Member{tt.member})
			var want []string
			if tt.holds {
				want = []string{"x@127.0.0.1:7001"}
			}
			c.Check(h.Names(), qt.DeepEquals, want)
			a.board.members.Set(nil)
			c.Check(h.Dial("x@127.0.0.1:7001"), qt.Equals, lease.Holder(lease.UnavailableHolder{}))
		})
	}
}

// Guards against agents that do not offer their table of leases to the
// schedulers of others.
func TestAgentServesItsLeases(t *testing.T) {
	c := qt.New(t)
	a, err := NewAgent(testSettings(settings.Agent), Environment{Logger: log.NewNopLogger(), Listen: anyPort})
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	a.group.Go("test", func(context.Context) error {
		<-ctx.Done()
		a.Kill()
		return nil
	})
	ended := make(chan error, 1)
	a.group.Go(a.leases.String(), a.leases.Run)
	a.group.Go("server", func(context.Context) error {
		ended <- a.server.Serve(a.listener)
		return nil
	})
	address := netip.MustParseAddrPort(a.listener.Addr().String())
	holder := lease.NewRemoteHolder(address, http.DefaultTransport, http.DefaultTransport, 0)
	_, err = holder.Watch(context.Background(), lease.Query{After: 1})
	c.Check(err, qt.ErrorIs, lease.ErrNoSession)
	cancel()
	c.Check(a.server.Close(), qt.IsNil)
	c.Check(<-ended, qt.Equals, http.ErrServerClosed)
	_ = a.group.Wait()
}
