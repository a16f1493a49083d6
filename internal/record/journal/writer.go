package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"wasabihoist/internal/record/platformlog"
)

// envelopeBytes is about the encoded size of the sequence number and the time
// of a record.
const envelopeBytes = 32

// ErrNotAppended is returned when the record is not in the log and never will
// be.
var ErrNotAppended = platformlog.ErrNotAppended

// ErrUnsettled is returned when the caller stopped waiting before it was known
// whether the record is in the log.
var ErrUnsettled = errors.New("not known whether the record was appended")

// WriterOptions bound what a writer sends and holds.
type WriterOptions struct {
	Spacing         time.Duration // Spacing is the least time between two appends.
	MaxRecords      int           // MaxRecords in one append.
	MaxBytes        int           // MaxBytes of one append; a larger record is sent alone.
	MaxPending      int           // MaxPending records wait or are unsettled; more are refused as not appended.
	MaxPendingBytes int           // MaxPendingBytes bounds the encoded size of these records.
	MaxAudit        int           // MaxAudit audit entries wait; more are dropped and counted.
	Backoff         time.Duration // Backoff after a failed append.
	SettleGrace     time.Duration // SettleGrace is how long the append in flight at a caller's deadline is awaited.
}

// DefaultWriterOptions keep 14 processes below 300 appends a second.
func DefaultWriterOptions() WriterOptions {
	return WriterOptions{
		Spacing:         50 * time.Millisecond,
		MaxRecords:      500,
		MaxBytes:        256 << 10,
		MaxPending:      10_000,
		MaxPendingBytes: 8 << 20,
		MaxAudit:        500,
		Backoff:         250 * time.Millisecond,
		SettleGrace:     250 * time.Millisecond,
	}
}

// Writer appends the records of one process incarnation. Records that wait
// together share an append, and one append is in flight at a time.
type Writer struct {
	name    string
	log     platformlog.Log
	journal *Journal
	options WriterOptions
	now     func() time.Time

	mu         sync.Mutex
	sequence   uint64
	pending    submissionList // pending records of callers wait for an append.
	audit      submissionList // audit entries wait for space in an append.
	sent       submissionList // sent records have no verdict yet; sequence numbers ascend.
	held       int            // held counts the records of callers in pending and sent.
	heldBytes  int            // heldBytes is their encoded size.
	auditHeld  int            // auditHeld counts the audit entries in audit and sent.
	batchBytes int            // batchBytes is MaxBytes or less when the log refuses that much.
	doubtful   bool           // doubtful is set while the fate of a sent record is open.
	stopped    bool           // stopped is set when Run has returned.
	lost       uint64         // lost counts dropped audit entries.
	wake       chan struct{}
}

// NewWriter returns a writer that learns verdicts from the journal. The name
// must be unique to the process incarnation, in the form host@incarnation.
func NewWriter(name string, log platformlog.Log, j *Journal, options WriterOptions) *Writer {
	w := &Writer{
		name:       name,
		log:        log,
		journal:    j,
		options:    options,
		now:        time.Now,
		batchBytes: options.MaxBytes,
		wake:       make(chan struct{}, 1),
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
// when the record certainly did not take effect and never will, and
// ErrUnsettled when ctx ended before that was known.
func (w *Writer) Append(ctx context.Context, record Record) (Verdict, error) {
	s, err := newSubmission(record, false)
	if err != nil {
		return Verdict{}, fmt.Errorf("append: %w: %w", err, ErrNotAppended)
	}
	if err := w.journal.Unsupported(); err != nil {
		return Verdict{}, fmt.Errorf("append: %w: %w", err, ErrNotAppended)
	}
	if err := w.enqueue(s); err != nil {
		return Verdict{}, fmt.Errorf("append: %w: %w", err, ErrNotAppended)
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
	s, err := newSubmission(a, true)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || s.size > w.options.MaxBytes || w.auditHeld >= w.options.MaxAudit || w.stopped {
		w.lost++
		return
	}
	w.auditHeld++
	w.audit.push(s)
	w.signal()
}

// LostAudit returns the number of dropped audit entries.
func (w *Writer) LostAudit() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost
}

// Held returns the records that wait or are unsettled and their encoded size.
func (w *Writer) Held() (records, bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held, w.heldBytes
}

func (w *Writer) enqueue(s *submission) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped:
		return errors.New("the writer has stopped")
	case w.held >= w.options.MaxPending || w.heldBytes+s.size > w.options.MaxPendingBytes:
		return errors.New("too many records wait")
	}
	w.held++
	w.heldBytes += s.size
	w.pending.push(s)
	w.signal()
	return nil
}

// release takes a submission out of the bounds. It needs the mutex.
func (w *Writer) release(s *submission) {
	switch {
	case s.released:
		return
	case s.audit:
		w.auditHeld--
	default:
		w.held--
		w.heldBytes -= s.size
	}
	s.released = true
}

// withdraw gives up on a record. A record that waits, because it was never
// sent or its last append was refused, is certainly absent. A record in flight
// is not sent again when its append turns out to be refused. After a deadline,
// a record in flight is given the settle grace, because most appends are
// answered soon and an unsettled record costs the caller a definite answer.
func (w *Writer) withdraw(s *submission, cause error) (Verdict, error) {
	w.mu.Lock()
	s.withdrawn = true
	inFlight := s.sequence != 0
	w.mu.Unlock()
	if inFlight && errors.Is(cause, context.DeadlineExceeded) {
		s.await(w.options.SettleGrace)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case v := <-s.result:
		return v, nil
	case <-s.absent:
		return Verdict{}, fmt.Errorf("append: %w: %w", cause, ErrNotAppended)
	case <-s.skipped:
		return Verdict{}, fmt.Errorf("append: %w: %w", cause, ErrUnsettled)
	default:
	}
	w.release(s)
	if s.sequence == 0 {
		w.pending.abandon(s)
		return Verdict{}, fmt.Errorf("append: %w: %w", cause, ErrNotAppended)
	}
	w.sent.abandon(s)
	return Verdict{}, fmt.Errorf("append: %w: %w", cause, ErrUnsettled)
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run sends records until ctx ends. Records that still wait then are reported
// as not appended.
func (w *Writer) Run(ctx context.Context) error {
	defer w.stop()
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

func (w *Writer) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	for s := w.pending.front(); s != nil; s = w.pending.front() {
		w.pending.pop()
		w.release(s)
		close(s.absent)
	}
	for s := w.audit.front(); s != nil; s = w.audit.front() {
		w.audit.pop()
		w.release(s)
		w.lost++
	}
}

func (w *Writer) hasWork() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.pending.empty() || !w.audit.empty() || w.doubtful
}

// observe delivers verdicts. Sent records below a folded sequence number that
// have no verdict will never take effect.
func (w *Writer) observe(writer string, sequence uint64, _ Record, verdict Verdict) {
	if writer != w.name {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for s := w.sent.front(); s != nil && s.sequence <= sequence; s = w.sent.front() {
		w.sent.pop()
		if s.sequence < sequence {
			w.settleAbsent(s)
			continue
		}
		w.release(s)
		s.result <- verdict
	}
}

// settleAbsent handles a sent record that is proved absent. Audit entries have
// no caller that could submit them again, so they wait once more.
func (w *Writer) settleAbsent(s *submission) {
	if s.audit && !w.stopped {
		s.sequence = 0
		w.audit.push(s)
		w.signal()
		return
	}
	w.drop(s)
}

// resume gives up on verdicts that a restored snapshot hides.
func (w *Writer) resume(folded func(writer string) uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := folded(w.name)
	for s := w.sent.front(); s != nil && s.sequence <= last; s = w.sent.front() {
		w.sent.pop()
		w.release(s)
		close(s.skipped)
	}
}
