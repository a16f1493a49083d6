// Package queue is a fair queue. Values of one organisation leave in arrival
// order, and organisations take turns in proportion to their shares.
package queue

import (
	"cmp"
	"errors"
	"time"

	"wasabihoist/internal/base/collection"
)

// ErrFull is returned when the queue of the organisation is at its limit.
var ErrFull = errors.New("queue of the organisation is full")

const (
	// strideScale is the pass of one turn of an organisation with share 1. It is
	// large, so that division by a share loses little.
	strideScale = 1 << 20
	// Beyond maxIdle organisations without values, those that have no turn to
	// wait for are forgotten.
	maxIdle = 1024
)

// Policy are what the plan of an organisation says about its queue.
type Policy struct {
	Limit int // Limit bounds the waiting values; 0 sets no bound.
	Share int // Share is the weight, at least 1.
}

// Item is a value in the queue. It is the handle for its removal.
type Item[T any] struct {
	Value        T
	Organisation string
	Deadline     time.Time

	line           *line[T] // line is nil when the item has left the queue.
	previous, next *Item[T]
	expiryIndex    int // expiryIndex is the place in the heap of deadlines.
}

// line is the queue of one organisation.
type line[T any] struct {
	organisation string
	first, last  *Item[T]
	length       int
	share        int
	pass         uint64 // pass grows by strideScale/share with each turn; the lowest is next.
	turnIndex    int    // turnIndex is the place in the heap of turns; -1 while the line is empty.
}

// Queue is a fair queue with stride scheduling. Push and Pop and the removal of
// one item take logarithmic time. It is not safe for concurrent use.
type Queue[T any] struct {
	lines   map[string]*line[T]
	turns   *collection.Heap[*line[T]] // turns has the organisations with waiting values, lowest pass first.
	expiry  *collection.Heap[*Item[T]] // expiry has all items, earliest deadline first.
	virtual uint64                     // virtual is the pass of the last turn; idle organisations resume from it.
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{
		lines:  map[string]*line[T]{},
		turns:  collection.NewHeap((*line[T]).before, func(l *line[T], place int) { l.turnIndex = place }),
		expiry: collection.NewHeap((*Item[T]).before, func(i *Item[T], place int) { i.expiryIndex = place }),
	}
}

// Len returns the number of waiting values.
func (q *Queue[T]) Len() int { return q.expiry.Len() }

// Waiting returns the number of waiting values of an organisation.
func (q *Queue[T]) Waiting(organisation string) int {
	if l := q.lines[organisation]; l != nil {
		return l.length
	}
	return 0
}

// Push adds a value behind all others of its organisation. The terms replace
// those of earlier calls.
func (q *Queue[T]) Push(organisation string, terms Policy, deadline time.Time, value T) (*Item[T], error) {
	if terms.Limit > 0 && q.Waiting(organisation) >= terms.Limit {
		return nil, ErrFull
	}
	l := q.lineOf(organisation)
	l.share = max(1, terms.Share)
	i := &Item[T]{Value: value, Organisation: organisation, Deadline: deadline, line: l}
	l.append(i)
	q.expiry.Push(i)
	if l.turnIndex < 0 {
		l.pass = max(l.pass, q.virtual)
		q.turns.Push(l)
	}
	return i, nil
}

// Pop removes the next value in turn.
func (q *Queue[T]) Pop() (T, bool) {
	if q.turns.Len() == 0 {
		var none T
		return none, false
	}
	l := q.turns.First()
	i := l.first
	q.virtual = l.pass
	l.pass += uint64(strideScale / l.share)
	q.turns.Fix(l.turnIndex)
	q.Remove(i)
	return i.Value, true
}

// Remove takes an item out of the queue, and reports whether it was there.
func (q *Queue[T]) Remove(i *Item[T]) bool {
	l := i.line
	if l == nil {
		return false
	}
	l.unlink(i)
	q.expiry.Remove(i.expiryIndex)
	if l.length == 0 {
		q.turns.Remove(l.turnIndex)
	}
	return true
}

// Expire removes all values whose deadline is not after now, earliest first.
// The cost is in proportion to what is removed.
func (q *Queue[T]) Expire(now time.Time) []T {
	var expired []T
	for q.expiry.Len() > 0 && !q.expiry.First().Deadline.After(now) {
		i := q.expiry.First()
		q.Remove(i)
		expired = append(expired, i.Value)
	}
	return expired
}

// NextDeadline returns the earliest deadline, if there is one.
func (q *Queue[T]) NextDeadline() (time.Time, bool) {
	if q.expiry.Len() == 0 {
		return time.Time{}, false
	}
	return q.expiry.First().Deadline, true
}

// Clear removes all values in order of their deadlines.
func (q *Queue[T]) Clear() []T {
	values := make([]T, 0, q.expiry.Len())
	for q.expiry.Len() > 0 {
		i := q.expiry.First()
		q.Remove(i)
		values = append(values, i.Value)
	}
	return values
}

func (q *Queue[T]) lineOf(organisation string) *line[T] {
	if l := q.lines[organisation]; l != nil {
		return l
	}
	if len(q.lines)-q.turns.Len() > maxIdle {
		q.forgetIdle()
	}
	l := &line[T]{organisation: organisation, turnIndex: -1}
	q.lines[organisation] = l
	return l
}

// forgetIdle keeps idle organisations that have used turns ahead of time, so
// that leaving and coming back gains no turn.
func (q *Queue[T]) forgetIdle() {
	for name, l := range q.lines {
		if l.length == 0 && l.pass <= q.virtual {
			delete(q.lines, name)
		}
	}
}

func (i *Item[T]) before(o *Item[T]) bool { return i.Deadline.Before(o.Deadline) }

func (l *line[T]) before(o *line[T]) bool {
	return cmp.Or(cmp.Compare(l.pass, o.pass), cmp.Compare(l.organisation, o.organisation)) < 0
}

func (l *line[T]) append(i *Item[T]) {
	i.previous = l.last
	if l.last == nil {
		l.first = i
	} else {
		l.last.next = i
	}
	l.last = i
	l.length++
}

func (l *line[T]) unlink(i *Item[T]) {
	if i.previous == nil {
		l.first = i.next
	} else {
		i.previous.next = i.next
	}
	if i.next == nil {
		l.last = i.previous
	} else {
		i.next.previous = i.previous
	}
	i.line, i.previous, i.next = nil, nil, nil
	l.length--
}
