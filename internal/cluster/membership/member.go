// Package membership keeps the list of the processes of the system. It follows
// SWIM: each process probes one other process of its data centre at a time,
// and changes travel piggybacked on the probes. One delegate per pair of data
// centres carries the changes across.
package membership

import (
	"cmp"
	"fmt"
	"net/netip"
)

// Role says what a process does.
type Role string

// The roles of processes that take part in membership.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// State is the condition of a member. A higher value is worse.
type State int

// The states in ascending order; at equal incarnation and revision the higher
// one wins.
const (
	Alive    State = iota
	Draining       // Draining members finish their work and get no new work.
	Suspect        // Suspect members did not answer probes and may still refute.
	Dead           // Dead members have left or were suspected for the suspicion time.
)

var stateNames = [...]string{Alive: "alive", Draining: "draining", Suspect: "suspect", Dead: "dead"}

// String returns the name that operators see.
func (s State) String() string {
	if s >= 0 && int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", int(s))
}

// Member is one process of the system.
type Member struct {
	Name        string // Name is unique within the deployment.
	Role        Role
	Region      string
	DataCentre  string
	Address     netip.AddrPort // Address serves the Peer service.
	Incarnation int64          // Incarnation is the start time in Unix nanoseconds.
	Revision    uint64         // Revision grows within an incarnation and is raised only by the member itself.
	State       State
	Service     string // Service that an agent offers; empty for an entry.
	Waiting     int    // Waiting and Running are the last load heard from the member itself.
	Running     int
}

// Supersedes reports whether m replaces o in a member list: the higher
// incarnation wins, then the higher revision, then the worse state.
func (m Member) Supersedes(o Member) bool {
	order := cmp.Or(
		cmp.Compare(m.Incarnation, o.Incarnation),
		cmp.Compare(m.Revision, o.Revision),
		cmp.Compare(m.State, o.State),
	)
	return order > 0
}

// Working reports whether the process is believed to be up.
func (m Member) Working() bool { return m.State == Alive || m.State == Draining }

// sameVersion reports whether neither member supersedes the other.
func (m Member) sameVersion(o Member) bool {
	return m.Name == o.Name && !m.Supersedes(o) && !o.Supersedes(m)
}
