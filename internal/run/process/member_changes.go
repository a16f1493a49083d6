package process

import (
	"context"

	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/run/logging"
)

// memberChanges logs changes of members, and writes those of the own data
// centre to the audit trail while this process has the scheduler duty there,
// so that each change is written about once.
type memberChanges struct {
	node    *node
	holds   func(dataCentre string) bool // holds reports whether this process has the scheduler duty.
	changes *logging.Changes
	known   map[string]membership.Member // known has the members as they were last seen.
}

func newMemberChanges(n *node, holds func(string) bool) *memberChanges {
	return &memberChanges{
		node:    n,
		holds:   holds,
		changes: logging.NewChanges(n.logger, "member"),
		known:   map[string]membership.Member{},
	}
}

// String names the controller.
func (c *memberChanges) String() string { return "member changes" }

// Run follows the member list until ctx ends.
func (c *memberChanges) Run(ctx context.Context) error {
	for {
		members, _, changed := c.node.board.members.Watch()
		c.update(members)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (c *memberChanges) update(members []membership.Member) {
	seen := make(map[string]membership.Member, len(members))
	for _, m := range members {
		seen[m.Name] = m
		before, known := c.known[m.Name]
		if known && before.State == m.State && before.Incarnation == m.Incarnation {
			continue
		}
		c.changes.Log(m.Name, m.State.String(), "data-centre", m.DataCentre)
		if m.DataCentre == c.node.settings.DataCentre && c.holds(m.DataCentre) {
			c.node.writer.Audit(memberEntry(c.node.writer.Name(), before, known, m))
		}
	}
	for name := range c.known {
		if _, listed := seen[name]; !listed {
			c.changes.Forget(name)
		}
	}
	c.known = seen
}

// memberEntry describes a change of a member for the audit trail.
func memberEntry(actor string, before membership.Member, known bool, after membership.Member) journal.Audit {
	a := journal.Audit{
		Actor:   actor,
		Action:  "member " + after.State.String(),
		Subject: after.Name,
		Reason:  "the member reported it",
		After:   after.State.String(),
	}
	if known {
		a.Before = before.State.String()
	}
	switch {
	case !known:
		a.Reason = "joined"
	case before.Incarnation != after.Incarnation:
		a.Reason = "a new instance has started"
	case after.State == membership.Suspect:
		a.Reason = "probes had no answer"
	case after.State == membership.Dead:
		a.Reason = "left, or suspected for the suspicion time"
	}
	return a
}
