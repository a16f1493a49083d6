package coordinator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/record/ledger"
)

const (
	// batchRecords and batchBytes bound one append. The store takes 2 MiB.
	batchRecords = 256
	batchBytes   = 1 << 20
	// appendTimeout bounds one try of an append.
	appendTimeout = 1500 * time.Millisecond
	// appendPause is the time between two tries.
	appendPause = 100 * time.Millisecond
	// dropMargin is added to the time for which states are kept, for clocks
	// that differ.
	dropMargin = 10 * time.Second
)

// writer appends the progress of jobs, one batch at a time.
type writer struct {
	busy     bool // busy is set while a batch is being appended.
	sequence int64
}

// flush appends all that is dirty, if no batch is on its way. The effects that
// wait for it are carried out once the batch is durable.
func (t *term) flush() {
	if t.writer.busy || len(t.dirty) == 0 && len(t.effects) == 0 {
		return
	}
	records, written := t.encodeDirty()
	effects := t.effects
	if len(t.dirty) > 0 { // The rest has to be durable before the effects.
		effects = nil
	} else {
		t.effects = nil
	}
	if len(records) == 0 {
		t.carryOut(effects, written)
		return
	}
	t.writer.busy = true
	t.writer.sequence++
	fence := ledger.Fence{Writer: writerName, Epoch: t.token, Sequence: t.writer.sequence}
	t.group.Go("append", func(ctx context.Context) error {
		start := now()
		if err := t.appendUntilDone(ctx, fence, records); err != nil {
			return err
		}
		t.do(func() {
			t.writer.busy = false
			t.confirm(start)
			t.figures.appendTime.Record(now() - start)
			t.carryOut(effects, written)
		})
		return nil
	})
}

func (t *term) carryOut(effects []func(), written []workload.ID) {
	for _, effect := range effects {
		effect()
	}
	for _, id := range written {
		if j := t.jobs[id]; j != nil {
			t.forget(j)
		}
	}
}

func (t *term) encodeDirty() (records []ledger.Record, written []workload.ID) {
	size := 0
	for _, id := range t.dirty.Sorted() {
		if len(records) == batchRecords {
			break
		}
		j := t.jobs[id]
		if j == nil {
			t.dirty.Remove(id)
			continue
		}
		record, err := ledger.EncodeProgress(j.progress)
		if err == nil && len(records) > 0 && size+len(record.Value) > batchBytes {
			break
		}
		t.dirty.Remove(id)
		if err != nil {
			_ = level.Error(t.logger).Log("event", "progress not written", "job", id, "reason", err)
			continue
		}
		size += len(record.Value)
		records = append(records, record)
		written = append(written, id)
	}
	return records, written
}

// appendUntilDone repeats an append under the same sequence number until the
// store says that it is done, or that another term has begun.
func (t *term) appendUntilDone(ctx context.Context, fence ledger.Fence, records []ledger.Record) error {
	for try := 0; ; try++ {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		err := t.store.AppendFenced(callCtx, t.topic, fence, records)
		cancel()
		var sequence *ledger.SequenceError
		switch {
		case err == nil:
			if try > 0 {
				_ = level.Info(t.logger).Log("event", "append done", "sequence", fence.Sequence, "tries", try+1)
			}
			return nil
		case errors.Is(err, ledger.ErrFenced):
			return errFenced
		case errors.As(err, &sequence) && sequence.Expected == fence.Sequence+1:
			return nil // An earlier try was done.
		case errors.As(err, &sequence):
			return fmt.Errorf("append %d: the store expects %d", fence.Sequence, sequence.Expected)
		}
		if try == 0 {
			_ = level.Warn(t.logger).Log("event", "append failed", "sequence", fence.Sequence, "records", len(records), "reason", err)
		}
		if err := group.Pause(ctx, appendPause); err != nil {
			return err
		}
	}
}

// dropEnded removes the records of jobs that ended long ago.
func (t *term) dropEnded() {
	var records []ledger.Record
	at := now()
	for len(t.ended) > 0 && t.ended[0].dropAt <= at && len(records) < batchRecords {
		id := string(t.ended[0].id)
		records = append(records, ledger.Tombstone(ledger.CancellationKind, id), ledger.Tombstone(ledger.ProgressKind, id), ledger.Tombstone(ledger.JobKind, id))
		t.finished.Remove(t.ended[0].id)
		t.ended = t.ended[1:]
	}
	t.drop(records)
}

// drop removes records that nobody needs any more. What is not removed is found
// again by the next term.
func (t *term) drop(records []ledger.Record) {
	if len(records) == 0 {
		return
	}
	t.group.Go("drop records", func(ctx context.Context) error {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		if err := t.store.Append(callCtx, t.topic, records); err != nil {
			_ = level.Warn(t.logger).Log("event", "records not dropped", "records", len(records), "reason", err)
		}
		return nil
	})
}
