package queue

import "strings"

// turns is a heap of the organisations with waiting values, lowest pass first.
// It implements heap.Interface.
type turns[T any] []*line[T]

func (h turns[T]) Len() int { return len(h) }

func (h turns[T]) Less(a, b int) bool {
	if h[a].pass != h[b].pass {
		return h[a].pass < h[b].pass
	}
	return strings.Compare(h[a].organisation, h[b].organisation) < 0
}

func (h turns[T]) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].turnIndex = a
	h[b].turnIndex = b
}

func (h *turns[T]) Push(x any) {
	l := x.(*line[T])
	l.turnIndex = len(*h)
	*h = append(*h, l)
}

func (h *turns[T]) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	l.turnIndex = -1
	return l
}

// expiry is a heap of all items, earliest deadline first. It implements
// heap.Interface.
type expiry[T any] []*Item[T]

func (h expiry[T]) Len() int { return len(h) }

func (h expiry[T]) Less(a, b int) bool { return h[a].Deadline.Before(h[b].Deadline) }

func (h expiry[T]) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].expiryIndex = a
	h[b].expiryIndex = b
}

func (h *expiry[T]) Push(x any) {
	i := x.(*Item[T])
	i.expiryIndex = len(*h)
	*h = append(*h, i)
}

func (h *expiry[T]) Pop() any {
	last := len(*h) - 1
	i := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return i
}
