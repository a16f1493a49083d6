package ledger

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"wasabihoist/internal/fleet/workload"
)

// Claim is the claim of an organisation to the ID of a job. It is stored in one append
// with the record of the job. The ID belongs to the claim that comes first in the topic,
// for as long as that is kept. The record of the job can't tell, because a later one of
// another organisation replaces it in the store.
type Claim struct {
	Name         string      // Name identifies the record: the ID and a random part, so that no other record replaces it.
	Job          workload.ID // Job is the claimed ID.
	Organisation string
}

// NewClaim returns a claim with a name of its own, which each attempt to store one needs.
func NewClaim(id workload.ID, organisation string) Claim {
	return Claim{Name: string(id) + "/" + strconv.FormatUint(rand.Uint64(), 36), Job: id, Organisation: organisation}
}

type claimRecord struct {
	Organisation string `json:"organisation,omitempty"`
}

// EncodeClaim returns the record of a claim.
func EncodeClaim(c Claim) (Record, error) {
	return encode(ClaimKind.Key(c.Name), claimRecord{c.Organisation})
}

func decodeClaim(name string, value []byte) (Claim, error) {
	id := jobInName(name)
	if id == "" {
		return Claim{}, errors.New("decode claim: the key has no ID")
	}
	var r *claimRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return Claim{}, fmt.Errorf("decode claim to %s: %w", id, err)
	}
	if r == nil {
		return Claim{}, fmt.Errorf("decode claim to %s: it is empty", id)
	}
	return Claim{Name: name, Job: id, Organisation: r.Organisation}, nil
}

// jobInName returns the ID in the name of a record of which a job may have several.
func jobInName(name string) workload.ID {
	id, _, _ := strings.Cut(name, "/")
	return workload.ID(id)
}

// storedClaim is a claim with its offset in the topic.
type storedClaim struct {
	Claim
	offset int64
}

// applyClaim folds the record of a claim. An entry whose ID turns out to belong to
// another organisation loses its job, and it is removed with the last claim.
func (s *State) applyClaim(name string, r StoredRecord, deleted bool) error {
	var c Claim
	if !deleted {
		var err error
		if c, err = decodeClaim(name, r.Value); err != nil {
			return err
		}
	}
	id := jobInName(name)
	known := len(s.claims[id]) > 0
	claims := slices.DeleteFunc(s.claims[id], func(c storedClaim) bool { return c.Name == name })
	if !deleted {
		claims = append(claims, storedClaim{c, r.Offset})
	}
	s.claims[id] = claims
	if len(claims) == 0 {
		delete(s.claims, id)
		if known {
			s.forget(id)
		}
		return nil
	}
	if e := s.entries[id]; e != nil && e.Accepted && !s.mayHold(id, e.Job.Organisation) {
		s.removePending(e)
		e.Job, e.Accepted, e.Displaced, e.Cancelled = workload.Job{}, false, true, e.canceller != nil
		s.changed.Add(id)
	}
	return nil
}

// mayHold reports whether no claim says that an ID belongs to another organisation.
func (s *State) mayHold(id workload.ID, organisation string) bool {
	claims := s.claims[id]
	if len(claims) == 0 {
		return true
	}
	first := slices.MinFunc(claims, func(a, b storedClaim) int { return cmp.Compare(a.offset, b.offset) })
	return first.Organisation == organisation
}

// HasLost reports whether the ledger has a claim, and an earlier one of another
// organisation.
func (s *State) HasLost(c Claim) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := slices.ContainsFunc(s.claims[c.Job], func(other storedClaim) bool { return other.Name == c.Name })
	return stored && !s.mayHold(c.Job, c.Organisation)
}

// MayHold reports whether an ID is free or belongs to the organisation.
func (s *State) MayHold(id workload.ID, organisation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	return s.mayHold(id, organisation) && (e == nil || !e.Accepted || e.Job.Organisation == organisation)
}

// Claims returns the names of the claims to an ID.
func (s *State) Claims(id workload.ID) (names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.claims[id] {
		names = append(names, c.Name)
	}
	return names
}

// ClaimsWithoutJob returns the tombstones of the claims to IDs of which no job is known,
// and before them those of records to which the ID does not belong: without the claims
// they would count.
func (s *State) ClaimsWithoutJob() (tombstones []Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, claims := range s.claims {
		e := s.entries[id]
		if e != nil && e.Accepted {
			continue
		}
		if e != nil && e.Displaced {
			tombstones = append(tombstones, Tombstone(JobKind, string(id)))
		}
		for _, c := range claims {
			tombstones = append(tombstones, Tombstone(ClaimKind, c.Name))
		}
	}
	return tombstones
}
