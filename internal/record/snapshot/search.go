package snapshot

import (
	"context"
	"errors"
	"fmt"

	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
)

// search restores the first intact snapshot among the chunks that it is given.
// A snapshot whose chunks pass in order, without another one that starts
// between them, is decoded meanwhile. Any other one is read again when all of
// its chunks are known, so no more than one snapshot is decoded at a time.
type search struct {
	log     platformlog.Log
	least   int64 // least is the first offset that a snapshot need not cover.
	found   *collector
	current *candidate // current is nil for none.
}

// entry takes the chunks of an entry. It returns a state that has become
// complete, is intact and covers all offsets below least.
func (s *search) entry(ctx context.Context, e platformlog.Entry) (*journal.Restored, error) {
	for _, chunk := range journal.Chunks(e.Payload) {
		restored, err := s.chunk(ctx, e.Offset, chunk)
		if restored != nil || err != nil {
			return restored, err
		}
	}
	return nil, nil
}

func (s *search) chunk(ctx context.Context, offset int64, chunk journal.WrittenChunk) (*journal.Restored, error) {
	s.decode(chunk)
	known := s.found.add(offset, chunk.Writer, chunk.SnapshotChunk)
	if known == nil || chunk.Covers < s.least {
		return nil, nil
	}
	c := s.current
	if !c.owns(chunk.Writer, chunk.SnapshotChunk) || !c.complete() {
		s.current = nil
		var err error
		if c, err = s.readAgain(ctx, known, chunk); c == nil || err != nil {
			return nil, err
		}
	}
	s.current = nil
	restored, err := c.decoder.Restored()
	if errors.Is(err, journal.ErrDamaged) {
		return nil, nil
	}
	return restored, err
}

// decode passes a chunk to the current candidate, or starts a new one.
func (s *search) decode(chunk journal.WrittenChunk) {
	if chunk.Index == 0 && chunk.Count <= maxChunks && chunk.Covers >= s.least {
		s.current = newCandidate(chunk.Writer, chunk.SnapshotChunk)
	}
	if s.current.owns(chunk.Writer, chunk.SnapshotChunk) && !s.current.take(chunk.SnapshotChunk) {
		s.current = nil
	}
}

// readAgain decodes a snapshot from the places of its chunks. It returns nil
// when the log no longer has them.
func (s *search) readAgain(ctx context.Context, known places, like journal.WrittenChunk) (*candidate, error) {
	c := newCandidate(like.Writer, like.SnapshotChunk)
	for _, offset := range known {
		page, err := s.log.Read(ctx, offset, 1, 0)
		if errors.Is(err, platformlog.ErrExpired) {
			return nil, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read snapshot chunk at %d: %w", offset, err)
		}
		if !takeFrom(c, page) {
			return nil, nil
		}
	}
	return c, nil
}

// takeFrom passes the expected chunk of a page to the candidate. The last one
// counts when an entry has several with the same index.
func takeFrom(c *candidate, page platformlog.Page) bool {
	var last *journal.SnapshotChunk
	for _, e := range page.Entries {
		for _, chunk := range journal.Chunks(e.Payload) {
			if c.owns(chunk.Writer, chunk.SnapshotChunk) && chunk.Index == c.next {
				last = &chunk.SnapshotChunk
			}
		}
	}
	return last != nil && c.take(*last)
}
