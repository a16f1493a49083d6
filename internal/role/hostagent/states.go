package hostagent

import (
	"slices"
	"time"

	"wasabihoist/internal/fleet/host"
)

// maxStates bounds the incarnations that are kept. More than one sends heartbeats
// only around a restart, or if another writer does.
const maxStates = 8

// minionState is the state in the newest heartbeat of an incarnation, or draining
// after a deregistration.
type minionState struct {
	minion   host.Minion
	sequence int64
	at       time.Time
}

// minionStates holds the state of each incarnation that sends heartbeats, in the
// order of their first heartbeats. Which incarnation runs is known from the status
// reports of the minion only: a heartbeat may be late, or from another writer.
type minionStates []*minionState

// update records a heartbeat. It returns the newest sequence number of the
// incarnation, and whether the incarnation is new or has another draining state or
// capacity. A heartbeat with a lower sequence number is not recorded.
func (s *minionStates) update(m host.Minion, sequence int64, at time.Time) (changed bool, newest int64) {
	for _, known := range *s {
		if known.minion.ID != m.ID || !known.minion.StartedAt.Equal(m.StartedAt) {
			continue
		}
		if sequence < known.sequence {
			return false, known.sequence
		}
		changed = known.minion.Draining != m.Draining || known.minion.Capacity != m.Capacity
		*known = minionState{m, sequence, at}
		return changed, sequence
	}
	if len(*s) == maxStates {
		oldest := slices.MinFunc(*s, func(a, b *minionState) int { return a.at.Compare(b.at) })
		*s = slices.DeleteFunc(*s, func(o *minionState) bool { return o == oldest })
	}
	*s = append(*s, &minionState{m, sequence, at})
	return true, sequence
}

// deregister marks the minion with an id as draining with no time left. It reports
// whether the id is known.
func (s minionStates) deregister(id string) bool {
	found := false
	for _, known := range s {
		if known.minion.ID == id {
			known.minion.Draining, known.minion.Remaining = true, 0
			found = true
		}
	}
	return found
}

// startedAt returns the state of the incarnation that started at a time, nil if
// there is none.
func (s minionStates) startedAt(at time.Time) *minionState {
	for _, known := range s {
		if known.minion.StartedAt.Equal(at) {
			return known
		}
	}
	return nil
}

// find returns the state of an incarnation or, if there is none, the one with the
// latest heartbeat; nil before the first.
func (s minionStates) find(incarnation string) *minionState {
	for _, known := range s {
		if known.minion.Incarnation() == incarnation {
			return known
		}
	}
	if len(s) == 0 {
		return nil
	}
	return slices.MaxFunc(s, func(a, b *minionState) int { return a.at.Compare(b.at) })
}
