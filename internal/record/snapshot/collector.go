package snapshot

import (
	"slices"

	"wasabihoist/internal/record/journal"
)

// placeBytes is counted for the place of each chunk that is expected.
const placeBytes = 8

// places are the offsets of the chunks of a snapshot, by index. An offset is 0
// for each chunk that is missing.
type places []int64

func (p places) complete() bool { return !slices.Contains(p, 0) }

// parts are the chunks of a snapshot that were read so far.
type parts struct {
	covers int64
	places places
}

// collector finds the chunks of snapshots. A writer publishes one snapshot
// after the other, so only the newest one of each is kept. The chunks themselves
// stay on the log.
type collector struct {
	limit   int // limit is in bytes, over all writers.
	size    int
	writers map[string]*parts
	order   []string // order has the writers by their latest start, the oldest first.
}

func newCollector(limit int) *collector {
	return &collector{limit: limit, writers: map[string]*parts{}}
}

// add notes the place of a chunk. It returns the places of the snapshot when
// that has become complete.
func (c *collector) add(offset int64, writer string, chunk journal.SnapshotChunk) places {
	if chunk.Count < 1 || chunk.Count > maxChunks || chunk.Index < 0 || chunk.Index >= chunk.Count {
		return nil
	}
	p := c.writers[writer]
	if p == nil || p.covers != chunk.Covers || len(p.places) != chunk.Count {
		c.drop(writer)
		p = &parts{covers: chunk.Covers, places: make(places, chunk.Count)}
		c.size += len(p.places) * placeBytes
		c.writers[writer] = p
		c.order = append(c.order, writer)
	}
	p.places[chunk.Index] = offset
	for c.size > c.limit {
		c.drop(c.order[0])
	}
	if c.writers[writer] != p || !p.places.complete() {
		return nil
	}
	c.drop(writer)
	return p.places
}

func (c *collector) drop(writer string) {
	p := c.writers[writer]
	if p == nil {
		return
	}
	c.size -= len(p.places) * placeBytes
	delete(c.writers, writer)
	c.order = slices.DeleteFunc(c.order, func(w string) bool { return w == writer })
}
