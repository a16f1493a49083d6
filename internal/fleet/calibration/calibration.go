// Package calibration corrects the run times that jobs declare by those that the jobs of
// the same queue have shown. It has no input or output.
//
// It answers jobs whose declared run times are off by a factor of up to ten in either
// direction, so that their order, their due times and the reservations for them follow
// the errors of the declarations rather than the work.
package calibration

import (
	"math"
	"time"

	"wasabihoist/internal/base/collection"
)

const (
	// queuePrior is how many observations the assumption weighs that the declarations of
	// a queue are right.
	queuePrior = 10
	// organisationPrior is how many observations the assumption weighs that an
	// organisation declares like the others of the queue.
	organisationPrior = 20
	// maxObservations is how many observations count at most. Further ones displace the
	// former ones evenly.
	maxObservations = 60
	// priorVariance is the variance of the logarithm of declared run times that is
	// assumed as long as few are known.
	priorVariance = 0.25
	// maxRatio bounds the ratio of an expected to a declared run time, and that of an
	// observed one.
	maxRatio = 10
)

// account identifies an organisation in a queue.
type account struct{ queue, organisation string }

// Table holds what is known of the run times of queues. An unknown queue is taken at its
// word. Nothing ends what is learned but the observations that displace it and the end
// of the table; a queue without further ones keeps its ratio.
type Table struct {
	queues        map[string]*fit
	organisations map[account]*offset
}

// NewTable returns a table that knows nothing.
func NewTable() *Table {
	return &Table{queues: make(map[string]*fit), organisations: make(map[account]*offset)}
}

// Observe records the run time of a step at the pace of a typical host, and the declared
// one. Times that are not positive are ignored.
func (t *Table) Observe(queue, organisation string, declared, actual time.Duration) {
	if declared <= 0 || actual <= 0 {
		return
	}
	f := t.queues[queue]
	if f == nil {
		f = &fit{}
		t.queues[queue] = f
	}
	x := math.Log(declared.Seconds())
	y := x + bounded(math.Log(actual.Seconds())-x)
	a := account{queue, organisation}
	o := t.organisations[a]
	if o == nil {
		o = &offset{}
		t.organisations[a] = o
	}
	o.add(y - f.predict(x))
	f.add(x, y)
}

// RunTime returns the expected run time of a step at the pace of a typical host.
func (t *Table) RunTime(queue, organisation string, declared time.Duration) time.Duration {
	f := t.queues[queue]
	if f == nil || declared <= 0 {
		return declared
	}
	x := math.Log(declared.Seconds())
	y := f.predict(x)
	if o := t.organisations[account{queue, organisation}]; o != nil {
		y += o.value()
	}
	return time.Duration(float64(declared) * math.Exp(bounded(y-x)))
}

// Summary describes what is known of a queue.
type Summary struct {
	Queue string
	Ratio float64 // Ratio is the expected run time at the mean of the declared ones, as a multiple of that.
	Trust float64 // Trust is how far the expected run times follow the declared ones, from 0 to 1.
	Count float64 // Count is the number of observations that count.
}

// Summaries returns what is known of the queues, sorted by their names.
func (t *Table) Summaries() []Summary {
	names := collection.NewSet[string]()
	for name := range t.queues {
		names.Add(name)
	}
	var list []Summary
	for _, name := range names.Sorted() {
		f := t.queues[name]
		list = append(list, Summary{name, math.Exp(bounded(f.predict(f.meanX) - f.meanX)), f.slope(), f.count})
	}
	return list
}

// bounded returns the logarithm of a ratio within maxRatio.
func bounded(logRatio float64) float64 {
	return max(-math.Log(maxRatio), min(math.Log(maxRatio), logRatio))
}

// fit predicts the logarithm of the actual run time from that of the declared one by a
// line. Declarations that say nothing about the work lead to a flat one.
type fit struct {
	count        float64
	meanX, meanY float64
	sumXX, sumXY float64 // sumXX and sumXY are sums of the products of the deviations from the means.
}

func (f *fit) add(x, y float64) {
	if f.count >= maxObservations {
		keep := (maxObservations - 1) / f.count
		f.count, f.sumXX, f.sumXY = f.count*keep, f.sumXX*keep, f.sumXY*keep
	}
	f.count++
	dx := x - f.meanX
	f.meanX += dx / f.count
	f.meanY += (y - f.meanY) / f.count
	f.sumXX += dx * (x - f.meanX)
	f.sumXY += dx * (y - f.meanY)
}

// slope is between 0 and 1, so that a longer declaration never means a shorter run time,
// and no declaration counts for more than it says.
func (f *fit) slope() float64 {
	const prior = queuePrior * priorVariance
	return max(0, min(1, (f.sumXY+prior)/(f.sumXX+prior)))
}

func (f *fit) predict(x float64) float64 {
	known := f.count / (f.count + queuePrior)
	return known*(f.meanY+f.slope()*(x-f.meanX)) + (1-known)*x
}

// offset is how far the run times of an organisation are from those that its queue
// predicts.
type offset struct {
	count float64
	mean  float64
}

func (o *offset) add(residual float64) {
	o.count = min(o.count+1, maxObservations)
	o.mean += (residual - o.mean) / o.count
}

func (o *offset) value() float64 { return o.mean * o.count / (o.count + organisationPrior) }
