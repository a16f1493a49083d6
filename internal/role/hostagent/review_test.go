package hostagent_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/fleet/host"
)

// Guards against a start for a former incarnation that is carried out by the
// present one, although the agent knows from a heartbeat or a status report that
// the minion was restarted. The deadline of the start is on the clock of the
// former incarnation.
func TestStartForFormerIncarnationIsNotPassedOn(t *testing.T) {
	for name, learn := range map[string]func(c *qt.C, f *fixture){
		"known from a heartbeat": func(_ *qt.C, f *fixture) { f.agent.Heartbeat(f.minion.Report(), 1) },
		"known from a status report": func(c *qt.C, f *fixture) {
			_, err := f.renew("", 0, 0)
			c.Assert(err, qt.IsNil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFixture(c)
			f.agent.Heartbeat(f.minion.Report(), 2)
			former := f.minion.Report().Incarnation()
			time.Sleep(2 * time.Millisecond)
			f.minion.Restart()
			learn(c, f)
			err := f.agent.Start(context.Background(), host.StartRequest{Incarnation: former, Token: token, Task: task, Number: 1, StartDeadline: time.Minute})
			c.Check(err, qt.ErrorIs, host.ErrOtherIncarnation)
			c.Check(f.fleet.Starts(task), qt.Equals, 0)
		})
	}
}
