package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/tenancy/organisation"
	"wasabihoist/internal/traffic/request"
)

const checksumBytes = 8

// encode writes the state in a form that is the same for equal states.
func (s *state) encode() ([]byte, error) { return s.copy().encode() }

// decodeState reads a snapshot. The checksum at its end catches chunks that
// were put together wrongly, which could otherwise decode to a wrong state.
func decodeState(data []byte) (*state, error) {
	if !Intact(data) {
		return nil, errors.New("decode snapshot: wrong checksum")
	}
	return decodeStateBody(data[:len(data)-checksumBytes])
}

// Intact reports whether the checksum of an encoded state is right.
func Intact(data []byte) bool {
	body := len(data) - checksumBytes
	return body >= 0 && binary.BigEndian.Uint64(data[body:]) == xxhash.Sum64(data[:body])
}

func decodeStateBody(data []byte) (*state, error) {
	var m wire.State
	if err := proto.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	if m.GetNeeds() > Format {
		return nil, fmt.Errorf("decode snapshot: %w: it needs %d, known is %d", ErrUnsupported, m.GetNeeds(), Format)
	}
	c, err := configurationFromWire(m.GetConfiguration())
	if err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	s := newState()
	s.needs = m.GetNeeds()
	s.next = max(1, m.GetNext())
	s.clock.now = fromNanos(m.GetClockUnixNanos())
	s.operator = c.Operator
	s.configuration = organisation.Configuration{
		Version:       m.GetConfigurationVersion(),
		Organisations: c.Organisations,
		Plans:         c.Plans,
	}
	for _, e := range m.GetJobs() {
		j, err := jobStateFromWire(e)
		if err != nil {
			return nil, fmt.Errorf("decode snapshot: %w", err)
		}
		s.jobs[j.Job.Identity] = j
	}
	var requests []RequestState
	for _, e := range m.GetRequests() {
		requests = append(requests, requestStateFromWire(e))
	}
	s.claims.restore(requests)
	for _, e := range m.GetAudit() {
		s.audit = append(s.audit, AuditEntry{e.GetOffset(), fromNanos(e.GetTimeUnixNanos()), auditFromWire(e.GetEntry())})
	}
	s.restoreHistory(m.GetHistory())
	for _, e := range m.GetWriters() {
		s.writers[e.GetWriter()] = &writerState{
			sequence: e.GetSequence(),
			changed:  fromNanos(e.GetChangedUnixNanos()),
			reported: fromNanos(e.GetReportedUnixNanos()),
		}
	}
	s.noteTimes()
	s.lost = collection.NewSet(m.GetLostWorkers()...)
	s.rebuildEvictions()
	return s, nil
}

// rebuildEvictions derives the eviction order of jobs. Entries of a running fold that
// were overtaken by a later change have no effect, so the result is the same.
func (s *state) rebuildEvictions() {
	for id, j := range s.jobs {
		if j.State == job.Ended {
			s.evictions = append(s.evictions, eviction{j.Changed.Add(RepeatWindow), id})
		}
	}
	slices.SortFunc(s.evictions, func(a, b eviction) int { return a.due.Compare(b.due) })
}

// WrittenChunk is a snapshot chunk and who wrote it.
type WrittenChunk struct {
	Writer string
	SnapshotChunk
}

// Chunks returns the snapshot chunks that a payload carries.
func Chunks(payload []byte) []WrittenChunk {
	var chunks []WrittenChunk
	for _, b := range batches(payload) {
		for _, e := range b.records {
			if chunk, ok := e.record.(SnapshotChunk); ok {
				chunks = append(chunks, WrittenChunk{b.writer, chunk})
			}
		}
	}
	return chunks
}

func jobStateToWire(j *JobState) *wire.JobState {
	return &wire.JobState{
		Job:              jobToWire(j.Job),
		State:            int32(j.State),
		SubmittedOffset:  j.Submitted,
		Claim:            j.Claim,
		Claimant:         j.Claimant,
		DataCentre:       j.DataCentre,
		Workers:          j.Workers,
		Attempt:          int32(j.Attempt),
		Failures:         int32(j.Failures),
		Outcome:          int32(j.Outcome),
		Reason:           j.Reason,
		ChangedUnixNanos: nanos(j.Changed),
		StartedUnixNanos: nanos(j.Started),
		CancelRequested:  j.CancelRequested,
		ProgressNanos:    int64(j.Progress),
	}
}

func jobStateFromWire(m *wire.JobState) (*JobState, error) {
	j, err := jobFromWire(m.GetJob())
	if err != nil {
		return nil, err
	}
	state := job.State(m.GetState())
	if state < job.Queued || state > job.Ended {
		return nil, fmt.Errorf("job %s: unknown state %d", j.Identity, m.GetState())
	}
	return &JobState{
		Job:             j,
		State:           state,
		Submitted:       m.GetSubmittedOffset(),
		Claim:           m.GetClaim(),
		Claimant:        m.GetClaimant(),
		DataCentre:      m.GetDataCentre(),
		Workers:         m.GetWorkers(),
		Attempt:         int(m.GetAttempt()),
		Failures:        int(m.GetFailures()),
		Outcome:         request.Outcome(m.GetOutcome()),
		Reason:          m.GetReason(),
		Changed:         fromNanos(m.GetChangedUnixNanos()),
		Started:         fromNanos(m.GetStartedUnixNanos()),
		CancelRequested: m.GetCancelRequested(),
		Progress:        time.Duration(m.GetProgressNanos()),
	}, nil
}

func requestStateToWire(r RequestState) *wire.RequestState {
	return &wire.RequestState{
		Identity:          identityToWire(r.Identity),
		Writer:            r.Writer,
		Claim:             r.Claim,
		DeadlineUnixNanos: nanos(r.Deadline),
		Outcome:           int32(r.Outcome),
		Reason:            r.Reason,
		Body:              r.Body,
		ChangedUnixNanos:  nanos(r.Changed),
	}
}

func requestStateFromWire(m *wire.RequestState) RequestState {
	return RequestState{
		Identity: identityFromWire(m.GetIdentity()),
		Writer:   m.GetWriter(),
		Claim:    m.GetClaim(),
		Deadline: fromNanos(m.GetDeadlineUnixNanos()),
		Outcome:  request.Outcome(m.GetOutcome()),
		Reason:   m.GetReason(),
		Body:     m.GetBody(),
		Changed:  fromNanos(m.GetChangedUnixNanos()),
	}
}
