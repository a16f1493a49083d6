package process

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/cluster/membership"
)

// Guards against changes of membership that the audit trail describes wrongly.
func TestMemberEntry(t *testing.T) {
	alive := membership.Member{Name: "agent-1", Incarnation: 1, State: membership.Alive}
	with := func(m membership.Member, s membership.State) membership.Member {
		m.State = s
		return m
	}
	restarted := alive
	restarted.Incarnation = 2
	tests := map[string]struct {
		before, after membership.Member
		known         bool
		action        string
		reason        string
		from          string
	}{
		"joined":   {after: alive, action: "member alive", reason: "joined"},
		"draining": {alive, with(alive, membership.Draining), true, "member draining", "the member reported it", "alive"},
		"suspect":  {alive, with(alive, membership.Suspect), true, "member suspect", "probes had no answer", "alive"},
		"dead":     {with(alive, membership.Suspect), with(alive, membership.Dead), true, "member dead", "left, or suspected for the suspicion time", "suspect"},
		"replaced": {with(alive, membership.Dead), restarted, true, "member alive", "a new instance has started", "dead"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a := memberEntry("agent-2@1", tt.before, tt.known, tt.after)
			c.Assert([]string{a.Subject, a.Action, a.Reason, a.Before}, qt.DeepEquals, []string{"agent-1", tt.action, tt.reason, tt.from})
		})
	}
}
