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
// and the store, between an agent and its minion in one direction of calls, or
// from all other processes to one.
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

	// The second draw has the following kinds as well.

	LinkStale       // LinkStale connections go silent for good; new ones work.
	MinionMute      // MinionMute carries out a share of the calls without an answer.
	MinionLate      // MinionLate carries out a share of the orders without an answer and seconds late.
	MinionUnhealthy // MinionUnhealthy refuses a share of the starts.
	MinionReplaced  // MinionReplaced drains and leaves, and a new minion comes in its place.
	HostReplaced    // HostReplaced leaves for good with its drained minion, and another host comes.
	HostCrash       // HostCrash ends a process and the minion beside it, and its host is silent for a while.
	EntryCutOff     // EntryCutOff entries reach neither the store nor get answers of other entries.
	kinds
)

var kindNames = [kinds]string{
	"kill", "terminate", "pause", "hangup", "link-delayed", "link-reset", "link-silent", "link-one-way", "store-down",
	"store-loses-answers", "store-forgets", "minion-silent", "minion-reborn", "minion-stalled", "publish", "withdraw-key",
	"link-stale", "minion-mute", "minion-late", "minion-unhealthy", "minion-replaced", "host-replaced", "host-crash", "entry-cut-off",
}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Fault is one disturbance.
type Fault struct {
	At     time.Duration // At is the time since the start of the load.
	For    time.Duration // For is 0 for faults that take no time.
	Kind   Kind
	Target int     // Target selects a process, link or minion, modulo their number.
	Share  float64 // Share of the calls that a minion handles wrongly; 0 in the first draw.
}

// String describes the fault for the printed schedule.
func (f Fault) String() string {
	text := fmt.Sprintf("%7.2fs %-20s target %d for %s", f.At.Seconds(), f.Kind, f.Target, f.For.Round(time.Millisecond))
	if f.Share > 0 {
		text += fmt.Sprintf(" share %.2f", f.Share)
	}
	return text
}

// A draw turns a seed into a schedule and a load. A seed means the same for as
// long as its draw is named with it.
const (
	FirstDraw  = 1
	LatestDraw = 2
)

const (
	// faultEvery is the mean time between two faults of the first draw; with the
	// lengths below about two overlap.
	faultEvery    = 700 * time.Millisecond
	shortestFault = 200 * time.Millisecond
	longestFault  = 3 * time.Second
	// repeatShare is the part of the faults that hit the same target again.
	repeatShare = 0.3
	targets     = 1 << 10
)

// Draw returns the schedule of a seed, in order of time.
func Draw(draw int, seed uint64, length time.Duration) []Fault {
	var faults []Fault
	if draw == FirstDraw {
		faults = drawFirst(seed, length)
	} else {
		faults = drawSecond(seed, length)
	}
	for i := range faults {
		switch faults[i].Kind {
		case Hangup, StoreLoses, StoreForgets, MinionReborn, Publish, Withdraw, LinkStale:
			faults[i].For = 0
		default:
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

func drawFirst(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	var faults []Fault
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(faultEvery))
		if at >= length {
			return faults
		}
		f := Fault{At: at, Kind: Kind(random.IntN(int(LinkStale))), Target: random.IntN(targets), For: between(random, shortestFault, longestFault)}
		if n := len(faults); n > 0 && random.Float64() < repeatShare {
			f.Kind, f.Target = faults[n-1].Kind, faults[n-1].Target
		}
		faults = append(faults, f)
	}
}

// The second draw.
const (
	seriesShare     = 0.15 // seriesShare is the part of the faults that begin a series over several targets.
	replaceShare    = 0.1  // replaceShare is the part of the faults that begin a rolling replacement of mute minions.
	longestSeries   = 6
	shortestGap     = 200 * time.Millisecond
	longestGap      = time.Second
	leastShare      = 0.3
	longestLateness = 4 * time.Second
	// cutOffTime is added to the time for which an entry is cut off. It passes
	// calls on only when it has had no word from the store for a while.
	cutOffTime = 2500 * time.Millisecond
)

// densities are the mean times between two faults, of which a seed draws one.
var densities = []time.Duration{time.Second, 500 * time.Millisecond, 250 * time.Millisecond}

// lengths are the longest times of a fault, of which a seed draws one.
var lengths = []time.Duration{longestFault, 2 * longestFault}

func drawSecond(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, seed+1))
	every, longest := densities[random.IntN(len(densities))], lengths[random.IntN(len(lengths))]
	var faults []Fault
	add := func(f Fault, at time.Duration) {
		if f.At = at; at < length {
			faults = append(faults, f)
		}
	}
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() * float64(every))
		if at >= length {
			return faults
		}
		f := Fault{
			Kind: Kind(random.IntN(int(kinds))), Target: random.IntN(targets), For: between(random, shortestFault, longest),
			Share: leastShare + (1-leastShare)*random.Float64(),
		}
		if n := len(faults); n > 0 && random.Float64() < repeatShare {
			f.Target = faults[n-1].Target
			if random.IntN(2) == 0 {
				f.Kind = faults[n-1].Kind
			}
		}
		if f.Kind == EntryCutOff {
			f.For += cutOffTime
		}
		count, gap := 1, between(random, shortestGap, longestGap)
		begins := random.Float64()
		if begins < seriesShare+replaceShare {
			count = 2 + random.IntN(longestSeries-1)
		}
		for i := range count {
			next, then := f, at+time.Duration(i)*gap
			next.Target += i
			if begins < replaceShare {
				next.Kind = MinionMute
				add(next, then)
				next.Kind = MinionReplaced
				then += shortestGap + gap/2
			}
			add(next, then)
		}
	}
}

// between draws a time.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}
