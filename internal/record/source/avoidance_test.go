package source

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/record/platformlog"
)

// clockwork is a directory, a log and a reader over a clock that only reads
// move.
type clockwork struct {
	now     time.Time
	reader  Peer
	failure error
	asked   int           // asked counts reads from the reader.
	waited  time.Duration // waited is the time that the last read from the reader was allowed to wait.
}

func (f *clockwork) RegionReader() (Peer, bool) { return f.reader, true }

func (f *clockwork) Fallbacks() []Peer { return nil }

func (f *clockwork) Append(context.Context, []byte) (int64, error) { return 0, nil }

func (f *clockwork) Read(context.Context, int64, int, time.Duration) (platformlog.Page, error) {
	return platformlog.Page{Next: 1}, nil
}

type clockworkReader struct{ *clockwork }

func (f clockworkReader) Read(_ context.Context, _ int64, _ int, wait time.Duration) (platformlog.Page, error) {
	f.asked++
	f.waited = wait
	if f.failure != nil {
		f.now = f.now.Add(wait + time.Second)
	}
	return platformlog.Page{Next: 2}, f.failure
}

func (f clockworkReader) Snapshot(context.Context, int64) (*journal.Restored, error) { return nil, nil }

func (f clockworkReader) Watch(context.Context, int64, time.Duration) (int64, error) { return 0, nil }

// Guards against a silent reader that costs time in each read, that is avoided
// for ever, or that is mixed up with the one that follows it.
func TestFailedReaderIsAvoidedForAWhile(t *testing.T) {
	c := qt.New(t)
	const poll = 2 * time.Second
	start := time.Date(2026, 5, 4, 6, 0, 0, 0, time.UTC)
	f := &clockwork{now: start, reader: Peer{Name: "reader"}, failure: errors.New("silent")}
	s := NewSelector(f, nil, f, func(Peer) PeerReader { return clockworkReader{f} })
	s.now = func() time.Time { return f.now }
	read := func() bool {
		page, err := s.Read(t.Context(), 1, 10, poll)
		c.Assert(err, qt.IsNil)
		return page.Next == 2
	}
	const hour, step = time.Hour, 100 * time.Millisecond
	lost := time.Duration(0)
	for f.now.Before(start.Add(hour)) {
		began := f.now
		c.Assert(read(), qt.IsFalse)
		lost += f.now.Sub(began)
		f.now = f.now.Add(step)
	}
	c.Assert(f.waited, qt.Equals, time.Duration(0))
	c.Assert(f.asked > 50 && f.asked < 70, qt.IsTrue, qt.Commentf("asked %d times", f.asked))
	c.Assert(lost < 75*time.Second, qt.IsTrue, qt.Commentf("%v", lost))
	f.failure = nil
	recovered := f.now
	for !read() {
		f.now = f.now.Add(step)
	}
	c.Assert(f.now.Sub(recovered) <= maxAvoidance, qt.IsTrue)
	c.Assert(read(), qt.IsTrue)
	c.Assert(f.waited, qt.Equals, poll)
	f.failure = errors.New("silent")
	c.Assert(read(), qt.IsFalse)
	f.reader, f.failure = Peer{Name: "successor"}, nil
	c.Assert(read(), qt.IsTrue)
	f.failure = platformlog.ErrExpired // The reader answers, but no longer has the records.
	c.Assert(read(), qt.IsFalse)
	f.failure = nil
	c.Assert(read(), qt.IsTrue)
}
