package snapshot

import (
	"slices"

	"wasabihoist/internal/record/journal"
)

// sliceBytes is counted for each chunk that is expected.
const sliceBytes = 24

// parts are the chunks of a snapshot that were read so far, by index.
type parts struct {
	covers int64
	chunks [][]byte // chunks is nil for each one that is missing.
	size   int
}

func (p *parts) complete() bool {
	return !slices.ContainsFunc(p.chunks, func(chunk []byte) bool { return chunk == nil })
}

// collector puts snapshots together from chunks. A writer publishes one
// snapshot after the other, so only the newest one of each is kept.
type collector struct {
	limit   int // limit is in bytes, over all writers.
	size    int
	writers map[string]*parts
	order   []string // order has the writers by their latest start, the oldest first.
}

func newCollector(limit int) *collector {
	return &collector{limit: limit, writers: map[string]*parts{}}
}

// add takes the chunks of a payload. It returns a snapshot that has become
// complete, is intact and covers all offsets below least.
func (c *collector) add(payload []byte, least int64) []byte {
	for _, chunk := range journal.Chunks(payload) {
		if data := c.addChunk(chunk.Writer, chunk.SnapshotChunk); data != nil && chunk.Covers >= least && journal.Intact(data) {
			return data
		}
	}
	return nil
}

func (c *collector) addChunk(writer string, chunk journal.SnapshotChunk) []byte {
	if chunk.Count < 1 || chunk.Count > maxChunks || chunk.Index < 0 || chunk.Index >= chunk.Count {
		return nil
	}
	p := c.writers[writer]
	if p == nil || p.covers != chunk.Covers || len(p.chunks) != chunk.Count {
		c.drop(writer)
		p = &parts{covers: chunk.Covers, chunks: make([][]byte, chunk.Count), size: chunk.Count * sliceBytes}
		c.size += p.size
		c.writers[writer] = p
		c.order = append(c.order, writer)
	}
	c.put(p, chunk)
	for c.size > c.limit {
		c.drop(c.order[0])
	}
	if c.writers[writer] != p || !p.complete() {
		return nil
	}
	c.drop(writer)
	return slices.Concat(p.chunks...)
}

func (c *collector) put(p *parts, chunk journal.SnapshotChunk) {
	change := len(chunk.State) - len(p.chunks[chunk.Index])
	// A chunk without bytes must still count as present.
	p.chunks[chunk.Index] = append([]byte{}, chunk.State...)
	p.size += change
	c.size += change
}

func (c *collector) drop(writer string) {
	p := c.writers[writer]
	if p == nil {
		return
	}
	c.size -= p.size
	delete(c.writers, writer)
	c.order = slices.DeleteFunc(c.order, func(w string) bool { return w == writer })
}
