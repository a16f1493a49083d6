package coordinator

import (
	"context"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/record/ledger"
)

// lifeSeparator is between the member name of an entry and the start of its
// process in the name of a candidate.
const lifeSeparator = "/"

// CandidateName returns the name of a member's process as a candidate. It is
// different in each life of the process.
func CandidateName(m ledger.Member) string {
	return m.Name + lifeSeparator + m.Started.UTC().Format(time.RFC3339Nano)
}

// vacant reports whether this process should claim the leadership. A process
// that does not lead stays out of the candidates while another one does,
// because the store may move the leadership whenever a candidate comes or goes.
func (c *Coordinator) vacant(ctx context.Context) bool {
	holder, err := c.store.Leader(ctx, c.topic)
	switch {
	case err != nil:
		_ = level.Debug(c.logger).Log("event", "leader not known", "reason", err)
		return false
	case holder == "" || holder == c.settings().Name:
		return true
	case !c.gone(ctx, holder):
		return false
	}
	if err := c.store.Resign(ctx, c.topic, holder); err != nil {
		_ = level.Warn(c.logger).Log("event", "leader not removed", "leader", holder, "reason", err)
		return false
	}
	_ = level.Info(c.logger).Log("event", "leader removed", "leader", holder)
	return true
}

// gone reports whether the process of a candidate has certainly ended: a later
// life of it has announced itself, or its host answers that nothing listens.
func (c *Coordinator) gone(ctx context.Context, candidate string) bool {
	name, _, _ := strings.Cut(candidate, lifeSeparator)
	m, ok := c.state.Members(ledger.EntryRole)[name]
	if !ok {
		return false
	}
	if CandidateName(m) != candidate {
		return laterLife(m, candidate)
	}
	return c.refuses(ctx, m.Address)
}

// laterLife reports whether a member's process started after that of a
// candidate.
func laterLife(m ledger.Member, candidate string) bool {
	_, started, _ := strings.Cut(candidate, lifeSeparator)
	at, err := time.Parse(time.RFC3339Nano, started)
	return err == nil && m.Started.After(at)
}

// withdraw takes this process out of the candidates after it has lost the
// leadership or not won it.
func (c *Coordinator) withdraw(ctx context.Context) {
	if err := c.store.Resign(ctx, c.topic, c.settings().Name); err != nil {
		_ = level.Warn(c.logger).Log("event", "candidate not withdrawn", "reason", err)
	}
}
