package ledger

import (
	"encoding/json"
	"fmt"
	"time"
)

// Leases is what a term tells the terms after it about the leases of the hosts.
type Leases struct {
	Token     int64  // Token is the fencing token of the term.
	Candidate string // Candidate is the name of the process that leads it.
	// Expiring holds, by host, how long leases may still last where the term renews
	// none. It may renew leases on any host that is not named.
	Expiring map[string]time.Duration
}

// TermWrites is what is known of the records that terms have written. A term writes
// progress and leases only.
type TermWrites struct {
	Leases   Leases
	LeasesAt time.Time // LeasesAt is when this process read the newest leases; zero if there are none that it can read.
	LastAt   time.Time // LastAt is when this process read the last record of any term; zero before the first.
}

// leasesName is the name of the only record of LeasesKind, which each term replaces.
const leasesName = "coordinator"

type leasesRecord struct {
	Token     int64            `json:"token"`
	Candidate string           `json:"candidate"`
	Expiring  map[string]int64 `json:"expiring-ms,omitempty"`
}

// EncodeLeases returns the record of the leases of a term. Times are rounded up to
// milliseconds.
func EncodeLeases(l Leases) (Record, error) {
	r := leasesRecord{Token: l.Token, Candidate: l.Candidate, Expiring: make(map[string]int64, len(l.Expiring))}
	for name, left := range l.Expiring {
		r.Expiring[name] = (left + time.Millisecond - 1).Milliseconds()
	}
	return encode(LeasesKind.Key(leasesName), r)
}

func decodeLeases(value []byte) (Leases, error) {
	var r leasesRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return Leases{}, fmt.Errorf("decode leases: %w", err)
	}
	l := Leases{Token: r.Token, Candidate: r.Candidate, Expiring: make(map[string]time.Duration, len(r.Expiring))}
	for name, ms := range r.Expiring {
		if ms < 0 {
			return Leases{}, fmt.Errorf("decode leases: %d ms are left on %.40q, want at least 0", ms, name)
		}
		l.Expiring[name] = fromMillis(ms)
	}
	return l, nil
}

// applyLeases folds the record of the leases. One that can't be read leaves none known.
func (s *State) applyLeases(value []byte, deleted bool) error {
	if deleted {
		s.terms.Leases, s.terms.LeasesAt = Leases{}, time.Time{}
		return nil
	}
	l, err := decodeLeases(value)
	at := time.Now()
	s.terms.Leases, s.terms.LeasesAt, s.terms.LastAt = l, at, at
	if err != nil {
		s.terms.LeasesAt = time.Time{}
	}
	return err
}

// TermWrites returns what is known of the records that terms have written. The map in
// it must not be modified.
func (s *State) TermWrites() TermWrites {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.terms
}
