// Package soak runs the real programs of the path on the users' platform as
// separate processes, disturbs them from outside and checks from what clients
// and minions see that the promises hold.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind int

// The kinds of faults. Those of links act on the connections between a process
// and the store, or between an agent and its minion in one direction of calls.
const (
	Kill         Kind = iota // Kill ends a process with SIGKILL; it is started again.
	Terminate                // Terminate ends a process with SIGTERM; it is started again.
	Pause                    // Pause stops a process and lets it go on.
	Hangup                   // Hangup signals changed settings.
	LinkDelayed              // LinkDelayed connections are slow.
	LinkReset                // LinkReset connections are cut, and new ones are refused.
	LinkSilent               // LinkSilent connections carry nothing in either direction.
	LinkOneWay               // LinkOneWay connections carry calls and lose the answers.
	StoreDown                // StoreDown refuses all calls.
	StoreLoses               // StoreLoses the answers to some appends.
	StoreForgets             // StoreForgets its history but for the newest record of each key.
	MinionSilent
	MinionReborn // MinionReborn loses all runs and comes back under its id.
	MinionStalled
	Publish  // Publish a configuration that changes nothing for the clients.
	Withdraw // Withdraw a key.
	kinds
)

var kindNames = [kinds]string{
	"kill", "terminate", "pause", "hangup", "link-delayed", "link-reset", "link-silent", "link-one-way", "store-down",
	"store-loses-answers", "store-forgets", "minion-silent", "minion-reborn", "minion-stalled", "publish", "withdraw-key",
}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Fault is one disturbance.
type Fault struct {
	At     time.Duration // At is the time since the start of the load.
	For    time.Duration // For is 0 for faults that take no time.
	Kind   Kind
	Target int // Target selects a process, link or minion, modulo their number.
}

// String describes the fault for the printed schedule.
func (f Fault) String() string {
	return fmt.Sprintf("%7.2fs %-20s target %d for %s", f.At.Seconds(), f.Kind, f.Target, f.For.Round(time.Millisecond))
}

const (
	// faultEvery is the mean time between two faults; with the lengths below
	// about two overlap.
	faultEvery    = 700 * time.Millisecond
	shortestFault = 200 * time.Millisecond
	longestFault  = 3 * time.Second
	// seriesShare is the part of the faults that hit the same target again.
	seriesShare = 0.3
	targets     = 1 << 10
)

// Draw returns the schedule of a seed, in order of time.
func Draw(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	var faults []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(faultEvery))
		if at >= length {
			break
		}
		f := Fault{
			At: at, Kind: Kind(random.IntN(int(kinds))), Target: random.IntN(targets),
			For: shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault))),
		}
		if n := len(faults); n > 0 && random.Float64() < seriesShare {
			f.Kind, f.Target = faults[n-1].Kind, faults[n-1].Target
		}
		switch f.Kind {
		case Hangup, StoreLoses, StoreForgets, MinionReborn, Publish, Withdraw:
			f.For = 0
		default:
		}
		faults = append(faults, f)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}
