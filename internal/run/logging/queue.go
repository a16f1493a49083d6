package logging

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"wasabihoist/internal/base/collection"
)

// Bounds of a queue of lines.
const (
	// QueueLines is how many lines wait at most for a reader that is slow.
	QueueLines = 4096
	// linesPerSecond bounds the lines over time.
	linesPerSecond = 300
	// burstLines is how many of them may come at once.
	burstLines = routineBurst + decisionReserve
	// maxWriteBytes bounds a write to the reader. A pipe takes up to this many bytes
	// as a whole (PIPE_BUF), and collectors of logs may cut longer writes.
	maxWriteBytes = 4096
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
)

// A line is admitted while more than a number of lines may still come. The number
// depends on its kind, so that each kind leaves room for the kinds below it.
const (
	// routineBurst is how many lines of routineEvents may come at once.
	routineBurst = 1500
	// decisionReserve is the room that routine lines leave.
	decisionReserve = warningReserve + 500
	// warningReserve is the room that other lines below level warn leave.
	warningReserve = shareReserve + 500
	// shareReserve is the room that all lines leave that are beyond the share of
	// their event.
	shareReserve = maxEvents * shareBurst
)

// The share of an event is room that no other event can use.
const (
	// maxEvents is how many events have a share; the others have one together.
	maxEvents = 60
	// shareBurst is how many lines of an event may come at once within its share.
	shareBurst = 10
	// shareLinesPerSecond bounds the share over time. All shares together stay
	// within linesPerSecond.
	shareLinesPerSecond = linesPerSecond / maxEvents
	// otherEvents names the events that have no share of their own.
	otherEvents = "others"
	// unread names the lines that a reader did not take.
	unread = "unread"
)

// routineEvents repeat with the load. Their lines end no belief of the process and
// are dropped first.
var routineEvents = collection.NewSet("call", "placed", "job received", "advice", "pace", "speed changed")

// bucket is a token bucket that holds burst tokens at most.
type bucket struct {
	tokens, burst, perSecond float64
	filledAt                 time.Time // filledAt is when tokens was last filled.
}

func (b *bucket) fill(at time.Time) {
	b.tokens = min(b.burst, b.tokens+at.Sub(b.filledAt).Seconds()*b.perSecond)
	b.filledAt = at
}

// share bounds the lines of an event that are admitted in any case.
type share struct {
	bucket
	dropped int // dropped counts lines since the last report.
}

// Queue is a writer that never blocks. Lines wait in a bounded queue for a
// reader; what finds no room is dropped and counted by its event. Each event has a
// share of the room, so that frequent events do not displace rare ones. It is safe
// for concurrent use. Each call of Write is one line.
type Queue struct {
	process string        // process is named in reports of dropped lines.
	wake    chan struct{} // wake has room for one signal that there are lines.

	mu      sync.Mutex
	lines   [][]byte
	all     bucket            // all bounds the lines of all events. It has at least as many tokens as all shares together.
	shares  map[string]*share // shares is keyed by event; it has maxEvents+2 elements at most.
	dropped int64             // dropped counts lines since the start.
	pending bool              // pending is set while dropped lines are not yet reported.
	report  time.Time         // report is when dropped lines were last reported.
}

// NewQueue returns an empty queue for the lines of a process.
func NewQueue(process string) *Queue {
	return &Queue{
		process: process, wake: make(chan struct{}, 1), shares: make(map[string]*share),
		all: bucket{burstLines, burstLines, linesPerSecond, time.Now()},
	}
}

// Dropped returns how many lines were dropped since the start.
func (q *Queue) Dropped() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}

// Write takes a line. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	event := Value(line, "event")
	s := q.share(event)
	if q.admit(s, event, line) {
		q.lines = append(q.lines, bytes.Clone(line))
	} else {
		q.drop(s, 1)
		q.pending = true
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Value returns the value of the first key of a name in a line, without quotes.
func Value(line []byte, key string) []byte {
	_, rest, found := bytes.Cut(line, []byte(" "+key+"="))
	if !found {
		return nil
	}
	if quoted, ok := bytes.CutPrefix(rest, []byte{'"'}); ok {
		value, _, _ := bytes.Cut(quoted, []byte{'"'})
		return value
	}
	end := bytes.IndexAny(rest, " \n")
	if end < 0 {
		return rest
	}
	return rest[:end]
}

// share returns the share of an event.
func (q *Queue) share(event []byte) *share {
	if s := q.shares[string(event)]; s != nil {
		return s
	}
	name := string(event)
	if len(q.shares) >= maxEvents-1 {
		name = otherEvents
	}
	return q.namedShare(name)
}

func (q *Queue) namedShare(name string) *share {
	s := q.shares[name]
	if s == nil {
		s = &share{bucket: bucket{shareBurst, shareBurst, shareLinesPerSecond, time.Now()}}
		q.shares[name] = s
	}
	return s
}

// admit reports whether there is room for a line, and takes it.
func (q *Queue) admit(s *share, event, line []byte) bool {
	at := time.Now()
	q.all.fill(at)
	s.fill(at)
	space := QueueLines - len(q.lines)
	if s.tokens >= 1 && space > 0 {
		s.tokens--
		q.all.tokens--
		return true
	}
	reserve := 0.0
	level := Value(line, "level")
	switch {
	case bytes.Equal(level, []byte("warn")), bytes.Equal(level, []byte("error")):
		reserve = shareReserve
	case routineEvents.Has(string(event)):
		reserve = decisionReserve
	default:
		reserve = warningReserve
	}
	if min(q.all.tokens, float64(space)) < reserve+1 {
		return false
	}
	q.all.tokens--
	return true
}

// drop counts lines that were dropped. The caller holds mu.
func (q *Queue) drop(s *share, count int) {
	s.dropped += count
	q.dropped += int64(count)
}

// Run passes the lines on until ctx ends. A reader that has gone ends the lines,
// not the process.
func (q *Queue) Run(ctx context.Context, w io.Writer) error {
	var reportDue <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			batch, _ := q.take(true)
			_, _ = writeLines(w, batch)
			return nil
		case <-q.wake:
		case <-reportDue:
		}
		batch, pending := q.take(false)
		if unread, err := writeLines(w, batch); err != nil {
			q.countUnread(unread)
		}
		reportDue = nil
		if pending {
			reportDue = time.After(reportInterval)
		}
	}
}

// writeLines writes lines in pieces of whole lines, of maxWriteBytes at most unless
// a line is longer. It returns how many lines were not written.
func writeLines(w io.Writer, lines []byte) (int, error) {
	for len(lines) > 0 {
		size := len(lines)
		if size > maxWriteBytes {
			size = 1 + bytes.LastIndexByte(lines[:maxWriteBytes], '\n')
			if size == 0 {
				size = len(lines)
				if end := bytes.IndexByte(lines, '\n'); end >= 0 {
					size = end + 1
				}
			}
		}
		if _, err := w.Write(lines[:size]); err != nil {
			return bytes.Count(lines, []byte{'\n'}), fmt.Errorf("write log: %w", err)
		}
		lines = lines[size:]
	}
	return 0, nil
}

// take returns all lines that wait, with a report on those that were dropped if
// one is due or the queue ends. It reports whether the report is still pending.
func (q *Queue) take(last bool) ([]byte, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := bytes.Join(q.lines, nil)
	q.lines = q.lines[:0]
	at := time.Now()
	if q.pending && (last || at.Sub(q.report) >= reportInterval) {
		batch = q.appendReport(batch, at)
		q.pending, q.report = false, at
	}
	return batch, q.pending
}

// appendReport appends a line on the dropped lines and counts from zero again.
func (q *Queue) appendReport(batch []byte, at time.Time) []byte {
	count := 0
	var events []string
	for name, s := range q.shares {
		if s.dropped == 0 {
			continue
		}
		if name == "" {
			name = "none"
		}
		events = append(events, fmt.Sprintf("%s:%d", name, s.dropped))
		count += s.dropped
		s.dropped = 0
	}
	slices.Sort(events)
	return fmt.Appendf(batch, "time=%s process=%s level=warn event=\"log lines dropped\" count=%d events=%q\n",
		at.UTC().Format(time.RFC3339Nano), q.process, count, strings.Join(events, ","))
}

// countUnread counts lines that the reader did not take. They are reported with the
// next lines that are dropped, because a report now would not be read either.
func (q *Queue) countUnread(count int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.drop(q.namedShare(unread), count)
}
