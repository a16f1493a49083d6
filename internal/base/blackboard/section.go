// Package blackboard holds versioned values that controllers read and write.
// Controllers learn of each other's results only through sections.
package blackboard

import "sync"

// Section is one typed value with a version and change notification. It is
// safe for concurrent use. Values are replaced as a whole; a value that has
// been read must not be modified.
type Section[T any] struct {
	mu      sync.Mutex
	value   T
	version uint64        // version grows by one with each write.
	changed chan struct{} // changed is closed at the next write and then replaced.
}

// NewSection returns a section that holds the initial value at version 0.
func NewSection[T any](initial T) *Section[T] {
	return &Section[T]{value: initial, changed: make(chan struct{})}
}

// Get returns the value.
func (s *Section[T]) Get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

// Watch returns the value, its version and a channel that is closed at the
// next write.
func (s *Section[T]) Watch() (T, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value, s.version, s.changed
}

// Set replaces the value.
func (s *Section[T]) Set(value T) {
	s.Update(func(T) T { return value })
}

// Update replaces the value with the result of change. change must return a
// new value and must not call the section.
func (s *Section[T]) Update(change func(T) T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = change(s.value)
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}
