package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"wasabihoist/internal/fleet/workload"
)

// EarlyCancellation is the cancellation of a job that the ledger did not show to the
// organisation that cancelled it. A write of the job may be carried out later all the
// same; the job then counts as cancelled.
type EarlyCancellation struct {
	Name         string      // Name identifies the record: the ID of the job and a random part, so that no other record replaces it.
	Job          workload.ID // Job is the ID that was cancelled.
	Organisation string      // Organisation is the one whose job with that ID is cancelled.
	At           time.Time   // At is when it was recorded, with millisecond precision.
}

// NewEarlyCancellation returns an early cancellation with a name of its own.
func NewEarlyCancellation(id workload.ID, organisation string, at time.Time) EarlyCancellation {
	return EarlyCancellation{Name: string(id) + "/" + strconv.FormatUint(rand.Uint64(), 36), Job: id, Organisation: organisation, At: at}
}

type earlyCancellationRecord struct {
	Organisation string `json:"organisation,omitempty"`
	At           int64  `json:"at-ms"`
}

// EncodeEarlyCancellation returns the record of an early cancellation.
func EncodeEarlyCancellation(c EarlyCancellation) (Record, error) {
	return encode(EarlyCancellationKind.Key(c.Name), earlyCancellationRecord{c.Organisation, c.At.UnixMilli()})
}

func decodeEarlyCancellation(name string, value []byte) (EarlyCancellation, error) {
	id := jobInName(name)
	if id == "" {
		return EarlyCancellation{}, errors.New("decode early cancellation: the key has no ID")
	}
	var r earlyCancellationRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return EarlyCancellation{}, fmt.Errorf("decode early cancellation of %s: %w", id, err)
	}
	if r.At <= 0 {
		return EarlyCancellation{}, fmt.Errorf("decode early cancellation of %s: it has no time", id)
	}
	return EarlyCancellation{Name: name, Job: id, Organisation: r.Organisation, At: time.UnixMilli(r.At)}, nil
}

// applyEarlyCancellation folds the record of an early cancellation. The job may have
// been recorded before it, while the entry that records the cancellation did not know.
func (s *State) applyEarlyCancellation(name string, value []byte, deleted bool) error {
	id := jobInName(name)
	if deleted {
		delete(s.early[id], name)
		if len(s.early[id]) == 0 {
			delete(s.early, id)
		}
		return nil
	}
	c, err := decodeEarlyCancellation(name, value)
	if err != nil {
		return err
	}
	if s.early[id] == nil {
		s.early[id] = make(map[string]EarlyCancellation)
	}
	s.early[id][name] = c
	if e := s.entries[id]; e != nil && s.cancelledEarly(e) {
		e.cancel()
		s.changed.Add(id)
		s.updatePending(id, e)
	}
	return nil
}

// cancelledEarly reports whether the organisation of an accepted job has cancelled it
// early.
func (s *State) cancelledEarly(e *JobEntry) bool {
	if !e.Accepted {
		return false
	}
	for _, c := range s.early[e.Job.ID] {
		if c.Organisation == e.Job.Organisation {
			return true
		}
	}
	return false
}

// EarlyCancellation returns the newest early cancellation of a job by an organisation.
func (s *State) EarlyCancellation(id workload.ID, organisation string) (newest EarlyCancellation, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.early[id] {
		if c.Organisation == organisation && (!ok || c.At.After(newest.At)) {
			newest, ok = c, true
		}
	}
	return newest, ok
}

// EarlyCancellations returns all early cancellations in no particular order.
func (s *State) EarlyCancellations() []EarlyCancellation {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]EarlyCancellation, 0, len(s.early))
	for _, cancellations := range s.early {
		for _, c := range cancellations {
			all = append(all, c)
		}
	}
	return all
}
