package collection

import "container/heap"

// Heap is a priority queue whose values can be moved and removed by their
// place. It is not safe for concurrent use.
type Heap[T any] struct {
	values places[T]
}

// NewHeap returns an empty heap whose first value is less than all others.
// Each change of place of a value is reported to placed; -1 means that the
// value has left the heap.
func NewHeap[T any](less func(a, b T) bool, placed func(value T, place int)) *Heap[T] {
	return &Heap[T]{places[T]{less: less, placed: placed}}
}

// Len returns the number of values.
func (h *Heap[T]) Len() int { return len(h.values.list) }

// First returns the least value. The heap must not be empty.
func (h *Heap[T]) First() T { return h.values.list[0] }

// Push adds a value.
func (h *Heap[T]) Push(value T) { heap.Push(&h.values, value) }

// Fix restores the order after the value at a place has changed.
func (h *Heap[T]) Fix(place int) { heap.Fix(&h.values, place) }

// Remove takes out the value at a place.
func (h *Heap[T]) Remove(place int) T { return heap.Remove(&h.values, place).(T) }

// places implements heap.Interface.
type places[T any] struct {
	list   []T
	less   func(a, b T) bool
	placed func(value T, place int)
}

func (p *places[T]) Len() int { return len(p.list) }

func (p *places[T]) Less(a, b int) bool { return p.less(p.list[a], p.list[b]) }

func (p *places[T]) Swap(a, b int) {
	p.list[a], p.list[b] = p.list[b], p.list[a]
	p.placed(p.list[a], a)
	p.placed(p.list[b], b)
}

func (p *places[T]) Push(x any) {
	value := x.(T)
	p.placed(value, len(p.list))
	p.list = append(p.list, value)
}

func (p *places[T]) Pop() any {
	last := len(p.list) - 1
	value := p.list[last]
	var none T
	p.list[last] = none
	p.list = p.list[:last]
	p.placed(value, -1)
	return value
}
