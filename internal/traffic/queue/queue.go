// Package queue implements a fair queue with stride scheduling. Values of one
// organisation leave in order of arrival, and organisations are served in
// proportion to their shares.
package queue

import (
	"cmp"
	"errors"
	"time"

	"wasabihoist/internal/base/collection"
)

// ErrFull is returned by Push if the organisation has as many waiting values as
// its limit allows.
var ErrFull = errors.New("queue of the organisation is full")

const (
	// strideScale is the stride of an organisation with share 1. It is large, so
	// that the integer division by a share loses little precision.
	strideScale = 1 << 20
	// maxIdleSubqueues is the number of subqueues without values above which those
	// whose pass is not ahead of globalPass are removed.
	maxIdleSubqueues = 1024
)

// Policy is the queue limit and the share of an organisation, from its plan.
type Policy struct {
	Limit int // Limit is the maximum number of waiting values; 0 means no limit.
	Share int // Share is the scheduling weight; values below 1 count as 1.
}

// Item is a value in the queue and the handle to remove it.
type Item[T any] struct {
	Value        T
	Organisation string
	Deadline     time.Time

	subqueue       *subqueue[T] // subqueue is nil after the item has left the queue.
	previous, next *Item[T]
	deadlineIndex  int // deadlineIndex is the index in Queue.byDeadline.
}

// subqueue is the queue of one organisation, a doubly linked list of items.
type subqueue[T any] struct {
	organisation string
	first, last  *Item[T]
	length       int
	share        int
	pass         uint64 // pass grows by strideScale/share with each Pop; the lowest pass is served next.
	activeIndex  int    // activeIndex is the index in Queue.active; -1 while the subqueue is empty.
}

// Queue is a fair queue with stride scheduling. Push, Pop and Remove take
// logarithmic time. It is not safe for concurrent use.
type Queue[T any] struct {
	subqueues  map[string]*subqueue[T]
	active     *collection.Heap[*subqueue[T]] // active has the subqueues with waiting values, lowest pass first.
	byDeadline *collection.Heap[*Item[T]]     // byDeadline has all items, earliest deadline first.
	globalPass uint64                         // globalPass is the pass of the subqueue that was served last; a subqueue that becomes active gets at least this pass.
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{
		subqueues:  map[string]*subqueue[T]{},
		active:     collection.NewHeap((*subqueue[T]).before, func(s *subqueue[T], index int) { s.activeIndex = index }),
		byDeadline: collection.NewHeap((*Item[T]).before, func(i *Item[T], index int) { i.deadlineIndex = index }),
	}
}

// Len returns the number of waiting values.
func (q *Queue[T]) Len() int { return q.byDeadline.Len() }

// Waiting returns the number of waiting values of an organisation.
func (q *Queue[T]) Waiting(organisation string) int {
	if s := q.subqueues[organisation]; s != nil {
		return s.length
	}
	return 0
}

// Push adds a value after all others of its organisation. The share in policy
// replaces that of earlier calls. It returns ErrFull at the limit in policy.
func (q *Queue[T]) Push(organisation string, policy Policy, deadline time.Time, value T) (*Item[T], error) {
	if policy.Limit > 0 && q.Waiting(organisation) >= policy.Limit {
		return nil, ErrFull
	}
	s := q.subqueueOf(organisation)
	s.share = max(1, policy.Share)
	i := &Item[T]{Value: value, Organisation: organisation, Deadline: deadline, subqueue: s}
	s.append(i)
	q.byDeadline.Push(i)
	if s.activeIndex < 0 {
		s.pass = max(s.pass, q.globalPass)
		q.active.Push(s)
	}
	return i, nil
}

// Pop removes and returns the next value, or false if the queue is empty.
func (q *Queue[T]) Pop() (T, bool) {
	if q.active.Len() == 0 {
		var none T
		return none, false
	}
	s := q.active.First()
	i := s.first
	q.globalPass = s.pass
	s.pass += uint64(strideScale / s.share)
	q.active.Fix(s.activeIndex)
	q.Remove(i)
	return i.Value, true
}

// Remove removes an item and reports whether it was still in the queue.
func (q *Queue[T]) Remove(i *Item[T]) bool {
	s := i.subqueue
	if s == nil {
		return false
	}
	s.unlink(i)
	q.byDeadline.Remove(i.deadlineIndex)
	if s.length == 0 {
		q.active.Remove(s.activeIndex)
	}
	return true
}

// Expire removes and returns all values whose deadline is not after now, earliest
// first. Its time depends on the number of removed values, not on the number of
// waiting ones, apart from a logarithmic factor.
func (q *Queue[T]) Expire(now time.Time) []T {
	var expired []T
	for q.byDeadline.Len() > 0 && !q.byDeadline.First().Deadline.After(now) {
		i := q.byDeadline.First()
		q.Remove(i)
		expired = append(expired, i.Value)
	}
	return expired
}

// NextDeadline returns the earliest deadline, or false if the queue is empty.
func (q *Queue[T]) NextDeadline() (time.Time, bool) {
	if q.byDeadline.Len() == 0 {
		return time.Time{}, false
	}
	return q.byDeadline.First().Deadline, true
}

// Clear removes all values and returns them, earliest deadline first.
func (q *Queue[T]) Clear() []T {
	values := make([]T, 0, q.byDeadline.Len())
	for q.byDeadline.Len() > 0 {
		i := q.byDeadline.First()
		q.Remove(i)
		values = append(values, i.Value)
	}
	return values
}

// subqueueOf returns the subqueue of an organisation and creates it if needed. It
// removes idle subqueues if there are too many.
func (q *Queue[T]) subqueueOf(organisation string) *subqueue[T] {
	if s := q.subqueues[organisation]; s != nil {
		return s
	}
	if len(q.subqueues)-q.active.Len() > maxIdleSubqueues {
		q.removeIdle()
	}
	s := &subqueue[T]{organisation: organisation, activeIndex: -1}
	q.subqueues[organisation] = s
	return s
}

// removeIdle removes the subqueues without values. It keeps those whose pass is
// ahead of globalPass, so that an organisation gains no service by becoming idle
// and returning.
func (q *Queue[T]) removeIdle() {
	for name, s := range q.subqueues {
		if s.length == 0 && s.pass <= q.globalPass {
			delete(q.subqueues, name)
		}
	}
}

func (i *Item[T]) before(o *Item[T]) bool { return i.Deadline.Before(o.Deadline) }

func (s *subqueue[T]) before(o *subqueue[T]) bool {
	return cmp.Or(cmp.Compare(s.pass, o.pass), cmp.Compare(s.organisation, o.organisation)) < 0
}

func (s *subqueue[T]) append(i *Item[T]) {
	i.previous = s.last
	if s.last == nil {
		s.first = i
	} else {
		s.last.next = i
	}
	s.last = i
	s.length++
}

func (s *subqueue[T]) unlink(i *Item[T]) {
	if i.previous == nil {
		s.first = i.next
	} else {
		i.previous.next = i.next
	}
	if i.next == nil {
		s.last = i.previous
	} else {
		i.next.previous = i.previous
	}
	i.subqueue, i.previous, i.next = nil, nil, nil
	s.length--
}
