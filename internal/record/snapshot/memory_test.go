package snapshot

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/traffic/request"
)

// heapLog notes the live heap at each read, and gives few entries at a time.
type heapLog struct {
	payloadLog
	most uint64
}

func (l *heapLog) Read(ctx context.Context, from int64, limit int, wait time.Duration) (platformlog.Page, error) {
	l.most = max(l.most, liveHeap())
	return l.payloadLog.Read(ctx, from, min(limit, 2), wait)
}

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against memory for writing a snapshot that grows with the state, and
// not with its chunks.
func TestMemoryForWritingIsBounded(t *testing.T) {
	const claims, chunkSize, pointer = 60_000, 200 << 10, 8
	const bound = HeldChunks*chunkSize + claims*pointer
	j := claimedJournal(t, claims)
	before, most, size := liveHeap(), uint64(0), 0
	for chunk, err := range j.Capture().Chunks(chunkSize) {
		if err != nil {
			t.Fatal(err)
		}
		most = max(most, liveHeap())
		size += len(chunk.State)
	}
	if size < 4*bound {
		t.Fatalf("a snapshot of %d bytes shows nothing", size)
	}
	if most > before+bound {
		t.Errorf("%d bytes for writing a snapshot of %d, the bound is %d", most-before, size, bound)
	}
	runtime.KeepAlive(j)
}

// Guards against memory for restoring a snapshot that grows with its chunks.
// The state itself stays small, because all writers have the same name.
func TestMemoryForRestoringIsBounded(t *testing.T) {
	const copies, chunkSize = 40_000, 100 << 10
	const bound = HeldChunks * chunkSize
	one, err := proto.Marshal(&wire.State{Writers: []*wire.WriterState{{Writer: strings.Repeat("a", 100)}}})
	if err != nil {
		t.Fatal(err)
	}
	data := bytes.Repeat(one, copies)
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(data))
	count := (len(data) + chunkSize - 1) / chunkSize
	var log payloadLog
	for i := range count {
		part := data[i*chunkSize : min(len(data), (i+1)*chunkSize)]
		log = append(log, chunkPayload(t, "a@1", &wire.SnapshotChunk{Covers: 1, Index: int32(i), Count: int32(count), State: part}))
	}
	if len(data) < 4*bound {
		t.Fatalf("a snapshot of %d bytes shows nothing", len(data))
	}
	for name, order := range map[string]payloadLog{"in order": log, "read again": slices.Concat(log[1:], log[:1])} {
		source := &heapLog{payloadLog: order}
		before := liveHeap()
		if _, err := NewScan(source).Snapshot(t.Context(), 1); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if source.most > before+bound {
			t.Errorf("%s: %d bytes for restoring a snapshot of %d, the bound is %d", name, source.most-before, len(data), bound)
		}
	}
	runtime.KeepAlive(data)
	runtime.KeepAlive(log)
}

// claimedJournal has a number of claims with answers.
func claimedJournal(t *testing.T, claims int) *journal.Journal {
	t.Helper()
	j := journal.New()
	for from := 0; from < claims; from += 1000 {
		var records []journal.Record
		for i := range 1000 {
			id := request.Identity{Organisation: "serido", ID: fmt.Sprint("tally-", from+i)}
			records = append(records, journal.RequestClaimed{Identity: id}, journal.RequestFinished{Identity: id, Outcome: request.Done, Body: make([]byte, 80)})
		}
		payload, err := journal.Encode("a@1", uint64(2*from+1), time.Unix(1, 0), records...)
		if err != nil {
			t.Fatal(err)
		}
		next := j.Next()
		if err := j.Apply(next, platformlog.Page{Entries: []platformlog.Entry{{Offset: next, Payload: payload}}, Next: next + 1}); err != nil {
			t.Fatal(err)
		}
	}
	return j
}
