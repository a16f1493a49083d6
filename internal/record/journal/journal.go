package journal

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"unique"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

// windowBytes bounds the recent payloads that are kept for peers. It covers
// well over an hour of records at the planned rates, with a small part of the
// memory limit of a process.
const windowBytes = 8 << 20

const (
	// entryBytes is counted for each entry of the window beside its payload, so
	// that many small payloads are bounded too.
	entryBytes = 100
	// pageBytes bounds the payloads of one page for a peer. It takes a third of
	// a second on the region link, within the deadline of an exchange.
	pageBytes = 1 << 20
)

// ErrUnordered is returned when the offsets of a page do not ascend within the
// range that the page claims to cover.
var ErrUnordered = errors.New("offsets of the page are out of order")

// ErrOlderVersion is returned for a snapshot that covers more of the log than
// the fold but has an older configuration; it is not from the same log.
var ErrOlderVersion = errors.New("the snapshot has an older configuration")

// ErrGap is returned when a page starts after the first offset that is missing.
var ErrGap = errors.New("page starts beyond the next offset")

// ErrUnsupported is returned for records and snapshots that only a newer
// version can fold. The journal stays as it was before them.
var ErrUnsupported = errors.New("the format is not known to this version")

// Observer is called for each folded record, in order. It must not block and
// must not call the journal.
type Observer func(writer string, sequence uint64, record Record, verdict Verdict)

// Journal is the folded state of the log in this process. It is safe for
// concurrent use.
type Journal struct {
	mu        sync.RWMutex
	state     *state
	window    []platformlog.Entry // window has ascending offsets and ends at state.next.
	start     int64               // start is the first offset that the window covers.
	size      int                 // size is the number of payload bytes in the window.
	changed   chan struct{}       // changed is closed at the next change and then replaced.
	observers []Observer
	resumed   []func(folded func(writer string) uint64)
}

// New returns an empty journal.
func New() *Journal {
	return &Journal{state: newState(), start: 1, changed: make(chan struct{})}
}

// Observe adds an observer of all records that are folded from now on.
func (j *Journal) Observe(o Observer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.observers = append(j.observers, o)
}

// ObserveRestore adds a function that is called after a snapshot has replaced
// the state. It gets the highest folded sequence number of each writer. The
// restrictions of Observer hold for it as well.
func (j *Journal) ObserveRestore(resumed func(folded func(writer string) uint64)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.resumed = append(j.resumed, resumed)
}

// Apply folds a page that was read from an offset. Entries that were folded
// before are skipped, so pages from different sources may overlap.
func (j *Journal) Apply(from int64, page platformlog.Page) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if from > j.state.next {
		return fmt.Errorf("%w: from %d, next %d", ErrGap, from, j.state.next)
	}
	if !ordered(from, page) {
		return fmt.Errorf("%w: from %d, next %d", ErrUnordered, from, page.Next)
	}
	before := j.state.next
	for _, e := range page.Entries {
		if e.Offset >= j.state.next && j.state.unsupported == nil {
			j.applyEntry(e)
		}
	}
	if j.state.unsupported == nil {
		j.state.next = max(j.state.next, page.Next)
	}
	if j.state.next != before {
		j.notify()
	}
	return j.state.unsupported
}

// Unsupported returns an error that wraps ErrUnsupported once the fold has met
// a record that only a newer version can fold. The state is that before the
// record, as in an outage of the log.
func (j *Journal) Unsupported() error {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.state.unsupported
}

// ordered reports whether all entries have ascending offsets from the start of
// the page to its end. A page that skips records would make processes differ.
func ordered(from int64, page platformlog.Page) bool {
	least := from
	for _, e := range page.Entries {
		if e.Offset < least || e.Offset >= page.Next {
			return false
		}
		least = e.Offset + 1
	}
	return true
}

func (j *Journal) applyEntry(e platformlog.Entry) {
	results := j.state.apply(e.Offset, e.Payload)
	if j.state.unsupported != nil {
		return
	}
	for _, r := range results {
		for _, o := range j.observers {
			o(r.writer, r.sequence, r.record, r.verdict)
		}
	}
	j.window = append(j.window, e)
	j.size += len(e.Payload) + entryBytes
	for j.size > windowBytes {
		j.size -= len(j.window[0].Payload) + entryBytes
		j.start = j.window[0].Offset + 1
		j.window = j.window[1:]
	}
}

func (j *Journal) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// Page returns entries of the window from an offset on, for peers. When the
// fold has stopped at a record of a newer version, the end of the window is an
// error, so that peers read elsewhere.
func (j *Journal) Page(from int64, limit int) (platformlog.Page, error) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	page := platformlog.Page{Next: from, Earliest: j.start}
	if from < j.start {
		return page, fmt.Errorf("read journal from %d: %w", from, platformlog.ErrExpired)
	}
	if from >= j.state.next {
		return page, j.state.unsupported
	}
	first, _ := slices.BinarySearchFunc(j.window, from, func(e platformlog.Entry, offset int64) int {
		return cmp.Compare(e.Offset, offset)
	})
	last := first
	for size := 0; last < min(len(j.window), first+limit); last++ {
		size += len(j.window[last].Payload)
		if size > pageBytes && last > first {
			break
		}
	}
	page.Entries = slices.Clone(j.window[first:last])
	page.Next = j.state.next
	if last < len(j.window) {
		page.Next = j.window[last].Offset
	}
	return page, nil
}

// Capture returns the state as it is now. The fold waits while pointers are
// copied, not while the state is encoded.
func (j *Journal) Capture() *Capture {
	j.mu.RLock()
	c := j.state.copy()
	j.mu.RUnlock()
	return newCapture(c)
}

// Snapshot returns the whole encoded state and the first offset that it does
// not cover. Capture needs less memory.
func (j *Journal) Snapshot() ([]byte, int64, error) {
	c := j.Capture()
	data, err := c.encode()
	return data, c.Covers(), err
}

// Restore decodes a whole snapshot and adopts it.
func (j *Journal) Restore(data []byte) error {
	restored, err := decodeState(data)
	if err != nil {
		return err
	}
	return j.Adopt(&Restored{restored})
}

// Adopt replaces the state by a restored one, unless that is older. The
// restored state must not be adopted again. Observers do not see the records
// that it covers.
func (j *Journal) Adopt(r *Restored) error {
	restored := r.state
	j.mu.Lock()
	defer j.mu.Unlock()
	if restored.next <= j.state.next {
		return nil
	}
	if restored.configuration.Version < j.state.configuration.Version {
		return fmt.Errorf("restore: %w: version %d, in force %d", ErrOlderVersion,
			restored.configuration.Version, j.state.configuration.Version)
	}
	j.state = restored
	j.window, j.size, j.start = nil, 0, restored.next
	for _, resumed := range j.resumed {
		resumed(restored.lastSequence)
	}
	j.notify()
	return nil
}

// Next returns the first offset that is not folded.
func (j *Journal) Next() int64 {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.state.next
}

// Watch returns a channel that is closed at the next change.
func (j *Journal) Watch() <-chan struct{} {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.changed
}

// Configuration returns the configuration in force. It must not be modified.
func (j *Journal) Configuration() organisation.Configuration {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.state.configuration
}

// LostWorkers returns the workers that are reported lost, by name.
func (j *Journal) LostWorkers() collection.Set[string] {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return maps.Clone(j.state.lost)
}

// Job returns what is known of a job.
func (j *Journal) Job(id request.Identity) (JobState, bool) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	if s := j.state.jobs[id]; s != nil {
		return *s, true
	}
	return JobState{}, false
}

// Jobs returns all known jobs in order of submission.
func (j *Journal) Jobs() []JobState {
	j.mu.RLock()
	defer j.mu.RUnlock()
	jobs := make([]JobState, 0, len(j.state.jobs))
	for _, s := range j.state.jobs {
		jobs = append(jobs, *s)
	}
	slices.SortFunc(jobs, func(a, b JobState) int {
		return cmp.Or(cmp.Compare(a.Submitted, b.Submitted),
			cmp.Compare(a.Job.Identity.String(), b.Job.Identity.String()))
	})
	return jobs
}

// Request returns what is known of a non-idempotent request.
func (j *Journal) Request(id request.Identity) (RequestState, bool) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	if known := j.state.claims.get(id); known != nil {
		return known.state(), true
	}
	return RequestState{}, false
}

// ClaimBytes returns about the memory that the claims of the repeat window
// take, without the bodies of their answers, and the part of an organisation.
func (j *Journal) ClaimBytes(organisation string) (all, own int) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.state.claims.bytes, j.state.claims.used[unique.Make(organisation)]
}

// History returns the last steps of a job, the oldest of them first.
func (j *Journal) History(id request.Identity) []HistoryEntry {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.state.historyOf(id)
}

// AuditTrail returns the kept entries of the audit trail in order.
func (j *Journal) AuditTrail() []AuditEntry {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return slices.Clone(j.state.audit)
}
