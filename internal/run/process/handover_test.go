package process

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/twitchtv/twirp"

	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/run/settings"
)

// fakeScheduler is an agent that schedules, hands over, or neither.
type fakeScheduler struct {
	wire.Scheduler
	code atomic.Value // code is the twirp.ErrorCode of its answers; empty while it schedules.
}

func (f *fakeScheduler) Fleet(context.Context, *wire.FleetRequest) (*wire.FleetReply, error) {
	if code := f.code.Load().(twirp.ErrorCode); code != "" {
		return nil, twirp.NewError(code, "not scheduling")
	}
	return &wire.FleetReply{}, nil
}

// Guards against a successor that takes the leases while the agent before it
// still finishes a start, and against one that waits for an agent that is gone.
func TestSuccessorWaitsForTheHandover(t *testing.T) {
	const hold = 300 * time.Millisecond
	tests := map[string]struct {
		codes []twirp.ErrorCode // codes follow each other after hold
		state membership.State
		waits bool
	}{
		"still schedules":  {[]twirp.ErrorCode{"", twirp.Unavailable}, membership.Alive, true},
		"hands over":       {[]twirp.ErrorCode{twirp.FailedPrecondition, twirp.Unavailable}, membership.Draining, true},
		"does not":         {[]twirp.ErrorCode{twirp.Unavailable}, membership.Alive, false},
		"is declared dead": {[]twirp.ErrorCode{""}, membership.Dead, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a, err := NewAgent(testSettings(settings.Agent), Environment{Logger: log.NewNopLogger(), Listen: anyPort})
			c.Assert(err, qt.IsNil)
			other := &fakeScheduler{}
			other.code.Store(tt.codes[0])
			server := httptest.NewServer(wire.NewSchedulerServer(other))
			defer server.Close()
			a.board.members.Set([]membership.Member{
				{Name: a.settings.Name, Role: membership.Agent, DataCentre: "mobile-back", Region: "gulf"},
				{
					Name: "before", Role: membership.Agent, DataCentre: "mobile-back", Region: "gulf", State: tt.state,
					Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
				},
			})
			changed := time.AfterFunc(hold, func() { other.code.Store(tt.codes[len(tt.codes)-1]) })
			defer changed.Stop()
			start := time.Now()
			a.duties.awaitHandover(context.Background(), "mobile-back")
			c.Assert(time.Since(start) >= hold, qt.Equals, tt.waits)
		})
	}
}
