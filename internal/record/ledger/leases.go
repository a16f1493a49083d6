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

// KnownLeases is the newest record of the leases as this process knows it.
type KnownLeases struct {
	Leases
	ReadAt time.Time // ReadAt is when this process read the record; zero if there is none that it can read.
}

// leasesName is the name of the only record of LeasesKind, which each term replaces.
const leasesName = "coordinator"

type leasesRecord struct {
	Token     int64            `json:"token"`
	Candidate string           `json:"candidate"`
	Expiring  map[string]int64 `json:"expiring-ms,omitempty"`
}

// EncodeLeases returns the record of the leases of a term. Times are rounded up to
// milliseconds. It fails if the hosts are too many for a record.
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
	s.leases = KnownLeases{}
	if deleted {
		return nil
	}
	l, err := decodeLeases(value)
	if err == nil {
		s.leases = KnownLeases{l, time.Now()}
	}
	return err
}

// Leases returns the newest record of the leases. The map in it must not be modified.
func (s *State) Leases() KnownLeases {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases
}
