package journal

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/platformlog"
	"wasabihoist/internal/traffic/request"
)

// Guards against a snapshot that changes while it is encoded because the fold
// goes on, and against parts or chunks that differ from one message.
func TestCopyStaysAsItWas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGenerator(t)
		for range rapid.IntRange(1, 30).Draw(t, "before") {
			g.next()
		}
		want, err := g.state.encode()
		noError(t, err)
		copied := newCapture(g.state.copy())
		for range rapid.IntRange(1, 30).Draw(t, "after") {
			g.next()
		}
		got, err := copied.encode()
		noError(t, err)
		same(t, "encoded copy", got, want)
		size := rapid.IntRange(1, len(want)+1).Draw(t, "chunk size")
		var joined []byte
		count := 0
		for chunk, err := range copied.Chunks(size) {
			noError(t, err)
			if chunk.Index != count || chunk.Count != (len(want)+size-1)/size || len(chunk.State) > size || chunk.Covers != copied.Covers() {
				t.Fatalf("chunk %d is %d of %d with %d bytes", count, chunk.Index, chunk.Count, len(chunk.State))
			}
			joined = append(joined, chunk.State...)
			count++
		}
		same(t, "joined chunks", joined, want)
		var m wire.State
		noError(t, proto.Unmarshal(want[:len(want)-checksumBytes], &m))
		whole, err := proto.MarshalOptions{Deterministic: true}.Marshal(&m)
		noError(t, err)
		same(t, "parts", want[:len(want)-checksumBytes], whole)
	})
}

// claimsPage has claims and their answers.
func claimsPage(c *qt.C, from int64, first, count int) platformlog.Page {
	c.Helper()
	var claimed, finished []Record
	for i := range count {
		id := request.Identity{Organisation: "serido", ID: fmt.Sprint("tally-", first+i)}
		claimed = append(claimed, RequestClaimed{Identity: id})
		finished = append(finished, RequestFinished{Identity: id, Outcome: request.Done, Body: make([]byte, 50)})
	}
	writer := fmt.Sprintf("writer@%d", first)
	page := platformlog.Page{Next: from + 2}
	for i, records := range [][]Record{claimed, finished} {
		payload, err := Encode(writer, uint64(i*count+1), start, records...)
		c.Assert(err, qt.IsNil)
		page.Entries = append(page.Entries, platformlog.Entry{Offset: from + int64(i), Payload: payload})
	}
	return page
}

// Guards against a snapshot that holds up the fold for as long as it takes to
// encode it. Run with -race, it guards against a copy that shares what the
// fold changes.
func TestFoldGoesOnDuringASnapshot(t *testing.T) {
	c := qt.New(t)
	const claims, tries = 20_000, 5
	j := New()
	c.Assert(j.Apply(1, claimsPage(c, 1, 0, claims)), qt.IsNil)
	best := 1.0
	for i := range tries {
		page := claimsPage(c, j.Next(), claims+10*i, 10)
		g := group.New(t.Context())
		copied := make(chan struct{})
		took := time.Duration(0)
		g.Go("snapshot", func(context.Context) error {
			close(copied)
			began := time.Now()
			_, _, err := j.Snapshot()
			took = time.Since(began)
			return err
		})
		<-copied
		time.Sleep(time.Millisecond)
		began := time.Now()
		c.Assert(j.Apply(page.Next-2, page), qt.IsNil)
		waited := time.Since(began)
		c.Assert(g.Wait(), qt.IsNil)
		best = min(best, waited.Seconds()/took.Seconds())
	}
	c.Assert(best < 0.5, qt.IsTrue, qt.Commentf("the fold waited for %.2f of the snapshot", best))
}
