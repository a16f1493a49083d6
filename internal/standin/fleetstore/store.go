// Package fleetstore is a replacement of the platform's store in memory, with
// faults that can be switched on. Tests use it.
package fleetstore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/record/ledger"
)

// Faults are what the store does wrong.
type Faults struct {
	Down       bool // Down refuses all calls.
	LoseAppend int  // LoseAppend is how many of the next appends are done without an answer.
	DropAppend int  // DropAppend is how many of the next appends are neither done nor answered.
	// DropHistory drops each record as soon as it is stored, but for the newest
	// of each key, and wakes no reader.
	DropHistory bool
	Delay       time.Duration // Delay is how long every answer takes.
	AppendDelay time.Duration // AppendDelay is how long the answers to appends without a fence take.
	LoseAnswer  int           // LoseAnswer is how many of the next appends are done and never answered.
}

// errLost stands for an answer that did not arrive.
var errLost = errors.New("no answer")

type topic struct {
	records []ledger.StoredRecord
	first   int64 // first is the offset of the first record that is kept.
	next    int64
	newest  map[string]ledger.StoredRecord
	fences  map[string]ledger.Fence
	holder  string
	until   time.Time
	term    int64

	candidates collection.Set[string]
}

// Store implements ledger.Store. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	faults  Faults
	topics  map[ledger.Topic]*topic
	changed chan struct{} // changed is closed at the next append and then replaced.
	appends int
}

var _ ledger.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{topics: make(map[ledger.Topic]*topic), changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Forget drops the history of a topic; the newest record of each key stays.
func (s *Store) Forget(name ledger.Topic) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records, t.first = nil, t.next
}

func (s *Store) topic(name ledger.Topic) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]ledger.StoredRecord), fences: make(map[string]ledger.Fence), candidates: collection.NewSet[string]()}
		s.topics[name] = t
	}
	return t
}

func (s *Store) refuse() error {
	if s.faults.Down {
		return fmt.Errorf("down: %w", ledger.ErrNotDone)
	}
	return nil
}

// deliver holds an answer back for as long as the faults say. What was asked for
// is done by then.
func (s *Store) deliver(ctx context.Context, err error) error {
	s.mu.Lock()
	delay := s.faults.Delay
	s.mu.Unlock()
	if waitErr := wait(ctx, delay); waitErr != nil {
		return waitErr
	}
	return err
}

// forever is longer than anybody waits for an answer.
const forever = time.Hour

func wait(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Append implements ledger.Store.
func (s *Store) Append(ctx context.Context, name ledger.Topic, records []ledger.Record) error {
	s.mu.Lock()
	err := s.append(name, records)
	s.appends++
	delay := s.faults.AppendDelay
	if s.faults.LoseAnswer > 0 {
		s.faults.LoseAnswer--
		delay = forever
	}
	s.mu.Unlock()
	if waitErr := wait(ctx, delay); waitErr != nil {
		return waitErr
	}
	return s.deliver(ctx, err)
}

// Appends returns how many appends without a fence the store has received.
func (s *Store) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

func (s *Store) append(name ledger.Topic, records []ledger.Record) error {
	if err := s.refuse(); err != nil {
		return err
	}
	if s.faults.DropAppend > 0 {
		s.faults.DropAppend--
		return errLost
	}
	t := s.topic(name)
	for _, r := range records {
		stored := ledger.StoredRecord{Record: r, Offset: t.next}
		t.records = append(t.records, stored)
		t.next++
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
		} else {
			t.newest[r.Key] = stored
		}
	}
	if s.faults.DropHistory {
		t.records, t.first = nil, t.next
	} else {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	if s.faults.LoseAppend > 0 {
		s.faults.LoseAppend--
		return errLost
	}
	return nil
}

// AppendFenced implements ledger.Store.
func (s *Store) AppendFenced(ctx context.Context, name ledger.Topic, f ledger.Fence, records []ledger.Record) error {
	return s.deliver(ctx, s.appendFenced(name, f, records))
}

func (s *Store) appendFenced(name ledger.Topic, f ledger.Fence, records []ledger.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.refuse(); err != nil {
		return err
	}
	fences := s.topic(name).fences
	last := fences[f.Writer]
	switch {
	case f.Epoch < last.Epoch:
		return ledger.ErrFenced
	case len(records) == 0:
		if f.Epoch > last.Epoch {
			fences[f.Writer] = ledger.Fence{Writer: f.Writer, Epoch: f.Epoch}
		}
		return nil
	case f.Epoch == last.Epoch && f.Sequence == last.Sequence:
		return nil // a repeat
	case f.Epoch == last.Epoch && f.Sequence != last.Sequence+1:
		return &ledger.SequenceError{Expected: last.Sequence + 1}
	}
	dropped := s.faults.DropAppend
	err := s.append(name, records)
	if s.faults.DropAppend == dropped {
		fences[f.Writer] = f
	}
	return err
}

// Read implements ledger.Store.
func (s *Store) Read(ctx context.Context, name ledger.Topic, from int64, wait time.Duration) (ledger.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := false; ; {
		s.mu.Lock()
		err := s.refuse()
		t := s.topic(name)
		page := ledger.Page{Next: from}
		if err == nil && from < t.first {
			err = ledger.ErrExpired
		}
		if err == nil && from < t.next {
			page.Records = append(page.Records, t.records[from-t.first:]...)
			page.Next = t.next
		}
		page.End = t.next
		changed := s.changed
		s.mu.Unlock()
		if err != nil || len(page.Records) > 0 || waited {
			return page, s.deliver(ctx, err)
		}
		select {
		case <-ctx.Done():
			return ledger.Page{}, ctx.Err()
		case <-timer.C:
			waited = true
		case <-changed:
		}
	}
}

// keysPerPage is how many records a page of Newest has at most.
const keysPerPage = 500

// Newest implements ledger.Store.
func (s *Store) Newest(ctx context.Context, name ledger.Topic, after string) (ledger.KeyPage, error) {
	answer, err := s.readNewest(name, after)
	return answer, s.deliver(ctx, err)
}

func (s *Store) readNewest(name ledger.Topic, after string) (ledger.KeyPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.refuse(); err != nil {
		return ledger.KeyPage{}, err
	}
	t := s.topic(name)
	page := ledger.KeyPage{Last: after, End: t.next}
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= after {
			continue
		}
		if page.More = len(page.Records) == keysPerPage; page.More {
			break
		}
		page.Records = append(page.Records, t.newest[key])
		page.Last = key
	}
	return page, nil
}

// Campaign implements ledger.Store.
func (s *Store) Campaign(ctx context.Context, name ledger.Topic, candidate string, _ int64, timeToLive time.Duration) (ledger.Leadership, error) {
	answer, err := s.lead(name, candidate, timeToLive)
	return answer, s.deliver(ctx, err)
}

func (s *Store) lead(name ledger.Topic, candidate string, timeToLive time.Duration) (ledger.Leadership, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.refuse(); err != nil {
		return ledger.Leadership{}, err
	}
	t := s.topic(name)
	// A new candidate takes the leadership over, as the platform may decide.
	if !t.candidates.Has(candidate) || t.holder != candidate && time.Now().After(t.until) {
		t.holder = candidate
		t.term++
	}
	t.candidates.Add(candidate)
	if t.holder == candidate {
		t.until = time.Now().Add(timeToLive)
	}
	return ledger.Leadership{IsLeader: t.holder == candidate, Generation: t.term}, nil
}

// Resign implements ledger.Store.
func (s *Store) Resign(ctx context.Context, name ledger.Topic, candidate string) error {
	return s.deliver(ctx, s.resign(name, candidate))
}

func (s *Store) resign(name ledger.Topic, candidate string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.refuse(); err != nil {
		return err
	}
	t := s.topic(name)
	t.candidates.Remove(candidate)
	if t.holder == candidate {
		t.until = time.Time{}
	}
	return nil
}

// Leader implements ledger.Store.
func (s *Store) Leader(ctx context.Context, name ledger.Topic) (string, error) {
	answer, err := s.leader(name)
	return answer, s.deliver(ctx, err)
}

func (s *Store) leader(name ledger.Topic) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.refuse(); err != nil {
		return "", err
	}
	t := s.topic(name)
	if time.Now().After(t.until) {
		return "", nil
	}
	return t.holder, nil
}

// Depose takes the leadership of a topic from its holder, as the store may do
// at any time, and gives it to another candidate.
func (s *Store) Depose(name ledger.Topic, successor string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.holder = successor
	t.term++
	t.until = time.Now().Add(time.Hour)
}
