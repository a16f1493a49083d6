package snapshot

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/journal"
)

func chunkPayload(tb testing.TB, writer string, chunks ...*wire.SnapshotChunk) []byte {
	tb.Helper()
	message := &wire.Batch{Writer: writer}
	for _, c := range chunks {
		message.Records = append(message.Records, &wire.Record{Body: &wire.Record_Snapshot{Snapshot: c}})
	}
	payload, err := proto.Marshal(message)
	if err != nil {
		tb.Fatal(err)
	}
	return payload
}

// Guards against partial snapshots of many writers that fill the memory.
func TestPartialSnapshotsAreBounded(t *testing.T) {
	const limit = 10_000
	c := newCollector(limit)
	for i := range 1000 {
		chunk := &wire.SnapshotChunk{Covers: 5, Count: int32(2 + i%20), State: bytes.Repeat([]byte{1}, i)}
		c.add(chunkPayload(t, string(rune('a'+i)), chunk), 0)
		if c.size > limit || c.size < 0 {
			t.Fatalf("%d bytes are held, the limit is %d", c.size, limit)
		}
	}
	if len(c.writers) != len(c.order) {
		t.Fatalf("%d writers in an order of %d", len(c.writers), len(c.order))
	}
}

// Guards against chunks that stop the scan, exceed its bound or give a
// snapshot that is not intact.
func FuzzChunks(f *testing.F) {
	data, _, err := journal.New().Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	whole := &wire.SnapshotChunk{Covers: 1, Count: 1, State: data}
	f.Add(chunkPayload(f, "a@1", whole), chunkPayload(f, "b@1", whole))
	first := &wire.SnapshotChunk{Covers: 1, Count: 2, State: data[:4]}
	second := &wire.SnapshotChunk{Covers: 1, Index: 1, Count: 2, State: data[4:]}
	f.Add(chunkPayload(f, "a@1", first), chunkPayload(f, "a@1", second))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		const limit = 1 << 16
		c := newCollector(limit)
		for _, payload := range [][]byte{a, b, a} {
			if data := c.add(payload, 0); data != nil && !journal.Intact(data) {
				t.Fatal("a damaged snapshot was returned")
			}
			if c.size > limit || c.size < 0 {
				t.Fatalf("%d bytes are held", c.size)
			}
		}
	})
}
