package snapshot_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/record/snapshot"
	"wasabihoist/internal/standin/logservice"
)

// Guards against the chunks of a large snapshot following one another so fast
// that they fill the region link and delay other records.
func TestChunksArePaced(t *testing.T) {
	c := qt.New(t)
	const chunkSize, stateBytes, pace = 1000, 5000, 60 * time.Millisecond
	server := httptest.NewServer(logservice.New(logservice.DefaultLimits()).Handler())
	defer server.Close()
	log := platformlog.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), nil)
	writerOptions := journal.DefaultWriterOptions()
	writerOptions.Spacing = time.Millisecond
	j := journal.New()
	w := journal.NewWriter("a@1", log, j, writerOptions)
	var mu sync.Mutex
	var chunks []time.Time
	done := make(chan struct{})
	j.Observe(func(_ string, _ uint64, r journal.Record, _ journal.Verdict) {
		chunk, ok := r.(journal.SnapshotChunk)
		if !ok || chunk.Covers != 2 {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		chunks = append(chunks, time.Now())
		if chunk.Index == chunk.Count-1 {
			close(done)
		}
	})
	g := group.New(context.Background())
	g.Go("writer", w.Run)
	g.Go("follower", journal.NewFollower(j, log, nil).Run)
	_, err := w.Append(t.Context(), journal.Audit{Actor: strings.Repeat("a", stateBytes)})
	c.Assert(err, qt.IsNil)
	options := snapshot.Options{Records: 1, Interval: time.Hour, Check: 5 * time.Millisecond, ChunkSize: chunkSize, Pause: pace}
	g.Go("publisher", snapshot.NewPublisher(options, j, w, func() bool { return true }).Run)
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		c.Fatal("no snapshot was written")
	}
	g.Stop()
	c.Assert(g.Wait(), qt.IsNil)
	mu.Lock()
	defer mu.Unlock()
	c.Assert(len(chunks) > stateBytes/chunkSize, qt.IsTrue)
	took := chunks[len(chunks)-1].Sub(chunks[0])
	c.Assert(took >= time.Duration(len(chunks)-2)*pace, qt.IsTrue, qt.Commentf("%d chunks in %v", len(chunks), took))
}
