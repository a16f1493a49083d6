package coordinator

import (
	"time"

	"wasabihoist/internal/record/ledger"
)

const (
	// minEarlyCancellationRetention is the least time for which an early cancellation
	// is kept. A write of the job may be seconds late, and its client may have retried.
	minEarlyCancellationRetention = 2 * time.Minute
	// earlyCancellationScanInterval is how often the term looks for early cancellations
	// to remove.
	earlyCancellationScanInterval = time.Second
)

// earlyCancellations tracks the early cancellations in the ledger, and the claims to IDs
// without a job.
type earlyCancellations struct {
	scannedAt time.Duration
	removeAt  map[string]time.Duration // removeAt holds by key when each of them may be removed.
}

// removeEarlyCancellations removes the early cancellations whose retention is over, and
// the claims that have had no job for as long. It counts from when this term has first
// seen them, because the clocks of the entries that have recorded them may differ.
func (t *term) removeEarlyCancellations(at time.Duration) {
	if at-t.early.scannedAt < earlyCancellationScanInterval {
		return
	}
	t.early.scannedAt = at
	former := t.early.removeAt
	t.early.removeAt = make(map[string]time.Duration)
	var records []ledger.Record
	track := func(tombstone ledger.Record, inUse bool) {
		removeAt, known := former[tombstone.Key]
		if !known {
			removeAt = at + max(t.settings().StatusRetention, minEarlyCancellationRetention) + retentionMargin
		}
		if at >= removeAt && !inUse && len(records) < maxBatchRecords {
			records = append(records, tombstone)
		}
		t.early.removeAt[tombstone.Key] = removeAt
	}
	for _, c := range t.state.EarlyCancellations() {
		track(ledger.Tombstone(ledger.EarlyCancellationKind, c.Name), t.jobs[c.Job] != nil)
	}
	for _, tombstone := range t.state.ClaimsWithoutJob() {
		track(tombstone, false)
	}
	t.removeRecords(records)
}
