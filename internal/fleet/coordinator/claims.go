package coordinator

import (
	"cmp"
	"time"

	"wasabihoist/internal/fleet/allocation"
)

const (
	// claimTimeout is how long a step keeps its claim. Stops take less time unless a
	// host doesn't answer, and then others should not wait behind it.
	claimTimeout = 1500 * time.Millisecond
	// claimPrecedence is the age up to which a demand within a guarantee comes after
	// claims. It is far below the time in which such a demand has to start.
	claimPrecedence = 600 * time.Millisecond
)

// claims holds the waiting steps for which work was preempted, with the time of the
// first preemption. What the stops release stays theirs. Otherwise, in a burst of urgent
// jobs, each takes what was released for the one before, which then preempts again.
//
// A claim ends when its step doesn't wait any more or after claimTimeout, and with the
// term: a new term plans anew for what waits.
type claims map[stepKey]time.Duration

// add records a preemption for a step.
func (c claims) add(key stepKey, at time.Duration) {
	if _, claimed := c[key]; !claimed {
		c[key] = at
	}
}

// keep removes the claims of all steps that don't wait.
func (c claims) keep(waiting []waitingStep) {
	found := make(map[stepKey]bool, len(waiting))
	for _, w := range waiting {
		found[w.key()] = true
	}
	for key := range c {
		if !found[key] {
			delete(c, key)
		}
	}
}

// precedence sorts demands before their rank and their order within it.
type precedence struct {
	group precedenceGroup
	since time.Duration // since is when the claim was made, if there is one.
}

type precedenceGroup int

const (
	hasWaited precedenceGroup = iota // hasWaited is within a guarantee, and no claim may delay it further.
	hasClaim
	hasNone
)

func (p precedence) compare(other precedence) int {
	return cmp.Or(cmp.Compare(p.group, other.group), cmp.Compare(p.since, other.since))
}

// precedenceOf returns the precedence of a step of a rank that waits for the given time.
func (c claims) precedenceOf(key stepKey, rank allocation.Rank, waited, at time.Duration) precedence {
	since, claimed := c[key]
	switch {
	case rank == allocation.Guaranteed && waited > claimPrecedence:
		return precedence{group: hasWaited}
	case claimed && at-since < claimTimeout:
		return precedence{hasClaim, since}
	}
	return precedence{group: hasNone}
}
