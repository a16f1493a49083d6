package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"wasabihoist/internal/record/platformlog"
)

// ErrNotAppended is returned when the record is not in the log and never will
// be.
var ErrNotAppended = platformlog.ErrNotAppended

// ErrUnsettled is returned when the caller stopped waiting before it was known
// whether the record is in the log.
var ErrUnsettled = errors.New("not known whether the record was appended")

// WriterOptions bound what a writer sends.
type WriterOptions struct {
	Spacing    time.Duration // Spacing is the least time between two appends.
	MaxRecords int           // MaxRecords in one append.
	MaxBytes   int           // MaxBytes is about the size of one append.
	MaxPending int           // MaxPending records wait; more are refused as not appended.
	MaxAudit   int           // MaxAudit audit entries wait; more are dropped and counted.
	Backoff    time.Duration // Backoff after a failed append.
}

// DefaultWriterOptions keep 14 processes below 300 appends a second.
func DefaultWriterOptions() WriterOptions {
	return WriterOptions{
		Spacing:    50 * time.Millisecond,
		MaxRecords: 500,
		MaxBytes:   256 << 10,
		MaxPending: 10_000,
		MaxAudit:   500,
		Backoff:    250 * time.Millisecond,
	}
}

// submission is a record on its way to the log.
type submission struct {
	record   Record
	sequence uint64        // sequence of the last append that carried it.
	result   chan Verdict  // result receives the verdict; buffered.
	absent   chan struct{} // absent is closed when the record will never be folded.
	skipped  chan struct{} // skipped is closed when a snapshot hides the verdict.
	dropped  bool          // dropped by its caller before it was sent.
}

// Writer appends the records of one process incarnation. Records that wait
// together share an append, and one append is in flight at a time.
type Writer struct {
	name    string
	log     platformlog.Log
	options WriterOptions
	now     func() time.Time

	mu       sync.Mutex
	sequence uint64
	pending  []*submission
	audit    []Audit
	sent     map[uint64]*submission // sent records without a verdict, by sequence.
	doubtful bool                   // doubtful is set while the fate of a sent record is open.
	lost     uint64                 // lost counts dropped audit entries.
	wake     chan struct{}
}

// NewWriter returns a writer that learns verdicts from the journal. The name
// must be unique to the process incarnation.
func NewWriter(name string, log platformlog.Log, j *Journal, options WriterOptions) *Writer {
	w := &Writer{
		name:    name,
		log:     log,
		options: options,
		now:     time.Now,
		sent:    map[uint64]*submission{},
		wake:    make(chan struct{}, 1),
	}
	j.Observe(w.observe)
	j.ObserveRestore(w.resume)
	return w
}

// Name returns the name that the records carry.
func (w *Writer) Name() string { return w.name }

// String names the controller.
func (w *Writer) String() string { return "journal writer" }

// Append adds a record and waits until it is folded. It returns ErrNotAppended
// when the record certainly did not take effect, and ErrUnsettled when ctx
// ended before that was known.
func (w *Writer) Append(ctx context.Context, record Record) (Verdict, error) {
	s := &submission{
		record:  record,
		result:  make(chan Verdict, 1),
		absent:  make(chan struct{}),
		skipped: make(chan struct{}),
	}
	if !w.enqueue(s) {
		return Verdict{}, fmt.Errorf("too many records wait: %w", ErrNotAppended)
	}
	select {
	case v := <-s.result:
		return v, nil
	case <-s.absent:
		return Verdict{}, fmt.Errorf("append: %w", ErrNotAppended)
	case <-s.skipped:
		return Verdict{}, fmt.Errorf("a snapshot covers the record: %w", ErrUnsettled)
	case <-ctx.Done():
		return w.withdraw(s, ctx.Err())
	}
}

// Audit queues an entry of the audit trail. It never blocks; entries beyond
// the bound are dropped and counted.
func (w *Writer) Audit(a Audit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.audit) >= w.options.MaxAudit {
		w.lost++
		return
	}
	w.audit = append(w.audit, a)
	w.signal()
}

// LostAudit returns the number of dropped audit entries.
func (w *Writer) LostAudit() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

func (w *Writer) enqueue(s *submission) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending) >= w.options.MaxPending {
		return false
	}
	w.pending = append(w.pending, s)
	w.signal()
	return true
}

// withdraw gives up on a record. A record that was never sent, or whose last
// append was refused, is certainly absent.
func (w *Writer) withdraw(s *submission, cause error) (Verdict, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case v := <-s.result:
		return v, nil
	default:
	}
	if s.sequence == 0 {
		s.dropped = true
		return Verdict{}, fmt.Errorf("append: %w: %w", cause, ErrNotAppended)
	}
	return Verdict{}, fmt.Errorf("append: %w: %w", cause, ErrUnsettled)
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run sends records until ctx ends.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wake:
		}
		for w.hasWork() {
			pause := w.options.Spacing
			if !w.send(ctx) {
				pause = w.options.Backoff
			}
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(pause):
			}
		}
	}
}

func (w *Writer) hasWork() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending) > 0 || len(w.audit) > 0 || w.doubtful
}

// send appends one batch and reports whether the log took it.
func (w *Writer) send(ctx context.Context) bool {
	b, carried := w.nextBatch()
	payload, err := encodeBatch(b)
	if err != nil {
		w.refuse(carried, false)
		return false
	}
	_, err = w.log.Append(ctx, payload)
	switch {
	case err == nil:
		w.settled()
		return true
	case errors.Is(err, platformlog.ErrNotAppended):
		w.refuse(carried, true)
		return false
	default:
		w.doubt()
		return false
	}
}

// nextBatch takes waiting records, or a barrier when there are none.
func (w *Writer) nextBatch() (batch, []*submission) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := batch{writer: w.name}
	var carried []*submission
	size := 0
	for len(w.pending) > 0 && len(carried) < w.options.MaxRecords && size < w.options.MaxBytes {
		s := w.pending[0]
		w.pending = w.pending[1:]
		if s.dropped {
			continue
		}
		w.sequence++
		s.sequence = w.sequence
		w.sent[s.sequence] = s
		carried = append(carried, s)
		b.records = append(b.records, envelope{s.sequence, w.now(), s.record})
		size += recordSize(s.record)
	}
	for len(w.audit) > 0 && len(b.records) < w.options.MaxRecords {
		w.sequence++
		b.records = append(b.records, envelope{w.sequence, w.now(), w.audit[0]})
		w.audit = w.audit[1:]
	}
	if len(b.records) == 0 {
		w.sequence++
		b.records = append(b.records, envelope{w.sequence, w.now(), Barrier{}})
	}
	return b, carried
}

func recordSize(r Record) int {
	const overhead = 200
	switch r := r.(type) {
	case RequestFinished:
		return overhead + len(r.Body)
	case SnapshotChunk:
		return overhead + len(r.State)
	}
	return overhead
}

// refuse handles records that are certainly absent: they wait again, in order,
// or are reported absent when they cannot be encoded.
func (w *Writer) refuse(carried []*submission, again bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range carried {
		delete(w.sent, s.sequence)
		s.sequence = 0
		if !again {
			close(s.absent)
		}
	}
	if again {
		w.pending = append(carried, w.pending...)
	}
}

func (w *Writer) settled() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.doubtful = false
}

func (w *Writer) doubt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.doubtful = true
}

// observe delivers verdicts. Sent records below a folded sequence number that
// have no verdict will never take effect.
func (w *Writer) observe(writer string, sequence uint64, _ Record, verdict Verdict) {
	if writer != w.name {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.sent[sequence]; s != nil {
		delete(w.sent, sequence)
		s.result <- verdict
	}
	for lower, s := range w.sent {
		if lower < sequence {
			delete(w.sent, lower)
			close(s.absent)
		}
	}
}

// resume gives up on verdicts that a restored snapshot hides.
func (w *Writer) resume(folded func(writer string) uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := folded(w.name)
	for sequence, s := range w.sent {
		if sequence <= last {
			delete(w.sent, sequence)
			close(s.skipped)
		}
	}
}
