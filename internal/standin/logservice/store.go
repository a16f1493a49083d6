// Package logservice is a small stand-in for the platform's append-only log
// service, with limited retention and switchable faults.
package logservice

import (
	"errors"
	"sync"
	"time"

	"wasabihoist/internal/record/platformlog"
)

// Limits bound what the stand-in takes and keeps.
type Limits struct {
	AppendsPerSecond int           // AppendsPerSecond above which appends are refused.
	MaxPayload       int           // MaxPayload is in bytes.
	KeepEntries      int           // KeepEntries is the number of entries kept; 0 keeps all.
	KeepFor          time.Duration // KeepFor is how long entries are kept; 0 keeps all.
}

// DefaultLimits are those of the platform as its pages give them.
func DefaultLimits() Limits {
	return Limits{AppendsPerSecond: 400, MaxPayload: 1 << 20, KeepEntries: 200_000, KeepFor: 24 * time.Hour}
}

var (
	errTooMany  = errors.New("append rate exceeded")
	errTooLarge = errors.New("payload too large")
)

type stored struct {
	entry    platformlog.Entry
	appended time.Time
}

// store keeps the entries in memory.
type store struct {
	limits Limits
	now    func() time.Time

	mu         sync.Mutex
	entries    []stored      // entries have ascending offsets without gaps.
	next       int64         // next is the offset of the next append.
	allowance  float64       // allowance is the number of appends that the rate limit allows now.
	lastRefill time.Time     // lastRefill is when allowance was last computed.
	changed    chan struct{} // changed is closed at the next append and then replaced.
}

func newStore(limits Limits, now func() time.Time) *store {
	return &store{
		limits:     limits,
		now:        now,
		next:       1,
		allowance:  float64(limits.AppendsPerSecond),
		lastRefill: now(),
		changed:    make(chan struct{}),
	}
}

func (s *store) append(payload []byte) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(payload) > s.limits.MaxPayload {
		return 0, errTooLarge
	}
	if !s.takeAllowance() {
		return 0, errTooMany
	}
	offset := s.next
	s.next++
	s.entries = append(s.entries, stored{platformlog.Entry{Offset: offset, Payload: payload}, s.now()})
	s.expire()
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, nil
}

func (s *store) takeAllowance() bool {
	if s.limits.AppendsPerSecond == 0 {
		return true
	}
	now := s.now()
	rate := float64(s.limits.AppendsPerSecond)
	s.allowance = min(rate, s.allowance+rate*now.Sub(s.lastRefill).Seconds())
	s.lastRefill = now
	if s.allowance < 1 {
		return false
	}
	s.allowance--
	return true
}

func (s *store) expire() {
	first := 0
	if s.limits.KeepEntries > 0 {
		first = max(first, len(s.entries)-s.limits.KeepEntries)
	}
	if s.limits.KeepFor > 0 {
		horizon := s.now().Add(-s.limits.KeepFor)
		for first < len(s.entries) && s.entries[first].appended.Before(horizon) {
			first++
		}
	}
	s.entries = s.entries[first:]
}

// read returns the page from an offset on, whether that offset has expired,
// and a channel that is closed at the next append.
func (s *store) read(from int64, limit int) (platformlog.Page, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	earliest := s.next
	if len(s.entries) > 0 {
		earliest = s.entries[0].entry.Offset
	}
	page := platformlog.Page{Next: from, Earliest: earliest}
	if from < earliest {
		return page, true, s.changed
	}
	for i := from - earliest; i < int64(len(s.entries)) && len(page.Entries) < limit; i++ {
		page.Entries = append(page.Entries, s.entries[i].entry)
		page.Next = s.entries[i].entry.Offset + 1
	}
	return page, false, s.changed
}
