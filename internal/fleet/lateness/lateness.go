// Package lateness values the results of jobs by the time at which they are done.
// It decides which work gives way when there is too little room: in which order
// waiting work is served, and what a delay of running work costs its caller.
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

// terms are what the results of a class are worth.
type terms struct {
	worth float64 // worth is what a core second of work that is done in time is worth, in core seconds of discarded work.
	late  float64 // late is the share of that worth that is left when the result is late.
}

// termsOf holds the terms of the classes. They follow what callers say of their work,
// because the requests don't carry them: a late result of any class keeps about a fifth
// of its worth, and a core second of work is worth less the longer such jobs may take.
var termsOf = map[Class]terms{
	Urgent:   {worth: 5, late: 0.2},
	Ordinary: {worth: 0.8, late: 0.25},
	Low:      {worth: 0.15, late: 0.2},
}

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
	return termsOf[w.Class].worth * size
}

// Value returns the expected worth of a result that is done after the given time, which
// may be off by spread in either direction.
func (w Work) Value(done, spread time.Duration) float64 {
	late := termsOf[w.Class].late
	return w.Worth() * ((1-late)*chance(w.Due, done, spread) + late*chance(w.Limit, done, spread))
}

// DelayCost returns the worth that is lost if the result is done after later instead
// of earlier.
func (w Work) DelayCost(earlier, later, spread time.Duration) float64 {
	return max(0, w.Value(earlier, spread)-w.Value(later, spread))
}

// chance returns the probability that a time which is off by at most spread, each
// value being as likely, is not after the limit.
func chance(limit, expected, spread time.Duration) float64 {
	if spread <= 0 {
		if expected <= limit {
			return 1
		}
		return 0
	}
	return min(1, max(0, float64(limit-expected+spread)/float64(2*spread)))
}
