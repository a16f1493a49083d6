package demo

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	stallCheck = 50 * time.Millisecond
	// shortestStall is how long a client waits for a reply before it asks about
	// the request (routing.Options.LookupDelay). Shorter stalls excuse nothing.
	shortestStall = time.Second
)

// interval is a span of time.
type interval struct{ from, to time.Time }

func (i interval) length() time.Duration { return i.to.Sub(i.from) }

// stalls holds the times during which this process, which runs the whole
// deployment and its callers, was not scheduled.
type stalls struct {
	mu    sync.Mutex
	found []interval
}

// watch looks for gaps between ticks until ctx ends. It compares wall clock
// times, because the monotonic clock may stand still while a machine is
// suspended.
func (s *stalls) watch(ctx context.Context) error {
	ticker := time.NewTicker(stallCheck)
	defer ticker.Stop()
	last := time.Now().Round(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now().Round(0)
		s.ticked(last, now)
		last = now
	}
}

func (s *stalls) ticked(last, now time.Time) {
	if now.Sub(last) < shortestStall {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.found = append(s.found, interval{last, now})
}

// overlaps reports whether the process was stalled at some time of an interval.
func (s *stalls) overlaps(i interval) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.found, func(f interval) bool { return f.from.Before(i.to) && i.from.Before(f.to) })
}

// longest returns the number of stalls and the length of the longest one.
func (s *stalls) longest() (int, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := time.Duration(0)
	for _, f := range s.found {
		longest = max(longest, f.length())
	}
	return len(s.found), longest
}
