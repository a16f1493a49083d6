package snapshot

import (
	"context"
	"errors"
	"fmt"

	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
)

const (
	scanEntries = 200
	// maxChunks bounds the memory for the chunks of one snapshot.
	maxChunks = 1024
)

// ErrNotFound is returned when the log keeps no complete snapshot whose
// following records are all kept.
var ErrNotFound = errors.New("no complete snapshot on the log")

// Scan finds snapshots on the log. It implements journal.SnapshotSource.
type Scan struct {
	log platformlog.Log
}

// NewScan returns a scan of the log.
func NewScan(log platformlog.Log) *Scan { return &Scan{log: log} }

// key names one snapshot.
type key struct {
	writer string
	covers int64
}

// parts are the chunks of a snapshot that were read so far, by index.
type parts struct {
	count  int
	chunks map[int][]byte
}

// Snapshot reads the log from its earliest record to its end and returns the
// last complete snapshot.
func (s *Scan) Snapshot(ctx context.Context) ([]byte, error) {
	from, err := s.earliest(ctx)
	if err != nil {
		return nil, err
	}
	found := map[key]*parts{}
	var newest []byte
	var earliest int64
	for {
		page, err := s.log.Read(ctx, from, scanEntries, 0)
		if err != nil {
			return nil, fmt.Errorf("scan log for a snapshot: %w", err)
		}
		earliest = page.Earliest
		for _, e := range page.Entries {
			writer, chunks := journal.Chunks(e.Payload)
			for _, c := range chunks {
				if data := add(found, writer, c); data != nil && c.Covers >= earliest {
					newest = data
				}
			}
		}
		if len(page.Entries) == 0 {
			break
		}
		from = page.Next
	}
	if newest == nil {
		return nil, ErrNotFound
	}
	return newest, nil
}

// earliest returns the offset of the first kept record.
func (s *Scan) earliest(ctx context.Context) (int64, error) {
	page, err := s.log.Read(ctx, 0, 1, 0)
	if err != nil && !errors.Is(err, platformlog.ErrExpired) {
		return 0, fmt.Errorf("scan log for a snapshot: %w", err)
	}
	return page.Earliest, nil
}

// add keeps a chunk and returns the snapshot when it is complete.
func add(found map[key]*parts, writer string, c journal.SnapshotChunk) []byte {
	if c.Count < 1 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count {
		return nil
	}
	k := key{writer, c.Covers}
	p := found[k]
	if p == nil {
		p = &parts{count: c.Count, chunks: map[int][]byte{}}
		found[k] = p
	}
	p.chunks[c.Index] = c.State
	if len(p.chunks) < p.count {
		return nil
	}
	delete(found, k)
	var data []byte
	for i := range p.count {
		data = append(data, p.chunks[i]...)
	}
	return data
}
