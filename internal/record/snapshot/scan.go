package snapshot

import (
	"context"
	"errors"
	"fmt"

	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
)

const (
	scanEntries = 500
	// maxChunks bounds the chunks of one snapshot.
	maxChunks = 1024
	// maxPlaces bounds the bytes for the places of chunks, which are those of
	// the largest snapshots of 128 writers.
	maxPlaces = 128 * maxChunks * placeBytes
	// maxSnapshot bounds the encoded bytes of one snapshot. The state takes more
	// memory, and a process has 64 MB in all.
	maxSnapshot = 32 << 20
)

// ErrNotFound is returned when the log keeps no complete snapshot whose
// following records are all kept.
var ErrNotFound = fmt.Errorf("no complete snapshot on the log: %w", journal.ErrNoSnapshot)

// Scan finds snapshots on the log. It implements journal.SnapshotSource.
type Scan struct {
	log platformlog.Log
}

// NewScan returns a scan of the log.
func NewScan(log platformlog.Log) *Scan { return &Scan{log: log} }

// Snapshot reads the log from its earliest record to the first complete
// snapshot whose following records are all kept.
func (s *Scan) Snapshot(ctx context.Context, least int64) (*journal.Restored, error) {
	from, err := s.earliest(ctx)
	if err != nil {
		return nil, err
	}
	find := &search{log: s.log, least: max(least, from), found: newCollector(maxPlaces)}
	for {
		page, err := s.log.Read(ctx, from, scanEntries, 0)
		if errors.Is(err, platformlog.ErrExpired) && page.Earliest > from {
			// Retention has passed the scan.
			from, find.least = page.Earliest, max(find.least, page.Earliest)
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("scan log for a snapshot: %w", err)
		}
		find.least = max(find.least, page.Earliest)
		for _, e := range page.Entries {
			restored, err := find.entry(ctx, e)
			if restored != nil || err != nil {
				return restored, err
			}
		}
		if page.Next <= from {
			return nil, ErrNotFound
		}
		from = page.Next
	}
}

// earliest returns the offset of the first kept record.
func (s *Scan) earliest(ctx context.Context) (int64, error) {
	page, err := s.log.Read(ctx, 0, 1, 0)
	if err != nil && !errors.Is(err, platformlog.ErrExpired) {
		return 0, fmt.Errorf("scan log for a snapshot: %w", err)
	}
	return page.Earliest, nil
}
