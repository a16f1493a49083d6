package journal

import (
	"fmt"
	"slices"
	"time"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/fleet/job"
	"wasabihoist/internal/traffic/request"
)

// encode writes the state in a form that is the same for equal states.
func (s *state) encode() ([]byte, error) { return newCapture(s.copy()).encode() }

// decodeState reads a whole snapshot.
func decodeState(data []byte) (*state, error) {
	d := NewDecoder()
	_, _ = d.Write(data) // It returns no errors.
	restored, err := d.Restored()
	if err != nil {
		return nil, err
	}
	return restored.state, nil
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
