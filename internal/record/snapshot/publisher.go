// Package snapshot writes snapshots of the folded state to the log and finds
// them there, so that the state outlives the log's retention.
package snapshot

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"wasabihoist/internal/record/journal"
)

// HeldChunks bounds the memory for the chunks of a snapshot that is written or
// restored, as a number of chunks. What comes on top is 8 bytes for each job and
// claim, the page of the log that is read, and the restored state itself.
const HeldChunks = 4

// Options say how often snapshots are written.
type Options struct {
	Records   int64         // Records folded since the last snapshot that make a new one due.
	Interval  time.Duration // Interval after which a new one is due when anything was folded.
	Check     time.Duration // Check is the time between two looks at the journal.
	ChunkSize int           // ChunkSize is in bytes and below the record limit of the log.
	Pause     time.Duration // Pause between two chunks, so that other records pass on the region link.
}

// Default returns options for a log that keeps at least 40,000 records and at
// least four hours, so that a quarter of what is kept passes between two
// snapshots.
func Default() Options {
	// 200 KiB each 250 ms are 1.1 MB/s on the region link with the encoding of
	// the log's answers, less than a third of the link.
	const pause = 250 * time.Millisecond
	return Options{Records: 10_000, Interval: time.Hour, Check: time.Second, ChunkSize: 200 << 10, Pause: pause}
}

// Publisher writes snapshots while this process holds the snapshot duty.
type Publisher struct {
	options Options
	journal *journal.Journal
	writer  *journal.Writer
	held    func() bool

	lastCovered atomic.Int64 // lastCovered is the offset up to which the last known snapshot covers the log.
	lastWritten time.Time    // lastWritten is when this process wrote or first looked.
}

// NewPublisher returns a publisher that acts while held reports true.
func NewPublisher(options Options, j *journal.Journal, w *journal.Writer, held func() bool) *Publisher {
	p := &Publisher{options: options, journal: j, writer: w, held: held}
	j.Observe(p.observe)
	return p
}

// observe learns of snapshots that other processes write.
func (p *Publisher) observe(_ string, _ uint64, record journal.Record, _ journal.Verdict) {
	if c, ok := record.(journal.SnapshotChunk); ok && c.Index == c.Count-1 {
		p.lastCovered.Store(max(p.lastCovered.Load(), c.Covers))
	}
}

// String names the controller.
func (p *Publisher) String() string { return "snapshot publisher" }

// Run looks at the journal until ctx ends.
func (p *Publisher) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.options.Check)
	defer ticker.Stop()
	p.lastWritten = time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if p.held() && p.due() {
			// A failed snapshot is tried again at the next check.
			_ = p.publish(ctx)
		}
	}
}

func (p *Publisher) due() bool {
	folded := p.journal.Next() - p.lastCovered.Load()
	return folded > p.options.Records || (folded > 1 && time.Since(p.lastWritten) > p.options.Interval)
}

func (p *Publisher) publish(ctx context.Context) error {
	for chunk, err := range p.journal.Capture().Chunks(p.options.ChunkSize) {
		if err != nil {
			return err
		}
		if _, err := p.writer.Append(ctx, chunk); err != nil {
			return fmt.Errorf("append snapshot chunk %d of %d: %w", chunk.Index+1, chunk.Count, err)
		}
		if err := pause(ctx, p.options.Pause); err != nil {
			return err
		}
	}
	p.lastWritten = time.Now()
	return nil
}

// pause waits for d unless ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("publish snapshot: %w", ctx.Err())
	}
}
