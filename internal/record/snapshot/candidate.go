package snapshot

import "wasabihoist/internal/record/journal"

// candidate is a snapshot that is decoded while its chunks pass in order.
type candidate struct {
	writer  string
	covers  int64
	count   int
	next    int // next is the index of the chunk that is expected.
	size    int
	decoder *journal.Decoder
}

func newCandidate(writer string, chunk journal.SnapshotChunk) *candidate {
	return &candidate{writer: writer, covers: chunk.Covers, count: chunk.Count, decoder: journal.NewDecoder()}
}

// owns reports whether a chunk belongs to the snapshot.
func (c *candidate) owns(writer string, chunk journal.SnapshotChunk) bool {
	return c != nil && writer == c.writer && chunk.Covers == c.covers && chunk.Count == c.count
}

// take decodes the expected chunk. It returns false when another chunk comes,
// or when the snapshot is too large.
func (c *candidate) take(chunk journal.SnapshotChunk) bool {
	c.size += len(chunk.State)
	if chunk.Index != c.next || c.size > maxSnapshot {
		return false
	}
	c.next++
	_, _ = c.decoder.Write(chunk.State) // It returns no errors.
	return true
}

func (c *candidate) complete() bool { return c.next == c.count }
