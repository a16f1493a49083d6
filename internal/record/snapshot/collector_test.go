package snapshot

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"wasabihoist/internal/base/propertytest"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
)

// The property tests run the same cases each time unless flags say otherwise.
func TestMain(m *testing.M) { propertytest.Main(m, 300) }

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
	const limit = 1_000
	c := newCollector(limit)
	for i := range 1000 {
		chunk := journal.SnapshotChunk{Covers: 5, Count: 2 + i%200, State: bytes.Repeat([]byte{1}, i)}
		c.add(1, string(rune('a'+i)), chunk)
		if c.size > limit || c.size < 0 {
			t.Fatalf("%d bytes are held, the limit is %d", c.size, limit)
		}
	}
	if len(c.writers) != len(c.order) {
		t.Fatalf("%d writers in an order of %d", len(c.writers), len(c.order))
	}
}

// payloadLog is a log whose first payload has offset 1.
type payloadLog [][]byte

func (payloadLog) Append(context.Context, []byte) (int64, error) {
	return 0, errors.New("the log takes no records")
}

func (l payloadLog) Read(_ context.Context, from int64, limit int, _ time.Duration) (platformlog.Page, error) {
	if from < 1 {
		return platformlog.Page{Earliest: 1}, platformlog.ErrExpired
	}
	page := platformlog.Page{Next: from, Earliest: 1}
	for ; page.Next <= int64(len(l)) && len(page.Entries) < limit; page.Next++ {
		page.Entries = append(page.Entries, platformlog.Entry{Offset: page.Next, Payload: l[page.Next-1]})
	}
	return page, nil
}

// firstIntact is a naive search that keeps the bytes of all chunks.
func firstIntact(log payloadLog) []byte {
	held := map[string]map[int][]byte{}
	latest := map[string][2]int64{}
	for _, payload := range log {
		for _, c := range journal.Chunks(payload) {
			if c.Count < 1 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count {
				continue
			}
			if key := [2]int64{c.Covers, int64(c.Count)}; latest[c.Writer] != key {
				held[c.Writer], latest[c.Writer] = map[int][]byte{}, key
			}
			held[c.Writer][c.Index] = c.State
			if len(held[c.Writer]) < c.Count {
				continue
			}
			var data []byte
			for i := range c.Count {
				data = append(data, held[c.Writer][i]...)
			}
			delete(latest, c.Writer)
			if journal.New().Restore(data) == nil && c.Covers >= 1 {
				return data
			}
		}
	}
	return nil
}

// encodedStates are whole snapshots of a journal that has folded 1, 2 and so on
// records.
func encodedStates(tb testing.TB, count int) [][]byte {
	tb.Helper()
	j := journal.New()
	var states [][]byte
	for i := range int64(count) {
		payload, err := journal.Encode("a@1", uint64(i+1), time.Unix(i, 0), journal.Audit{Actor: "operator", Action: "edit"})
		if err != nil {
			tb.Fatal(err)
		}
		page := platformlog.Page{Entries: []platformlog.Entry{{Offset: i + 1, Payload: payload}}, Next: i + 2}
		if err := j.Apply(i+1, page); err != nil {
			tb.Fatal(err)
		}
		data, _, err := j.Snapshot()
		if err != nil {
			tb.Fatal(err)
		}
		states = append(states, data)
	}
	return states
}

// Guards against a snapshot that is cut off, damaged, or mixed with the chunks
// of another writer being used, or hiding an intact one.
func TestFirstIntactSnapshotIsFound(t *testing.T) {
	states := encodedStates(t, 3)
	found, passed := 0, 0
	rapid.Check(t, func(r *rapid.T) {
		log := drawLog(t, r, states)
		want := firstIntact(log)
		restored, err := NewScan(log).Snapshot(context.Background(), 1)
		if want == nil {
			passed++
			if !errors.Is(err, ErrNotFound) {
				r.Fatalf("got %v, want nothing found", err)
			}
			return
		}
		found++
		j := journal.New()
		if err != nil || j.Adopt(restored) != nil {
			r.Fatalf("the intact snapshot was not found: %v", err)
		}
		if got, _, _ := j.Snapshot(); !bytes.Equal(got, want) {
			r.Fatalf("got the state up to %d, not the first intact one", j.Next())
		}
	})
	if found == 0 || passed == 0 {
		t.Fatalf("%d logs with and %d without an intact snapshot", found, passed)
	}
}

// drawLog draws the chunks of several snapshots, some of them damaged, moved or
// missing, in an order that mixes the writers.
func drawLog(tb testing.TB, r *rapid.T, states [][]byte) payloadLog {
	queues := map[string][][]byte{}
	for range rapid.IntRange(1, 4).Draw(r, "snapshots") {
		writer := rapid.SampledFrom([]string{"a@1", "b@1"}).Draw(r, "writer")
		version := rapid.IntRange(0, len(states)-1).Draw(r, "state")
		size := rapid.IntRange(20, 100).Draw(r, "chunk size")
		pieces := slices.Collect(slices.Chunk(states[version], size))
		queue := queues[writer]
		for i, piece := range pieces {
			piece = slices.Clone(piece)
			switch rapid.IntRange(0, 40).Draw(r, "damage") {
			case 0:
				continue
			case 1:
				piece[0] ^= 1
			case 2:
				piece = piece[1:]
			}
			chunk := &wire.SnapshotChunk{Covers: int64(version + 2), Index: int32(i), Count: int32(len(pieces)), State: piece}
			at := len(queue)
			if rapid.IntRange(0, 20).Draw(r, "moved") == 0 {
				at = rapid.IntRange(0, at).Draw(r, "place")
			}
			queue = slices.Insert(queue, at, chunkPayload(tb, writer, chunk))
		}
		queues[writer] = queue
	}
	var log payloadLog
	for a, b := queues["a@1"], queues["b@1"]; len(a)+len(b) > 0; {
		if len(b) == 0 || len(a) > 0 && rapid.Bool().Draw(r, "first writer") {
			log, a = append(log, a[0]), a[1:]
		} else {
			log, b = append(log, b[0]), b[1:]
		}
	}
	return log
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
		log := payloadLog{a, b, a}
		find := search{log: log, least: 1, found: newCollector(limit)}
		for i, payload := range log {
			restored, _ := find.entry(context.Background(), platformlog.Entry{Offset: int64(i + 1), Payload: payload})
			if restored != nil && firstIntact(log[:i+1]) == nil {
				t.Fatal("a damaged snapshot was returned")
			}
			if find.found.size > limit || find.found.size < 0 {
				t.Fatalf("%d bytes are held", find.found.size)
			}
		}
	})
}
