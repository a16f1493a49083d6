package journal

import (
	"strings"
	"time"
)

// A record moves the clock of the fold by at most maxClockStep.
const maxClockStep = time.Minute

// foldClock is the time that the fold goes by. It follows the second-highest
// time that any host has written, so that one host with a wrong clock cannot
// move it ahead and evict claims whose requests may still run. While only one
// host has written, the clock follows that host.
type foldClock struct {
	now     time.Time // now never goes back.
	leader  string    // leader is the host with the highest time.
	highest time.Time
	second  time.Time // second is the highest time of all other hosts.
}

// host returns the part of a writer's name that stays the same when the
// process restarts.
func host(writer string) string {
	if at := strings.LastIndexByte(writer, '@'); at >= 0 {
		return writer[:at]
	}
	return writer
}

// note remembers the time that a writer has reported.
func (c *foldClock) note(writer string, t time.Time) {
	name := host(writer)
	switch {
	case c.leader == "" || name == c.leader:
		c.leader = name
		c.highest = later(c.highest, t)
	case t.After(c.highest):
		c.second, c.highest, c.leader = c.highest, t, name
	default:
		c.second = later(c.second, t)
	}
}

// advance moves the clock towards what the hosts agree on.
func (c *foldClock) advance() {
	t := c.second
	if t.IsZero() {
		t = c.highest
	}
	if limit := c.now.Add(maxClockStep); !c.now.IsZero() && t.After(limit) {
		t = limit
	}
	c.now = later(c.now, t)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
