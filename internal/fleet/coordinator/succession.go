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

// vacancy is how long nobody has led, as far as this process knows.
type vacancy struct {
	since time.Duration // since is when that was seen first; 0 while somebody leads.
	took  time.Duration // took is how long the store last needed to say who leads.
	last  string        // last is the candidate that was last seen to lead.
}

// vacant reports whether this process should claim the leadership. A process
// that does not lead stays out of the candidates while another one does,
// because the store may move the leadership whenever a candidate comes or goes.
// For the same reason the entries claim a vacant leadership one after the other.
func (c *Coordinator) vacant(ctx context.Context) bool {
	begin := now()
	ctx, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	holder, err := c.store.Leader(ctx, c.topic)
	c.vacancy.took = now() - begin
	if holder != "" {
		c.vacancy.last = holder
	}
	switch {
	case err != nil:
		_ = level.Debug(c.logger).Log("event", "leader not known", "reason", err)
		return false
	case holder == c.settings().Name:
		return true
	case holder != "" && !c.gone(ctx, holder):
		c.vacancy.since = 0
		return false
	}
	if c.vacancy.since == 0 {
		c.vacancy.since = begin
	}
	if now()-c.vacancy.since < time.Duration(c.rank())*max(successorInterval, claimTimes*c.vacancy.took) {
		return false
	}
	if holder == "" {
		return true
	}
	if err := c.store.Resign(ctx, c.topic, holder); err != nil {
		_ = level.Warn(c.logger).Log("event", "leader not removed", "leader", holder, "reason", err)
		return false
	}
	_ = level.Info(c.logger).Log("event", "leader removed", "leader", holder)
	return true
}

const (
	// claimTimes is how many times longer than a question to the store a claim may
	// take until the next entry sees it.
	claimTimes = 3
	// lastRank bounds how many entries are waited for. Some of them may be gone.
	lastRank = 3
)

// rank returns how many entries claim a vacant leadership before this process.
// The latest to start is first: it is known to live, and where entries are
// stopped in turn it has had its turn. The process that led last does not count.
func (c *Coordinator) rank() int {
	own, started, _ := strings.Cut(c.settings().Name, lifeSeparator)
	at, err := time.Parse(time.RFC3339Nano, started)
	if err != nil {
		return 0
	}
	rank := 0
	for name, m := range c.state.Members(ledger.EntryRole) {
		if CandidateName(m) == c.vacancy.last {
			continue
		}
		if m.Started.After(at) || m.Started.Equal(at) && name < own {
			rank++
		}
	}
	return min(rank, lastRank)
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
	ctx, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	if err := c.store.Resign(ctx, c.topic, c.settings().Name); err != nil {
		_ = level.Warn(c.logger).Log("event", "candidate not withdrawn", "reason", err)
	}
}
