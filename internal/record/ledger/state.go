package ledger

import (
	"errors"
	"fmt"
	"sync"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/outlook"
	"wasabihoist/internal/fleet/workload"
)

// JobEntry is the state of one job in the ledger.
type JobEntry struct {
	Job              workload.Job
	Accepted         bool               // Accepted is false while only a cancellation or progress record is known.
	Displaced        bool               // Displaced is set while the newest job record is of an organisation to which the ID does not belong. A process that starts then can't read the job.
	Progress         *workload.Progress // Progress is nil until it is first recorded. It must not be modified.
	ProgressUnknown  bool               // ProgressUnknown is set while runs may exist that Progress doesn't name: the newest record of it can't be used, or is uncertain.
	Cancelled        bool               // Cancelled is set by a cancellation recorded before the job ended, or before the job.
	SubmissionOffset int64              // SubmissionOffset is the offset of the first job record that this process has seen.

	canceller *string // canceller is the organisation that the cancellation names, nil if there is none or it names none.
}

// State returns the state of the job that callers see.
func (e JobEntry) State() workload.State {
	switch {
	case e.Cancelled:
		return workload.Cancelled
	case e.Progress == nil:
		return workload.Pending
	default:
		return e.Progress.State
	}
}

// State is the fold of all records of the ledger. It is safe for concurrent use.
type State struct {
	mu      sync.Mutex
	entries map[workload.ID]*JobEntry
	early   map[workload.ID]map[string]EarlyCancellation // early holds the early cancellations by job and name.
	claims  map[workload.ID][]storedClaim                // claims holds the claims to each ID in no particular order.
	members map[string]Member
	outlook map[string]outlook.Outlook // outlook holds the newest outlook of each service.
	leases  KnownLeases
	offsets map[string]int64                       // offsets holds the offset of the newest record of each key.
	next    int64                                  // next is the offset after the last folded record.
	changed collection.Set[workload.ID]            // changed holds the jobs that changed since the last call of Changes.
	notify  chan struct{}                          // notify buffers one signal that there are changes.
	pending map[string]collection.Set[workload.ID] // pending holds the jobs of each queue that have not started.
}

// NewState returns an empty state.
func NewState() *State {
	s := &State{notify: make(chan struct{}, 1)}
	s.reset()
	return s
}

func (s *State) reset() {
	s.entries = make(map[workload.ID]*JobEntry)
	s.early = make(map[workload.ID]map[string]EarlyCancellation)
	s.claims = make(map[workload.ID][]storedClaim)
	s.members = make(map[string]Member)
	s.outlook = make(map[string]outlook.Outlook)
	s.offsets = make(map[string]int64)
	s.changed = collection.NewSet[workload.ID]()
	s.pending = make(map[string]collection.Set[workload.ID])
}

// Next implements Fold.
func (s *State) Next() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// Apply implements Fold. It skips unreadable records and returns their errors.
func (s *State) Apply(page Page) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLatestProgress(page.Records)
	var errs []error
	for _, r := range page.Records {
		errs = append(errs, s.apply(r))
	}
	s.next = max(s.next, page.Next)
	s.signal()
	return errors.Join(errs...)
}

// applyLatestProgress applies the last of several progress records of a job, so that
// the others need not be decoded. It leaves jobs alone whose state depends on the
// order of the records, and those whose last record can't be used.
func (s *State) applyLatestProgress(records []StoredRecord) {
	last := make(map[string]StoredRecord)
	repeated, ordered := collection.NewSet[string](), collection.NewSet[string]()
	for _, r := range records {
		switch kind, name := splitKey(r.Key); kind {
		case ProgressKind:
			if _, ok := last[r.Key]; ok {
				repeated.Add(r.Key)
			}
			last[r.Key] = r
			if e := s.entries[workload.ID(name)]; e == nil || !e.Accepted || len(r.Value) == 0 {
				ordered.Add(r.Key)
			}
		case JobKind, CancellationKind:
			ordered.Add(ProgressKind.Key(name))
		case EarlyCancellationKind, ClaimKind:
			ordered.Add(ProgressKind.Key(string(jobInName(name))))
		}
	}
	for key := range repeated {
		if ordered.Has(key) {
			continue
		}
		former, known := s.offsets[key]
		if s.apply(last[key]) == nil {
			continue
		}
		delete(s.offsets, key)
		if known {
			s.offsets[key] = former
		}
	}
}

// Replace implements Fold. It deletes keys that the page lacks, unless they were
// written after the page.
func (s *State) Replace(page Page) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if page.Next < s.next {
		return false, nil
	}
	present := collection.NewSet[string]()
	for _, r := range page.Records {
		present.Add(r.Key)
	}
	var errs []error
	for key, offset := range s.offsets {
		if !present.Has(key) && offset < page.Next {
			errs = append(errs, s.apply(StoredRecord{Record{Key: key}, page.Next - 1}))
		}
	}
	for _, r := range page.Records {
		errs = append(errs, s.apply(r))
	}
	s.next = page.Next
	s.signal()
	return true, errors.Join(errs...)
}

// signal wakes the receiver of Changed.
func (s *State) signal() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// apply folds one record unless the same or a newer one of its key is known.
func (s *State) apply(r StoredRecord) error {
	if known, ok := s.offsets[r.Key]; ok && known >= r.Offset {
		return nil
	}
	s.offsets[r.Key] = r.Offset
	kind, name := splitKey(r.Key)
	deleted := len(r.Value) == 0
	if deleted {
		delete(s.offsets, r.Key)
	}
	switch kind {
	case MemberKind:
		return s.applyMember(name, r.Value, deleted)
	case JobKind, ProgressKind, CancellationKind:
		return s.applyJob(kind, workload.ID(name), r, deleted)
	case EarlyCancellationKind:
		return s.applyEarlyCancellation(name, r.Value, deleted)
	case ClaimKind:
		return s.applyClaim(name, r, deleted)
	case OutlookKind:
		return s.applyOutlook(name, r.Value, deleted)
	case LeasesKind:
		return s.applyLeases(r.Value, deleted)
	default: // a kind of another writer
		return nil
	}
}

func (s *State) applyMember(name string, value []byte, deleted bool) error {
	if deleted {
		delete(s.members, name)
		return nil
	}
	m, err := decodeMember(name, value)
	if err == nil {
		s.members[name] = m
	}
	return err
}

// applyOutlook forgets the former outlook of a service, also if the new one can't be read.
func (s *State) applyOutlook(service string, value []byte, deleted bool) error {
	delete(s.outlook, service)
	if deleted {
		return nil
	}
	o, err := decodeOutlook(service, value)
	if err == nil {
		s.outlook[service] = o
	}
	return err
}

// Outlook returns the newest outlook of a service.
func (s *State) Outlook(service string) (outlook.Outlook, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.outlook[service]
	return o, ok
}

func (s *State) applyJob(kind Kind, id workload.ID, r StoredRecord, deleted bool) error {
	e := s.entries[id]
	if e == nil {
		if deleted {
			return nil
		}
		e = &JobEntry{SubmissionOffset: r.Offset}
		s.entries[id] = e
	}
	s.changed.Add(id)
	if kind == JobKind && deleted {
		s.forget(id)
		return nil
	}
	var err error
	switch {
	case kind == JobKind:
		err = s.acceptJob(e, id, r)
	case kind == ProgressKind && !deleted:
		err = e.readProgress(string(id), r.Value)
	case kind == CancellationKind && !deleted:
		var organisation *string
		if organisation, err = decodeCancellation(string(id), r.Value); err == nil {
			e.cancelBy(organisation)
		}
	}
	s.updatePending(id, e)
	return err
}

// cancel marks the job as cancelled unless it has ended.
func (e *JobEntry) cancel() {
	e.Cancelled = e.Cancelled || e.Progress == nil || !e.Progress.State.Ended()
}

// cancelBy marks the job as cancelled if it is one of the organisation, or if that is
// nil. If the job is not known yet, that is checked when it is accepted.
func (e *JobEntry) cancelBy(organisation *string) {
	if e.Accepted && organisation != nil && *organisation != e.Job.Organisation {
		return
	}
	e.canceller = organisation
	e.cancel()
}

// forget removes the entry of a job that has left the ledger.
func (s *State) forget(id workload.ID) {
	if e := s.entries[id]; e != nil {
		s.removePending(e)
		delete(s.entries, id)
		s.changed.Add(id)
	}
}

// acceptJob folds the record of a job. The first one counts, unless the ID belongs to
// another organisation.
func (s *State) acceptJob(e *JobEntry, id workload.ID, r StoredRecord) error {
	job, err := decodeJob(string(id), r.Value)
	switch {
	case e.Accepted:
		e.Displaced = err == nil && job.Organisation != e.Job.Organisation
		return nil
	case err == nil && !s.mayHold(id, job.Organisation):
		e.Displaced = true
		return nil
	}
	e.Job, e.Displaced = job, false
	err = e.accept(r.Offset, err)
	if s.cancelledEarly(e) {
		e.cancel()
	}
	return err
}

// accept completes an entry whose job was decoded with a result.
func (e *JobEntry) accept(offset int64, err error) error {
	e.Accepted, e.SubmissionOffset = err == nil, offset
	if e.Accepted && e.canceller != nil && *e.canceller != e.Job.Organisation {
		e.Cancelled, e.canceller = false, nil
	}
	if p := e.Progress; e.Accepted && p != nil { // It was recorded before the job.
		e.Progress = nil
		return e.setProgress(p)
	}
	return err
}

func (e *JobEntry) readProgress(id string, value []byte) error {
	p, err := decodeProgress(id, value)
	if err == nil {
		return e.setProgress(p)
	}
	e.ProgressUnknown = true
	return err
}

// setProgress replaces the progress, unless it is that of other steps.
func (e *JobEntry) setProgress(p *workload.Progress) error {
	withoutSteps := p.State.Ended() && len(p.Steps) == 0
	if e.Accepted && !withoutSteps && !p.Matches(e.Job) {
		e.ProgressUnknown = true
		return fmt.Errorf("decode progress of %s: it has other steps or tasks than the job", p.Job)
	}
	e.Progress, e.ProgressUnknown = p, p.Uncertain
	return nil
}

// updatePending adds an entry to the pending jobs of its queue or removes it.
func (s *State) updatePending(id workload.ID, e *JobEntry) {
	if !e.Accepted {
		return
	}
	if e.State() != workload.Pending {
		s.removePending(e)
		return
	}
	queue := s.pending[e.Job.Queue]
	if queue == nil {
		queue = collection.NewSet[workload.ID]()
		s.pending[e.Job.Queue] = queue
	}
	queue.Add(id)
}

func (s *State) removePending(e *JobEntry) {
	if queue := s.pending[e.Job.Queue]; queue != nil {
		queue.Remove(e.Job.ID)
	}
}

// Job returns the entry of an accepted job.
func (s *State) Job(id workload.ID) (JobEntry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	if e == nil || !e.Accepted {
		return JobEntry{}, false
	}
	return *e, true
}

// PendingCount returns the number of jobs of a queue that have not started.
func (s *State) PendingCount(queue string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending[queue])
}

// Members returns the members with a role, keyed by name.
func (s *State) Members(role Role) map[string]Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := make(map[string]Member)
	for name, m := range s.members {
		if m.Role == role {
			members[name] = m
		}
	}
	return members
}

// Changed returns a channel that signals that Changes may return jobs. It serves one
// receiver.
func (s *State) Changed() <-chan struct{} { return s.notify }

// Changes returns the jobs that have changed since the last call, deleted ones
// included, in sorted order.
func (s *State) Changes() []workload.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.changed.Sorted()
	s.changed = collection.NewSet[workload.ID]()
	return ids
}

// All returns the entries of all accepted jobs in no particular order.
func (s *State) All() []JobEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]JobEntry, 0, len(s.entries))
	for _, e := range s.entries {
		if e.Accepted {
			all = append(all, *e)
		}
	}
	return all
}
