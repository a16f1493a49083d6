// Package collection holds small generic containers and value types.
package collection

import (
	"cmp"
	"slices"
)

// Set is an unordered collection of distinct values. The zero value is an
// empty set that must be created with NewSet before values are added.
type Set[T cmp.Ordered] map[T]struct{}

// NewSet returns a set of the given values.
func NewSet[T cmp.Ordered](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s.Add(v)
	}
	return s
}

// Add inserts v.
func (s Set[T]) Add(v T) { s[v] = struct{}{} }

// Remove deletes v if it is present.
func (s Set[T]) Remove(v T) { delete(s, v) }

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Sorted returns the values in ascending order.
func (s Set[T]) Sorted() []T {
	values := make([]T, 0, len(s))
	for v := range s {
		values = append(values, v)
	}
	slices.Sort(values)
	return values
}
