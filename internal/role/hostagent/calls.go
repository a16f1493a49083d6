package hostagent

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/fleet/host"
)

// runCall is a call about one run.
type runCall struct {
	name        string // name is the name of the call in the minion's API.
	key         runKey
	token       int64
	incarnation string // incarnation is the one for which the call is meant.
}

// logCall logs the outcome of a call about one run that began at begin. known is
// the state of the minion on which the agent has decided. asked is false if the
// minion was not called. A caller that has gone does not receive the outcome.
func (a *Agent) logCall(ctx context.Context, c runCall, known knownState, asked bool, took time.Duration, err error, details ...any) {
	fields := append([]any{"event", c.name, "job", c.key.task.Job, "task", c.key.task, "run", c.key.number, "token", c.token,
		"minion", c.incarnation, "known-minion", known.minion.Incarnation(), "known-age", known.age.Round(time.Millisecond),
		"draining", known.minion.Draining}, details...)
	fields = append(fields, "asked", asked, "outcome", outcomeName(err))
	if err != nil {
		fields = append(fields, "reason", err)
	}
	caller := "waits"
	if ctx.Err() != nil {
		caller = "gone"
	}
	_ = level.Info(a.logger).Log(append(fields, "took", took.Round(time.Microsecond), "caller", caller)...)
}

// outcomeName returns the value of the log key outcome of a call.
func outcomeName(err error) string {
	switch {
	case err == nil:
		return "done"
	case host.IsRefusal(err):
		return "refused"
	default:
		return "unanswered"
	}
}
