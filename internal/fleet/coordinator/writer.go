package coordinator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
)

const (
	// maxBatchRecords and maxBatchBytes bound one append. The store accepts up
	// to 2 MiB.
	maxBatchRecords = 256
	maxBatchBytes   = 1 << 20
	// appendTimeout bounds one try of an append.
	appendTimeout = 1500 * time.Millisecond
	// appendRetryDelay is the delay between two tries.
	appendRetryDelay = 100 * time.Millisecond
	// startRecordDelay is how long the record of the first start of a job waits for
	// another change of its progress, so that short jobs need no record more.
	startRecordDelay = 500 * time.Millisecond
	// withdrawalRetryDelay is how long a job is not placed again after placements
	// were withdrawn. Some of its tasks have to end first.
	withdrawalRetryDelay = time.Second
	// retentionMargin is added to the retention of job states, to allow for
	// clock differences.
	retentionMargin = 10 * time.Second
)

// writer is the state of the appends of job progress, which are made one batch
// at a time.
type writer struct {
	busy     bool  // busy is set while a batch is being appended.
	sequence int64 // sequence is the number of the last append in this term.
}

// flush appends the progress of all dirty jobs, unless a batch is in flight.
// Effects that depend on it run once it is durable.
func (t *term) flush() {
	at := now()
	if !t.writer.busy {
		t.requestConfirmation(at)
	}
	due := t.leases.dueAt != 0 && at >= t.leases.dueAt
	if t.writer.busy || len(t.dirty) == 0 && len(t.effects) == 0 && len(t.outlooks.records) == 0 && !due {
		return
	}
	records, written := t.encodeDirty()
	effects := t.effects
	if len(t.dirty) > 0 { // The remaining dirty jobs have to be durable before the effects.
		effects = nil
	} else {
		t.effects = nil
	}
	records = append(records, t.outlooks.take()...)
	withLeases := due || len(records) > 0 && t.leases.dueAt != 0
	var removed []*hostState
	if withLeases {
		var record ledger.Record
		record, removed = t.takeLeases(at)
		records = append(records, record)
	}
	if len(records) == 0 {
		t.runEffects(effects, written)
		return
	}
	t.writer.busy = true
	t.writer.sequence++
	fence := ledger.Fence{Writer: writerName, Epoch: t.token, Sequence: t.writer.sequence}
	t.group.Go("append", func(ctx context.Context) error {
		start := now()
		if err := t.appendWithRetry(ctx, fence, records); err != nil {
			return err
		}
		t.post(func() {
			t.writer.busy = false
			t.confirm(start)
			if withLeases {
				t.recordedLeases(removed, start)
			}
			t.metrics.appendTime.Record(now() - start)
			t.runEffects(effects, written)
		})
		return nil
	})
}

// runEffects runs the effects of durable progress, and removes the written jobs
// that have ended.
func (t *term) runEffects(effects []func(), written []workload.ID) {
	for _, effect := range effects {
		effect()
	}
	for _, id := range written {
		if j := t.jobs[id]; j != nil {
			t.forgetJob(j)
		}
	}
}

// encodeDirty takes as many jobs from dirty as fit in a batch. It returns their
// records and their ids.
func (t *term) encodeDirty() (records []ledger.Record, written []workload.ID) {
	size := 0
	for _, id := range t.dirty.Sorted() {
		if len(records) == maxBatchRecords {
			break
		}
		j := t.jobs[id]
		if j == nil {
			t.dirty.Remove(id)
			continue
		}
		record, err := t.encodeProgress(j)
		if err != nil { // The job stays dirty, so that no effect runs.
			_ = level.Error(t.logger).Log("event", "encoding progress failed", "job", id, "reason", err)
			continue
		}
		if len(records) > 0 && size+len(record.Value) > maxBatchBytes {
			break
		}
		t.dirty.Remove(id)
		j.startNoticedAt = 0
		size += len(record.Value)
		records = append(records, record)
		written = append(written, id)
	}
	return records, written
}

// encodeProgress returns the record of the progress of a job. If that is too
// large, it first withdraws placements that wait for it to be durable. Without
// them, the progress hardly grows: an end takes less room than a placement. If
// it is too large even so, the job fails, because the effects of its progress
// would hold up those of all jobs.
func (t *term) encodeProgress(j *jobState) (ledger.Record, error) {
	j.progress.Uncertain = !j.progress.State.Ended() && t.mayHaveUnknownRuns(j, now())
	record, err := ledger.EncodeProgress(j.progress)
	for err != nil && t.withdrawPlacements(j) {
		_ = level.Warn(t.logger).Log("event", "placements withdrawn", "job", j.job.ID, "reason", err)
		record, err = ledger.EncodeProgress(j.progress)
	}
	if err == nil {
		return record, nil
	}
	if !j.progress.State.Ended() {
		_ = level.Error(t.logger).Log("event", "job failed", "job", j.job.ID, "reason", err)
		j.progress.State = workload.Failed
		t.recordChange(j)
	}
	return ledger.EncodeProgress(&workload.Progress{Job: j.job.ID, State: j.progress.State})
}

// withdrawPlacements undoes half of the proposed placements of a job, the latest
// ones. It reports false if there are none. No start of them was sent, so their
// run numbers are free again.
func (t *term) withdrawPlacements(j *jobState) bool {
	var proposals []*attempt
	for _, a := range t.attempts {
		if a.job == j && a.runs[0].phase == proposed {
			proposals = append(proposals, a)
		}
	}
	slices.SortFunc(proposals, func(a, b *attempt) int { return b.id - a.id })
	for _, a := range proposals[:(len(proposals)+1)/2] {
		for _, r := range slices.Clone(a.runs) {
			t.requeueRun(r, "")
			j.progress.Steps[a.step].Tasks[r.task.Index].Run = r.number - 1
		}
	}
	j.retryAt = now() + withdrawalRetryDelay
	return len(proposals) > 0
}

// recordStart notes that a task of a job has started, if the job is known.
func (t *term) recordStart(id workload.ID) {
	if j := t.jobs[id]; j != nil && j.progress.MarkStarted() {
		j.startNoticedAt = now()
	}
}

// writeStarts marks the jobs as dirty that have been running for startRecordDelay
// although the ledger shows them as pending.
func (t *term) writeStarts() {
	at := now()
	for id, j := range t.jobs {
		if j.startNoticedAt != 0 && at >= j.startNoticedAt+startRecordDelay {
			t.dirty.Add(id)
		}
	}
}

// appendWithRetry retries an append under the same sequence number until the
// store confirms it or another term has begun.
func (t *term) appendWithRetry(ctx context.Context, fence ledger.Fence, records []ledger.Record) error {
	for retries := 0; ; retries++ {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		err := t.store.AppendFenced(callCtx, t.topic, fence, records)
		cancel()
		var sequence *ledger.SequenceError
		switch {
		case err == nil:
			if retries > 0 {
				_ = level.Info(t.logger).Log("event", "append done", "sequence", fence.Sequence, "tries", retries+1)
			}
			return nil
		case errors.Is(err, ledger.ErrFenced):
			return errFenced
		case errors.As(err, &sequence) && sequence.Expected == fence.Sequence+1:
			return nil // An earlier try succeeded.
		case errors.As(err, &sequence):
			return fmt.Errorf("append %d: the store expects %d", fence.Sequence, sequence.Expected)
		}
		if retries == 0 {
			_ = level.Warn(t.logger).Log("event", "append failed", "sequence", fence.Sequence, "records", len(records), "reason", err)
		}
		if err := group.Pause(ctx, appendRetryDelay); err != nil {
			return err
		}
	}
}

// removeEndedJobs removes the records of ended jobs whose retention is over.
func (t *term) removeEndedJobs() {
	var records []ledger.Record
	at := now()
	for len(t.endedJobs) > 0 && t.endedJobs[0].removeAt <= at && len(records) < maxBatchRecords {
		ended := t.endedJobs[0].id
		t.endedIDs.Remove(ended)
		t.endedJobs = t.endedJobs[1:]
		if e, ok := t.state.Job(ended); t.jobs[ended] != nil || ok && !e.State().Ended() {
			continue // A former term has removed the records, and another job uses the ID.
		}
		id := string(ended)
		records = append(records, ledger.Tombstone(ledger.CancellationKind, id), ledger.Tombstone(ledger.ProgressKind, id), ledger.Tombstone(ledger.JobKind, id))
		for _, claim := range t.state.Claims(ended) {
			records = append(records, ledger.Tombstone(ledger.ClaimKind, claim))
		}
	}
	t.removeRecords(records)
}

// removeRecords removes records that are no longer needed. After an error, the
// next term finds them again.
func (t *term) removeRecords(records []ledger.Record) {
	if len(records) == 0 {
		return
	}
	t.group.Go("drop records", func(ctx context.Context) error {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		if err := t.store.Append(callCtx, t.topic, records); err != nil {
			_ = level.Warn(t.logger).Log("event", "removing records failed", "records", len(records), "reason", err)
		}
		return nil
	})
}
