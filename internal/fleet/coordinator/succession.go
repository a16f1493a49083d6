package coordinator

import (
	"context"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/record/ledger"
)

// startSeparator separates the member name of an entry from the start time of
// its process in the name of a candidate.
const startSeparator = "/"

// CandidateName returns the name under which the process of a member claims the
// leadership: the member name and the start time of the process. It is
// different after each restart.
func CandidateName(m ledger.Member) string {
	return m.Name + startSeparator + m.Started.UTC().Format(time.RFC3339Nano)
}

// vacancy tracks how long there has been no leader, as far as this process
// knows.
type vacancy struct {
	since      time.Duration          // since is when the vacancy was first seen; 0 while there is a leader.
	lookupTime time.Duration          // lookupTime is how long the last lookup of the leader took.
	lastLeader string                 // lastLeader is the candidate that was last seen as leader.
	removed    collection.Set[string] // removed holds the leaders that this process has removed.
}

// shouldClaim reports whether this process should claim the leadership. While
// another process leads, this one does not become a candidate, because the
// store may move the leadership whenever a candidate joins or leaves. For the
// same reason, entries claim a vacant leadership one after the other. If the
// leader's process has certainly ended, shouldClaim removes it from the
// candidates before it returns true. It removes each candidate once at most: one
// that leads again is alive, and the record of its member is wrong.
func (c *Coordinator) shouldClaim(ctx context.Context) bool {
	begin := now()
	ctx, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	leader, err := c.store.Leader(ctx, c.topic)
	c.vacancy.lookupTime = now() - begin
	if leader != "" {
		c.vacancy.lastLeader = leader
	}
	switch {
	case err != nil:
		_ = level.Debug(c.logger).Log("event", "leader lookup failed", "reason", err)
		return false
	case leader == c.settings().Name:
		return true
	case leader != "" && (c.vacancy.removed.Has(leader) || !c.candidateEnded(ctx, leader)):
		c.vacancy.since = 0
		return false
	}
	if c.vacancy.since == 0 {
		c.vacancy.since = begin
	}
	if now()-c.vacancy.since < time.Duration(c.successionRank())*max(successorPollInterval, claimDelayFactor*c.vacancy.lookupTime) {
		return false
	}
	if leader == "" {
		return true
	}
	if err := c.store.Resign(ctx, c.topic, leader); err != nil {
		_ = level.Warn(c.logger).Log("event", "leader not removed", "leader", leader, "reason", err)
		return false
	}
	c.vacancy.removed.Add(leader)
	_ = level.Info(c.logger).Log("event", "leader removed", "leader", leader)
	return true
}

const (
	// claimDelayFactor times the duration of a leader lookup is how long an
	// entry waits for the claim of each entry before it. Within that time, a
	// claim reaches the store and the next lookup returns it.
	claimDelayFactor = 3
	// maxSuccessionRank bounds how many entries are waited for. Some of them
	// may have stopped.
	maxSuccessionRank = 3
)

// successionRank returns how many entries claim a vacant leadership before this
// process. The latest to start is first: it is known to be alive, and during a
// rolling restart it has already been restarted. The process that led last does
// not count.
func (c *Coordinator) successionRank() int {
	own, started, _ := strings.Cut(c.settings().Name, startSeparator)
	at, err := time.Parse(time.RFC3339Nano, started)
	if err != nil {
		return 0
	}
	rank := 0
	for name, m := range c.state.Members(ledger.EntryRole) {
		if CandidateName(m) == c.vacancy.lastLeader {
			continue
		}
		if m.Started.After(at) || m.Started.Equal(at) && name < own {
			rank++
		}
	}
	return min(rank, maxSuccessionRank)
}

// candidateEnded reports whether the process of a candidate has certainly
// ended: a later process of the same member has announced itself, or the host
// refuses connections to its address.
func (c *Coordinator) candidateEnded(ctx context.Context, candidate string) bool {
	name, _, _ := strings.Cut(candidate, startSeparator)
	m, ok := c.state.Members(ledger.EntryRole)[name]
	if !ok {
		return false
	}
	if CandidateName(m) != candidate {
		return startedLater(m, candidate)
	}
	return c.connectionRefused(ctx, m.Address)
}

// startedLater reports whether a member's process started after that of a
// candidate.
func startedLater(m ledger.Member, candidate string) bool {
	_, started, _ := strings.Cut(candidate, startSeparator)
	at, err := time.Parse(time.RFC3339Nano, started)
	return err == nil && m.Started.After(at)
}

// withdraw removes this process from the candidates after it has lost the
// leadership or not won it.
func (c *Coordinator) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, campaignTimeout)
	defer cancel()
	if err := c.store.Resign(ctx, c.topic, c.settings().Name); err != nil {
		_ = level.Warn(c.logger).Log("event", "withdrawing the candidate failed", "reason", err)
	}
}
