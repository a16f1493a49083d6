package logging_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
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
	q := logging.NewQueue()
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
	q := logging.NewQueue()
	g := group.New(context.Background())
	g.Go("log", func(ctx context.Context) error { return q.Run(ctx, brokenReader{}) })
	for range 10 {
		fmt.Fprintf(q, "level=info event=line\n")
		time.Sleep(time.Millisecond)
	}
	g.Stop()
	c.Assert(g.Wait(), qt.IsNil)
}
