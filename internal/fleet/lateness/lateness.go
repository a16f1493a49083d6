// Package lateness decides in which order waiting work is served when there is too little
// room, by what results are worth to callers and when they are late.
//
// Times are relative to the moment of the decision.
package lateness

import "time"

// Class is how much a result is worth to its caller.
type Class int

// The classes, most urgent first.
const (
	Urgent   Class = iota // Urgent results are waited for by a person or a device.
	Ordinary              // Ordinary results are needed by a set time.
	Low                   // Low results are those of bulk work.
)

// Classes holds the names of the classes, which logs and records use.
var Classes = [...]string{Urgent: "urgent", Ordinary: "ordinary", Low: "low"}

// String returns the name of the class.
func (c Class) String() string { return Classes[c] }

// ClassOf returns the class of jobs of a priority, of which 0 is the highest.
func ClassOf(priority int) Class { return min(max(Class(priority), Urgent), Low) }

// worthOf holds what a core second of work that is done in time is worth, in core seconds
// of discarded work. The values follow what callers say of their work, because requests
// don't carry them. A late result of any class keeps about a fifth of its worth.
var worthOf = map[Class]float64{Urgent: 5, Ordinary: 0.8, Low: 0.15}

// Work is what a caller waits for.
type Work struct {
	Class    Class
	Size     float64       // Size is the work of the whole job in core seconds.
	MeanSize float64       // MeanSize is the mean size of jobs of its kind; 0 if it is not known.
	Due      time.Duration // Due is the time until the result is late; negative if it has passed.
	Limit    time.Duration // Limit is the time until a late result is worthless. It is not before Due.
}

const (
	// fixedShare is the share of the mean worth of its kind that a job is worth
	// whatever its size, because a caller waits for each. The rest grows with the size.
	fixedShare = 0.3
	// maxRelativeWorth is the worth of the largest jobs, as a multiple of the mean.
	maxRelativeWorth = 4
)

// Worth returns the worth of a result that is in time, in core seconds of discarded work.
func (w Work) Worth() float64 {
	size := w.Size
	if w.MeanSize > 0 {
		size = min(fixedShare*w.MeanSize+(1-fixedShare)*w.Size, maxRelativeWorth*w.MeanSize)
	}
	return worthOf[w.Class] * size
}
