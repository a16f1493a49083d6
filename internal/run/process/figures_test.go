package process

import (
	"net"
	"net/netip"
	"os"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"wasabihoist/internal/run/settings"
)

// anyPort listens at a free port whatever the settings say.
func anyPort(netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func testSettings(role settings.Role) settings.Settings {
	s := settings.Default(role)
	s.Name = string(role) + "-figures"
	s.Region, s.DataCentre = "gulf", "mobile-back"
	s.ListenAddress = netip.MustParseAddrPort("127.0.0.1:1")
	s.LogAddress = s.ListenAddress
	s.Agent.MinionAddress = s.ListenAddress
	return s
}

// Guards against figures that the operators' page does not explain, and against
// explanations of figures that no longer exist.
func TestPageListsEveryFigure(t *testing.T) {
	c := qt.New(t)
	env := Environment{Logger: log.NewNopLogger(), Listen: anyPort}
	entry, err := NewEntry(testSettings(settings.Entry), env)
	c.Assert(err, qt.IsNil)
	agent, err := NewAgent(testSettings(settings.Agent), env)
	c.Assert(err, qt.IsNil)
	known := map[string]string{}
	for _, f := range append(entry.figures(), agent.figures()...) {
		known[f.Name] = string(f.Kind)
	}
	page, err := os.ReadFile("../../../docs/operations/read-metrics.md")
	c.Assert(err, qt.IsNil)
	documented := map[string]string{}
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| (counter|gauge) \\|").FindAllStringSubmatch(string(page), -1) {
		documented[row[1]] = row[2]
	}
	c.Assert(documented, qt.DeepEquals, known)
}

// Guards against a process that starts half when one of its addresses is busy.
func TestBusyAddressStartsNothing(t *testing.T) {
	busy := netip.MustParseAddrPort("127.0.0.1:9")
	tests := map[string]struct {
		set  func(*settings.Settings)
		role settings.Role
		key  string
	}{
		"listen":   {func(s *settings.Settings) { s.ListenAddress = busy }, settings.Agent, "listen-address"},
		"metrics":  {func(s *settings.Settings) { s.MetricsAddress = busy }, settings.Agent, "metrics-address"},
		"announce": {func(s *settings.Settings) { s.Agent.AnnounceAddress = busy }, settings.Agent, "agent.announce-address"},
		"caller":   {func(s *settings.Settings) { s.Entry.CallerAddress = busy }, settings.Entry, "entry.caller-address"},
		"operator": {func(s *settings.Settings) { s.Entry.OperatorAddress = busy }, settings.Entry, "entry.operator-address"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var opened []net.Listener
			listen := func(a netip.AddrPort) (net.Listener, error) {
				if a == busy {
					return nil, net.ErrClosed
				}
				l, err := anyPort(a)
				opened = append(opened, l)
				return l, err
			}
			s := testSettings(tt.role)
			tt.set(&s)
			env := Environment{Logger: log.NewNopLogger(), Listen: listen}
			var err error
			if tt.role == settings.Agent {
				_, err = NewAgent(s, env)
			} else {
				_, err = NewEntry(s, env)
			}
			c.Assert(err, qt.ErrorMatches, tt.key+": .*")
			for _, l := range opened {
				_, err = net.Listen("tcp", l.Addr().String())
				c.Assert(err, qt.IsNil, qt.Commentf("%s is still open", l.Addr()))
			}
		})
	}
}
