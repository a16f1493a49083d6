package hostlink_test

import (
	"context"
	"math"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/cluster/hostlink"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/fleet/host"
)

// scriptedAgent answers all calls with the same replies.
type scriptedAgent struct {
	hold  *wire.HoldReply
	order *wire.OrderReply
}

func (a scriptedAgent) Hold(context.Context, *wire.HoldRequest) (*wire.HoldReply, error) {
	return a.hold, nil
}

func (a scriptedAgent) Start(context.Context, *wire.StartRunRequest) (*wire.OrderReply, error) {
	return a.order, nil
}

func (a scriptedAgent) Stop(context.Context, *wire.StopRunRequest) (*wire.OrderReply, error) {
	return a.order, nil
}

func (a scriptedAgent) Pace(context.Context, *wire.PaceRunRequest) (*wire.OrderReply, error) {
	return a.order, nil
}

func newClient(c *qt.C, agent scriptedAgent) *hostlink.Client {
	s := httptest.NewServer(wire.NewTaskAgentServer(agent))
	c.Cleanup(s.Close)
	return hostlink.NewClient(netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), http.DefaultTransport, func() {})
}

// Guards against values of another version or of a faulty agent that end the
// coordinator or overflow.
func TestOddStatusReports(t *testing.T) {
	const name = "5c0e7a21d94b36f8.0.1.17"
	minion := func(change func(m *wire.MinionReport)) *wire.HoldReply {
		m := &wire.MinionReport{Id: "m-1", BornMillis: 1700000000123, MilliCores: 1000, MemoryMb: 10}
		change(m)
		return &wire.HoldReply{ClockMillis: 5, Minion: m}
	}
	for name, tt := range map[string]struct {
		reply *wire.HoldReply
		valid bool
		check func(c *qt.C, r host.StatusReport)
	}{
		"good": {minion(func(*wire.MinionReport) {}), true, func(c *qt.C, r host.StatusReport) {
			c.Check(r.Clock, qt.Equals, 5*time.Millisecond)
		}},
		"no minion": {&wire.HoldReply{}, true, nil},
		"unknown outcome": {&wire.HoldReply{Ends: []*wire.EndEntry{{Sequence: 1, Task: name, Number: 1, Outcome: 99}, {Sequence: 2, Task: name, Number: 2, Outcome: -1}}}, true, func(c *qt.C, r host.StatusReport) {
			c.Check([]host.Outcome{r.EndedRuns[0].Outcome, r.EndedRuns[1].Outcome}, qt.DeepEquals, []host.Outcome{host.LeaseExpired, host.LeaseExpired})
		}},
		"percent": {&wire.HoldReply{Running: []*wire.RunEntry{{Task: name, Number: 1, Percent: math.MaxInt64, Load: math.MinInt64}, {Task: name, Number: 2, Percent: -7}}}, true, func(c *qt.C, r host.StatusReport) {
			c.Check([]int{r.Running[0].ProgressPercent, r.Running[0].Load, r.Running[1].ProgressPercent}, qt.DeepEquals, []int{100, 0, 0})
		}},
		"remaining": {minion(func(m *wire.MinionReport) { m.RemainingMillis = math.MaxInt64 }), true, func(c *qt.C, r host.StatusReport) {
			c.Check(r.Minion.Remaining > time.Hour, qt.IsTrue)
		}},
		"negative remaining": {minion(func(m *wire.MinionReport) { m.RemainingMillis = math.MinInt64 }), true, func(c *qt.C, r host.StatusReport) {
			c.Check(r.Minion.Remaining, qt.Equals, time.Duration(0))
		}},
		"clock":             {&wire.HoldReply{ClockMillis: math.MaxInt64}, false, nil},
		"negative clock":    {&wire.HoldReply{ClockMillis: -1}, false, nil},
		"capacity":          {minion(func(m *wire.MinionReport) { m.MilliCores = math.MaxInt64 }), false, nil},
		"negative capacity": {minion(func(m *wire.MinionReport) { m.MemoryMb = -1 }), false, nil},
		"task":              {&wire.HoldReply{Running: []*wire.RunEntry{{Task: "5c0e7a21d94b36f8.4000000000000000000.1.17", Number: 1}}}, false, nil},
		"unknown refusal":   {&wire.HoldReply{Refusal: 99}, false, nil},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			report, err := newClient(c, scriptedAgent{hold: tt.reply}).RenewLease(context.Background(), host.RenewLeaseRequest{})
			c.Assert(err == nil, qt.Equals, tt.valid, qt.Commentf("%v", err))
			if tt.check != nil {
				tt.check(c, report)
			}
		})
	}
}

// Guards against a refusal of another version that counts as a confirmation.
func TestUnknownRefusalIsNoConfirmation(t *testing.T) {
	c := qt.New(t)
	client := newClient(c, scriptedAgent{order: &wire.OrderReply{Refusal: 99}})
	c.Check(client.Start(context.Background(), host.StartRequest{}), qt.ErrorMatches, `start: unknown refusal 99`)
	c.Check(client.Stop(context.Background(), host.StopRequest{}), qt.ErrorMatches, `stop: unknown refusal 99`)
	c.Check(client.Throttle(context.Background(), host.ThrottleRequest{}), qt.ErrorMatches, `pace: unknown refusal 99`)
}
