package journal

import (
	"fmt"
	"slices"
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

const (
	// RepeatWindow is how long ended jobs and claimed requests are remembered,
	// and so how long a repeated submission is recognised.
	RepeatWindow = 24 * time.Hour
	// MaxAttempts bounds the failed attempts of an idempotent job.
	MaxAttempts = 3

	auditKept = 1000
)

// JobState is what the fold knows of a job.
type JobState struct {
	Job             job.Job
	State           job.State
	Submitted       int64    // Submitted is the offset of the submission.
	Claim           int64    // Claim is the offset of the claim in force; 0 when there is none.
	Claimant        string   // Claimant is the writer of the claim.
	DataCentre      string   // DataCentre of the claim.
	Workers         []string // Workers of the claim, one for each member.
	Attempt         int      // Attempt counts claims.
	Failures        int      // Failures counts attempts that ran and were lost.
	Outcome         request.Outcome
	Reason          string
	Changed         time.Time // Changed is the clock of the fold at the last change.
	Started         time.Time // Started is when the last attempt was reported to run.
	CancelRequested bool
	Progress        time.Duration // Progress is the run time that the last checkpoint keeps.
}

// RequestState is what the fold knows of a non-idempotent request.
type RequestState struct {
	Identity request.Identity
	Writer   string // Writer of the claim; only it may finish or abandon the request.
	Claim    int64  // Claim is the offset of the claim.
	Deadline time.Time
	Outcome  request.Outcome // Outcome is Pending until the request is finished.
	Reason   string
	Body     []byte
	Changed  time.Time
}

// AuditEntry is one entry of the audit trail with its place on the log.
type AuditEntry struct {
	Offset int64
	Time   time.Time
	Audit  Audit
}

type writerState struct {
	sequence uint64    // sequence is the highest that was folded.
	changed  time.Time // changed is the clock of the fold at the last record.
	reported time.Time // reported is the highest time of its records.
}

type eviction struct {
	due     time.Time
	subject request.Identity
}

// state is the result of folding the log. It is a pure function of the
// payloads and their offsets.
type state struct {
	next          int64 // next is the first offset that is not folded.
	clock         foldClock
	configuration organisation.Configuration
	operator      string
	jobs          map[request.Identity]*JobState // jobs do not change; they are replaced, so that copies of the state can share them.
	claims        claims
	audit         []AuditEntry
	history       history
	bodyLimit     int // bodyLimit is the bound of bodies in bytes.
	writers       map[string]*writerState
	lost          collection.Set[string] // lost are the workers that were reported lost.
	evictions     []eviction             // evictions of jobs have ascending due times.
	needs         int32                  // needs is the highest format that a folded record needed.
	unsupported   error                  // unsupported is set at a record that needs a higher format; nothing is folded from there on.
}

func newState() *state {
	return &state{
		next:      1,
		jobs:      map[request.Identity]*JobState{},
		claims:    newClaims(),
		history:   history{limit: historyBytes},
		bodyLimit: MaxBodyBytes,
		writers:   map[string]*writerState{},
		lost:      collection.NewSet[string](),
	}
}

// judged is a record with the verdict on it.
type judged struct {
	writer   string
	sequence uint64
	record   Record
	verdict  Verdict
}

// apply folds one payload. Batches that cannot be decoded change nothing but
// the offset, so that all readers agree on them. A payload with a record that
// needs a higher format is not folded, and neither is what follows.
func (s *state) apply(offset int64, payload []byte) []judged {
	if s.unsupported != nil {
		return nil
	}
	list := batches(payload)
	needs := int32(0)
	for _, b := range list {
		needs = max(needs, b.needs())
	}
	if needs > Format {
		s.unsupported = fmt.Errorf("offset %d: %w: it needs %d, known is %d", offset, ErrUnsupported, needs, Format)
		return nil
	}
	s.next = offset + 1
	s.needs = max(s.needs, needs)
	before := s.clock.now
	var results []judged
	for _, b := range list {
		results = append(results, s.applyBatch(offset, b)...)
	}
	s.claims.enforce(s.bodyLimit)
	s.evict()
	if !s.clock.now.Truncate(time.Hour).Equal(before.Truncate(time.Hour)) {
		s.evictWriters()
	}
	return results
}

func (s *state) applyBatch(offset int64, b batch) []judged {
	results := make([]judged, 0, len(b.records))
	for _, e := range b.records {
		reason := s.applyRecord(offset, b.writer, e)
		if reason == "" {
			s.noteStep(offset, e)
		}
		results = append(results, judged{b.writer, e.sequence, e.record, Verdict{offset, reason == "", reason}})
	}
	return results
}

// applyRecord returns why the record is not valid, or an empty string.
func (s *state) applyRecord(offset int64, writer string, e envelope) string {
	w := s.writers[writer]
	if w == nil {
		w = &writerState{}
		s.writers[writer] = w
	}
	if e.sequence <= w.sequence {
		return "sequence number is not above the last one of the writer"
	}
	w.sequence = e.sequence
	w.reported = later(w.reported, e.time)
	s.clock.note(writer, e.time)
	s.clock.advance()
	w.changed = s.clock.now
	switch r := e.record.(type) {
	case ConfigurationPublished:
		return s.publish(offset, r)
	case JobSubmitted:
		return s.submitJob(offset, r)
	case JobClaimed:
		return s.claimJob(offset, writer, r)
	case JobRunning:
		return s.runJob(r, e.time)
	case JobReleased:
		return s.releaseJob(r)
	case JobEnded:
		return s.endJob(r)
	case JobCancelled:
		return s.cancelJob(r)
	case RequestClaimed:
		return s.claimRequest(offset, writer, r)
	case RequestFinished:
		return s.finishRequest(writer, r)
	case RequestAbandoned:
		return s.abandonRequest(writer, r)
	case WorkerReported:
		return s.reportWorker(r)
	case Audit:
		s.addAudit(AuditEntry{offset, e.time, r})
	case Unreadable:
		return r.Reason
	}
	return ""
}

// lastSequence returns the highest folded sequence number of a writer.
func (s *state) lastSequence(writer string) uint64 {
	if w := s.writers[writer]; w != nil {
		return w.sequence
	}
	return 0
}

func (s *state) publish(offset int64, r ConfigurationPublished) string {
	if r.Base != s.configuration.Version {
		return fmt.Sprintf("based on version %d, but version %d is in force", r.Base, s.configuration.Version)
	}
	s.configuration = organisation.Configuration{Version: offset, Organisations: r.Organisations, Plans: r.Plans}
	s.operator = r.Operator
	return ""
}

func (s *state) addAudit(e AuditEntry) {
	if len(s.audit) >= auditKept {
		s.audit = slices.Delete(s.audit, 0, len(s.audit)-auditKept+1)
	}
	s.audit = append(s.audit, e)
}

func (s *state) scheduleEviction(subject request.Identity) {
	s.evictions = append(s.evictions, eviction{s.clock.now.Add(RepeatWindow), subject})
}

// evict forgets what has not changed within the repeat window.
func (s *state) evict() {
	horizon := s.clock.now.Add(-RepeatWindow)
	s.claims.evict(horizon)
	for len(s.evictions) > 0 && s.evictions[0].due.Before(s.clock.now) {
		e := s.evictions[0]
		s.evictions = s.evictions[1:]
		if j := s.jobs[e.subject]; j != nil && j.State == job.Ended && j.Changed.Before(horizon) {
			delete(s.jobs, e.subject)
		}
	}
}

// evictWriters bounds the memory for incarnations of processes that are gone.
// It looks at all writers, so it is called once an hour of the fold's clock.
func (s *state) evictWriters() {
	const keepWriters = 4096
	if len(s.writers) <= keepWriters {
		return
	}
	horizon := s.clock.now.Add(-RepeatWindow)
	for name, w := range s.writers {
		if w.changed.Before(horizon) {
			delete(s.writers, name)
		}
	}
	s.noteTimes()
}

// noteTimes derives what the clock knows of the hosts from the writers.
func (s *state) noteTimes() {
	s.clock = foldClock{now: s.clock.now}
	for name, w := range s.writers {
		s.clock.note(name, w.reported)
	}
}

func (s *state) reportWorker(r WorkerReported) string {
	if s.lost.Has(r.Worker) == r.Lost {
		return "reported already"
	}
	if r.Lost {
		s.lost.Add(r.Worker)
	} else {
		s.lost.Remove(r.Worker)
	}
	return ""
}
