package logging

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of a queue of lines.
const (
	// QueueLines is how many lines wait at most for a reader that is slow.
	QueueLines = 4096
	// reservedLines are kept for warnings and errors when the queue is nearly
	// full.
	reservedLines = QueueLines / 4
	// linesPerSecond bounds the lines of level info and below over time.
	linesPerSecond = 300
	// burstLines is how many of them may come at once.
	burstLines = 1500
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
)

// Queue is a writer that never blocks. Lines wait in a bounded queue for a
// reader; what finds no room is dropped and counted. It is safe for concurrent
// use. Each call of Write is one line.
type Queue struct {
	now  func() time.Time
	wake chan struct{} // wake has room for one signal that there are lines.

	mu       sync.Mutex
	lines    [][]byte
	dropped  int       // dropped counts lines since the last report.
	tokens   float64   // tokens is how many lines of level info may still come.
	filledAt time.Time // filledAt is when tokens was last filled.
	report   time.Time // report is when dropped lines were last reported.
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{now: time.Now, wake: make(chan struct{}, 1), tokens: burstLines, filledAt: time.Now()}
}

// Write takes a line. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	if q.admit(line) {
		q.lines = append(q.lines, bytes.Clone(line))
	} else {
		q.dropped++
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (q *Queue) admit(line []byte) bool {
	if len(q.lines) >= QueueLines {
		return false
	}
	if bytes.Contains(line, []byte(" level=warn")) || bytes.Contains(line, []byte(" level=error")) {
		return true
	}
	at := q.now()
	q.tokens = min(burstLines, q.tokens+at.Sub(q.filledAt).Seconds()*linesPerSecond)
	q.filledAt = at
	if q.tokens < 1 || len(q.lines) >= QueueLines-reservedLines {
		return false
	}
	q.tokens--
	return true
}

// Run passes the lines on until ctx ends. A reader that has gone ends the lines,
// not the process.
func (q *Queue) Run(ctx context.Context, w io.Writer) error {
	for {
		select {
		case <-ctx.Done():
			_, _ = w.Write(q.take())
			return nil
		case <-q.wake:
		}
		if _, err := w.Write(q.take()); err != nil {
			q.discard()
		}
	}
}

// take returns all lines that wait, with a line on those that were dropped.
func (q *Queue) take() []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := bytes.Join(q.lines, nil)
	q.lines = q.lines[:0]
	at := q.now()
	if q.dropped > 0 && at.Sub(q.report) >= reportInterval {
		batch = fmt.Appendf(batch, "time=%s level=warn event=\"log lines dropped\" count=%d\n", at.UTC().Format(time.RFC3339Nano), q.dropped)
		q.dropped, q.report = 0, at
	}
	return batch
}

func (q *Queue) discard() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropped += len(q.lines)
	q.lines = q.lines[:0]
}
