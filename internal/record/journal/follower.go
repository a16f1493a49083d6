package journal

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wasabihoist/internal/record/platformlog"
)

const (
	pageEntries = 500
	longPoll    = 2 * time.Second
	readBackoff = 200 * time.Millisecond
	// unsupportedBackoff is longer, because only a newer version can go on.
	unsupportedBackoff = 5 * time.Second
	// snapshotWait covers a scan of all records that the log keeps. Each read of
	// the scan and each peer has a shorter deadline of its own.
	snapshotWait = 2 * time.Minute
)

// Reader reads records from an offset on. The log and peers are readers.
type Reader interface {
	Read(ctx context.Context, from int64, limit int, wait time.Duration) (platformlog.Page, error)
}

// SnapshotSource returns a state from which reading can go on, for a process
// that has fallen behind the kept records.
type SnapshotSource interface {
	// Snapshot returns a state whose first offset that is not folded is least
	// or above.
	Snapshot(ctx context.Context, least int64) (*Restored, error)
}

// ErrNoSnapshot is returned by sources whose state does not reach far enough.
var ErrNoSnapshot = errors.New("no snapshot that reaches far enough")

// Follower keeps a journal up to date.
type Follower struct {
	journal   *Journal
	reader    Reader
	snapshots SnapshotSource
}

// NewFollower returns a follower that reads from reader and takes snapshots
// from snapshots when records have expired.
func NewFollower(j *Journal, reader Reader, snapshots SnapshotSource) *Follower {
	return &Follower{journal: j, reader: reader, snapshots: snapshots}
}

// String names the controller.
func (f *Follower) String() string { return "journal follower" }

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			continue
		}
		backoff := readBackoff
		if errors.Is(err, ErrUnsupported) {
			backoff = unsupportedBackoff
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
	}
	return nil
}

func (f *Follower) step(ctx context.Context) error {
	from := f.journal.Next()
	page, err := f.reader.Read(ctx, from, pageEntries, longPoll)
	if errors.Is(err, platformlog.ErrExpired) {
		return f.restore(ctx, max(from+1, page.Earliest))
	}
	if err != nil {
		return err
	}
	return f.journal.Apply(from, page)
}

func (f *Follower) restore(ctx context.Context, least int64) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotWait)
	defer cancel()
	restored, err := f.snapshots.Snapshot(ctx, least)
	if err != nil {
		return fmt.Errorf("fetch snapshot: %w", err)
	}
	return f.journal.Adopt(restored)
}
