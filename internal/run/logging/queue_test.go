package logging_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/run/logging"
)

// stuckReader blocks the first write until it is let go.
type stuckReader struct {
	letGo chan struct{}
	mu    sync.Mutex
	text  bytes.Buffer
}

func (r *stuckReader) Write(p []byte) (int, error) {
	<-r.letGo
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

func (r *stuckReader) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

// Guards against a process that waits for the reader of its log, against a log
// without bound, and against errors that are lost among ordinary lines.
func TestQueueNeverBlocksAndKeepsErrors(t *testing.T) {
	c := qt.New(t)
	q := logging.NewQueue("p")
	reader := &stuckReader{letGo: make(chan struct{})}
	g := group.New(context.Background())
	g.Go("log", func(ctx context.Context) error { return q.Run(ctx, reader) })
	const flood = 4 * logging.QueueLines
	begin := time.Now()
	for i := range flood {
		fmt.Fprintf(q, "n=%d level=info event=flood\n", i)
	}
	fmt.Fprintf(q, "process=p level=error event=important\n")
	c.Assert(time.Since(begin) < 5*time.Second, qt.IsTrue)
	close(reader.letGo)
	for deadline := time.Now().Add(10 * time.Second); !strings.Contains(reader.String(), "important"); time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
	g.Stop()
	c.Assert(g.Wait(), qt.IsNil)
	text := reader.String()
	c.Check(strings.Count(text, "event=flood") <= logging.QueueLines, qt.IsTrue)
	c.Check(text, qt.Contains, `event="log lines dropped" count=`)
}

type brokenReader struct{}

func (brokenReader) Write([]byte) (int, error) { return 0, errors.New("nobody reads") }

// Guards against a process that ends because its log has no reader any more.
func TestQueueOutlivesItsReader(t *testing.T) {
	c := qt.New(t)
	q := logging.NewQueue("p")
	g := group.New(context.Background())
	g.Go("log", func(ctx context.Context) error { return q.Run(ctx, brokenReader{}) })
	for range 10 {
		fmt.Fprintf(q, "level=info event=line\n")
		time.Sleep(time.Millisecond)
	}
	g.Stop()
	c.Assert(g.Wait(), qt.IsNil)
}

// passedOn returns the lines of a queue that no reader has taken.
func passedOn(c *qt.C, q *logging.Queue) string {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	var b strings.Builder
	c.Assert(q.Run(ended, &b), qt.IsNil)
	return b.String()
}

// writeLines writes numbered lines of one event.
func writeLines(q *logging.Queue, level, event string, count int) {
	for i := range count {
		fmt.Fprintf(q, "time=2026-01-06T12:00:00Z process=p level=%s event=%s n=%d job=aa\n", level, event, i)
	}
}

// Guards against a log that shows no end of a run because placements of the same
// instant have used up its limit.
func TestBurstOfOneEventLeavesRoomForOthers(t *testing.T) {
	const burst = 20_000
	others := []string{
		`"run ended"`, `"run lost"`, `"run given up"`, `"start try"`, `"start refused"`, "stop", `"term begun"`, `"term ended"`,
		`"host answers"`, `"minion found"`, `"job ended"`, "started", "stopping",
	}
	for name, tt := range map[string]struct{ level, event string }{
		"placements":       {"info", "placed"},
		"calls":            {"info", "call"},
		"ends of runs":     {"info", `"some run ended"`},
		"warnings":         {"warn", `"unexpected run"`},
		"without a name":   {"info", ""},
		"a name in quotes": {"info", `"a text with event=stop in it"`},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				q := logging.NewQueue("p")
				writeLines(q, tt.level, tt.event, burst)
				for _, event := range others {
					writeLines(q, "info", event, 5)
				}
				text := passedOn(c, q)
				for _, event := range others {
					c.Check(strings.Count(text, "level=info event="+event+" "), qt.Equals, 5, qt.Commentf("%s", event))
				}
			})
		})
	}
}

// Guards against ends of runs that are dropped because clients call often.
func TestDecisionsGoBeforeRoutineLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := logging.NewQueue("p")
		const (
			seconds = 15
			ends    = 100 // in each second
		)
		var text strings.Builder
		for range seconds {
			writeLines(q, "info", "call", 2000)
			writeLines(q, "info", `"run ended"`, ends)
			text.WriteString(passedOn(c, q))
			time.Sleep(time.Second)
		}
		c.Check(strings.Count(text.String(), `event="run ended"`), qt.Equals, seconds*ends)
		c.Check(strings.Count(text.String(), "event=call ") > 1000, qt.IsTrue)
	})
}

// Guards against a log that grows with the number of different events or with
// warnings.
func TestVolumeIsBounded(t *testing.T) {
	const (
		seconds = 10
		// allowed are 3,100 lines at once, 300 a second and a report a second.
		allowed = 3100 + seconds*(300+1)
	)
	for name, tt := range map[string]struct {
		level  string
		events int
	}{
		"one event":                     {"info", 1},
		"one kind of warning":           {"warn", 1},
		"many events":                   {"info", 200},
		"many kinds of errors":          {"error", 200},
		"more events than have a share": {"info", 5000},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				q := logging.NewQueue("p")
				lines := 0
				for range seconds {
					for i := range 5000 {
						writeLines(q, tt.level, fmt.Sprintf("event-%d", i%tt.events), 1)
					}
					lines += strings.Count(passedOn(c, q), "\n")
					time.Sleep(time.Second)
				}
				c.Check(lines <= allowed, qt.IsTrue, qt.Commentf("%d lines, want at most %d", lines, allowed))
			})
		})
	}
}

// Guards against a count of dropped lines that does not tell what is missing.
func TestDroppedLinesAreCountedByEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := logging.NewQueue("front-1")
		const burst = 10_000
		writeLines(q, "info", "placed", burst)
		writeLines(q, "info", `"run ended"`, burst)
		text := passedOn(c, q)
		placed, ended := strings.Count(text, "event=placed "), strings.Count(text, `event="run ended" `)
		want := fmt.Sprintf("process=front-1 level=warn event=\"log lines dropped\" count=%d events=\"placed:%d,run ended:%d\"\n", 2*burst-placed-ended, burst-placed, burst-ended)
		c.Check(text[strings.LastIndex(text, "process="):], qt.Equals, want)
		c.Check(q.Dropped(), qt.Equals, int64(2*burst-placed-ended))
		c.Check(passedOn(c, q), qt.Equals, "")
	})
}

// Guards against a report of dropped lines that waits until the process writes the
// next line.
func TestDroppedLinesAreReportedInSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := logging.NewQueue("p")
		reader := &stuckReader{letGo: make(chan struct{})}
		close(reader.letGo)
		g := group.New(context.Background())
		g.Go("log", func(ctx context.Context) error { return q.Run(ctx, reader) })
		const burst = 5000
		for range 2 {
			writeLines(q, "info", "placed", burst)
			synctest.Wait()
		}
		time.Sleep(1100 * time.Millisecond)
		dropped := 0
		for line := range strings.Lines(reader.String()) {
			if _, count, found := strings.Cut(line, `event="log lines dropped" count=`); found {
				count, _, _ = strings.Cut(count, " ")
				n, err := strconv.Atoi(count)
				c.Assert(err, qt.IsNil)
				dropped += n
			}
		}
		c.Check(dropped, qt.Equals, 2*burst-strings.Count(reader.String(), "event=placed "))
		g.Stop()
		c.Assert(g.Wait(), qt.IsNil)
	})
}

// sizeRecorder records the sizes of writes, and whether each ends with a line.
type sizeRecorder struct {
	c     *qt.C
	sizes []int
	lines int
}

func (r *sizeRecorder) Write(p []byte) (int, error) {
	r.c.Check(bytes.HasSuffix(p, []byte{'\n'}), qt.IsTrue)
	r.sizes = append(r.sizes, len(p))
	r.lines += bytes.Count(p, []byte{'\n'})
	return len(p), nil
}

// Guards against lines that are cut or lost because many were written at once and
// the reader takes only a part of a long write.
func TestWritesAreWholeLinesOfBoundedSize(t *testing.T) {
	const pipeBuf = 4096 // bytes that a pipe takes as a whole
	for name, tt := range map[string]struct {
		lineBytes, lines, most int
	}{
		"many short lines":  {100, 1000, pipeBuf},
		"an odd size":       {333, 1000, pipeBuf},
		"the size of write": {pipeBuf, 10, pipeBuf},
		"longer lines":      {3 * pipeBuf, 10, 3 * pipeBuf},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			q := logging.NewQueue("p")
			for range tt.lines {
				line := "time=2026-01-06T12:00:00Z process=p level=info event=placed text="
				_, err := q.Write([]byte(line + strings.Repeat("x", tt.lineBytes-len(line)-1) + "\n"))
				c.Assert(err, qt.IsNil)
			}
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			r := &sizeRecorder{c: c}
			c.Assert(q.Run(ended, r), qt.IsNil)
			c.Check(r.lines, qt.Equals, tt.lines)
			for _, size := range r.sizes {
				c.Check(size <= tt.most, qt.IsTrue, qt.Commentf("%d bytes", size))
			}
		})
	}
}
